package grant

import (
	"encoding/hex"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/system/quarantine"
	"github.com/gooseberryslip/gooseberryslip/internal/system/routing"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

const (
	avoidTime      = time.Second            // a server that did not answer is passed over
	disputeTime    = 5 * time.Second        // asks insist after a disagreement
	roundPause     = 50 * time.Millisecond  // between rounds that got nowhere
	maxReprobes    = 5                      // doublings of the time between reprobes
	parkedRetry    = time.Second            // a parked want is looked at again
	overloadedBack = 500 * time.Millisecond // time to come back when there is no capacity
	moveRatio      = 2                      // a queued ask moves where it waits less than one part in so many
	maxAskPrefixes = 2                      // prefixes that an ask carries
)

// Want asks for a grant. A Decision answers it. A repeated Want with the same
// request and attempt is ignored.
func (g *Grants) Want(now time.Time, w Want) {
	k := wantKey{w.Request, w.Attempt}
	if g.wants.Get(k) != nil {
		return
	}
	row := &want{Want: w, since: now}
	g.wants.Put(k, row)
	if !w.Deadline.IsZero() {
		g.wakeWant(row, w.Deadline)
	}
	g.advance(now, row)
	g.settle(now)
}

// Withdraw gives up a want that has no decision yet, or gives back its grant
// unused.
func (g *Grants) Withdraw(now time.Time, request entity.RequestID, attempt entity.AttemptNumber) {
	w := g.wants.Get(wantKey{request, attempt})
	if w == nil {
		return
	}
	g.withdrawAsks(now, w)
	if w.backend != nil {
		g.own(w.backend.ID, -1)
		m := g.send(now, w.coordinator, true)
		m.Withdrawn = append(m.Withdrawn, w.reference(w.backend.ID))
	}
	g.wants.Delete(w.key())
	g.settle(now)
}

// Release gives back a grant whose attempt has ended.
func (g *Grants) Release(now time.Time, request entity.RequestID, attempt entity.AttemptNumber, o Outcome) {
	w := g.wants.Get(wantKey{request, attempt})
	if w == nil || w.backend == nil {
		return
	}
	g.wants.Delete(w.key())
	g.own(w.backend.ID, -1)
	g.learnOutcome(now, w, o)
	part := Release{
		Reference:     w.reference(w.backend.ID),
		Kind:          o.Kind,
		Tokens:        o.Tokens,
		BetweenTokens: o.BetweenTokens.Microseconds(),
	}
	for _, to := range g.releaseTo(w) {
		m := g.send(now, to, false)
		m.Releases = append(m.Releases, part)
	}
	g.settle(now)
}

// releaseTo returns the daemon that gave the grant, if it lives, and the
// present coordinator.
func (g *Grants) releaseTo(w *want) []entity.InstanceID {
	var to []entity.InstanceID
	if g.members.find(w.coordinator) != nil {
		to = append(to, w.coordinator)
	}
	if s := g.servers.Get(w.backend.ID); s != nil && s.coordinator.id != w.coordinator {
		to = append(to, s.coordinator.id)
	}
	return to
}

// learnOutcome keeps what an attempt tells of its content and backend server.
func (g *Grants) learnOutcome(now time.Time, w *want, o Outcome) {
	s := g.servers.Get(w.backend.ID)
	switch o.Kind {
	case Completed:
		g.clear(now, w)
	case BackendDied:
		g.suspect(now, w)
	}
	if s == nil {
		return
	}
	if o.Kind == BackendDied || o.Kind == Refused {
		s.avoid = now.Add(avoidTime)
	}
	if o.BetweenTokens > 0 {
		c := s.candidate()
		c.Between = smooth(c.Between, o.BetweenTokens)
		routing.SetChances(s.service.pool)
	}
}

// advance takes an undecided want one step further.
func (g *Grants) advance(now time.Time, w *want) {
	if w.backend != nil {
		return
	}
	if !w.Deadline.IsZero() && !now.Before(w.Deadline) {
		g.refuse(now, w, verdict.New(verdict.NotRun, "deadline", "no backend server was free before the deadline"))
		return
	}
	if !g.cleared(now, w) || w.probing() != nil {
		return
	}
	if w.waiting() != nil {
		return
	}
	if len(w.candidates) == 0 && w.best == "" && !g.choose(now, w) {
		return
	}
	if len(w.candidates) > 0 {
		next := w.candidates[0]
		w.candidates = w.candidates[1:]
		g.ask(now, w, next, w.alone)
		return
	}
	best := w.best
	w.best = ""
	g.ask(now, w, best, true)
}

// cleared reports whether the content may run now.
func (g *Grants) cleared(now time.Time, w *want) bool {
	if w.Digest == (entity.Digest{}) {
		return true
	}
	standing := g.suspects.Check(now, w.Digest)
	switch standing {
	case quarantine.Convicted:
		g.refuse(now, w, verdict.New(verdict.NotRun, "convicted", "this content crashes backend servers"))
		return false
	case quarantine.Settling:
		g.withdrawAsks(now, w)
		g.wakeWant(w, later(now, g.suspects.Settled(w.Digest)))
		return false
	}
	w.watched = standing == quarantine.Watched
	if alone := standing == quarantine.Suspect; alone != w.alone {
		w.alone = alone
		g.withdrawAsks(now, w)
		w.candidates, w.best = nil, ""
	}
	return true
}

// ask sends an ask to the coordinator of a server.
func (g *Grants) ask(now time.Time, w *want, id entity.BackendServerID, wait bool) {
	s := g.servers.Get(id)
	if s == nil || s.leaving && !w.Resume {
		g.wakeWant(w, now)
		return
	}
	g.sequence++
	o := outstanding{
		backend: id, coordinator: s.coordinator.id, sequence: g.sequence, sent: now, wait: wait,
	}
	w.asks = append(w.asks, o)
	g.own(id, 1)
	m := g.send(now, o.coordinator, true)
	m.Asks = append(m.Asks, g.askPart(now, w, &o))
	g.wakeWant(w, now.Add(g.cfg.AskTimeout))
}

func (g *Grants) askPart(now time.Time, w *want, o *outstanding) Ask {
	a := Ask{
		Reference:    w.reference(o.backend),
		Sequence:     o.sequence,
		Organisation: w.Organisation,
		Priority:     w.Priority,
		Cost:         w.Cost,
		Prefix:       w.Prefix[max(0, len(w.Prefix)-maxAskPrefixes):],
		Wait:         o.wait,
		Alone:        w.alone,
		Resume:       w.Resume,
	}
	if s := g.servers.Get(o.backend); s != nil {
		a.Insist = now.Before(s.disputed)
	}
	if !w.Deadline.IsZero() {
		a.Left = max(1, w.Deadline.Sub(now).Microseconds())
	}
	return a
}

func (w *want) reference(id entity.BackendServerID) Reference {
	return Reference{Backend: id, Request: w.Request, Attempt: w.Attempt}
}

func (g *Grants) withdrawAsks(now time.Time, w *want) {
	for len(w.asks) > 0 {
		g.withdrawAsk(now, w, w.asks[0])
	}
}

func (g *Grants) withdrawAsk(now time.Time, w *want, o outstanding) {
	w.dropAsk(o.sequence)
	g.own(o.backend, -1)
	m := g.send(now, o.coordinator, true)
	m.Withdrawn = append(m.Withdrawn, w.reference(o.backend))
}

// refuse answers a want with an error.
func (g *Grants) refuse(now time.Time, w *want, err error) {
	g.withdrawAsks(now, w)
	g.wants.Delete(w.key())
	g.ready.Decisions = append(g.ready.Decisions, Decision{Request: w.Request, Attempt: w.Attempt, Err: err})
	g.emit(event.Event{
		Number: event.AskRefused, At: now, Service: w.Service, Request: w.Request, Attempt: w.Attempt,
		Detail: string(verdict.CodeOf(err)),
	})
}

// own counts this daemon's requests at a backend server.
func (g *Grants) own(id entity.BackendServerID, n int) {
	if s := g.servers.Get(id); s != nil {
		c := s.candidate()
		c.Own = max(0, c.Own+n)
	}
}

func hexDigest(d entity.Digest) string { return hex.EncodeToString(d[:]) }
