package streamversion

import (
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/system/backoff"
)

// CallDue reports whether the row should be read now, and perhaps written.
func (r *Recorded) CallDue(now time.Time, leader bool) bool {
	if now.Before(r.nextCall) {
		return false
	}
	if r.readAt.IsZero() || !r.checkAt.IsZero() && !now.Before(r.checkAt) {
		return true
	}
	return r.anyWanted(now, leader) || leader && r.anyExpired(now)
}

// anyWanted reports whether this daemon should record a version now.
func (r *Recorded) anyWanted(now time.Time, leader bool) bool {
	for _, w := range r.wanted {
		if leader || !now.Before(w.dueAt) {
			return true
		}
	}
	return false
}

// Pending reports whether a version has servers that is not known to be recorded.
func (r *Recorded) Pending() bool { return len(r.wanted) > 0 }

// anyExpired reports whether the leader should mark or remove a version now.
func (r *Recorded) anyExpired(now time.Time) bool {
	for v, known := range r.versions {
		if r.wanted[v] == nil && (known.removable(now) || known.expiringAt.IsZero() && !known.resumable(now)) {
			return true
		}
	}
	return false
}

// Called records that a call of the table service begins, so that the next one is made later.
func (r *Recorded) Called(now time.Time) {
	r.calls++
	delay := backoff.Delay(minRetryDelay, maxRetryDelay, r.calls)
	r.nextCall = now.Add(delay + r.random(delay))
}

// Failed records that a write has failed or may not have taken effect.
func (r *Recorded) Failed() { r.writeUnconfirmed = true }

// Apply applies a read of the row and returns the row to write, and whether it must be written.
// Only the leader removes versions.
func (r *Recorded) Apply(now time.Time, read *Read, leader bool) (next Row, write bool) {
	current := read.Row.current(read.Generation)
	confirm := r.applyGeneration(now, read, current, leader)
	for _, v := range read.Row.Versions {
		if w := r.wanted[v.SeenVersion]; w != nil && r.writeUnconfirmed {
			r.news = append(r.news, KnownVersion{RowVersion: v}) // recorded by this daemon's last write
		}
		r.learn(now, v, now)
	}
	r.writeUnconfirmed = false
	next = Row{Generation: read.Row.Generation, Complete: read.Row.Complete, Versions: sortedVersions(r.merge(now, read, current, leader))}
	if confirm {
		next.Generation, next.Complete = read.Generation, true
	}
	write = !next.equal(&read.Row)
	if !write {
		r.calls = 0
	}
	return next, write
}

// applyGeneration finds out whether the row lists all versions, and reports whether this daemon
// may now confirm that it does.
func (r *Recorded) applyGeneration(now time.Time, read *Read, current, leader bool) (confirm bool) {
	newGeneration := r.readAt.IsZero() || read.Generation > r.generation
	if r.readAt.IsZero() {
		r.readAt = now
	}
	r.generation = max(r.generation, read.Generation)
	switch {
	case current:
		r.confirmed, r.checkAt = true, time.Time{}
	case read.NewDeployment && !r.confirmed:
		r.confirmed, r.checkAt = true, now // until the row says so, which another daemon may be writing
		return true
	case !r.Complete(now):
		r.checkLater(now)
	case newGeneration && r.checkAt.IsZero():
		r.Restored(now, leader)
	default:
		return !r.checkAt.After(now)
	}
	return false
}

// merge returns the versions of the next row: those of the present one but the expired ones,
// those that are wanted, and those that a restore of the table service has lost.
func (r *Recorded) merge(now time.Time, read *Read, current, leader bool) map[SeenVersion]RowVersion {
	row := read.Row.index()
	for v, known := range r.versions {
		entry, inRow := row[v]
		switch {
		case inRow && entry.Count < known.count && known.resumable(now):
			row[v] = RowVersion{SeenVersion: v, Count: known.count} // a restore has lost its last recording
		case inRow && leader && known.removable(now):
			delete(row, v)
		case inRow && leader && !known.resumable(now):
			entry.Expiring = true
			row[v] = entry
		case inRow:
		case known.usable(now), !current && known.resumable(now):
			row[v] = RowVersion{SeenVersion: v, Count: nextCount(known.count, read.Generation)}
		default:
			delete(r.versions, v) // the leader has removed it
		}
	}
	for v := range r.wanted {
		count := row[v].Count
		if known := r.versions[v]; known != nil {
			count = max(count, known.count)
		}
		row[v] = RowVersion{SeenVersion: v, Count: nextCount(count, read.Generation)}
	}
	return row
}

// generationShift is the number of bits of a count below those of the generation.
const generationShift = 24

// nextCount returns the count of a version that is recorded again. It is higher than all counts
// of earlier generations, also those that a restore of the table service has lost.
func nextCount(count, generation uint64) uint64 { return max(count+1, generation<<generationShift) }

// Written records that the row has been written.
func (r *Recorded) Written(now time.Time, row *Row) {
	r.calls = 0
	if row.current(r.generation) {
		r.checkAt = time.Time{}
	}
	index := row.index()
	for v, known := range r.versions {
		if _, kept := index[v]; !kept && known.removable(now) {
			delete(r.versions, v)
		}
	}
	for _, v := range row.Versions {
		if known := r.versions[v.SeenVersion]; known == nil || known.count < v.Count {
			r.news = append(r.news, KnownVersion{RowVersion: v})
		}
		r.learn(now, v, now)
	}
}

// TakeNews returns the versions that this daemon has recorded since the last call.
func (r *Recorded) TakeNews() []KnownVersion {
	out := r.news
	r.news = nil
	return out
}

// recentNews is how long ago a version was recorded that daemons may not know which have just
// met the others.
const recentNews = 10 * time.Second

// Recent returns the versions that have been recorded lately.
func (r *Recorded) Recent(now time.Time) []KnownVersion {
	return slices.DeleteFunc(r.Known(now), func(v KnownVersion) bool {
		return now.Sub(r.versions[v.SeenVersion].learnedAt) > recentNews
	})
}
