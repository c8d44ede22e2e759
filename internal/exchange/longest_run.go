package exchange

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

const (
	// longestRunPeriod is the least time for which the longest run is kept, and half of the longest.
	// Long answers are rare, and many short ones come between them.
	longestRunPeriod = 30 * time.Second
	// longestRunFactor is the time, in multiples of the longest run, that must remain until
	// this daemon stops for a request to be accepted.
	longestRunFactor = 1.15
	// minKnownRuns is the number of answers from which on the longest one tells how long others may take.
	minKnownRuns = 24
	// minObservedFactor is the time, in multiples of the longest run, for which that many requests must have been
	// observed. It leaves time for longer ones to show.
	minObservedFactor = 2
	// minToldObservation is the least time after which other daemons are told. They keep what they have heard.
	minToldObservation = longestRunPeriod / 2
)

// longestRuns holds, for each service, the longest time of late that an answer took: from its first
// event to its end, for each token that the request allowed; of requests that do not say how many they
// allow, from their sending to the end. Nothing tells in advance which answer of a service is a long one.
//
// Short answers end first, so those that have ended say little of the others while the first ones
// still run: see longestRun.known.
type longestRuns struct {
	perToken *entity.Table[entity.ServiceName, longestRun]
	unstated *entity.Table[entity.ServiceName, longestRun]
}

// longestRun is the longest run of the present period and of the one before.
type longestRun struct {
	began           time.Time // the present period
	present, before period
}

// period is what was learned in one period.
type period struct {
	longest  time.Duration // of this daemon's answers
	reported time.Duration // the longest run that another daemon knows; 0: none does
	late     time.Duration // the most by which a first event came later than expected
	allowed  entity.Tokens // the most that a request of this daemon allowed; 0: none said
	sent     int           // requests of this daemon
	enoughAt time.Time     // when minKnownRuns had been sent, in this period and the one before; zero: not yet
}

// at returns the longest run as it counts at a time.
func (r longestRun) at(now time.Time) longestRun {
	switch age := now.Sub(r.began); {
	case age < longestRunPeriod:
		return r
	case age < 2*longestRunPeriod:
		before := r.present
		if before.sent < minKnownRuns {
			before.enoughAt = time.Time{}
		}
		return longestRun{began: r.began.Add(longestRunPeriod), before: before}
	default:
		return longestRun{began: now}
	}
}

// longest returns the longest run of this daemon or of another one.
func (r *longestRun) longest() time.Duration {
	return max(r.present.longest, r.before.longest, r.present.reported, r.before.reported)
}

// late returns the most by which a first event came later than expected.
func (r *longestRun) late() time.Duration { return max(r.present.late, r.before.late) }

// observedFor returns the time since enough requests had been sent.
func (r *longestRun) observedFor(now time.Time) time.Duration {
	switch {
	case !r.before.enoughAt.IsZero():
		return now.Sub(r.before.enoughAt)
	case !r.present.enoughAt.IsZero():
		return now.Sub(r.present.enoughAt)
	default:
		return 0
	}
}

// ownKnown reports whether this daemon has sent enough requests so long ago that an answer of the given
// number of units that lasts longer than the longest one would have shown.
func (r *longestRun) ownKnown(now time.Time, units entity.Tokens) bool {
	own := max(r.present.longest, r.before.longest)
	return own > 0 && r.observedFor(now) > minObservedFactor*own*time.Duration(units)
}

// known reports whether the longest run tells how long other answers may take, as this daemon has seen enough
// of them or another one has.
func (r *longestRun) known(now time.Time, units entity.Tokens) bool {
	return r.ownKnown(now, units) || max(r.present.reported, r.before.reported) > 0
}

func newLongestRuns() longestRuns {
	return longestRuns{perToken: entity.NewTable[entity.ServiceName, longestRun](), unstated: entity.NewTable[entity.ServiceName, longestRun]()}
}

// rows returns the table for answers of up to this many tokens, and how many units of its times these are.
func (l *longestRuns) rows(allowed entity.Tokens) (*entity.Table[entity.ServiceName, longestRun], entity.Tokens) {
	if allowed <= 0 {
		return l.unstated, 1
	}
	return l.perToken, allowed
}

// row returns the row for answers of up to this many tokens, and how many units of its times these are.
func (l *longestRuns) row(now time.Time, service entity.ServiceName, allowed entity.Tokens) (*longestRun, entity.Tokens) {
	rows, units := l.rows(allowed)
	row := rows.GetOrPut(service)
	*row = row.at(now)
	return row, units
}

// of returns the longest time that an answer of up to this many tokens may take, as those of late have, and whether
// enough of them have been observed to tell.
func (l *longestRuns) of(now time.Time, service entity.ServiceName, allowed entity.Tokens) (longest time.Duration, known bool) {
	row, units := l.row(now, service, allowed)
	return row.longest() * time.Duration(units), row.known(now, units)
}

// countSent counts a request that is sent.
func (l *longestRuns) countSent(now time.Time, service entity.ServiceName, allowed entity.Tokens) {
	row, _ := l.row(now, service, allowed)
	p := &row.present
	p.sent++
	p.allowed = max(p.allowed, allowed)
	if p.enoughAt.IsZero() && row.before.sent+p.sent >= minKnownRuns {
		p.enoughAt = now
	}
}

// learn adds the time of a complete answer.
func (l *longestRuns) learn(now time.Time, service entity.ServiceName, took time.Duration, allowed entity.Tokens) {
	row, units := l.row(now, service, allowed)
	row.present.longest = max(row.present.longest, took/time.Duration(units))
}

// report adds what another daemon knows of answers that state their size, allowed > 0, or of the others; 0: nothing.
func (l *longestRuns) report(now time.Time, service entity.ServiceName, longest time.Duration, allowed entity.Tokens) {
	if longest <= 0 {
		return
	}
	row, _ := l.row(now, service, allowed)
	row.present.reported = max(row.present.reported, longest)
}
