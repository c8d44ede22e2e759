// Package quota enforces organisations' quotas over all daemons together. Every
// daemon keeps a copy of each organisation's token bucket. It deducts its own use
// from the copy at once, and the use of other daemons when they report it. What
// unreachable daemons could be using meanwhile is withheld.
package quota

import (
	"fmt"
	"math"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

const (
	// unreportedSeconds is what the daemons may have spent of an exhausted quota between the
	// last checkpoint and their end, in seconds of its rate. The fuller the bucket, the less is
	// being spent.
	unreportedSeconds = 0.6
	// unknownDaemonsRetryDelay is the retry delay while the number of daemons is not known.
	unknownDaemonsRetryDelay = 100 * time.Millisecond
	// maxRetryDelay limits the retry delay that Reserve returns.
	maxRetryDelay = 5 * time.Second
)

// Limit is an organisation's quota.
type Limit struct {
	Rate  float64 // units per second; 0: no limit
	Burst float64 // units
	// Tolerance is the number of units beyond the burst that may be spent without
	// harm, such as the excess that the enforcement of the quota permits.
	Tolerance float64
}

// Use is one daemon's report on an organisation's quota.
type Use struct {
	Organisation entity.OrganisationID `cbor:"1,keyasint" json:"organisation"`
	Total        float64               `cbor:"2,keyasint" json:"used"`  // units spent by the daemon since its start
	Level        float64               `cbor:"3,keyasint" json:"level"` // units in its copy of the bucket
	// LevelUnknown says that the daemon has started lately and knows only what has
	// accrued since, so that Level is too low.
	LevelUnknown bool `cbor:"4,keyasint,omitempty" json:"level_unknown,omitempty"`
}

// Ledger holds this daemon's copies of all buckets. It is not safe for concurrent
// use.
type Ledger struct {
	buckets        *entity.Table[entity.OrganisationID, bucket]
	peerTotals     *entity.Table[peerKey, float64]   // last reported totals
	reachable      int                               // number of reachable daemons, this one included
	known          int                               // number of daemons that may be spending, this one included; 0: not known yet
	restoredLevels map[entity.OrganisationID]float64 // units in the buckets before this daemon's start
}

type peerKey struct {
	peer         entity.InstanceID
	organisation entity.OrganisationID
}

type bucket struct {
	limit        Limit
	level        float64   // units that this daemon may spend
	withheld     float64   // units that unreachable daemons may be spending
	refilledAt   time.Time // when the bucket was last refilled
	used         float64   // units spent by this daemon since its start
	reportedUse  float64   // the value of used in the last report
	pendingSends int       // number of reports that must still include this bucket
	adopted      bool      // the level has been adopted from a peer
	levelKnown   bool      // the level accounts for what was spent before this daemon's start
	share        share
}

// New returns a ledger without organisations.
func New() *Ledger {
	return &Ledger{
		buckets:    entity.NewTable[entity.OrganisationID, bucket](),
		peerTotals: entity.NewTable[peerKey, float64](),
		reachable:  1, known: 1,
	}
}

// SetLimit sets an organisation's quota.
func (l *Ledger) SetLimit(now time.Time, id entity.OrganisationID, limit Limit) {
	b := l.buckets.Get(id)
	if b == nil {
		b = &bucket{limit: limit, refilledAt: now}
		l.buckets.Put(id, b)
		l.restoreLevel(id, b)
		return
	}
	l.refill(now, b)
	b.limit = limit
	b.level = min(b.level, l.capacity(b)*l.reachableRatio())
	b.withheld = min(b.withheld, l.capacity(b)*(1-l.reachableRatio()))
}

// Levels returns the units in all buckets, to be stored for daemons that restart.
func (l *Ledger) Levels(now time.Time) map[entity.OrganisationID]float64 {
	out := make(map[entity.OrganisationID]float64)
	l.buckets.All(func(id entity.OrganisationID, b *bucket) bool {
		if b.limit.Rate > 0 {
			l.refill(now, b)
			out[id] = math.Round(b.level + b.withheld)
		}
		return true
	})
	return out
}

// Restore sets the levels that another daemon stored some time ago. The units that
// have been added since are assumed to be spent. Levels that peers report take
// precedence.
func (l *Ledger) Restore(levels map[entity.OrganisationID]float64) {
	l.restoredLevels = levels
	l.buckets.All(func(id entity.OrganisationID, b *bucket) bool {
		if !b.adopted {
			l.restoreLevel(id, b)
		}
		return true
	})
}

// restoreLevel sets a bucket to its level before this daemon's start, if that is
// known.
func (l *Ledger) restoreLevel(id entity.OrganisationID, b *bucket) {
	if level, ok := l.restoredLevels[id]; ok {
		level = min(level, l.capacity(b))
		b.level, b.withheld = level-unreportedSeconds*b.limit.Rate*(1-max(level, 0)/l.capacity(b)), 0
		b.levelKnown = true
		l.splitWithheld(b)
	}
}

// SetDaemons sets how many daemons there are and how many of them are reachable. Zero
// daemons mean that their number is not known yet: nothing is spent before it is.
func (l *Ledger) SetDaemons(now time.Time, reachable, known int) {
	if reachable == l.reachable && known == l.known {
		return
	}
	l.buckets.All(func(_ entity.OrganisationID, b *bucket) bool {
		l.refill(now, b)
		return true
	})
	keepRatio := l.withheldKeepRatio(reachable, known)
	l.reachable, l.known = reachable, max(known, reachable)
	l.buckets.All(func(_ entity.OrganisationID, b *bucket) bool {
		b.withheld *= keepRatio
		l.splitWithheld(b)
		return true
	})
}

// withheldKeepRatio returns the ratio of the withheld units to keep when the
// numbers of daemons change. What was withheld for a daemon that is forgotten may
// have been spent, so it is dropped rather than given to the others.
func (l *Ledger) withheldKeepRatio(reachable, known int) float64 {
	unreachable := l.known - l.reachable
	if unreachable == 0 || known >= l.known {
		return 1
	}
	forgotten := min(l.known-known, unreachable)
	return float64(unreachable-forgotten) / float64(unreachable)
}

// reachableRatio returns the ratio of the daemons that are reachable.
func (l *Ledger) reachableRatio() float64 {
	if l.known == 0 {
		return 0
	}
	return float64(l.reachable) / float64(l.known)
}

// splitWithheld divides a bucket's units between the daemons that are reachable and
// those that are not. All of them may be spending at the same time.
func (l *Ledger) splitWithheld(b *bucket) {
	total := b.level + b.withheld
	b.withheld = max(total, 0) * (1 - l.reachableRatio())
	b.level = total - b.withheld
}

// fullToleranceDaemons is the number of daemons up to which callers may use the
// full tolerance. In larger fleets reports are older, and what is spent before the
// other daemons learn of it needs a part of the tolerance.
const fullToleranceDaemons = 16

// capacity returns the maximum number of units in a bucket.
func (l *Ledger) capacity(b *bucket) float64 {
	return b.limit.Burst + b.limit.Tolerance*min(1, fullToleranceDaemons/float64(max(l.known, 1)))
}

// refill adds the units that have accrued since the last call.
func (l *Ledger) refill(now time.Time, b *bucket) {
	added := b.limit.Rate * now.Sub(b.refilledAt).Seconds()
	b.refilledAt = now
	b.level += added * l.reachableRatio()
	b.withheld += added * (1 - l.reachableRatio())
	if excess := b.level + b.withheld - l.capacity(b); excess > 0 {
		b.level -= excess * l.reachableRatio()
		b.withheld -= excess * (1 - l.reachableRatio())
		b.levelKnown = true
	}
}

// Reserve deducts the units of one request, or returns the time until they are
// expected to be available.
func (l *Ledger) Reserve(now time.Time, id entity.OrganisationID, units float64) (wait time.Duration, ok bool) {
	b := l.buckets.Get(id)
	if b == nil || b.limit.Rate == 0 {
		return 0, true
	}
	if l.known == 0 {
		return unknownDaemonsRetryDelay, false
	}
	l.refill(now, b)
	need := min(units, l.capacity(b)*l.reachableRatio())
	wait = time.Duration((need - b.level) / b.limit.Rate * float64(time.Second))
	if l.known > fullToleranceDaemons {
		wait = max(wait, b.share.wait(now, units, &b.limit, b.level, l.known))
	}
	if wait > 0 {
		return min(wait, maxRetryDelay), false
	}
	b.level -= units
	b.used += units
	b.share.recordSpent(now, units, units)
	return 0, true
}

// Describe describes the state of an organisation's bucket, for logs.
func (l *Ledger) Describe(id entity.OrganisationID) string {
	b := l.buckets.Get(id)
	if b == nil {
		return "no quota"
	}
	return fmt.Sprintf("level %.0f, withheld %.0f, daemons %d of %d reachable", b.level, b.withheld, l.reachable, l.known)
}

// Release adds back the units of a request that has not run.
func (l *Ledger) Release(id entity.OrganisationID, units float64) {
	if b := l.buckets.Get(id); b != nil && b.limit.Rate > 0 {
		b.level = min(b.level+units, l.capacity(b)-b.withheld)
		b.used -= units
		b.share.recordSpent(b.refilledAt, -units, -units)
	}
}

// changedUseSends is the number of reports that include a changed use, since some
// of them get lost.
const changedUseSends = 3

// Uses returns this daemon's report for the others: the buckets whose use has
// changed lately, or all.
func (l *Ledger) Uses(now time.Time, all bool) []Use {
	var out []Use
	l.buckets.All(func(id entity.OrganisationID, b *bucket) bool {
		if b.limit.Rate > 0 {
			l.refill(now, b)
			if b.used != b.reportedUse {
				b.reportedUse, b.pendingSends = b.used, changedUseSends
			}
			if all || b.pendingSends > 0 {
				out = append(out, Use{Organisation: id, Total: b.used, Level: b.level + b.withheld, LevelUnknown: !b.levelKnown})
			}
			b.pendingSends = max(b.pendingSends-1, 0)
		}
		return true
	})
	return out
}

// ReceiveUses applies another daemon's report. The peer's name must change when its
// process restarts, as its totals then start again at 0.
func (l *Ledger) ReceiveUses(now time.Time, peer entity.InstanceID, uses []Use) {
	for _, u := range uses {
		b := l.buckets.Get(u.Organisation)
		if b == nil {
			continue
		}
		l.refill(now, b)
		key := peerKey{peer, u.Organisation}
		if spent, known := l.spentSince(key, &u); known {
			b.level -= spent
			b.share.recordSpent(now, 0, spent)
		}
		if !b.adopted && !u.LevelUnknown {
			b.level, b.withheld = min(u.Level, l.capacity(b)), 0
			l.splitWithheld(b)
			b.adopted, b.levelKnown = true, true
		}
		total := u.Total
		l.peerTotals.Put(key, &total)
	}
}

// spentSince returns what a peer has spent since its last report. The first report of a process
// that has just started tells all that it has spent; that of another one may tell of what was
// spent before this daemon's start.
func (l *Ledger) spentSince(key peerKey, u *Use) (units float64, known bool) {
	if previous := l.peerTotals.Get(key); previous != nil {
		return u.Total - *previous, true
	}
	return u.Total, u.LevelUnknown
}

// Forget drops the reports of a daemon that has gone.
func (l *Ledger) Forget(peer entity.InstanceID) {
	for _, key := range l.peerTotals.Keys() {
		if key.peer == peer {
			l.peerTotals.Delete(key)
		}
	}
}
