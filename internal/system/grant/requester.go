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
	avoidDuration         = time.Second            // how long a server that refused, died or did not answer is avoided
	insistDuration        = 5 * time.Second        // how long after a disagreement on the coordinator requests set Insist
	roundPause            = 50 * time.Millisecond  // between two rounds of candidates without a grant
	maxReprobeDoublings   = 5                      // of the time between two probes
	deferredRetryInterval = time.Second            // between two checks of a deferred acquisition
	overloadedRetryDelay  = 500 * time.Millisecond // given to callers refused for lack of capacity
	minWaitRatio          = 2                      // a queued request moves if its wait is more than this many times the wait elsewhere
	maxRequestPrefixes    = 2                      // number of prefixes, the longest ones, that a request carries
)

// Acquire starts to acquire a grant. The result is a Decision. A call for a request
// and attempt that are already being acquired is ignored.
func (g *Grants) Acquire(now time.Time, a Acquisition) {
	k := acquisitionKey{a.Request, a.Attempt}
	if g.acquisitions.Get(k) != nil {
		return
	}
	acq := &acquisition{Acquisition: a, since: now}
	g.acquisitions.Put(k, acq)
	if !a.Deadline.IsZero() {
		g.scheduleAcquisition(acq, a.Deadline)
	}
	g.advance(now, acq)
	g.deliver(now)
}

// Withdraw cancels an acquisition that has no decision yet, or returns its
// grant unused.
func (g *Grants) Withdraw(now time.Time, request entity.RequestID, attempt entity.AttemptNumber) {
	acq := g.acquisitions.Get(acquisitionKey{request, attempt})
	if acq == nil {
		return
	}
	g.withdrawRequests(now, acq)
	if acq.backend != nil {
		g.addOutstanding(acq.backend.ID, -1)
		m := g.messageTo(now, acq.coordinator, true)
		m.Withdrawn = append(m.Withdrawn, acq.reference(acq.backend.ID))
	}
	g.acquisitions.Delete(acq.key())
	g.deliver(now)
}

// Release returns a grant whose attempt has ended.
func (g *Grants) Release(now time.Time, request entity.RequestID, attempt entity.AttemptNumber, o Outcome) {
	acq := g.acquisitions.Get(acquisitionKey{request, attempt})
	if acq == nil || acq.backend == nil {
		return
	}
	g.acquisitions.Delete(acq.key())
	g.addOutstanding(acq.backend.ID, -1)
	g.applyOutcome(now, acq, o)
	release := Release{
		Reference:     acq.reference(acq.backend.ID),
		Kind:          o.Kind,
		Tokens:        o.Tokens,
		BetweenTokens: o.BetweenTokens.Microseconds(),
	}
	for _, to := range g.releaseTargets(acq) {
		m := g.messageTo(now, to, false)
		m.Releases = append(m.Releases, release)
	}
	g.deliver(now)
}

// releaseTargets returns the daemon that gave the grant, if it is still a
// member, and the current coordinator if that is another one.
func (g *Grants) releaseTargets(acq *acquisition) []entity.InstanceID {
	var to []entity.InstanceID
	if g.members.find(acq.coordinator) != nil {
		to = append(to, acq.coordinator)
	}
	if s := g.servers.Get(acq.backend.ID); s != nil && s.coordinator.id != acq.coordinator {
		to = append(to, s.coordinator.id)
	}
	return to
}

// applyOutcome updates the state of the content and of the backend server by the
// outcome of an attempt.
func (g *Grants) applyOutcome(now time.Time, acq *acquisition, o Outcome) {
	s := g.servers.Get(acq.backend.ID)
	switch o.Kind {
	case Completed:
		g.clearContent(now, acq)
	case BackendDied:
		g.recordContentDeath(now, acq)
	}
	if s == nil {
		return
	}
	if o.Kind == BackendDied || o.Kind == Refused {
		s.avoidUntil = now.Add(avoidDuration)
	}
	if o.BetweenTokens > 0 {
		c := s.candidate()
		c.BetweenTokens = smooth(c.BetweenTokens, o.BetweenTokens)
		routing.SetChances(s.service.pool)
	}
}

// advance sends the next request of an undecided acquisition, unless one is
// pending: a probe of each candidate, then one that may wait at the candidate
// with the shortest queue.
func (g *Grants) advance(now time.Time, acq *acquisition) {
	if acq.backend != nil {
		return
	}
	if !acq.Deadline.IsZero() && !now.Before(acq.Deadline) {
		g.refuse(now, acq, verdict.New(verdict.NotRun, "deadline", "no backend server was free before the deadline"))
		return
	}
	if !g.mayRun(now, acq) || acq.probe() != nil {
		return
	}
	if acq.queueRequest() != nil {
		return
	}
	if len(acq.candidates) == 0 && acq.bestFull == "" && !g.chooseCandidates(now, acq) {
		return
	}
	if len(acq.candidates) > 0 {
		next := acq.candidates[0]
		acq.candidates = acq.candidates[1:]
		g.sendRequest(now, acq, next, acq.isolated)
		return
	}
	best := acq.bestFull
	acq.bestFull = ""
	g.sendRequest(now, acq, best, true)
}

