package exchange

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// maxMixedStreams is the number of streams that may hold events of two versions, over all
// tries at all daemons, according to the users' contract.
const maxMixedStreams = 2

// minTakenUp is the number of streams that must be taken up for their share to be judged.
const minTakenUp = 12

// streamCaller is a caller that reads a stream and takes it up again when it breaks.
type streamCaller struct {
	first   entity.RequestID // that brought the first event
	version string           // of the server that wrote the first event
	tries   int
	counted bool // the present try counts in takenUp
	done    bool // the stream is complete, or was given up
	mixed   bool // it holds events of two versions
}

// versionRun is a run of a fleet whose engines have several versions.
type versionRun struct {
	*testFleet
	callers    map[entity.RequestID]*streamCaller // by the ID of the present try
	mixed      int
	asked      int // new streams
	begun      int // of these, those that began
	takenUp    int // tries to continue a stream at a daemon in touch
	continued  int // of these, those that got an event
	nextServer int
	maxTries   int           // of a caller, after which it gives up
	contact    time.Duration // how long a daemon has been up and not cut off when it counts as in touch
}

const (
	// streamLength is how long a stream lasts from its first event.
	streamLength = 1500 * time.Millisecond
	// maxTries is the number of tries after which a caller gives up.
	maxTries = 4
	// contactTime is how long a daemon has been up and not cut off when it counts as in touch.
	contactTime = 3 * time.Second
)

// newVersionRun returns a fleet whose engines have the given versions in turn, and whose
// callers read streams.
func newVersionRun(t testing.TB, seed uint64, daemons int, versions ...string) *versionRun {
	r := &versionRun{testFleet: newTestFleet(t, seed, daemons, 9), callers: map[entity.RequestID]*streamCaller{}, maxTries: maxTries, contact: contactTime}
	r.runDuration = func(Request) (time.Duration, time.Duration) {
		start := 50*time.Millisecond + r.random(100*time.Millisecond)
		return start, start + streamLength
	}
	for i, s := range r.engines() {
		s.Version = versions[i%len(versions)]
	}
	r.versions.use = true
	r.restart(r.daemons) // so that no daemon knows of the versions before
	r.onBegin = r.begins
	r.onEnd = r.ends
	r.run(2 * time.Second)
	r.every(20*time.Millisecond, func() { r.try(&streamCaller{}, "") })
	return r
}

// try sends a caller's next try to a daemon.
func (r *versionRun) try(c *streamCaller, after string) {
	d := r.daemons[r.rng.IntN(len(r.daemons))]
	c.tries++
	req := testRequest("", "/talk/x", "k3")
	req.Patience = 15 * time.Second
	req.After = after
	if after != "" {
		req.Resumes = c.first
		c.counted = d.inTouch(r.now) > r.contact && r.serving(c.version) >= 2
		if c.counted {
			r.takenUp++
		}
	} else {
		r.asked++
	}
	r.whenRunning(d, func() {
		id := r.nextID()
		r.callers[id] = c
		r.send(d, req)
	})
}

// begins records that a caller has got an event of a server.
func (r *versionRun) begins(run *fleetRun, s *fleetServer) {
	id := run.ticket.Request.ID
	c := r.callers[id]
	if c == nil || c.done {
		return
	}
	if c.first == "" {
		c.first, c.version = id, s.Version
		r.begun++
		return
	}
	if c.counted {
		c.counted = false
		r.continued++
	}
	if s.Version != c.version && !c.mixed {
		c.mixed = true
		r.mixed++
	}
}

// serving returns the number of engines of a version that are up.
func (r *versionRun) serving(version string) int {
	n := 0
	for _, s := range r.engines() {
		if s.up && s.Version == version {
			n++
		}
	}
	return n
}

// ends lets a caller try again when its try has ended without a complete answer.
func (r *versionRun) ends(id entity.RequestID, answered bool) {
	c := r.callers[id]
	delete(r.callers, id)
	if c == nil || c.done {
		return
	}
	if answered || c.tries >= r.maxTries {
		c.done = true
		return
	}
	after := ""
	if c.first != "" {
		after = "3"
	}
	r.after(60*time.Millisecond+r.random(200*time.Millisecond), func() { r.try(c, after) })
}

