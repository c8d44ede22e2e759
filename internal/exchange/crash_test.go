package exchange

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// crashingContent is the content of requests that crash each server that runs them.
var crashingContent = entity.Digest{0xc0}

// crashRun is a run of a fleet to which callers send requests that crash servers.
type crashRun struct {
	*testFleet
	isCrashing    func(Request) bool // whether a request crashes the server that runs it
	crashing      func() Request     // returns the next request that does, for the path that sendCrashing sets
	crashingUntil time.Time          // when callers stop sending such requests; zero: they go on
	crashes       []time.Time        // of servers that ran such requests
	arrivals      []arrival          // of such requests
	wrongly       []wrongRefusal
	refused       int                  // refusals of such requests for crashes
	comeBack      func(s *fleetServer) // called when a server has crashed; nil: it comes back under another ID 3 s later
}

// wrongRefusal is the refusal for crashes of a request that crashes no server.
type wrongRefusal struct {
	at      time.Time
	daemon  *fleetDaemon
	request Request
}

// newCrashRun returns a fleet that gets ordinary requests to all routes. Requests with the
// crashing content crash servers.
func newCrashRun(t testing.TB, seed uint64, daemons, servers int) *crashRun {
	r := newQuietCrashRun(t, seed, daemons, servers)
	for _, path := range []string{"/talk/x", "/get/x", "/x"} {
		r.every(15*time.Millisecond, func() {
			req := testRequest("", path, "k3")
			req.Patience = 5 * time.Second
			req.Content = r.newContent()
			r.send(r.anyDaemon(), req)
		})
	}
	return r
}

// newQuietCrashRun returns a fleet that gets no requests.
func newQuietCrashRun(t testing.TB, seed uint64, daemons, servers int) *crashRun {
	r := &crashRun{testFleet: newTestFleet(t, seed, daemons, servers)}
	r.isCrashing = func(req Request) bool { return req.Content == crashingContent }
	r.crashing = func() Request {
		req := testRequest("", "", "k3")
		req.Content = crashingContent
		return req
	}
	r.crashAfter = func(req Request) time.Duration {
		if !r.isCrashing(req) {
			return 0
		}
		return 50*time.Millisecond + r.random(450*time.Millisecond)
	}
	r.onArrival = func(a arrival) {
		if r.isCrashing(a.request) {
			r.arrivals = append(r.arrivals, a)
		}
	}
	r.onRefusal = func(d *fleetDaemon, req Request, refusal *Refusal) {
		switch {
		case refusal.Code != "crashes-backend-servers":
		case r.isCrashing(req):
			r.refused++
		default:
			r.wrongly = append(r.wrongly, wrongRefusal{r.now, d, req})
		}
	}
	return r
}

// newContent returns the content of a request that is like no other.
func (r *crashRun) newContent() entity.Digest {
	return entity.Digest{1, byte(r.sent), byte(r.sent >> 8), byte(r.sent >> 16)}
}

func (r *crashRun) anyDaemon() *fleetDaemon { return r.daemons[r.rng.IntN(len(r.daemons))] }

// crashServers lets callers send crashing requests to any daemon for a while.
func (r *crashRun) crashServers(path string, interval, d time.Duration) {
	r.crashingUntil = r.now.Add(d)
	r.startCrashing(path, interval)
	r.run(d)
}

// startCrashing lets callers send crashing requests to any daemon from now on. Servers that
// crash come back under another ID after some seconds.
func (r *crashRun) startCrashing(path string, interval time.Duration) {
	known := map[*fleetServer]bool{}
	if r.comeBack == nil {
		r.comeBack = func(s *fleetServer) { r.after(3*time.Second, func() { r.replace(s, s.ID+"-next", 1) }) }
	}
	r.every(interval, func() {
		if !r.crashingUntil.IsZero() && r.now.After(r.crashingUntil) {
			return
		}
		if d := r.anyDaemon(); !d.cut {
			r.sendCrashing(d, path)
		}
	})
	r.every(time.Millisecond, func() {
		for _, s := range r.servers {
			if s.up || known[s] {
				continue
			}
			known[s] = true
			r.crashes = append(r.crashes, r.now)
			r.comeBack(s)
		}
	})
}

