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

// simulation is one run in virtual time.
type simulation struct {
	cfg            *Config
	policy         Policy
	rng            *rand.Rand
	cores          []*exchange.Core
	engines        []*engine
	tickets        map[*request]*exchange.Ticket // of requests placed by a core
	outstanding    [][]int                       // open requests, by daemon and engine
	roundRobinTurn []int                         // policy RoundRobin: requests placed so far, by daemon
	retries        []*request                    // of callers that come back, by the time of their next try
	now            time.Duration                 // virtual, since the start of the run
	result         *Result
}

// Run simulates the experiment with one policy and one seed.
func Run(cfg *Config, policy Policy, seed uint64) *Result {
	s := &simulation{
		cfg: cfg, policy: policy, rng: rand.New(rand.NewPCG(seed, 1)), tickets: map[*request]*exchange.Ticket{},
		result: newResult(cfg, policy, seed),
	}
	requests := drawRequests(cfg, rand.New(rand.NewPCG(seed, 2)))
	s.setUp()
	s.runEvents(requests)
	return s.result
}

// virtualTime converts a time since the start of the run to the time that the
// daemons' cores see.
func virtualTime(sinceStart time.Duration) time.Time { return time.Unix(0, 0).Add(sinceStart) }

// setUp creates the engines and the daemons' cores.
func (s *simulation) setUp() {
	for n := range s.cfg.Engines {
		e := newEngine(entity.BackendServerID(fmt.Sprintf("e%d", n)), &s.cfg.Engine)
		if factors := s.cfg.TimeFactors; len(factors) > 0 {
			e.timeFactor = factors[n%len(factors)]
		}
		s.engines = append(s.engines, e)
	}
	doc := s.document()
	for n := range s.cfg.Daemons {
		c := exchange.New(exchange.Config{
			Self: exchange.Member{Name: entity.InstanceID(fmt.Sprintf("d%d", n)), Start: 1, DataCentre: s.dataCentreOf(n)},
			Rand: rand.New(rand.NewPCG(s.rng.Uint64(), 3)), Started: virtualTime(0),
			DisableRejection: s.policy == NeverRejecting || s.policy == FirstCome,
			ServerPace:       s.policy == Paced, LoadShedding: s.policy == Shedding,
			Bounds: exchange.Bounds{
				StaleAfter: 24 * time.Hour, RetryRatio: 0.2, RetryReserve: 10, UsageWindow: time.Second,
				ForgetServerAfter: time.Minute, UpdateIntervalPerPeer: milliseconds(s.cfg.UpdateIntervalMs) / time.Duration(max(s.cfg.Daemons-1, 1)), ForgetPeerAfter: time.Minute,
			},
		})
		c.SetListedDaemons(virtualTime(0), s.cfg.Daemons)
		c.SetDocument(virtualTime(0), doc)
		c.Confirm(virtualTime(0))
		for i, e := range s.engines {
			c.PutServer(virtualTime(0), s.backendServer(i, e, exchange.Ready))
		}
		s.cores = append(s.cores, c)
		s.outstanding = append(s.outstanding, make([]int, s.cfg.Engines))
	}
	s.roundRobinTurn = make([]int, s.cfg.Daemons)
	s.applyEnginePatterns()
}

func (s *simulation) dataCentreOf(n int) entity.DataCentreID {
	return entity.DataCentreID(fmt.Sprintf("dc%d", n%s.cfg.DataCentres))
}

func (s *simulation) backendServer(i int, e *engine, state exchange.ServerState) exchange.BackendServer {
	return exchange.BackendServer{
		ID: e.id, Born: 1, Service: serviceName, DataCentre: s.dataCentreOf(i), Slots: s.cfg.Engine.Slots, State: state,
	}
}

