package core

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/system/configuration"
	"github.com/gooseberryslip/gooseberryslip/internal/system/fleet"
)

// fleetBounds limits the number of servers of the managed service.
const fleetBounds = "min_servers = 2\nmax_servers = 9"

// drainNoticeDelay is the time within which every daemon knows that an instance
// is leaving: the age of the list, the longest interval between two list reads,
// and the spread of the gossip record.
const drainNoticeDelay = cloudListAge + plannerListInterval + time.Second

// managedDocument returns the service document of the managed service in the
// given mode, with the given servers listed.
func managedDocument(w *world, mode, bounds string, servers ...*fakeEngine) string {
	text := documentText(&world{engineOrder: servers}, "managed", `kind = "model"`)
	text = strings.Replace(text, `mode = "route"`, fmt.Sprintf("mode = %q", mode), 1)
	return text + "[fleet]\n" + bounds + `
slots_per_host = 8
classes = ["c"]
data_centres = ["dc0", "dc1", "dc2"]
max_hourly_cost = 0
model = "m"
port = 9000
checks_fences = true
`
}

// newManagedWorld starts a simulation with a cloud.
func newManagedWorld(t testing.TB, seed uint64, daemons int) *world {
	w := emptyWorld(t, seed)
	w.cloud = newFakeCloud(w)
	return startWorld(w, daemons)
}

// applyManagedDocument puts a document of the managed service into force on all
// daemons.
func (w *world) applyManagedDocument(text string) {
	w.t.Helper()
	d := w.liveDaemons()[0]
	before, _ := d.core.Configuration.Document("managed")
	w.lastNumber++
	d.post(ApplyChange{Change: configuration.Change{
		Operation: fmt.Sprintf("change-%d", w.lastNumber), Service: "managed", Text: text,
		ReadRevision: before.Revision, Author: "test",
	}})
	if !w.runUntil(20*time.Second, func() bool {
		for _, d := range w.liveDaemons() {
			if current, ok := d.core.Configuration.Document("managed"); !ok || current.Revision == before.Revision {
				return false
			}
		}
		return true
	}) {
		w.t.Fatal("the document of the managed service is not in force")
	}
}

// managedWork returns a request for the managed service.
func managedWork(i, tokens int) Work {
	work := modelWork(fmt.Sprintf("prompt %d", i), tokens)
	work.Service = "managed"
	return work
}

// scheduleManagedLoad sends one request per interval to the live daemons in
// turn.
func (w *world) scheduleManagedLoad(every, during time.Duration, tokens int) {
	for i := range int(during / every) {
		w.schedule(time.Duration(i)*every, func() {
			live := w.liveDaemons()
			w.startCaller(live[i%len(live)], managedWork(i, tokens), 60*time.Second)
		})
	}
}

// waitForMinimum waits until three managed instances run, and then 10 s more so
// that all daemons know them.
func (w *world) waitForMinimum() {
	w.t.Helper()
	if !w.runUntil(2*time.Minute, func() bool { return w.cloud.running() >= 3 }) {
		w.t.Fatalf("%d instances of the managed service run after 2 min, %d were started; want 3 running", w.cloud.running(), w.cloud.starts)
	}
	w.runFor(10 * time.Second)
}

func TestCore_ManagedServiceStartsFromNothing(t *testing.T) {
	w := newManagedWorld(t, 40, 3)
	w.applyManagedDocument(managedDocument(w, "manage", fleetBounds))
	w.waitForMinimum()
	w.scheduleManagedLoad(100*time.Millisecond, 3*time.Second, 50)
	w.runFor(3 * time.Second)
	w.finishAll(30 * time.Second)
	w.verifyInvariants()
	w.requireAnswers()
	if n := w.cloud.running("dc0", "dc1"); n < 2 || n == w.cloud.running() {
		t.Errorf("%d of %d instances are in dc0 and dc1, want at least 2 but not all", n, w.cloud.running())
	}
}

