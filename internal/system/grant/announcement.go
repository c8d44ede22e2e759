package grant

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/system/quarantine"
)

const (
	drainNoticeSends         = 6                      // sends of each drain notice
	contentDeathDelay        = 10 * time.Millisecond  // before a death is announced; other deaths until then may show that a data centre is lost
	lossAnnouncementInterval = time.Second            // between two announcements of the loss of a data centre
	resendInterval           = 150 * time.Millisecond // between the first two sends; doubled with each further one
)

// announcement is sent several times. A drain notice goes to the coordinator of
// its backend server, a suspicion to every daemon.
type announcement struct {
	nextSend  time.Time
	sent      int // number of sends
	drain     *DrainNotice
	suspicion *Suspicion
}

func (g *Grants) announce(now time.Time, a announcement) {
	a.nextSend = now
	if a.isContentDeath() {
		a.nextSend = now.Add(contentDeathDelay)
	}
	g.announcements = append(g.announcements, a)
	g.sendAnnouncements(now)
}

// sendAnnouncements sends the announcements that are due. A content death whose
// content counts as clean by now, as after a burst of deaths, is dropped. If it
// was not sent yet, the death is announced without the content, subject to
// mayAnnounceLoss.
func (g *Grants) sendAnnouncements(now time.Time) {
	var losses []Suspicion
	remaining := g.announcements[:0]
	for _, a := range g.announcements {
		if a.isContentDeath() && g.suspects.Check(now, a.suspicion.Digest) == quarantine.Clean {
			if a.sent == 0 && g.mayAnnounceLoss(now, a.suspicion.DataCentre) {
				losses = append(losses, Suspicion{Backend: a.suspicion.Backend, DataCentre: a.suspicion.DataCentre})
			}
			continue
		}
		if !a.nextSend.After(now) {
			g.sendAnnouncement(now, &a)
			a.nextSend = now.Add(resendInterval << a.sent)
			a.sent++
		}
		if a.sent < a.maxSends() {
			remaining = append(remaining, a)
		}
	}
	g.announcements = remaining
	for i := range losses {
		g.sendAnnouncement(now, &announcement{suspicion: &losses[i]})
	}
}

// mayAnnounceLoss reports whether to announce a death in a data centre that seems
// lost; one of many is enough. Other daemons need it for their verdict on content
// that was running there in isolation.
func (g *Grants) mayAnnounceLoss(now time.Time, dc entity.DataCentreID) bool {
	lastAnnounced := g.lossesAnnounced.Get(dc)
	if lastAnnounced != nil && now.Sub(*lastAnnounced) < lossAnnouncementInterval {
		return false
	}
	g.lossesAnnounced.Put(dc, &now)
	return true
}

// maxSends is lower for suspicions, which go to every daemon and are only hints.
func (a *announcement) maxSends() int {
	if a.suspicion != nil {
		return 2
	}
	return drainNoticeSends
}

// isContentDeath reports whether the announcement is a death that content may
// have caused.
func (a *announcement) isContentDeath() bool {
	return a.suspicion != nil && a.suspicion.Digest != (entity.Digest{}) && !a.suspicion.Cleared && a.suspicion.EntryVersion == 0
}

func (g *Grants) sendAnnouncement(now time.Time, a *announcement) {
	if a.drain != nil {
		s := g.servers.Get(a.drain.Backend)
		if s == nil || s.coordinator.id == g.cfg.Self {
			return
		}
		m := g.messageTo(now, s.coordinator.id, true)
		m.DrainNotices = append(m.DrainNotices, *a.drain)
		return
	}
	for i := range g.members.all {
		id := g.members.all[i].ID
		if id == g.cfg.Self {
			continue
		}
		m := g.messageTo(now, id, false)
		m.Suspicions = append(m.Suspicions, *a.suspicion)
	}
}

// recordContentDeath records that content was running on a backend server that
// died, and announces it. A backend server that was draining or is no longer
// listed did not die but was stopped.
func (g *Grants) recordContentDeath(now time.Time, acq *acquisition) {
	s := g.servers.Get(acq.backend.ID)
	if acq.Digest == (entity.Digest{}) || s == nil || s.draining {
		return
	}
	suspicion := Suspicion{
		Digest:     acq.Digest,
		Backend:    acq.backend.ID,
		DataCentre: acq.backend.Location.DataCentre,
		Isolated:   acq.isolated,
	}
	g.emit(event.Event{Number: event.ContentSuspected, At: now, Service: acq.Service, Request: acq.Request, Attempt: acq.Attempt, Backend: acq.backend.ID})
	g.applySuspicion(now, &suspicion)
	g.announce(now, announcement{suspicion: &suspicion})
}

// clearContent records that content has completed, and announces it if the
// content was suspect. Content in any other state, such as watched content, is
// cleared on this daemon only.
func (g *Grants) clearContent(now time.Time, acq *acquisition) {
	if !g.suspects.Suspected(acq.Digest) {
		return
	}
	if g.suspects.Check(now, acq.Digest) != quarantine.Suspect {
		g.suspects.Clear(acq.Digest)
		return
	}
	suspicion := Suspicion{Digest: acq.Digest, Cleared: true}
	g.emit(event.Event{Number: event.ContentCleared, At: now, Service: acq.Service, Request: acq.Request, Attempt: acq.Attempt, Backend: acq.backend.ID})
	g.applySuspicion(now, &suspicion)
	g.announce(now, announcement{suspicion: &suspicion})
}

func (g *Grants) applySuspicion(now time.Time, suspicion *Suspicion) {
	switch {
	case suspicion.EntryVersion != 0:
		g.suspects.Quarantine(now, quarantine.Entry{Digest: suspicion.Digest, Version: suspicion.EntryVersion})
	case suspicion.Digest == (entity.Digest{}):
		g.suspects.RecordLoss(now, suspicion.Backend, suspicion.DataCentre)
	case suspicion.Cleared:
		g.suspects.Clear(suspicion.Digest)
	default:
		g.suspects.RecordDeath(now, quarantine.Death{
			Digest: suspicion.Digest, Backend: suspicion.Backend, DataCentre: suspicion.DataCentre, Isolated: suspicion.Isolated,
		})
	}
}

// ApplyQuarantine applies a quarantine entry announced by another daemon.
func (g *Grants) ApplyQuarantine(now time.Time, d entity.Digest) {
	g.suspects.Quarantine(now, quarantine.Entry{Digest: d})
}

// announceQuarantine announces a quarantine entry made by this daemon.
func (g *Grants) announceQuarantine(now time.Time, entry quarantine.Entry) {
	g.ready.Quarantined = append(g.ready.Quarantined, entry.Digest)
	g.emit(event.Event{Number: event.ContentQuarantined, At: now, Detail: hexDigest(entry.Digest)})
	suspicion := Suspicion{Digest: entry.Digest, EntryVersion: entry.Version}
	g.announce(now, announcement{suspicion: &suspicion})
}
