// Package load drives a running system as its callers do, and checks every
// answer: open-loop arrivals, streams that are resumed on other daemons,
// idempotent requests that are sent twice.
package load

import (
	"cmp"
	"errors"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// Caller is one organisation that sends requests.
type Caller struct {
	Organisation entity.OrganisationID
	Credential   string  // bearer token
	Share        float64 // of the arrivals, relative to the other callers
	Priority     entity.Priority
}

// Config describes a run.
type Config struct {
	Addresses []string // host:port of daemons, to ask for the others
	Service   entity.ServiceName
	Callers   []Caller

	Rate     float64 // arrivals per second
	Duration time.Duration
	Seed     uint64 // of arrivals and of what is sent

	StreamShare        float64 // of the requests: answered as a stream
	KeyedShare         float64 // with an idempotency key
	NotRepeatableShare float64 // not repeatable, and so with a key as well
	RetryShare         float64 // of the keyed: sent a second time to another daemon

	Model        string
	PromptTokens int
	PrefixGroups int // prompts share their first half with 1 in so many; 0: none
	MaxTokens    int
	Deadline     time.Duration // of each request
	Patience     time.Duration // after the deadline, until a request counts as lost

	// Plain sends POST calls to this path of a plain service instead of
	// requests to a model service.
	Plain string

	CheckText  bool     // compare answers with what the stand-ins give
	EngineURLs []string // stand-ins whose record of runs is read at the end
	AllowLost  bool     // do not count lost requests as violations
}

const (
	defaultPromptTokens = 32
	defaultMaxTokens    = 32
	defaultDeadline     = 30 * time.Second
	defaultPatience     = 15 * time.Second
)

func (c Config) withDefaults() Config {
	c.PromptTokens = cmp.Or(c.PromptTokens, defaultPromptTokens)
	c.MaxTokens = cmp.Or(c.MaxTokens, defaultMaxTokens)
	c.Deadline = cmp.Or(c.Deadline, defaultDeadline)
	c.Patience = cmp.Or(c.Patience, defaultPatience)
	c.Model = cmp.Or(c.Model, "m")
	return c
}

func (c Config) check() error {
	switch {
	case len(c.Addresses) == 0:
		return errors.New("load: no address")
	case len(c.Callers) == 0:
		return errors.New("load: no caller")
	case c.Rate <= 0:
		return errors.New("load: rate is not positive")
	case c.Service == "":
		return errors.New("load: no service")
	}
	total := 0.0
	for _, caller := range c.Callers {
		if caller.Share < 0 {
			return errors.New("load: negative share")
		}
		total += caller.Share
	}
	if total <= 0 {
		return errors.New("load: the callers' shares are all 0")
	}
	return nil
}
