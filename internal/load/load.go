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
// It returns an error only if the configuration is unusable; failures of
// requests are in the report. If ctx is cancelled early, requests in progress
// are abandoned and the report is partial.
func Run(ctx context.Context, c Config) (Report, error) {
	c = c.withDefaults()
	if err := c.check(); err != nil {
		return Report{}, err
	}
	d := newDriver(c)
	defer d.client.CloseIdleConnections()
	refreshCtx, stopRefresh := context.WithCancel(ctx)
	defer stopRefresh()
	d.directory.refresh(ctx)
	go d.directory.refreshUntilDone(refreshCtx)
	start := time.Now()
	d.startArrivals(ctx, start)
	d.executions.Wait()
	report := d.recorder.buildReport(c, time.Since(start))
	if len(c.EngineURLs) > 0 {
		runs, unreadable := fetchRuns(ctx, c.EngineURLs)
		report.UnreadableRunRecords = unreadable
		report.ViolationList = append(report.ViolationList, checkRuns(d.recorder.reportedOutcomes, runs)...)
	}
	return report, nil
}

// driver holds the state that the executions of one run share.
type driver struct {
	cfg        Config
	client     *onesend.Client
	directory  *addressDirectory
	recorder   *recorder
	executions sync.WaitGroup
}

func newDriver(c Config) *driver {
	return &driver{
		cfg:       c,
		client:    onesend.NewClient(c.Deadline + c.DeadlineGracePeriod),
		directory: newAddressDirectory(c),
		recorder:  newRecorder(len(c.Callers)),
	}
}

// startArrivals starts each request at its planned time, without waiting for
// earlier requests to complete.
func (d *driver) startArrivals(ctx context.Context, start time.Time) {
	requests := newPlanner(d.cfg)
	due := start
	for {
		request := requests.next()
		due = due.Add(request.sincePrevious)
		if due.Sub(start) >= d.cfg.Duration {
			return
		}
		clock.Wait(ctx, time.Until(due))
		if ctx.Err() != nil {
			return
		}
		requestDue := due
		d.executions.Go(func() { d.runRequest(ctx, request, requestDue) })
	}
}

// runRequest executes one planned request and, concurrently, its resend to
// another daemon if one is planned.
func (d *driver) runRequest(ctx context.Context, r plannedRequest, due time.Time) {
	first := d.newExecution(r, due)
	address := d.directory.pickAddress("")
	outcomes := make([]outcome, 1, 2)
	var resends sync.WaitGroup
	if r.resend {
		outcomes = outcomes[:2]
		resends.Go(func() {
			clock.Wait(ctx, r.resendDelay)
			otherAddress := d.directory.pickAddress(address)
			outcomes[1] = d.runExecution(ctx, d.newExecution(r, time.Now()), otherAddress, false)
		})
	}
	outcomes[0] = d.runExecution(ctx, first, address, true)
	resends.Wait()
	d.recorder.addReportedOutcome(summariseOutcomes(r, outcomes))
}

func (d *driver) newExecution(r plannedRequest, due time.Time) *execution {
	return &execution{
		cfg: &d.cfg, caller: &d.cfg.Callers[r.caller], plan: r,
		client: d.client, directory: d.directory, recorder: d.recorder, plannedAt: due,
	}
}

// runExecution runs one execution, checks its answer and records its outcome.
// primary is false for a resend.
func (d *driver) runExecution(ctx context.Context, e *execution, address string, primary bool) outcome {
	o := e.run(ctx, address)
	elapsed := time.Since(e.plannedAt)
	cancelled := ctx.Err() != nil
	switch {
	case o.kind == outcomeAnswered:
		e.checkAnswer()
	case o.kind == outcomeLost && !cancelled && !d.cfg.AllowLost:
		e.recordViolation(LostRequest, fmt.Sprintf("number %d", e.plan.number))
	}
	d.recorder.recordOutcome(e, o, elapsed, primary)
	return o
}

// summariseOutcomes combines the outcomes of a request and its resend.
func summariseOutcomes(r plannedRequest, outcomes []outcome) reportedOutcome {
	summary := reportedOutcome{
		promptDigest: standin.PromptDigest(r.prompt),
		repeatable:   r.repeatable,
		allNotRun:    true,
		description:  fmt.Sprintf("number %d, key %q", r.number, r.key),
	}
	for _, o := range outcomes {
		summary.notRunIDs = append(summary.notRunIDs, o.notRunIDs...)
		summary.allNotRun = summary.allNotRun && o.kind == outcomeRefused && !o.interrupted
	}
	return summary
}
