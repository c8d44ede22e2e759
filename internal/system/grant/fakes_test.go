package grant

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/routing"
	"github.com/gooseberryslip/gooseberryslip/internal/virtualtime"
)

const (
	localDelay  = 200 * time.Microsecond
	remoteDelay = 1500 * time.Microsecond
	// packetOverhead is in bytes: IP 20, UDP 8, a QUIC short header 12, its tag
	// 16, a datagram frame 3, and half an acknowledgement packet of 60.
	packetOverhead = 59 + 30
)

// world simulates daemons and the engines of backend servers in virtual time.
type world struct {
	now             time.Time
	start           time.Time
	rng             *rand.Rand
	events          virtualtime.Queue
	nodes           []*node
	engines         []*engine
	doc             entity.Service
	loss            float64 // probability that a message is lost
	messages        int
	bytes           int // payload, counted only if measure is set
	measure         bool
	finished        []*request
	refused         []*request
	onStart         func(*request, *engine)
	baseline        routing.Policy // dispatches without grants, by lagging load reports; nil: with grants
	tuneAcquisition func(*Acquisition)
	exposedServers  int // engines that ran crashing content at the first crash
}

// node is a simulated daemon.
type node struct {
	w               *world
	id              entity.InstanceID
	location        entity.Location
	g               *Grants
	dead            bool
	nextTick        time.Time
	openRequests    *entity.Table[entity.RequestID, request]
	sent            int       // messages
	lastTick        time.Time // time of the latest tick
	ticksAtLastTick int       // number of ticks at that time
}

type request struct {
	acquisition    Acquisition
	tokens         int
	node           *node
	arrived        time.Time
	first          time.Time // time of the first token; zero: none yet
	done           time.Time
	err            error
	crash          bool
	sendCount      int // sends to engines
	deaths         int
	decidedAttempt entity.AttemptNumber // the latest attempt with a decision
}

// engine simulates the engine of one backend server.
type engine struct {
	w              *world
	backend        entity.BackendServer
	dead           bool
	between        time.Duration // between two tokens
	running        *entity.Table[acquisitionKey, job]
	queue          []*job // waiting for a slot, in order
	maxRunning     int    // maximum of running and queued requests
	served         entity.Tokens
	reportedLoad   int      // lagging load report for baselines
	started        int      // number of requests started
	cache          []uint64 // prefixes, the most recently used last
	prefixesCached int      // prefixes of the started requests that were cached
	prefixesSeen   int      // all prefixes of the started requests
}

// job is one attempt on an engine.
type job struct {
	r         *request
	key       acquisitionKey
	isolated  bool
	startedAt time.Time
	ended     bool
}

func newWorld(seed uint64, doc entity.Service) *world {
	start := time.UnixMicro(1_700_000_000_000_000)
	w := &world{now: start, start: start, rng: rand.New(rand.NewPCG(seed, 1)), doc: doc}
	for _, b := range doc.BackendServers {
		w.addEngine(b)
	}
	return w
}

func (w *world) addEngine(b entity.BackendServer) *engine {
	e := &engine{w: w, backend: b, between: 25 * time.Millisecond, running: entity.NewTable[acquisitionKey, job]()}
	w.engines = append(w.engines, e)
	return e
}

func (w *world) after(d time.Duration, call func()) {
	w.events.Schedule(w.now.Add(d), call)
}

func (w *world) run(until time.Duration) {
	w.events.RunUntil(w.start.Add(until), &w.now)
}

func (w *world) addNode(location entity.Location, tune func(*Config)) *node {
	id := entity.InstanceID(fmt.Sprintf("daemon-%03d", len(w.nodes)))
	cfg := Config{Self: id, Location: location, Rand: rand.New(rand.NewPCG(uint64(len(w.nodes)), 7))}
	if tune != nil {
		tune(&cfg)
	}
	n := &node{w: w, id: id, location: location, g: New(cfg), openRequests: entity.NewTable[entity.RequestID, request]()}
	w.nodes = append(w.nodes, n)
	return n
}

// syncMembers gives every live daemon the list of live daemons and the service.
func (w *world) syncMembers() {
	var members []Member
	for _, n := range w.nodes {
		if !n.dead {
			members = append(members, Member{ID: n.id, Location: n.location})
		}
	}
	for _, n := range w.nodes {
		if !n.dead {
			n.g.SetMembers(w.now, members)
			n.g.SetServices(w.now, []entity.Service{w.doc})
			n.processReady()
		}
	}
}

