package exchange

import (
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

const (
	// maxCompletions bounds the contents whose last completion a daemon remembers.
	maxCompletions = 8192
	// completionRetention is how long a completion is remembered. Deaths that are told later
	// than that have come with a daemon that was cut off for long.
	completionRetention = time.Minute
)

// completionLog holds when contents last completed at this daemon, so that a death that is
// told later than the completion, but was earlier, does not count.
type completionLog struct {
	at map[entity.Digest]time.Time
}

func newCompletionLog() completionLog { return completionLog{at: map[entity.Digest]time.Time{}} }

// record records that some content has completed.
func (l *completionLog) record(now time.Time, d entity.Digest) {
	if _, known := l.at[d]; !known && len(l.at) >= maxCompletions {
		l.evict()
	}
	l.at[d] = now
}

// evict drops the older half.
func (l *completionLog) evict() {
	times := make([]time.Time, 0, len(l.at))
	for _, at := range l.at {
		times = append(times, at)
	}
	slices.SortFunc(times, time.Time.Compare)
	l.drop(times[len(times)/2])
}

// forget drops what is older than completionRetention.
func (l *completionLog) forget(now time.Time) { l.drop(now.Add(-completionRetention)) }

// drop drops the completions up to a time.
func (l *completionLog) drop(until time.Time) {
	for d, at := range l.at {
		if !at.After(until) {
			delete(l.at, d)
		}
	}
}

// after reports whether some content has completed since the given time.
func (l *completionLog) after(d entity.Digest, since time.Time) bool { return l.at[d].After(since) }
