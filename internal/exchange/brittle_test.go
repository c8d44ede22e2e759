package exchange

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

const (
	brittleSlots = 8
	// brittleQueue is how many requests may wait at a sound engine beside those that run, and
	// brittleLessQueue how many at one that is brittle.
	brittleQueue     = 24
	brittleLessQueue = 0
	// brittleRejections is the number of rejections in a second that an engine stands.
	brittleRejections = 3
	// brittleGrace is the time from when engines are brittle until they let fewer wait.
	brittleGrace = 3 * time.Second
	// brittleRestart is how long an engine that has fallen is away.
	brittleRestart = 3 * time.Second
	// brittleRunTime is how long a request runs.
	brittleRunTime = time.Second
)

// brittleRun is a run of a fleet whose engines are brittle for some time: from brittleGrace on they
// let fewer wait, and fall over when they have to turn too many away in a second.
type brittleRun struct {
	*testFleet
	since    time.Time // when they became brittle; zero: they are not
	rejected map[*fleetServer][]time.Time
	falls    int
	served   int
	refused  map[string]int
}

// newBrittleRun returns a fleet whose callers ask for the given multiple of what the engines can do.
func newBrittleRun(t *testing.T, seed uint64, daemons, engines int, load float64) *brittleRun {
	r := &brittleRun{testFleet: newTestFleet(t, seed, daemons, engines), rejected: map[*fleetServer][]time.Time{}, refused: map[string]int{}}
	for _, s := range r.engines() {
		s.Slots = brittleSlots
		s.Sequence++
		for _, d := range r.daemons {
			d.core.PutServer(r.now, s.BackendServer)
		}
	}
	r.runDuration = func(Request) (time.Duration, time.Duration) { return brittleRunTime / 4, brittleRunTime }
	r.rejects = r.turnsAway
	r.onRefusal = func(_ *fleetDaemon, _ Request, refusal *Refusal) { r.refused[refusal.Code]++ }
	r.onEnd = func(_ entity.RequestID, answered bool) {
		if answered {
			r.served++
		}
	}
	n := 0
	r.every(time.Duration(float64(brittleRunTime)/(load*brittleSlots*float64(engines))), func() {
		n++
		req := testRequest("", "/talk/x", "k3")
		req.Content = entity.Digest{byte(n), byte(n >> 8), byte(n >> 16), 1}
		req.Patience = 15 * time.Second
		req.Work = Work{Stated: true, Prompt: 200, MaxOutput: 100}
		r.send(r.daemons[r.rng.IntN(len(r.daemons))], req)
	})
	return r
}

// turnsAway reports whether a server has no room for the request that has just arrived.
func (r *brittleRun) turnsAway(s *fleetServer) bool {
	if s.Service != "engine" {
		return false
	}
	queue := brittleQueue
	if !r.since.IsZero() && r.now.Sub(r.since) >= brittleGrace {
		queue = brittleLessQueue
	}
	if len(s.runs) < brittleSlots+queue {
		return false
	}
	if r.since.IsZero() {
		return true
	}
	list := append(r.rejected[s], r.now)
	for r.now.Sub(list[0]) > time.Second {
		list = list[1:]
	}
	r.rejected[s] = list
	if len(list) > s.brittle.MaxRejections {
		r.fall(s)
	}
	return true
}

// fall ends an engine's process. Another one starts under its ID after a while.
func (r *brittleRun) fall(s *fleetServer) {
	r.falls++
	delete(r.rejected, s)
	r.crash(s)
	r.after(brittleRestart, func() { r.replaceWith(s, s.ID, s.Born+1, func(*BackendServer) {}); s.replacedBy.brittle = s.brittle })
}

// setBrittle has all engines be brittle from now on.
func (r *brittleRun) setBrittle() {
	r.since = r.now
	for _, s := range r.engines() {
		s.brittle = Brittleness{Stated: true, MaxRejections: brittleRejections}
	}
}

