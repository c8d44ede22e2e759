// Package quota keeps organisations within quotas that hold over all daemons
// together. Every daemon keeps a copy of each organisation's token bucket, takes
// its own use from it at once and the others' use as they report it. What a
// daemon that is not heard could be using meanwhile is set aside.
package quota

import (
	"math"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

const (
	// startShare is the part of one second's rate with which a bucket starts whose
	// level is not known.
	startShare = 1.0
	// maxWait bounds the time to come back.
	maxWait = 5 * time.Second
)

// Limit is an organisation's quota.
type Limit struct {
	Rate  float64 // units a second; 0: no limit
	Burst float64 // units
	// Tolerance is how many units beyond the burst do no harm, such as the slack
	// that those who judge the quota allow.
	Tolerance float64
}

// Use is what one daemon says of an organisation's quota.
type Use struct {
	Organisation entity.OrganisationID `cbor:"1,keyasint" json:"organisation"`
	Total        float64               `cbor:"2,keyasint" json:"used"`  // by the daemon since its start
	Level        float64               `cbor:"3,keyasint" json:"level"` // of its copy of the bucket
}

// Ledger holds this daemon's copies of all buckets. It is not safe for
// concurrent use.
type Ledger struct {
	buckets *entity.Table[entity.OrganisationID, bucket]
	peers   *entity.Table[peerKey, float64] // totals last heard
	heard   int                             // daemons that are heard, this one included
	known   int
	saved   map[entity.OrganisationID]float64 // levels before this daemon's start
}

type peerKey struct {
	peer         entity.InstanceID
	organisation entity.OrganisationID
}

type bucket struct {
	limit  Limit
	level  float64 // that this daemon may take
	aside  float64 // that daemons which are not heard may be taking
	at     time.Time
	used   float64 // by this daemon since its start
	told   float64 // of it, in the last message
	again  int     // messages in which to repeat it
	seeded bool    // the level has been taken from a peer, or has had time to settle
	share  share
}

// New returns a ledger without organisations.
func New() *Ledger {
	return &Ledger{
		buckets: entity.NewTable[entity.OrganisationID, bucket](),
		peers:   entity.NewTable[peerKey, float64](),
		heard:   1, known: 1,
	}
}

// SetLimit sets an organisation's quota.
func (l *Ledger) SetLimit(now time.Time, id entity.OrganisationID, limit Limit) {
	b := l.buckets.Get(id)
	if b == nil {
		b = &bucket{limit: limit, level: min(limit.Rate*startShare, limit.Burst), at: now}
		l.buckets.Put(id, b)
		l.fromSaved(id, b)
		return
	}
	l.refill(now, b)
	b.limit = limit
	b.level = min(b.level, l.capacity(b)*l.part())
	b.aside = min(b.aside, l.capacity(b)*(1-l.part()))
}

// Levels returns what all buckets hold, to be kept for daemons that start anew.
func (l *Ledger) Levels(now time.Time) map[entity.OrganisationID]float64 {
	out := make(map[entity.OrganisationID]float64)
	l.buckets.All(func(id entity.OrganisationID, b *bucket) bool {
		if b.limit.Rate > 0 {
			l.refill(now, b)
			out[id] = math.Round(b.level + b.aside)
		}
		return true
	})
	return out
}

// Restore takes the levels that another daemon had some time ago. What has come
// in since is taken to have been spent. A peer's word goes before them.
func (l *Ledger) Restore(levels map[entity.OrganisationID]float64) {
	l.saved = levels
	l.buckets.All(func(id entity.OrganisationID, b *bucket) bool {
		if !b.seeded {
			l.fromSaved(id, b)
		}
		return true
	})
}

// fromSaved lets a bucket begin at its level before this daemon's start.
func (l *Ledger) fromSaved(id entity.OrganisationID, b *bucket) {
	if level, ok := l.saved[id]; ok {
		b.level, b.aside = min(level, l.capacity(b)), 0
		l.setAside(b)
	}
}

// SetDaemons says how many daemons there are and how many of them are heard.
func (l *Ledger) SetDaemons(now time.Time, heard, known int) {
	if heard == l.heard && known == l.known {
		return
	}
	l.buckets.All(func(_ entity.OrganisationID, b *bucket) bool {
		l.refill(now, b)
		return true
	})
	kept := l.keptAside(heard, known)
	l.heard, l.known = max(heard, 1), max(known, heard, 1)
	l.buckets.All(func(_ entity.OrganisationID, b *bucket) bool {
		b.aside *= kept
		l.setAside(b)
		return true
	})
}

// keptAside returns which part of what was set aside stays when the numbers of
// daemons change. What was set aside for a daemon that is forgotten may have been
// spent; it is not given to the others.
func (l *Ledger) keptAside(heard, known int) float64 {
	silent := l.known - l.heard
	if silent == 0 || known >= l.known {
		return 1
	}
	forgotten := min(l.known-known, silent)
	return float64(silent-forgotten) / float64(silent)
}

// part returns the part of the daemons that is heard.
func (l *Ledger) part() float64 { return float64(l.heard) / float64(l.known) }

// setAside divides what a bucket holds between the daemons that are heard and
// those that are not, which may all be taking from it at once.
func (l *Ledger) setAside(b *bucket) {
	whole := b.level + b.aside
	b.aside = max(whole, 0) * (1 - l.part())
	b.level = whole - b.aside
}

// fewDaemons is the number of daemons up to which the whole tolerance is lent to
// callers. In larger fleets news are older, and what is spent before the others
// know of it needs its part.
const fewDaemons = 16

// capacity returns the most units that a bucket holds.
func (l *Ledger) capacity(b *bucket) float64 {
	return b.limit.Burst + b.limit.Tolerance*min(1, fewDaemons/float64(l.known))
}

// refill adds what has come in since the last call.
func (l *Ledger) refill(now time.Time, b *bucket) {
	more := b.limit.Rate * now.Sub(b.at).Seconds()
	b.at = now
	b.level += more * l.part()
	b.aside += more * (1 - l.part())
	if over := b.level + b.aside - l.capacity(b); over > 0 {
		b.level -= over * l.part()
		b.aside -= over * (1 - l.part())
	}
}

// Take takes the units of one request, or returns after what time they will be
// there.
func (l *Ledger) Take(now time.Time, id entity.OrganisationID, units float64) (wait time.Duration, ok bool) {
	b := l.buckets.Get(id)
	if b == nil || b.limit.Rate == 0 {
		return 0, true
	}
	l.refill(now, b)
	need := min(units, l.capacity(b)*l.part())
	wait = time.Duration((need - b.level) / b.limit.Rate * float64(time.Second))
	if l.known > fewDaemons {
		wait = max(wait, b.share.wait(now, units, &b.limit, b.level, l.known))
	}
	if wait > 0 {
		return min(wait, maxWait), false
	}
	b.level -= units
	b.used += units
	b.share.spent(now, units, units)
	return 0, true
}

// Return gives back the units of a request that has not run.
func (l *Ledger) Return(id entity.OrganisationID, units float64) {
	if b := l.buckets.Get(id); b != nil && b.limit.Rate > 0 {
		b.level = min(b.level+units, l.capacity(b)-b.aside)
		b.used -= units
		b.share.spent(b.at, -units, -units)
	}
}

// tellAgain is in how many messages a changed use is told, since some get lost.
const tellAgain = 3

// Uses returns what to tell the other daemons: what has changed lately, or all.
func (l *Ledger) Uses(now time.Time, all bool) []Use {
	var out []Use
	l.buckets.All(func(id entity.OrganisationID, b *bucket) bool {
		if b.limit.Rate > 0 {
			l.refill(now, b)
			if b.used != b.told {
				b.told, b.again = b.used, tellAgain
			}
			if all || b.again > 0 {
				out = append(out, Use{Organisation: id, Total: b.used, Level: b.level + b.aside})
			}
			b.again = max(b.again-1, 0)
		}
		return true
	})
	return out
}

// Heard takes another daemon's use. The peer's name must change when it starts
// anew.
func (l *Ledger) Heard(now time.Time, peer entity.InstanceID, uses []Use) {
	for _, u := range uses {
		b := l.buckets.Get(u.Organisation)
		if b == nil {
			continue
		}
		l.refill(now, b)
		key := peerKey{peer, u.Organisation}
		before := l.peers.Get(key)
		if before != nil {
			b.level -= u.Total - *before
			b.share.spent(now, 0, u.Total-*before)
		}
		if !b.seeded {
			b.level, b.aside = min(u.Level, l.capacity(b)), 0
			l.setAside(b)
			b.seeded = true
		}
		total := u.Total
		l.peers.Put(key, &total)
	}
}

// Forget drops what was heard of a daemon that is gone.
func (l *Ledger) Forget(peer entity.InstanceID) {
	for _, key := range l.peers.Keys() {
		if key.peer == peer {
			l.peers.Delete(key)
		}
	}
}