func (w *world) node(id entity.InstanceID) *node {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

func (w *world) engine(id entity.BackendServerID) *engine {
	for _, e := range w.engines {
		if e.backend.ID == id {
			return e
		}
	}
	return nil
}

// processReady sends the messages, starts the granted attempts and schedules the
// next tick that a daemon's system asks for.
func (n *node) processReady() {
	r := n.g.Ready()
	for _, e := range r.Send {
		n.deliver(e)
	}
	for _, d := range r.Decisions {
		n.decided(d)
	}
	due := n.g.Deadline()
	if due.IsZero() || (!n.nextTick.IsZero() && !due.Before(n.nextTick) && n.nextTick.After(n.w.now)) {
		return
	}
	n.nextTick = due
	n.w.after(max(0, due.Sub(n.w.now)), func() {
		if !n.dead {
			n.g.Tick(n.w.now)
			n.countTick()
			n.processReady()
		}
	})
}

// countTick panics if a system asks for endless ticks at one time.
func (n *node) countTick() {
	if !n.w.now.Equal(n.lastTick) {
		n.lastTick, n.ticksAtLastTick = n.w.now, 0
	}
	n.ticksAtLastTick++
	if n.ticksAtLastTick > 100 {
		panic("endless ticks at one time")
	}
}

func (n *node) deliver(e Envelope) {
	w := n.w
	w.messages++
	n.sent++
	if w.measure {
		data, err := codec.Encode(e.Message)
		if err != nil {
			panic(err)
		}
		w.bytes += len(data)
	}
	to := w.node(e.To)
	if to == nil || w.rng.Float64() < w.loss {
		return
	}
	delay := remoteDelay
	if to.location == n.location {
		delay = localDelay
	}
	w.after(delay, func() {
		if !to.dead {
			to.g.Step(w.now, n.id, e.Message)
			to.processReady()
		}
	})
}

// submit gives a request to the daemon.
func (n *node) submit(r *request) {
	r.node, r.arrived = n, n.w.now
	r.acquisition.Service, r.acquisition.Attempt = n.w.doc.Name, 1
	n.openRequests.Put(r.acquisition.Request, r)
	n.attempt(r)
}

func (n *node) attempt(r *request) {
	if n.w.baseline != nil {
		n.w.dispatchByPolicy(n, r)
		return
	}
	if n.w.tuneAcquisition != nil {
		n.w.tuneAcquisition(&r.acquisition)
	}
	n.g.Acquire(n.w.now, r.acquisition)
	n.processReady()
}

func (n *node) decided(d Decision) {
	r := n.openRequests.Get(d.Request)
	if r == nil || r.acquisition.Attempt != d.Attempt {
		return
	}
	if r.decidedAttempt == d.Attempt {
		panic("two decisions for one attempt")
	}
	r.decidedAttempt = d.Attempt
	if d.Err != nil {
		r.err = d.Err
		n.openRequests.Delete(d.Request)
		n.w.refused = append(n.w.refused, r)
		return
	}
	n.w.engine(d.Backend.ID).start(&job{r: r, key: acquisitionKey{d.Request, d.Attempt}, isolated: d.Isolated})
}

func (e *engine) start(j *job) {
	if e.w.onStart != nil {
		e.w.onStart(j.r, e)
	}
	j.r.sendCount++
	if e.dead {
		e.w.after(time.Millisecond, func() { e.w.attemptLost(j, e, Refused) }) // no connection
		return
	}
	e.maxRunning = max(e.maxRunning, e.running.Len()+len(e.queue)+1)
	if e.running.Len() >= e.backend.Slots {
		e.queue = append(e.queue, j)
		return
	}
	e.run(j)
}

const prefill = 100 * time.Millisecond

func (e *engine) run(j *job) {
	j.startedAt = e.w.now
	e.started++
	e.cachePrefixes(j.r.acquisition.Prefix)
	e.running.Put(j.key, j)
	if j.r.crash {
		e.w.after(prefill, func() {
			if !j.ended && !e.dead {
				e.w.countExposed()
				e.die()
			}
		})
		return
	}
	e.w.after(prefill, func() {
		if !j.ended && j.r.first.IsZero() {
			j.r.first = e.w.now
		}
	})
	e.w.after(prefill+time.Duration(j.r.tokens)*e.between, func() { e.complete(j) })
}

// cacheSize is the number of prefixes that an engine caches.
const cacheSize = 600

func (e *engine) cachePrefixes(prefixes []uint64) {
	for _, p := range prefixes {
		e.prefixesSeen++
		if i := slices.Index(e.cache, p); i >= 0 {
			e.prefixesCached++
			e.cache = slices.Delete(e.cache, i, i+1)
		}
		e.cache = append(e.cache, p)
	}
	e.cache = e.cache[max(0, len(e.cache)-cacheSize):]
}

func (e *engine) complete(j *job) {
	if j.ended {
		return
	}
	j.ended = true
	e.running.Delete(j.key)
	e.served += entity.Tokens(j.r.tokens)
	if len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		e.run(next)
	}
	n := j.r.node
	if n.dead {
		return
	}
	j.r.done = e.w.now
	n.openRequests.Delete(j.r.acquisition.Request)
	e.w.finished = append(e.w.finished, j.r)
	n.g.Release(e.w.now, j.key.request, j.key.attempt, Outcome{
		Kind: Completed, Tokens: j.r.acquisition.Cost, FirstToken: prefill, BetweenTokens: e.between,
	})
	n.processReady()
}

