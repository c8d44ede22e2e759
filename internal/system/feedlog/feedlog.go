// Package feedlog keeps the newest changes of a list of the table service, so that a daemon
// that reads them there can pass them on to daemons that do not. It performs no input or
// output and is not safe for concurrent use.
package feedlog

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

// maxChanges bounds the changes that a log keeps. The oldest are dropped first.
const maxChanges = 1024

// Answer says what a log knows of the changes after a version.
type Answer uint8

const (
	// Stale: the list was not read lately, so that there may be changes that the log lacks.
	Stale Answer = iota + 1
	// Dropped: the log no longer has all changes after the version.
	Dropped
	// Unchanged: there was no change after the version when the list was last read.
	Unchanged
	// Changed: there are changes after the version.
	Changed
)

// Log holds the changes of one list after some version.
type Log[T any] struct {
	floor    uint64    // the log has all changes after this version
	position uint64    // version up to which the list was read
	readAt   time.Time // a time at or after which the list at position was the newest one
	changes  []provider.Change[T]
}

// Reset records that the whole list was read at a position by a call that began at the given
// time.
func (l *Log[T]) Reset(start time.Time, position uint64) {
	*l = Log[T]{floor: position, position: position, readAt: start}
}

// Add records the changes from the present position up to the given one, in order of their
// versions, as read by a call that began at the given time.
func (l *Log[T]) Add(start time.Time, position uint64, changes []provider.Change[T]) {
	for _, change := range changes {
		if change.Version > l.position {
			l.changes = append(l.changes, change)
		}
	}
	if excess := len(l.changes) - maxChanges; excess > 0 {
		l.floor = l.changes[excess-1].Version
		l.changes = append(l.changes[:0:0], l.changes[excess:]...)
	}
	l.position = max(l.position, position)
	if start.After(l.readAt) {
		l.readAt = start
	}
}

// Age returns how long ago the list was known to be the newest one.
func (l *Log[T]) Age(now time.Time) time.Duration { return now.Sub(l.readAt) }

// Since returns the changes after a version and the position up to which they reach, unless
// the list was last read longer ago than maxAge.
func (l *Log[T]) Since(now time.Time, after uint64, maxAge time.Duration) (changes []provider.Change[T], position uint64, answer Answer) {
	switch {
	case l.readAt.IsZero() || l.Age(now) > maxAge:
		return nil, after, Stale
	case after < l.floor:
		return nil, after, Dropped
	}
	for _, change := range l.changes {
		if change.Version > after {
			changes = append(changes, change)
		}
	}
	position = max(after, l.position)
	if len(changes) == 0 {
		return nil, position, Unchanged
	}
	return changes, position, Changed
}
