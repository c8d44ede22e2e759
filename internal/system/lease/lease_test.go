package lease

import (
	"testing"
	"time"
)

func at(d time.Duration) time.Time { return time.Unix(100, 0).Add(d) }

func TestLease_SilentHolderIsReplaced(t *testing.T) {
	l := New("b", at(0))
	l.Heard(at(0), 1)
	if l.Contend(at(silence-time.Millisecond), 0) {
		t.Fatal("contends while the holder is heard")
	}
	if !l.Contend(at(silence), 0) {
		t.Fatal("does not contend after the holder's silence")
	}
}

func TestLease_ReleasedIsFreeForAllInTurn(t *testing.T) {
	l := New("c", at(0))
	l.Heard(at(0), 1)
	for d := time.Duration(0); d < stagger; d += 50 * time.Millisecond {
		l.Released(at(d), 1)
		if l.Contend(at(d), 1) {
			t.Fatal("the second in rank contends with the first")
		}
	}
	if !l.Contend(at(stagger), 1) {
		t.Fatal("the second in rank waits as long as the holder says that it leaves")
	}
}

func TestLease_ContendersAreStaggered(t *testing.T) {
	l := New("c", at(0))
	if l.Contend(at(silence), 1) {
		t.Fatal("the second in rank contends with the first")
	}
	if !l.Contend(at(silence+stagger), 1) {
		t.Fatal("the second in rank never contends")
	}
}

func TestLease_HigherEpochEndsIt(t *testing.T) {
	l := New("a", at(0))
	l.Taken(4)
	if l.Heard(at(time.Second), 3) {
		t.Fatal("lost to a lower epoch")
	}
	if !l.Heard(at(time.Second), 5) {
		t.Fatal("not lost to a higher epoch")
	}
	if _, held := l.Epoch(); held {
		t.Fatal("held after the loss")
	}
}

// TestLease_LoserRests: a holder that was paused does not take the lease back
// soon, so that two holders never act by turns.
func TestLease_LoserRests(t *testing.T) {
	l := New("a", at(0))
	l.Taken(1)
	l.Lost(at(time.Second))
	for d := time.Second; d < time.Second+rest; d += 100 * time.Millisecond {
		if l.Contend(at(d), 0) {
			t.Fatalf("contends %v after its loss", d-time.Second)
		}
	}
	if !l.Contend(at(time.Second+rest), 0) {
		t.Fatal("never contends again")
	}
}