// sendCrashing lets a caller send a crashing request to a daemon.
func (r *crashRun) sendCrashing(d *fleetDaemon, path string) {
	req := r.crashing()
	req.Path, req.Patience = path, 5*time.Second
	r.send(d, req)
}

// lateArrivals returns how often crashing requests reached a server after the crash with the
// given number plus the time within which all daemons must know, at daemons that were up
// and in touch with the others all that time.
func (r *crashRun) lateArrivals(crash int, limit time.Duration) int {
	if len(r.crashes) < crash {
		return 0
	}
	known := r.crashes[crash-1].Add(limit)
	n := 0
	for _, a := range r.arrivals {
		if a.at.After(known) && a.inTouch > limit {
			n++
		}
	}
	return n
}

const (
	// refusalLimit is the time from the third crash within which daemons must refuse
	// content, and maxLateArrivals how often it may reach a server after that.
	refusalLimit    = 3 * time.Second
	maxLateArrivals = 3
)

// TestCrash_ContentSentToManyDaemonsIsRefusedInTime: the daemon that sees a request break
// is not the one that finds the server gone.
func TestCrash_ContentSentToManyDaemonsIsRefusedInTime(t *testing.T) {
	for _, c := range []struct {
		daemons, servers int
		interval         time.Duration // between two requests with the content
		seeds            []uint64
	}{
		{1, 30, 333 * time.Millisecond, []uint64{1, 2, 3, 9}},
		{3, 30, 333 * time.Millisecond, []uint64{1, 2, 3, 4}},
		{9, 30, 333 * time.Millisecond, []uint64{1, 2, 3, 4}},
		{89, 30, 333 * time.Millisecond, []uint64{1, 2, 3, 4}},
		{410, 200, 100 * time.Millisecond, []uint64{4, 5}},
	} {
		for _, seed := range c.seeds {
			t.Run(fmt.Sprintf("daemons=%d/seed=%d", c.daemons, seed), func(t *testing.T) {
				t.Parallel()
				r := newCrashRun(t, seed, c.daemons, c.servers)
				r.run(5 * time.Second)
				r.crashServers("/talk/x", c.interval, 15*time.Second)
				r.check()
			})
		}
	}
}

// check checks that the content was refused in time, and no other content.
func (r *crashRun) check() {
	r.t.Helper()
	if n := r.lateArrivals(refusalDeathCount, refusalLimit); n > maxLateArrivals {
		r.t.Errorf("content reached servers %d times later than %v after it had crashed the third, at most %d allowed; %d servers crashed in all", n, refusalLimit, maxLateArrivals, len(r.crashes))
	}
	if r.refused == 0 {
		r.t.Error("the content was never refused")
	}
	if n := len(r.wrongly); n > 0 {
		r.t.Errorf("%d requests with other content were refused", n)
	}
}

// TestCrash_DeathReachesADaemonThatWasCutOff: a daemon hears no other one while content
// crashes three servers and is refused elsewhere. It must refuse the content soon after.
func TestCrash_DeathReachesADaemonThatWasCutOff(t *testing.T) {
	for _, daemons := range []int{3, 9, 89} {
		t.Run(fmt.Sprint("daemons=", daemons), func(t *testing.T) {
			r := newCrashRun(t, 1, daemons, 30)
			cut := r.daemons[0]
			r.run(2 * time.Second)
			cut.cut = true
			r.crashServers("/talk/x", 333*time.Millisecond, 7*time.Second)
			r.reconnect(cut)
			r.run(refusalLimit)
			r.mustRefuse(cut)
		})
	}
}

