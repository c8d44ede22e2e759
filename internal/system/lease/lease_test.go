package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

func at(d time.Duration) time.Time { return time.Unix(100, 0).Add(d) }

var times = newTiming(DefaultDuration)

func newLease(self entity.InstanceID) *Lease { return New(self, at(0), DefaultDuration) }

func TestLease_SilentHolderIsReplaced(t *testing.T) {
	l := newLease("b")
	l.ObserveEpoch(at(0), 1)
	if l.TryContend(at(times.holderTimeout-time.Millisecond), 0) {
		t.Fatal("the daemon contends before the holder has timed out")
	}
	if !l.TryContend(at(times.holderTimeout), 0) {
		t.Fatal("the daemon does not contend after the holder has timed out")
	}
}

func TestLease_ReleasedIsFreeForAllInTurn(t *testing.T) {
	l := newLease("c")
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
	l := newLease("c")
	if l.TryContend(at(times.holderTimeout), 1) {
		t.Fatal("the daemon second in rank contends at the same time as the first")
	}
	if !l.TryContend(at(times.holderTimeout+delayPerRank), 1) {
		t.Fatal("the daemon second in rank does not contend after its delay")
	}
}

func TestLease_HigherEpochEndsIt(t *testing.T) {
	l := newLease("a")
	l.MarkAcquired(at(0), at(0), 4)
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
	l := newLease("a")
	l.MarkAcquired(at(0), at(0), 1)
	l.MarkLost(at(time.Second))
	for d := time.Second; d < time.Second+times.cooldown; d += 100 * time.Millisecond {
		if l.TryContend(at(d), 0) {
			t.Fatalf("the previous holder contends %v after its loss", d-time.Second)
		}
	}
	if !l.TryContend(at(time.Second+times.cooldown), 0) {
		t.Fatal("the previous holder does not contend after the cooldown")
	}
}

// A platform that does not check epochs must not get calls of a former holder after
// those of its successor.
func TestLease_UnconfirmedHolderMakesNoCalls(t *testing.T) {
	l := newLease("a")
	l.MarkAcquired(at(0), at(0), 1)
	if l.MayAct(at(times.startDelay-time.Millisecond), at(times.startDelay-time.Millisecond)) {
		t.Fatal("the holder acts while its predecessor may still act")
	}
	now := times.startDelay + time.Second
	if !l.MayAct(at(now), at(now-times.ackTTL/2)) {
		t.Fatal("the holder does not act although all others have acknowledged its messages")
	}
	if l.MayAct(at(now), at(now-times.ackTTL)) || l.MayAct(at(now), time.Time{}) {
		t.Fatal("the holder acts although nothing has confirmed it lately")
	}
	l.ConfirmRow(at(now))
	if !l.MayAct(at(now+times.rowTTL/2), time.Time{}) || l.MayAct(at(now+times.rowTTL), time.Time{}) {
		t.Fatal("a read of the row does not confirm the holder for its time")
	}
}

// While the table service is away, acknowledged messages suffice, and the row is tried again soon.
func TestLease_CallsGoOnWhileTheRowCannotBeRead(t *testing.T) {
	l := newLease("a")
	l.MarkAcquired(at(0), at(0), 1)
	now := times.startDelay + time.Second
	if l.MayCall(at(now), at(now)) {
		t.Fatal("the holder calls although it could read the row")
	}
	l.RowUnread(at(now))
	if !l.MayCall(at(now), at(now)) || l.MayCall(at(now), at(now-times.ackTTL)) {
		t.Fatal("acknowledged messages do not confirm the holder for their time while the row cannot be read")
	}
	if l.MayCall(at(now+times.rowTTL), at(now+times.rowTTL)) {
		t.Fatal("the row is not read again")
	}
}

func TestLease_EpochKnownToOthersEndsIt(t *testing.T) {
	l := newLease("a")
	l.MarkAcquired(at(0), at(0), 4)
	if l.ObserveHigherEpoch(at(time.Second), 4) || !l.ObserveHigherEpoch(at(time.Second), 5) {
		t.Fatal("the lease must be lost to a higher epoch that any daemon knows, and to no other")
	}
}

// TestLease_CallsOfTwoHoldersNeverCross runs three daemons that are suspended and cut off
// from each other at random moments, over a row that all of them can read and write.
// A call arrives up to callDelay after it was sent. No call may arrive after one with a
// higher epoch, and no daemon may act again within the lease's duration after another
// one has acted.
func TestLease_CallsOfTwoHoldersNeverCross(t *testing.T) {
	const step, callDelay = 50 * time.Millisecond, 100 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		w := newLeaseWorld(t, 3)
		for n := range 600 {
			now := time.Duration(n) * step
			if n%20 == 0 {
				w.drawFaults()
			}
			w.tick(now)
		}
		w.checkCalls(callDelay)
	})
}

