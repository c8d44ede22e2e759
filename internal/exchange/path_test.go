package exchange

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

const (
	// Bounds of the users' contract: from pathGrace after the beginning of a cut, first tries at
	// the daemons that are cut from all servers are served at least minServedRatio as often as
	// those at the others, or no more than cutFailures and one in cutFailureShare fail there.
	pathGrace       = 3 * time.Second
	minServedRatio  = 2.0 / 3
	cutFailures     = 10
	cutFailureShare = 50
)

// pathRun is a run of a fleet in which daemons lose their paths to all servers.
type pathRun struct {
	*testFleet
	atCut   map[entity.RequestID]bool // requests of callers, by whether their daemon was cut
	served  map[bool]int
	refused map[string]int
	paused  bool // callers send nothing
}

// newPathRun returns a fleet whose callers send a request at about the given interval.
func newPathRun(t *testing.T, seed uint64, daemons, servers int, interval time.Duration) *pathRun {
	r := &pathRun{testFleet: newTestFleet(t, seed, daemons, servers)}
	r.reset()
	r.onRefusal = func(d *fleetDaemon, _ Request, refusal *Refusal) {
		if d.path != fleetPathOpen {
			r.refused[refusal.Code]++
		}
	}
	r.onEnd = func(id entity.RequestID, answered bool) {
		if cut, known := r.atCut[id]; known && answered {
			r.served[cut]++
		}
	}
	paths := []string{"/x", "/talk/x"}
	r.every(interval, func() {
		if r.paused {
			return
		}
		d := r.daemons[r.rng.IntN(len(r.daemons))]
		req := testRequest("", paths[r.rng.IntN(len(paths))], "k3")
		req.Patience = 2 * time.Second
		r.atCut[r.nextID()] = d.path != fleetPathOpen
		r.send(d, req)
	})
	return r
}

// settle waits for the answers to the requests that have been sent.
func (r *pathRun) settle() {
	r.paused = true
	r.run(2 * time.Second)
	r.paused = false
}

// reset forgets the requests so far.
func (r *pathRun) reset() {
	r.atCut, r.served, r.refused = map[entity.RequestID]bool{}, map[bool]int{}, map[string]int{}
}

// check checks that the daemons that are cut have served enough.
func (r *pathRun) check() {
	r.t.Helper()
	tries := map[bool]int{}
	for _, cut := range r.atCut {
		tries[cut]++
	}
	failed, allowed := tries[true]-r.served[true], cutFailures+(tries[true]+tries[false])/cutFailureShare
	ratio := float64(r.served[true]) / float64(max(tries[true], 1))
	others := float64(r.served[false]) / float64(max(tries[false], 1))
	if ratio < minServedRatio*others && failed > allowed {
		r.t.Errorf("daemons that are cut served %d of %d first tries, the others %d of %d; refused there: %v", r.served[true], tries[true], r.served[false], tries[false], r.refused)
	}
}

// TestPath_DaemonsCutFromAllServersServe: some or most of the daemons are cut, twice, and each
// time go back to their own connections afterwards.
func TestPath_DaemonsCutFromAllServersServe(t *testing.T) {
	for name, path := range map[string]fleetPath{"hang": fleetPathHangs, "refuse": fleetPathRefuses} {
		for _, daemons := range []int{3, 9, 89} {
			for _, cut := range []int{1, daemons / 3, daemons - 1} {
				for _, interval := range []time.Duration{4 * time.Millisecond, 150 * time.Millisecond} {
					t.Run(fmt.Sprintf("%s/daemons=%d/cut=%d/interval=%v", name, daemons, cut, interval), func(t *testing.T) {
						t.Parallel()
						r := newPathRun(t, 1, daemons, 8, interval)
						r.run(3 * time.Second)
						for range 2 {
							r.cutPaths(path, cut)
						}
					})
				}
			}
		}
	}
}

