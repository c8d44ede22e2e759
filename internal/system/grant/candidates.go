package grant

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/routing"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// choose finds candidates and reports whether there are any; without, the
// want is parked.
func (g *Grants) choose(now time.Time, w *want) bool {
	sv := g.services.Get(w.Service)
	if sv == nil {
		g.refuse(now, w, verdict.New(verdict.NotRun, "unknown-service", "no such service"))
		return false
	}
	pool := g.candidates(now, sv, w)
	if len(pool) == 0 {
		g.park(now, w)
		return false
	}
	if w.rounds > 0 && w.rounds%2 == 0 {
		w.rounds++
		g.wakeWant(w, now.Add(roundPause))
		return false
	}
	w.rounds++
	w.parked = false
	w.best = ""
	if w.watched {
		pool = spread(pool, w.Digest)
	}
	w.candidates = g.cfg.Policy.Choose(now, g.cfg.Rand, g.routingQuery(w), pool, g.cfg.MaxProbes)
	if w.alone {
		w.candidates = w.candidates[:1]
		return true
	}
	if full, ok := leastWait(now, sv, g.servers, w.candidates); ok {
		w.best, w.candidates = full, nil
	}
	return true
}

func (g *Grants) routingQuery(w *want) routing.Query {
	return routing.Query{Place: g.cfg.Place, Service: w.Service, Prefix: w.Prefix, Priority: w.Priority}
}

// leastWait returns the candidate with the shortest queue if all are known,
// by fresh news, to have no free slot. Then asking them first is idle.
func leastWait(now time.Time, sv *service, servers *entity.Table[entity.BackendServerID, server], ids []entity.BackendServerID) (entity.BackendServerID, bool) {
	var best entity.BackendServerID
	least := 0.0
	for _, id := range ids {
		c := servers.Get(id).candidate()
		if c.At.IsZero() || now.Sub(c.At) > freshHint || c.Busy < c.Slots {
			return "", false
		}
		load := float64(c.Queued) / float64(max(c.Slots, 1))
		if best == "" || load < least {
			best, least = id, load
		}
	}
	return best, best != ""
}

// freshHint is the age up to which a full backend server counts as full.
const freshHint = 50 * time.Millisecond

// candidates returns the servers that may run the want. Exclusions are kept
// only while something else remains.
func (g *Grants) candidates(now time.Time, sv *service, w *want) []routing.Candidate {
	pool := g.filter(now, sv, w, true, true)
	if len(pool) == 0 {
		pool = g.filter(now, sv, w, true, false)
	}
	if len(pool) == 0 {
		pool = g.filter(now, sv, w, false, false)
	}
	if w.alone && w.Only == "" && !w.Resume {
		pool = ward(g.living(now, pool), w.Digest)
	}
	return pool
}

func (g *Grants) filter(now time.Time, sv *service, w *want, exclude, avoid bool) []routing.Candidate {
	g.pool = g.pool[:0]
	for i, s := range sv.servers {
		switch {
		case s.leaving && !w.Resume:
		case w.Only != "" && w.Only != s.backend.ID:
		case exclude && excluded(w, s.backend.ID):
		case avoid && now.Before(s.avoid):
		default:
			g.pool = append(g.pool, sv.pool[i])
		}
	}
	return g.pool
}

func excluded(w *want, id entity.BackendServerID) bool {
	for _, e := range w.Exclude {
		if e == id {
			return true
		}
	}
	return false
}

// park keeps a want for which no backend server takes work.
func (g *Grants) park(now time.Time, w *want) {
	if w.Deadline.IsZero() && now.Sub(w.since) >= g.cfg.ParkLimit {
		err := verdict.New(verdict.NotRun, "no-capacity", "no backend server takes work")
		g.refuse(now, w, verdict.WithRetryAfter(err, overloadedBack))
		return
	}
	w.parked = true
	g.wakeWant(w, now.Add(parkedRetry))
}

func (g *Grants) wakeParked(now time.Time) {
	for _, k := range g.wants.Keys() {
		if w := g.wants.Get(k); w.parked {
			g.wakeWant(w, now)
		}
	}
}