// TestLease_DaemonThatNobodyKnowsTakesTheLease has a daemon start that is cut off from all others,
// none of which knows of it, and that reads and writes the row.
func TestLease_DaemonThatNobodyKnowsTakesTheLease(t *testing.T) {
	const step, callDelay = 50 * time.Millisecond, 100 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		w := newLeaseWorld(t, 2)
		start := rapid.IntRange(60, 200).Draw(t, "start")
		for n := range 400 {
			now := time.Duration(n) * step
			if n == start {
				w.addUnknown(now)
			}
			w.tick(now)
		}
		if w.version < 2 {
			t.Fatal("the new daemon has not taken the lease: the test sees nothing")
		}
		w.checkCalls(callDelay)
	})
}

// leaseWorld holds daemons, their row and the calls that they have made.
type leaseWorld struct {
	t         *rapid.T
	daemons   []*Lease
	suspended []bool
	cutOff    []bool
	unknown   []bool        // to all others: nobody waits for its acknowledgements
	gotAt     [][]time.Time // newest message of the first daemon that the second has got
	ackedAt   [][]time.Time // the same, as far as the first has learned from the second's messages
	holder    int           // in the row; -1: none
	version   uint64
	calls     []leaseCall
}

type leaseCall struct {
	daemon int
	epoch  uint64
	at     time.Duration
}

func newLeaseWorld(t *rapid.T, daemons int) *leaseWorld {
	w := &leaseWorld{t: t, holder: -1, suspended: make([]bool, daemons), cutOff: make([]bool, daemons)}
	w.unknown = make([]bool, daemons)
	for i := range daemons {
		w.daemons = append(w.daemons, newLease(entity.InstanceID(rune('a'+i))))
		w.gotAt = append(w.gotAt, make([]time.Time, daemons+1))
		w.ackedAt = append(w.ackedAt, make([]time.Time, daemons+1))
	}
	return w
}

// addUnknown adds a daemon that is cut off from its start.
func (w *leaseWorld) addUnknown(now time.Duration) {
	n := len(w.daemons)
	w.daemons = append(w.daemons, New(entity.InstanceID(rune('a'+n)), at(now), DefaultDuration))
	w.suspended, w.cutOff, w.unknown = append(w.suspended, false), append(w.cutOff, true), append(w.unknown, true)
	w.gotAt = append(w.gotAt, make([]time.Time, n+1))
	w.ackedAt = append(w.ackedAt, make([]time.Time, n+1))
}

func (w *leaseWorld) drawFaults() {
	for i := range w.daemons {
		fault := rapid.IntRange(0, 5).Draw(w.t, "fault")
		w.suspended[i], w.cutOff[i] = fault == 0, fault == 1
	}
}

// tick lets each daemon that is not suspended contend, exchange messages and call.
func (w *leaseWorld) tick(now time.Duration) {
	for i, l := range w.daemons {
		if w.suspended[i] {
			continue
		}
		if l.TryContend(at(now), i) {
			w.version++
			w.holder = i
			l.MarkAcquired(at(now), at(now), w.version)
		}
		w.send(i, now)
		w.call(i, now)
	}
}

// send delivers the daemon's message to all that it reaches. It acknowledges their
// messages.
func (w *leaseWorld) send(from int, now time.Duration) {
	epoch, held := w.daemons[from].Epoch()
	for to, l := range w.daemons {
		if to == from || w.cutOff[from] || w.cutOff[to] || w.suspended[to] {
			continue
		}
		w.gotAt[from][to] = at(now)
		w.ackedAt[to][from] = w.gotAt[to][from]
		l.ObserveHigherEpoch(at(now), epoch)
		if held {
			l.ObserveEpoch(at(now), epoch)
		}
	}
}

// call makes a call if the daemon may, after it has read the row if it must.
func (w *leaseWorld) call(i int, now time.Duration) {
	l := w.daemons[i]
	epoch, held := l.Epoch()
	if !held || l.Settling(at(now)) {
		return
	}
	acked := at(now)
	for j := range w.daemons {
		if j != i && !w.unknown[j] && w.ackedAt[i][j].Before(acked) {
			acked = w.ackedAt[i][j]
		}
	}
	if !l.MayCall(at(now), acked) {
		if w.version != epoch || w.holder != i {
			l.MarkLost(at(now))
			return
		}
		l.ConfirmRow(at(now))
	}
	if l.MayCall(at(now), acked) {
		w.calls = append(w.calls, leaseCall{i, epoch, now})
	}
}

func (w *leaseWorld) checkCalls(delay time.Duration) {
	lastAct := map[int]time.Duration{}
	var highest leaseCall
	for _, c := range w.calls {
		if c.epoch > highest.epoch {
			if before, acted := lastAct[c.daemon]; acted && c.daemon != highest.daemon && c.at-before < DefaultDuration {
				w.t.Fatalf("daemon %d acts at %v and again at %v, another one between", c.daemon, before, c.at)
			}
			if highest.epoch > 0 && c.at-highest.at < delay {
				w.t.Fatalf("calls of daemons %d and %d may arrive in the other order: %v, %v", highest.daemon, c.daemon, highest.at, c.at)
			}
		}
		if c.epoch < highest.epoch {
			w.t.Fatalf("daemon %d calls at %v with epoch %d after daemon %d with epoch %d", c.daemon, c.at, c.epoch, highest.daemon, highest.epoch)
		}
		highest = c
		lastAct[c.daemon] = c.at
	}
}