func (s *simulation) document() *exchange.Document {
	doc := &exchange.Document{Version: 1, Services: []exchange.Service{{
		Name:   serviceName,
		Engine: &exchange.Engine{Slots: s.cfg.Engine.Slots, CacheTokens: tokens(s.cfg.Engine.MemoryTokens)},
	}}}
	for i := range s.cfg.Classes {
		c := &s.cfg.Classes[i]
		doc.Routes = append(doc.Routes, exchange.Route{
			Name: c.Name, Host: hostName, Prefix: "/" + c.Name + "/", Kind: exchange.Stream, Public: true, ModelWork: true,
			Timeout: milliseconds(c.DeadlineMs), Objective: milliseconds(c.ObjectiveMs), Priority: c.Priority,
			Targets: []exchange.Target{{Service: serviceName, Weight: 1}}, MaxServers: 1,
		})
	}
	return doc
}

// runEvents advances the virtual time from event to event until all requests have
// ended.
func (s *simulation) runEvents(requests []*request) {
	updateInterval := milliseconds(s.cfg.UpdateIntervalMs)
	sender, nextUpdate := 0, updateInterval/time.Duration(len(s.cores))
	for len(requests) > 0 || len(s.retries) > 0 || s.hasWork() {
		e := s.nextEngine()
		next := s.nextArrival(requests)
		switch {
		case next != nil && (e == nil || next.nextTry <= e.stepEnd) && next.nextTry <= nextUpdate:
			s.now = next.nextTry
			if len(s.retries) > 0 && next == s.retries[0] {
				s.retries = s.retries[1:]
			} else {
				requests = requests[1:]
			}
			s.handleArrival(next)
		case e != nil && e.stepEnd <= nextUpdate:
			s.now = e.stepEnd
			s.runEngineStep(e)
		default:
			s.now = nextUpdate
			sender++
			nextUpdate = updateInterval * time.Duration(sender+1) / time.Duration(len(s.cores))
			s.sendUpdate(sender % len(s.cores))
			if sender%len(s.cores) == 0 {
				s.result.shares.endInterval(s.usableEngines())
			}
			s.applyEnginePatterns()
		}
	}
}

func (s *simulation) hasWork() bool { return s.nextEngine() != nil }

// nextEngine returns the engine with work whose next step starts first, or nil.
func (s *simulation) nextEngine() *engine {
	var first *engine
	for _, e := range s.engines {
		if len(e.running)+len(e.waiting) > 0 && (first == nil || e.stepEnd < first.stepEnd) {
			first = e
		}
	}
	return first
}

// sendUpdate passes a daemon's state update to all other daemons. The daemons send theirs one
// after the other, evenly over the interval.
func (s *simulation) sendUpdate(i int) {
	if !s.policy.byCores() {
		return
	}
	from := s.cores[i]
	from.Tick(virtualTime(s.now))
	update := from.NextUpdate(virtualTime(s.now))
	for j, to := range s.cores {
		if i != j {
			to.ReceiveUpdate(virtualTime(s.now), &update, 0)
		}
	}
}

// announceState reports an engine's changed state to all daemons. They take the
// engine with its new Born for a new process, without cached prompts or load.
func (s *simulation) announceState(n int, e *engine) {
	state := exchange.Ready
	if e.reclaimed {
		state = exchange.Draining
	}
	for _, c := range s.cores {
		server := s.backendServer(n, e, state)
		server.Born = int64(s.now) + 1
		c.PutServer(virtualTime(s.now), server)
	}
}

func (s *simulation) handleArrival(r *request) {
	engineIndex, priority, refusal := s.chooseWithRoom(r)
	if refusal != nil {
		if !s.scheduleRetry(r, refusal.RetryAfter) {
			s.result.recordRefusal(r)
		}
		return
	}
	if s.policy == FirstCome {
		priority = 0
	}
	s.outstanding[r.daemon][engineIndex]++
	s.result.shares.add(engineIndex, s.engines[engineIndex].work(r))
	s.engines[engineIndex].enqueue(s.now, &job{
		request: r, daemon: r.daemon, remainingTokens: r.outputTokens, priority: priority, memoryTokens: r.promptTokens + r.outputTokens, sentAt: s.now,
	})
}

