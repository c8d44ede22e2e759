package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
)

const (
	serviceName = entity.ServiceName("engines")
	hostName    = "experiment"
)

// world is one run in virtual time.
type world struct {
	cfg     *Config
	policy  Policy
	rng     *rand.Rand
	cores   []*exchange.Core
	engines []*engine
	tickets map[*request]*exchange.Ticket
	own     [][]int // requests of each daemon at each engine
	turn    []int   // of round robin
	now     time.Duration
	result  *Result
}

// Run plays one seed with one policy.
func Run(cfg *Config, policy Policy, seed uint64) *Result {
	w := &world{
		cfg: cfg, policy: policy, rng: rand.New(rand.NewPCG(seed, 1)), tickets: map[*request]*exchange.Ticket{},
		result: newResult(cfg, policy, seed),
	}
	requests := load(cfg, rand.New(rand.NewPCG(seed, 2)))
	w.setUp()
	w.play(requests)
	return w.result
}

func at(d time.Duration) time.Time { return time.Unix(0, 0).Add(d) }

func (w *world) setUp() {
	for n := range w.cfg.Engines {
		w.engines = append(w.engines, newEngine(entity.BackendServerID(fmt.Sprintf("e%d", n)), &w.cfg.Engine))
	}
	doc := w.document()
	for n := range w.cfg.Daemons {
		c := exchange.New(exchange.Config{
			Self: exchange.Member{Name: entity.InstanceID(fmt.Sprintf("d%d", n)), Start: 1, DataCentre: w.dataCentre(n)},
			Rand: rand.New(rand.NewPCG(w.rng.Uint64(), 3)), Started: at(0),
			TurnNobodyAway: w.policy == NeverRefusing,
			Bounds: exchange.Bounds{
				StaleAfter: 24 * time.Hour, RetryRatio: 0.2, RetrySlack: 10, UsageWindow: time.Second,
				ForgetServer: time.Minute, NewsPerPeer: milliseconds(w.cfg.NewsMs) / time.Duration(max(w.cfg.Daemons-1, 1)), PeerForget: time.Minute,
			},
		})
		c.SetDocument(at(0), doc)
		c.Confirm(at(0))
		for i, e := range w.engines {
			c.PutServer(at(0), w.server(i, e, exchange.Ready))
		}
		w.cores = append(w.cores, c)
		w.own = append(w.own, make([]int, w.cfg.Engines))
	}
	w.turn = make([]int, w.cfg.Daemons)
}

func (w *world) dataCentre(n int) entity.DataCentreID {
	return entity.DataCentreID(fmt.Sprintf("dc%d", n%w.cfg.DataCentres))
}

func (w *world) server(i int, e *engine, state exchange.ServerState) exchange.BackendServer {
	return exchange.BackendServer{
		ID: e.id, Born: 1, Service: serviceName, DataCentre: w.dataCentre(i), Slots: w.cfg.Engine.Slots, State: state,
	}
}

func (w *world) document() *exchange.Document {
	doc := &exchange.Document{Version: 1, Services: []exchange.Service{{
		Name:   serviceName,
		Engine: &exchange.Engine{Slots: w.cfg.Engine.Slots, CacheTokens: tokens(w.cfg.Engine.MemoryTokens)},
	}}}
	for i := range w.cfg.Classes {
		c := &w.cfg.Classes[i]
		doc.Routes = append(doc.Routes, exchange.Route{
			Name: c.Name, Host: hostName, Prefix: "/" + c.Name + "/", Kind: exchange.Stream, Public: true, ModelWork: true,
			Timeout: milliseconds(c.DeadlineMs), Objective: milliseconds(c.ObjectiveMs), Priority: c.Priority,
			Targets: []exchange.Target{{Service: serviceName, Weight: 1}}, MaxServers: 1,
		})
	}
	return doc
}

// play advances from event to event until all requests have ended.
func (w *world) play(requests []*request) {
	news := milliseconds(w.cfg.NewsMs)
	nextNews := news
	for len(requests) > 0 || w.busy() {
		e := w.nextStep()
		switch {
		case len(requests) > 0 && (e == nil || requests[0].at <= e.free) && requests[0].at <= nextNews:
			w.now = requests[0].at
			w.arrive(requests[0])
			requests = requests[1:]
		case e != nil && e.free <= nextNews:
			w.now = e.free
			w.step(e)
		default:
			w.now = nextNews
			nextNews += news
			w.tell()
			w.reclaim()
		}
	}
}

