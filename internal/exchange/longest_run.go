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
)

// longestRuns holds, for each service, the longest time of late that an answer took: from its first
// event to its end, for each token that the request allowed; of requests that do not say how many they
// allow, from their sending to the end. Nothing tells in advance which answer of a service is a long one.
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
	longest time.Duration
	answers int
}

// at returns the longest run as it counts at a time.
func (r longestRun) at(now time.Time) longestRun {
	switch age := now.Sub(r.began); {
	case age < longestRunPeriod:
		return r
	case age < 2*longestRunPeriod:
		return longestRun{began: r.began.Add(longestRunPeriod), before: r.present}
	default:
		return longestRun{began: now}
	}
}

func newLongestRuns() longestRuns {
	return longestRuns{perToken: entity.NewTable[entity.ServiceName, longestRun](), unstated: entity.NewTable[entity.ServiceName, longestRun]()}
}

// rows returns the table for answers of up to this many tokens, and the unit of its times.
func (l *longestRuns) rows(allowed entity.Tokens) (*entity.Table[entity.ServiceName, longestRun], entity.Tokens) {
	if allowed <= 0 {
		return l.unstated, 1
	}
	return l.perToken, allowed
}

// learn adds the time of a complete answer.
func (l *longestRuns) learn(now time.Time, service entity.ServiceName, took time.Duration, allowed entity.Tokens) {
	rows, unit := l.rows(allowed)
	row := rows.GetOrPut(service)
	*row = row.at(now)
	row.present.longest = max(row.present.longest, took/time.Duration(unit))
	row.present.answers++
}

// of returns the longest time that an answer of up to this many tokens may take, and whether enough
// answers have been seen to tell.
func (l *longestRuns) of(now time.Time, service entity.ServiceName, allowed entity.Tokens) (longest time.Duration, known bool) {
	rows, unit := l.rows(allowed)
	row := rows.Get(service)
	if row == nil {
		return 0, false
	}
	r := row.at(now)
	return max(r.present.longest, r.before.longest) * time.Duration(unit), r.present.answers+r.before.answers >= minKnownRuns
}
