package exchange

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// limitRun is a run of a fleet in which engines state limits.
type limitRun struct {
	*testFleet
	told     map[toldKey]time.Time      // when a daemon first passed on an answer with a server's limit
	arrivals map[*fleetServer][]arrival // at servers that state a limit
	named    map[*fleetServer]time.Time // when a server first stated its limit
	refused  map[string]int             // refusals by code
	paused   bool                       // callers send nothing
}

type toldKey struct {
	daemon *fleetDaemon
	starts int64
	server *fleetServer
}

const (
	// Bounds of the users' contract: a limit binds limitGrace after a server first stated
	// it, for the daemons that had passed it on toldDelay before; in any limitWindow the
	// server may get limitFactor times what it allows, and limitSlack requests more.
	limitGrace  = 3 * time.Second
	toldDelay   = 500 * time.Millisecond
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// newLimitRun returns a fleet whose callers send requests to engines, at about the given
// interval.
func newLimitRun(t *testing.T, seed uint64, daemons, servers int, interval time.Duration) *limitRun {
	r := &limitRun{
		testFleet: newTestFleet(t, seed, daemons, servers), told: map[toldKey]time.Time{},
		arrivals: map[*fleetServer][]arrival{}, named: map[*fleetServer]time.Time{}, refused: map[string]int{},
	}
	r.onArrival = func(a arrival) {
		if a.server.limit.Stated {
			a.at = r.now
			r.arrivals[a.server] = append(r.arrivals[a.server], a)
		}
	}
	r.onAnswer = func(d *fleetDaemon, s *fleetServer) {
		if key := (toldKey{d, d.starts, s}); s.limit.Stated && r.told[key].IsZero() {
			r.told[key] = r.now
		}
	}
	r.onRefusal = func(_ *fleetDaemon, _ Request, refusal *Refusal) { r.refused[refusal.Code]++ }
	r.every(interval, func() {
		if r.paused {
			return
		}
		req := testRequest("", "/talk/x", "k3")
		req.Patience = 5 * time.Second
		req.Work = Work{Stated: true, Prompt: 2000, MaxOutput: 100}
		r.send(r.daemons[r.rng.IntN(len(r.daemons))], req)
	})
	return r
}

// engines returns the fleet's engines.
func (f *testFleet) engines() []*fleetServer {
	var out []*fleetServer
	for _, s := range f.servers {
		if s.Service == "engine" {
			out = append(out, s)
		}
	}
	return out
}

// name lets a server state a limit from now on.
func (r *limitRun) name(s *fleetServer, perSecond float64) {
	s.limit = RateLimit{Stated: true, PerSecond: perSecond}
	r.arrivals[s] = nil
	r.named[s] = r.now
}

// check checks the arrivals at a server since it stated its present limit.
func (r *limitRun) check(s *fleetServer) {
	r.t.Helper()
	allowed := limitFactor*s.limit.PerSecond*limitWindow.Seconds() + limitSlack
	var window []time.Time
	for _, a := range r.arrivals[s] {
		told := r.told[toldKey{a.daemon, a.daemon.starts, s}]
		if told.IsZero() || a.at.Sub(told) < toldDelay {
			continue
		}
		window = append(window, a.at)
		for a.at.Sub(window[0]) > limitWindow {
			window = window[1:]
		}
		if a.at.Sub(r.named[s]) > limitGrace && float64(len(window)) > allowed {
			r.t.Errorf("%s, limit %v a second: %d requests in %v, at %v after it stated that; %.1f allowed",
				s.ID, s.limit.PerSecond, len(window), limitWindow, a.at.Sub(r.named[s]).Round(time.Millisecond), allowed)
			return
		}
	}
	if len(r.arrivals[s]) == 0 {
		r.t.Errorf("%s, limit %v a second: no request at all", s.ID, s.limit.PerSecond)
	}
}

// TestLimit_ServerGetsNoMoreThanItStates: daemons know only later what the others send.
func TestLimit_ServerGetsNoMoreThanItStates(t *testing.T) {
	for _, daemons := range []int{1, 3, 9, 89, 410} {
		t.Run(fmt.Sprint("daemons=", daemons), func(t *testing.T) {
			t.Parallel()
			r := newLimitRun(t, 1, daemons, 8, 5*time.Millisecond)
			r.run(3 * time.Second)
			engines := r.engines()
			limits := []float64{0.3, 1, 1.6, 5, 12}
			for i, limit := range limits {
				r.name(engines[i], limit)
			}
			r.run(15 * time.Second)
			for i := range limits {
				r.check(engines[i])
			}
			for code, n := range r.refused {
				t.Errorf("%d requests refused (%s), although there are servers without a limit", n, code)
			}
		})
	}
}

// TestLimit_ThroughTroubleOfDaemons: what the daemons know of limits and of each other
// changes while the limits hold.
func TestLimit_ThroughTroubleOfDaemons(t *testing.T) {
	for name, trouble := range map[string]func(*limitRun){
		"daemons restart one after the other": func(r *limitRun) {
			for _, d := range r.daemons {
				r.start(d)
				r.run(700 * time.Millisecond)
			}
		},
		"all daemons restart at once": func(r *limitRun) {
			for _, d := range r.daemons {
				r.start(d)
			}
			r.run(6 * time.Second)
		},
		"a daemon is cut off from the others": func(r *limitRun) {
			r.daemons[4].cut = true
			r.run(6 * time.Second)
			r.daemons[4].cut = false
			r.run(6 * time.Second)
		},
		"half of the daemons are cut off": func(r *limitRun) {
			for _, d := range r.daemons[:4] {
				d.cut = true
			}
			r.run(6 * time.Second)
			for _, d := range r.daemons[:4] {
				d.cut = false
			}
			r.run(6 * time.Second)
		},
		"the limit changes": func(r *limitRun) {
			for _, perSecond := range []float64{6, 0.5, 2} {
				for _, s := range r.engines()[:3] {
					r.name(s, perSecond)
				}
				r.run(8 * time.Second)
				for _, s := range r.engines()[:3] {
					r.check(s)
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newLimitRun(t, 1, 9, 8, 5*time.Millisecond)
			r.run(3 * time.Second)
			for i, limit := range []float64{0.5, 1.5, 4} {
				r.name(r.engines()[i], limit)
			}
			r.run(5 * time.Second)
			trouble(r)
			r.run(4 * time.Second)
			for _, s := range r.engines()[:3] {
				r.check(s)
			}
		})
	}
}

// TestLimit_EndIsKnownToAllDaemons: a server that states no limit any more gets as many
// requests as the others again.
func TestLimit_EndIsKnownToAllDaemons(t *testing.T) {
	for _, daemons := range []int{1, 9, 89} {
		t.Run(fmt.Sprint("daemons=", daemons), func(t *testing.T) {
			r := newLimitRun(t, 1, daemons, 4, 5*time.Millisecond)
			r.run(2 * time.Second)
			s := r.engines()[0]
			r.name(s, 1)
			r.run(6 * time.Second)
			limited := len(r.arrivals[s])
			r.arrivals[s] = nil
			end := r.now
			count := 0
			r.onArrival = func(a arrival) {
				if a.server == s && a.at.Sub(end) > 3*time.Second {
					count++
				}
			}
			s.limit = RateLimit{}
			r.run(6 * time.Second)
			if limited > 40 || count < 50 {
				t.Errorf("%d requests in 6 s at a limit of 1 a second, %d in the last 3 s without one; want about 6 and 150", limited, count)
			}
		})
	}
}

// TestLimit_RequestThatFitsNowhereIsRejectedAtOnce: all servers of a service state limits
// below the demand.
func TestLimit_RequestThatFitsNowhereIsRejectedAtOnce(t *testing.T) {
	for _, daemons := range []int{1, 3, 9} {
		t.Run(fmt.Sprint("daemons=", daemons), func(t *testing.T) {
			r := newLimitRun(t, 1, daemons, 3, 20*time.Millisecond)
			r.run(2 * time.Second)
			for _, s := range r.engines() {
				r.name(s, 2)
			}
			r.onRefusal = func(_ *fleetDaemon, req Request, refusal *Refusal) {
				r.refused[refusal.Code]++
				if refusal.Status != Unavailable || refusal.RetryAfter < 50*time.Millisecond || refusal.RetryAfter > 3*time.Second {
					t.Errorf("refused with %+v, want a time to come back", refusal)
				}
			}
			r.run(15 * time.Second)
			for _, s := range r.engines() {
				r.check(s)
			}
			if r.refused["limited"] == 0 || len(r.refused) != 1 {
				t.Errorf("refusals by code: %v, want only limited", r.refused)
			}
		})
	}
}

// TestLimit_TimeToComeBackIsTrue: a request that no server could take comes back at the
// time that it was told, and is served.
func TestLimit_TimeToComeBackIsTrue(t *testing.T) {
	c := newTestCore(t, "a")
	c.Tick(at(acquaintanceTime))
	for _, id := range []entity.BackendServerID{"plain0", "plain1", "plain2"} {
		c.setLimit(zero, entity.ServerProcess{Server: id, Born: 1}, RateLimit{Stated: true, PerSecond: 0.5}, zero, "")
	}
	for i := range 8 {
		now := at(time.Duration(i+1) * 10 * time.Second)
		for n := 0; ; n++ {
			c.Confirm(now)
			ticket := mustAdmit(t, c, now, testRequest("r", "/x", "k3"))
			_, refusal := c.Place(now, ticket)
			c.Finish(now, ticket)
			if refusal == nil && n < 10 {
				continue
			}
			if refusal == nil {
				t.Fatal("ten requests placed at once at three servers that take one in two seconds each")
			}
			now = now.Add(refusal.RetryAfter)
			break
		}
		c.Confirm(now)
		mustPlace(t, c, now, mustAdmit(t, c, now, testRequest("r", "/x", "k3")))
	}
}

// TestLimit_RandomTrouble mixes restarts, cuts and changes of limits.
func TestLimit_RandomTrouble(t *testing.T) {
	for _, daemons := range []int{3, 9, 20} {
		for seed := uint64(1); seed <= 4; seed++ {
			t.Run(fmt.Sprintf("daemons=%d/seed=%d", daemons, seed), func(t *testing.T) {
				r := newLimitRun(t, seed, daemons, 8, 5*time.Millisecond)
				r.run(5 * time.Second)
				for i, limit := range []float64{0.5, 1.5, 4} {
					r.name(r.engines()[i], limit)
				}
				for range 12 {
					r.injectTrouble()
					r.run(r.random(3 * time.Second))
				}
				r.run(8 * time.Second)
				for _, s := range r.engines()[:3] {
					r.check(s)
				}
			})
		}
	}
}

func (r *limitRun) injectTrouble() {
	d := r.daemons[r.rng.IntN(len(r.daemons))]
	switch r.rng.IntN(3) {
	case 0:
		r.start(d)
	case 1:
		d.cut = true
		r.after(r.random(9*time.Second), func() { d.cut = false })
	case 2:
		r.name(r.engines()[r.rng.IntN(3)], 0.2+5*r.rng.Float64())
	}
}

// TestPlace_LargeRequestsUseLimits: a limit counts requests, so that small ones leave it to
// large ones while another server can take them.
func TestPlace_LargeRequestsUseLimits(t *testing.T) {
	c := newTestCore(t, "a")
	c.RemoveServer(zero, "engine2", 0)
	now := at(acquaintanceTime)
	c.Tick(now)
	c.setLimit(now, entity.ServerProcess{Server: "engine0", Born: 1}, RateLimit{Stated: true, PerSecond: 1}, now, "")
	place := func(after time.Duration, prompt entity.Tokens) entity.BackendServerID {
		now = now.Add(after)
		c.Confirm(now)
		req := testRequest("r", "/talk/x", "k3")
		req.Patience = 5 * time.Second
		req.Work = Work{Stated: true, Prompt: prompt, MaxOutput: 10}
		return mustPlace(t, c, now, mustAdmit(t, c, now, req)).Server
	}
	for range 4 { // so that the mean size is known, and engine1 is busy
		place(0, 4000)
	}
	if got := place(1100*time.Millisecond, 500); got != "engine1" {
		t.Errorf("a small request is placed on %s, want engine1: the limit of engine0 allows one request", got)
	}
	if got := place(0, 8000); got != "engine0" {
		t.Errorf("a large request is placed on %s, want engine0, which its limit allows", got)
	}
	if got := place(1600*time.Millisecond, 500); got != "engine0" {
		t.Errorf("a small request is placed on %s, want engine0: no large one has used its limit", got)
	}
}

// TestTargetServers_ServersWithLimitsAreReplaced: all engines state limits far below the
// demand.
func TestTargetServers_ServersWithLimitsAreReplaced(t *testing.T) {
	r := newLimitRun(t, 1, 3, 6, 20*time.Millisecond)
	leader := r.daemons[0].core
	planned := func() int {
		sum := 0
		for _, n := range leader.TargetServers(r.now) {
			sum += n.Count
		}
		return sum
	}
	r.run(6 * time.Second)
	before := planned()
	for _, s := range r.engines()[:4] {
		r.name(s, 1)
	}
	r.run(6 * time.Second)
	if n := planned(); n < before+3 {
		t.Errorf("%d servers planned, %d before four of six stated limits of an eighth of what they get", n, before)
	}
	for _, s := range r.engines()[:4] {
		s.limit = RateLimit{}
	}
	r.run(60 * time.Second)
	for range 30 {
		planned()
		r.run(time.Second)
	}
	if n := planned(); n > before {
		t.Errorf("%d servers planned a minute after the limits have ended, %d before them", n, before)
	}
}

// TestLimit_MissedEndIsForgotten: two daemons know a limit of which one has a part. While
// that one announces it, both keep it; when nobody does, the other one drops it.
func TestLimit_MissedEndIsForgotten(t *testing.T) {
	cores := map[bool]*Core{} // by whether they have a part
	process := entity.ServerProcess{Server: "plain0", Born: 1}
	a, b := newTestCore(t, "a"), newTestCore(t, "b")
	for _, c := range []*Core{a, b} {
		for _, other := range []*Core{a, b} {
			c.AddMember(at(time.Second), other.cfg.Self)
		}
		c.Tick(at(acquaintanceTime))
		c.setLimit(at(acquaintanceTime), process, RateLimit{Stated: true, PerSecond: 1}, at(time.Second), "")
		cores[c.statements.inForce(process).bucket.Rate() > 0] = c
	}
	holder, other := cores[true], cores[false]
	now := at(acquaintanceTime)
	exchangeUpdates := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(time.Second) {
			update, reply := holder.NextUpdate(now), other.NextUpdate(now)
			other.ReceiveUpdate(now, &update, other.sequence)
			holder.ReceiveUpdate(now, &reply, holder.sequence)
			holder.Tick(now)
			other.Tick(now)
		}
	}
	exchangeUpdates(2 * time.Minute)
	if holder.statements.inForce(process) == nil || other.statements.inForce(process) == nil {
		t.Fatal("a limit that its holder announces is dropped")
	}
	holder.setLimit(now, process, RateLimit{}, now, "") // it ends, and its announcement is lost
	exchangeUpdates(limitExpiryFactor*other.cfg.Bounds.ForgetPeerAfter + limitRefreshInterval)
	if other.statements.inForce(process) != nil {
		t.Error("a limit that nobody announces is not dropped")
	}
}

// TestLimit_LastsWithoutTraffic: a server that nobody sends requests states nothing, and may
// still be in need.
func TestLimit_LastsWithoutTraffic(t *testing.T) {
	r := newLimitRun(t, 1, 9, 8, 5*time.Millisecond)
	r.run(3 * time.Second)
	s := r.engines()[0]
	r.name(s, 1)
	r.run(6 * time.Second)
	r.paused = true
	r.run(2 * time.Minute)
	r.paused = false
	r.run(8 * time.Second)
	r.check(s)
}
