package fleet

import (
	"errors"
	"fmt"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/system/backoff"
)

const (
	initialRefusalDelay = 30 * time.Second // before a choice that was refused once is tried again
	maxRefusalDelay     = 10 * time.Minute
	slowDrainInterval   = 10 * time.Minute // between events about a drain that has not ended
	maxConcurrentDrains = 4                // drains that one service may have in progress
)

// intent is what should become of one instance of the service, and what has
// been recorded of that.
type intent struct {
	desired   intentRow
	committed intentRow // as last written to the table
	recorded  bool      // the table has a row for the intent
	removed   bool      // the row is to be deleted
	reserved  bool      // the launch uses a reserved token, which the lease row announces

	stateSince  time.Time // when it entered its state, or when this daemon first knew of it
	running     bool      // the platform lists the instance as running
	listed      bool      // the platform has listed the instance since this daemon holds the lease
	absentSince time.Time // since when the list lacks the instance; zero: it is listed

	inFlight    bool // a cloud operation is in flight
	answered    bool // the stop request has been accepted, or the drain has been announced
	tries       int
	retryAt     time.Time
	drained     bool      // nothing runs on its backend server any more
	slowDrainAt time.Time // when to report next that it is still draining
}

// refusal is a choice for which the cloud had no capacity, and the delay before
// it is tried again.
type refusal struct {
	until time.Time
	delay time.Duration // before jitter; the next refusal doubles it
}

// enterState moves an intent to its next state.
func (p *planner) enterState(now time.Time, i *intent, s intentState) {
	p.markChanged()
	i.desired.State = s
	i.stateSince = now
	i.inFlight, i.answered = false, false
	i.tries, i.retryAt = 0, time.Time{}
}

// startPlanned creates intents for the starts of a plan. While the table is
// down, their launches use reserved tokens, which the lease row has announced.
func (p *planner) startPlanned(now time.Time, starts []Start) {
	for _, s := range starts {
		i := &intent{stateSince: now}
		if p.tableDown {
			if p.reserveLeft() == 0 {
				return
			}
			i.desired.Token = reserveToken(p.svc.Name, p.lease.Term, p.nextReserve)
			i.reserved = true
			p.nextReserve++
		} else {
			i.desired.Token = launchToken(p.svc.Name, p.lease.Term, p.nextLaunch)
			p.nextLaunch++
		}
		i.desired.State = intentRequested
		i.desired.Choice = s.Choice
		p.intents.Put(i.desired.Token, i)
		p.markChanged()
	}
}

// reserveLeft returns how many reserved launches the last recorded lease row
// still allows.
func (p *planner) reserveLeft() int {
	end := p.lease.ReserveFrom + p.lease.ReserveCount
	if p.nextReserve < p.lease.ReserveFrom || p.nextReserve >= end {
		return 0
	}
	return int(end - p.nextReserve)
}

// drainPlanned moves the intents that the plan drains to the draining state. A
// drain is never cancelled.
func (p *planner) drainPlanned(now time.Time, tokens []string) {
	for _, t := range tokens {
		i := p.intents.Get(t)
		if i == nil || i.desired.State != intentStarted || i.removed {
			continue
		}
		p.enterState(now, i, intentDraining)
		i.slowDrainAt = now.Add(slowDrainInterval)
	}
}

// dispatch starts the cloud operations and drains whose intents have been
// recorded.
func (p *planner) dispatch(now time.Time) {
	for _, i := range p.intentsByToken() {
		if i.removed {
			continue
		}
		switch i.desired.State {
		case intentRequested:
			p.dispatchStart(now, i)
		case intentDraining:
			p.dispatchDrain(now, i)
		case intentStopping:
			p.dispatchStop(now, i)
		}
	}
}

// dispatchDue returns when dispatch must be called next if no input arrives
// before.
func (p *planner) dispatchDue() time.Time {
	var due time.Time
	p.intents.All(func(_ string, i *intent) bool {
		switch {
		case i.removed || i.inFlight:
		case i.desired.State == intentDraining && i.announced():
			due = earliestNonZero(due, i.slowDrainAt)
		case i.desired.State == intentRequested && p.mayDispatch(i), i.desired.State == intentStopping && !i.answered && p.mayDispatch(i):
			due = earliestNonZero(due, i.dispatchAt())
		}
		return true
	})
	return due
}

func (i *intent) dispatchAt() time.Time {
	if i.retryAt.IsZero() {
		return i.stateSince
	}
	return i.retryAt
}

// mayDispatch reports whether the recorded state allows the intent's cloud
// operation or drain to start.
func (p *planner) mayDispatch(i *intent) bool {
	return i.reserved && i.desired.State == intentRequested || i.recorded && i.committed.State == i.desired.State
}

func (p *planner) dispatchStart(now time.Time, i *intent) {
	if i.inFlight || !p.mayDispatch(i) || now.Before(i.retryAt) {
		return
	}
	i.inFlight = true
	c := i.desired.Choice
	p.sys.ready.Cloud = append(p.sys.ready.Cloud, CloudOperation{
		Service: p.svc.Name, Kind: StartInstance, Token: i.desired.Token, Fence: p.fence,
		Launch: provider.LaunchRequest{
			Token: i.desired.Token, DataCentre: c.DataCentre, Class: c.Class, Market: c.Market,
			Tags: map[string]string{ServiceTag: string(p.svc.Name), TokenTag: i.desired.Token},
		},
	})
	p.emit(now, event.FleetLaunchRequested, "", c.String())
}

// announced reports whether a drain has been recorded and passed on to the
// caller.
func (i *intent) announced() bool { return i.answered }

