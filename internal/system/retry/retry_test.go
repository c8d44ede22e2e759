package retry

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

var start = time.UnixMicro(1_700_000_000_000_000)

type sends []time.Time

func (s sends) Len() int           { return len(s) }
func (s sends) Less(i, j int) bool { return s[i].Before(s[j]) }
func (s sends) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *sends) Push(x any)        { *s = append(*s, x.(time.Time)) }
func (s *sends) Pop() any {
	last := len(*s) - 1
	t := (*s)[last]
	*s = (*s)[:last]
	return t
}

// storm sends 200 requests a second; during 2 s every send fails after 10 ms.
// It returns the most sends in any 100 ms, as a multiple of the offered rate.
func storm(retry func(now time.Time) (time.Duration, bool), first func(time.Time)) float64 {
	const rate = 200
	var due sends
	for i := range 10 * rate {
		at := start.Add(time.Duration(i) * time.Second / rate)
		due = append(due, at)
	}
	firsts := len(due)
	heap.Init(&due)
	windows := make([]int, 200)
	for n := 0; len(due) > 0; n++ {
		now := heap.Pop(&due).(time.Time)
		if firsts > 0 {
			firsts--
			first(now)
		}
		since := now.Sub(start)
		if i := int(since / (100 * time.Millisecond)); i < len(windows) {
			windows[i]++
		}
		if since < 4*time.Second || since > 6*time.Second {
			continue
		}
		failed := now.Add(10 * time.Millisecond)
		if delay, ok := retry(failed); ok {
			heap.Push(&due, failed.Add(delay))
		}
	}
	most := 0
	for _, n := range windows {
		most = max(most, n)
	}
	return float64(most) / (rate / 10)
}

func TestBudget_BoundsARetryStorm(t *testing.T) {
	b := New(Config{Rand: rand.New(rand.NewPCG(1, 1))})
	got := storm(
		func(now time.Time) (time.Duration, bool) { return b.Allow(now, "s") },
		func(now time.Time) { b.First(now, "s") },
	)
	without := storm(func(time.Time) (time.Duration, bool) { return 0, true }, func(time.Time) {})
	t.Logf("most sends in 100 ms, as a multiple of the offered rate: %.2f with the budget, %.1f without", got, without)
	if got > 1+defaultRatio+defaultReserve/20 {
		t.Errorf("%.2f times the offered rate", got)
	}
}

func TestBudget_ServicesDoNotShare(t *testing.T) {
	b := New(Config{Rand: rand.New(rand.NewPCG(1, 1))})
	b.SetServices([]entity.Service{{Name: "a", Retry: entity.RetryPolicy{BudgetRatio: 0.5}}, {Name: "b"}})
	allowed := 0
	for range 100 {
		if _, ok := b.Allow(start, "a"); ok {
			allowed++
		}
	}
	if allowed != defaultReserve {
		t.Fatalf("%d retries without first attempts, want the reserve of %v", allowed, defaultReserve)
	}
	if _, ok := b.Allow(start, "b"); !ok {
		t.Fatal("another service has no budget left")
	}
	b.First(start, "a")
	b.First(start, "a")
	if _, ok := b.Allow(start, "a"); !ok {
		t.Fatal("two first attempts at a ratio of 0.5 earn no retry")
	}
}
