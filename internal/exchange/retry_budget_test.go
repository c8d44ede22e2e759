package exchange

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// The bound that the users' contract sets: over any window, all daemons and all their
// lives, the arrivals beyond the first of each request for a service are at most
// permittedRetryRatio times the requests for it, plus permittedRetrySlack. The requests are counted in
// that window, the one before it, or half a window before it.
const (
	retryWindow         = 10 * time.Second
	permittedRetryRatio = 0.2
	permittedRetrySlack = 60
)

// retryRun is a run of a fleet that counts repeated arrivals at the servers of a service.
type retryRun struct {
	*testFleet
	service entity.ServiceName
	sends   []time.Time // of callers' requests for the service
	repeats []time.Time // arrivals beyond the first of each request
	arrived map[entity.RequestID]bool
	served  int
}

// newRetryRun returns a fleet whose callers send engines a request about every interval.
// Nine in ten requests are rejected by their server until calm is set.
func newRetryRun(t testing.TB, seed uint64, daemons int, interval time.Duration) *retryRun {
	r := &retryRun{testFleet: newTestFleetWithRetries(t, seed, daemons, 9, retryContract{ratio: permittedRetryRatio, reserve: permittedRetrySlack}), service: "engine", arrived: map[entity.RequestID]bool{}}
	r.rejects = func(s *fleetServer) bool { return s.Service == r.service && r.rng.IntN(10) > 0 }
	r.onArrival = func(a arrival) {
		if a.server.Service != r.service {
			return
		}
		if r.arrived[a.request.ID] {
			r.repeats = append(r.repeats, r.now)
		}
		r.arrived[a.request.ID] = true
	}
	r.onAnswer = func(*fleetDaemon, *fleetServer) { r.served++ }
	r.every(interval, func() {
		r.sends = append(r.sends, r.now)
		req := testRequest("", "/talk/x", "k3")
		req.Patience = 5 * time.Second
		d := r.daemons[r.rng.IntN(len(r.daemons))]
		r.whenRunning(d, func() { r.send(d, req) })
	})
	return r
}

// countBetween returns the number of the times, which are in order, that lie in a span.
func countBetween(times []time.Time, from, to time.Time) int {
	n := 0
	for _, t := range times {
		if !t.Before(from) && t.Before(to) {
			n++
		}
	}
	return n
}

// check checks the bound in all windows that begin with a repeat.
func (r *retryRun) check() {
	r.t.Helper()
	worst, worstAllowed := 0, 0.0
	for _, from := range r.repeats {
		repeats := countBetween(r.repeats, from, from.Add(retryWindow))
		requests := countBetween(r.sends, from, from.Add(retryWindow))
		requests = max(requests, countBetween(r.sends, from.Add(-retryWindow), from))
		requests = max(requests, countBetween(r.sends, from.Add(-retryWindow/2), from.Add(retryWindow/2)))
		allowed := permittedRetryRatio*float64(requests) + permittedRetrySlack
		if worst == 0 || float64(repeats)-allowed > float64(worst)-worstAllowed {
			worst, worstAllowed = repeats, allowed
		}
	}
	r.t.Logf("%d requests, %d answered, %d repeats; worst window: %d repeats, %.0f allowed", len(r.sends), r.served, len(r.repeats), worst, worstAllowed)
	if float64(worst) > worstAllowed {
		r.t.Errorf("%d repeats in %v, %.0f allowed", worst, retryWindow, worstAllowed)
	}
	if r.served == 0 {
		r.t.Error("no request was answered")
	}
}

