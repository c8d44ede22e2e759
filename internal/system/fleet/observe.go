package fleet

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

const (
	// absenceGrace is how long an instance may be missing from the platform's
	// list, which lags, before it counts as gone.
	absenceGrace = 5 * time.Minute
	// removedRetention is how long the ID of an instance that is gone is
	// remembered, so that an older list which still contains it does not make
	// it count as a new one.
	removedRetention = 30 * time.Minute
)

// belongsToService reports whether an instance carries this service's tag.
func (p *planner) belongsToService(i provider.Instance) bool {
	return i.Tags[ServiceTag] == string(p.svc.Name)
}

// reconcile compares the intents with the platform's list of instances.
func (p *planner) reconcile(now time.Time) {
	if p.role != roleHolder {
		return
	}
	p.rates.observe(now, p.servingReclaimable())
	p.expireRemoved(now)
	p.markChanged()
	listed := make(map[string]bool)
	for _, inst := range p.sys.listing.instances {
		if !p.belongsToService(inst) {
			continue
		}
		if i := p.match(now, inst); i != nil {
			listed[i.desired.Token] = true
			p.applyListedState(now, i, inst.State)
		}
	}
	for _, i := range p.intentsByToken() {
		if !listed[i.desired.Token] {
			p.handleAbsence(now, i)
		}
	}
	p.schedulePlan(now)
}

// match returns the intent of a listed instance. If there is none, it creates
// one: an instance of this service without an intent was launched by a previous
// lease holder, with a reserved token or for an intent that has been removed
// since.
func (p *planner) match(now time.Time, inst provider.Instance) *intent {
	if i := p.intentOfInstance(inst.ID); i != nil {
		return i
	}
	if _, gone := p.removedAt[inst.ID]; gone {
		return nil
	}
	token := inst.Tags[TokenTag]
	if i := p.intents.Get(token); token != "" && i != nil && i.desired.State == intentRequested && !i.removed {
		p.markStarted(now, i, inst.ID)
		return i
	}
	if inst.State != provider.Pending && inst.State != provider.Running {
		return nil
	}
	return p.adopt(now, inst)
}

func (p *planner) adopt(now time.Time, inst provider.Instance) *intent {
	i := &intent{stateSince: now}
	i.desired = intentRow{
		Token: adoptedToken(inst.ID), State: intentStarted, Instance: inst.ID,
		Choice: Choice{DataCentre: inst.DataCentre, Class: inst.Class, Market: inst.Market},
	}
	if p.intents.Get(i.desired.Token) != nil {
		return nil // an earlier intent of this instance is still being removed from the table
	}
	p.intents.Put(i.desired.Token, i)
	p.markChanged()
	p.emit(now, event.FleetAdopted, inst.ID, i.desired.Choice.String())
	return i
}

// applyListedState applies the state in which the platform lists an intent's
// instance.
func (p *planner) applyListedState(now time.Time, i *intent, s provider.InstanceState) {
	i.listed = true
	i.absentSince = time.Time{}
	i.running = s == provider.Running
	if s == provider.Stopped || s == provider.Leaving && i.desired.State != intentStopping {
		p.markGone(now, i)
	}
}

// handleAbsence handles an intent whose instance is missing from the platform's
// list. As the list lags, the instance counts as gone only after absenceGrace.
func (p *planner) handleAbsence(now time.Time, i *intent) {
	if i.desired.Instance == "" || i.removed {
		return
	}
	if i.absentSince.IsZero() {
		i.absentSince = now
	}
	if now.Sub(i.absentSince) >= absenceGrace {
		p.markGone(now, i)
	}
}

// handleReclaimNotice handles the announced reclaim of an instance before the
// platform's list shows it.
func (p *planner) handleReclaimNotice(now time.Time, id entity.InstanceID) {
	if i := p.intentOfInstance(id); p.role == roleHolder && i != nil && i.desired.State != intentStopping {
		p.markGone(now, i)
	}
}

