// Package lease decides which daemon holds the lease for the leader tasks,
// which only one daemon of the fleet carries out. The lease is a row of the
// table service that names its holder. The row's version is the epoch: it rises
// with each change of the holder, is never given twice, also not after a restore
// of the table service, and serves as fencing token.
//
// The holder proves that it is alive by its messages to its peers; it does not
// renew the row. So a holder that is cut off from its peers, paused or slow loses
// the lease to another daemon. Not every platform refuses the late calls of a
// previous holder. A holder therefore makes calls only while it is confirmed: by
// its row, read a short time ago, or, while the row cannot be read, by a message that
// every daemon that might take the lease has acknowledged a short time ago. A daemon of
// which no other one knows can take the lease, too, but only by the row. A new holder waits for longer
// than its predecessor may still act. All of these times are measured by each
// daemon on its own clock, which counts the time in which it is suspended.
package lease

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

const (
	// DefaultDuration is the duration of the lease if the settings give none.
	DefaultDuration = 3 * time.Second
	// delayPerRank is how much longer a contender waits for each daemon ranked
	// before it, so that contenders do not try at the same time.
	delayPerRank = 400 * time.Millisecond
	// retryInterval is the minimum time between two attempts of one contender.
	retryInterval = 1 * time.Second
)

// timing holds the times that follow from the lease's duration, within which no
// two daemons may alternate as holders.
type timing struct {
	holderTimeout time.Duration // silence of the holder after which another daemon contends
	cooldown      time.Duration // time for which a daemon that has lost the lease does not contend
	startDelay    time.Duration // time after its takeover in which a new holder makes no call
	rowTTL        time.Duration // time for which a read of the row counts, whether it confirms the holder or fails
	ackTTL        time.Duration // time for which acknowledged messages confirm the holder
}

func newTiming(duration time.Duration) timing {
	return timing{
		holderTimeout: duration / 2,
		cooldown:      2 * duration,
		startDelay:    duration / 3,
		rowTTL:        duration / 6, // less than startDelay by the time that a call takes
		ackTTL:        duration / 3, // less than holderTimeout by the same
	}
}

// Row is the content of the lease's row in the table service.
type Row struct {
	Holder entity.InstanceID `json:"holder"`
}

// Lease is one daemon's view of the lease. It is not safe for concurrent use.
type Lease struct {
	timing         timing
	self           entity.InstanceID
	held           bool
	epoch          uint64    // highest known epoch
	holderLastSeen time.Time // last sign of a holder: its message, its takeover or this daemon's start
	lostAt         time.Time // when this daemon last lost the lease; zero: never
	lastAttempt    time.Time // when this daemon last tried to take the lease
	acquiredAt     time.Time // when this daemon last took it
	rowReadAt      time.Time // start of the last call that found this daemon in the row
	rowUnreadAt    time.Time // end of the last read of the row that failed
}

// New returns the view of a daemon that has just started. The duration of the lease
// is the time in which two daemons may not alternate as holders.
func New(self entity.InstanceID, now time.Time, duration time.Duration) *Lease {
	return &Lease{timing: newTiming(duration), self: self, holderLastSeen: now}
}

// ObserveEpoch applies a message of a daemon that announces that it holds the lease
// under the epoch. It reports whether this daemon has lost the lease by it.
func (l *Lease) ObserveEpoch(now time.Time, epoch uint64) (lostNow bool) {
	if epoch < l.epoch || epoch == 0 {
		return false
	}
	lostNow = l.held && epoch > l.epoch
	l.epoch, l.holderLastSeen = epoch, now
	if lostNow {
		l.held, l.lostAt = false, now
	}
	return lostNow
}

// ObserveHigherEpoch applies a message of a daemon that knows of an epoch, whether or
// not it holds the lease under it. It reports whether this daemon has lost the lease
// by it.
func (l *Lease) ObserveHigherEpoch(now time.Time, epoch uint64) (lostNow bool) {
	if epoch <= l.epoch {
		return false
	}
	return l.ObserveEpoch(now, epoch)
}

// ObserveRelease applies the holder's announcement that it gives the lease up: other
// daemons need not wait for holderTimeout.
func (l *Lease) ObserveRelease(now time.Time, epoch uint64) {
	if epoch < l.epoch || l.held {
		return
	}
	l.epoch = epoch
	if freeSince := now.Add(-l.timing.holderTimeout); l.holderLastSeen.After(freeSince) {
		l.holderLastSeen = freeSince
	}
}

// TryContend reports whether to try to take the lease now, and if so records the
// attempt. rank is this daemon's position among the live daemons; 0 is the
// first.
func (l *Lease) TryContend(now time.Time, rank int) bool {
	if l.held || now.Sub(l.lastAttempt) < retryInterval {
		return false
	}
	if !l.lostAt.IsZero() && now.Sub(l.lostAt) < l.timing.cooldown {
		return false
	}
	if now.Sub(l.holderLastSeen) < l.timing.holderTimeout+time.Duration(rank)*delayPerRank {
		return false
	}
	l.lastAttempt = now
	return true
}

// MarkAcquired records that the lease's row, by a read that began at readAt, names this
// daemon as the holder under the epoch.
func (l *Lease) MarkAcquired(now, readAt time.Time, epoch uint64) {
	if !l.held {
		l.acquiredAt = now
	}
	l.held, l.epoch, l.rowReadAt = true, epoch, readAt
}

// ConfirmRow records that the lease's row still names this daemon under its epoch, by
// a call that began at the given time.
func (l *Lease) ConfirmRow(at time.Time) {
	if at.After(l.rowReadAt) {
		l.rowReadAt = at
	}
}

// RowUnread records that the lease's row could not be read.
func (l *Lease) RowUnread(now time.Time) { l.rowUnreadAt = now }

// MayAct reports whether this daemon is the holder as far as it can know without a call.
// ackedAt is when it sent its newest message that every daemon that it knows, and that might
// take the lease, has acknowledged; zero if there is none.
func (l *Lease) MayAct(now, ackedAt time.Time) bool {
	if !l.held || now.Sub(l.acquiredAt) < l.timing.startDelay {
		return false
	}
	return l.rowConfirms(now) || !ackedAt.IsZero() && now.Sub(ackedAt) < l.timing.ackTTL
}

// MayCall reports whether the holder may make a call now. If it may not, it must read the
// lease's row first.
func (l *Lease) MayCall(now, ackedAt time.Time) bool {
	rowUnread := !l.rowUnreadAt.IsZero() && now.Sub(l.rowUnreadAt) < l.timing.rowTTL
	return l.MayAct(now, ackedAt) && (l.rowConfirms(now) || rowUnread)
}

// rowConfirms reports whether the row was found to name this daemon a short time ago.
func (l *Lease) rowConfirms(now time.Time) bool { return now.Sub(l.rowReadAt) < l.timing.rowTTL }

// Settling reports whether this daemon has just taken the lease and makes no call yet.
func (l *Lease) Settling(now time.Time) bool {
	return l.held && now.Sub(l.acquiredAt) < l.timing.startDelay
}

// MarkLost records that another daemon holds the lease.
func (l *Lease) MarkLost(now time.Time) {
	if l.held {
		l.lostAt = now
	}
	l.held, l.holderLastSeen = false, now
}

// Epoch returns the highest known epoch and whether this daemon holds the lease
// under it.
func (l *Lease) Epoch() (epoch uint64, held bool) { return l.epoch, l.held }