// check checks the bounds of the contract.
func (r *versionRun) check() {
	r.t.Helper()
	r.t.Logf("%d streams began of %d; %d of %d that were taken up at daemons in touch went on; %d hold events of two versions",
		r.begun, r.asked, r.continued, r.takenUp, r.mixed)
	if r.mixed > maxMixedStreams {
		r.t.Errorf("%d streams hold events of two versions, %d allowed", r.mixed, maxMixedStreams)
	}
	if r.takenUp < minTakenUp {
		return
	}
	if share, of := float64(r.continued)/float64(max(r.takenUp, 1)), float64(r.begun)/float64(r.asked); share < of/2 {
		r.t.Errorf("%.2f of the streams that were taken up went on, %.2f of new ones began", share, of)
	}
}

// crashSome ends some engines, which come back under other IDs with the version that next
// returns.
func (r *versionRun) crashSome(n int, next func(old string) string) {
	r.eachCrashed(n, func(s *fleetServer) {
		r.after(time.Second+r.random(2*time.Second), func() {
			r.nextServer++
			id := entity.BackendServerID(fmt.Sprint("next", r.nextServer))
			r.replaceWith(s, id, r.now.UnixMilli(), func(e *BackendServer) { e.Version = next(e.Version) })
		})
	})
}

// replaceSome ends some engines, which come back under the same ID with another version. Their
// entries are late.
func (r *versionRun) replaceSome(n int, entryDelay time.Duration) {
	r.eachCrashed(n, func(s *fleetServer) {
		r.after(time.Second, func() {
			entry := s.BackendServer
			entry.Born = r.now.UnixMilli()
			entry.Version = map[string]string{"v1": "v2", "v2": "v1"}[s.Version]
			r.startReplacement(s, entry, entryDelay)
		})
	})
}

// eachCrashed ends some engines and calls f for each of them.
func (r *versionRun) eachCrashed(n int, f func(*fleetServer)) {
	engines := r.engines()
	for _, i := range r.rng.Perm(len(engines)) {
		s := engines[i]
		if n > 0 && s.up && s.replacedBy == nil {
			n--
			r.crash(s)
			f(s)
		}
	}
}

// versionFaults are the faults that a fleet has in series while engines of several versions
// serve.
var versionFaults = []struct {
	name     string
	interval time.Duration
	strike   func(r *versionRun)
}{
	{"engines-crash", time.Second, func(r *versionRun) { r.crashSome(1, same) }},
	{"rolling-release", time.Second, func(r *versionRun) { r.crashSome(1, func(string) string { return "v3" }) }},
	{"one-restarts", time.Second, func(r *versionRun) {
		r.restart(r.some(0))
		r.crashSome(1, same)
	}},
	{"some-restart", 4 * time.Second, func(r *versionRun) {
		r.restart(r.some(0.35))
		r.crashSome(2, same)
	}},
	{"all-restart", 5 * time.Second, func(r *versionRun) {
		r.restart(r.daemons)
		r.after(3500*time.Millisecond, func() { r.crashSome(3, same) })
	}},
	{"cut-off", 5 * time.Second, func(r *versionRun) {
		cut := r.some(0.3)
		for _, d := range cut {
			d.cut = true
		}
		r.crashSome(2, same)
		r.after(2*time.Second, func() {
			for _, d := range cut {
				r.reconnect(d)
			}
		})
	}},
	{"suspended", 4 * time.Second, func(r *versionRun) {
		for _, d := range r.some(0.3) {
			r.suspend(d, 1500*time.Millisecond)
		}
		r.crashSome(2, same)
	}},
	{"table-away", 6 * time.Second, func(r *versionRun) {
		r.tableAway = true
		r.restart(r.some(0.3))
		r.crashSome(2, same)
		r.after(2*time.Second, func() { r.tableAway = false })
	}},
}

func same(version string) string { return version }

// TestStreamVersion_HoldsOverAllTriesAndDaemons: a caller takes a stream up at any daemon, also
// when the one that began it has been killed.
func TestStreamVersion_HoldsOverAllTriesAndDaemons(t *testing.T) {
	for _, daemons := range []int{3, 9, 89} {
		for _, fault := range versionFaults {
			for _, versions := range [][]string{{"v1", "v2"}, {"v1"}} {
				t.Run(fmt.Sprint(fault.name, "/daemons=", daemons, "/versions=", len(versions)), func(t *testing.T) {
					t.Parallel()
					r := newVersionRun(t, uint64(daemons), daemons, versions...)
					r.run(4 * time.Second)
					for range max(int(30*time.Second/fault.interval), 1) {
						fault.strike(r)
						r.run(fault.interval)
					}
					r.check()
				})
			}
		}
	}
}