// mayRun reports whether the content may run now. It refuses quarantined
// content and delays content with a pending verdict.
func (g *Grants) mayRun(now time.Time, acq *acquisition) bool {
	if acq.Digest == (entity.Digest{}) {
		return true
	}
	status := g.suspects.Check(now, acq.Digest)
	switch status {
	case quarantine.Quarantined:
		g.refuse(now, acq, verdict.New(verdict.NotRun, "convicted", "this content crashes backend servers"))
		return false
	case quarantine.VerdictPending:
		g.withdrawRequests(now, acq)
		g.scheduleAcquisition(acq, futureTime(now, g.suspects.VerdictTime(acq.Digest)))
		return false
	}
	acq.watched = status == quarantine.Watched
	if isolated := status == quarantine.Suspect; isolated != acq.isolated {
		acq.isolated = isolated
		g.withdrawRequests(now, acq)
		acq.candidates, acq.bestFull = nil, ""
	}
	return true
}

// sendRequest sends a grant request to the coordinator of a server. With wait,
// the coordinator may put it into its queue.
func (g *Grants) sendRequest(now time.Time, acq *acquisition, id entity.BackendServerID, wait bool) {
	s := g.servers.Get(id)
	if s == nil || s.draining && !acq.Resume {
		g.scheduleAcquisition(acq, now)
		return
	}
	g.sequence++
	p := pendingRequest{
		backend: id, coordinator: s.coordinator.id, sequence: g.sequence, sent: now, wait: wait,
	}
	acq.requests = append(acq.requests, p)
	g.addOutstanding(id, 1)
	m := g.messageTo(now, p.coordinator, true)
	m.Requests = append(m.Requests, g.newRequest(now, acq, &p))
	g.scheduleAcquisition(acq, now.Add(g.cfg.RequestTimeout))
}

func (g *Grants) newRequest(now time.Time, acq *acquisition, p *pendingRequest) Request {
	req := Request{
		Reference:    acq.reference(p.backend),
		Sequence:     p.sequence,
		Organisation: acq.Organisation,
		Priority:     acq.Priority,
		Cost:         acq.Cost,
		Prefix:       acq.Prefix[max(0, len(acq.Prefix)-maxRequestPrefixes):],
		Wait:         p.wait,
		Isolated:     acq.isolated,
		Resume:       acq.Resume,
	}
	if s := g.servers.Get(p.backend); s != nil {
		req.Insist = now.Before(s.insistUntil)
	}
	if !acq.Deadline.IsZero() {
		req.TimeLeft = max(1, acq.Deadline.Sub(now).Microseconds())
	}
	return req
}

func (acq *acquisition) reference(id entity.BackendServerID) Reference {
	return Reference{Backend: id, Request: acq.Request, Attempt: acq.Attempt}
}

func (g *Grants) withdrawRequests(now time.Time, acq *acquisition) {
	for len(acq.requests) > 0 {
		g.withdrawRequest(now, acq, acq.requests[0])
	}
}

func (g *Grants) withdrawRequest(now time.Time, acq *acquisition, p pendingRequest) {
	acq.dropRequest(p.sequence)
	g.addOutstanding(p.backend, -1)
	m := g.messageTo(now, p.coordinator, true)
	m.Withdrawn = append(m.Withdrawn, acq.reference(p.backend))
}

// refuse ends an acquisition with an error.
func (g *Grants) refuse(now time.Time, acq *acquisition, err error) {
	g.withdrawRequests(now, acq)
	g.acquisitions.Delete(acq.key())
	g.ready.Decisions = append(g.ready.Decisions, Decision{Request: acq.Request, Attempt: acq.Attempt, Err: err})
	g.emit(event.Event{
		Number: event.GrantRequestRefused, At: now, Service: acq.Service, Request: acq.Request, Attempt: acq.Attempt,
		Detail: string(verdict.CodeOf(err)),
	})
}

// addOutstanding changes the number of this daemon's requests at a backend
// server.
func (g *Grants) addOutstanding(id entity.BackendServerID, n int) {
	if s := g.servers.Get(id); s != nil {
		c := s.candidate()
		c.Outstanding = max(0, c.Outstanding+n)
	}
}

func hexDigest(d entity.Digest) string { return hex.EncodeToString(d[:]) }
