package command

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/standin"
)

type standInCommand struct {
	Engines       int           `arg:"--engines" default:"3" help:"number of model engines"`
	Plains        int           `arg:"--plains" default:"2" help:"number of plain backend servers"`
	Slots         int           `arg:"--slots" default:"8" help:"requests that a backend server runs at the same time"`
	FirstToken    time.Duration `arg:"--first-token" default:"20ms" help:"time to the first token"`
	BetweenTokens time.Duration `arg:"--between-tokens" default:"5ms" help:"time between tokens"`
	PlainDelay    time.Duration `arg:"--plain-delay" help:"time that a call of a plain backend server takes"`
	Variants      bool          `arg:"--variants" help:"each backend server answers differently"`
}

func (s *standInCommand) run(ctx context.Context, e *environment) error {
	p, err := standin.StartPlatform(ctx, s.standInConfig())
	if err != nil {
		return err
	}
	defer p.Close()
	a := p.Addresses()
	e.printResult(a, func(w io.Writer) { printStandInAddresses(w, a) })
	<-ctx.Done()
	return nil
}

// standInConfig converts the flags to the configuration of the stand-ins.
func (s *standInCommand) standInConfig() standin.Config {
	cfg := standin.Config{}
	for i := range s.Engines {
		id := fmt.Sprintf("engine-%d", i+1)
		cfg.Engines = append(cfg.Engines, standin.EngineConfig{
			ID: id, Slots: s.Slots, Variant: s.variant(id),
			FirstTokenDelay: s.FirstToken, TokenInterval: s.BetweenTokens,
		})
	}
	for i := range s.Plains {
		id := fmt.Sprintf("plain-%d", i+1)
		cfg.PlainServers = append(cfg.PlainServers, standin.PlainServerConfig{
			ID: id, Slots: s.Slots, Variant: s.variant(id), Delay: s.PlainDelay,
		})
	}
	return cfg
}

// variant returns the name of the variant in which a backend server answers: its
// id with --variants, so that all answer differently, else the empty string.
func (s *standInCommand) variant(id string) string {
	if !s.Variants {
		return ""
	}
	return id
}

// printStandInAddresses prints the addresses of the stand-ins.
func printStandInAddresses(w io.Writer, a standin.Addresses) {
	fmt.Fprintln(w, "table", a.Table)
	fmt.Fprintln(w, "objects", a.Objects)
	fmt.Fprintln(w, "cloud", a.Cloud)
	fmt.Fprintln(w, "control", a.Control)
	for _, b := range append(a.Engines, a.PlainServers...) {
		fmt.Fprintln(w, b.ID, b.Address)
	}
}