// markGone removes the intent of an instance that has ended or that the cloud is
// about to reclaim.
func (p *planner) markGone(now time.Time, i *intent) {
	if i.desired.State == intentStopping {
		p.emit(now, event.FleetStopped, i.desired.Instance, "")
	} else {
		p.emit(now, event.FleetServerLost, i.desired.Instance, i.desired.Choice.String())
		if i.desired.Choice.Market == provider.Reclaimable {
			p.rates.addReclaim(i.desired.Choice)
		}
	}
	p.removedAt[i.desired.Instance] = now
	p.removeIntent(i)
	p.schedulePlan(now)
}

func (p *planner) expireRemoved(now time.Time) {
	for id, at := range p.removedAt {
		if now.Sub(at) > removedRetention {
			delete(p.removedAt, id)
		}
	}
}

// servingReclaimable returns the choice of each reclaimable instance that is
// running.
func (p *planner) servingReclaimable() []Choice {
	var out []Choice
	p.intents.All(func(_ string, i *intent) bool {
		if i.running && !i.removed && i.desired.Choice.Market == provider.Reclaimable {
			out = append(out, i.desired.Choice)
		}
		return true
	})
	return out
}

// replan makes a new plan when one is due and records its starts and drains as
// intents.
func (p *planner) replan(now time.Time) {
	if p.planAt.IsZero() || now.Before(p.planAt) {
		return
	}
	p.plannedAt = now
	p.planAt = now.Add(planInterval)
	if !p.hasListAndPrices() {
		return
	}
	targetWasUnmet := p.plan.TargetUnmet
	p.plan = MakePlan(p.state(now))
	if p.plan.TargetUnmet && !targetWasUnmet {
		p.emit(now, event.FleetBelowTarget, "", "")
	}
	p.startPlanned(now, p.plan.Start)
	p.drainPlanned(now, p.plan.Drain)
}

// hasListAndPrices reports whether prices are known and a list of instances has
// arrived since this daemon took the lease. Without such a list, instances that
// have no intent would be unknown.
func (p *planner) hasListAndPrices() bool {
	return !p.sys.listing.receivedAt.Before(p.leaseTakenAt) && !p.sys.listing.receivedAt.IsZero() && len(p.sys.prices) > 0
}

// state returns the input of MakePlan.
func (p *planner) state(now time.Time) State {
	s := State{
		Service: p.svc.Name, Policy: p.svc.Fleet, Prices: p.sys.prices,
		Rates: p.rates.rows(), Refused: p.refusedChoices(now), WarmUp: p.sys.cfg.WarmUp,
		MayStart: p.sys.cfg.MaxPendingStarts, MayDrain: maxConcurrentDrains,
	}
	serving := 0
	for _, i := range p.intentsByToken() {
		if i.removed {
			continue
		}
		server := Server{Token: i.desired.Token, Choice: i.desired.Choice, State: i.serverState()}
		s.Servers = append(s.Servers, server)
		switch {
		case server.State == Serving:
			serving++
		case i.desired.State == intentRequested:
			s.MayStart--
		case server.State == Draining:
			s.MayDrain--
		}
	}
	s.Need = p.load.need(now, p.sys.cfg.ScaleInDelay, serving)
	p.limitWhileTableDown(&s)
	return s
}

// limitWhileTableDown limits the plan while intents cannot be recorded: no
// drains, and no more starts than there are reserved launches. It also raises
// negative limits to 0.
func (p *planner) limitWhileTableDown(s *State) {
	s.MayStart = max(s.MayStart, 0)
	s.MayDrain = max(s.MayDrain, 0)
	if p.tableDown {
		s.MayStart = min(s.MayStart, p.reserveLeft())
		s.MayDrain = 0
	}
}

func (i *intent) serverState() ServerState {
	switch {
	case i.desired.State == intentDraining || i.desired.State == intentStopping:
		return Draining
	case i.running:
		return Serving
	default:
		return Starting
	}
}

// refusedChoices returns the choices that are not to be tried now. It forgets a
// refusal once maxRefusalDelay has passed since the choice may be tried again.
func (p *planner) refusedChoices(now time.Time) []Choice {
	var out []Choice
	for _, c := range p.refusals.Keys() {
		r := p.refusals.Get(c)
		switch {
		case now.Before(r.until):
			out = append(out, c)
		case now.Sub(r.until) > maxRefusalDelay:
			p.refusals.Delete(c)
		}
	}
	return out
}
