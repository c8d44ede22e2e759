package grant

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/routing"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// chooseCandidates chooses candidates and reports whether there are any. If not,
// the acquisition is refused, deferred or, before a further round, delayed.
func (g *Grants) chooseCandidates(now time.Time, acq *acquisition) bool {
	sv := g.services.Get(acq.Service)
	if sv == nil {
		g.refuse(now, acq, verdict.New(verdict.NotRun, "unknown-service", "no such service"))
		return false
	}
	pool := g.candidates(now, sv, acq)
	if len(pool) == 0 {
		g.deferAcquisition(now, acq)
		return false
	}
	if acq.rounds > 0 && acq.rounds%2 == 0 {
		acq.rounds++
		g.scheduleAcquisition(acq, now.Add(roundPause))
		return false
	}
	acq.rounds++
	acq.deferred = false
	acq.bestFull = ""
	if acq.watched {
		pool = watchedPool(pool, acq.Digest)
	}
	acq.candidates = g.cfg.Policy.Choose(now, g.cfg.Rand, g.routingQuery(acq), pool, g.cfg.MaxProbes)
	if acq.isolated {
		acq.candidates = acq.candidates[:1]
		return true
	}
	if server, ok := shortestQueue(now, sv, g.servers, acq.candidates); ok {
		acq.bestFull, acq.candidates = server, nil
	}
	return true
}

func (g *Grants) routingQuery(acq *acquisition) routing.Query {
	return routing.Query{Location: g.cfg.Location, Service: acq.Service, Prefix: acq.Prefix, Priority: acq.Priority}
}

// shortestQueue returns the candidate with the shortest queue if recent hints
// say that none has a free slot, so that probing them would be useless.
func shortestQueue(now time.Time, sv *service, servers *entity.Table[entity.BackendServerID, server], ids []entity.BackendServerID) (entity.BackendServerID, bool) {
	var best entity.BackendServerID
	minLoad := 0.0
	for _, id := range ids {
		c := servers.Get(id).candidate()
		if c.ReportedAt.IsZero() || now.Sub(c.ReportedAt) > hintTTL || c.Busy < c.Slots {
			return "", false
		}
		load := float64(c.Queued) / float64(max(c.Slots, 1))
		if best == "" || load < minLoad {
			best, minLoad = id, load
		}
	}
	return best, best != ""
}

// hintTTL is the age up to which a hint that a backend server has no free
// slot is trusted.
const hintTTL = 50 * time.Millisecond

// candidates returns the servers that may run the attempt. Servers to avoid, and
// then excluded ones, are allowed if no other is left.
func (g *Grants) candidates(now time.Time, sv *service, acq *acquisition) []routing.Candidate {
	pool := g.filterCandidates(now, sv, acq, true, true)
	if len(pool) == 0 {
		pool = g.filterCandidates(now, sv, acq, true, false)
	}
	if len(pool) == 0 {
		pool = g.filterCandidates(now, sv, acq, false, false)
	}
	if acq.isolated && acq.Only == "" && !acq.Resume {
		pool = isolationServer(g.liveCandidates(now, pool), acq.Digest)
	}
	return pool
}

// filterCandidates returns the service's servers that may run the attempt: with
// exclude, none that the attempt excludes, and with avoid, none that is being
// avoided. The result is valid until the next call.
func (g *Grants) filterCandidates(now time.Time, sv *service, acq *acquisition, exclude, avoid bool) []routing.Candidate {
	g.pool = g.pool[:0]
	for i, s := range sv.servers {
		switch {
		case s.draining && !acq.Resume:
		case acq.Only != "" && acq.Only != s.backend.ID:
		case exclude && excluded(acq, s.backend.ID):
		case avoid && now.Before(s.avoidUntil):
		default:
			g.pool = append(g.pool, sv.pool[i])
		}
	}
	return g.pool
}

func excluded(acq *acquisition, id entity.BackendServerID) bool {
	for _, e := range acq.Exclude {
		if e == id {
			return true
		}
	}
	return false
}

// deferAcquisition delays an acquisition for which no backend server takes
// work, and refuses it after MaxDeferral if it has no deadline.
func (g *Grants) deferAcquisition(now time.Time, acq *acquisition) {
	if acq.Deadline.IsZero() && now.Sub(acq.since) >= g.cfg.MaxDeferral {
		err := verdict.New(verdict.NotRun, "no-capacity", "no backend server takes work")
		g.refuse(now, acq, verdict.WithRetryAfter(err, overloadedRetryDelay))
		return
	}
	acq.deferred = true
	g.scheduleAcquisition(acq, now.Add(deferredRetryInterval))
}

func (g *Grants) retryDeferred(now time.Time) {
	for _, k := range g.acquisitions.Keys() {
		if acq := g.acquisitions.Get(k); acq.deferred {
			g.scheduleAcquisition(acq, now)
		}
	}
}
