package fleet

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

const (
	standbys      = 3 // daemons that watch one service's lease row
	planPause     = time.Second
	planEvery     = 10 * time.Second
	idlePollEvery = 5 * time.Second // of a daemon that does not stand by
)

// role is what this daemon does for a service.
type role uint8

const (
	roleWatching role = iota // watches the lease row, or stands aside
	roleLoading              // holds the lease and reads the intents
	roleHolder
	roleClosed
)

// planner plans one service.
type planner struct {
	sys  *System
	svc  entity.Service
	role role

	// As a watcher.
	pollAt  time.Time
	polling bool
	seen    uint64    // the lease row's version; 0: no row
	seenAt  time.Time // when it was first seen

	// As the holder.
	lease       leaseRow
	fence       uint64 // the lease row's version
	renewAt     time.Time
	change      *change // the transaction under way
	takenAt     time.Time
	tableDown   bool
	intents     *entity.Table[string, intent]
	dirty       bool   // an intent may differ from what is recorded
	orders      uint64 // numbers of this term that have been used
	reserveUsed uint64 // reserve numbers that have been used
	removed     map[entity.InstanceID]time.Time
	refusals    *entity.Table[Choice, refusal]
	rates       rateBook
	load        loadWindow
	plan        Plan
	planAt      time.Time
	plannedAt   time.Time

	reload  string    // the sort key after which intents are read next
	readAt  time.Time // when; zero: no read is due
	touched bool      // an intent has changed since the last commit and dispatch
	orderAt time.Time // when an order is due that no input brings about
}

func newPlanner(s *System, now time.Time) *planner {
	p := &planner{sys: s}
	p.watch(now)
	return p
}

// watch makes this daemon a watcher that knows nothing.
func (p *planner) watch(now time.Time) {
	p.role = roleWatching
	p.change = nil
	p.intents = entity.NewTable[string, intent]()
	p.removed = make(map[entity.InstanceID]time.Time)
	p.refusals = entity.NewTable[Choice, refusal]()
	p.seen, p.seenAt = 0, time.Time{}
	p.readAt, p.orderAt = time.Time{}, time.Time{}
	p.dirty, p.touched = false, false
	p.plan = Plan{}
	p.pollAt = now.Add(p.jitter(p.pollEvery()))
}

// close ends the planner: its service is not managed any more.
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

// advance records and orders what has changed or is due.
func (p *planner) advance(now time.Time) {
	p.commit(now)
	if p.touched || !p.orderAt.IsZero() && !now.Before(p.orderAt) {
		p.touched = false
		p.dispatch(now)
		p.orderAt = p.dispatchDue()
	}
}

// touch notes that an intent has changed.
func (p *planner) touch() { p.touched, p.dirty = true, true }

// deadline returns when tick is due next.
func (p *planner) deadline() time.Time {
	switch p.role {
	case roleWatching:
		if p.polling {
			return time.Time{}
		}
		return p.pollAt
	case roleHolder:
		d := earlier(p.commitDue(), p.planAt)
		if p.touched {
			d = earlier(d, p.plannedAt)
		}
		return earlier(d, p.orderAt)
	case roleLoading:
		return earlier(p.commitDue(), p.readAt)
	default:
		return time.Time{}
	}
}

// standsBy says whether this daemon is among the few that watch the lease row:
// those with the highest weight by rendezvous hashing (Thaler and Ravishankar,
// 1998).
func (p *planner) standsBy() bool {
	if p.sys.leaving {
		return false
	}
	if len(p.sys.members) == 0 {
		return true
	}
	own := p.weight(p.sys.cfg.Self)
	above := 0
	for _, m := range p.sys.members {
		if m != p.sys.cfg.Self && p.weight(m) > own {
			above++
		}
	}
	return above < standbys
}

func (p *planner) weight(m entity.InstanceID) uint64 {
	return xxhash.Sum64String(string(p.svc.Name) + "\x00" + string(m))
}

func (p *planner) pollEvery() time.Duration { return p.sys.cfg.LeaseTerm / 3 }

// jitter returns a time from half of d to d.
func (p *planner) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(p.sys.cfg.Rand.Int64N(int64(d/2)+1))
}

// planSoon has the plan made again, but not at every change.
func (p *planner) planSoon(now time.Time) {
	at := p.plannedAt.Add(planPause)
	if at.Before(now) {
		at = now
	}
	p.planAt = earlier(p.planAt, at)
}

// intentsByToken returns the intents in order of their tokens, which no input
// order changes.
func (p *planner) intentsByToken() []*intent {
	out := make([]*intent, 0, p.intents.Len())
	p.intents.All(func(_ string, i *intent) bool {
		out = append(out, i)
		return true
	})
	slices.SortFunc(out, func(a, b *intent) int {
		if a.want.Token < b.want.Token {
			return -1
		}
		return 1
	})
	return out
}

// findInstance returns the intent of an instance, or nil.
func (p *planner) findInstance(id entity.InstanceID) *intent {
	var found *intent
	p.intents.All(func(_ string, i *intent) bool {
		if i.want.Instance == id && !i.removed {
			found = i
		}
		return found == nil
	})
	return found
}

func (p *planner) emit(now time.Time, n event.Number, id entity.InstanceID, detail string) {
	p.sys.emit(event.Event{Number: n, At: now, Service: p.svc.Name, Backend: entity.BackendServerID(id), Detail: detail})
}
