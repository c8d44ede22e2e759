// Package lease decides which daemon holds the fleet's singleton duties. The
// lease is a row of the table service with an epoch that rises with each change
// of the holder and serves as fencing number. The holder proves that it lives
// by its messages to the others; it does not renew the row. So a holder that is
// cut off from the others, paused or slow loses the lease to another daemon, and
// its late calls are refused by their lower epoch. Nothing depends on clocks.
package lease

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

const (
	// silence is how long the holder must be unheard before another contends.
	silence = 1500 * time.Millisecond
	// stagger separates the attempts of several contenders.
	stagger = 400 * time.Millisecond
	// rest is how long a daemon that has lost the lease does not contend, so that
	// two daemons never alternate within a lease's life.
	rest = 6 * time.Second
	// retryPause is the time between two attempts of one contender.
	retryPause = 1 * time.Second
)

// Row is the content of the lease's row.
type Row struct {
	Holder entity.InstanceID `json:"holder"`
	Epoch  uint64            `json:"epoch"`
}

// Lease is one daemon's view of the lease. It is not safe for concurrent use.
type Lease struct {
	self  entity.InstanceID
	held  bool
	epoch uint64    // the highest known
	heard time.Time // last sign of the holder
	lost  time.Time
	tried time.Time
}

// New returns the view of a daemon that has just started.
func New(self entity.InstanceID, now time.Time) *Lease {
	return &Lease{self: self, heard: now}
}

// Heard notes a message of a daemon that says it holds the lease. It reports
// whether this daemon has lost the lease by it.
func (l *Lease) Heard(now time.Time, epoch uint64) (lost bool) {
	if epoch < l.epoch || epoch == 0 {
		return false
	}
	lost = l.held && epoch > l.epoch
	l.epoch, l.heard = epoch, now
	if lost {
		l.held, l.lost = false, now
	}
	return lost
}

// Released notes that the holder gives the lease up: others need not wait for its
// silence.
func (l *Lease) Released(now time.Time, epoch uint64) {
	if epoch < l.epoch || l.held {
		return
	}
	l.epoch = epoch
	if free := now.Add(-silence); l.heard.After(free) {
		l.heard = free
	}
}

// Contend reports whether to try to take the lease now. Rank is this daemon's
// place among the daemons that are alive.
func (l *Lease) Contend(now time.Time, rank int) bool {
	if l.held || now.Sub(l.tried) < retryPause {
		return false
	}
	if !l.lost.IsZero() && now.Sub(l.lost) < rest {
		return false
	}
	if now.Sub(l.heard) < silence+time.Duration(rank)*stagger {
		return false
	}
	l.tried = now
	return true
}

// Taken notes that the row now names this daemon with the epoch.
func (l *Lease) Taken(epoch uint64) { l.held, l.epoch = true, epoch }

// Lost notes that another daemon holds the lease.
func (l *Lease) Lost(now time.Time) {
	if l.held {
		l.lost = now
	}
	l.held, l.heard = false, now
}

// Epoch returns the epoch if this daemon holds the lease.
func (l *Lease) Epoch() (epoch uint64, held bool) { return l.epoch, l.held }