// replaceInSeries replaces two engines every 2 s, whose entries are 1.5 s late.
func (r *versionRun) replaceInSeries() {
	r.run(4 * time.Second)
	for range 15 {
		r.replaceSome(2, 1500*time.Millisecond)
		r.run(2 * time.Second)
	}
}

// TestStreamVersion_SameIDWithALateEntry: servers come back under the same ID with another
// version, and daemons learn of their entries late.
func TestStreamVersion_SameIDWithALateEntry(t *testing.T) {
	for _, daemons := range []int{3, 9, 89} {
		for _, versions := range [][]string{{"v1", "v2"}, {"v1"}} {
			t.Run(fmt.Sprint("daemons=", daemons, "/versions=", len(versions)), func(t *testing.T) {
				t.Parallel()
				r := newVersionRun(t, uint64(daemons), daemons, versions...)
				r.replaceInSeries()
				r.check()
			})
		}
	}
}

// TestStreamVersion_ProcessThatDiesBeforeItsEntry: engines come back under their ID with another
// version, and end again before their entry is read or any daemon has a connection to them.
func TestStreamVersion_ProcessThatDiesBeforeItsEntry(t *testing.T) {
	r := newVersionRun(t, 1003, 3, "v1", "v2")
	r.replaceInSeries()
	r.check()
}

// TestConnectionsLost_ServersThatMayHaveEndedAreDialled: once a second at most, and neither
// servers that drain nor dead ones.
func TestConnectionsLost_ServersThatMayHaveEndedAreDialled(t *testing.T) {
	c := newTestCore(t, "d1")
	address := c.servers.Get("engine0").Address
	lose := func(at time.Duration) int {
		c.ConnectionsLost(zero.Add(at), []string{address})
		return len(c.TakeProbes())
	}
	if n := lose(0); n != 1 {
		t.Fatalf("%d probes after a connection was lost, want 1", n)
	}
	c.ProbeEnded(zero, Probe{Process: c.servers.Get("engine0").process(), Address: address}, Reachable)
	if n := lose(minSilenceProbeInterval / 2); n != 0 {
		t.Errorf("%d probes of a server that has just been dialled", n)
	}
	if n := lose(2 * minSilenceProbeInterval); n != 1 {
		t.Errorf("%d probes later, want 1", n)
	}
	c.ProbeEnded(zero, Probe{Process: c.servers.Get("engine0").process(), Address: address}, Refused)
	if n := lose(10 * minSilenceProbeInterval); n != 0 {
		t.Errorf("%d probes of a dead server", n)
	}
}

// TestPutServer_ProcessThatDiedBeforeItsEntryWasRead: the version of the process that answers
// then is not known, although its predecessor's entry is there.
func TestPutServer_ProcessThatDiedBeforeItsEntryWasRead(t *testing.T) {
	for name, c := range map[string]struct {
		diedAt time.Duration // after the start that the entry names
		known  bool
	}{
		"before its start": {-time.Second, true},
		"at its start":     {0, true},
		"after its start":  {time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			core := newTestCore(t, "d1")
			core.SetTrueTime(0)
			now := zero.Add(10 * time.Second)
			s := core.servers.Get("engine0").BackendServer
			core.recordDeath(now, now.Add(c.diedAt), core.servers.Get("engine0").process(), proofRefused)
			s.Born, s.Version = now.UnixMilli(), "v2"
			core.PutServer(now.Add(1500*time.Millisecond), s)
			if got := core.servers.Get("engine0").versionKnown(now.Add(2 * time.Second)); got != c.known {
				t.Errorf("version known: %v, want %v", got, c.known)
			}
		})
	}
}

// startStream starts a stream and returns its ticket and the version of its server.
func startStream(t *testing.T, c *Core, req Request) (*Ticket, string) {
	t.Helper()
	ticket := mustAdmit(t, c, zero, req)
	a := mustPlace(t, c, zero, ticket)
	c.Started(zero, ticket)
	return ticket, a.ServerVersion
}

// newVersionCore returns a core whose engines have the given versions.
func newVersionCore(t *testing.T, name string, versions ...string) *Core {
	t.Helper()
	c := newTestCore(t, name)
	for i, version := range versions {
		s := c.servers.Get(entity.BackendServerID(fmt.Sprint("engine", i))).BackendServer
		s.Version = version
		s.Sequence++
		c.PutServer(zero, s)
	}
	return c
}

