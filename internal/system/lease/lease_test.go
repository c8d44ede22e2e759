package lease

import (
	"testing"
	"time"
)

func at(d time.Duration) time.Time { return time.Unix(100, 0).Add(d) }

func TestLease_SilentHolderIsReplaced(t *testing.T) {
	l := New("b", at(0))
	l.ObserveEpoch(at(0), 1)
	if l.TryContend(at(holderTimeout-time.Millisecond), 0) {
		t.Fatal("the daemon contends before the holder has timed out")
	}
	if !l.TryContend(at(holderTimeout), 0) {
		t.Fatal("the daemon does not contend after the holder has timed out")
	}
}

func TestLease_ReleasedIsFreeForAllInTurn(t *testing.T) {
	l := New("c", at(0))
	l.ObserveEpoch(at(0), 1)
	for d := time.Duration(0); d < delayPerRank; d += 50 * time.Millisecond {
		l.ObserveRelease(at(d), 1)
		if l.TryContend(at(d), 1) {
			t.Fatal("the daemon second in rank contends at the same time as the first")
		}
	}
	if !l.TryContend(at(delayPerRank), 1) {
		t.Fatal("the daemon second in rank does not contend while the holder repeats its release")
	}
}

func TestLease_ContendersAreStaggered(t *testing.T) {
	l := New("c", at(0))
	if l.TryContend(at(holderTimeout), 1) {
		t.Fatal("the daemon second in rank contends at the same time as the first")
	}
	if !l.TryContend(at(holderTimeout+delayPerRank), 1) {
		t.Fatal("the daemon second in rank does not contend after its delay")
	}
}

func TestLease_HigherEpochEndsIt(t *testing.T) {
	l := New("a", at(0))
	l.MarkAcquired(4)
	if l.ObserveEpoch(at(time.Second), 3) {
		t.Fatal("the lease was lost to a lower epoch")
	}
	if !l.ObserveEpoch(at(time.Second), 5) {
		t.Fatal("the lease was not lost to a higher epoch")
	}
	if _, held := l.Epoch(); held {
		t.Fatal("the lease is held after its loss")
	}
}

// A holder that was paused must not take the lease back soon, so that two
// daemons do not alternate as holders.
func TestLease_LoserWaitsForCooldown(t *testing.T) {
	l := New("a", at(0))
	l.MarkAcquired(1)
	l.MarkLost(at(time.Second))
	for d := time.Second; d < time.Second+cooldown; d += 100 * time.Millisecond {
		if l.TryContend(at(d), 0) {
			t.Fatalf("the previous holder contends %v after its loss", d-time.Second)
		}
	}
	if !l.TryContend(at(time.Second+cooldown), 0) {
		t.Fatal("the previous holder does not contend after the cooldown")
	}
}
