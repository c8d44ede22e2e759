// Package placement chooses the backend server that runs a request. It answers
// a steady mixed load in which long prompts delay the answers beside them, many
// requests share the beginning of their prompts, and every daemon places on its
// own: each backend server gets a cost in milliseconds until the first token,
// from the prompt tokens waiting there, the part of the prompt that it should
// still have cached, and its health.
package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

const (
	// otherPlaceCost is what a backend server of another data centre costs more.
	otherPlaceCost = 2.0 // ms
	// fullMemoryCost is what one costs that would have to preempt.
	fullMemoryCost = 2000.0 // ms
	// memoryBound is the part of the memory that running requests may take.
	memoryBound = 0.9
	// typicalPrompt stands for the prompts of other daemons' waiting requests.
	typicalPrompt = 4000.0 // tokens
	// sickCost is what one costs that has just failed, at a failure share of 1.
	sickCost = 3000.0 // ms
	// decodeDelay is the slowdown of reading prompts by each running request.
	decodeDelay = 0.012
)

// Server is a backend server as far as its placement matters.
type Server struct {
	ID         entity.BackendServerID
	Service    entity.ServiceName
	DataCentre entity.DataCentreID
	Slots      int
	Memory     entity.Tokens // 0: a plain backend server
}

// Load is what one request takes of a backend server.
type Load struct {
	Server  entity.BackendServerID
	Rank    int
	Pending entity.Tokens // prompt tokens to be read before the first event
	Memory  entity.Tokens
	Output  entity.Tokens
	Running bool // the first event has come
	calm    bool // the backend server had little to do when it was chosen
	firstAt time.Time
	ahead   float64 // prompt tokens that were to be read before
	sentAt  time.Time
	service entity.ServiceName
}

// Sum is the load of one daemon on one backend server.
type Sum struct {
	Server  entity.BackendServerID `cbor:"1,keyasint"`
	Waiting Waiting                `cbor:"2,keyasint"` // requests before their first event
	Running int                    `cbor:"3,keyasint,omitempty"`
	Memory  entity.Tokens          `cbor:"5,keyasint,omitempty"`
}

// Query describes a request to be placed.
type Query struct {
	Service    entity.ServiceName
	DataCentre entity.DataCentreID // of this daemon
	Rank       int
	Prompt     entity.Tokens
	Output     entity.Tokens
	Parts      []Part
	Exclude    []entity.BackendServerID
	keys       []CachedPart // of Parts
}

// Choice is a placement.
type Choice struct {
	Server entity.BackendServerID
	Cost   time.Duration // expected time to the first event
	// Uncached is how much of the prompt must be read.
	Uncached entity.Tokens
	Crowd    float64 // part of the service's slots that are taken
	load     Load
}

// Placer holds what is known of all backend servers. It is not safe for
// concurrent use.
type Placer struct {
	rng     *rand.Rand
	servers *entity.Table[entity.BackendServerID, row]
	speeds  *entity.Table[entity.ServiceName, speed]
	peers   *entity.Table[entity.InstanceID, peerLoad]
	forgot  time.Time // when daemons without news were last looked for
	newsAge float64   // of the other daemons' news on average, in ms
}

// row is a backend server with its load and memory of prompts.
type row struct {
	Server
	own    Sum
	others Sum // of all other daemons
	cache  promptCache
	health health
}

type peerLoad struct {
	sums  []Sum
	until time.Time
}

// New returns a placer that knows no backend servers.
func New(rng *rand.Rand) *Placer {
	return &Placer{
		rng:     rng,
		servers: entity.NewTable[entity.BackendServerID, row](),
		speeds:  entity.NewTable[entity.ServiceName, speed](),
		peers:   entity.NewTable[entity.InstanceID, peerLoad](),
	}
}

// SetServer adds a backend server or changes what is known of it.
func (p *Placer) SetServer(s Server) {
	r := p.servers.Get(s.ID)
	if r == nil {
		r = &row{cache: newPromptCache(s.Memory)}
		r.own.Server = s.ID
		p.servers.Put(s.ID, r)
		defer p.sumPeers()
	}
	r.Server = s
	r.cache.capacity = s.Memory
}

// SetNewsInterval says how much time lies between two messages of a daemon.
func (p *Placer) SetNewsInterval(d time.Duration) {
	p.newsAge = float64(d) / float64(time.Millisecond) / 2
}

