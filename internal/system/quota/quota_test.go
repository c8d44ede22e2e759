package quota

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

const org = entity.OrganisationID("o")

// fleet is a number of ledgers that report their use to each other after a delay.
type fleet struct {
	ledgers []*Ledger
	cutOff  map[int]bool // daemons that can neither send nor receive
}

func newFleet(n int, limit Limit, now time.Time) *fleet {
	f := &fleet{cutOff: map[int]bool{}}
	for range n {
		l := New()
		l.SetLimit(now, org, limit)
		l.SetDaemons(now, n, n)
		f.ledgers = append(f.ledgers, l)
	}
	return f
}

// exchangeUses delivers the reports of all daemons that are not cut off to each
// other.
func (f *fleet) exchangeUses(now time.Time) {
	reachable := len(f.ledgers) - len(f.cutOff)
	for i, from := range f.ledgers {
		if f.cutOff[i] {
			from.SetDaemons(now, 1, len(f.ledgers))
			continue
		}
		from.SetDaemons(now, reachable, len(f.ledgers))
		uses := from.Uses(now, false)
		for j, to := range f.ledgers {
			if i != j && !f.cutOff[j] {
				to.ReceiveUses(now, entity.InstanceID(strconv.Itoa(i)), uses)
			}
		}
	}
}

// TestLedger_SumStaysWithinTheQuota requests more than the quota at all daemons,
// cuts daemons off at random, and checks the units spent in every window.
func TestLedger_SumStaysWithinTheQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const step = 20 * time.Millisecond
		const window = 8 * time.Second
		limit := Limit{Rate: 1000, Burst: 1000}
		daemons := rapid.IntRange(1, 9).Draw(t, "daemons")
		every := rapid.IntRange(1, 8).Draw(t, "steps between messages")
		start := time.Unix(0, 0)
		f := newFleet(daemons, limit, start)
		var history []float64
		for n := range 1500 {
			now := start.Add(time.Duration(n) * step)
			if n%200 == 199 {
				clear(f.cutOff)
				for i := range daemons {
					if rapid.IntRange(0, 3).Draw(t, "cut") == 0 {
						f.cutOff[i] = true
					}
				}
			}
			reserved := 0.0
			for _, l := range f.ledgers {
				if _, ok := l.Reserve(now, org, 20); ok {
					reserved += 20
				}
			}
			history = append(history, reserved)
			if n%every == 0 {
				f.exchangeUses(now)
			}
		}
		checkWindows(t, history, int(window/step), limit, step, daemons, every)
	})
}

// windowSums returns, for each step, the units of the window that ends with it.
func windowSums(history []float64, length int) []float64 {
	sums := make([]float64, len(history))
	sum := 0.0
	for i, reserved := range history {
		sum += reserved
		if i >= length {
			sum -= history[i-length]
		}
		sums[i] = sum
	}
	return sums
}

// checkWindows compares each window with the quota plus what the daemons may
// overspend between two reports, once for each change of which daemons are
// reachable.
func checkWindows(t *rapid.T, history []float64, length int, limit Limit, step time.Duration, daemons, every int) {
	seconds := (time.Duration(length) * step).Seconds()
	slack := float64(daemons) * 20 * float64(every+1) * 5
	bound := limit.Rate*seconds + limit.Burst + slack
	for _, sum := range windowSums(history, length) {
		if sum > bound {
			t.Fatalf("%.0f units in %.0f s, more than %.0f", sum, seconds, bound)
		}
	}
}