// check checks the bound of the users' contract, and that the engines were not left idle.
func (r *brittleRun) check(engines int, served int, duration time.Duration) {
	r.t.Helper()
	r.t.Logf("%d falls, %d served in %v, refused %v", r.falls, served, duration, r.refused)
	if allowed := 2 + engines/10; r.falls > allowed {
		r.t.Errorf("engines fell over %d times, %d allowed", r.falls, allowed)
	}
	if capacity := float64(engines*brittleSlots) * duration.Seconds() / brittleRunTime.Seconds(); float64(served) < 0.6*capacity {
		r.t.Errorf("%d requests served in %v, of %.0f that the engines could", served, duration, capacity)
	}
}

var brittleSizes = []struct{ daemons, engines int }{{1, 3}, {3, 3}, {9, 3}, {9, 40}, {89, 40}, {195, 40}}

// TestBrittle_ServersDoNotFall: callers ask for more than brittle engines can do.
func TestBrittle_ServersDoNotFall(t *testing.T) {
	for _, size := range brittleSizes {
		t.Run(fmt.Sprintf("daemons=%d,engines=%d", size.daemons, size.engines), func(t *testing.T) {
			t.Parallel()
			r := newBrittleRun(t, 1, size.daemons, size.engines, 1.5)
			r.run(5 * time.Second)
			r.setBrittle()
			r.run(brittleGrace)
			r.served = 0
			r.run(15 * time.Second)
			r.check(size.engines, r.served, 15*time.Second)
		})
	}
}

// TestBrittle_ThroughTroubleOfDaemons: what the daemons know of the engines and of each other changes
// while the engines are brittle.
func TestBrittle_ThroughTroubleOfDaemons(t *testing.T) {
	for name, trouble := range map[string]func(*brittleRun){
		"daemons restart one after the other": func(r *brittleRun) {
			for _, d := range r.daemons {
				r.start(d)
				r.run(700 * time.Millisecond)
			}
		},
		"all daemons restart at once": func(r *brittleRun) {
			for _, d := range r.daemons {
				r.start(d)
			}
			r.run(6 * time.Second)
		},
		"half of the daemons are cut off": func(r *brittleRun) {
			for _, d := range r.daemons[:4] {
				d.cut = true
			}
			r.run(6 * time.Second)
			for _, d := range r.daemons[:4] {
				r.reconnect(d)
			}
			r.run(4 * time.Second)
		},
		"a daemon stands still": func(r *brittleRun) {
			r.suspend(r.daemons[4], 2*time.Second)
			r.run(6 * time.Second)
		},
		"engines fall for another reason": func(r *brittleRun) {
			for _, s := range r.engines()[:2] {
				r.fall(s)
				r.falls--
			}
			r.run(8 * time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newBrittleRun(t, 1, 9, 6, 1.5)
			r.run(5 * time.Second)
			r.setBrittle()
			r.run(brittleGrace)
			r.run(3 * time.Second)
			r.served = 0
			begun := r.now
			trouble(r)
			r.run(4 * time.Second)
			if allowed := 2; r.falls > allowed {
				t.Errorf("engines fell over %d times, %d allowed", r.falls, allowed)
			}
			t.Logf("%d falls, %d served in %v, refused %v", r.falls, r.served, r.now.Sub(begun), r.refused)
		})
	}
}

