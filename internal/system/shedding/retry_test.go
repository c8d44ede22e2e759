package shedding

import (
	"testing"
	"time"
)

// TestRetryAfter_SpreadWithinTheDeadline guards against callers that were refused together and
// come back together, and against times to come back that leave too little of the deadline.
func TestRetryAfter_SpreadWithinTheDeadline(t *testing.T) {
	s := New()
	for range 40 {
		s.Send(zero, "s", 1)
		s.Decide(zero, Request{Service: "s", Rank: 1}, Room{Servers: 2, Slots: 24, Taken: 24, Share: 1})
	}
	const left = 3 * time.Second
	retry := func(rank int, draw float64, expected time.Duration) time.Duration {
		return s.RetryAfter(zero, Request{Service: "s", Rank: rank, Draw: draw, Expected: expected}, left)
	}
	early, late := retry(1, 0, time.Millisecond), retry(1, 1, time.Millisecond)
	if early <= 0 || late < 2*early || late > left/3 {
		t.Errorf("from %v to %v with %v left", early, late, left)
	}
	if urgent := retry(0, 1, time.Millisecond); urgent > late {
		t.Errorf("more urgent requests come back after %v, others after %v", urgent, late)
	}
	if wait := retry(1, 0.5, left); wait != 0 {
		t.Errorf("told %v although there is no time left", wait)
	}
}
