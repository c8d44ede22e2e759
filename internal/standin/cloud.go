package standin

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// States of an instance, as EC2 names them.
const (
	statePending      = "pending"
	stateRunning      = "running"
	stateShuttingDown = "shutting-down"
	stateTerminated   = "terminated"
)

// AddressTag is the tag under which a started instance tells host:port of its
// backend server, since all stand-ins share one IP number.
const AddressTag = "gooseberryslip-address"

// CloudPrice is the price of a reclaimable instance per hour.
type CloudPrice struct {
	DataCentre string
	Class      string
	PerHour    float64
}

// CloudConfig describes a cloud.
type CloudConfig struct {
	Prices     []CloudPrice
	ListLag    time.Duration // how old the list of instances is
	StartDelay time.Duration // from the order until the instance runs
	// OnStart runs what the instance is started for, and returns its host:port
	// and what stops it. May be nil.
	OnStart func(CloudInstance) (address string, stop func())
}

// CloudInstance is an instance as the cloud knows it.
type CloudInstance struct {
	ID         string
	DataCentre string
	Class      string
	Spot       bool
	Address    string // host:port, once running
	State      string
	Tags       map[string]string
}

// cloudInstance adds the cloud's own state.
type cloudInstance struct {
	CloudInstance
	creationIndex    int
	clientToken      string
	launchParameters string // canonical form of the order
	stopServer       func()
	reclaimAt        time.Time // zero: none
	snapshots        []instanceSnapshot
}

// cloudVersion is an instance's state since a moment, for the lagging list.
type instanceSnapshot struct {
	at       time.Time
	instance CloudInstance
}

// CloudCounts says what a cloud has been asked to do.
type CloudCounts struct {
	Runs           int `json:"runs"`
	TerminateCalls int `json:"terminates"`
	DescribeCalls  int `json:"describes"`
	PriceCalls     int `json:"prices"`
	Started        int `json:"started"` // instances that the cloud has started
}

// Cloud plays the cloud: the subset of EC2's Query protocol that the system
// uses, and each instance's metadata under /imds/{instance}.
type Cloud struct {
	Faults Faults

	cfg    CloudConfig
	router *mux.Router

	mu               sync.Mutex
	instances        map[string]*cloudInstance
	byClientToken    map[string]*cloudInstance
	externalReclaims map[string]time.Time // of instances that the cloud did not start
	noCapacity       map[string]bool      // data centres without capacity
	prices           []CloudPrice
	counts           CloudCounts
}

// NewCloud returns a cloud without instances.
func NewCloud(cfg CloudConfig) *Cloud {
	c := &Cloud{
		cfg:              cfg,
		instances:        make(map[string]*cloudInstance),
		byClientToken:    make(map[string]*cloudInstance),
		externalReclaims: make(map[string]time.Time),
		noCapacity:       make(map[string]bool),
		prices:           append([]CloudPrice{}, cfg.Prices...),
	}
	r := mux.NewRouter()
	r.HandleFunc("/_faults", c.Faults.serveFaults).Methods(http.MethodPost)
	r.HandleFunc("/_reclaim", c.serveReclaim).Methods(http.MethodPost)
	r.HandleFunc("/_counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, c.Counts()) })
	r.HandleFunc("/imds/{instance}/latest/api/token", serveMetadataToken).Methods(http.MethodPut)
	r.HandleFunc("/imds/{instance}/latest/meta-data/spot/instance-action", c.serveReclaimNotice).Methods(http.MethodGet)
	r.HandleFunc("/", c.serveQuery).Methods(http.MethodPost)
	c.router = r
	return c
}

// ServeHTTP serves the cloud's protocol, the instances' metadata, POST
// /_faults, POST /_reclaim and GET /_counts.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) { c.router.ServeHTTP(w, r) }

// Counts returns what the cloud has been asked to do so far.
func (c *Cloud) Counts() CloudCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// Instances returns all instances as they are now, oldest first.
func (c *Cloud) Instances() []CloudInstance {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []CloudInstance
	for _, i := range c.instancesByAge() {
		out = append(out, i.CloudInstance)
	}
	return out
}

// SetPrices replaces the prices of reclaimable instances.
func (c *Cloud) SetPrices(prices []CloudPrice) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prices = append([]CloudPrice{}, prices...)
}

// RefuseIn sets whether a data centre has no capacity for new instances.
func (c *Cloud) RefuseIn(dataCentre string, refuse bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noCapacity[dataCentre] = refuse
}

// Adopt adds a running instance that the cloud's caller has not ordered, such
// as one that old scripts run.
func (c *Cloud) Adopt(i CloudInstance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i.State = stateRunning
	c.addInstance(&cloudInstance{CloudInstance: i})
}

// Reclaim announces that an instance will be taken after the notice, and takes
// it then. It may name an instance that the cloud has not started.
func (c *Cloud) Reclaim(instance string, notice time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scheduleReclaim(instance, time.Now().Add(notice))
}

