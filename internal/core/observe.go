package core

import "github.com/gooseberryslip/gooseberryslip/internal/entity"

// Measure names something that is observed of requests.
type Measure uint8

const (
	// FirstTokenSeconds is the time from acceptance to the first token.
	FirstTokenSeconds Measure = iota + 1
	// BetweenTokensSeconds is the time between two tokens of one attempt.
	BetweenTokensSeconds
	// WholeSeconds is the time from acceptance to the whole answer.
	WholeSeconds
	// RecomputedTokens counts the tokens of an answer that engines computed
	// again.
	RecomputedTokens
)

// Observation is one value of a measure.
type Observation struct {
	Measure  Measure
	Service  entity.ServiceName
	Priority entity.Priority
	Value    float64
}

// observe adds an observation about a request.
func (c *Core) observe(m Measure, r *request, value float64) {
	c.out.Observations = append(c.out.Observations, Observation{
		Measure: m, Service: r.work.Service, Priority: r.work.Priority, Value: value,
	})
}

// observeTokens measures the arrival of new tokens of an attempt.
func (c *Core) observeTokens(r *request, a *attempt, fresh int) {
	if len(r.tokens) == fresh {
		c.observe(FirstTokenSeconds, r, c.now.Sub(r.acceptedAt).Seconds())
		return
	}
	if a.tokens > fresh {
		c.observe(BetweenTokensSeconds, r, c.now.Sub(a.lastToken).Seconds()/float64(fresh))
	}
}

// observeAnswer measures a whole answer.
func (c *Core) observeAnswer(r *request, answer *Answer) {
	c.observe(WholeSeconds, r, c.now.Sub(r.acceptedAt).Seconds())
	if n := answer.Usage.Recomputed; n > 0 {
		c.observe(RecomputedTokens, r, float64(n))
	}
}
