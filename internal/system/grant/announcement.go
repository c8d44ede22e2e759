package grant

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/system/quarantine"
)

const (
	newsRepeats  = 6                      // sends of each piece of news
	gatherTime   = 10 * time.Millisecond  // other deaths may show that a data centre is lost
	lossInterval = time.Second            // between two tellings of the loss of a data centre
	newsInterval = 150 * time.Millisecond // between the first two; then twice that, and so on
)

// repeatedNews is told several times. News of leaving goes to the coordinator
// of its backend server, a suspicion to every daemon.
type repeatedNews struct {
	at        time.Time
	sent      int
	leaving   *Leaving
	suspicion *Suspicion
}

func (g *Grants) spread(now time.Time, n repeatedNews) {
	n.at = now
	if n.accuses() {
		n.at = now.Add(gatherTime)
	}
	g.news = append(g.news, n)
	g.repeatNews(now)
}

// repeatNews sends the news that is due.
func (g *Grants) repeatNews(now time.Time) {
	var lost []Suspicion
	kept := g.news[:0]
	for _, n := range g.news {
		if n.accuses() && g.suspects.Check(now, n.suspicion.Digest) == quarantine.Innocent {
			if n.sent == 0 && g.lossIsNews(now, n.suspicion.DataCentre) {
				lost = append(lost, Suspicion{Backend: n.suspicion.Backend, DataCentre: n.suspicion.DataCentre})
			}
			continue
		}
		if !n.at.After(now) {
			g.tell(now, &n)
			n.at = now.Add(newsInterval << n.sent)
			n.sent++
		}
		if n.sent < n.repeats() {
			kept = append(kept, n)
		}
	}
	g.news = kept
	for i := range lost {
		g.tell(now, &repeatedNews{suspicion: &lost[i]})
	}
}

// lossIsNews reports whether the others are to be told of a death in a data
// centre that seems lost; one of many will do. They need it to judge content
// that was running alone there.
func (g *Grants) lossIsNews(now time.Time, dc entity.DataCentreID) bool {
	told := g.losses.Get(dc)
	if told != nil && now.Sub(*told) < lossInterval {
		return false
	}
	g.losses.Put(dc, &now)
	return true
}

// repeats is lower for suspicions, which go to every daemon and are only
// advice.
func (n *repeatedNews) repeats() int {
	if n.suspicion != nil {
		return 2
	}
	return newsRepeats
}

// accuses reports whether the news is a death that content may have caused.
func (n *repeatedNews) accuses() bool {
	return n.suspicion != nil && n.suspicion.Digest != (entity.Digest{}) && !n.suspicion.Cleared && n.suspicion.Convicted == 0
}

func (g *Grants) tell(now time.Time, n *repeatedNews) {
	if n.leaving != nil {
		s := g.servers.Get(n.leaving.Backend)
		if s == nil || s.coordinator.id == g.cfg.Self {
			return
		}
		m := g.send(now, s.coordinator.id, true)
		m.Leaving = append(m.Leaving, *n.leaving)
		return
	}
	for i := range g.members.all {
		id := g.members.all[i].ID
		if id == g.cfg.Self {
			continue
		}
		m := g.send(now, id, false)
		m.Suspicions = append(m.Suspicions, *n.suspicion)
	}
}

// suspect records that content was running on a backend server that died, and
// tells the others. One that was leaving, or is no longer listed, was stopped.
func (g *Grants) suspect(now time.Time, w *want) {
	s := g.servers.Get(w.backend.ID)
	if w.Digest == (entity.Digest{}) || s == nil || s.leaving {
		return
	}
	part := Suspicion{
		Digest:     w.Digest,
		Backend:    w.backend.ID,
		DataCentre: w.backend.Place.DataCentre,
		Alone:      w.alone,
	}
	g.emit(event.Event{Number: event.ContentSuspected, At: now, Service: w.Service, Request: w.Request, Attempt: w.Attempt, Backend: w.backend.ID})
	g.learnSuspicion(now, &part)
	g.spread(now, repeatedNews{suspicion: &part})
}

// clear records that content has completed. The others are told if it was
// suspect; what a lost data centre made innocent again is no news.
func (g *Grants) clear(now time.Time, w *want) {
	if !g.suspects.Suspected(w.Digest) {
		return
	}
	if g.suspects.Check(now, w.Digest) != quarantine.Suspect {
		g.suspects.Cleared(w.Digest)
		return
	}
	part := Suspicion{Digest: w.Digest, Cleared: true}
	g.emit(event.Event{Number: event.ContentCleared, At: now, Service: w.Service, Request: w.Request, Attempt: w.Attempt, Backend: w.backend.ID})
	g.learnSuspicion(now, &part)
	g.spread(now, repeatedNews{suspicion: &part})
}

func (g *Grants) learnSuspicion(now time.Time, p *Suspicion) {
	switch {
	case p.Convicted != 0:
		g.suspects.Convict(now, quarantine.Conviction{Digest: p.Digest, Version: p.Convicted})
	case p.Digest == (entity.Digest{}):
		g.suspects.Lost(now, p.Backend, p.DataCentre)
	case p.Cleared:
		g.suspects.Cleared(p.Digest)
	default:
		g.suspects.Died(now, quarantine.Death{
			Digest: p.Digest, Backend: p.Backend, DataCentre: p.DataCentre, Alone: p.Alone,
		})
	}
}

// Convicted takes a conviction that another daemon has spread.
func (g *Grants) Convicted(now time.Time, d entity.Digest) {
	g.suspects.Convict(now, quarantine.Conviction{Digest: d})
}

// convict spreads a conviction that this daemon has made.
func (g *Grants) convict(now time.Time, c quarantine.Conviction) {
	g.ready.Convictions = append(g.ready.Convictions, c.Digest)
	g.emit(event.Event{Number: event.ContentConvicted, At: now, Detail: hexDigest(c.Digest)})
	part := Suspicion{Digest: c.Digest, Convicted: c.Version}
	g.spread(now, repeatedNews{suspicion: &part})
}