func (p *planner) dispatchDrain(now time.Time, i *intent) {
	if !i.announced() && p.mayDispatch(i) {
		p.announceDrain(i)
		p.emit(now, event.FleetDrainStarted, i.desired.Instance, i.desired.Choice.String())
	}
	if i.announced() && i.drained && p.mayStop(now) {
		p.enterState(now, i, intentStopping)
		return
	}
	if i.announced() && !now.Before(i.slowDrainAt) {
		i.slowDrainAt = now.Add(slowDrainInterval)
		p.emit(now, event.FleetDrainSlow, i.desired.Instance, "")
	}
}

func (p *planner) announceDrain(i *intent) {
	i.answered = true
	if i.slowDrainAt.IsZero() {
		i.slowDrainAt = i.stateSince.Add(slowDrainInterval)
	}
	p.sys.ready.Drain = append(p.sys.ready.Drain, entity.BackendServerID(i.desired.Instance))
}

// markDrained records that nothing runs on an instance any more, so that it may
// be stopped.
func (p *planner) markDrained(id entity.InstanceID) {
	i := p.intentOfInstance(id)
	if p.role == roleHolder && i != nil && i.desired.State == intentDraining && i.announced() {
		i.drained = true
		p.markChanged()
	}
}

// mayStop reports whether another stop may be recorded. Backend servers that
// ignore fencing tokens are stopped one at a time: the next one only when the
// platform's list shows that the last one is gone. None is stopped before every
// cloud operation of a previous lease holder has ended.
func (p *planner) mayStop(now time.Time) bool {
	if p.svc.Fleet.ChecksFences {
		return true
	}
	waitEnd := p.leaseTakenAt.Add(p.sys.cfg.TakeoverWait)
	if now.Before(waitEnd) || p.sys.listing.receivedAt.Before(waitEnd) {
		return false
	}
	stopping := false
	p.intents.All(func(_ string, i *intent) bool {
		stopping = stopping || i.desired.State == intentStopping
		return !stopping
	})
	return !stopping
}

func (p *planner) dispatchStop(now time.Time, i *intent) {
	if i.inFlight || i.answered || !p.mayDispatch(i) || now.Before(i.retryAt) {
		return
	}
	i.inFlight = true
	p.sys.ready.Cloud = append(p.sys.ready.Cloud, CloudOperation{
		Service: p.svc.Name, Kind: StopInstance, Token: i.desired.Token, Fence: p.fence, Instance: i.desired.Instance,
	})
	p.emit(now, event.FleetStopRequested, i.desired.Instance, "")
}

// handleCloudResult handles the outcome of a cloud operation.
func (p *planner) handleCloudResult(now time.Time, r CloudResult) {
	i := p.intents.Get(r.Token)
	if p.role != roleHolder || i == nil || !i.inFlight {
		return
	}
	i.inFlight = false
	p.markChanged()
	switch {
	case r.Kind == StartInstance && i.desired.State == intentRequested:
		p.handleStartResult(now, i, r)
	case r.Kind == StopInstance && i.desired.State == intentStopping:
		p.handleStopResult(now, i, r)
	}
	p.schedulePlan(now)
}

func (p *planner) handleStartResult(now time.Time, i *intent, r CloudResult) {
	switch {
	case r.Err == nil:
		p.markStarted(now, i, r.Instance.ID)
	case errors.Is(r.Err, provider.ErrRefused):
		p.markRefused(now, i)
	default:
		p.scheduleRetry(now, i, r.Err)
	}
}

func (p *planner) markStarted(now time.Time, i *intent, id entity.InstanceID) {
	i.desired.Instance = id
	p.enterState(now, i, intentStarted)
	p.emit(now, event.FleetStarted, id, i.desired.Choice.String())
}

// markRefused removes the intent of a refused launch and delays the next try of
// its choice.
func (p *planner) markRefused(now time.Time, i *intent) {
	old := p.refusals.Get(i.desired.Choice)
	wait := initialRefusalDelay
	if old != nil {
		wait = min(2*old.delay, maxRefusalDelay)
	}
	p.refusals.Put(i.desired.Choice, &refusal{until: now.Add(p.jitter(wait)), delay: wait})
	p.emit(now, event.FleetLaunchRefused, "", i.desired.Choice.String())
	p.removeIntent(i)
}

func (p *planner) handleStopResult(now time.Time, i *intent, r CloudResult) {
	if r.Err == nil || errors.Is(r.Err, provider.ErrNotFound) {
		i.answered = true // the row stays until the list shows that the instance is gone
		return
	}
	p.scheduleRetry(now, i, r.Err)
}

// scheduleRetry has the same cloud operation sent again after a delay. Its
// token, or its instance's ID, makes the resend harmless.
func (p *planner) scheduleRetry(now time.Time, i *intent, err error) {
	i.tries++
	i.retryAt = now.Add(p.jitter(backoff.Delay(initialRetryDelay, maxRetryDelay, i.tries)))
	if errors.Is(err, provider.ErrUnknownOutcome) {
		p.emit(now, event.FleetLaunchUncertain, i.desired.Instance, fmt.Sprintf("%s, try %d", i.desired.Choice, i.tries))
	}
}

// removeIntent has an intent's row deleted, or forgets an intent that was never
// recorded.
func (p *planner) removeIntent(i *intent) {
	i.removed = true
	p.markChanged()
	if !i.recorded && !p.isBeingWritten(i) {
		p.intents.Delete(i.desired.Token)
	}
}

// isBeingWritten reports whether the transaction in flight writes the intent.
func (p *planner) isBeingWritten(i *intent) bool {
	if p.transaction == nil {
		return false
	}
	for _, it := range p.transaction.items {
		if it.intent == i {
			return true
		}
	}
	return false
}
