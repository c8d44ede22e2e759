package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/adminapi"
)

// drainPollInterval is the time between two status requests to a daemon that is
// draining.
const drainPollInterval = time.Second

type drainCommand struct {
	adminFlags
	Wait bool `arg:"--wait" help:"wait until the daemon has stopped"`
}

// drainReport is the JSON output of the drain subcommand.
type drainReport struct {
	Admin   string `json:"admin"`
	Stopped bool   `json:"stopped"`
}

func (d *drainCommand) run(ctx context.Context, e *environment) error {
	c, err := d.newClient()
	if err != nil {
		return err
	}
	if err := c.Drain(ctx); err != nil {
		return err
	}
	if d.Wait {
		if err := waitUntilStopped(ctx, c, e); err != nil {
			return err
		}
	}
	e.printResult(drainReport{Admin: d.Admin, Stopped: d.Wait}, func(w io.Writer) {
		if d.Wait {
			fmt.Fprintf(w, "%s has stopped\n", d.Admin)
			return
		}
		fmt.Fprintf(w, "%s is draining\n", d.Admin)
	})
	return nil
}

// waitUntilStopped waits until the daemon no longer answers. Meanwhile, it prints
// the number of requests in flight every drainPollInterval.
func waitUntilStopped(ctx context.Context, c *adminapi.Client, e *environment) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		s, err := c.Status(ctx)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, adminapi.ErrUnreachable):
			return nil
		case err == nil:
			fmt.Fprintf(e.stderr, "%d requests in flight\n", s.Daemon.InFlight)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
