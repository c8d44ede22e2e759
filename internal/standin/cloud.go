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

// Instance states, under EC2's names.
const (
	statePending      = "pending"
	stateRunning      = "running"
	stateShuttingDown = "shutting-down"
	stateTerminated   = "terminated"
)

// AddressTag is the instance tag that holds host:port of the instance's backend
// server. An instance's IP address isn't enough, since all stand-ins listen on
// 127.0.0.1.
const AddressTag = "gooseberryslip-address"

// CloudPrice is the price per hour of a reclaimable (spot) instance of one class in
// one data centre.
type CloudPrice struct {
	DataCentre string
	Class      string
	PerHour    float64
}

// CloudConfig configures a Cloud.
type CloudConfig struct {
	Prices     []CloudPrice
	ListLag    time.Duration // age of the state that DescribeInstances returns
	StartDelay time.Duration // from RunInstances until the instance is running
	// OnStart starts the backend server of a new instance, and returns its
	// host:port and a function that stops it. May be nil.
	OnStart func(CloudInstance) (address string, stop func())
}

// CloudInstance is the visible state of an instance.
type CloudInstance struct {
	ID         string
	DataCentre string
	Class      string
	Spot       bool
	Address    string // host:port of the backend server; empty until the instance is running
	State      string
	Tags       map[string]string
}

// cloudInstance is an instance with the state that only the cloud needs.
type cloudInstance struct {
	CloudInstance
	creationIndex    int // counted from 0
	clientToken      string
	launchParameters string // canonical form of the RunInstances parameters
	stopServer       func()
	reclaimAt        time.Time // time of the announced reclaim; zero: none announced
	snapshots        []instanceSnapshot
}

// instanceSnapshot is an instance's state from a point in time on. The lagging
// instance list is answered from the snapshots.
type instanceSnapshot struct {
	at       time.Time
	instance CloudInstance
}

// CloudCounts counts the calls of each action and the started instances.
type CloudCounts struct {
	RunCalls         int `json:"runs"`
	TerminateCalls   int `json:"terminates"`
	DescribeCalls    int `json:"describes"`
	PriceCalls       int `json:"prices"`
	StartedInstances int `json:"started"` // instances created by RunInstances
}

// Cloud simulates a cloud provider: the subset of EC2's Query protocol that the
// system uses, and the metadata service of each instance under /imds/{instance}.
type Cloud struct {
	Faults Faults

	cfg    CloudConfig
	router *mux.Router

	mu               sync.Mutex
	instances        map[string]*cloudInstance
	byClientToken    map[string]*cloudInstance
	externalReclaims map[string]time.Time // reclaim times, by id, of instances unknown to the cloud
	noCapacity       map[string]bool      // data centres without capacity for new instances
	prices           []CloudPrice
	counts           CloudCounts
}

// NewCloud returns a Cloud without instances.
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

// ServeHTTP serves EC2's Query protocol, the instances' metadata, and the control
// paths POST /_faults, POST /_reclaim and GET /_counts.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) { c.router.ServeHTTP(w, r) }

// Counts returns the calls counted so far.
func (c *Cloud) Counts() CloudCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// Instances returns the current state of all instances, without the list's lag,
// oldest first.
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

// SetNoCapacity sets whether RunInstances in a data centre fails with
// InsufficientInstanceCapacity.
func (c *Cloud) SetNoCapacity(dataCentre string, refuse bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noCapacity[dataCentre] = refuse
}

// AddForeignInstance adds a running instance that was not launched through RunInstances, such
// as one that an operator's scripts started.
func (c *Cloud) AddForeignInstance(i CloudInstance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i.State = stateRunning
	c.addInstance(&cloudInstance{CloudInstance: i})
}

// Reclaim announces that an instance will be reclaimed when the notice period is
// over, and terminates it then. For an instance that the cloud doesn't know, only
// its metadata announces the reclaim.
func (c *Cloud) Reclaim(instance string, notice time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scheduleReclaim(instance, time.Now().Add(notice))
}

// ReclaimDataCentre announces the reclaim of all reclaimable instances of a data
// centre, and terminates them when the notice period is over.
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

// scheduleReclaim sets the time at which an instance is reclaimed and terminates
// it then. Until then the instance is listed as shutting down. The caller holds
// c.mu.
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

// addInstance registers an instance. The caller holds c.mu.
func (c *Cloud) addInstance(i *cloudInstance) {
	i.creationIndex = len(c.instances)
	c.instances[i.ID] = i
	if i.clientToken != "" {
		c.byClientToken[i.clientToken] = i
	}
	i.recordSnapshot()
}

// recordSnapshot appends the instance's current state to its snapshots. The caller
// holds the cloud's mutex.
func (i *cloudInstance) recordSnapshot() {
	snapshot := i.CloudInstance
	snapshot.Tags = make(map[string]string, len(i.Tags))
	for k, v := range i.Tags {
		snapshot.Tags[k] = v
	}
	i.snapshots = append(i.snapshots, instanceSnapshot{at: time.Now(), instance: snapshot})
}

// snapshotAt returns the instance's state at a point in time, and false if the
// instance did not exist yet.
func (i *cloudInstance) snapshotAt(at time.Time) (CloudInstance, bool) {
	firstLater := sort.Search(len(i.snapshots), func(k int) bool { return i.snapshots[k].at.After(at) })
	if firstLater == 0 {
		return CloudInstance{}, false
	}
	return i.snapshots[firstLater-1].instance, true
}

// instancesByAge returns the instances, oldest first. The caller holds c.mu.
func (c *Cloud) instancesByAge() []*cloudInstance {
	out := make([]*cloudInstance, 0, len(c.instances))
	for _, i := range c.instances {
		out = append(out, i)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].creationIndex < out[b].creationIndex })
	return out
}

// finishLaunch starts the backend server of a pending instance and marks the
// instance as running. If the instance leaves the pending state meanwhile, the
// backend server is stopped again.
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

// terminate stops an instance at once. It returns false for an unknown instance.
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

// Close terminates all instances and stops their backend servers.
func (c *Cloud) Close() {
	for _, i := range c.Instances() {
		c.terminate(i.ID)
	}
}

// ReclaimRequest is the body of POST /_reclaim. Exactly one of Instance and
// DataCentre is set.
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

// spotAction is the body of the metadata path spot/instance-action, which announces
// a reclaim.
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

// newInstanceID returns the ID of the instance with a creation index.
func newInstanceID(index int) string { return "i-" + strconv.FormatInt(0x10000000+int64(index), 16) }
