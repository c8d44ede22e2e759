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
	order    int
	token    string
	request  string // canonical form of the order
	stop     func()
	notice   time.Time // zero: none
	versions []cloudVersion
}

// cloudVersion is an instance's state since a moment, for the lagging list.
type cloudVersion struct {
	at       time.Time
	instance CloudInstance
}

// CloudCounts says what a cloud has been asked to do.
type CloudCounts struct {
	Runs       int `json:"runs"`
	Terminates int `json:"terminates"`
	Describes  int `json:"describes"`
	Prices     int `json:"prices"`
	Started    int `json:"started"` // instances that the cloud has started
}

// Cloud plays the cloud: the subset of EC2's Query protocol that the system
// uses, and each instance's metadata under /imds/{instance}.
type Cloud struct {
	Faults Faults

	cfg    CloudConfig
	router *mux.Router

	mu        sync.Mutex
	instances map[string]*cloudInstance
	byToken   map[string]*cloudInstance
	notices   map[string]time.Time // of instances that the cloud did not start
	refused   map[string]bool      // data centres without capacity
	prices    []CloudPrice
	counts    CloudCounts
}

// NewCloud returns a cloud without instances.
func NewCloud(cfg CloudConfig) *Cloud {
	c := &Cloud{
		cfg:       cfg,
		instances: make(map[string]*cloudInstance),
		byToken:   make(map[string]*cloudInstance),
		notices:   make(map[string]time.Time),
		refused:   make(map[string]bool),
		prices:    append([]CloudPrice{}, cfg.Prices...),
	}
	r := mux.NewRouter()
	r.HandleFunc("/_faults", c.Faults.serveFaults).Methods(http.MethodPost)
	r.HandleFunc("/_reclaim", c.serveReclaim).Methods(http.MethodPost)
	r.HandleFunc("/_counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, c.Counts()) })
	r.HandleFunc("/imds/{instance}/latest/api/token", serveMetadataToken).Methods(http.MethodPut)
	r.HandleFunc("/imds/{instance}/latest/meta-data/spot/instance-action", c.serveNotice).Methods(http.MethodGet)
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
	for _, i := range c.ordered() {
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
	c.refused[dataCentre] = refuse
}

// Adopt adds a running instance that the cloud's caller has not ordered, such
// as one that old scripts run.
func (c *Cloud) Adopt(i CloudInstance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i.State = stateRunning
	c.add(&cloudInstance{CloudInstance: i})
}

// Reclaim announces that an instance will be taken after the notice, and takes
// it then. It may name an instance that the cloud has not started.
func (c *Cloud) Reclaim(instance string, notice time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reclaim(instance, time.Now().Add(notice))
}

// ReclaimDataCentre reclaims all reclaimable instances of a data centre.
func (c *Cloud) ReclaimDataCentre(dataCentre string, notice time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := time.Now().Add(notice)
	for _, i := range c.ordered() {
		if i.DataCentre == dataCentre && i.Spot && i.State != stateTerminated {
			c.reclaim(i.ID, at)
		}
	}
}

// reclaim sets the notice, which the list shows as an instance that is shutting
// down. The caller holds the lock.
func (c *Cloud) reclaim(id string, at time.Time) {
	i := c.instances[id]
	if i == nil {
		c.notices[id] = at
		return
	}
	i.notice = at
	if i.State == statePending || i.State == stateRunning {
		i.State = stateShuttingDown
		i.record()
	}
	time.AfterFunc(time.Until(at), func() { c.terminate(id) })
}

// add registers an instance. The caller holds the lock.
func (c *Cloud) add(i *cloudInstance) {
	i.order = len(c.instances)
	c.instances[i.ID] = i
	if i.token != "" {
		c.byToken[i.token] = i
	}
	i.record()
}

// record adds the present state to the instance's history.
func (i *cloudInstance) record() {
	snapshot := i.CloudInstance
	snapshot.Tags = make(map[string]string, len(i.Tags))
	for k, v := range i.Tags {
		snapshot.Tags[k] = v
	}
	i.versions = append(i.versions, cloudVersion{at: time.Now(), instance: snapshot})
}

// asOf returns the instance as it was at a moment, if it existed.
func (i *cloudInstance) asOf(at time.Time) (CloudInstance, bool) {
	n := sort.Search(len(i.versions), func(k int) bool { return i.versions[k].at.After(at) })
	if n == 0 {
		return CloudInstance{}, false
	}
	return i.versions[n-1].instance, true
}

// ordered returns the instances, oldest first. The caller holds the lock.
func (c *Cloud) ordered() []*cloudInstance {
	out := make([]*cloudInstance, 0, len(c.instances))
	for _, i := range c.instances {
		out = append(out, i)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].order < out[b].order })
	return out
}

// launch brings a pending instance up.
func (c *Cloud) launch(id string) {
	c.mu.Lock()
	i := c.instances[id]
	if i.State != statePending {
		c.mu.Unlock()
		return
	}
	snapshot := i.CloudInstance
	c.mu.Unlock()
	var address string
	var stop func()
	if c.cfg.OnStart != nil {
		address, stop = c.cfg.OnStart(snapshot)
	}
	c.mu.Lock()
	running := i.State == statePending
	if running {
		i.State, i.Address, i.stop = stateRunning, address, stop
		if address != "" {
			i.Tags[AddressTag] = address
		}
		i.record()
	}
	c.mu.Unlock()
	if !running && stop != nil {
		stop()
	}
}

// terminate takes an instance away at once.
func (c *Cloud) terminate(id string) bool {
	c.mu.Lock()
	i := c.instances[id]
	if i == nil {
		c.mu.Unlock()
		return false
	}
	stop := i.stop
	i.stop = nil
	if i.State != stateTerminated {
		i.State = stateTerminated
		i.record()
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

func (c *Cloud) serveNotice(w http.ResponseWriter, r *http.Request) {
	at := c.noticeOf(mux.Vars(r)["instance"])
	if at.IsZero() {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, http.StatusOK, spotAction{Action: "terminate", Time: at.UTC().Format(time.RFC3339)})
}

func (c *Cloud) noticeOf(id string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := c.instances[id]; i != nil {
		return i.notice
	}
	return c.notices[id]
}

func instanceID(order int) string { return "i-" + strconv.FormatInt(0x10000000+int64(order), 16) }