func TestCore_ManagedServiceStartsForWaitingRequests(t *testing.T) {
	w := newManagedWorld(t, 41, 3)
	w.applyManagedDocument(managedDocument(w, "manage", "min_servers = 0\nmax_servers = 9"))
	w.runFor(30 * time.Second)
	if w.cloud.starts > 0 {
		t.Fatalf("%d instances were started without a request", w.cloud.starts)
	}
	w.scheduleManagedLoad(100*time.Millisecond, time.Second, 20)
	w.runFor(time.Second)
	w.finishAll(60 * time.Second)
	w.verifyInvariants()
	w.requireAnswers()
}

func TestCore_ReclaimedManagedDataCentreIsReplaced(t *testing.T) {
	w := newManagedWorld(t, 42, 3)
	w.applyManagedDocument(managedDocument(w, "manage", fleetBounds))
	w.waitForMinimum()
	w.scheduleManagedLoad(100*time.Millisecond, 40*time.Second, 50)
	w.runFor(5 * time.Second)
	w.cloud.refusesStarts["dc1"] = true
	w.cloud.reclaim("dc1")
	w.runFor(drainNoticeDelay)
	notifiedAt := w.now
	for _, i := range w.cloud.instances {
		if i.DataCentre == "dc1" && !w.knownEverywhere(i.ID) {
			t.Errorf("instance %s is leaving, but a daemon has dropped it before it is gone", i.ID)
		}
	}
	if !w.runUntil(time.Minute, func() bool { return w.cloud.running("dc0", "dc2") >= 4 }) {
		t.Errorf("%d instances run outside the reclaimed data centre, want 4", w.cloud.running("dc0", "dc2"))
	}
	if w.cloud.refusedStarts == 0 {
		t.Error("the cloud refused no launch request, so refusals were not tested")
	}
	w.runFor(20 * time.Second)
	w.finishAll(60 * time.Second)
	w.verifyInvariants()
	w.requireAnswers()
	w.requireNoRunsAfter(notifiedAt, "dc1")
}

// knownEverywhere reports whether every daemon knows the backend server of an
// instance.
func (w *world) knownEverywhere(id entity.InstanceID) bool {
	for _, d := range w.liveDaemons() {
		if d.core.backendServer("managed", entity.BackendServerID(id)) == nil {
			return false
		}
	}
	return true
}

// requireNoRunsAfter fails the test for each run that was started in the data
// centre after the given time.
func (w *world) requireNoRunsAfter(at time.Time, dc entity.DataCentreID) {
	w.t.Helper()
	for _, e := range w.engineOrder {
		for _, r := range e.runs {
			if e.server.Service == "managed" && e.server.Location.DataCentre == dc && r.at.After(at) {
				w.t.Errorf("draining server %s started %s %v after all daemons knew that it is leaving", e.server.ID, r.request, r.at.Sub(at))
			}
		}
	}
}

func TestCore_ScaleInInterruptsNobody(t *testing.T) {
	w := newManagedWorld(t, 43, 3)
	w.applyManagedDocument(managedDocument(w, "manage", fleetBounds))
	w.waitForMinimum()
	w.scheduleManagedLoad(25*time.Millisecond, 60*time.Second, 60)
	w.runFor(60 * time.Second)
	peak := w.cloud.running()
	if peak < 5 {
		t.Fatalf("%d instances run under load, want at least 5", peak)
	}
	w.scheduleManagedLoad(500*time.Millisecond, 150*time.Second, 400)
	w.runFor(150 * time.Second)
	w.finishAll(60 * time.Second)
	w.verifyInvariants()
	w.requireAnswers()
	if w.cloud.stops == 0 || w.cloud.running() >= peak || w.cloud.running() < 3 {
		t.Errorf("after the scale-in %d of %d instances run, %d were stopped", w.cloud.running(), peak, w.cloud.stops)
	}
}

func TestCore_ScaleInWaitsForSlowCalls(t *testing.T) {
	w := newManagedWorld(t, 46, 3)
	w.startScaleIn()
	w.finishAll(100 * time.Second)
	w.runFor(2 * time.Minute)
	w.verifyInvariants()
	w.requireAnswers()
	w.requireNoRetries()
	if w.cloud.stops < 4 {
		t.Errorf("%d instances were stopped, want at least 4", w.cloud.stops)
	}
}