// retryFaults are the faults that a fleet has in series while its servers reject requests.
var retryFaults = []struct {
	name     string
	interval time.Duration
	strike   func(r *retryRun)
}{
	{"no-fault", time.Hour, func(*retryRun) {}},
	{"all-restart", 3 * time.Second, func(r *retryRun) { r.restart(r.daemons) }},
	{"half-restart", time.Second, func(r *retryRun) { r.restart(r.some(0.5)) }},
	{"one-restarts", 200 * time.Millisecond, func(r *retryRun) { r.restart(r.some(0)) }},
	{"all-restart-without-table", 6 * time.Second, func(r *retryRun) {
		r.tableAway = true
		r.restart(r.daemons)
		r.after(1500*time.Millisecond, func() { r.tableAway = false })
	}},
	{"cut-off-restart", 4 * time.Second, func(r *retryRun) {
		cut := r.some(0.5)
		for _, d := range cut {
			d.cut = true
		}
		r.restart(cut)
		r.after(3500*time.Millisecond, func() {
			for _, d := range cut {
				r.reconnect(d)
			}
		})
	}},
	{"all-cut-off-for-long", 45 * time.Second, func(r *retryRun) {
		for _, d := range r.daemons {
			d.cut = true
		}
		r.after(40*time.Second, func() {
			for _, d := range r.daemons {
				r.reconnect(d)
			}
		})
	}},
	{"suspended-and-restart", 3 * time.Second, func(r *retryRun) {
		for _, d := range r.some(0.5) {
			r.suspend(d, 2*time.Second)
		}
		r.restart(r.some(0.3))
	}},
	{"servers-replaced-and-restart", 2 * time.Second, func(r *retryRun) {
		engines := r.engines()
		for n := range 3 {
			old := engines[len(engines)-1-n]
			if old.up {
				r.crash(old)
				r.replace(old, entity.BackendServerID(fmt.Sprint(old.ID, "'")), old.Born+1)
			}
		}
		r.restart(r.some(0.5))
	}},
}

// TestRetryBudget_HoldsOverAllDaemonsAndLives: a daemon that starts again has spent nothing,
// as far as it knows.
func TestRetryBudget_HoldsOverAllDaemonsAndLives(t *testing.T) {
	for _, daemons := range []int{3, 6, 9, 89} {
		for _, fault := range retryFaults {
			for _, interval := range []time.Duration{8 * time.Millisecond, 80 * time.Millisecond} {
				t.Run(fmt.Sprint(fault.name, "/daemons=", daemons, "/interval=", interval), func(t *testing.T) {
					t.Parallel()
					r := newRetryRun(t, uint64(daemons), daemons, interval)
					r.run(4 * time.Second)
					for range max(int(faultDuration/fault.interval), 1) {
						fault.strike(r)
						r.run(min(fault.interval, faultDuration))
					}
					r.check()
				})
			}
		}
	}
}

// faultDuration is how long a fleet has faults in series.
const faultDuration = 48 * time.Second

// TestRetryBudget_HoldsInALargeFleet: a daemon's share of the slack is less than one retry.
func TestRetryBudget_HoldsInALargeFleet(t *testing.T) {
	for _, interval := range []time.Duration{2 * time.Millisecond, 50 * time.Millisecond} {
		t.Run(fmt.Sprint("interval=", interval), func(t *testing.T) {
			t.Parallel()
			r := newRetryRun(t, 1, 410, interval)
			r.run(5 * time.Second)
			for range 2 {
				r.restart(r.some(0.5))
				r.run(4 * time.Second)
			}
			r.check()
		})
	}
}

// TestRetryBudget_UnsentRequestEarnsOnce: a send that reaches no server is no first send.
func TestRetryBudget_UnsentRequestEarnsOnce(t *testing.T) {
	c := newTestCore(t, "d1")
	for c.chargeRetry(zero, &Ticket{Service: "plain"}) {
	}
	before := c.budget.StatusOf(zero, "plain").Saved
	ticket := mustAdmit(t, c, zero, testRequest("r", "/get/x", "k3"))
	for range 3 {
		mustPlace(t, c, zero, ticket)
		if refusal := c.Ended(zero, ticket, NotListening); refusal != nil {
			t.Fatalf("request that reached no server was refused: %+v", *refusal)
		}
	}
	earned := c.budget.StatusOf(zero, "plain").Saved - before
	if want := usedRetryRatio * c.cfg.Bounds.RetryRatio; math.Abs(earned-want) > 1e-9 {
		t.Fatalf("one request earned %.2f retries, want %.2f", earned, want)
	}
}