// kindsOfDeaths are the ways in which a run ends for a daemon and a server dies. Servers that
// a run has crashed die otherwise than by default.
var kindsOfDeaths = []struct {
	name  string
	setUp func(*crashRun)
}{
	{"back under the same ID before it is dialled", func(r *crashRun) {
		r.comeBack = func(s *fleetServer) { r.after(0, func() { r.replace(s, s.ID, s.Born+1) }) }
	}},
	{"back under another ID before it is dialled", func(r *crashRun) {
		r.comeBack = func(s *fleetServer) { r.after(0, func() { r.replace(s, s.ID+"-next", 1) }) }
	}},
	{"host goes dark", func(r *crashRun) {
		for _, s := range r.servers {
			s.dark = true
		}
	}},
	{"callers leave before", func(r *crashRun) {
		r.leaveAfter = func(req Request) time.Duration {
			if r.isCrashing(req) {
				return 60 * time.Millisecond
			}
			return 0
		}
		r.runsOn = true
	}},
}

// TestCrash_KindsOfEndsAndDeaths: whatever the request's route, however its run ends for
// the daemon, and however the server dies, the content must be refused in time.
func TestCrash_KindsOfEndsAndDeaths(t *testing.T) {
	run := func(name, path string, setUp func(*crashRun)) {
		for seed := uint64(1); seed <= 3; seed++ {
			t.Run(fmt.Sprintf("%s/seed=%d", name, seed), func(t *testing.T) {
				r := newCrashRun(t, seed, 9, 30)
				setUp(r)
				r.run(5 * time.Second)
				r.crashServers(path, 333*time.Millisecond, 15*time.Second)
				r.check()
			})
		}
	}
	for name, path := range map[string]string{"stream": "/talk/x", "idempotent": "/get/x", "at most once": "/x"} {
		run(name, path, func(*crashRun) {})
	}
	for _, kind := range kindsOfDeaths {
		run(kind.name, "/talk/x", kind.setUp)
	}
}

// breakRun lets a run of some content break off on one of a core's servers, and returns
// the server. The probe of it gets the given result.
func breakRun(t *testing.T, c *Core, now time.Time, content entity.Digest, result ProbeResult) Attempt {
	t.Helper()
	c.Confirm(now)
	req := testRequest("r", "/x", "k3")
	req.Content = content
	ticket := mustAdmit(t, c, now, req)
	attempt := mustPlace(t, c, now, ticket)
	c.Ended(now, ticket, Broken)
	c.Finish(now, ticket)
	endProbes(c, now, result)
	return attempt
}

// TestCrash_ServersThatLeaveUnannouncedMakeNothingSuspect: an entry disappears, its server
// goes on serving for a while and then ends in the middle of a run.
func TestCrash_ServersThatLeaveUnannouncedMakeNothingSuspect(t *testing.T) {
	c := newTestCore(t, "a")
	for i := range 3 {
		now := at(time.Duration(i) * time.Second)
		c.Confirm(now)
		req := testRequest("r", "/x", "k3")
		req.Content = crashingContent
		ticket := mustAdmit(t, c, now, req)
		attempt := mustPlace(t, c, now, ticket)
		c.RemoveServer(now, attempt.Server, 0)
		endProbes(c, now, Reachable)
		c.Ended(now, ticket, Broken)
		c.Finish(now, ticket)
		endProbes(c, now, Refused)
	}
	if n := c.crash.registry.Deaths(at(3*time.Second), crashingContent); n != 0 {
		t.Errorf("%d deaths held against a content by servers that left", n)
	}
}

// TestCrash_DaemonWithoutAnyAnswerBlamesNothing: a daemon whose links to all servers fail
// cannot tell that they have died.
func TestCrash_DaemonWithoutAnyAnswerBlamesNothing(t *testing.T) {
	c := newTestCore(t, "a")
	for i := range 3 {
		now := at(time.Duration(i) * time.Second)
		breakRun(t, c, now, crashingContent, Unreachable)
	}
	if n := c.crash.registry.Deaths(at(3*time.Second), crashingContent); n != 0 {
		t.Errorf("%d deaths held against a content by a daemon that reaches no server", n)
	}
}

