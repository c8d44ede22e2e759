package load

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/clock"
	"github.com/gooseberryslip/gooseberryslip/internal/provider/onesend"
	"github.com/gooseberryslip/gooseberryslip/internal/standin"
)

// Run sends requests for the configured duration and waits for their outcomes.
// It returns an error only if the configuration is unusable; what went wrong
// with the requests is in the report. When ctx ends early, what is under way
// is given up and the report is partial.
func Run(ctx context.Context, c Config) (Report, error) {
	c = c.withDefaults()
	if err := c.check(); err != nil {
		return Report{}, err
	}
	d := newDriver(c)
	defer d.http.CloseIdleConnections()
	keeping, stop := context.WithCancel(ctx)
	defer stop()
	d.dir.refresh(ctx)
	go d.dir.keep(keeping)
	start := time.Now()
	d.arrivals(ctx, start)
	d.running.Wait()
	report := d.record.report(c, time.Since(start))
	if len(c.EngineURLs) > 0 {
		runs, missing := fetchRuns(ctx, c.EngineURLs)
		report.MissingRuns = missing
		report.Broken = append(report.Broken, checkRuns(d.record.told, runs)...)
	}
	return report, nil
}

// driver holds what the executions of one run share.
type driver struct {
	cfg     Config
	http    *onesend.Client
	dir     *directory
	record  *recorder
	running sync.WaitGroup
}

func newDriver(c Config) *driver {
	return &driver{
		cfg:    c,
		http:   onesend.NewClient(c.Deadline + c.Patience),
		dir:    newDirectory(c),
		record: newRecorder(len(c.Callers)),
	}
}

// arrivals starts each request when it is due, whatever became of the earlier
// ones.
func (d *driver) arrivals(ctx context.Context, start time.Time) {
	p := newPlanner(d.cfg)
	due := start
	for {
		r := p.next()
		due = due.Add(r.wait)
		if due.Sub(start) >= d.cfg.Duration {
			return
		}
		clock.Wait(ctx, time.Until(due))
		if ctx.Err() != nil {
			return
		}
		at := due
		d.running.Go(func() { d.request(ctx, r, at) })
	}
}

// request executes one planned request, and its resend beside it.
func (d *driver) request(ctx context.Context, r planned, due time.Time) {
	first := d.execution(r, due)
	address := d.dir.pick("")
	outcomes := make([]outcome, 1, 2)
	var beside sync.WaitGroup
	if r.resend {
		outcomes = outcomes[:2]
		beside.Go(func() {
			clock.Wait(ctx, r.resendWait)
			other := d.dir.pick(address)
			outcomes[1] = d.execute(ctx, d.execution(r, time.Now()), other, false)
		})
	}
	outcomes[0] = d.execute(ctx, first, address, true)
	beside.Wait()
	d.record.tell(toldBy(r, outcomes))
}

func (d *driver) execution(r planned, due time.Time) *execution {
	return &execution{
		cfg: &d.cfg, caller: &d.cfg.Callers[r.caller], plan: r,
		http: d.http, dir: d.dir, record: d.record, planned: due,
	}
}

func (d *driver) execute(ctx context.Context, e *execution, address string, primary bool) outcome {
	o := e.run(ctx, address)
	took := time.Since(e.planned)
	cutShort := ctx.Err() != nil
	switch {
	case o.kind == outcomeAnswered:
		e.checkAnswer()
	case o.kind == outcomeLost && !cutShort && !d.cfg.AllowLost:
		e.violate(Lost, fmt.Sprintf("number %d", e.plan.number))
	}
	d.record.finish(e, o, took, primary)
	return o
}

// toldBy sums up what a request's caller has been told.
func toldBy(r planned, outcomes []outcome) told {
	t := told{
		digest:      standin.PromptDigest(r.prompt),
		repeatable:  r.repeatable,
		allNotRun:   true,
		description: fmt.Sprintf("number %d, key %q", r.number, r.key),
	}
	for _, o := range outcomes {
		t.notRun = append(t.notRun, o.notRun...)
		t.allNotRun = t.allNotRun && o.kind == outcomeRefused && !o.broken
	}
	return t
}