// TestStreamVersion_BrokenStreamStaysAtItsVersion: within one answer.
func TestStreamVersion_BrokenStreamStaysAtItsVersion(t *testing.T) {
	for _, versions := range [][]string{{"v1", "v2", "v2"}, {"v1", "v1", "v2"}, {"v1", "v2", "v3"}} {
		for n := range 20 {
			c := newVersionCore(t, "d1", versions...)
			ticket, began := startStream(t, c, testRequest(fmt.Sprint("r", n), "/talk/x", "k3"))
			if refusal := c.Ended(zero, ticket, Broken); refusal != nil {
				t.Fatalf("resumable stream is not continued: %+v", *refusal)
			}
			a, refusal := c.Place(zero, ticket)
			if refusal == nil && a.ServerVersion != began {
				t.Fatalf("stream of %s goes on at %s, of versions %v", began, a.ServerVersion, versions)
			}
		}
	}
}

// cutFromDaemonsOnly is the way in which a daemon goes on reading the list of servers, and begins
// streams at the new version whose records reach no other daemon.
const cutFromDaemonsOnly = "cut off from the others"

// TestStreamVersion_StreamsBegunAtACutDaemonGoOn: a daemon that is cut off from the others begins
// streams at a new version, which break and are taken up at other daemons.
func TestStreamVersion_StreamsBegunAtACutDaemonGoOn(t *testing.T) {
	r := newVersionRun(t, 2, 9, "v1")
	r.releaseWhileOutOfStep(outOfStep[cutFromDaemonsOnly])
	r.check()
}

// releaseWhileOutOfStep has servers of a new version join while some daemons are out of step.
func (r *versionRun) releaseWhileOutOfStep(strike func(*versionRun, []*fleetDaemon, time.Duration)) {
	r.run(4 * time.Second)
	strike(r, r.some(0.3), 6*time.Second)
	r.joinNewVersion("v2")
	r.run(12 * time.Second)
}

// outOfStep are the ways in which a daemon learns nothing for a while.
var outOfStep = map[string]func(r *versionRun, daemons []*fleetDaemon, duration time.Duration){
	"suspended": func(r *versionRun, daemons []*fleetDaemon, duration time.Duration) {
		for _, d := range daemons {
			r.suspend(d, duration)
		}
	},
	cutFromDaemonsOnly: func(r *versionRun, daemons []*fleetDaemon, duration time.Duration) {
		r.cutOff(daemons, duration, func(*fleetDaemon, bool) {})
	},
	"cut off, list late": func(r *versionRun, daemons []*fleetDaemon, duration time.Duration) {
		r.cutOff(daemons, duration, func(d *fleetDaemon, cut bool) { d.listLate = cut })
	},
	"cut off from all": func(r *versionRun, daemons []*fleetDaemon, duration time.Duration) {
		r.cutOff(daemons, duration, func(d *fleetDaemon, cut bool) { d.tableCut = cut })
	},
}

// cutOff cuts daemons off from the others for some time. More is called at the beginning and the
// end.
func (r *versionRun) cutOff(daemons []*fleetDaemon, duration time.Duration, more func(d *fleetDaemon, cut bool)) {
	for _, d := range daemons {
		d.cut = true
		more(d, true)
	}
	r.after(duration, func() {
		for _, d := range daemons {
			more(d, false)
			r.reconnect(d)
		}
	})
}

// TestStreamVersion_DaemonOutOfStepWhileServersOfANewVersionJoin: a daemon that learns of nothing
// does not take the one version that it knows for the only one.
func TestStreamVersion_DaemonOutOfStepWhileServersOfANewVersionJoin(t *testing.T) {
	for name, strike := range outOfStep {
		for _, daemons := range []int{3, 9, 89} {
			for seed := range uint64(3) {
				t.Run(fmt.Sprint(name, "/daemons=", daemons, "/seed=", seed), func(t *testing.T) {
					t.Parallel()
					r := newVersionRun(t, seed, daemons, "v1")
					r.releaseWhileOutOfStep(strike)
					r.check()
				})
			}
		}
	}
}

// joinNewVersion has three servers of a new version start while three others end. Streams that
// have begun at them break a while later, when one of the new servers ends after the other.
func (r *versionRun) joinNewVersion(version string) {
	r.crashSome(3, func(string) string { return version })
	for n := range 5 {
		r.after(time.Duration(4400+300*n)*time.Millisecond, func() {
			for _, s := range r.engines() {
				if s.up && s.Version == version && r.serving(version) > 1 {
					r.crash(s)
					r.replaceWith(s, s.ID+"-again", r.now.UnixMilli(), func(*BackendServer) {})
					return
				}
			}
		})
	}
}
