package fleet

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

const (
	standbyCount     = 3                // number of daemons that watch one service's lease row
	minPlanInterval  = time.Second      // minimum time between two plans
	planInterval     = 10 * time.Second // time after a plan at which the next one is made without further input
	idlePollInterval = 5 * time.Second  // daemons that are not standbys check again after 1 to 2 intervals
)

// role is what this daemon does for a service.
type role uint8

const (
	roleWatching role = iota // does not hold the lease; may watch its row
	roleLoading              // holds the lease and is reading the intents
	roleHolder               // holds the lease and plans
	roleClosed               // the service is not managed any more
)

// planner plans one service.
type planner struct {
	sys  *System
	svc  entity.Service
	role role

	// Used while watching the lease row.
	pollAt      time.Time
	polling     bool
	seenVersion uint64    // last version seen of the lease row; 0: none
	seenSince   time.Time // when that version was first seen

	// Used while holding the lease.
	lease        leaseRow
	fence        uint64 // last known version of the lease row
	renewAt      time.Time
	transaction  *pendingTransaction // the transaction in flight or to be retried; nil: none
	leaseTakenAt time.Time
	tableDown    bool
	intents      *entity.Table[string, intent]
	dirty        bool   // an intent may differ from its recorded state
	nextLaunch   uint64 // number of this term's next launch
	nextReserve  uint64 // number of this term's next reserved launch
	removedAt    map[entity.InstanceID]time.Time
	refusals     *entity.Table[Choice, refusal]
	rates        rateTable
	load         loadWindow
	plan         Plan
	planAt       time.Time
	plannedAt    time.Time

	loadAfter      string    // sort key after which the next page of intents starts
	loadAt         time.Time // when to read that page; zero: no read is due
	intentsChanged bool      // an intent has changed since the last dispatch
	dispatchAt     time.Time // when dispatch is due without further input
}

func newPlanner(s *System, now time.Time) *planner {
	p := &planner{sys: s}
	p.startWatching(now)
	return p
}

// startWatching makes this daemon a watcher and clears all state of a lease
// holder.
func (p *planner) startWatching(now time.Time) {
	p.role = roleWatching
	p.transaction = nil
	p.intents = entity.NewTable[string, intent]()
	p.removedAt = make(map[entity.InstanceID]time.Time)
	p.refusals = entity.NewTable[Choice, refusal]()
	p.seenVersion, p.seenSince = 0, time.Time{}
	p.loadAt, p.dispatchAt = time.Time{}, time.Time{}
	p.dirty, p.intentsChanged = false, false
	p.plan = Plan{}
	p.pollAt = now.Add(p.jitter(p.pollInterval()))
}

// close ends the planner of a service that is not managed any more.
func (p *planner) close(now time.Time) {
	p.release(now)
	p.role = roleClosed
}

func (p *planner) tick(now time.Time) {
	switch p.role {
	case roleWatching:
		p.poll(now)
	case roleLoading:
		p.commit(now)
		p.loadIntents(now)
	case roleHolder:
		p.replan(now)
		p.advance(now)
	case roleClosed:
	}
}

// advance records changed intents and starts the cloud operations that are due.
func (p *planner) advance(now time.Time) {
	p.commit(now)
	if p.intentsChanged || !p.dispatchAt.IsZero() && !now.Before(p.dispatchAt) {
		p.intentsChanged = false
		p.dispatch(now)
		p.dispatchAt = p.dispatchDue()
	}
}

// markChanged notes that an intent has changed.
func (p *planner) markChanged() { p.intentsChanged, p.dirty = true, true }

// deadline returns when tick is due next.
func (p *planner) deadline() time.Time {
	switch p.role {
	case roleWatching:
		if p.polling {
			return time.Time{}
		}
		return p.pollAt
	case roleHolder:
		d := earliestNonZero(p.commitDue(), p.planAt)
		if p.intentsChanged {
			d = earliestNonZero(d, p.plannedAt)
		}
		return earliestNonZero(d, p.dispatchAt)
	case roleLoading:
		return earliestNonZero(p.commitDue(), p.loadAt)
	default:
		return time.Time{}
	}
}

// isStandby reports whether this daemon is among the standbyCount daemons that
// watch the lease row: those with the highest weight by rendezvous hashing
// (Thaler and Ravishankar, 1998).
func (p *planner) isStandby() bool {
	if p.sys.leaving {
		return false
	}
	if len(p.sys.members) == 0 {
		return true
	}
	selfWeight := p.rendezvousWeight(p.sys.cfg.Self)
	higherWeights := 0
	for _, m := range p.sys.members {
		if m != p.sys.cfg.Self && p.rendezvousWeight(m) > selfWeight {
			higherWeights++
		}
	}
	return higherWeights < standbyCount
}

func (p *planner) rendezvousWeight(m entity.InstanceID) uint64 {
	return xxhash.Sum64String(string(p.svc.Name) + "\x00" + string(m))
}

func (p *planner) pollInterval() time.Duration { return p.sys.cfg.LeaseDuration / 3 }

// jitter returns a random duration from half of d to d.
func (p *planner) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(p.sys.cfg.Rand.Int64N(int64(d/2)+1))
}

// schedulePlan has a new plan made, at the earliest minPlanInterval after the
// last one.
func (p *planner) schedulePlan(now time.Time) {
	at := p.plannedAt.Add(minPlanInterval)
	if at.Before(now) {
		at = now
	}
	p.planAt = earliestNonZero(p.planAt, at)
}

// intentsByToken returns the intents sorted by token, so that the order does
// not depend on the order of inputs.
func (p *planner) intentsByToken() []*intent {
	out := make([]*intent, 0, p.intents.Len())
	p.intents.All(func(_ string, i *intent) bool {
		out = append(out, i)
		return true
	})
	slices.SortFunc(out, func(a, b *intent) int {
		if a.desired.Token < b.desired.Token {
			return -1
		}
		return 1
	})
	return out
}

// intentOfInstance returns the intent of an instance, or nil.
func (p *planner) intentOfInstance(id entity.InstanceID) *intent {
	var found *intent
	p.intents.All(func(_ string, i *intent) bool {
		if i.desired.Instance == id && !i.removed {
			found = i
		}
		return found == nil
	})
	return found
}

func (p *planner) emit(now time.Time, n event.Number, id entity.InstanceID, detail string) {
	p.sys.emit(event.Event{Number: n, At: now, Service: p.svc.Name, Backend: entity.BackendServerID(id), Detail: detail})
}