// die kills the engine and its running and queued requests.
func (e *engine) die() {
	e.dead = true
	jobs := append([]*job(nil), e.queue...)
	e.queue = nil
	e.running.All(func(_ acquisitionKey, j *job) bool {
		jobs = append(jobs, j)
		return true
	})
	e.running = entity.NewTable[acquisitionKey, job]()
	for _, j := range jobs {
		j.ended = true
		e.w.after(time.Millisecond, func() { e.w.attemptLost(j, e, BackendDied) })
	}
}

// attemptLost reports the end of an attempt to its daemon, which tries again
// without that engine.
func (w *world) attemptLost(j *job, e *engine, kind OutcomeKind) {
	n, r := j.r.node, j.r
	if n.dead {
		return
	}
	r.deaths++
	n.g.Release(w.now, j.key.request, j.key.attempt, Outcome{Kind: kind})
	n.processReady()
	r.acquisition.Attempt++
	r.acquisition.Exclude = []entity.BackendServerID{e.backend.ID}
	n.attempt(r)
}

// dispatchByPolicy sends a request at once to the engine that a baseline
// policy chooses by load reports that are up to a second old.
func (w *world) dispatchByPolicy(n *node, r *request) {
	pool := make([]routing.Candidate, 0, len(w.engines))
	for _, e := range w.engines {
		if e.listed() {
			pool = append(pool, routing.Candidate{
				Backend: e.backend.ID, Location: e.backend.Location, Slots: e.backend.Slots, Busy: e.reportedLoad, Chance: 1,
			})
		}
	}
	if len(pool) == 0 {
		w.after(100*time.Millisecond, func() { w.dispatchByPolicy(n, r) })
		return
	}
	id := w.baseline.Choose(w.now, w.rng, routing.Query{Location: n.location}, pool, 1)[0]
	w.engine(id).start(&job{r: r, key: acquisitionKey{r.acquisition.Request, r.acquisition.Attempt}})
}

func (e *engine) listed() bool {
	for _, b := range e.w.doc.BackendServers {
		if b.ID == e.backend.ID {
			return true
		}
	}
	return false
}

// reportLoads updates the lagging load reports every second.
func (w *world) reportLoads() {
	for _, e := range w.engines {
		e.reportedLoad = e.running.Len() + len(e.queue)
	}
	w.after(time.Second, w.reportLoads)
}

// arrivals submits requests at random times, at a mean rate per second, until a
// time after the start.
func (w *world) arrivals(rate float64, until time.Duration, make func(i int) *request) {
	i := 0
	var next func()
	next = func() {
		if w.now.Sub(w.start) > until {
			return
		}
		r := make(i)
		i++
		n := w.nodes[w.rng.IntN(len(w.nodes))]
		for n.dead {
			n = w.nodes[w.rng.IntN(len(w.nodes))]
		}
		n.submit(r)
		w.after(time.Duration(w.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	w.after(0, next)
}

var testLocations = []entity.Location{{Region: "r", DataCentre: "a"}, {Region: "r", DataCentre: "b"}, {Region: "r", DataCentre: "c"}}

// testService returns a service with servers spread over the data centres and two
// organisations of the same weight.
func testService(servers, slots int) entity.Service {
	doc := entity.Service{Name: "model", Kind: entity.KindModel}
	doc.Organisations = []entity.OrganisationShare{{ID: "large", Weight: 1}, {ID: "small", Weight: 1}}
	for i := range servers {
		doc.BackendServers = append(doc.BackendServers, testServer(i, slots))
	}
	return doc
}

func testServer(i, slots int) entity.BackendServer {
	return entity.BackendServer{
		ID: entity.BackendServerID(fmt.Sprintf("server-%03d", i)), Service: "model",
		Location: testLocations[i%len(testLocations)], Slots: slots,
	}
}

// testWorld returns a world whose daemons know each other and the service.
func testWorld(seed uint64, daemons, servers, slots int) *world {
	w := newWorld(seed, testService(servers, slots))
	for i := range daemons {
		w.addNode(testLocations[i%len(testLocations)], nil)
	}
	w.syncMembers()
	w.run(time.Second)
	return w
}

func testRequest(id string, tokens int) *request {
	return &request{tokens: tokens, acquisition: Acquisition{
		Request: entity.RequestID(id), Organisation: "large", Priority: 2, Cost: entity.Tokens(tokens), Repeatable: true,
	}}
}

func submitMany(w *world, prefix string, n, tokens int) []*request {
	var out []*request
	for i := range n {
		r := testRequest(fmt.Sprintf("%s-%d", prefix, i), tokens+i%7)
		w.nodes[i%len(w.nodes)].submit(r)
		out = append(out, r)
	}
	return out
}

func mustComplete(t *testing.T, w *world, requests []*request) {
	t.Helper()
	for _, r := range requests {
		if r.done.IsZero() {
			t.Fatalf("%s not completed after %v: attempt %d, err %v", r.acquisition.Request, w.now.Sub(w.start), r.acquisition.Attempt, r.err)
		}
	}
}
