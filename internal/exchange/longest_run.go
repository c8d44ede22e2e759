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
// to its end, for each token that the request allowed. Nothing tells in advance which answer of a
// service is a long one.
type longestRuns struct {
	rows *entity.Table[entity.ServiceName, time.Duration]
}

func newLongestRuns() longestRuns {
	return longestRuns{rows: entity.NewTable[entity.ServiceName, time.Duration]()}
}

// learn adds the time of a complete answer.
func (l *longestRuns) learn(service entity.ServiceName, took time.Duration, allowed entity.Tokens) {
	if allowed <= 0 {
		return
	}
	row := l.rows.GetOrPut(service)
	*row = max(took/time.Duration(allowed), time.Duration(longestRunDecay*float64(*row)))
}

// of returns the longest time that an answer of up to this many tokens may take.
func (l *longestRuns) of(service entity.ServiceName, allowed entity.Tokens) time.Duration {
	row := l.rows.Get(service)
	if row == nil {
		return 0
	}
	return *row * time.Duration(allowed)
}
