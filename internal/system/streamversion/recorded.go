package streamversion

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/backoff"
)

// A version is recorded in a row of the table service before its servers get streams that may
// be resumed. A daemon that knows the row knows every version that can have begun such a stream.

const (
	// retention is how long after the last of its servers was seen callers may still resume
	// a version's streams. It includes the age that a daemon's list of servers may have.
	retention = maxLife + 5*time.Second
	// usableTime is how long after it last saw a server of a version a daemon takes it for recorded.
	usableTime = 20 * time.Second
	// removalDelay is the time from the mark that a version expires to its removal: longer
	// than a daemon that has not seen the mark takes it for recorded.
	removalDelay = usableTime + 10*time.Second
	// forgetAfter is how long after it last saw a server of a version a daemon forgets it, if the
	// leader has not removed it.
	forgetAfter = retention + removalDelay + time.Minute
	// wantedRetention is how long after it last saw a server of a version a daemon wants it recorded.
	wantedRetention = 10 * time.Second
	// minRecordDelay and a random part of a spread delay the recording by daemons other than
	// the leader.
	minRecordDelay = 200 * time.Millisecond
	// restoreDelay is how long after a restore of the table service the row is confirmed: the
	// daemons have sent each other by then what they have recorded before.
	restoreDelay = 5 * time.Second
	// minRetryDelay and maxRetryDelay bound the time between two calls of the table service, which
	// grows while they have no effect; up to as much again is added at random.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 1600 * time.Millisecond
	// minCheckDelay and maxCheckDelay bound the growing time between two reads by a daemon that
	// does not know all versions.
	minCheckDelay = time.Second
	maxCheckDelay = 16 * time.Second
)

// Recorded is what one daemon knows of the recorded versions. It is not safe for concurrent use.
type Recorded struct {
	rand             *rand.Rand
	readAt           time.Time // when this process first read the row; zero: it has not
	confirmed        bool      // it has read a row with all versions, or received them from a daemon that knew all
	generation       uint64    // newest one of the table service at a read
	checks           int       // reads that found a row which may lack versions
	checkAt          time.Time
	nextCall         time.Time // no call of the table service is due before
	calls            int       // since the last one that had the effect that was wanted
	writeUnconfirmed bool      // the last write may have taken effect
	versions         map[SeenVersion]*recorded
	wanted           map[SeenVersion]*wanted
	news             []KnownVersion
}

// recorded is what is known of a recorded version.
type recorded struct {
	count      uint64
	learnedAt  time.Time
	seenAt     time.Time // when a server of it was last seen or it was last recorded
	expiringAt time.Time // when the mark that it expires was first seen; zero: it has none
}

// wanted is a version that has servers and is not recorded.
type wanted struct {
	dueAt  time.Time // when a daemon other than the leader records it
	seenAt time.Time
}

// NewRecorded returns the knowledge of a process that has just started.
func NewRecorded(random *rand.Rand) *Recorded {
	return &Recorded{rand: random, versions: map[SeenVersion]*recorded{}, wanted: map[SeenVersion]*wanted{}}
}

// Complete reports whether every version is known that can have begun a stream which a caller
// may still resume. A process that has read a row which may lack versions knows those that have
// begun streams since.
func (r *Recorded) Complete(now time.Time) bool {
	return r.confirmed || !r.readAt.IsZero() && now.Sub(r.readAt) >= retention
}

// Usable reports whether the servers of a version may get streams that may be resumed, and how
// long it has been known that the version is recorded.
func (r *Recorded) Usable(now time.Time, v SeenVersion) (age time.Duration, ok bool) {
	known := r.versions[v]
	if known == nil || !known.usable(now) {
		return 0, false
	}
	return now.Sub(known.learnedAt), true
}

func (k *recorded) usable(now time.Time) bool {
	return k.expiringAt.IsZero() && now.Sub(k.seenAt) <= usableTime
}

// resumable reports whether a caller may still resume a stream of the version.
func (k *recorded) resumable(now time.Time) bool {
	return k.expiringAt.IsZero() && now.Sub(k.seenAt) <= retention
}

