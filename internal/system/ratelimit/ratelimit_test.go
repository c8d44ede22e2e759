package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

var zero = time.Unix(1000, 0)

func names(n int) []entity.InstanceID {
	out := make([]entity.InstanceID, n)
	for i := range out {
		out[i] = entity.InstanceID(fmt.Sprint("d", i))
	}
	return out
}

// TestPart_SumIsTheLimit: the parts of all daemons add up to the limit, and there are no
// more of them than needed.
func TestPart_SumIsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := names(rapid.IntRange(1, 60).Draw(t, "daemons"))
		limit := rapid.Float64Range(0, 200).Draw(t, "limit")
		server := entity.BackendServerID(rapid.String().Draw(t, "server"))
		sum, parts := 0.0, 0
		for _, d := range daemons {
			if part := Part(d, daemons, server, limit); part > 0 {
				sum, parts = sum+part, parts+1
			}
		}
		if want := max(limit, minRate); sum < 0.999*want || sum > 1.001*want {
			t.Fatalf("%d parts of a limit of %v add up to %v", parts, limit, sum)
		}
		if float64(parts-1)*maxPart >= max(limit, minRate) {
			t.Fatalf("%d parts of a limit of %v", parts, limit)
		}
	})
}

// TestPart_DisagreementHardlyExceedsTheLimit: one daemon is not known to some of the
// others, so that they give its part to another one.
func TestPart_DisagreementHardlyExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 40).Draw(t, "daemons")
		daemons := names(n)
		limit := rapid.Float64Range(minRate, 100).Draw(t, "limit")
		missing := rapid.IntRange(0, n-1).Draw(t, "missing")
		without := append(append([]entity.InstanceID(nil), daemons[:missing]...), daemons[missing+1:]...)
		sum, parts := 0.0, 0
		for i, d := range daemons {
			known := daemons
			if i != missing && rapid.Bool().Draw(t, "lacks") {
				known = without
			}
			if part := Part(d, known, "s", limit); part > 0 {
				sum, parts = sum+part, parts+1
			}
		}
		// In four seconds a server may get one and a half times what its limit allows and
		// five requests. Each part may begin with a full bucket.
		if requests := 4*sum + FullBucket*float64(parts); requests > 6*limit+5 {
			t.Fatalf("%d parts of a limit of %v allow %v requests in 4 s, at most %v may be sent", parts, limit, requests, 6*limit+5)
		}
	})
}

func TestPart_DaemonThatMayNotSendHasNone(t *testing.T) {
	if part := Part("d9", names(3), "s", 10); part != 0 {
		t.Fatalf("a daemon that is not in the list has a part of %v", part)
	}
}

// TestBucket_NeverExceedsItsRate takes whenever it may, with changes of the rate.
func TestBucket_NeverExceedsItsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Bucket
		rate := 0.0
		allowed, taken := 0.0, 0
		now := zero
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			step := time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			allowed += rate * step.Seconds()
			now = now.Add(step)
			if rapid.IntRange(0, 9).Draw(t, "change") == 0 {
				rate = rapid.Float64Range(0, 5).Draw(t, "rate")
				b.SetRate(now, rate)
			}
			if wait, ok := b.Wait(now, 1); ok && wait == 0 {
				b.Take(now)
				taken++
			}
		}
		if float64(taken) > allowed+1 {
			t.Fatalf("%d requests, the rate allowed %v", taken, allowed)
		}
	})
}

// TestBucket_WaitIsTrue: a request may be sent once the time has passed, and not before.
func TestBucket_WaitIsTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Bucket
		b.SetRate(zero, rapid.Float64Range(0.05, 20).Draw(t, "rate"))
		now := zero.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
		for range 5 {
			wait, ok := b.Wait(now, 1)
			if !ok {
				t.Fatal("a bucket with a rate has no part")
			}
			if wait > time.Millisecond {
				if early, _ := b.Wait(now.Add(wait-time.Millisecond), 1); early == 0 {
					t.Fatalf("a request may be sent 1 ms before the end of a wait of %v", wait)
				}
			}
			now = now.Add(wait)
			if again, _ := b.Wait(now, 1); again != 0 {
				t.Fatalf("after a wait of %v a further one of %v", wait, again)
			}
			b.Take(now)
		}
	})
}

func TestBucket_NewPartBeginsEmpty(t *testing.T) {
	var b Bucket
	b.SetRate(zero, 1)
	if wait, ok := b.Wait(zero, 1); !ok || wait != time.Second {
		t.Fatalf("a new part of 1 a second lets a request wait %v, want 1 s", wait)
	}
	later := zero.Add(time.Minute)
	b.SetRate(later, 0)
	if _, ok := b.Wait(later, 1); ok {
		t.Fatal("a bucket without a part lets requests wait")
	}
	b.SetRate(later.Add(time.Minute), 2)
	if wait, _ := b.Wait(later.Add(time.Minute), 1); wait != 500*time.Millisecond {
		t.Fatalf("a part that was given again lets a request wait %v, want 0.5 s", wait)
	}
}

// TestSlots_SumIsTheNumberOfSlots: the slots of all daemons add up to those of the server, as evenly
// as can be.
func TestSlots_SumIsTheNumberOfSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := names(rapid.IntRange(1, 60).Draw(t, "daemons"))
		slots := rapid.IntRange(1, 200).Draw(t, "slots")
		server := entity.BackendServerID(rapid.String().Draw(t, "server"))
		sum := 0
		for _, d := range daemons {
			own := Slots(d, daemons, server, slots)
			if own != slots/len(daemons) && own != slots/len(daemons)+1 {
				t.Fatalf("%d of %d slots at one of %d daemons", own, slots, len(daemons))
			}
			sum += own
		}
		if sum != slots {
			t.Fatalf("%d slots at %d daemons add up to %d", slots, len(daemons), sum)
		}
		if Slots("other", daemons, server, slots) != 0 {
			t.Fatal("a daemon that may not send has slots")
		}
	})
}

// TestSlots_DisagreementAddsOneDaemonsSlots: one daemon is not known to some of the others, so that
// they share out its slots too.
func TestSlots_DisagreementAddsOneDaemonsSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := names(rapid.IntRange(2, 60).Draw(t, "daemons"))
		slots := rapid.IntRange(1, 200).Draw(t, "slots")
		server := entity.BackendServerID(rapid.String().Draw(t, "server"))
		unknown := rapid.IntRange(0, len(daemons)-1).Draw(t, "unknown")
		fewer := append(append([]entity.InstanceID{}, daemons[:unknown]...), daemons[unknown+1:]...)
		sum := 0
		for _, d := range daemons {
			own := Slots(d, daemons, server, slots)
			if d != daemons[unknown] {
				own = max(own, Slots(d, fewer, server, slots))
			}
			sum += own
		}
		if allowed := slots + slots/len(daemons) + 1; sum > allowed {
			t.Fatalf("%d slots at %d daemons add up to %d, at most %d expected", slots, len(daemons), sum, allowed)
		}
	})
}
