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

type timelineCommand struct {
	adminFlags
	Request  string        `arg:"--request" placeholder:"ID" help:"only events of this request"`
	Service  string        `arg:"--service" placeholder:"NAME" help:"only events of this service"`
	Instance string        `arg:"--instance" placeholder:"ID" help:"only events that concern this daemon or backend server"`
	Since    time.Duration `arg:"--since" help:"only events of this last period, such as 10m"`
	Level    string        `arg:"--level" default:"debug" help:"lowest level that is shown: debug, info, warn or error"`
	Limit    int           `arg:"--limit" help:"at most this many events of each daemon, the latest ones"`
	HTML     string        `arg:"--html" placeholder:"FILE" help:"write the timeline to this file as an HTML page instead"`
}

func (t *timelineCommand) run(ctx context.Context, e *environment) error {
	filter, err := t.filter()
	if err != nil {
		return err
	}
	c, err := t.newClient()
	if err != nil {
		return err
	}
	merged, err := mergeEvents(ctx, c, e, filter)
	if err != nil {
		return err
	}
	if t.HTML != "" {
		return writeHTMLFile(t.HTML, merged)
	}
	if e.format == "json" {
		e.printJSON(merged)
		return nil
	}
	return timeline.WriteText(e.stdout, merged)
}

func (t *timelineCommand) filter() (timeline.Filter, error) {
	level, err := event.ParseLevel(t.Level)
	if err != nil {
		return timeline.Filter{}, newUsageError("--level: %v", err)
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

// mergeEvents merges the events of a daemon and its peers. It leaves out a peer that
// does not answer, and prints so.
func mergeEvents(ctx context.Context, c *adminapi.Client, e *environment, f timeline.Filter) (timeline.Timeline, error) {
	fetch := func(ctx context.Context, c *adminapi.Client) (timeline.Export, error) { return c.Events(ctx, f) }
	export, err := fetch(ctx, c)
	if err != nil {
		return timeline.Timeline{}, err
	}
	queried, err := c.Status(ctx)
	if err != nil {
		return timeline.Timeline{}, err
	}
	exports := []timeline.Export{export}
	for _, r := range queryPeers(ctx, c, queried.Peers, fetch) {
		if r.err != nil {
			fmt.Fprintf(e.stderr, "%s is left out: %v\n", r.peer.Instance, r.err)
			continue
		}
		exports = append(exports, r.value)
	}
	return timeline.Merge(exports...), nil
}

func writeHTMLFile(path string, merged timeline.Timeline) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	err = timeline.WriteHTML(io.Writer(f), merged)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}
