package quota

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

const org = entity.OrganisationID("o")

// fleet is several ledgers that tell each other of their use after a delay.
type fleet struct {
	ledgers []*Ledger
	cut     map[int]bool // daemons that neither hear nor are heard
}

func newFleet(n int, limit Limit, now time.Time) *fleet {
	f := &fleet{cut: map[int]bool{}}
	for range n {
		l := New()
		l.SetLimit(now, org, limit)
		l.SetDaemons(now, n, n)
		f.ledgers = append(f.ledgers, l)
	}
	return f
}

func (f *fleet) tell(now time.Time) {
	heard := len(f.ledgers) - len(f.cut)
	for i, from := range f.ledgers {
		if f.cut[i] {
			from.SetDaemons(now, 1, len(f.ledgers))
			continue
		}
		from.SetDaemons(now, heard, len(f.ledgers))
		uses := from.Uses(now, false)
		for j, to := range f.ledgers {
			if i != j && !f.cut[j] {
				to.Heard(now, entity.InstanceID(strconv.Itoa(i)), uses)
			}
		}
	}
}

// TestLedger_SumStaysWithinTheQuota floods a fleet from all sides, with daemons
// cut off at random, and checks every window.
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
				clear(f.cut)
				for i := range daemons {
					if rapid.IntRange(0, 3).Draw(t, "cut") == 0 {
						f.cut[i] = true
					}
				}
			}
			taken := 0.0
			for _, l := range f.ledgers {
				if _, ok := l.Take(now, org, 20); ok {
					taken += 20
				}
			}
			history = append(history, taken)
			if n%every == 0 {
				f.tell(now)
			}
		}
		checkWindows(t, history, int(window/step), limit, step, daemons, every)
	})
}

// windowSums returns the units of the windows that end with each step.
func windowSums(history []float64, length int) []float64 {
	sums := make([]float64, len(history))
	sum := 0.0
	for i, taken := range history {
		sum += taken
		if i >= length {
			sum -= history[i-length]
		}
		sums[i] = sum
	}
	return sums
}

// checkWindows compares each window with the quota and what the daemons may
// overspend between two messages, once for each change of who is heard.
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

// TestLedger_HotOrganisationWhileDaemonsAreCutOff replays a cut through a third of
// a large fleet, each daemon alone, just before an organisation asks for three
// times its quota on all of them.
func TestLedger_HotOrganisationWhileDaemonsAreCutOff(t *testing.T) {
	const (
		daemons, alone = 65, 23
		step           = 50 * time.Millisecond
		every          = 13 // steps between messages
		cutAt          = 200
		noticed        = cutAt + 2*every
		hotAt          = cutAt + 10
		window         = 160 // steps
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
		taken := 0.0
		for _, l := range f.ledgers {
			if _, ok := l.Take(now, org, each); ok {
				taken += each
			}
		}
		history = append(history, taken)
		if n%every == 0 {
			f.tellUnlessAlone(now, alone, n >= cutAt, n >= noticed)
		}
	}
	allowed := (limit.Rate*8+limit.Burst)*1.1 + 10_000
	for i, sum := range windowSums(history, window) {
		if sum > allowed {
			t.Fatalf("%.0f units in 8 s up to step %d, %.0f allowed", sum, i, allowed)
		}
	}
}

// tellUnlessAlone exchanges the news, but those of the first few daemons once
// they are cut off, which the others learn when it is noticed.
func (f *fleet) tellUnlessAlone(now time.Time, alone int, cut, noticed bool) {
	n := len(f.ledgers)
	for i, from := range f.ledgers {
		switch {
		case noticed && i < alone:
			from.SetDaemons(now, 1, n)
		case noticed:
			from.SetDaemons(now, n-alone, n)
		}
		uses := from.Uses(now, false)
		for j, to := range f.ledgers {
			if i != j && !(cut && (i < alone || j < alone)) {
				to.Heard(now, entity.InstanceID(strconv.Itoa(i)), uses)
			}
		}
	}
}

