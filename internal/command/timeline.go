package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/adminapi"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/timeline"
)

type timelineOf struct {
	remote
	Request  string        `arg:"--request" placeholder:"ID" help:"only events of this request"`
	Service  string        `arg:"--service" placeholder:"NAME" help:"only events of this service"`
	Instance string        `arg:"--instance" placeholder:"ID" help:"only events that concern this daemon or backend server"`
	Since    time.Duration `arg:"--since" help:"only events of the last so long, such as 10m"`
	Level    string        `arg:"--level" default:"debug" help:"debug, info, warn or error"`
	Limit    int           `arg:"--limit" help:"at most so many events of each daemon, the latest"`
	HTML     string        `arg:"--html" placeholder:"FILE" help:"write a page for the browser"`
}

func (t *timelineOf) run(ctx context.Context, e *environment) error {
	filter, err := t.filter()
	if err != nil {
		return err
	}
	c, err := t.client()
	if err != nil {
		return err
	}
	line, err := gather(ctx, c, e, filter)
	if err != nil {
		return err
	}
	if t.HTML != "" {
		return writePage(t.HTML, line)
	}
	if e.output == "json" {
		e.json(line)
		return nil
	}
	return timeline.WriteText(e.out, line)
}

func (t *timelineOf) filter() (timeline.Filter, error) {
	level, err := event.ParseLevel(t.Level)
	if err != nil {
		return timeline.Filter{}, usage("--level: %v", err)
	}
	f := timeline.Filter{
		Request:  entity.RequestID(t.Request),
		Service:  entity.ServiceName(t.Service),
		Instance: t.Instance,
		Level:    level,
		Limit:    t.Limit,
	}
	if t.Since > 0 {
		f.Since = time.Now().Add(-t.Since)
	}
	return f, nil
}

// gather merges the events of a daemon and its peers. A peer that does not
// answer is told and left out.
func gather(ctx context.Context, c *adminapi.Client, e *environment, f timeline.Filter) (timeline.Timeline, error) {
	ask := func(ctx context.Context, c *adminapi.Client) (timeline.Export, error) { return c.Events(ctx, f) }
	own, err := ask(ctx, c)
	if err != nil {
		return timeline.Timeline{}, err
	}
	asked, err := c.Status(ctx)
	if err != nil {
		return timeline.Timeline{}, err
	}
	exports := []timeline.Export{own}
	for _, r := range askAll(ctx, c, asked.Peers, ask) {
		if r.err != nil {
			fmt.Fprintf(e.err, "%s is left out: %v\n", r.peer.Instance, r.err)
			continue
		}
		exports = append(exports, r.value)
	}
	return timeline.Merge(exports...), nil
}

func writePage(path string, line timeline.Timeline) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	err = timeline.WriteHTML(io.Writer(f), line)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}