// TestCrash_ServerThatAnswersDuringItsProbeIsNotDead: the only server that answers is the one
// whose probe got no response.
func TestCrash_ServerThatAnswersDuringItsProbeIsNotDead(t *testing.T) {
	c := newTestCore(t, "a")
	for _, id := range []entity.BackendServerID{"plain1", "plain2"} {
		c.RemoveServer(zero, id, 0)
	}
	running := mustAdmit(t, c, zero, testRequest("running", "/x", "k3"))
	mustPlace(t, c, zero, running)
	req := testRequest("r", "/x", "k3")
	req.Content = crashingContent
	broken := mustAdmit(t, c, zero, req)
	mustPlace(t, c, zero, broken)
	c.Ended(zero, broken, Broken)
	probes := c.TakeProbes()
	c.Started(at(100*time.Millisecond), running)
	c.ProbeEnded(at(700*time.Millisecond), probes[0], Unreachable)
	if n := c.crash.registry.Deaths(at(time.Second), crashingContent); n != 0 {
		t.Errorf("%d deaths held against the content, although the server answers", n)
	}
}

// TestCrash_ServerThatAnswersIsNotDead: a death was recorded for a server that lives.
func TestCrash_ServerThatAnswersIsNotDead(t *testing.T) {
	c := newTestCore(t, "a")
	died := breakRun(t, c, zero, crashingContent, Refused)
	if list := c.Status(zero).Suspects; len(list) != 1 || list[0].Deaths != 1 || list[0].Refused {
		t.Fatalf("suspect contents %+v, want one with one death", list)
	}
	for _, id := range []entity.BackendServerID{"plain0", "plain1", "plain2"} {
		if id != died.Server {
			c.RemoveServer(zero, id, 0)
		}
	}
	now := at(time.Second)
	ticket := mustAdmit(t, c, now, testRequest("r", "/x", "k3"))
	if attempt := mustPlace(t, c, now, ticket); attempt.Server != died.Server {
		t.Fatalf("placed on %s, want %s", attempt.Server, died.Server)
	}
	c.Started(now, ticket)
	if n := c.crash.registry.Deaths(now, crashingContent); n != 0 {
		t.Errorf("%d deaths held against the content although the server answers", n)
	}
}

// mustRefuse sends crashing requests to a daemon and fails the test if one reaches a
// server.
func (r *crashRun) mustRefuse(d *fleetDaemon) {
	r.t.Helper()
	r.mustRefuseBut(d, 0)
}

// mustRefuseBut does the same, but allows for some trials.
func (r *crashRun) mustRefuseBut(d *fleetDaemon, trials int) {
	r.t.Helper()
	before := len(r.arrivals)
	for range 20 {
		r.sendCrashing(d, "/talk/x")
		r.run(100 * time.Millisecond)
	}
	if n := len(r.arrivals) - before; n > trials {
		r.t.Errorf("crashing requests reached servers %d times from daemon %s, at most %d allowed", n, d.name, trials)
	}
}

// TestCrash_RestartedDaemonsLearnWhatTheOthersRefuse restarts daemons, also those that
// found the deaths, after all have refused the content.
func TestCrash_RestartedDaemonsLearnWhatTheOthersRefuse(t *testing.T) {
	for _, daemons := range []int{3, 9, 89} {
		t.Run(fmt.Sprint("daemons=", daemons), func(t *testing.T) {
			r := newCrashRun(t, 1, daemons, 30)
			r.run(2 * time.Second)
			r.crashServers("/talk/x", 333*time.Millisecond, 6*time.Second)
			r.run(5 * time.Second) // until nobody announces the deaths any more
			for _, d := range r.daemons[1:min(daemons, 10)] {
				r.start(d)
				r.run(refusalLimit)
			}
			r.mustRefuse(r.daemons[1])
			r.mustRefuse(r.daemons[2])
		})
	}
}

// TestCrash_AllDaemonsLostAndBack restarts all daemons at once. The new ones have nothing
// but the checkpoint.
func TestCrash_AllDaemonsLostAndBack(t *testing.T) {
	r := newCrashRun(t, 1, 9, 30)
	r.run(2 * time.Second)
	r.crashServers("/talk/x", 333*time.Millisecond, 6*time.Second)
	checkpoint := r.daemons[0].core.Checkpoint(r.now)
	for _, d := range r.daemons {
		r.start(d)
		d.core.RestoreNotice(r.now, &checkpoint)
	}
	for _, d := range r.daemons {
		r.mustRefuse(d)
	}
}

