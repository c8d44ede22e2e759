package fleet

import (
	"errors"
	"fmt"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

const (
	firstRefusal   = 30 * time.Second
	longestRefusal = 10 * time.Minute
	drainSlowEvery = 10 * time.Minute
	maxDrains      = 4 // of one service at once
)

// intent is an instance of ours: what has been recorded of it and what should
// be.
type intent struct {
	want      intentRow
	committed intentRow
	recorded  bool
	removed   bool // its row is to be deleted
	reserved  bool // its order is covered by the lease row's reserve

	since    time.Time // in its state, or known to this holder
	running  bool      // listed as running
	listed   bool      // has been listed since this daemon holds the lease
	absentAt time.Time // since when it has not been listed; zero: it is listed

	inFlight bool // an order is under way
	placed   bool // the order of this state has been answered
	tries    int
	retryAt  time.Time
	drained  bool      // nothing runs on it, and nothing will
	slowAt   time.Time // when to tell that it still drains
}

// refusal keeps a choice from being tried for a while.
type refusal struct {
	until time.Time
	last  time.Duration
}

// enter moves an intent on to a state.
func (p *planner) enter(now time.Time, i *intent, s intentState) {
	p.touch()
	i.want.State = s
	i.since = now
	i.inFlight, i.placed = false, false
	i.tries, i.retryAt = 0, time.Time{}
}

// startPlanned turns the plan's starts into intents. While the table is down
// they take reserved tokens, which the lease row has announced.
func (p *planner) startPlanned(now time.Time, starts []Start) {
	for _, s := range starts {
		i := &intent{since: now}
		if p.tableDown {
			if p.reserveLeft() == 0 {
				return
			}
			i.want.Token = reserveToken(p.svc.Name, p.lease.Term, p.reserveUsed)
			i.reserved = true
			p.reserveUsed++
		} else {
			i.want.Token = orderToken(p.svc.Name, p.lease.Term, p.orders)
			p.orders++
		}
		i.want.State = intentOrdered
		i.want.Choice = s.Choice
		p.intents.Put(i.want.Token, i)
		p.touch()
	}
}

// reserveLeft returns the reserved orders that may still be placed under the
// lease row as it was last recorded.
func (p *planner) reserveLeft() int {
	end := p.lease.ReserveFrom + p.lease.ReserveCount
	if p.reserveUsed < p.lease.ReserveFrom || p.reserveUsed >= end {
		return 0
	}
	return int(end - p.reserveUsed)
}

// drainPlanned turns the plan's drains into intents. A drain is never taken
// back.
func (p *planner) drainPlanned(now time.Time, tokens []string) {
	for _, t := range tokens {
		i := p.intents.Get(t)
		if i == nil || i.want.State != intentStarted || i.removed {
			continue
		}
		p.enter(now, i, intentDraining)
		i.slowAt = now.Add(drainSlowEvery)
	}
}

// dispatch places the orders whose intents have been recorded.
func (p *planner) dispatch(now time.Time) {
	for _, i := range p.intentsByToken() {
		if i.removed {
			continue
		}
		switch i.want.State {
		case intentOrdered:
			p.dispatchStart(now, i)
		case intentDraining:
			p.dispatchDrain(now, i)
		case intentStopping:
			p.dispatchStop(now, i)
		}
	}
}

// dispatchDue returns when dispatch has something to do that no input brings
// about.
func (p *planner) dispatchDue() time.Time {
	var due time.Time
	p.intents.All(func(_ string, i *intent) bool {
		switch {
		case i.removed || i.inFlight:
		case i.want.State == intentDraining && i.announced():
			due = earlier(due, i.slowAt)
		case i.want.State == intentOrdered && p.mayPlace(i), i.want.State == intentStopping && !i.placed && p.mayPlace(i):
			due = earlier(due, i.dueAt())
		}
		return true
	})
	return due
}

func (i *intent) dueAt() time.Time {
	if i.retryAt.IsZero() {
		return i.since
	}
	return i.retryAt
}

// mayPlace says whether an intent's order is covered by what is recorded.
func (p *planner) mayPlace(i *intent) bool {
	return i.reserved && i.want.State == intentOrdered || i.recorded && i.committed.State == i.want.State
}

func (p *planner) dispatchStart(now time.Time, i *intent) {
	if i.inFlight || !p.mayPlace(i) || now.Before(i.retryAt) {
		return
	}
	i.inFlight = true
	c := i.want.Choice
	p.sys.ready.Cloud = append(p.sys.ready.Cloud, CloudOrder{
		Service: p.svc.Name, Kind: StartInstance, Token: i.want.Token, Fence: p.fence,
		Order: provider.Order{
			Token: i.want.Token, DataCentre: c.DataCentre, Class: c.Class, Market: c.Market,
			Tags: map[string]string{ServiceTag: string(p.svc.Name), TokenTag: i.want.Token},
		},
	})
	p.emit(now, event.FleetStartOrdered, "", c.String())
}

// announced says that a drain has been recorded and told.
func (i *intent) announced() bool { return i.placed }

func (p *planner) dispatchDrain(now time.Time, i *intent) {
	if !i.announced() && p.mayPlace(i) {
		p.announceDrain(i)
		p.emit(now, event.FleetDrainStarted, i.want.Instance, i.want.Choice.String())
	}
	if i.announced() && i.drained && p.mayStop(now) {
		p.enter(now, i, intentStopping)
		return
	}
	if i.announced() && !now.Before(i.slowAt) {
		i.slowAt = now.Add(drainSlowEvery)
		p.emit(now, event.FleetDrainSlow, i.want.Instance, "")
	}
}

func (p *planner) announceDrain(i *intent) {
	i.placed = true
	if i.slowAt.IsZero() {
		i.slowAt = i.since.Add(drainSlowEvery)
	}
	p.sys.ready.Drain = append(p.sys.ready.Drain, entity.BackendServerID(i.want.Instance))
}

// drained notes that an instance may be stopped.
func (p *planner) drained(id entity.InstanceID) {
	i := p.findInstance(id)
	if p.role == roleHolder && i != nil && i.want.State == intentDraining && i.announced() {
		i.drained = true
		p.touch()
	}
}

// mayStop says whether another stop may be recorded. Backend servers that
// ignore fencing numbers are stopped one at a time: the next when the list
// shows that the last is gone, and none before every order of an earlier
// holder has ended.
func (p *planner) mayStop(now time.Time) bool {
	if p.svc.Fleet.ChecksFences {
		return true
	}
	settled := p.takenAt.Add(p.sys.cfg.TakeoverWait)
	if now.Before(settled) || p.sys.listing.at.Before(settled) {
		return false
	}
	stopping := false
	p.intents.All(func(_ string, i *intent) bool {
		stopping = stopping || i.want.State == intentStopping
		return !stopping
	})
	return !stopping
}

func (p *planner) dispatchStop(now time.Time, i *intent) {
	if i.inFlight || i.placed || !p.mayPlace(i) || now.Before(i.retryAt) {
		return
	}
	i.inFlight = true
	p.sys.ready.Cloud = append(p.sys.ready.Cloud, CloudOrder{
		Service: p.svc.Name, Kind: StopInstance, Token: i.want.Token, Fence: p.fence, Instance: i.want.Instance,
	})
	p.emit(now, event.FleetStopOrdered, i.want.Instance, "")
}

// ordered takes the outcome of an order.
func (p *planner) ordered(now time.Time, r CloudResult) {
	i := p.intents.Get(r.Token)
	if p.role != roleHolder || i == nil || !i.inFlight {
		return
	}
	i.inFlight = false
	p.touch()
	switch {
	case r.Kind == StartInstance && i.want.State == intentOrdered:
		p.startOrdered(now, i, r)
	case r.Kind == StopInstance && i.want.State == intentStopping:
		p.stopOrdered(now, i, r)
	}
	p.planSoon(now)
}

func (p *planner) startOrdered(now time.Time, i *intent, r CloudResult) {
	switch {
	case r.Err == nil:
		p.started(now, i, r.Instance.ID)
	case errors.Is(r.Err, provider.ErrRefused):
		p.refused(now, i)
	default:
		p.retryOrder(now, i, r.Err)
	}
}

func (p *planner) started(now time.Time, i *intent, id entity.InstanceID) {
	i.want.Instance = id
	p.enter(now, i, intentStarted)
	p.emit(now, event.FleetStarted, id, i.want.Choice.String())
}

// refused gives an order up and keeps its choice from being tried for a while.
func (p *planner) refused(now time.Time, i *intent) {
	old := p.refusals.Get(i.want.Choice)
	wait := firstRefusal
	if old != nil {
		wait = min(2*old.last, longestRefusal)
	}
	p.refusals.Put(i.want.Choice, &refusal{until: now.Add(p.jitter(wait)), last: wait})
	p.emit(now, event.FleetStartRefused, "", i.want.Choice.String())
	p.remove(i)
}

func (p *planner) stopOrdered(now time.Time, i *intent, r CloudResult) {
	if r.Err == nil || errors.Is(r.Err, provider.ErrNotFound) {
		i.placed = true // the row stays until the list shows that it is gone
		return
	}
	p.retryOrder(now, i, r.Err)
}

// retryOrder sends the same order again later: its token, or its instance,
// makes that harmless.
func (p *planner) retryOrder(now time.Time, i *intent, err error) {
	i.tries++
	i.retryAt = now.Add(p.jitter(backoff(i.tries)))
	if errors.Is(err, provider.ErrUnknownOutcome) {
		p.emit(now, event.FleetOrderUncertain, i.want.Instance, fmt.Sprintf("%s, try %d", i.want.Choice, i.tries))
	}
}

// remove has the row deleted, or forgets an intent that was never recorded.
func (p *planner) remove(i *intent) {
	i.removed = true
	p.touch()
	if !i.recorded && !p.recording(i) {
		p.intents.Delete(i.want.Token)
	}
}

// recording says whether the transaction under way writes the intent.
func (p *planner) recording(i *intent) bool {
	if p.change == nil {
		return false
	}
	for _, it := range p.change.items {
		if it.intent == i {
			return true
		}
	}
	return false
}
