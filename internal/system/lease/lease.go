// Package lease decides which daemon holds the lease for the leader tasks,
// which only one daemon of the fleet carries out. The lease is a row of the
// table service with an epoch that rises with each change of the holder and
// serves as fencing token. The holder proves that it is alive by its messages
// to its peers; it does not renew the row. So a holder that is cut off from its
// peers, paused or slow loses the lease to another daemon, and its late calls
// are refused because of their lower epoch. No clock decides whether a call is
// valid, and the daemons' clocks need not agree.
package lease

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

const (
	// holderTimeout is how long no message of the holder must have been
	// received before another daemon contends.
	holderTimeout = 1500 * time.Millisecond
	// delayPerRank is how much longer a contender waits for each daemon ranked
	// before it, so that contenders do not try at the same time.
	delayPerRank = 400 * time.Millisecond
	// cooldown is how long a daemon that has lost the lease does not contend,
	// so that two daemons never alternate as holders within that time.
	cooldown = 6 * time.Second
	// retryInterval is the minimum time between two attempts of one contender.
	retryInterval = 1 * time.Second
)

// Row is the content of the lease's row in the table service.
type Row struct {
	Holder entity.InstanceID `json:"holder"`
	Epoch  uint64            `json:"epoch"`
}

// Lease is one daemon's view of the lease. It is not safe for concurrent use.
type Lease struct {
	self           entity.InstanceID
	held           bool
	epoch          uint64    // highest known epoch
	holderLastSeen time.Time // last sign of a holder: its message, its takeover or this daemon's start
	lostAt         time.Time // when this daemon last lost the lease; zero: never
	lastAttempt    time.Time // when this daemon last tried to take the lease
}

// New returns the view of a daemon that has just started.
func New(self entity.InstanceID, now time.Time) *Lease {
	return &Lease{self: self, holderLastSeen: now}
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

// ObserveRelease applies the holder's announcement that it gives the lease up: other
// daemons need not wait for holderTimeout.
func (l *Lease) ObserveRelease(now time.Time, epoch uint64) {
	if epoch < l.epoch || l.held {
		return
	}
	l.epoch = epoch
	if freeSince := now.Add(-holderTimeout); l.holderLastSeen.After(freeSince) {
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
	if !l.lostAt.IsZero() && now.Sub(l.lostAt) < cooldown {
		return false
	}
	if now.Sub(l.holderLastSeen) < holderTimeout+time.Duration(rank)*delayPerRank {
		return false
	}
	l.lastAttempt = now
	return true
}

// MarkAcquired records that the lease's row names this daemon as the holder under the
// epoch.
func (l *Lease) MarkAcquired(epoch uint64) { l.held, l.epoch = true, epoch }

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
