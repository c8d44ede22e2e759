package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/adminapi"
)

const drainPoll = time.Second

type drain struct {
	remote
	Wait bool `arg:"--wait" help:"wait until the daemon has stopped"`
}

// drainReport is the result in JSON.
type drainReport struct {
	Admin   string `json:"admin"`
	Stopped bool   `json:"stopped"`
}

func (d *drain) run(ctx context.Context, e *environment) error {
	c, err := d.client()
	if err != nil {
		return err
	}
	if err := c.Drain(ctx); err != nil {
		return err
	}
	if d.Wait {
		if err := waitStopped(ctx, c, e); err != nil {
			return err
		}
	}
	e.print(drainReport{Admin: d.Admin, Stopped: d.Wait}, func(w io.Writer) {
		if d.Wait {
			fmt.Fprintf(w, "%s has stopped\n", d.Admin)
			return
		}
		fmt.Fprintf(w, "%s is draining\n", d.Admin)
	})
	return nil
}

// waitStopped tells the requests left until the daemon no longer answers.
func waitStopped(ctx context.Context, c *adminapi.Client, e *environment) error {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for {
		s, err := c.Status(ctx)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, adminapi.ErrUnreachable):
			return nil
		case err == nil:
			fmt.Fprintf(e.err, "%d requests in flight\n", s.Daemon.InFlight)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
