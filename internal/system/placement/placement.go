// Package placement chooses the backend server that runs a request. It is made
// for a steady mixed load in which long prompts delay the answers of the
// requests beside them, many requests share the beginning of their prompts, and
// every daemon places requests independently.
//
// Each backend server gets a cost in milliseconds until the first token. The
// cost depends on the prompt tokens waiting there, on the part of the prompt
// that the backend server probably has cached, and on its health.
package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

const (
	// remoteDataCentreCost is the extra cost of a backend server in another
	// data centre than this daemon's.
	remoteDataCentreCost = 2.0 // ms
	// preemptionCost is the extra cost of a backend server that would have to
	// preempt running requests for lack of memory.
	preemptionCost = 2000.0 // ms
	// maxMemoryRatio is the fraction of the memory that running requests may
	// use without preemption.
	maxMemoryRatio = 0.9
	// typicalPromptTokens is the assumed prompt size of the waiting requests of
	// other daemons.
	typicalPromptTokens = 4000.0 // tokens
	// failureCost is the extra cost at a failure rate of 1. A lower rate costs
	// in proportion.
	failureCost = 3000.0 // ms
	// decodeSlowdown is the fraction by which each running request slows down
	// the reading of prompts.
	decodeSlowdown = 0.012
)

// Server describes a backend server for placement.
type Server struct {
	ID         entity.BackendServerID
	Born       int64 // distinguishes its processes
	Service    entity.ServiceName
	DataCentre entity.DataCentreID
	Slots      int
	Memory     entity.Tokens // 0: a plain backend server, which runs no model engine
	// CopyMillisPerToken is the time to copy a cached token from another engine of the
	// service, in ms; 0: engines cannot.
	CopyMillisPerToken float64
}

// Reservation is what one request uses on a backend server.
type Reservation struct {
	Server        entity.BackendServerID
	Rank          int
	Pending       entity.Tokens // prompt tokens to be read before the first event of the answer
	Memory        entity.Tokens // prompt and output tokens held in the engine's memory
	Output        entity.Tokens // expected output tokens
	Running       bool          // the first event has arrived
	lightlyLoaded bool          // the backend server was lightly loaded when it was chosen
	firstEventAt  time.Time
	promptAhead   float64 // prompt tokens that had to be read before this request's own
	sentAt        time.Time
	service       entity.ServiceName
	// expectedMillis is the time to the first event at a server of the service's usual speed.
	expectedMillis float64
	waitsForSlot   bool // all slots were in use when the server was chosen
}

// ServerLoad is the load of one daemon on one backend server.
type ServerLoad struct {
	Server  entity.BackendServerID `cbor:"1,keyasint"`
	Waiting Waiting                `cbor:"2,keyasint"` // requests whose first event has not arrived
	Running int                    `cbor:"3,keyasint,omitempty"`
	Memory  entity.Tokens          `cbor:"5,keyasint,omitempty"`
}

// Requests returns the number of requests, those whose first event has not arrived included.
func (l *ServerLoad) Requests() int { return l.Waiting.total() + l.Running }

// Query describes a request to be placed.
type Query struct {
	Service    entity.ServiceName
	DataCentre entity.DataCentreID // of this daemon
	Rank       int
	Prompt     entity.Tokens
	Output     entity.Tokens // expected
	Parts      []Part
	Exclude    []entity.BackendServerID
	// SampleLoad is the number of requests for the service that all daemons send before they
	// learn of each other's. If it is set, the request gets the cheapest of a few servers.
	SampleLoad float64
	partKeys   []CachedPart // keys of Parts
	source     cachedSource // where most of the prompt is cached
}

// Choice is a placement.
type Choice struct {
	Server entity.BackendServerID
	Cost   time.Duration // expected time to the first event
	// Uncached is the number of prompt tokens that must be read.
	Uncached    entity.Tokens
	Utilisation float64 // requests of the service as a ratio of its slots
	Servers     int     // usable backend servers of the service
	Slots       int     // of these servers
	// CopyFrom is the backend server from which to copy what it has cached of the prompt;
	// "": none.
	CopyFrom    entity.BackendServerID
	reservation Reservation
}

