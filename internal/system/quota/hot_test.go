package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// minServedRatio is the least ratio of a quota that an organisation gets which asks for more: what is
// within a quota is not to be refused, and a twentieth allows for requests that come in pieces larger
// than what has accrued.
const minServedRatio = 0.95

// hotRun is a fleet in which an organisation asks for several times its quota with requests of
// uneven sizes.
type hotRun struct {
	*fleet
	rng     *rand.Rand
	limit   Limit
	daemons int
	factor  float64 // of the quota, in what is asked
	skew    float64 // 0: all daemons get the same number of requests; 1: the first ones get most
	history []float64
	bucket  float64 // units in the organisation's bucket, by what all daemons have spent
	asked   int
	within  int // refused requests for which the bucket held enough
}

const (
	// hotStep is the time in which one daemon reports its use to the others, in turn.
	hotStep   = 10 * time.Millisecond
	hotWindow = 8 * time.Second
)

// requestUnits returns the size of a request: most are small, one in six is large and a few are
// several times larger still.
func (r *hotRun) requestUnits() float64 {
	if r.rng.IntN(6) > 0 {
		return 200 + 2400*r.rng.Float64()
	}
	return 3000 * math.Exp(r.rng.NormFloat64()+0.8)
}

// daemon returns the daemon that gets the next request.
func (r *hotRun) daemon() *Ledger {
	u := r.rng.Float64()
	return r.ledgers[int(float64(r.daemons)*math.Pow(u, 1+2*r.skew))]
}

// run plays the given time: at first the organisation asks for a little, then for far more than
// its quota.
func (r *hotRun) run(calm, hot time.Duration) {
	start := time.Unix(0, 0)
	pending := 0.0
	r.bucket = r.limit.Burst
	for n := range int((calm + hot) / hotStep) {
		now := start.Add(time.Duration(n) * hotStep)
		asked := 0.4
		if now.Sub(start) >= calm {
			asked = r.factor
		}
		pending += asked * r.limit.Rate * hotStep.Seconds()
		r.bucket = min(r.bucket+r.limit.Rate*hotStep.Seconds(), r.limit.Burst)
		served := 0.0
		for pending > 0 {
			units := r.requestUnits()
			pending -= units
			r.asked++
			if _, ok := r.daemon().Reserve(now, org, units); ok {
				served += units
				r.bucket -= units
				continue
			}
			if r.bucket >= units {
				r.within++
			}
		}
		r.history = append(r.history, served)
		r.report(now, n%r.daemons)
	}
}

// report delivers one daemon's report to the others.
func (r *hotRun) report(now time.Time, from int) {
	uses := r.ledgers[from].Uses(now, false)
	for i, to := range r.ledgers {
		if i != from {
			to.ReceiveUses(now, entity.InstanceID(strconv.Itoa(from)), uses)
		}
	}
}

// eachHotRun plays fleets of several sizes in which an organisation asks for more than its quota.
func eachHotRun(t *testing.T, check func(t *testing.T, r *hotRun, calm, hot time.Duration)) {
	const calm, hot = 10 * time.Second, 20 * time.Second
	for _, daemons := range []int{9, 17, 73, 195} {
		for _, factor := range []float64{1.5, 3} {
			for _, skew := range []float64{0, 1} {
				t.Run(fmt.Sprint("daemons=", daemons, "/factor=", factor, "/skew=", skew), func(t *testing.T) {
					limit := Limit{Rate: 1_000_000, Burst: 1_000_000, Tolerance: 400_000}
					r := &hotRun{
						fleet: newFleet(daemons, limit, time.Unix(0, 0)), rng: rand.New(rand.NewPCG(uint64(daemons), 1)),
						limit: limit, daemons: daemons, factor: factor, skew: skew,
					}
					r.run(calm, hot)
					check(t, r, calm, hot)
				})
			}
		}
	}
}

// TestLedger_HotOrganisationGetsItsQuota: in fleets whose daemons spend by shares, an organisation
// that asked for more than its quota was refused while its bucket filled up.
func TestLedger_HotOrganisationGetsItsQuota(t *testing.T) {
	eachHotRun(t, func(t *testing.T, r *hotRun, calm, hot time.Duration) {
		allowed := (r.limit.Rate*hotWindow.Seconds()+r.limit.Burst)*1.1 + 140_000
		most := slices.Max(windowSums(r.history, int(hotWindow/hotStep)))
		served := 0.0
		for _, units := range r.history[int(calm/hotStep):] {
			served += units
		}
		owed := r.limit.Rate * hot.Seconds()
		t.Logf("%.2f of what the quota gave, at most %.2f of what is allowed in %v", served/owed, most/allowed, hotWindow)
		if served < minServedRatio*owed {
			t.Errorf("%.0f units served in %v, want %.0f", served, hot, minServedRatio*owed)
		}
		if most > allowed {
			t.Errorf("%.0f units served in %v, %.0f allowed", most, hotWindow, allowed)
		}
	})
}

// TestLedger_RefusesNothingWithinTheQuota: a request was refused although its organisation's bucket
// held enough for it, as each daemon knew its own share only.
func TestLedger_RefusesNothingWithinTheQuota(t *testing.T) {
	eachHotRun(t, func(t *testing.T, r *hotRun, _, _ time.Duration) {
		ratio := float64(r.within) / float64(r.asked)
		t.Logf("%.3f of all requests refused within the quota", ratio)
		if ratio > 1-minServedRatio {
			t.Errorf("%.3f of all requests refused although the quota had enough for them, want %.2f at most", ratio, 1-minServedRatio)
		}
	})
}