// waitingWeight returns how much of the other daemons' waiting requests counts:
// news that is older than such a request lives says nothing of the present.
func (p *Placer) waitingWeight(s *speed, plain bool) float64 {
	life := s.first.predict(typicalPrompt)
	if plain {
		life = s.perRequest
	}
	return life / (life + p.newsAge)
}

// Remove forgets a backend server, its cached prompts and its failures.
func (p *Placer) Remove(id entity.BackendServerID) { p.servers.Delete(id) }

// Choose returns the backend server with the least cost among those that the
// caller finds usable.
func (p *Placer) Choose(now time.Time, q Query, usable func(entity.BackendServerID) bool) (Choice, bool) {
	var best *row
	var bestCost float64
	taken, slots := 0, 0
	q.keys = chain(q.Parts)
	noise := p.staleness()
	p.servers.All(func(id entity.BackendServerID, r *row) bool {
		if r.Service != q.Service || !usable(id) {
			return true
		}
		taken += r.taken()
		slots += r.Slots
		if slices.Contains(q.Exclude, id) {
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
	return p.choice(now, best, &q, float64(taken)/float64(max(slots, 1))), true
}

const (
	// leastNoise is added to costs at random, so that equal servers share.
	leastNoise = 1.0 // ms
	// noisePerPeer is added for each other daemon that chooses by the same, older
	// and older news: without it all would choose the same server at once.
	noisePerPeer = 0.2 // ms
	// knownPeers is the number of daemons whose news are still fresh enough.
	knownPeers = 16
)

// staleness returns the range of the noise, in milliseconds.
func (p *Placer) staleness() float64 {
	return leastNoise + noisePerPeer*float64(max(p.peers.Len()-knownPeers, 0))
}

func (p *Placer) choice(now time.Time, r *row, q *Query, crowd float64) Choice {
	uncached := r.cache.uncached(q.Prompt, q.keys)
	load := Load{
		Server: r.ID, Rank: q.Rank, Pending: uncached, Memory: q.Prompt + q.Output, Output: q.Output,
		ahead: p.queueAt(r, q.Rank).prompt, sentAt: now, service: r.Service,
	}
	return Choice{
		Server: r.ID, Crowd: crowd, Uncached: uncached, load: load,
		Cost: time.Duration(p.firstEvent(r, uncached, q.Rank) * float64(time.Millisecond)),
	}
}

func (r *row) taken() int {
	return r.own.Waiting.total() + r.own.Running + r.others.Waiting.total() + r.others.Running
}

// calm reports whether an engine has little to do.
func (r *row) calm() bool { return float64(r.taken()) <= calmPart*float64(r.Slots) }

// cost returns what placing the request there costs, in milliseconds.
func (p *Placer) cost(now time.Time, r *row, q *Query) float64 {
	cost := r.health.failing(now) * sickCost
	if r.DataCentre != q.DataCentre {
		cost += otherPlaceCost
	}
	s := p.speed(r.Service)
	if r.Memory == 0 {
		others := p.waitingWeight(s, true)
		mine := float64(r.own.Waiting.total()+r.own.Running) + others*float64(r.others.Waiting.total()+r.others.Running)
		return cost + s.perRequest*mine
	}
	memory := r.own.Memory + r.others.Memory + q.Prompt + q.Output
	if float64(memory) > memoryBound*float64(r.Memory) {
		cost += fullMemoryCost
	}
	return cost + p.firstEvent(r, r.cache.uncached(q.Prompt, q.keys), q.Rank)
}

// firstEvent returns the expected time to the first event in milliseconds.
func (p *Placer) firstEvent(r *row, uncached entity.Tokens, rank int) float64 {
	if r.Memory == 0 {
		// A request waits for a slot where all are taken.
		rounds := float64(r.taken()+1) / float64(max(r.Slots, 1))
		return p.speed(r.Service).perRequest * max(rounds, 1)
	}
	s := p.speed(r.Service)
	ahead := p.queueAt(r, rank)
	running := float64(r.own.Running + r.others.Running)
	wait := ahead.slots / float64(r.Slots) * s.perRun
	return wait + s.first.predict((ahead.prompt+float64(uncached))*(1+decodeDelay*running))
}

func (p *Placer) speed(service entity.ServiceName) *speed {
	s := p.speeds.Get(service)
	if s == nil {
		s = newSpeed()
		p.speeds.Put(service, s)
	}
	return s
}

// Take books the request on the chosen backend server.
func (p *Placer) Take(now time.Time, c Choice, parts []Part) *Load {
	load := c.load
	if r := p.servers.Get(load.Server); r != nil {
		r.own.Waiting.take(load.Rank, 1, load.Pending)
		r.own.Memory += load.Memory
		load.calm = r.calm()
		r.cache.add(now, parts)
	}
	return &load
}

// Began books the first event of a request.
func (p *Placer) Began(now time.Time, l *Load) {
	if l.Running {
		return
	}
	l.Running, l.firstAt = true, now
	r := p.servers.Get(l.Server)
	if r == nil {
		return
	}
	r.own.Waiting.take(l.Rank, -1, l.Pending)
	r.own.Running++
	r.health.good(now)
	if r.Memory == 0 && r.taken() <= r.Slots {
		p.speed(l.service).learnRequest(float64(now.Sub(l.sentAt)) / float64(time.Millisecond))
	}
	if r.Memory > 0 {
		p.learnFirst(r, l, float64(now.Sub(l.sentAt))/float64(time.Millisecond))
	}
}

// learnFirst takes the time in ms to a request's first event.
func (p *Placer) learnFirst(r *row, l *Load, took float64) {
	s := p.speed(l.service)
	running := float64(r.own.Running + r.others.Running)
	s.first.learn((l.ahead+float64(l.Pending))*(1+decodeDelay*running), took)
	if l.calm && r.calm() {
		s.calm.learn(l.ahead+float64(l.Pending), took)
	}
}

// End frees what a request took. Whole says that its answer was complete.
func (p *Placer) End(now time.Time, l *Load, whole bool) {
	r := p.servers.Get(l.Server)
	if whole && l.Running {
		s, ran := p.speed(l.service), float64(now.Sub(l.firstAt))/float64(time.Millisecond)
		s.learnRun(ran)
		if l.Output > 0 {
			s.learnOutput(ran, float64(l.Output), l.calm && r != nil && r.calm())
		}
	}
	if r == nil {
		return
	}
	if l.Running {
		r.own.Running--
	} else {
		r.own.Waiting.take(l.Rank, -1, l.Pending)
	}
	r.own.Memory -= l.Memory
}

// Failed notes that a backend server has failed a request. Weight is the part
// of a whole failure, up to 1.
func (p *Placer) Failed(now time.Time, id entity.BackendServerID, weight float64) {
	if r := p.servers.Get(id); r != nil {
		r.health.bad(now, weight)
	}
}

// Sums returns this daemon's load on all backend servers where it has any.
func (p *Placer) Sums() []Sum {
	var out []Sum
	p.servers.All(func(_ entity.BackendServerID, r *row) bool {
		if r.own.Waiting.total()+r.own.Running > 0 {
			out = append(out, r.own)
		}
		return true
	})
	return out
}

// Heard takes another daemon's load. It counts for the given time.
func (p *Placer) Heard(now time.Time, peer entity.InstanceID, sums []Sum, life time.Duration) {
	if old := p.peers.Get(peer); old != nil {
		p.addOthers(old.sums, -1)
	}
	p.peers.Put(peer, &peerLoad{sums: sums, until: now.Add(life)})
	p.addOthers(sums, 1)
	p.forget(now)
}

// Cached notes that another daemon has placed a prompt.
func (p *Placer) Cached(now time.Time, id entity.BackendServerID, part CachedPart) {
	if r := p.servers.Get(id); r != nil {
		r.cache.addKeys(now, []CachedPart{part})
	}
}

// forgetInterval is the least time between two looks for daemons without news.
const forgetInterval = 100 * time.Millisecond

// forget drops the load of daemons without recent news.
func (p *Placer) forget(now time.Time) {
	if now.Sub(p.forgot) < forgetInterval {
		return
	}
	p.forgot = now
	for _, id := range p.peers.Keys() {
		if l := p.peers.Get(id); now.After(l.until) {
			p.addOthers(l.sums, -1)
			p.peers.Delete(id)
		}
	}
}

func (p *Placer) sumPeers() {
	p.servers.All(func(_ entity.BackendServerID, r *row) bool {
		r.others = Sum{}
		return true
	})
	p.peers.All(func(_ entity.InstanceID, l *peerLoad) bool {
		p.addOthers(l.sums, 1)
		return true
	})
}

// addOthers adds a daemon's load, or takes it off with the sign -1.
func (p *Placer) addOthers(sums []Sum, sign int) {
	for i := range sums {
		s := &sums[i]
		r := p.servers.Get(s.Server)
		if r == nil {
			continue
		}
		r.others.Waiting.add(&s.Waiting, sign)
		r.others.Running += sign * s.Running
		r.others.Memory += entity.Tokens(sign) * s.Memory
	}
}
