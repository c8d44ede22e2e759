package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// planned is one request that will be sent.
type planned struct {
	number     int
	caller     int // index in Config.Callers
	prompt     string
	seed       uint64
	stream     bool
	key        string // empty: none
	repeatable bool
	resend     bool          // send a second time, to another daemon
	resendWait time.Duration // after the first
	wait       time.Duration // since the previous arrival
}

const maxResendWait = 300 * time.Millisecond

// planner draws requests. What it draws depends on the seed alone.
type planner struct {
	cfg    Config
	rng    *rand.Rand
	number int
	total  float64 // of the callers' shares
}

func newPlanner(c Config) *planner {
	p := &planner{cfg: c, rng: rand.New(rand.NewPCG(c.Seed, 1))}
	for _, caller := range c.Callers {
		p.total += caller.Share
	}
	return p
}

// next draws one request of a Poisson process.
func (p *planner) next() planned {
	p.number++
	r := planned{
		number:     p.number,
		caller:     p.drawCaller(),
		seed:       p.rng.Uint64() >> 11, // survives JSON parsers that use float64
		repeatable: true,
		wait:       time.Duration(p.rng.ExpFloat64() / p.cfg.Rate * float64(time.Second)),
	}
	r.prompt = p.drawPrompt()
	r.stream = p.cfg.Plain == "" && p.chance(p.cfg.StreamShare)
	keyed := p.chance(p.cfg.KeyedShare)
	if p.chance(p.cfg.NotRepeatableShare) {
		r.repeatable, keyed = false, true
	}
	if keyed {
		r.key = fmt.Sprintf("load-%d-%d", p.cfg.Seed, p.number)
		r.resend = p.chance(p.cfg.RetryShare)
		r.resendWait = time.Duration(p.rng.Int64N(int64(maxResendWait)))
	}
	return r
}

func (p *planner) chance(share float64) bool { return p.rng.Float64() < share }

func (p *planner) drawCaller() int {
	x := p.rng.Float64() * p.total
	for i, caller := range p.cfg.Callers {
		x -= caller.Share
		if x < 0 {
			return i
		}
	}
	return len(p.cfg.Callers) - 1
}

// drawPrompt returns a prompt that no other request of any run has, whose first
// half may be shared.
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