func TestCore_PlannerDiesWhileItDrains(t *testing.T) {
	w := newManagedWorld(t, 47, 3)
	w.startScaleIn()
	planner := w.planningDaemon()
	if planner == nil || planner.core.fleet.rounds.drains.Len() == 0 {
		t.Fatal("no daemon plans the service and drains servers")
	}
	stopsBefore := w.cloud.stops
	planner.kill()
	if !w.runUntil(time.Minute, func() bool { return w.planningDaemon() != nil }) {
		t.Fatal("no other daemon has taken over the planning")
	}
	w.finishAll(100 * time.Second)
	w.runFor(4 * time.Minute)
	w.verifyInvariants()
	if w.cloud.stops == stopsBefore || w.cloud.stops < 4 || w.cloud.running() < 3 {
		t.Errorf("%d instances were stopped before and %d in all; %d run", stopsBefore, w.cloud.stops, w.cloud.running())
	}
}

func TestCore_FleetUnderFaults(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runFleetUnderFaults(t, 50+seed) })
	}
}

// runFleetUnderFaults loses messages and replies of the table, reclaims a data
// centre, kills the planning daemon and disconnects its successor for half a
// minute.
func runFleetUnderFaults(t *testing.T, seed uint64) {
	w := newManagedWorld(t, seed, 5)
	w.messageLoss, w.table.replyLoss = 0.03, 0.03
	w.applyManagedDocument(managedDocument(w, "manage", fleetBounds))
	w.waitForMinimum()
	w.scheduleManagedLoad(200*time.Millisecond, 90*time.Second, 60)
	w.runFor(10 * time.Second)
	w.cloud.reclaim("dc1")
	w.cloud.refusesStarts["dc1"] = true
	w.runFor(5 * time.Second)
	if d := w.planningDaemon(); d != nil {
		d.kill()
	}
	w.runUntil(time.Minute, func() bool { return w.planningDaemon() != nil })
	if d := w.planningDaemon(); d != nil {
		d.disconnected = true
		w.schedule(30*time.Second, func() { d.disconnected = false })
	}
	w.runFor(90 * time.Second)
	w.messageLoss, w.table.replyLoss = 0, 0
	w.finishAll(90 * time.Second)
	w.runFor(2 * time.Minute)
	w.verifyInvariants()
	if n := w.cloud.running(); n < 3 || n > 9 || w.cloud.running("dc1") > 0 {
		t.Errorf("%d instances run, want 3 to 9; %d of them in the reclaimed data centre, want 0", n, w.cloud.running("dc1"))
	}
}

// planningDaemon returns a live daemon that plans a service, or nil.
func (w *world) planningDaemon() *fakeDaemon {
	for _, d := range w.liveDaemons() {
		if len(d.core.plannedServices()) > 0 {
			return d
		}
	}
	return nil
}

// startScaleIn makes the managed service grow to nine servers, schedules calls
// of 40 s, lowers the bounds and lets the scale-in start.
func (w *world) startScaleIn() {
	w.cloud.plainCallDuration = 40 * time.Second
	w.applyManagedDocument(slowCallDocument(w, "min_servers = 6\nmax_servers = 9"))
	w.runUntil(2*time.Minute, func() bool { return w.cloud.running() >= 9 })
	w.runFor(80 * time.Second)
	for i := range 30 {
		work := plainWork("GET", fmt.Sprintf("call %d", i))
		work.Service = "managed"
		w.schedule(time.Duration(i)*4*time.Second, func() {
			live := w.liveDaemons()
			w.startCaller(live[i%len(live)], work, 100*time.Second)
		})
	}
	w.runFor(50 * time.Second)
	w.applyManagedDocument(slowCallDocument(w, fleetBounds))
	w.runFor(25 * time.Second)
}

