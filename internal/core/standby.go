package core

import (
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// handleOffer accepts a request that a leaving daemon offers, unless this
// daemon is leaving, too.
func (c *Core) handleOffer(from entity.InstanceID, m *Offer) {
	if !m.Work.valid() {
		return
	}
	accept := !c.drain.active
	if accept && c.requests.Get(m.Request) == nil {
		c.addStandby(from, m)
	}
	c.send(from, Message{OfferReply: &OfferReply{Request: m.Request, Accepted: accept}})
}

// addStandby adds the row of an offered request. It stays on standby until the
// offering daemon commits the offer or fails.
func (c *Core) addStandby(from entity.InstanceID, m *Offer) {
	r := c.adoptRequest(m.Request, m.Work, fromMicros(m.TimeLeft))
	r.tokens = m.Progress.Tokens
	if m.Answer != nil || m.Failure != nil {
		c.finishRequest(r, m.Answer, m.Failure.err())
		return
	}
	r.stage = stageStandby
	r.offeredBy = from
	p := m.Progress
	r.progress = &p
	r.mayHaveRun = p.MayHaveRun
	c.emit(event.HandoffAccepted, r, string(from))
	c.wakeBy(r, c.now.Add(standbyCheckInterval))
}

// handleOfferReply handles the answer to an offer. If the offer was declined,
// the successor is chosen anew.
func (c *Core) handleOfferReply(from entity.InstanceID, m *OfferReply) {
	r := c.requests.Get(m.Request)
	if r == nil || r.offer.to != from {
		return
	}
	if m.Accepted {
		r.offer.accepted = true
		return
	}
	c.drain.successor = ""
}

// handleOfferCommit continues a request after the offering daemon has stopped
// work on it, or records its final outcome.
func (c *Core) handleOfferCommit(m *OfferCommit) {
	r := c.requests.Get(m.Request)
	if r == nil || r.stage != stageStandby {
		return
	}
	p := m.Progress
	if m.Answer != nil || m.Failure != nil {
		r.tokens = p.Tokens
		r.mayHaveRun = p.MayHaveRun
		c.finishRequest(r, m.Answer, m.Failure.err())
		return
	}
	c.activateStandby(r, &p)
}

// checkStandby continues a request if the offering daemon has failed before it
// could commit the offer.
func (c *Core) checkStandby(r *request) {
	if _, alive := c.knownMember(r.offeredBy); alive {
		c.wakeBy(r, c.now.Add(standbyCheckInterval))
		return
	}
	c.activateStandby(r, r.progress)
}

// activateStandby starts work on a request that was on standby.
func (c *Core) activateStandby(r *request, p *Progress) {
	r.tokens = p.Tokens
	r.lastAttempt = max(r.lastAttempt, p.Attempt)
	r.mayHaveRun = p.MayHaveRun
	r.progress = p
	c.markChanged(r)
	if r.mayHaveRun && !r.keyed() && !r.work.Repeatable && r.work.Call != nil {
		c.failRequest(r, verdict.New(verdict.MayHaveRun, "backend-failed", "the daemon that waited for the reply has left"))
		return
	}
	c.routeRequest(r)
}
