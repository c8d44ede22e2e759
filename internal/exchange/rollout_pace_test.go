package exchange

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
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
				if n > restEvents {
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

// In a fleet of 410 daemons the roll-outs must leave room in the 11 KB/s that control may take:
// what all others send of a roll-out on four routes stays below it.
func TestRolloutNews_SizeInLargeFleet(t *testing.T) {
	const daemons, limit = 410, 11 << 10 // bytes per second
	c := newTestCore(t, "d1")
	c.cfg.Bounds.Rollout = exposure
	for i := range daemons - 1 {
		c.AddMember(zero, Member{Name: entity.InstanceID(fmt.Sprint("p", i)), Start: 1})
	}
	c.SetTrueTime(time.Hour * 500_000)
	c.SetRolloutOrder(zero, rollout.Order{Service: "engine", To: "v2", Duration: time.Minute, Version: 1 << 40})
	row := c.rollouts.rows.Get("engine")
	for _, route := range []string{"first", "second", "third", "fourth"} {
		s := rollout.Samples{Answers: 150, Failures: 9, First: rollout.Times{Count: 150, Slow: 9, Sum: -900, Squares: 3000}}
		s.Rest = s.First
		row.own.Put(route, &routeSamples{old: s, ordered: s})
	}
	reporters, total := 0, 0
	for i := range daemons {
		c.cfg.Self.Name = entity.InstanceID(fmt.Sprint("p", i))
		news := c.rolloutNews(zero)
		if len(news[0].Samples) > 0 {
			reporters++
		}
		b, err := codec.Encode(news)
		if err != nil {
			t.Fatal(err)
		}
		total += len(b)
	}
	perSecond := float64(total) / (daemons * c.cfg.Bounds.UpdateIntervalPerPeer.Seconds())
	t.Logf("%d daemons report samples, %.0f bytes/s", reporters, perSecond)
	if reporters < 90 || perSecond > limit {
		t.Errorf("%d daemons report samples in %.0f bytes/s, %d allowed", reporters, perSecond, limit)
	}
}