// ReclaimDataCentre reclaims all reclaimable instances of a data centre.
func (c *Cloud) ReclaimDataCentre(dataCentre string, notice time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := time.Now().Add(notice)
	for _, i := range c.instancesByAge() {
		if i.DataCentre == dataCentre && i.Spot && i.State != stateTerminated {
			c.scheduleReclaim(i.ID, at)
		}
	}
}

// reclaim sets the notice, which the list shows as an instance that is shutting
// down. The caller holds the lock.
func (c *Cloud) scheduleReclaim(id string, at time.Time) {
	instance := c.instances[id]
	if instance == nil {
		c.externalReclaims[id] = at
		return
	}
	instance.reclaimAt = at
	if instance.State == statePending || instance.State == stateRunning {
		instance.State = stateShuttingDown
		instance.recordSnapshot()
	}
	time.AfterFunc(time.Until(at), func() { c.terminate(id) })
}

// add registers an instance. The caller holds the lock.
func (c *Cloud) addInstance(i *cloudInstance) {
	i.creationIndex = len(c.instances)
	c.instances[i.ID] = i
	if i.clientToken != "" {
		c.byClientToken[i.clientToken] = i
	}
	i.recordSnapshot()
}

// record adds the present state to the instance's history.
func (i *cloudInstance) recordSnapshot() {
	snapshot := i.CloudInstance
	snapshot.Tags = make(map[string]string, len(i.Tags))
	for k, v := range i.Tags {
		snapshot.Tags[k] = v
	}
	i.snapshots = append(i.snapshots, instanceSnapshot{at: time.Now(), instance: snapshot})
}

// asOf returns the instance as it was at a moment, if it existed.
func (i *cloudInstance) snapshotAt(at time.Time) (CloudInstance, bool) {
	firstLater := sort.Search(len(i.snapshots), func(k int) bool { return i.snapshots[k].at.After(at) })
	if firstLater == 0 {
		return CloudInstance{}, false
	}
	return i.snapshots[firstLater-1].instance, true
}

// ordered returns the instances, oldest first. The caller holds the lock.
func (c *Cloud) instancesByAge() []*cloudInstance {
	out := make([]*cloudInstance, 0, len(c.instances))
	for _, i := range c.instances {
		out = append(out, i)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].creationIndex < out[b].creationIndex })
	return out
}

// launch brings a pending instance up.
func (c *Cloud) finishLaunch(id string) {
	c.mu.Lock()
	instance := c.instances[id]
	if instance.State != statePending {
		c.mu.Unlock()
		return
	}
	snapshot := instance.CloudInstance
	c.mu.Unlock()
	var address string
	var stop func()
	if c.cfg.OnStart != nil {
		address, stop = c.cfg.OnStart(snapshot)
	}
	c.mu.Lock()
	stillPending := instance.State == statePending
	if stillPending {
		instance.State, instance.Address, instance.stopServer = stateRunning, address, stop
		if address != "" {
			instance.Tags[AddressTag] = address
		}
		instance.recordSnapshot()
	}
	c.mu.Unlock()
	if !stillPending && stop != nil {
		stop()
	}
}

// terminate takes an instance away at once.
func (c *Cloud) terminate(id string) bool {
	c.mu.Lock()
	instance := c.instances[id]
	if instance == nil {
		c.mu.Unlock()
		return false
	}
	stop := instance.stopServer
	instance.stopServer = nil
	if instance.State != stateTerminated {
		instance.State = stateTerminated
		instance.recordSnapshot()
	}
	c.mu.Unlock()
	if stop != nil {
		stop()
	}
	return true
}

// Close stops what runs on all instances.
func (c *Cloud) Close() {
	for _, i := range c.Instances() {
		c.terminate(i.ID)
	}
}

// ReclaimRequest is the body of POST /_reclaim; one of Instance and DataCentre
// is set.
type ReclaimRequest struct {
	Instance   string `json:"instance,omitempty"`
	DataCentre string `json:"data_centre,omitempty"`
	NoticeMS   int    `json:"notice_ms"`
}

func (c *Cloud) serveReclaim(w http.ResponseWriter, r *http.Request) {
	var req ReclaimRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	notice := time.Duration(req.NoticeMS) * time.Millisecond
	if req.DataCentre != "" {
		c.ReclaimDataCentre(req.DataCentre, notice)
	} else {
		c.Reclaim(req.Instance, notice)
	}
	w.WriteHeader(http.StatusNoContent)
}

func serveMetadataToken(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("token"))
}

// spotAction is the body of the metadata's spot notice.
type spotAction struct {
	Action string `json:"action"`
	Time   string `json:"time"`
}

func (c *Cloud) serveReclaimNotice(w http.ResponseWriter, r *http.Request) {
	at := c.reclaimTime(mux.Vars(r)["instance"])
	if at.IsZero() {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, http.StatusOK, spotAction{Action: "terminate", Time: at.UTC().Format(time.RFC3339)})
}

func (c *Cloud) reclaimTime(id string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := c.instances[id]; i != nil {
		return i.reclaimAt
	}
	return c.externalReclaims[id]
}

func newInstanceID(index int) string { return "i-" + strconv.FormatInt(0x10000000+int64(index), 16) }