func (w *world) busy() bool { return w.nextStep() != nil }

// nextStep returns the engine whose next step begins first.
func (w *world) nextStep() *engine {
	var first *engine
	for _, e := range w.engines {
		if len(e.running)+len(e.waiting) > 0 && (first == nil || e.free < first.free) {
			first = e
		}
	}
	return first
}

// tell lets all daemons hear all others.
func (w *world) tell() {
	if w.policy != Product && w.policy != NeverRefusing {
		return
	}
	for i, from := range w.cores {
		n := from.News(at(w.now))
		for j, to := range w.cores {
			if i != j {
				to.Heard(at(w.now), &n, 0)
			}
		}
	}
}

// reclaim takes engines away whose wave has come. What they run is finished.
func (w *world) reclaim() {
	for i := range w.cfg.Patterns {
		p := &w.cfg.Patterns[i]
		if p.Kind != "reclaim" {
			continue
		}
		count := int(p.Share * float64(w.cfg.Engines))
		for n, e := range w.engines[:min(count, len(w.engines))] {
			if gone := p.active(w.now); gone != e.gone {
				e.gone = gone
				w.announce(n, e)
			}
		}
	}
}

func (w *world) announce(n int, e *engine) {
	state := exchange.Ready
	if e.gone {
		state = exchange.Draining
	}
	for _, c := range w.cores {
		s := w.server(n, e, state)
		s.Born = int64(w.now) + 1
		c.PutServer(at(w.now), s)
	}
}

func (w *world) arrive(r *request) {
	n, priority, ok := w.place(r)
	if !ok {
		w.result.refused(r)
		return
	}
	w.own[r.daemon][n]++
	w.engines[n].add(w.now, &job{
		request: r, daemon: r.daemon, left: r.output, priority: priority, memory: r.prompt + r.output, sent: w.now,
	})
}

// place chooses an engine by the policy.
func (w *world) place(r *request) (n, priority int, ok bool) {
	var usable []int
	for i, e := range w.engines {
		if !e.gone {
			usable = append(usable, i)
		}
	}
	if len(usable) == 0 {
		return 0, 0, false
	}
	switch w.policy {
	case Random:
		return usable[w.rng.IntN(len(usable))], r.class.Priority, true
	case RoundRobin:
		w.turn[r.daemon]++
		return usable[w.turn[r.daemon]%len(usable)], r.class.Priority, true
	case LeastOutstanding:
		best := usable[0]
		for _, i := range usable {
			if w.own[r.daemon][i] < w.own[r.daemon][best] {
				best = i
			}
		}
		return best, r.class.Priority, true
	default:
		return w.decide(r)
	}
}

// decide asks the daemon's core.
func (w *world) decide(r *request) (n, priority int, ok bool) {
	c := w.cores[r.daemon]
	ticket, refusal := c.Admit(at(w.now), at(w.now), exchange.Request{
		ID: entity.RequestID(fmt.Sprint(r.index)), Method: "POST", Host: hostName, Path: "/" + r.class.Name + "/x",
		Work: exchange.Work{
			Stated: true, Prompt: tokens(r.prompt), MaxOutput: tokens(2 * r.class.Output), Output: tokens(r.output), Parts: r.parts,
		},
	})
	if refusal != nil {
		return 0, 0, false
	}
	a, refusal := c.Place(at(w.now), ticket)
	if refusal != nil {
		c.Finish(at(w.now), ticket)
		return 0, 0, false
	}
	w.tickets[r] = ticket
	for i, e := range w.engines {
		if e.id == a.Server {
			return i, a.Priority, true
		}
	}
	return 0, 0, false
}

// step runs one step of an engine and passes on what it brings.
func (w *world) step(e *engine) {
	p := e.run(w.now)
	first := milliseconds(w.cfg.Engine.FirstMs)
	for _, j := range p.first {
		w.result.first(j.request, e.free+first-j.request.at)
		if t := w.tickets[j.request]; t != nil {
			w.cores[j.daemon].Began(at(e.free+first), t)
		}
	}
	for _, j := range p.done {
		w.result.done(j)
		w.own[j.daemon][w.index(e)]--
		if t := w.tickets[j.request]; t != nil {
			c := w.cores[j.daemon]
			c.Ended(at(e.free+first), t, exchange.Answered)
			c.Finish(at(e.free+first), t)
			delete(w.tickets, j.request)
		}
	}
}

func (w *world) index(e *engine) int {
	for i := range w.engines {
		if w.engines[i] == e {
			return i
		}
	}
	return 0
}
