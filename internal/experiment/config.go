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
	Seconds      float64     `toml:"seconds"`
	Seeds        []uint64    `toml:"seeds"`
	Daemons      int         `toml:"daemons"`
	Engines      int         `toml:"engines"`
	DataCentres  int         `toml:"data_centres"`
	NewsMs       float64     `toml:"news_ms"` // between two messages of a daemon
	Swing        float64     `toml:"swing"`   // of the load, part of the mean
	SwingPeriodS float64     `toml:"swing_period_s"`
	Policies     []Policy    `toml:"policies"`
	Engine       EngineModel `toml:"engine"`
	Classes      []Class     `toml:"classes"`
	Patterns     []Pattern   `toml:"patterns"`
}

// Policy names who decides.
type Policy string

const (
	// Product is the daemons' own decisions.
	Product Policy = "product"
	// NeverRefusing is the product without turning anybody away.
	NeverRefusing Policy = "never_refusing"
	// Random places at random and turns nobody away.
	Random Policy = "random"
	// RoundRobin lets each daemon place in turn.
	RoundRobin Policy = "round_robin"
	// LeastOutstanding places where the daemon itself has the fewest requests.
	LeastOutstanding Policy = "least_outstanding"
)

// Parse reads and checks an experiment.
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
		{"news_ms", c.NewsMs <= 0},
		{"policies", len(c.Policies) == 0},
		{"classes", len(c.Classes) == 0},
		{"engine.slots", c.Engine.Slots < 1},
		{"engine.memory_tokens", c.Engine.MemoryTokens < 1},
		{"engine.prompt_per_ms", c.Engine.PromptPerMs <= 0},
		{"engine.chunk_tokens", c.Engine.ChunkTokens < 1},
		{"engine.step_ms", c.Engine.StepMs <= 0},
		{"engine.tokens_per_event", c.Engine.TokensPerEvent < 1},
	} {
		if f.bad {
			return fmt.Errorf("experiment: %s is missing or out of range", f.name)
		}
	}
	for _, p := range c.Policies {
		if p != Product && p != NeverRefusing && p != Random && p != RoundRobin && p != LeastOutstanding {
			return fmt.Errorf("experiment: unknown policy %q", p)
		}
	}
	for _, class := range c.Classes {
		if class.Name == "" || class.PerSecond < 0 || class.Output < 1 || class.ObjectiveMs <= 0 || class.DeadlineMs <= 0 {
			return fmt.Errorf("experiment: class %q lacks a name, output_tokens, objective_ms or deadline_ms", class.Name)
		}
	}
	return nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func tokens(n int) entity.Tokens { return entity.Tokens(n) }