// removable reports whether a daemon that has not seen the mark does not use the version either.
func (k *recorded) removable(now time.Time) bool {
	return !k.expiringAt.IsZero() && now.Sub(k.expiringAt) > removalDelay
}

// OfService returns the recorded versions of a service that may have begun a stream which a
// caller may still resume.
func (r *Recorded) OfService(now time.Time, service entity.ServiceName) []string {
	var out []string
	for v, known := range r.versions {
		if v.Service == service && known.resumable(now) {
			out = append(out, v.Version)
		}
	}
	slices.Sort(out)
	return out
}

// Saw records that a version has a server. A daemon other than the leader records the version
// after a random part of the spread.
func (r *Recorded) Saw(now time.Time, v SeenVersion, spread time.Duration) {
	if known := r.versions[v]; known != nil && known.usable(now) {
		known.seenAt = now
		return
	}
	if w := r.wanted[v]; w != nil {
		w.seenAt = now
		return
	}
	r.wanted[v] = &wanted{dueAt: now.Add(minRecordDelay + r.random(spread)), seenAt: now}
}

func (r *Recorded) random(limit time.Duration) time.Duration {
	return time.Duration(r.rand.Int64N(int64(limit)))
}

// Forget drops what is no longer of use.
func (r *Recorded) Forget(now time.Time) {
	for v, w := range r.wanted {
		if now.Sub(w.seenAt) > wantedRetention {
			delete(r.wanted, v)
		}
	}
	for v, known := range r.versions {
		if now.Sub(known.seenAt) > forgetAfter {
			delete(r.versions, v)
		}
	}
}

// Known returns the recorded versions, to be sent to other daemons.
func (r *Recorded) Known(now time.Time) []KnownVersion {
	var out []KnownVersion
	for v, known := range r.versions {
		if known.resumable(now) {
			out = append(out, KnownVersion{RowVersion{SeenVersion: v, Count: known.count}, now.Sub(known.seenAt)})
		}
	}
	slices.SortFunc(out, func(a, b KnownVersion) int { return compareVersions(a.SeenVersion, b.SeenVersion) })
	return out
}

// Receive learns versions that another daemon has sent.
func (r *Recorded) Receive(now time.Time, versions []KnownVersion) {
	for _, v := range versions {
		if v.Ago <= retention {
			r.learn(now, v.RowVersion, now.Add(-v.Ago))
		}
	}
}

// ReceiveAll learns all versions that a daemon knows which knows all of them.
func (r *Recorded) ReceiveAll(now time.Time, versions []KnownVersion) {
	r.Receive(now, versions)
	r.confirmed = true
}

// learn records that a version is recorded. What is known of it stands unless it has been
// recorded again since.
func (r *Recorded) learn(now time.Time, v RowVersion, seenAt time.Time) {
	known := r.versions[v.SeenVersion]
	switch {
	case known == nil || known.count < v.Count:
		known = &recorded{count: v.Count, learnedAt: now, seenAt: seenAt}
		r.versions[v.SeenVersion] = known
	case known.count > v.Count:
		return
	}
	if v.Expiring && known.expiringAt.IsZero() {
		known.expiringAt = now
	}
	if known.usable(now) {
		delete(r.wanted, v.SeenVersion)
	}
}

// CheckSoon has the row read since this daemon has become the leader: it may hold a version
// that only the former leader knew, and that is to be removed.
func (r *Recorded) CheckSoon(now time.Time) {
	if r.checkAt.IsZero() {
		r.checkAt = now
	}
}

// Restored records that the table service was restored from a backup. The row is then confirmed,
// by the leader first.
func (r *Recorded) Restored(now time.Time, leader bool) {
	r.checkAt = now.Add(restoreDelay)
	if !leader {
		r.checkAt = r.checkAt.Add(restoreDelay + r.random(restoreDelay))
	}
}

// checkLater has a daemon that does not know all versions read the row again.
func (r *Recorded) checkLater(now time.Time) {
	r.checkAt = now.Add(backoff.Delay(minCheckDelay, maxCheckDelay, r.checks) + r.random(minCheckDelay))
	r.checks++
}