// cutPaths cuts some daemons from all servers for some time, and checks what callers get
// meanwhile and afterwards.
func (r *pathRun) cutPaths(path fleetPath, daemons int) {
	r.t.Helper()
	for _, d := range r.daemons[:daemons] {
		d.path = path
	}
	r.run(pathGrace)
	r.reset()
	r.run(9 * time.Second)
	r.check()
	for _, d := range r.daemons[:daemons] {
		d.path = fleetPathOpen
	}
	r.run(time.Second)
	r.reset()
	forwarded := r.forwarded
	r.run(2 * time.Second)
	r.settle()
	if n := len(r.atCut) - r.served[false]; n > len(r.atCut)/20+5 {
		r.t.Errorf("%d of %d requests not served from one second after the end of the cut", n, len(r.atCut))
	}
	if n := r.forwarded - forwarded; n > 0 {
		r.t.Errorf("%d attempts forwarded more than a second after the end of the cut", n)
	}
}

// TestPath_AllDaemonsCut: nobody can forward, so that requests are rejected at once with a time to
// come back, and served soon after the end.
func TestPath_AllDaemonsCut(t *testing.T) {
	r := newPathRun(t, 1, 9, 8, 4*time.Millisecond)
	r.run(2 * time.Second)
	for _, d := range r.daemons {
		d.path = fleetPathHangs
	}
	r.run(pathGrace)
	r.reset()
	r.onRefusal = func(_ *fleetDaemon, _ Request, refusal *Refusal) {
		r.refused[refusal.Code]++
		if refusal.Status != Unavailable || refusal.RetryAfter <= 0 || refusal.RetryAfter > 2*noPathRetryDelay {
			t.Errorf("refused with %+v, want a time to come back", refusal)
		}
	}
	r.run(3 * time.Second)
	if len(r.refused) != 1 || r.refused["no-path"] == 0 {
		t.Errorf("refused: %v, want no-path only", r.refused)
	}
	for _, d := range r.daemons {
		d.path = fleetPathOpen
	}
	r.run(time.Second)
	r.reset()
	r.run(2 * time.Second)
	r.settle()
	if n := len(r.atCut) - r.served[false]; n > len(r.atCut)/20 {
		t.Errorf("%d of %d requests not served from a second after the end of the cut", n, len(r.atCut))
	}
}

// TestPath_ServersAreDown: all servers of a service have ended. No daemon forwards in a circle.
func TestPath_ServersAreDown(t *testing.T) {
	r := newPathRun(t, 1, 9, 4, 4*time.Millisecond)
	r.run(2 * time.Second)
	for _, s := range r.engines() {
		r.crash(s)
	}
	r.run(2 * time.Second)
	forwarded, sent := r.forwarded, r.sent
	r.run(2 * time.Second)
	if n := r.forwarded - forwarded; n > (r.sent-sent)/50 {
		t.Errorf("%d attempts forwarded for %d requests while all daemons find the servers down", n, r.sent-sent)
	}
}

// TestPath_RefusedConnectionsOfACutAreNoDeaths: a daemon whose connections are refused by its path
// does not have the others take the servers for dead.
func TestPath_RefusedConnectionsOfACutAreNoDeaths(t *testing.T) {
	r := newPathRun(t, 1, 9, 8, 4*time.Millisecond)
	r.run(2 * time.Second)
	r.daemons[0].path = fleetPathRefuses
	r.run(time.Second)
	announced := map[entity.ServerProcess]bool{}
	r.onNotice = func(_ *fleetDaemon, n *Notice) {
		for _, d := range n.DeadProcesses {
			announced[entity.ServerProcess{Server: d.Server, Born: d.Born}] = true
		}
	}
	r.run(6 * time.Second)
	if len(announced) > 0 {
		t.Errorf("servers announced as dead by a daemon that has been cut from them for a second: %v", announced)
	}
}

// TestPath_FirstRefusalsOfACutAreNoDeaths: in the first second of a cut, one server of each of the
// two services may be announced as dead, before the path is in doubt.
func TestPath_FirstRefusalsOfACutAreNoDeaths(t *testing.T) {
	r := newPathRun(t, 1, 9, 8, 4*time.Millisecond)
	r.run(2 * time.Second)
	announced := map[entity.ServerProcess]bool{}
	r.onNotice = func(_ *fleetDaemon, n *Notice) {
		for _, d := range n.DeadProcesses {
			announced[entity.ServerProcess{Server: d.Server, Born: d.Born}] = true
		}
	}
	r.daemons[0].path = fleetPathRefuses
	r.run(time.Second)
	if len(announced) > 2 {
		t.Errorf("%d servers announced as dead by a daemon that is cut from them, 2 allowed: %v", len(announced), announced)
	}
}

