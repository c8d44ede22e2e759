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

// fleetBounds are the bounds of the managed service.
const fleetBounds = "min_servers = 2\nmax_servers = 9"

// cloudTold is the time in which every daemon hears of an instance that
// leaves: the list's lag, the longest pause between readings, and news.
const cloudTold = cloudLag + listInterval + time.Second

// managedDocument returns the document of the managed service in a mode.
func managedDocument(w *world, mode, bounds string, servers ...*fakeEngine) string {
	text := documentText(&world{order: servers}, "managed", `kind = "model"`)
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

// newManagedWorld starts a world with a cloud.
func newManagedWorld(t testing.TB, seed uint64, daemons int) *world {
	w := emptyWorld(t, seed)
	w.cloud = newFakeCloud(w)
	return startWorld(w, daemons)
}

// apply changes the document of the managed service.
func (w *world) apply(text string) {
	w.t.Helper()
	d := w.live()[0]
	before, _ := d.core.Configuration.Document("managed")
	w.ids++
	d.post(ApplyChange{Change: configuration.Change{
		Operation: fmt.Sprintf("change-%d", w.ids), Service: "managed", Text: text,
		ReadRevision: before.Revision, Author: "test",
	}})
	if !w.runUntil(20*time.Second, func() bool {
		for _, d := range w.live() {
			if h, ok := d.core.Configuration.Document("managed"); !ok || h.Revision == before.Revision {
				return false
			}
		}
		return true
	}) {
		w.t.Fatal("the document of the managed service is not in force")
	}
}

// managedWork is a request for the managed service.
func managedWork(i, tokens int) Work {
	work := modelWork(fmt.Sprintf("prompt %d", i), tokens)
	work.Service = "managed"
	return work
}

// load sends a request to each daemon in turn at intervals for a while.
func (w *world) load(every, during time.Duration, tokens int) {
	for i := range int(during / every) {
		w.after(time.Duration(i)*every, func() {
			live := w.live()
			w.call(live[i%len(live)], managedWork(i, tokens), 60*time.Second)
		})
	}
}

// grown waits until the managed service has its minimum.
func (w *world) grown() {
	w.t.Helper()
	if !w.runUntil(2*time.Minute, func() bool { return w.cloud.running() >= 3 }) {
		w.t.Fatalf("%d instances run, %d were started", w.cloud.running(), w.cloud.starts)
	}
	w.runFor(10 * time.Second)
}

func TestCore_ManagedServiceStartsFromNothing(t *testing.T) {
	w := newManagedWorld(t, 40, 3)
	w.apply(managedDocument(w, "manage", fleetBounds))
	w.grown()
	w.load(100*time.Millisecond, 3*time.Second, 50)
	w.runFor(3 * time.Second)
	w.finishAll(30 * time.Second)
	w.verify()
	w.answered()
	if n := w.cloud.running("dc0", "dc1"); n < 2 || n == w.cloud.running() {
		t.Errorf("%d of %d instances are in two data centres", n, w.cloud.running())
	}
}

func TestCore_ManagedServiceStartsForWaitingRequests(t *testing.T) {
	w := newManagedWorld(t, 41, 3)
	w.apply(managedDocument(w, "manage", "min_servers = 0\nmax_servers = 9"))
	w.runFor(30 * time.Second)
	if w.cloud.starts > 0 {
		t.Fatalf("%d instances were started for nothing", w.cloud.starts)
	}
	w.load(100*time.Millisecond, time.Second, 20)
	w.runFor(time.Second)
	w.finishAll(60 * time.Second)
	w.verify()
	w.answered()
}

func TestCore_ReclaimedManagedDataCentreIsReplaced(t *testing.T) {
	w := newManagedWorld(t, 42, 3)
	w.apply(managedDocument(w, "manage", fleetBounds))
	w.grown()
	w.load(100*time.Millisecond, 40*time.Second, 50)
	w.runFor(5 * time.Second)
	w.cloud.refuse["dc1"] = true
	w.cloud.reclaim("dc1")
	w.runFor(cloudTold)
	told := w.now
	for _, i := range w.cloud.instances {
		if i.DataCentre == "dc1" && !w.listed(i.ID) {
			t.Errorf("%s leaves and is not known any more", i.ID)
		}
	}
	if !w.runUntil(time.Minute, func() bool { return w.cloud.running("dc0", "dc2") >= 4 }) {
		t.Errorf("%d instances run outside the lost data centre", w.cloud.running("dc0", "dc2"))
	}
	if w.cloud.refused == 0 {
		t.Error("no order was refused")
	}
	w.runFor(20 * time.Second)
	w.finishAll(60 * time.Second)
	w.verify()
	w.answered()
	w.noRunsAfter(told, "dc1")
}

// listed reports whether every daemon knows an instance's backend server.
func (w *world) listed(id entity.InstanceID) bool {
	for _, d := range w.live() {
		if d.core.backendServer("managed", entity.BackendServerID(id)) == nil {
			return false
		}
	}
	return true
}

// noRunsAfter fails the test for each run that was started in a data centre
// after a time.
func (w *world) noRunsAfter(at time.Time, dc entity.DataCentreID) {
	w.t.Helper()
	for _, e := range w.order {
		for _, r := range e.runs {
			if e.server.Service == "managed" && e.server.Place.DataCentre == dc && r.at.After(at) {
				w.t.Errorf("%s began %s %v late", e.server.ID, r.request, r.at.Sub(at))
			}
		}
	}
}

func TestCore_ScaleInCutsOffNobody(t *testing.T) {
	w := newManagedWorld(t, 43, 3)
	w.apply(managedDocument(w, "manage", fleetBounds))
	w.grown()
	w.load(25*time.Millisecond, 60*time.Second, 60)
	w.runFor(60 * time.Second)
	most := w.cloud.running()
	if most < 5 {
		t.Fatalf("%d instances run under load", most)
	}
	w.load(500*time.Millisecond, 150*time.Second, 400)
	w.runFor(150 * time.Second)
	w.finishAll(60 * time.Second)
	w.verify()
	w.answered()
	if w.cloud.stops == 0 || w.cloud.running() >= most || w.cloud.running() < 3 {
		t.Errorf("%d of %d instances run, %d were stopped", w.cloud.running(), most, w.cloud.stops)
	}
}

func TestCore_ScaleInWaitsForSlowCalls(t *testing.T) {
	w := newManagedWorld(t, 46, 3)
	w.shrink()
	w.finishAll(100 * time.Second)
	w.runFor(2 * time.Minute)
	w.verify()
	w.answered()
	w.noRetries()
	if w.cloud.stops < 4 {
		t.Errorf("%d instances were stopped", w.cloud.stops)
	}
}

func TestCore_PlannerDiesWhileItDrains(t *testing.T) {
	w := newManagedWorld(t, 47, 3)
	w.shrink()
	old := w.planner()
	if old == nil || old.core.fleet.rounds.drains.Len() == 0 {
		t.Fatal("nobody drains")
	}
	before := w.cloud.stops
	old.kill()
	if !w.runUntil(time.Minute, func() bool { return w.planner() != nil }) {
		t.Fatal("nobody took over")
	}
	w.finishAll(100 * time.Second)
	w.runFor(4 * time.Minute)
	w.verify()
	if w.cloud.stops == before || w.cloud.stops < 4 || w.cloud.running() < 3 {
		t.Errorf("%d instances were stopped before and %d in all; %d run", before, w.cloud.stops, w.cloud.running())
	}
}

func TestCore_FleetUnderFaults(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { fleetUnderFaults(t, 50+seed) })
	}
}

