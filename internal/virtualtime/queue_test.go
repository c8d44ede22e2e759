package virtualtime

import (
	"slices"
	"testing"
	"time"
)

func TestQueue_RunsCallsInOrder(t *testing.T) {
	start := time.Unix(1000, 0)
	now := start
	var q Queue
	var got []int
	add := func(n int, after time.Duration) {
		q.Schedule(now.Add(after), func() { got = append(got, n) })
	}
	add(3, 2*time.Second)
	add(1, time.Second)
	q.Schedule(start.Add(time.Second), func() { add(2, 0) })
	add(4, 2*time.Second)
	add(5, 2*time.Second+1)
	q.RunUntil(start.Add(2*time.Second), &now)
	if !slices.Equal(got, []int{1, 2, 3, 4}) || !now.Equal(start.Add(2*time.Second)) {
		t.Fatalf("calls %v by %v, want 1 to 4 by 2 s", got, now.Sub(start))
	}
}