// chooseEngine chooses an engine by the policy. It returns a refusal if there is
// none or the request is refused.
func (s *simulation) chooseEngine(r *request) (engineIndex, priority int, refusal *exchange.Refusal) {
	usable := s.usableEngines()
	if len(usable) == 0 {
		return 0, 0, exchange.Refuse(exchange.Unavailable, "no-backend-server")
	}
	switch s.policy {
	case Random:
		return usable[s.rng.IntN(len(usable))], r.class.Priority, nil
	case RoundRobin:
		s.roundRobinTurn[r.daemon]++
		return usable[s.roundRobinTurn[r.daemon]%len(usable)], r.class.Priority, nil
	case LeastOutstanding:
		best := usable[0]
		for _, i := range usable {
			if s.outstanding[r.daemon][i] < s.outstanding[r.daemon][best] {
				best = i
			}
		}
		return best, r.class.Priority, nil
	default:
		return s.decideByCore(r)
	}
}

// usableEngines returns the indices of the engines that get new requests.
func (s *simulation) usableEngines() []int {
	var usable []int
	for i, e := range s.engines {
		if !e.reclaimed {
			usable = append(usable, i)
		}
	}
	return usable
}

// decideByCore lets the daemon's core admit and place the request.
func (s *simulation) decideByCore(r *request) (engineIndex, priority int, refusal *exchange.Refusal) {
	c := s.cores[r.daemon]
	ticket, refusal := c.Admit(virtualTime(s.now), virtualTime(s.now), exchange.Request{
		ID: entity.RequestID(fmt.Sprint(r.number, "-", r.tries)), Method: "POST", Host: hostName, Path: "/" + r.class.Name + "/x",
		Patience: r.arrival + milliseconds(r.class.DeadlineMs) - s.now,
		Work: exchange.Work{
			Stated: true, Prompt: tokens(r.promptTokens), MaxOutput: tokens(2 * r.class.OutputTokens), Output: tokens(r.outputTokens), Parts: r.promptParts,
		},
	})
	if refusal != nil {
		return 0, 0, refusal
	}
	assignment, refusal := c.Place(virtualTime(s.now), ticket)
	if refusal != nil {
		c.Finish(virtualTime(s.now), ticket)
		return 0, 0, refusal
	}
	s.tickets[r] = ticket
	for i, e := range s.engines {
		if e.id == assignment.Server {
			return i, assignment.Priority, nil
		}
	}
	return 0, 0, exchange.Refuse(exchange.Unavailable, "no-backend-server")
}

// runEngineStep runs one step of an engine and reports its results to the
// statistics and the daemons' cores.
func (s *simulation) runEngineStep(e *engine) {
	result := e.runStep(s.now)
	firstEventDelay := milliseconds(s.cfg.Engine.FirstEventDelayMs * e.timeFactor * e.slowFactor)
	for _, j := range result.firstEvents {
		s.result.recordFirstEvent(j.request, e.stepEnd+firstEventDelay-j.request.arrival)
		if t := s.tickets[j.request]; t != nil {
			c := s.cores[j.daemon]
			c.RecordStatement(virtualTime(e.stepEnd+firstEventDelay), t, s.statement(e, 0), true)
			c.Started(virtualTime(e.stepEnd+firstEventDelay), t)
		}
	}
	for _, j := range result.finished {
		s.result.recordAnswer(j)
		s.outstanding[j.daemon][s.indexOf(e)]--
		if t := s.tickets[j.request]; t != nil {
			c := s.cores[j.daemon]
			c.Ended(virtualTime(e.stepEnd+firstEventDelay), t, exchange.Answered)
			c.Finish(virtualTime(e.stepEnd+firstEventDelay), t)
			delete(s.tickets, j.request)
		}
	}
}

func (s *simulation) indexOf(e *engine) int {
	for i := range s.engines {
		if s.engines[i] == e {
			return i
		}
	}
	return 0
}