// Placer holds the known state of all backend servers. It is not safe for
// concurrent use.
type Placer struct {
	rng             *rand.Rand
	servers         *entity.Table[entity.BackendServerID, serverRow]
	speeds          *entity.Table[entity.ServiceName, speed]
	peers           *entity.Table[entity.InstanceID, peerLoad]
	lastExpiry      time.Time         // when the loads of silent daemons were last removed
	updateAgeMillis float64           // average age of the other daemons' updates, in ms
	serverSpeeds    bool              // the speed of each backend server is learned
	self            entity.InstanceID // this daemon
	paceEvents      []PaceEvent
	paceUnsent      bool      // this daemon has changed a limit and not sent the change
	speedsRefreshed time.Time // when the speeds of servers without samples were last adapted
}

// serverRow is a backend server with its load, its health and the prompts that
// it has probably cached.
type serverRow struct {
	Server
	localSum ServerLoad
	peerSum  ServerLoad // sum over all other daemons
	cache    promptCache
	health   health
	speed    serverSpeed
	pace     serverPace
}

type peerLoad struct {
	loads     []ServerLoad
	expiresAt time.Time
}

// New returns a placer that knows no backend servers.
func New(rng *rand.Rand) *Placer {
	return &Placer{
		rng:     rng,
		servers: entity.NewTable[entity.BackendServerID, serverRow](),
		speeds:  entity.NewTable[entity.ServiceName, speed](),
		peers:   entity.NewTable[entity.InstanceID, peerLoad](),
	}
}

// SetServer adds a backend server or updates its description.
func (p *Placer) SetServer(s Server) {
	r := p.servers.Get(s.ID)
	if r == nil {
		r = &serverRow{cache: newPromptCache(s.Memory), speed: newServerSpeed()}
		r.localSum.Server = s.ID
		p.servers.Put(s.ID, r)
		defer p.recomputePeerSums()
	}
	r.Server = s
	r.cache.capacity = s.Memory
}

// SetUpdateInterval sets the time between two updates from one daemon.
func (p *Placer) SetUpdateInterval(d time.Duration) {
	p.updateAgeMillis = float64(d) / float64(time.Millisecond) / 2
}

// peerWaitingWeight returns the weight, from 0 to 1, with which the other
// daemons' waiting requests count and, for a plain backend server, their
// running ones too. An update that is older than the time a request waits says
// nothing about the current requests.
func (p *Placer) peerWaitingWeight(s *speed, plain bool) float64 {
	requestMillis := s.firstEvent.predict(typicalPromptTokens)
	if plain {
		requestMillis = s.requestMillis
	}
	return requestMillis / (requestMillis + p.updateAgeMillis)
}

// RemoveServer removes a backend server with its cached prompts and failures.
func (p *Placer) RemoveServer(id entity.BackendServerID) { p.servers.Delete(id) }

// Choose returns the backend server with the lowest cost among those for which
// usable returns true.
func (p *Placer) Choose(now time.Time, q Query, usable func(entity.BackendServerID) bool) (Choice, bool) {
	var best *serverRow
	var bestCost float64
	requests, servers, slots := 0, 0, 0
	q.partKeys = chainKeys(q.Parts)
	q.source = p.findSource(&q, usable)
	if p.serverSpeeds {
		return p.chooseSpread(now, &q, usable)
	}
	noise := p.noiseRange()
	drawn := p.drawSample(&q, usable)
	p.servers.All(func(id entity.BackendServerID, r *serverRow) bool {
		if r.Service != q.Service || !usable(id) {
			return true
		}
		requests += r.requestCount()
		servers++
		slots += r.Slots
		if slices.Contains(q.Exclude, id) || !drawn.contains(id) {
			return true
		}
		cost := p.cost(now, r, &q) + p.rng.Float64()*noise
		if best == nil || cost < bestCost {
			best, bestCost = r, cost
		}
		return true
	})
	if best == nil {
		return Choice{}, false
	}
	choice := p.choice(now, best, &q, float64(requests)/float64(max(slots, 1)))
	choice.Servers, choice.Slots = servers, slots
	return choice, true
}

const (
	// minNoise is the range of a random cost that is always added, so that
	// requests spread over equal backend servers.
	minNoise = 1.0 // ms
	// noisePerPeer is added to that range for each further daemon above
	// noiseFreePeers. The daemons choose by the same updates, which are older
	// in a large deployment; without the noise all of them would choose the
	// same backend server at once.
	noisePerPeer = 0.2 // ms
	// noiseFreePeers is the number of other daemons up to which updates arrive
	// often enough to need no extra noise.
	noiseFreePeers = 16
)