// TestMayForward_RefusesWhatItWouldNotSend: a daemon forwards nothing that it knows a reason
// against.
func TestMayForward_RefusesWhatItWouldNotSend(t *testing.T) {
	process := entity.ServerProcess{Server: "plain0", Born: 1}
	for name, reason := range map[string]func(*Core, *Forwarded){
		"it stops":          func(c *Core, _ *Forwarded) { c.Leave(at(time.Minute)) },
		"server leaves":     func(c *Core, _ *Forwarded) { c.setLeaving(zero, process, zero, "") },
		"server drains":     func(c *Core, _ *Forwarded) { c.servers.Get(process.Server).State = Draining },
		"server rests":      func(c *Core, _ *Forwarded) { c.setRest(zero, process, zero, at(time.Minute)) },
		"no path":           func(c *Core, _ *Forwarded) { c.paths.row("plain").lostAt = zero },
		"decision too old":  func(c *Core, f *Forwarded) { f.SentAt -= maxForwardAge + time.Second },
		"nothing is wrong ": nil,
	} {
		c := newTestCore(t, "a")
		c.SetTrueTime(time.Hour)
		trueTime, _ := c.TrueTime(at(time.Second))
		f := &Forwarded{Process: process, Service: "plain", SentAt: trueTime}
		if reason != nil {
			reason(c, f)
		}
		if got := c.MayForward(at(time.Second), f); got != (reason == nil) {
			t.Errorf("%s: may forward %v", name, got)
		}
	}
}

// TestAddresses_DaemonsWithoutPathsAreLeftOut unless most of them have none.
func TestAddresses_DaemonsWithoutPathsAreLeftOut(t *testing.T) {
	r := newPathRun(t, 1, 9, 8, 4*time.Millisecond)
	r.run(2 * time.Second)
	for _, want := range []struct{ cut, addresses int }{{3, 6}, {6, 9}} {
		for _, d := range r.daemons[:want.cut] {
			d.path = fleetPathRefuses
		}
		r.run(pathGrace)
		if got := len(r.daemons[8].core.servingMembers(r.now)); got != want.addresses {
			t.Errorf("%d of 9 daemons cut: %d listed, want %d", want.cut, got, want.addresses)
		}
	}
}

// TestPath_DeathsFoundOutAfterALoss: all servers of a service die, one after the other, under one
// content, so that the path to them counts as lost. When others prove that it is not, the daemon
// must find out that the first ones have died: the content's next request would end another one.
func TestPath_DeathsFoundOutAfterALoss(t *testing.T) {
	f := newTestFleet(t, 1, 1, 2)
	f.run(time.Second)
	f.crashAfter = func(Request) time.Duration { return time.Millisecond }
	died := f.engines()
	for range died {
		req := testRequest("", "/talk/x", "k3")
		req.Content = entity.Digest{7}
		f.send(f.daemons[0], req)
		f.run(20 * time.Millisecond)
	}
	f.run(time.Second)
	if core := f.daemons[0].core; !core.pathLost("engine") {
		t.Fatalf("the path does not count as lost; up: %v %v; %+v", died[0].up, died[1].up, core.paths.row("engine"))
	}
	for i, s := range died {
		entry := s.BackendServer
		entry.ID, entry.Address = entity.BackendServerID(fmt.Sprint("engine", 10+i)), fmt.Sprint("10.0.0.2:", i)
		f.startReplacement(s, entry, 0)
	}
	f.run(2 * time.Second)
	core := f.daemons[0].core
	if core.pathLost("engine") {
		t.Error("the path counts as lost although two servers can be reached")
	}
	for _, s := range died {
		if s.up {
			t.Fatalf("%s is up", s.ID)
		}
		if !core.deaths.isDead(f.now, entity.ServerProcess{Server: s.ID, Born: s.Born}) {
			t.Errorf("the death of %s is not known", s.ID)
		}
	}
}