// TestLedger_HotOrganisationWhileDaemonsAreCutOff cuts off a third of a large
// fleet, each daemon from all others, just before an organisation requests three
// times its quota at all daemons. The quota must hold although the cut is noticed
// late.
func TestLedger_HotOrganisationWhileDaemonsAreCutOff(t *testing.T) {
	const (
		daemons, cutOffCount = 65, 23
		step                 = 50 * time.Millisecond
		every                = 13 // steps between messages
		cutAt                = 200
		noticed              = cutAt + 2*every
		hotAt                = cutAt + 10
		window               = 160 // steps
	)
	limit := Limit{Rate: 100_000, Burst: 100_000, Tolerance: 50_000}
	start := time.Unix(0, 0)
	f := newFleet(daemons, limit, start)
	var history []float64
	for n := range cutAt + 400 {
		now := start.Add(time.Duration(n) * step)
		each := 0.4 * limit.Rate * step.Seconds() / daemons
		if n >= hotAt {
			each = 3 * limit.Rate * step.Seconds() / daemons
		}
		reserved := 0.0
		for _, l := range f.ledgers {
			if _, ok := l.Reserve(now, org, each); ok {
				reserved += each
			}
		}
		history = append(history, reserved)
		if n%every == 0 {
			f.exchangeUsesUnlessCutOff(now, cutOffCount, n >= cutAt, n >= noticed)
		}
	}
	allowed := (limit.Rate*8+limit.Burst)*1.1 + 10_000
	for i, sum := range windowSums(history, window) {
		if sum > allowed {
			t.Fatalf("%.0f units in 8 s up to step %d, %.0f allowed", sum, i, allowed)
		}
	}
}

// exchangeUsesUnlessCutOff delivers the daemons' reports to each other. If cutOff
// is set, the first cutOffCount daemons neither send nor receive. If noticed is
// set, all daemons know which of the others are unreachable.
func (f *fleet) exchangeUsesUnlessCutOff(now time.Time, cutOffCount int, cutOff, noticed bool) {
	n := len(f.ledgers)
	for i, from := range f.ledgers {
		switch {
		case noticed && i < cutOffCount:
			from.SetDaemons(now, 1, n)
		case noticed:
			from.SetDaemons(now, n-cutOffCount, n)
		}
		uses := from.Uses(now, false)
		for j, to := range f.ledgers {
			if i != j && !(cutOff && (i < cutOffCount || j < cutOffCount)) {
				to.ReceiveUses(now, entity.InstanceID(strconv.Itoa(i)), uses)
			}
		}
	}
}

// TestLedger_RefusedCallersComeBackTogether has an organisation request more than
// three times its quota at 65 daemons, and repeat refused requests after the delay
// that Reserve returned. What it gets must stay within the quota, and must not fall
// far below.
func TestLedger_RefusedCallersComeBackTogether(t *testing.T) {
	const (
		daemons, active = 65, 30 // only the active daemons have callers
		step            = 25 * time.Millisecond
		every           = 26  // steps between messages
		window          = 320 // steps
	)
	limit := Limit{Rate: 100_000, Burst: 100_000, Tolerance: 50_000}
	start := time.Unix(0, 0)
	f := newFleet(daemons, limit, start)
	retries := map[int]map[int]int{} // number of requests to repeat, by step and daemon
	var history []float64
	for n := range 1600 {
		now := start.Add(time.Duration(n) * step)
		reserved := 0.0
		request := func(i int) {
			wait, ok := f.ledgers[i].Reserve(now, org, 550)
			if ok {
				reserved += 550
				return
			}
			at := n + 1 + int(wait/step)
			if retries[at] == nil {
				retries[at] = map[int]int{}
			}
			retries[at][i]++
		}
		for i := range active {
			for range retries[n][i] {
				request(i)
			}
			if n >= 400 && (n+i)%2 == 0 {
				request(i)
			}
		}
		history = append(history, reserved)
		if n%every == 0 {
			f.exchangeUses(now)
		}
	}
	allowed := (limit.Rate*8+limit.Burst)*1.1 + 10_000
	sums := windowSums(history, window)
	for i, sum := range sums {
		if sum > allowed {
			t.Fatalf("%.0f units in 8 s up to step %d, %.0f allowed", sum, i, allowed)
		}
	}
	if last := sums[len(sums)-1]; last < 0.8*8*limit.Rate {
		t.Fatalf("%.0f units in the last 8 s of a quota of %.0f", last, 8*limit.Rate)
	}
}

func TestLedger_ShortSilenceLosesNoUnits(t *testing.T) {
	now := time.Unix(0, 0)
	f := newFleet(4, Limit{Rate: 1000, Burst: 8000}, now)
	now = now.Add(8 * time.Second)
	l := f.ledgers[0]
	l.SetDaemons(now, 1, 4)
	l.SetDaemons(now, 4, 4)
	if _, ok := l.Reserve(now, org, 7900); !ok {
		t.Fatal("the units withheld for daemons that were silent for a moment are lost")
	}
}

