package exchange

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

const (
	// longestRunDecay is the factor by which each answer lowers the longest run of those before.
	longestRunDecay = 0.998
	// longestRunFactor is the time, in multiples of the longest run, that must remain until
	// this daemon stops for a request to be accepted.
	longestRunFactor = 1.15
)

// longestRuns holds, for each service, the longest time of late from the first event of an answer
// to its end: for each token that the request allowed, and of requests that do not say how many they
// allow. Nothing tells in advance which answer of a service is a long one.
type longestRuns struct {
	perToken *entity.Table[entity.ServiceName, time.Duration]
	unstated *entity.Table[entity.ServiceName, time.Duration]
}

func newLongestRuns() longestRuns {
	return longestRuns{perToken: entity.NewTable[entity.ServiceName, time.Duration](), unstated: entity.NewTable[entity.ServiceName, time.Duration]()}
}

// rows returns the table for answers of up to this many tokens, and the unit of its times.
func (l *longestRuns) rows(allowed entity.Tokens) (*entity.Table[entity.ServiceName, time.Duration], entity.Tokens) {
	if allowed <= 0 {
		return l.unstated, 1
	}
	return l.perToken, allowed
}

// learn adds the time of a complete answer.
func (l *longestRuns) learn(service entity.ServiceName, took time.Duration, allowed entity.Tokens) {
	rows, unit := l.rows(allowed)
	row := rows.GetOrPut(service)
	*row = max(took/time.Duration(unit), time.Duration(longestRunDecay*float64(*row)))
}

// of returns the longest time that an answer of up to this many tokens may take.
func (l *longestRuns) of(service entity.ServiceName, allowed entity.Tokens) time.Duration {
	rows, unit := l.rows(allowed)
	if row := rows.Get(service); row != nil {
		return *row * time.Duration(unit)
	}
	return 0
}