// noiseRange returns the range of the random cost, in milliseconds.
func (p *Placer) noiseRange() float64 {
	return minNoise + noisePerPeer*float64(max(p.peers.Len()-noiseFreePeers, 0))
}

func (p *Placer) choice(now time.Time, r *serverRow, q *Query, utilisation float64) Choice {
	uncached, copyFrom := p.uncached(r, q)
	queue, expected := p.queueAt(r, q.Rank), p.firstEventMillis(r, uncached, q.Rank)
	reservation := Reservation{
		Server: r.ID, Rank: q.Rank, Pending: uncached, Memory: q.Prompt + q.Output, Output: q.Output,
		promptAhead: queue.promptTokens, sentAt: now, service: r.Service,
		expectedMillis: expected, waitsForSlot: queue.requestsToEnd > 0,
	}
	return Choice{
		Server: r.ID, Utilisation: utilisation, Uncached: uncached, CopyFrom: copyFrom, reservation: reservation,
		Cost: time.Duration(expected * r.speed.expectedFactor() * float64(time.Millisecond)),
	}
}

// OwnRequests returns the number of requests that this daemon has in progress at a backend server.
func (p *Placer) OwnRequests(id entity.BackendServerID) int {
	if r := p.servers.Get(id); r != nil {
		return r.localSum.Waiting.total() + r.localSum.Running
	}
	return 0
}

func (r *serverRow) requestCount() int {
	return r.localSum.Waiting.total() + r.localSum.Running + r.peerSum.Waiting.total() + r.peerSum.Running
}

// lightlyLoaded reports whether the backend server uses no more than
// lightLoadRatio of its slots.
func (r *serverRow) lightlyLoaded() bool {
	return float64(r.requestCount()) <= lightLoadRatio*float64(r.Slots)
}

// cost returns the cost of placing a request on a backend server, in
// milliseconds.
func (p *Placer) cost(now time.Time, r *serverRow, q *Query) float64 {
	cost := r.health.failureRate(now) * failureCost
	if r.DataCentre != q.DataCentre {
		cost += remoteDataCentreCost
	}
	s := p.speed(r.Service)
	if r.Memory == 0 {
		peerWeight := p.peerWaitingWeight(s, true)
		requests := float64(r.localSum.Waiting.total()+r.localSum.Running) + peerWeight*float64(r.peerSum.Waiting.total()+r.peerSum.Running)
		return cost + s.requestMillis*requests
	}
	memory := r.localSum.Memory + r.peerSum.Memory + q.Prompt + q.Output
	if float64(memory) > maxMemoryRatio*float64(r.Memory) {
		cost += preemptionCost
	}
	uncached, _ := p.uncached(r, q)
	return cost + p.firstEventMillis(r, uncached, q.Rank)
}

// firstEventMillis returns the expected time to the first event of the answer,
// in milliseconds, at a server of the service's usual speed.
func (p *Placer) firstEventMillis(r *serverRow, uncached entity.Tokens, rank int) float64 {
	if r.Memory == 0 {
		// Requests wait for a slot if all slots are in use.
		rounds := float64(r.requestCount()+1) / float64(max(r.Slots, 1))
		return p.speed(r.Service).requestMillis * max(rounds, 1)
	}
	s := p.speed(r.Service)
	ahead := p.queueAt(r, rank)
	running := float64(r.localSum.Running + r.peerSum.Running)
	wait := ahead.requestsToEnd / float64(r.Slots) * s.runMillis
	return wait + s.firstEvent.predict((ahead.promptTokens+float64(uncached))*(1+decodeSlowdown*running))
}

func (p *Placer) speed(service entity.ServiceName) *speed {
	s := p.speeds.Get(service)
	if s == nil {
		s = newSpeed()
		p.speeds.Put(service, s)
	}
	return s
}

// RecordFailure records that a backend server has failed a request. The weight, up to
// 1, says how much the failure counts.
func (p *Placer) RecordFailure(now time.Time, id entity.BackendServerID, weight float64) {
	if r := p.servers.Get(id); r != nil {
		r.health.recordFailure(now, weight)
		r.pace.failed = r.pace.failed || r.health.rate >= downFailureRate
	}
}

// ForgetFailures forgets the failures of a backend server: they had another cause.
func (p *Placer) ForgetFailures(id entity.BackendServerID) {
	if r := p.servers.Get(id); r != nil {
		r.health, r.pace.failed = health{}, false
	}
}