func TestLedger_ForgottenDaemonsShareIsNotSpent(t *testing.T) {
	now := time.Unix(0, 0)
	f := newFleet(4, Limit{Rate: 1000, Burst: 8000}, now)
	now = now.Add(8 * time.Second)
	l := f.ledgers[0]
	l.SetDaemons(now, 1, 4)
	l.SetDaemons(now, 1, 1)
	if _, ok := l.Reserve(now, org, 2500); ok {
		t.Fatal("a daemon that was cut off spends the other daemons' shares after it has forgotten them")
	}
}

func TestLedger_OneDaemonMayUseTheWholeQuota(t *testing.T) {
	start := time.Unix(0, 0)
	f := newFleet(9, Limit{Rate: 1000, Burst: 1000}, start)
	reserved := 0.0
	for n := range 1000 {
		now := start.Add(time.Duration(n) * 10 * time.Millisecond)
		if _, ok := f.ledgers[0].Reserve(now, org, 10); ok {
			reserved += 10
		}
		f.exchangeUses(now)
	}
	if reserved < 9900 {
		t.Fatalf("%.0f units reserved in 10 s, want at least 9900 of the quota's 10000", reserved)
	}
}

func TestLedger_RestartedDaemonAdoptsPeersLevel(t *testing.T) {
	now := time.Unix(100, 0)
	f := newFleet(2, Limit{Rate: 1000, Burst: 5000}, now)
	for range 1000 {
		f.ledgers[0].Reserve(now, org, 10)
	}
	fresh := New()
	fresh.SetLimit(now, org, Limit{Rate: 1000, Burst: 5000})
	fresh.ReceiveUses(now, "0", f.ledgers[0].Uses(now, true))
	if _, ok := fresh.Reserve(now, org, 100); ok {
		t.Fatal("a restarted daemon has a full bucket although its peer's is empty")
	}
}

// TestLedger_AllDaemonsLostAndBack restores stored levels after all daemons were
// lost at once: one organisation had spent its quota and another had not.
func TestLedger_AllDaemonsLostAndBack(t *testing.T) {
	now := time.Unix(100, 0)
	limit := Limit{Rate: 1000, Burst: 5000}
	before := New()
	before.SetLimit(now, "spent", limit)
	before.SetLimit(now, "full", limit)
	now = now.Add(10 * time.Second)
	before.Reserve(now, "spent", 5000)
	saved := before.Levels(now)
	for _, limitsFirst := range []bool{false, true} {
		l := New()
		if !limitsFirst {
			l.Restore(saved)
		}
		l.SetLimit(now, "spent", limit)
		l.SetLimit(now, "full", limit)
		if limitsFirst {
			l.Restore(saved)
		}
		if _, ok := l.Reserve(now, "spent", 100); ok {
			t.Error("a spent quota is available again after a restart")
		}
		if _, ok := l.Reserve(now, "full", 4900); !ok {
			t.Error("an unspent quota is not available after a restart")
		}
	}
}

func TestLedger_LowerLimitBinds(t *testing.T) {
	now := time.Unix(0, 0)
	l := New()
	l.SetLimit(now, org, Limit{Rate: 1000, Burst: 1000})
	now = now.Add(10 * time.Second)
	l.SetLimit(now, org, Limit{Rate: 10, Burst: 10})
	if _, ok := l.Reserve(now, org, 10); !ok {
		t.Fatal("the lower burst is not available")
	}
	wait, ok := l.Reserve(now, org, 10)
	if ok || wait < 900*time.Millisecond || wait > 1100*time.Millisecond {
		t.Fatalf("reserved %v, wait %v; want a refusal and a wait of one second", ok, wait)
	}
}

func TestLedger_NoLimit(t *testing.T) {
	l := New()
	l.SetLimit(time.Unix(0, 0), org, Limit{})
	for range 1000 {
		if _, ok := l.Reserve(time.Unix(0, 0), org, 1e9); !ok {
			t.Fatal("an organisation without a limit was refused")
		}
	}
}
