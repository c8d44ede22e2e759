package exchange

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/system/rollout"
)

// A stream whose events come slowly after a first one in time must count as slow as soon as a few
// of them have come, long before it ends.
func TestRecordEvents_SlowPaceIsCounted(t *testing.T) {
	for _, slow := range []bool{false, true} {
		c := newTestCore(t, "d1")
		c.cfg.Bounds.Rollout = exposure
		c.SetRolloutOrder(zero, rollout.Order{Service: "engine", To: "v2", Duration: time.Minute, Version: 7})
		pause := c.placer.OutputDuration("engine", 1)
		if slow {
			pause *= 4
		}
		now := zero
		for i := range 10 {
			r := testRequest(fmt.Sprint("r", i), "/talk/x", "k3")
			r.Patience = 5 * time.Second
			ticket := mustAdmit(t, c, now, r)
			mustPlace(t, c, now, ticket)
			c.Started(now.Add(20*time.Millisecond), ticket)
			for n, more := 1, true; more; n++ {
				if n > pacedEvents {
					t.Fatalf("the pace is not counted after %d events", n)
				}
				more = c.RecordEvents(now.Add(20*time.Millisecond+time.Duration(n)*pause), ticket, 1)
			}
		}
		samples := c.Rollouts(now)[0].Routes[0].Old.Rest
		if want := map[bool]uint32{true: 10, false: 0}[slow]; samples.Count != 10 || samples.Slow != want {
			t.Errorf("slow %v: %d of %d streams count as slow, want %d of 10", slow, samples.Slow, samples.Count, want)
		}
	}
}

// Answers of rejecting servers and of callers that leave are no failures.
func TestRolloutEnded_RejectionsAndLeavingCallersAreNoFailures(t *testing.T) {
	for _, o := range []Outcome{Rejected, Abandoned, NotSent, NotListening, Misdirected} {
		c := newTestCore(t, "d1")
		c.cfg.Bounds.Rollout = exposure
		c.SetRolloutOrder(zero, rollout.Order{Service: "plain", To: "v2", Duration: time.Minute, Version: 7})
		ticket := mustAdmit(t, c, zero, testRequest("r", "/get/x", "k1"))
		mustPlace(t, c, zero, ticket)
		c.Ended(at(10*time.Millisecond), ticket, o)
		c.Tick(at(3 * time.Second))
		for _, route := range c.Rollouts(at(3 * time.Second))[0].Routes {
			if route.Old.Failures > 0 || route.Old.Answers > 0 {
				t.Errorf("%v counts: %+v", o, route.Old)
			}
		}
	}
}
