package gateway

import (
	"testing"
	"time"
)

// Only slow bodies may be ended for others, the one that was begun first before the others, and none may wait for one
// that waits for it.
func TestUploads_OnlySlowBodiesAreEnded(t *testing.T) {
	s := newUploads(newMeter())
	stopped := map[string]bool{}
	begin := func(name string, age time.Duration, received int64) *upload {
		u := s.begin(func() { stopped[name] = true })
		u.begun = u.begun.Add(-age)
		u.received.Store(received)
		return u
	}
	asking := begin("asking", 0, 0)
	begin("young", slowBodyTime/2, 0)
	begin("steady", 10*slowBodyTime, 10*slowBodyRate+slowBodyRate)
	if s.stopSlow(asking) != nil {
		t.Error("a body that is not slow was ended")
	}
	begin("slow", 2*slowBodyTime, 1)
	slowest := begin("slowest", 3*slowBodyTime, 1)
	if got := s.stopSlow(asking); got != slowest || !stopped["slowest"] || len(stopped) != 1 {
		t.Errorf("ended %v, want the slow body that was begun first", stopped)
	}
	if s.endSlow(slowest) {
		t.Error("a body that has been ended waits for another one")
	}
	if !s.finish(slowest) || s.finish(asking) {
		t.Error("finish does not tell which body was ended")
	}
}
