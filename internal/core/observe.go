package core

import "github.com/gooseberryslip/gooseberryslip/internal/entity"

// Measure identifies a quantity that is observed about requests.
type Measure uint8

const (
	// FirstTokenSeconds is the time from acceptance to the first token.
	FirstTokenSeconds Measure = iota + 1
	// BetweenTokensSeconds is the time between two tokens of one attempt.
	BetweenTokensSeconds
	// CompleteAnswerSeconds is the time from acceptance to the complete answer.
	CompleteAnswerSeconds
	// RecomputedTokens counts the tokens of an answer that engines had to
	// compute again.
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

// observeTokens records the first token latency or the token interval when new
// tokens of an attempt arrive.
func (c *Core) observeTokens(r *request, a *attempt, newTokens int) {
	if len(r.tokens) == newTokens {
		c.observe(FirstTokenSeconds, r, c.now.Sub(r.acceptedAt).Seconds())
		return
	}
	if a.receivedTokens > newTokens {
		c.observe(BetweenTokensSeconds, r, c.now.Sub(a.lastToken).Seconds()/float64(newTokens))
	}
}

// observeAnswer records the latency and the recomputed tokens of a complete
// answer.
func (c *Core) observeAnswer(r *request, answer *Answer) {
	c.observe(CompleteAnswerSeconds, r, c.now.Sub(r.acceptedAt).Seconds())
	if n := answer.Usage.Recomputed; n > 0 {
		c.observe(RecomputedTokens, r, float64(n))
	}
}
