// Package load is a load generator that calls a running system as its callers
// do and checks every answer. Requests arrive independently of earlier answers
// (open loop). Interrupted streams are resumed on other daemons, and some
// requests with an idempotency key are sent to two daemons.
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
	Share        float64 // weight: this caller's arrivals relative to those of the others
	Priority     entity.Priority
}

// Config describes a load run. Fields whose names end in Share are probabilities
// from 0 to 1.
type Config struct {
	Addresses []string // host:port of daemons, from which the other daemons' addresses are read
	Service   entity.ServiceName
	Callers   []Caller

	ArrivalsPerSecond float64
	Duration          time.Duration
	Seed              uint64 // of the random arrivals and request contents

	StreamShare        float64 // requests that ask for a streamed answer
	KeyedShare         float64 // requests with an idempotency key
	NotRepeatableShare float64 // requests marked as not repeatable; they get an idempotency key too
	ResendShare        float64 // of the requests with a key: also sent to another daemon

	Model               string
	PromptTokens        int
	PrefixGroups        int // groups of prompts that share their first half; 0: no prompts share it
	MaxTokens           int
	Deadline            time.Duration // of each request, as sent with it
	DeadlineGracePeriod time.Duration // wait after the deadline until a request counts as lost

	// PlainPath, if not empty, is a path of a plain service: the run sends POST
	// calls to it instead of requests to a model service.
	PlainPath string

	CheckText  bool     // compare answers with the known output of the stand-in servers
	EngineURLs []string // stand-in servers whose run records are checked at the end
	AllowLost  bool     // do not count lost requests as violations
}

const (
	defaultPromptTokens        = 32
	defaultMaxTokens           = 32
	defaultDeadline            = 30 * time.Second
	defaultDeadlineGracePeriod = 15 * time.Second
)

func (c Config) withDefaults() Config {
	c.PromptTokens = cmp.Or(c.PromptTokens, defaultPromptTokens)
	c.MaxTokens = cmp.Or(c.MaxTokens, defaultMaxTokens)
	c.Deadline = cmp.Or(c.Deadline, defaultDeadline)
	c.DeadlineGracePeriod = cmp.Or(c.DeadlineGracePeriod, defaultDeadlineGracePeriod)
	c.Model = cmp.Or(c.Model, "m")
	return c
}

func (c Config) check() error {
	switch {
	case len(c.Addresses) == 0:
		return errors.New("load: no daemon address is given")
	case len(c.Callers) == 0:
		return errors.New("load: no calling organisation is given")
	case c.ArrivalsPerSecond <= 0:
		return errors.New("load: the arrival rate must be greater than 0 per second")
	case c.Service == "":
		return errors.New("load: no service name is given")
	}
	total := 0.0
	for _, caller := range c.Callers {
		if caller.Share < 0 {
			return errors.New("load: a caller's share is negative")
		}
		total += caller.Share
	}
	if total <= 0 {
		return errors.New("load: the callers' shares are all 0; at least one must be greater than 0")
	}
	return nil
}
