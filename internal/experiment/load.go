package experiment

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryslip/gooseberryslip/internal/system/placement"
)

// Class describes requests of one kind. The answer to a request earns Value if it
// is on time, LateValue if it is late but within the deadline, else nothing.
type Class struct {
	Name              string  `toml:"name"`
	ArrivalsPerSecond float64 `toml:"per_second"`
	Priority          int     `toml:"priority"`      // 0 is the most urgent
	PromptTokens      int     `toml:"prompt_tokens"` // mean size of the part that is not shared
	PromptSigma       float64 `toml:"spread"`        // sigma of the log-normal factor, with mean 1, of PromptTokens
	SharedTokens      int     `toml:"shared_tokens"` // size of the shared part of a prompt, in addition to PromptTokens
	Subjects          int     `toml:"subjects"`      // number of different shared parts
	OutputTokens      int     `toml:"output_tokens"` // requests draw evenly from 1 to twice this number
	ObjectiveMs       float64 `toml:"objective_ms"`  // latest first event that is on time, from arrival
	MaxPauseMs        float64 `toml:"pause_ms"`      // longest time between two events that is on time; 0: any
	DeadlineMs        float64 `toml:"deadline_ms"`   // latest first event that earns anything, from arrival
	Retries           int     `toml:"retries"`       // times that a caller comes back after a refusal
	Value             float64 `toml:"worth"`
	LateValue         float64 `toml:"late_worth"`
}

// Pattern changes the load or the engines for a limited time.
type Pattern struct {
	Kind       string  `toml:"kind"` // "burst", "hot_subject", "reclaim", "start", "slow", "limit", "leave", "rest" or "brittle"
	StartS     float64 `toml:"at_s"` // since the start of the run
	DurationS  float64 `toml:"for_s"`
	LoadFactor float64 `toml:"times"`       // burst: multiplies the load
	Share      float64 `toml:"share"`       // ratio of the class's requests (hot_subject) or of the engines (all other kinds but burst)
	PerSecond  float64 `toml:"per_second"`  // limit: requests that each engine takes
	Rejections int     `toml:"rejections"`  // brittle: within a second that each engine stands
	Queue      int     `toml:"queue"`       // brittle: requests that may wait at each engine from 3 s on
	RestS      float64 `toml:"rest_s"`      // rest: for which an engine wants no requests each time
	TimeFactor float64 `toml:"time_factor"` // slow: multiplies the times of the engines
	RepeatS    float64 `toml:"repeat_s"`    // slow: from the start of one slow period to that of the next, which other engines have; 0: there is one
	Class      string  `toml:"class"`       // burst, hot_subject: affected class; for a burst, empty means all
}

// request is one request of the simulated load.
type request struct {
	class        *Class
	arrival      time.Duration // since the start of the run
	promptTokens int           // shared part included
	outputTokens int
	sharedParts  []sharedPart     // as the engine caches them
	promptParts  []placement.Part // as the daemons see the prompt
	daemon       int              // index of the daemon that receives it
	number       int              // position in the drawn load, from 0
	large        bool             // among the largest tenth of its class
	tries        int              // refused so far
	nextTry      time.Duration    // when the caller comes back after a refusal
}

// sharedPart is a prompt part that several requests have in common.
type sharedPart struct {
	key    uint64 // identifies the part
	tokens int
}

// drawRequests draws all requests of a run, in the order of their arrival.
func drawRequests(c *Config, rng *rand.Rand) []*request {
	var out []*request
	const interval = 10 * time.Millisecond
	length := seconds(c.Seconds)
	for arrival := time.Duration(0); arrival < length; arrival += interval {
		for i := range c.Classes {
			class := &c.Classes[i]
			rate := class.ArrivalsPerSecond * c.swingFactor(arrival) * c.burstFactor(arrival, class)
			for range drawPoisson(rng, rate*interval.Seconds()) {
				out = append(out, drawRequest(c, rng, class, arrival, len(out)))
			}
		}
	}
	return out
}

// swingFactor returns the factor of the sine wave that the whole load follows.
func (c *Config) swingFactor(at time.Duration) float64 {
	if c.SwingPeriodS == 0 {
		return 1
	}
	return 1 + c.SwingRatio*math.Sin(2*math.Pi*at.Seconds()/c.SwingPeriodS)
}

// active reports whether the pattern is in effect at a virtual time.
func (p *Pattern) active(at time.Duration) bool {
	return at >= seconds(p.StartS) && at < seconds(p.StartS+p.DurationS)
}

// slowPeriod returns the number of the slow period of a repeated pattern at a virtual time, from 0, and
// whether there is one.
func (p *Pattern) slowPeriod(at time.Duration) (int, bool) {
	since := at - seconds(p.StartS)
	if p.RepeatS == 0 || since < 0 {
		return 0, p.active(at)
	}
	return int(since / seconds(p.RepeatS)), since%seconds(p.RepeatS) < seconds(p.DurationS)
}

// burstFactor returns the product of the load factors of the bursts that affect
// the class at a virtual time.
func (c *Config) burstFactor(at time.Duration, class *Class) float64 {
	factor := 1.0
	for i := range c.Patterns {
		p := &c.Patterns[i]
		if p.Kind == "burst" && p.active(at) && (p.Class == "" || p.Class == class.Name) {
			factor *= p.LoadFactor
		}
	}
	return factor
}

// drawPoisson draws a Poisson-distributed number by Knuth's method.
func drawPoisson(rng *rand.Rand, mean float64) int {
	limit, product, n := math.Exp(-mean), rng.Float64(), 0
	for product > limit {
		product *= rng.Float64()
		n++
	}
	return n
}

// largestTenth is the number of standard deviations above the mean from which a tenth of a
// normal distribution lies.
const largestTenth = 1.2816

func drawRequest(c *Config, rng *rand.Rand, class *Class, arrival time.Duration, number int) *request {
	deviation := rng.NormFloat64()
	sizeFactor := math.Exp(deviation*class.PromptSigma - class.PromptSigma*class.PromptSigma/2)
	uniqueTokens := max(int(float64(class.PromptTokens)*sizeFactor), 1)
	r := &request{
		class: class, arrival: arrival, nextTry: arrival, promptTokens: uniqueTokens + class.SharedTokens, outputTokens: max(1, rng.IntN(2*class.OutputTokens)+1),
		daemon: rng.IntN(c.Daemons), number: number, large: deviation > largestTenth,
	}
	if class.SharedTokens > 0 {
		subject := rng.IntN(max(class.Subjects, 1))
		for i := range c.Patterns {
			p := &c.Patterns[i]
			if p.Kind == "hot_subject" && p.active(arrival) && p.Class == class.Name && rng.Float64() < p.Share {
				subject = 0
			}
		}
		sharedID := xxhash.Sum64String(class.Name) + uint64(subject)
		r.sharedParts = []sharedPart{{sharedID, class.SharedTokens}}
		r.promptParts = []placement.Part{{ID: sharedID, Tokens: tokens(class.SharedTokens)}, {ID: uint64(number), Tokens: tokens(uniqueTokens)}}
	}
	return r
}