// slowCallDocument returns the document of the managed service for plain calls,
// with a timeout of 90 s.
func slowCallDocument(w *world, bounds string) string {
	text := strings.Replace(managedDocument(w, "manage", bounds), `kind = "model"`, `kind = "plain"`, 1)
	return strings.Replace(text, `first_timeout = "2s"`, `first_timeout = "90s"`, 1)
}

func TestCore_InstancesOfOthersAreLeftAlone(t *testing.T) {
	w := newManagedWorld(t, 44, 3)
	foreignTags := []map[string]string{nil, {fleet.ServiceTag: "another"}, {"gooseberryslip-services": "managed"}}
	for i, tags := range foreignTags {
		w.cloud.addInstance(fmt.Sprintf("x%d", i), "dc0", provider.Running, tags)
	}
	w.applyManagedDocument(managedDocument(w, "manage", fleetBounds))
	w.waitForMinimum()
	w.scheduleManagedLoad(100*time.Millisecond, 10*time.Second, 50)
	w.runFor(10 * time.Second)
	w.finishAll(60 * time.Second)
	w.verifyInvariants()
	w.requireAnswers()
	for i := range foreignTags {
		e := w.engines[entity.BackendServerID(fmt.Sprintf("x%d", i))]
		if e.dead || len(e.runs) > 0 {
			t.Errorf("foreign instance x%d: stopped %v, ran %d requests; want neither", i, e.dead, len(e.runs))
		}
	}
}

func TestCore_RouteManageRouteInterruptsNobody(t *testing.T) {
	w := newManagedWorld(t, 45, 3)
	for i := range 3 {
		w.addEngine(fmt.Sprintf("s%d", i), "managed", i, false)
	}
	listed := w.engineOrder[len(w.engineOrder)-3:]
	w.applyManagedDocument(managedDocument(w, "route", fleetBounds, listed...))
	w.scheduleManagedLoad(100*time.Millisecond, 150*time.Second, 100)
	w.runFor(10 * time.Second)
	w.applyManagedDocument(managedDocument(w, "manage", fleetBounds, listed...))
	runsBefore := w.runsOf(listed)
	w.runFor(2 * time.Second)
	if w.runsOf(listed) == runsBefore {
		t.Errorf("the servers listed in the document got no work in manage mode")
	}
	w.waitForMinimum()
	w.applyManagedDocument(managedDocument(w, "manage", fleetBounds))
	w.runFor(20 * time.Second)
	for _, e := range listed {
		if e.dead || e.unfinished() > 0 {
			t.Errorf("server %s, no longer listed: dead %v, %d unfinished runs", e.server.ID, e.dead, e.unfinished())
		}
	}
	w.applyManagedDocument(managedDocument(w, "manage", fleetBounds, listed...))
	w.applyManagedDocument(managedDocument(w, "route", fleetBounds, listed...))
	starts, stops := w.cloud.starts, w.cloud.stops
	w.runFor(20 * time.Second)
	w.cloud.reclaim("dc0")
	w.runFor(time.Minute)
	w.finishAll(60 * time.Second)
	w.verifyInvariants()
	w.requireAnswers()
	if w.cloud.starts != starts || w.cloud.stops != stops {
		t.Errorf("%d starts and %d stops after the return to route mode, want none", w.cloud.starts-starts, w.cloud.stops-stops)
	}
	for _, d := range w.daemons {
		if p := d.core.planners(); len(p) > 0 {
			t.Errorf("%s still names %s as the planner in route mode", d.id, p[0].Daemon)
		}
	}
	w.requireNoRetries()
}

// runsOf counts the runs of the given engines.
func (w *world) runsOf(engines []*fakeEngine) int {
	n := 0
	for _, e := range engines {
		n += len(e.runs)
	}
	return n
}

// requireNoRetries fails the test for each caller that had to submit again and
// for each request that did not run exactly once.
func (w *world) requireNoRetries() {
	w.t.Helper()
	runs := w.runsByRequest()
	for _, c := range w.callers {
		if c.retries > 0 || len(runs[c.lastRequest]) != 1 {
			w.t.Errorf("%s: %d retries and %d runs, want 0 and 1", c.lastRequest, c.retries, len(runs[c.lastRequest]))
		}
	}
}