// fleetUnderFaults loses messages and replies of the table, takes a data
// centre, kills the planner and cuts its successor off for half a minute.
func fleetUnderFaults(t *testing.T, seed uint64) {
	w := newManagedWorld(t, seed, 5)
	w.loss, w.table.lose = 0.03, 0.03
	w.apply(managedDocument(w, "manage", fleetBounds))
	w.grown()
	w.load(200*time.Millisecond, 90*time.Second, 60)
	w.runFor(10 * time.Second)
	w.cloud.reclaim("dc1")
	w.cloud.refuse["dc1"] = true
	w.runFor(5 * time.Second)
	if d := w.planner(); d != nil {
		d.kill()
	}
	w.runUntil(time.Minute, func() bool { return w.planner() != nil })
	if d := w.planner(); d != nil {
		d.cut = true
		w.after(30*time.Second, func() { d.cut = false })
	}
	w.runFor(90 * time.Second)
	w.loss, w.table.lose = 0, 0
	w.finishAll(90 * time.Second)
	w.runFor(2 * time.Minute)
	w.verify()
	if n := w.cloud.running(); n < 3 || n > 9 || w.cloud.running("dc1") > 0 {
		t.Errorf("%d instances run, %d of them in the lost data centre", n, w.cloud.running("dc1"))
	}
}

// planner returns the live daemon that plans, or nil.
func (w *world) planner() *fakeDaemon {
	for _, d := range w.live() {
		if len(d.core.planned()) > 0 {
			return d
		}
	}
	return nil
}

