package core

import (
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// offered takes a request that a leaving daemon offers.
func (c *Core) offered(from entity.InstanceID, m *Offer) {
	if !m.Work.valid() {
		return
	}
	accept := !c.drain.on
	if accept && c.requests.Get(m.Request) == nil {
		c.takeOffer(from, m)
	}
	c.send(from, Message{OfferReply: &OfferReply{Request: m.Request, Accepted: accept}})
}

// takeOffer adds the row of an offered request. It stays on standby until the
// offering daemon commits the offer or dies.
func (c *Core) takeOffer(from entity.InstanceID, m *Offer) {
	r := c.adoptRequest(m.Request, m.Work, fromMicros(m.TimeLeft))
	r.tokens = m.Progress.Tokens
	if m.Answer != nil || m.Failure != nil {
		c.finish(r, m.Answer, m.Failure.err())
		return
	}
	r.stage = stageStandby
	r.from = from
	p := m.Progress
	r.progress = &p
	r.mayHaveRun = p.MayHaveRun
	c.emit(event.HandoffAccepted, r, string(from))
	c.wakeBy(r, c.now.Add(standbyCheck))
}

// offerReplied takes the answer to an offer.
func (c *Core) offerReplied(from entity.InstanceID, m *OfferReply) {
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

// offerCommitted goes on with a request whose daemon has stopped work on it.
func (c *Core) offerCommitted(m *OfferCommit) {
	r := c.requests.Get(m.Request)
	if r == nil || r.stage != stageStandby {
		return
	}
	p := m.Progress
	if m.Answer != nil || m.Failure != nil {
		r.tokens = p.Tokens
		r.mayHaveRun = p.MayHaveRun
		c.finish(r, m.Answer, m.Failure.err())
		return
	}
	c.activate(r, &p)
}

// watchStandby goes on with a request whose daemon has died before it could
// commit its offer.
func (c *Core) watchStandby(r *request) {
	if _, alive := c.member(r.from); alive {
		c.wakeBy(r, c.now.Add(standbyCheck))
		return
	}
	c.activate(r, r.progress)
}

// activate starts work on a request that was on standby.
func (c *Core) activate(r *request, p *Progress) {
	r.tokens = p.Tokens
	r.last = max(r.last, p.Attempt)
	r.mayHaveRun = p.MayHaveRun
	r.progress = p
	c.touch(r)
	if r.mayHaveRun && !r.keyed() && !r.work.Repeatable && r.work.Call != nil {
		c.fail(r, verdict.New(verdict.MayHaveRun, "backend-failed", "the daemon that waited for the reply has left"))
		return
	}
	c.route(r)
}
