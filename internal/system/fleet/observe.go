package fleet

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

const (
	// absentGrace is how long an instance may be missing from the lagging list
	// before it counts as gone.
	absentGrace = 5 * time.Minute
	// removedKept is how long an instance that is gone is not taken for a new
	// one when an older list shows it again.
	removedKept = 30 * time.Minute
)

// ours says whether an instance is tagged as this service's.
func (p *planner) ours(i provider.Instance) bool {
	return i.Tags[ServiceTag] == string(p.svc.Name)
}

// reconcile compares the intents with the platform's list.
func (p *planner) reconcile(now time.Time) {
	if p.role != roleHolder {
		return
	}
	p.rates.observe(now, p.servingReclaimable())
	p.forgetRemoved(now)
	p.touch()
	listed := make(map[string]bool)
	for _, inst := range p.sys.listing.instances {
		if !p.ours(inst) {
			continue
		}
		if i := p.match(now, inst); i != nil {
			listed[i.want.Token] = true
			p.seenAs(now, i, inst.State)
		}
	}
	for _, i := range p.intentsByToken() {
		if !listed[i.want.Token] {
			p.notListed(now, i)
		}
	}
	p.planSoon(now)
}

// match returns the intent of a listed instance, and makes one for an instance
// of ours without: an order of an earlier holder whose intent was reserved or
// given up.
func (p *planner) match(now time.Time, inst provider.Instance) *intent {
	if i := p.findInstance(inst.ID); i != nil {
		return i
	}
	if _, gone := p.removed[inst.ID]; gone {
		return nil
	}
	token := inst.Tags[TokenTag]
	if i := p.intents.Get(token); token != "" && i != nil && i.want.State == intentOrdered && !i.removed {
		p.started(now, i, inst.ID)
		return i
	}
	if inst.State != provider.Pending && inst.State != provider.Running {
		return nil
	}
	return p.adopt(now, inst)
}

func (p *planner) adopt(now time.Time, inst provider.Instance) *intent {
	i := &intent{since: now}
	i.want = intentRow{
		Token: adoptedToken(inst.ID), State: intentStarted, Instance: inst.ID,
		Choice: Choice{DataCentre: inst.DataCentre, Class: inst.Class, Market: inst.Market},
	}
	if p.intents.Get(i.want.Token) != nil {
		return nil // its removal is being recorded
	}
	p.intents.Put(i.want.Token, i)
	p.touch()
	p.emit(now, event.FleetAdopted, inst.ID, i.want.Choice.String())
	return i
}

// seenAs takes the listed state of an instance.
func (p *planner) seenAs(now time.Time, i *intent, s provider.InstanceState) {
	i.listed = true
	i.absentAt = time.Time{}
	i.running = s == provider.Running
	if s == provider.Gone || s == provider.Leaving && i.want.State != intentStopping {
		p.gone(now, i)
	}
}

// notListed takes the absence of an intent's instance from the list, which
// lags.
func (p *planner) notListed(now time.Time, i *intent) {
	if i.want.Instance == "" || i.removed {
		return
	}
	if i.absentAt.IsZero() {
		i.absentAt = now
	}
	if now.Sub(i.absentAt) >= absentGrace {
		p.gone(now, i)
	}
}

// reclaimed takes an announced reclaim before the list shows it.
func (p *planner) reclaimed(now time.Time, id entity.InstanceID) {
	if i := p.findInstance(id); p.role == roleHolder && i != nil && i.want.State != intentStopping {
		p.gone(now, i)
	}
}

// gone ends an instance's intent.
func (p *planner) gone(now time.Time, i *intent) {
	if i.want.State == intentStopping {
		p.emit(now, event.FleetStopped, i.want.Instance, "")
	} else {
		p.emit(now, event.FleetServerLost, i.want.Instance, i.want.Choice.String())
		if i.want.Choice.Market == provider.Reclaimable {
			p.rates.reclaim(i.want.Choice)
		}
	}
	p.removed[i.want.Instance] = now
	p.remove(i)
	p.planSoon(now)
}

func (p *planner) forgetRemoved(now time.Time) {
	for id, at := range p.removed {
		if now.Sub(at) > removedKept {
			delete(p.removed, id)
		}
	}
}

// servingReclaimable returns the choices of the reclaimable instances that run.
func (p *planner) servingReclaimable() []Choice {
	var out []Choice
	p.intents.All(func(_ string, i *intent) bool {
		if i.running && !i.removed && i.want.Choice.Market == provider.Reclaimable {
			out = append(out, i.want.Choice)
		}
		return true
	})
	return out
}

// replan makes the plan when it is due and turns it into intents.
func (p *planner) replan(now time.Time) {
	if p.planAt.IsZero() || now.Before(p.planAt) {
		return
	}
	p.plannedAt = now
	p.planAt = now.Add(planEvery)
	if !p.informed() {
		return
	}
	wasShort := p.plan.Short
	p.plan = MakePlan(p.state(now))
	if p.plan.Short && !wasShort {
		p.emit(now, event.FleetShort, "", "")
	}
	p.startPlanned(now, p.plan.Start)
	p.drainPlanned(now, p.plan.Drain)
}

// informed says whether a list has come since this daemon took the lease, so
// that instances without an intent are known, and prices.
func (p *planner) informed() bool {
	return !p.sys.listing.at.Before(p.takenAt) && !p.sys.listing.at.IsZero() && len(p.sys.prices) > 0
}

// state returns what the plan depends on.
func (p *planner) state(now time.Time) State {
	s := State{
		Service: p.svc.Name, Policy: p.svc.Fleet, Prices: p.sys.prices,
		Rates: p.rates.rows(), Refused: p.refusedNow(now), WarmUp: p.sys.cfg.WarmUp,
		MayStart: p.sys.cfg.MaxOutstanding, MayDrain: maxDrains,
	}
	serving := 0
	for _, i := range p.intentsByToken() {
		if i.removed {
			continue
		}
		server := Server{Token: i.want.Token, Choice: i.want.Choice, State: i.serverState()}
		s.Servers = append(s.Servers, server)
		switch {
		case server.State == Serving:
			serving++
		case i.want.State == intentOrdered:
			s.MayStart--
		case server.State == Leaving:
			s.MayDrain--
		}
	}
	s.Need = p.load.need(now, p.sys.cfg.Window, serving)
	p.restrict(&s)
	return s
}

// restrict keeps a holder that cannot record from draining, and from starting
// more than the reserve.
func (p *planner) restrict(s *State) {
	s.MayStart = max(s.MayStart, 0)
	s.MayDrain = max(s.MayDrain, 0)
	if p.tableDown {
		s.MayStart = min(s.MayStart, p.reserveLeft())
		s.MayDrain = 0
	}
}

func (i *intent) serverState() ServerState {
	switch {
	case i.want.State == intentDraining || i.want.State == intentStopping:
		return Leaving
	case i.running:
		return Serving
	default:
		return Starting
	}
}

// refusedNow returns the choices that are not to be tried now, and forgets
// those whose time has been over for long.
func (p *planner) refusedNow(now time.Time) []Choice {
	var out []Choice
	for _, c := range p.refusals.Keys() {
		r := p.refusals.Get(c)
		switch {
		case now.Before(r.until):
			out = append(out, c)
		case now.Sub(r.until) > longestRefusal:
			p.refusals.Delete(c)
		}
	}
	return out
}
