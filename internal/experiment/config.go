package experiment

import (
	"bytes"
	"fmt"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// Config describes an experiment.
type Config struct {
	Seconds          float64     `toml:"seconds"` // virtual time in which requests arrive
	Seeds            []uint64    `toml:"seeds"`
	Daemons          int         `toml:"daemons"`
	Engines          int         `toml:"engines"` // number of model engines
	DataCentres      int         `toml:"data_centres"`
	UpdateIntervalMs float64     `toml:"news_ms"`        // between two state updates of a daemon to its peers
	SwingRatio       float64     `toml:"swing"`          // amplitude of the load's sine wave, as a ratio of the mean load
	SwingPeriodS     float64     `toml:"swing_period_s"` // period of that wave; 0: the load is not varied
	Policies         []Policy    `toml:"policies"`
	TimeFactors      []float64   `toml:"time_factors"` // multiply the times of the engines, in turn; none: all are equal
	Engine           EngineModel `toml:"engine"`
	Classes          []Class     `toml:"classes"`
	Patterns         []Pattern   `toml:"patterns"`
}

// Policy names the way in which requests are admitted and placed on engines.
type Policy string

const (
	// Product uses the decisions of the real daemons.
	Product Policy = "product"
	// Paced is Product with the speed and the pace of each backend server learned.
	Paced Policy = "paced"
	// Shedding is Product with load shedding switched on.
	Shedding Policy = "shedding"
	// Unaware is Product that does not hear that engines leave, want a rest or are brittle.
	Unaware Policy = "unaware"
	// FirstCome is NeverRejecting at engines that ignore the priorities.
	FirstCome Policy = "first_come"
	// NeverRejecting is Product, but requests that will be late are accepted too.
	NeverRejecting Policy = "never_refusing"
	// Random places each request on a random engine and rejects none.
	Random Policy = "random"
	// RoundRobin makes each daemon place its requests on the engines in turn.
	RoundRobin Policy = "round_robin"
	// LeastOutstanding places a request on the engine that has the fewest
	// requests of the same daemon.
	LeastOutstanding Policy = "least_outstanding"
)

// byCores reports whether the daemons' cores place the requests.
func (p Policy) byCores() bool {
	return p == Product || p == Unaware || p == Paced || p == Shedding || p == FirstCome || p == NeverRejecting
}

// Parse decodes and validates an experiment in TOML. Unknown keys are errors.
func Parse(content []byte) (*Config, error) {
	var c Config
	d := toml.NewDecoder(bytes.NewReader(content))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		return nil, err
	}
	return &c, c.check()
}

func (c *Config) check() error {
	for _, f := range []struct {
		name string
		bad  bool
	}{
		{"seconds", c.Seconds <= 0},
		{"seeds", len(c.Seeds) == 0},
		{"daemons", c.Daemons < 1},
		{"engines", c.Engines < 1},
		{"data_centres", c.DataCentres < 1},
		{"news_ms", c.UpdateIntervalMs <= 0},
		{"policies", len(c.Policies) == 0},
		{"classes", len(c.Classes) == 0},
		{"engine.slots", c.Engine.Slots < 1},
		{"engine.memory_tokens", c.Engine.MemoryTokens < 1},
		{"engine.prompt_per_ms", c.Engine.PromptTokensPerMs <= 0},
		{"engine.chunk_tokens", c.Engine.ChunkTokens < 1},
		{"engine.step_ms", c.Engine.BaseStepMs <= 0},
		{"engine.tokens_per_event", c.Engine.TokensPerEvent < 1},
	} {
		if f.bad {
			return fmt.Errorf("experiment: %s is missing or out of range", f.name)
		}
	}
	for _, p := range c.Policies {
		if !p.byCores() && p != Random && p != RoundRobin && p != LeastOutstanding {
			return fmt.Errorf("experiment: unknown policy %q; use product, unaware, paced, shedding, first_come, never_refusing, random, round_robin or least_outstanding", p)
		}
	}
	for _, class := range c.Classes {
		if class.Name == "" || class.ArrivalsPerSecond < 0 || class.OutputTokens < 1 || class.ObjectiveMs <= 0 || class.DeadlineMs <= 0 || class.Retries < 0 {
			return fmt.Errorf("experiment: class %q must have a name, output_tokens of at least 1, objective_ms and deadline_ms above 0, and no negative per_second or retries", class.Name)
		}
	}
	for _, f := range c.TimeFactors {
		if f <= 0 {
			return fmt.Errorf("experiment: time factor %v must be above 0", f)
		}
	}
	return c.checkPatterns()
}

func (c *Config) checkPatterns() error {
	for _, p := range c.Patterns {
		switch p.Kind {
		case "burst", "hot_subject", "reclaim", "start", "leave":
		case "slow":
			if p.TimeFactor <= 0 || p.RepeatS < 0 {
				return fmt.Errorf("experiment: slow spell must have a time_factor above 0 and no negative repeat_s")
			}
		case "limit":
			if p.PerSecond < 0 {
				return fmt.Errorf("experiment: limit of %v requests per second is negative", p.PerSecond)
			}
		case "rest":
			if p.RestS <= 0 {
				return fmt.Errorf("experiment: rest_s of %v must be above 0", p.RestS)
			}
		case "brittle":
			if p.Rejections < 0 || p.Queue < 0 {
				return fmt.Errorf("experiment: brittle engines stand %d rejections with a queue of %d: neither may be negative", p.Rejections, p.Queue)
			}
		default:
			return fmt.Errorf("experiment: unknown kind of pattern %q; use burst, hot_subject, reclaim, start, slow, limit, leave, rest or brittle", p.Kind)
		}
	}
	return nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func tokens(n int) entity.Tokens { return entity.Tokens(n) }