// TestLedger_RefusedCallersComeBackTogether replays an organisation that asks 65
// daemons for more than three times its quota, and whose refused requests come
// back when they are told to. What it gets must stay within the quota, and must
// not fall far below.
func TestLedger_RefusedCallersComeBackTogether(t *testing.T) {
	const (
		daemons, active = 65, 30 // of which some have callers
		step            = 25 * time.Millisecond
		every           = 26  // steps between messages
		window          = 320 // steps
	)
	limit := Limit{Rate: 100_000, Burst: 100_000, Tolerance: 50_000}
	start := time.Unix(0, 0)
	f := newFleet(daemons, limit, start)
	back := map[int]map[int]int{} // requests to come again, by step and daemon
	var history []float64
	for n := range 1600 {
		now := start.Add(time.Duration(n) * step)
		taken := 0.0
		ask := func(i int) {
			wait, ok := f.ledgers[i].Take(now, org, 550)
			if ok {
				taken += 550
				return
			}
			at := n + 1 + int(wait/step)
			if back[at] == nil {
				back[at] = map[int]int{}
			}
			back[at][i]++
		}
		for i := range active {
			for range back[n][i] {
				ask(i)
			}
			if n >= 400 && (n+i)%2 == 0 {
				ask(i)
			}
		}
		history = append(history, taken)
		if n%every == 0 {
			f.tell(now)
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

func TestLedger_SilenceTakesNothingAwayForGood(t *testing.T) {
	now := time.Unix(0, 0)
	f := newFleet(4, Limit{Rate: 1000, Burst: 8000}, now)
	now = now.Add(7500 * time.Millisecond)
	l := f.ledgers[0]
	l.SetDaemons(now, 1, 4)
	l.SetDaemons(now, 4, 4)
	if _, ok := l.Take(now, org, 7900); !ok {
		t.Fatal("what was set aside for daemons that were silent for a moment is lost")
	}
}

func TestLedger_ForgottenDaemonsPartIsNotHandedOut(t *testing.T) {
	now := time.Unix(0, 0)
	f := newFleet(4, Limit{Rate: 1000, Burst: 8000}, now)
	now = now.Add(8 * time.Second)
	l := f.ledgers[0]
	l.SetDaemons(now, 1, 4)
	l.SetDaemons(now, 1, 1)
	if _, ok := l.Take(now, org, 2500); ok {
		t.Fatal("a daemon that was cut off takes the others' parts once it has forgotten them")
	}
}

func TestLedger_OneDaemonMayUseTheWholeQuota(t *testing.T) {
	start := time.Unix(0, 0)
	f := newFleet(9, Limit{Rate: 1000, Burst: 1000}, start)
	taken := 0.0
	for n := range 1000 {
		now := start.Add(time.Duration(n) * 10 * time.Millisecond)
		if _, ok := f.ledgers[0].Take(now, org, 10); ok {
			taken += 10
		}
		f.tell(now)
	}
	if taken < 9900 {
		t.Fatalf("%.0f units in 10 s, the quota allows 10000", taken)
	}
}

func TestLedger_RestartedDaemonTakesThePeersLevel(t *testing.T) {
	now := time.Unix(100, 0)
	f := newFleet(2, Limit{Rate: 1000, Burst: 5000}, now)
	for range 1000 {
		f.ledgers[0].Take(now, org, 10)
	}
	fresh := New()
	fresh.SetLimit(now, org, Limit{Rate: 1000, Burst: 5000})
	fresh.Heard(now, "0", f.ledgers[0].Uses(now, true))
	if _, ok := fresh.Take(now, org, 100); ok {
		t.Fatal("a restarted daemon had a full bucket beside an empty one")
	}
}

// TestLedger_AllDaemonsLostAndBack replays the loss of all daemons at once while
// one organisation has spent its quota and another has not.
func TestLedger_AllDaemonsLostAndBack(t *testing.T) {
	now := time.Unix(100, 0)
	limit := Limit{Rate: 1000, Burst: 5000}
	before := New()
	before.SetLimit(now, "spent", limit)
	before.SetLimit(now, "full", limit)
	now = now.Add(10 * time.Second)
	before.Take(now, "spent", 5000)
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
		if _, ok := l.Take(now, "spent", 100); ok {
			t.Error("a spent quota is there again after a restart")
		}
		if _, ok := l.Take(now, "full", 4900); !ok {
			t.Error("a quota that was there is gone after a restart")
		}
	}
}

func TestLedger_LowerLimitBinds(t *testing.T) {
	now := time.Unix(0, 0)
	l := New()
	l.SetLimit(now, org, Limit{Rate: 1000, Burst: 1000})
	now = now.Add(10 * time.Second)
	l.SetLimit(now, org, Limit{Rate: 10, Burst: 10})
	if _, ok := l.Take(now, org, 10); !ok {
		t.Fatal("nothing of the lower burst is there")
	}
	wait, ok := l.Take(now, org, 10)
	if ok || wait < 900*time.Millisecond || wait > 1100*time.Millisecond {
		t.Fatalf("taken %v, wait %v; want a wait of one second", ok, wait)
	}
}

func TestLedger_NoLimit(t *testing.T) {
	l := New()
	l.SetLimit(time.Unix(0, 0), org, Limit{})
	for range 1000 {
		if _, ok := l.Take(time.Unix(0, 0), org, 1e9); !ok {
			t.Fatal("an organisation without a limit was refused")
		}
	}
}
