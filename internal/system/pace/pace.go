// Package pace finds how many requests at once a backend server that starts or recovers can
// take. The limit begins small, rises by one with each answer that comes about as fast as the
// fastest one, so that it doubles in each round of answers, and is halved when answers come
// late or are rejections. Each daemon sends its part of the limit. A limit that has reached the
// server's slots ends.
package pace

import "time"

const (
	// initialSlotRatio is the initial limit, as a ratio of the server's slots.
	initialSlotRatio = 0.25
	// raiseRatio is the time of an answer, as a multiple of the fastest one's, up to which the
	// limit rises.
	raiseRatio = 2.0
	// cutRatio is that multiple from which it is halved.
	cutRatio = 4.0
	// minCutInterval is the least time between two cuts: answers that are under way show
	// nothing of the first one.
	minCutInterval = 500 * time.Millisecond
	// maxDuration is the longest time for which a limit lasts. By then the server takes what
	// it can, and its speed is known.
	maxDuration = 20 * time.Second
	// maxIdleTime is the longest time without a change for which it lasts: the message with its
	// end may have been lost.
	maxIdleTime = 4 * time.Second
)

// Limit is the limit of one process of a backend server, as one daemon knows it.
type Limit struct {
	value   float64 // requests in progress, of all daemons
	slots   float64
	begun   time.Time
	changed time.Time
	cutAt   time.Time
	fastest float64 // ratio of the time of the fastest answer to the usual one; 0: none has come
	unsent  float64 // changes by this daemon that have not been sent, in requests
}

// New returns the limit of a server that starts or recovers.
func New(now time.Time, slots int) *Limit {
	return &Limit{value: max(initialSlotRatio*float64(slots), 1), slots: float64(max(slots, 1)), begun: now, changed: now}
}

// Value returns the limit in requests in progress, of all daemons.
func (l *Limit) Value() float64 { return l.value }

// Ended reports whether the server needs no limit any more.
func (l *Limit) Ended(now time.Time) bool {
	return l.value >= l.slots || now.Sub(l.begun) > maxDuration || now.Sub(l.changed) > maxIdleTime
}

// Part returns the requests in progress that one daemon may have, given its rank among the
// daemons for this process, from 0. The parts of all daemons are the limit together.
func (l *Limit) Part(rank, daemons int) int {
	whole, daemons := int(l.value), max(daemons, 1)
	part := whole / daemons
	if rank < whole%daemons {
		part++
	}
	return part
}

// Answered records the time to the first event of an answer, as a ratio of the usual one, and
// reports whether it has lowered the limit.
func (l *Limit) Answered(now time.Time, ratio float64) (cut bool) {
	if l.fastest == 0 || ratio < l.fastest {
		l.fastest = ratio
	}
	switch {
	case ratio <= raiseRatio*l.fastest:
		l.change(now, 1)
	case ratio >= cutRatio*l.fastest:
		return l.cut(now)
	}
	return false
}

// Rejected records that the server has rejected a request, and reports whether that has
// lowered the limit.
func (l *Limit) Rejected(now time.Time) (cut bool) { return l.cut(now) }

func (l *Limit) cut(now time.Time) bool {
	if now.Sub(l.cutAt) < minCutInterval || l.value <= 1 {
		return false
	}
	l.cutAt = now
	l.change(now, -l.value/2)
	return true
}

func (l *Limit) change(now time.Time, by float64) {
	l.changed = now
	next := min(max(l.value+by, 1), l.slots)
	l.unsent += next - l.value
	l.value = next
}

// Unsent returns the change of the limit by this daemon that has not been sent, in requests.
func (l *Limit) Unsent() float64 { return l.unsent }

// MarkSent records that all changes have been sent.
func (l *Limit) MarkSent() { l.unsent = 0 }

// Receive applies a change by another daemon, which then knew the given value. A daemon for
// which the limit has ended knows that the server takes as many requests as it has slots.
func (l *Limit) Receive(now time.Time, value, by float64) {
	l.changed = now
	l.value = min(max(l.value+by, 1), l.slots)
	if value >= l.slots {
		l.value = l.slots
	}
}

// Adopt returns the limit that another daemon has begun.
func Adopt(now time.Time, slots int, value float64) *Limit {
	l := New(now, slots)
	l.value = min(max(value, 1), l.slots)
	return l
}