// popularContent is the content of ordinary requests that many callers send.
var popularContent = entity.Digest{0xb0}

// TestCrash_CompletionIsKnownToAllDaemons: two servers after the other die while they run
// content that many callers send and that is not the cause. It completes elsewhere.
func TestCrash_CompletionIsKnownToAllDaemons(t *testing.T) {
	r := newCrashRun(t, 1, 9, 30)
	r.every(20*time.Millisecond, func() {
		req := testRequest("", "/get/x", "k3")
		req.Content, req.Patience = popularContent, 5*time.Second
		r.send(r.anyDaemon(), req)
	})
	r.run(2 * time.Second)
	for range 4 {
		r.crashServerWith(popularContent)
		r.run(150 * time.Millisecond)
	}
	r.run(time.Second)
	refused := len(r.wrongly)
	r.run(2 * time.Second)
	if n := len(r.wrongly) - refused; n > 0 {
		t.Errorf("%d requests refused later than 1 s after the last death, although the content completes", n)
	}
}

// crashServerWith crashes a server that runs the content, if there is one.
func (r *crashRun) crashServerWith(content entity.Digest) bool {
	return r.crashServerOf(func(run *fleetRun) bool { return run.ticket.Request.Content == content })
}

// crashServerOf crashes a server that has a run for which match returns true, if there is one.
func (r *crashRun) crashServerOf(match func(*fleetRun) bool) bool {
	for _, s := range r.servers {
		for run := range s.runs {
			if s.up && match(run) {
				r.crash(s)
				return true
			}
		}
	}
	return false
}

// sendPopular lets a caller send the popular content to a daemon. It runs once at most.
func (r *crashRun) sendPopular(d *fleetDaemon) {
	req := testRequest("", "/x", "k3")
	req.Content = popularContent
	r.send(d, req)
}

// crashPopular crashes the server that runs the popular content for a daemon.
func (r *crashRun) crashPopular(d *fleetDaemon) {
	r.t.Helper()
	r.sendPopular(d)
	r.run(150 * time.Millisecond)
	runsFor := func(run *fleetRun) bool { return run.daemon == d && run.ticket.Request.Content == popularContent }
	if !r.crashServerOf(runsFor) {
		r.t.Fatal("no server runs the content")
	}
}

// TestCrash_CompletionAtOneDaemonIsKnownToAll: three servers die while they run content that
// completes at one daemon, before or after the third death. No daemon must refuse it.
func TestCrash_CompletionAtOneDaemonIsKnownToAll(t *testing.T) {
	for _, before := range []int{2, 3} {
		for _, daemons := range []int{3, 9, 89} {
			for seed := uint64(1); seed <= 2; seed++ {
				t.Run(fmt.Sprintf("deaths before=%d/daemons=%d/seed=%d", before, daemons, seed), func(t *testing.T) {
					r := newCrashRun(t, seed, daemons, 30)
					r.runDuration = func(Request) (time.Duration, time.Duration) { return 100 * time.Millisecond, 800 * time.Millisecond }
					r.run(time.Second)
					r.completeAmongDeaths(before)
					for _, d := range r.daemons {
						r.sendPopular(d)
					}
					if n := len(r.wrongly); n > 0 {
						t.Errorf("%d of %d daemons refuse content that has completed at one of them", n, daemons)
					}
				})
			}
		}
	}
}

// completeAmongDeaths lets the popular content run to its end for one daemon. Some of three
// servers that run it for other daemons die before the end, and the rest after it.
func (r *crashRun) completeAmongDeaths(before int) {
	r.t.Helper()
	r.sendPopular(r.daemons[2])
	for i := range refusalDeathCount {
		if i == before {
			r.run(refusalLimit)
		}
		r.crashPopular(r.daemons[i%2])
	}
	r.run(refusalLimit)
}

