package pace

import (
	"testing"
	"time"
)

var start = time.Unix(0, 0)

// TestLimit_PartsAreTheLimit guards against daemons that together send more than the limit, or
// none of which may send.
func TestLimit_PartsAreTheLimit(t *testing.T) {
	for _, daemons := range []int{1, 9, 89, 195} {
		for value := 1; value < 400; value += 7 {
			l := Adopt(start, 1000, float64(value))
			sum := 0
			for rank := range daemons {
				sum += l.Part(rank, daemons)
			}
			if sum != value {
				t.Errorf("%d daemons have %d of a limit of %d", daemons, sum, value)
			}
		}
	}
}

// TestLimit_DoublesInEachRound guards against a server that is left idle too long.
func TestLimit_DoublesInEachRound(t *testing.T) {
	l := New(start, 64)
	rounds := 0
	for ; !l.Ended(start); rounds++ {
		for range int(l.Value()) {
			l.Answered(start, 1.2)
		}
	}
	if rounds != 2 {
		t.Errorf("a server with 64 slots had its limit for %d rounds of answers", rounds)
	}
}

// TestLimit_ClosesWhenAnswersAreLate guards against a server that is flooded, and against cuts
// for answers that were under way at the last one.
func TestLimit_ClosesWhenAnswersAreLate(t *testing.T) {
	l := Adopt(start, 64, 32)
	l.Answered(start, 1)
	if !l.Answered(start.Add(time.Second), 5) || l.Answered(start.Add(1100*time.Millisecond), 9) || l.Value() != 16.5 {
		t.Errorf("limit %v", l.Value())
	}
	if !l.Rejected(start.Add(2*time.Second)) || l.Value() != 8.25 || l.Unsent() != 8.25-32 {
		t.Errorf("limit %v, unsent %v", l.Value(), l.Unsent())
	}
	if !l.Ended(start.Add(time.Minute)) {
		t.Error("the limit lasts for ever")
	}
}

// TestLimit_DaemonsAgree guards against daemons that count only their own answers.
func TestLimit_DaemonsAgree(t *testing.T) {
	a, b := Adopt(start, 64, 8), Adopt(start, 64, 8)
	for range 4 {
		a.Answered(start, 1)
		b.Answered(start, 1)
	}
	fromA, fromB := a.Unsent(), b.Unsent()
	a.Receive(start, b.Value(), fromB)
	b.Receive(start, a.Value(), fromA)
	if a.Value() != 16 || b.Value() != 16 {
		t.Errorf("limits %v and %v after 8 answers", a.Value(), b.Value())
	}
	a.Receive(start, 64, 1)
	if !a.Ended(start) {
		t.Error("the limit stays although the server has taken as many requests as it has slots")
	}
}
