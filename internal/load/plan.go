package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// plannedRequest is one request to be sent.
type plannedRequest struct {
	number        int
	caller        int // index in Config.Callers
	prompt        string
	seed          uint64
	stream        bool
	key           string // idempotency key; empty: none
	repeatable    bool
	resend        bool          // also send it to another daemon
	resendDelay   time.Duration // from the start of the first execution
	sincePrevious time.Duration // time since the previous arrival
}

const maxResendDelay = 300 * time.Millisecond

// planner draws random requests. They depend only on the configuration and its
// seed.
type planner struct {
	cfg        Config
	rng        *rand.Rand
	number     int
	totalShare float64 // sum of the callers' shares
}

func newPlanner(c Config) *planner {
	p := &planner{cfg: c, rng: rand.New(rand.NewPCG(c.Seed, 1))}
	for _, caller := range c.Callers {
		p.totalShare += caller.Share
	}
	return p
}

// next draws the next request. Arrivals form a Poisson process.
func (p *planner) next() plannedRequest {
	p.number++
	r := plannedRequest{
		number:        p.number,
		caller:        p.drawCaller(),
		seed:          p.rng.Uint64() >> 11, // 53 bits, exact in JSON parsers that use float64
		repeatable:    true,
		sincePrevious: time.Duration(p.rng.ExpFloat64() / p.cfg.ArrivalsPerSecond * float64(time.Second)),
	}
	r.prompt = p.drawPrompt()
	r.stream = p.cfg.PlainPath == "" && p.drawBool(p.cfg.StreamShare)
	keyed := p.drawBool(p.cfg.KeyedShare)
	if p.drawBool(p.cfg.NotRepeatableShare) {
		r.repeatable, keyed = false, true
	}
	if keyed {
		r.key = fmt.Sprintf("load-%d-%d", p.cfg.Seed, p.number)
		r.resend = p.drawBool(p.cfg.ResendShare)
		r.resendDelay = time.Duration(p.rng.Int64N(int64(maxResendDelay)))
	}
	return r
}

func (p *planner) drawBool(share float64) bool { return p.rng.Float64() < share }

func (p *planner) drawCaller() int {
	x := p.rng.Float64() * p.totalShare
	for i, caller := range p.cfg.Callers {
		x -= caller.Share
		if x < 0 {
			return i
		}
	}
	return len(p.cfg.Callers) - 1
}

// drawPrompt returns a prompt that is unique for this seed and request number.
// Its first half may be shared with other prompts.
func (p *planner) drawPrompt() string {
	words := make([]string, 0, p.cfg.PromptTokens)
	if groups := p.cfg.PrefixGroups; groups > 0 {
		group := p.rng.IntN(groups)
		for i := range p.cfg.PromptTokens / 2 {
			words = append(words, fmt.Sprintf("shared%d.%d", group, i))
		}
	}
	words = append(words, fmt.Sprintf("load-%d-%d", p.cfg.Seed, p.number))
	for len(words) < p.cfg.PromptTokens {
		words = append(words, fmt.Sprintf("w%x", p.rng.Uint32()))
	}
	return strings.Join(words, " ")
}