// shrink has the managed service grow, gives it calls of 40 s and lets it
// shrink for a while.
func (w *world) shrink() {
	w.cloud.slowCalls = 40 * time.Second
	w.apply(slowDocument(w, "min_servers = 6\nmax_servers = 9"))
	w.runUntil(2*time.Minute, func() bool { return w.cloud.running() >= 9 })
	w.runFor(80 * time.Second)
	for i := range 30 {
		work := plainWork("GET", fmt.Sprintf("call %d", i))
		work.Service = "managed"
		w.after(time.Duration(i)*4*time.Second, func() {
			live := w.live()
			w.call(live[i%len(live)], work, 100*time.Second)
		})
	}
	w.runFor(50 * time.Second)
	w.apply(slowDocument(w, fleetBounds))
	w.runFor(25 * time.Second)
}

// slowDocument returns the document of the managed service with plain calls
// that may take a minute.
func slowDocument(w *world, bounds string) string {
	text := strings.Replace(managedDocument(w, "manage", bounds), `kind = "model"`, `kind = "plain"`, 1)
	return strings.Replace(text, `first_timeout = "2s"`, `first_timeout = "90s"`, 1)
}

func TestCore_InstancesOfOthersAreLeftAlone(t *testing.T) {
	w := newManagedWorld(t, 44, 3)
	others := []map[string]string{nil, {fleet.ServiceTag: "another"}, {"gooseberryslip-services": "managed"}}
	for i, tags := range others {
		w.cloud.add(fmt.Sprintf("x%d", i), "dc0", provider.Running, tags)
	}
	w.apply(managedDocument(w, "manage", fleetBounds))
	w.grown()
	w.load(100*time.Millisecond, 10*time.Second, 50)
	w.runFor(10 * time.Second)
	w.finishAll(60 * time.Second)
	w.verify()
	w.answered()
	for i := range others {
		e := w.engines[entity.BackendServerID(fmt.Sprintf("x%d", i))]
		if e.dead || len(e.runs) > 0 {
			t.Errorf("x%d: stopped %v, ran %d requests", i, e.dead, len(e.runs))
		}
	}
}

func TestCore_RouteManageRouteCutsOffNobody(t *testing.T) {
	w := newManagedWorld(t, 45, 3)
	for i := range 3 {
		w.addEngine(fmt.Sprintf("s%d", i), "managed", i, false)
	}
	scripts := w.order[len(w.order)-3:]
	w.apply(managedDocument(w, "route", fleetBounds, scripts...))
	w.load(100*time.Millisecond, 150*time.Second, 100)
	w.runFor(10 * time.Second)
	w.apply(managedDocument(w, "manage", fleetBounds, scripts...))
	ran := w.runsOf(scripts)
	w.runFor(2 * time.Second)
	if w.runsOf(scripts) == ran {
		t.Errorf("the listed servers got no work in manage mode")
	}
	w.grown()
	w.apply(managedDocument(w, "manage", fleetBounds))
	w.runFor(20 * time.Second)
	for _, e := range scripts {
		if e.dead || e.unfinished() > 0 {
			t.Errorf("%s: dead %v, %d runs", e.server.ID, e.dead, e.unfinished())
		}
	}
	w.apply(managedDocument(w, "manage", fleetBounds, scripts...))
	w.apply(managedDocument(w, "route", fleetBounds, scripts...))
	starts, stops := w.cloud.starts, w.cloud.stops
	w.runFor(20 * time.Second)
	w.cloud.reclaim("dc0")
	w.runFor(time.Minute)
	w.finishAll(60 * time.Second)
	w.verify()
	w.answered()
	if w.cloud.starts != starts || w.cloud.stops != stops {
		t.Errorf("%d starts and %d stops after the return", w.cloud.starts-starts, w.cloud.stops-stops)
	}
	for _, d := range w.daemons {
		if p := d.core.planners(); len(p) > 0 {
			t.Errorf("%s takes %s for the planner", d.id, p[0].Daemon)
		}
	}
	w.noRetries()
}

// runsOf counts the runs of some engines.
func (w *world) runsOf(engines []*fakeEngine) int {
	n := 0
	for _, e := range engines {
		n += len(e.runs)
	}
	return n
}

// noRetries fails the test for each caller that was told to try again, and
// for each run that was started twice.
func (w *world) noRetries() {
	w.t.Helper()
	runs := w.runsByRequest()
	for _, c := range w.callers {
		if c.retries > 0 || len(runs[c.request]) != 1 {
			w.t.Errorf("%s: %d retries, %d runs", c.request, c.retries, len(runs[c.request]))
		}
	}
}
