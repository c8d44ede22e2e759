package retry

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

var start = time.UnixMicro(1_700_000_000_000_000)

type sendTimes []time.Time

func (s sendTimes) Len() int           { return len(s) }
func (s sendTimes) Less(i, j int) bool { return s[i].Before(s[j]) }
func (s sendTimes) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *sendTimes) Push(x any)        { *s = append(*s, x.(time.Time)) }
func (s *sendTimes) Pop() any {
	last := len(*s) - 1
	t := (*s)[last]
	*s = (*s)[:last]
	return t
}

// storm simulates 200 requests a second, of which every send fails after 10 ms
// during 2 s. It returns the maximum number of sends in any 100 ms, as a
// multiple of the offered rate.
func storm(allowRetry func(now time.Time) (time.Duration, bool), recordFirst func(time.Time)) float64 {
	const rate = 200
	var queue sendTimes
	for i := range 10 * rate {
		at := start.Add(time.Duration(i) * time.Second / rate)
		queue = append(queue, at)
	}
	firstAttempts := len(queue)
	heap.Init(&queue)
	windows := make([]int, 200)
	for n := 0; len(queue) > 0; n++ {
		now := heap.Pop(&queue).(time.Time)
		if firstAttempts > 0 {
			firstAttempts--
			recordFirst(now)
		}
		elapsed := now.Sub(start)
		if i := int(elapsed / (100 * time.Millisecond)); i < len(windows) {
			windows[i]++
		}
		if elapsed < 4*time.Second || elapsed > 6*time.Second {
			continue
		}
		failed := now.Add(10 * time.Millisecond)
		if delay, ok := allowRetry(failed); ok {
			heap.Push(&queue, failed.Add(delay))
		}
	}
	maxSends := 0
	for _, n := range windows {
		maxSends = max(maxSends, n)
	}
	return float64(maxSends) / (rate / 10)
}

func TestBudget_BoundsARetryStorm(t *testing.T) {
	b := New(Config{Rand: rand.New(rand.NewPCG(1, 1))})
	got := storm(
		func(now time.Time) (time.Duration, bool) { return b.Allow(now, "s") },
		func(now time.Time) { b.RecordFirstAttempt(now, "s") },
	)
	without := storm(func(time.Time) (time.Duration, bool) { return 0, true }, func(time.Time) {})
	t.Logf("maximum sends in 100 ms, as a multiple of the offered rate: %.2f with the budget, %.1f without", got, without)
	if got > 1+defaultRatio+defaultReserve/20 {
		t.Errorf("%.2f times the offered rate is above the budget's bound", got)
	}
}

func TestBudget_ServicesDoNotShare(t *testing.T) {
	b := New(Config{Rand: rand.New(rand.NewPCG(1, 1))})
	b.SetServices(start.Add(-time.Minute), []entity.Service{{Name: "a", Retry: entity.RetryPolicy{BudgetRatio: 0.5}}, {Name: "b"}})
	allowed := countAllowed(b, start, "a", 100)
	if want := math.Floor(savedRatio * defaultReserve); float64(allowed) != want {
		t.Fatalf("%d retries without first attempts, want the %v that may be saved", allowed, want)
	}
	if _, ok := b.Allow(start, "b"); !ok {
		t.Fatal("retries of one service used the budget of another")
	}
	b.RecordFirstAttempt(start, "a")
	b.RecordFirstAttempt(start, "a")
	if _, ok := b.Allow(start, "a"); !ok {
		t.Fatal("two first attempts at a ratio of 0.5 earn no retry")
	}
}

// TestBudget_StatusCountsAllowedAndRefused: operators see why retries were refused.
func TestBudget_StatusCountsAllowedAndRefused(t *testing.T) {
	b := New(Config{Rand: rand.New(rand.NewPCG(1, 1)), Reserve: 3})
	b.Open(start.Add(-time.Minute), "s")
	countAllowed(b, start, "s", 3)
	want := Status{Service: "s", Saved: 0, Reserve: 3, Allowed: 2, Refused: 1}
	if got := b.Status(start); len(got) != 1 || got[0] != want {
		t.Fatalf("status %+v, want %+v", got, want)
	}
}

// countAllowed returns how many of that many retries a budget allows at once.
func countAllowed(b *Budget, now time.Time, service entity.ServiceName, retries int) int {
	allowed := 0
	for range retries {
		if _, ok := b.Allow(now, service); ok {
			allowed++
		}
	}
	return allowed
}

// TestBudget_StartsBringNoRetries: a process that starts again each second, or a service that
// is dropped and listed again, gets no more than the reserve in any window.
func TestBudget_StartsBringNoRetries(t *testing.T) {
	services := []entity.Service{{Name: "s"}}
	for name, again := range map[string]func(*Budget, time.Time) *Budget{
		"process": func(_ *Budget, now time.Time) *Budget {
			b := New(Config{Rand: rand.New(rand.NewPCG(1, 1))})
			b.SetServices(now, services)
			return b
		},
		"service": func(b *Budget, now time.Time) *Budget {
			b.SetServices(now, nil)
			b.SetServices(now, services)
			return b
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := again(New(Config{Rand: rand.New(rand.NewPCG(1, 1))}), start.Add(-time.Minute))
			allowed := 0
			for second := range int(defaultWindow / time.Second) {
				now := start.Add(time.Duration(second) * time.Second)
				allowed += countAllowed(b, now, "s", 100)
				b = again(b, now)
			}
			if allowed > defaultReserve {
				t.Fatalf("%d retries in %v without a first attempt, %v allowed", allowed, defaultWindow, defaultReserve)
			}
			if allowed == 0 {
				t.Fatal("no retry was allowed")
			}
		})
	}
}

// TestBudget_SharesBelowOneRetryAreSpent: many daemons share a reserve that is smaller than
// their number. Together they spend it and not much more.
func TestBudget_SharesBelowOneRetryAreSpent(t *testing.T) {
	const daemons, reserve = 410, 32
	allowed := 0
	for n := range daemons {
		b := New(Config{Rand: rand.New(rand.NewPCG(uint64(n), 1)), Ratio: 0.01, Reserve: float64(reserve) / daemons})
		b.Open(start.Add(-time.Minute), "s")
		allowed += countAllowed(b, start, "s", 10)
	}
	if allowed < reserve/4 || allowed > reserve*3/2 {
		t.Fatalf("%d daemons allowed %d retries, their reserve is %v together", daemons, allowed, reserve)
	}
}
