package exchange

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// The bound that the users' contract sets: over any window, all daemons and all their lives,
// the units of an organisation's requests that run are at most what its quota allows in the window,
// a ratio more, and a slack.
const (
	quotaWindow      = 8 * time.Second
	quotaExcessRatio = 0.1
	quotaExcessUnits = 2000
)

// quotaRun is a run of a fleet in which an organisation asks for many times its quota.
type quotaRun struct {
	*testFleet
	started []time.Time // runs of the organisation's requests
}

// newQuotaRun returns a fleet whose organisation "small" asks for eight times its quota.
func newQuotaRun(t testing.TB, seed uint64, daemons int) *quotaRun {
	r := &quotaRun{testFleet: newTestFleetWithRetries(t, seed, daemons, 9, retryContract{ratio: 0.2, reserve: 200})}
	r.checkpoints = true
	r.onArrival = func(a arrival) { r.started = append(r.started, a.at) }
	r.every(time.Second/800, func() {
		req := testRequest("", "/get/x", "k1")
		d := r.daemons[r.rng.IntN(len(r.daemons))]
		r.whenRunning(d, func() { r.send(d, req) })
	})
	return r
}

// check checks the bound in all windows that begin with a run.
func (r *quotaRun) check() {
	r.t.Helper()
	org := &testDocument(1).Organisations[0]
	quota := org.RatePerSec*quotaWindow.Seconds() + org.Burst
	allowed := quota*(1+quotaExcessRatio) + quotaExcessUnits
	worst, total, end := 0, 0, 0
	for i, from := range r.started {
		for end < len(r.started) && r.started[end].Before(from.Add(quotaWindow)) {
			end++
		}
		worst = max(worst, end-i)
		total++
	}
	units := float64(worst) * float64(org.PlainTokens)
	r.t.Logf("%d requests ran; worst window: %.0f units, %.0f allowed", total, units, allowed)
	if units > allowed {
		r.t.Errorf("%.0f units in %v, %.0f allowed", units, quotaWindow, allowed)
	}
	if units < 0.5*quota {
		r.t.Errorf("at most %.0f units in %v, of a quota of %.0f", units, quotaWindow, quota)
	}
}

// TestQuota_HoldsOverAllDaemonsAndLives: a daemon that starts again does not know what was
// spent.
func TestQuota_HoldsOverAllDaemonsAndLives(t *testing.T) {
	for _, daemons := range []int{3, 6, 9} {
		eachRestartFault(t, daemons)
	}
}

// eachRestartFault checks the bound while daemons restart in series.
func eachRestartFault(t *testing.T, daemons int) {
	for _, fault := range restartFaults {
		t.Run(fmt.Sprint(fault.name, "/daemons=", daemons), func(t *testing.T) {
			t.Parallel()
			r := newQuotaRun(t, uint64(daemons), daemons)
			r.run(4 * time.Second)
			for range 10 {
				fault.strike(r.testFleet)
				r.run(fault.interval)
			}
			r.check()
		})
	}
}

// restartFaults are restarts of daemons in series.
var restartFaults = []struct {
	name     string
	interval time.Duration
	strike   func(f *testFleet)
}{
	{"no-fault", 2 * time.Second, func(*testFleet) {}},
	{"all-restart", 2500 * time.Millisecond, func(f *testFleet) { f.restart(f.daemons) }},
	{"half-restart", 1500 * time.Millisecond, func(f *testFleet) { f.restart(f.some(0.5)) }},
	{"one-restarts", 500 * time.Millisecond, func(f *testFleet) { f.restart(f.some(0)) }},
}

// TestRestoreQuotas_AgeLimitGrowsWithTheInterval: in a large fleet checkpoints are seconds
// apart, and the newest one is that old.
func TestRestoreQuotas_AgeLimitGrowsWithTheInterval(t *testing.T) {
	for _, c := range []struct {
		interval, age time.Duration
		used          bool
	}{
		{120 * time.Millisecond, time.Second, true},
		{120 * time.Millisecond, 2 * time.Second, false},
		{8 * time.Second, 9 * time.Second, true},
		{8 * time.Second, 17 * time.Second, false},
	} {
		core := newTestCore(t, "d1")
		core.quota.Restore(map[entity.OrganisationID]float64{"small": 0})
		core.SetTrueTime(0)
		at, _ := core.TrueTime(zero)
		core.RestoreQuotas(zero, &Checkpoint{At: at - c.age, Interval: c.interval, Levels: map[entity.OrganisationID]float64{"small": 1000}})
		if _, used := core.quota.Reserve(zero, "small", 500); used != c.used {
			t.Errorf("checkpoint of %v ago, one each %v: levels used %v, want %v", c.age, c.interval, used, c.used)
		}
	}
}
