package command

import (
	"context"
	"os"
	"sync"

	"github.com/gooseberryslip/gooseberryslip/internal/experiment"
)

// experimentCommand compares placement policies under a simulated load in virtual
// time.
type experimentCommand struct {
	File string `arg:"positional,required" placeholder:"FILE" help:"the experiment in TOML, such as examples/experiment/overload.toml"`
	Plot string `arg:"--plot" placeholder:"FILE" help:"write a plot of each policy's credit per second as SVG"`
}

func (c *experimentCommand) run(_ context.Context, e *environment) error {
	content, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	cfg, err := experiment.Parse(content)
	if err != nil {
		return err
	}
	results := make([]*experiment.Result, len(cfg.Policies)*len(cfg.Seeds))
	var runs sync.WaitGroup
	for i, policy := range cfg.Policies {
		for j, seed := range cfg.Seeds {
			runs.Go(func() { results[i*len(cfg.Seeds)+j] = experiment.Run(cfg, policy, seed) })
		}
	}
	runs.Wait()
	if err := experiment.WriteTable(e.stdout, results); err != nil || c.Plot == "" {
		return err
	}
	file, err := os.Create(c.Plot)
	if err != nil {
		return err
	}
	if err := experiment.WritePlot(file, results); err != nil {
		return err
	}
	return file.Close()
}