// TestBrittle_TwoFallsTightenTheBound: after two falls half of the slots are used, and the capacity
// plan makes up for the others, until no server is brittle any more.
func TestBrittle_TwoFallsTightenTheBound(t *testing.T) {
	c := newTestCore(t, "a")
	now := at(acquaintanceTime)
	c.Tick(now)
	var processes []entity.ServerProcess
	for i := range 4 {
		s := BackendServer{ID: entity.BackendServerID(fmt.Sprint("e", i)), Born: 1, Sequence: 1, Service: "engine", Address: fmt.Sprint("10.0.0.9:", i), Slots: 8, State: Ready}
		c.PutServer(now, s)
		p := entity.ServerProcess{Server: s.ID, Born: s.Born}
		processes = append(processes, p)
		c.setBrittle(now, &BrittleStatement{Process: p, Service: "engine", Stated: true, MaxRejections: 3}, "")
	}
	places := func() int { return c.places(c.statements.brittle.Get("engine"), c.servers.Get(processes[3].Server)) }
	if n, withheld := places(), c.withheldServers(now, "engine"); n != 9 || withheld != 0 {
		t.Errorf("%d places, %v servers withheld before any fall, want 9 and 0", n, withheld)
	}
	for _, p := range processes[:fallsToTighten] {
		c.recordDeath(now, now, p, proofAnnounced)
	}
	listed := 0.0
	c.servers.All(func(_ entity.BackendServerID, r *serverRow) bool {
		if r.Service == "engine" && r.listed && c.inService(r) {
			listed++
		}
		return true
	})
	if n, withheld := places(), c.withheldServers(now, "engine"); n != 4 || withheld != listed/2 {
		t.Errorf("%d places, %v of %v servers withheld after two falls, want 4 and half of them", n, withheld, listed)
	}
	for _, p := range processes {
		c.recordBrittle(now.Add(time.Second), p, now.Add(500*time.Millisecond), Brittleness{})
	}
	if c.statements.brittle.Len() != 0 || c.withheldServers(now, "engine") != 0 {
		t.Error("the service is brittle although no server says so any more")
	}
}

// TestBrittle_RejectionsAreNewsForTheOthers: more daemons are turned away within a second than the
// shares of all allow. The others use half of their places at that server for a second, before they
// are turned away there, too.
func TestBrittle_RejectionsAreNewsForTheOthers(t *testing.T) {
	a, b := newTestCore(t, "a"), newTestCore(t, "b")
	now := at(acquaintanceTime)
	s := BackendServer{ID: "e0", Born: 1, Sequence: 1, Service: "engine", Address: "10.0.0.9:1", Slots: 16, State: Ready}
	p := entity.ServerProcess{Server: s.ID, Born: s.Born}
	for _, c := range []*Core{a, b} {
		c.PutServer(now, s)
		c.Tick(now)
	}
	exchangeNews := func(now time.Time) {
		for _, pair := range [][2]*Core{{a, b}, {b, a}} {
			update := pair[0].NextUpdate(now)
			pair[1].ReceiveUpdate(now, &update, 0)
		}
		a.Tick(now)
		b.Tick(now)
	}
	exchangeNews(now)
	a.recordBrittle(now, p, now, Brittleness{Stated: true, MaxRejections: 1})
	exchangeNews(now)
	usable := func(now time.Time) int {
		return b.placesNow(now, b.statements.brittle.Get("engine"), b.servers.Get(s.ID))
	}
	all := usable(now)
	a.recordBrittleRejection(now, p)
	exchangeNews(now.Add(10 * time.Millisecond))
	if n := usable(now.Add(20 * time.Millisecond)); all < 2 || n != all/2 {
		t.Errorf("%d places of %d used after another daemon was turned away, want half", n, all)
	}
	if a.hasPlace(now.Add(20*time.Millisecond), s.ID) {
		t.Error("the daemon that was turned away has places there")
	}
	if n := usable(now.Add(rejectionPause + 20*time.Millisecond)); n != all {
		t.Errorf("%d places of %d a second later", n, all)
	}
}

// TestBrittle_AnswerAfterTheEntryWasRemoved: the last answers of a server that has left say that it is
// brittle. Its service stays so.
func TestBrittle_AnswerAfterTheEntryWasRemoved(t *testing.T) {
	c := newTestCore(t, "a")
	p := entity.ServerProcess{Server: "e0", Born: 1}
	c.PutServer(zero, BackendServer{ID: p.Server, Born: p.Born, Sequence: 1, Service: "engine", Address: "10.0.0.9:1", Slots: 8, State: Ready})
	c.recordBrittle(zero, p, zero, Brittleness{Stated: true, MaxRejections: 2})
	c.servers.Delete(p.Server)
	c.recordBrittle(at(time.Second), p, zero, Brittleness{Stated: true, MaxRejections: 2})
	c.updateBrittle(at(time.Second))
	if c.statements.brittle.Get("engine") == nil {
		t.Error("the service is not brittle any more")
	}
}