// TestCrash_CompletionElsewhereCountsAfterACut: a daemon that is cut off from the others finds
// three deaths of servers that ran some content, which completes for another daemon after
// each. No daemon must refuse it after the cut.
func TestCrash_CompletionElsewhereCountsAfterACut(t *testing.T) {
	for _, daemons := range []int{3, 9, 89} {
		t.Run(fmt.Sprint("daemons=", daemons), func(t *testing.T) {
			r := newCrashRun(t, 1, daemons, 30)
			cut, other := r.daemons[0], r.daemons[1]
			r.run(2 * time.Second)
			cut.cut = true
			for range refusalDeathCount {
				r.crashPopular(cut)
				r.sendPopular(other)
				r.run(time.Second)
			}
			r.reconnect(cut)
			r.run(refusalLimit)
			before := len(r.wrongly)
			for _, d := range r.daemons {
				r.sendPopular(d)
			}
			if n := len(r.wrongly) - before; n > 0 {
				t.Errorf("%d of %d daemons refuse content that has completed since", n, daemons)
			}
		})
	}
}

// TestEnded_ThirdBreakIsNotRepeatedBeforeItIsExplained: another attempt would be made
// before the probe of the server ends.
func TestEnded_ThirdBreakIsNotRepeatedBeforeItIsExplained(t *testing.T) {
	c := newTestCore(t, "a")
	breakRun(t, c, zero, crashingContent, Refused)
	breakRun(t, c, at(time.Second), crashingContent, Refused)
	now := at(2 * time.Second)
	req := testRequest("r", "/get/x", "k3")
	req.Content = crashingContent
	ticket := mustAdmit(t, c, now, req)
	mustPlace(t, c, now, ticket)
	if refusal := c.Ended(now, ticket, Broken); refusal == nil || refusal.Status != BadReply {
		t.Errorf("the third run that broke off is repeated: %+v", refusal)
	}
}

// TestCrash_CompletionReachesADaemonThatWasAwayForLong: the others have forgotten a daemon
// when content completes that all refused, and take it for a new one later.
func TestCrash_CompletionReachesADaemonThatWasAwayForLong(t *testing.T) {
	away, other := newTestCore(t, "away"), newTestCore(t, "other")
	for i := range refusalDeathCount {
		now := at(time.Duration(i) * time.Second)
		death := datedDeath{ContentDeath{Digest: popularContent, Server: entity.BackendServerID(fmt.Sprint("s", i))}, now}
		away.recordContentDeath(now, &death, "")
		other.recordContentDeath(now, &death, "")
	}
	now := at(4 * time.Second)
	other.recordCompletion(now, popularContent)
	other.NextUpdate(now)
	other.crash.completions = announcements[entity.Digest]{} // all that other knew then have acknowledged it
	update := away.NextUpdate(now)
	other.ReceiveUpdate(now, &update, 0)
	reply := other.NextUpdate(now)
	away.ReceiveUpdate(now, &reply, 0)
	if away.crash.quarantined(now, popularContent) {
		t.Error("content that has completed is still refused by a daemon that was away")
	}
}

// TestCrash_ServersThatDieTogetherMakeNothingSuspect: content runs on four servers, and on
// no other, when they die at the same moment.
func TestCrash_ServersThatDieTogetherMakeNothingSuspect(t *testing.T) {
	r := newCrashRun(t, 1, 9, 30)
	r.runDuration = func(Request) (time.Duration, time.Duration) { return 100 * time.Millisecond, time.Minute }
	for i := range 4 {
		req := testRequest("", "/x", "k3")
		req.Content, req.Patience = popularContent, time.Minute
		r.send(r.daemons[i], req)
	}
	r.run(500 * time.Millisecond)
	crashed := 0
	for r.crashServerWith(popularContent) {
		crashed++
	}
	if crashed < refusalDeathCount {
		t.Fatalf("%d servers ran the content, want at least %d", crashed, refusalDeathCount)
	}
	r.run(time.Second)
	req := testRequest("", "/x", "k3")
	req.Content = popularContent
	for _, d := range r.daemons {
		r.send(d, req)
	}
	if n := len(r.wrongly); n > 0 {
		t.Errorf("%d requests refused, although all servers died at the same moment", n)
	}
}
