package experiment

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryslip/gooseberryslip/internal/system/placement"
)

// Class is a kind of request.
type Class struct {
	Name        string  `toml:"name"`
	PerSecond   float64 `toml:"per_second"`
	Priority    int     `toml:"priority"` // 0 is the most urgent
	Prompt      int     `toml:"prompt_tokens"`
	Spread      float64 `toml:"spread"`        // of the prompt's size: sigma of a log-normal
	Shared      int     `toml:"shared_tokens"` // of the prompt, in addition
	Subjects    int     `toml:"subjects"`      // different shared parts
	Output      int     `toml:"output_tokens"`
	ObjectiveMs float64 `toml:"objective_ms"` // to the first event
	PauseMs     float64 `toml:"pause_ms"`     // longest between two events
	DeadlineMs  float64 `toml:"deadline_ms"`
	Worth       float64 `toml:"worth"`
	LateWorth   float64 `toml:"late_worth"`
}

// Pattern bends the load for some time.
type Pattern struct {
	Kind  string  `toml:"kind"` // "burst", "hot_subject" or "reclaim"
	AtS   float64 `toml:"at_s"`
	ForS  float64 `toml:"for_s"`
	Times float64 `toml:"times"` // burst: times the load
	Share float64 `toml:"share"` // hot_subject, reclaim: part of the requests or engines
	Class string  `toml:"class"` // burst, hot_subject: only this class
}

// request is one request of the load.
type request struct {
	class  *Class
	at     time.Duration
	prompt int
	output int
	keys   []partKey
	parts  []placement.Part
	daemon int
	index  int
}

type partKey struct {
	key    uint64
	tokens int
}

// load draws all requests of a run.
func load(c *Config, rng *rand.Rand) []*request {
	var out []*request
	const slice = 10 * time.Millisecond
	length := seconds(c.Seconds)
	for at := time.Duration(0); at < length; at += slice {
		for i := range c.Classes {
			class := &c.Classes[i]
			rate := class.PerSecond * c.swing(at) * c.times(at, class)
			for range poisson(rng, rate*slice.Seconds()) {
				out = append(out, draw(c, rng, class, at, len(out)))
			}
		}
	}
	return out
}

// swing is the wave that the whole load follows.
func (c *Config) swing(at time.Duration) float64 {
	if c.SwingPeriodS == 0 {
		return 1
	}
	return 1 + c.Swing*math.Sin(2*math.Pi*at.Seconds()/c.SwingPeriodS)
}

func (p *Pattern) active(at time.Duration) bool {
	return at >= seconds(p.AtS) && at < seconds(p.AtS+p.ForS)
}

func (c *Config) times(at time.Duration, class *Class) float64 {
	times := 1.0
	for i := range c.Patterns {
		p := &c.Patterns[i]
		if p.Kind == "burst" && p.active(at) && (p.Class == "" || p.Class == class.Name) {
			times *= p.Times
		}
	}
	return times
}

func poisson(rng *rand.Rand, mean float64) int {
	limit, product, n := math.Exp(-mean), rng.Float64(), 0
	for product > limit {
		product *= rng.Float64()
		n++
	}
	return n
}

func draw(c *Config, rng *rand.Rand, class *Class, at time.Duration, index int) *request {
	size := math.Exp(rng.NormFloat64()*class.Spread - class.Spread*class.Spread/2)
	own := max(int(float64(class.Prompt)*size), 1)
	r := &request{
		class: class, at: at, prompt: own + class.Shared, output: max(1, rng.IntN(2*class.Output)+1),
		daemon: rng.IntN(c.Daemons), index: index,
	}
	if class.Shared > 0 {
		subject := rng.IntN(max(class.Subjects, 1))
		for i := range c.Patterns {
			p := &c.Patterns[i]
			if p.Kind == "hot_subject" && p.active(at) && p.Class == class.Name && rng.Float64() < p.Share {
				subject = 0
			}
		}
		id := xxhash.Sum64String(class.Name) + uint64(subject)
		r.keys = []partKey{{id, class.Shared}}
		r.parts = []placement.Part{{ID: id, Tokens: tokens(class.Shared)}, {ID: uint64(index), Tokens: tokens(own)}}
	}
	return r
}
