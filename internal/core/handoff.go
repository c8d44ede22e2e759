package core

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/system/duetime"
	"github.com/gooseberryslip/gooseberryslip/internal/system/membership"
)

const (
	// offerTimeout is the wait for an answer to an offer.
	offerTimeout = 500 * time.Millisecond
	// drainMargin is the time before the end that is kept for last hand-overs.
	drainMargin = 2 * time.Second
	// standbyCheck is the interval at which the offering daemon is looked for.
	standbyCheck = 500 * time.Millisecond
	// lastReplies is the time given to the last replies to reach the callers.
	lastReplies = 200 * time.Millisecond
	// releaseWait is the longest wait of an idle daemon for the table to
	// record that its shards are free.
	releaseWait = 3 * time.Second
)

// offerState is what a leaving daemon knows of the offer of a request.
type offerState struct {
	to       entity.InstanceID
	at       time.Time
	accepted bool
}

// drainState is the state of a planned or announced stop.
type drainState struct {
	on        bool
	urgent    bool // the instance is being reclaimed
	reclaimAt time.Time
	started   time.Time
	deadline  time.Time
	// successor takes everything over. Another one is chosen if it goes.
	successor entity.InstanceID
	version   uint64
	warned    bool // event HandoffFailed was emitted
	closing   bool // no further keyed request is begun
	disowned  bool
	quietAt   time.Time // when the last work ended
}

// reclaimNotice starts an urgent stop.
func (c *Core) reclaimNotice(in ReclaimNotice) {
	c.out.Events = append(c.out.Events, event.Event{Number: event.ReclaimAnnounced, At: c.now})
	c.startDrain(in.Notice.At, true)
	c.drain.reclaimAt = in.Notice.At
	c.viewOld = true
}

// startDrain stops taking callers and starts to hand over. A second order can
// only bring the end forward.
func (c *Core) startDrain(deadline time.Time, urgent bool) {
	if c.drain.on {
		c.drain.urgent = c.drain.urgent || urgent
		c.drain.deadline = duetime.Earliest(c.drain.deadline, deadline)
		return
	}
	c.drain = drainState{on: true, urgent: urgent, started: c.now, deadline: deadline}
	c.Membership.Leave(c.now)
	c.out.Events = append(c.out.Events, event.Event{Number: event.DaemonDraining, At: c.now})
	c.viewOld = true
}

// drainDeadline returns when the drain has something to do next.
func (c *Core) drainDeadline() time.Time {
	if !c.drain.on {
		return time.Time{}
	}
	const step = 100 * time.Millisecond
	return c.now.Add(step)
}

// runDrain moves a stop forward: it offers every request to the successor,
// commits what has been accepted and is ready to go, and ends the daemon when
// nothing is left.
func (c *Core) runDrain() {
	if !c.drain.on {
		return
	}
	c.chooseSuccessor()
	c.disown()
	for _, id := range c.requests.Keys() {
		c.drainRequest(c.requests.Get(id))
	}
	c.endDrain()
}

// chooseSuccessor picks a live daemon, of another data centre if there is one,
// and tells all daemons where this one's requests go.
func (c *Core) chooseSuccessor() {
	if m, ok := c.member(c.drain.successor); ok && (m.State == membership.Alive || m.State == membership.Suspect) {
		return
	}
	near, far := c.livePeers()
	pool := far
	if len(pool) == 0 {
		pool = near
	}
	if len(pool) == 0 {
		c.drain.successor = ""
		c.warnAlone()
		return
	}
	c.drain.successor = pool[c.Rand.IntN(len(pool))].ID
	c.drain.version++
	c.successors[c.Self.ID] = c.drain.successor
	c.Membership.Announce(c.now, membership.News{
		Topic: membership.TopicHandoff, Key: string(c.Self.ID),
		Version: c.drain.version, Body: []byte(c.drain.successor),
	})
}

// warnAlone tells, once, that nobody can take the requests over.
func (c *Core) warnAlone() {
	if c.drain.warned || c.active == 0 {
		return
	}
	c.drain.warned = true
	c.emit(event.HandoffFailed, nil, "")
}

// livePeers returns the live daemons of this data centre and of the others.
func (c *Core) livePeers() (near, far []membership.Member) {
	for _, m := range c.Membership.Members() {
		if m.ID == c.Self.ID || m.State != membership.Alive {
			continue
		}
		if m.Place == c.Self.Place {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	return near, far
}

// drainRequest offers one request and commits the offer when it may go.
func (c *Core) drainRequest(r *request) {
	if r.stage == stageStandby || len(r.work.Organisation) == 0 {
		return
	}
	if c.drain.successor == "" || c.runsForOthers(r) {
		return
	}
	o := &r.offer
	if o.to != c.drain.successor {
		*o = offerState{to: c.drain.successor}
	}
	if !o.accepted && (o.at.IsZero() || c.now.Sub(o.at) >= offerTimeout) {
		o.at = c.now
		c.offerRequest(r)
	}
	if o.accepted && !r.finished() && c.mayGo(r) {
		c.commitOffer(r)
	}
}

// runsForOthers reports whether only other daemons follow an unfinished
// request: they look for the next owner themselves.
func (c *Core) runsForOthers(r *request) bool {
	if r.finished() || len(r.followers) == 0 {
		return false
	}
	for _, f := range r.followers {
		if f.peer == "" {
			return false
		}
	}
	return true
}

// offerRequest sends all that is known of a request.
func (c *Core) offerRequest(r *request) {
	c.emit(event.HandoffOffered, r, string(r.offer.to))
	c.send(r.offer.to, Message{Offer: &Offer{
		Request: r.id, Work: r.work, TimeLeft: micros(r.deadline.Sub(c.now)),
		Progress: *c.fullProgress(r), Answer: r.answer, Failure: failureOf(r.err),
	}})
}

// fullProgress is where the request runs, with its tokens.
func (c *Core) fullProgress(r *request) *Progress {
	p := c.whereabouts(r)
	if r.stage == stageRelayed && r.relay.progress != nil {
		*p = *r.relay.progress
	}
	if r.progress != nil {
		*p = *r.progress
	}
	p.MayHaveRun = r.mayHaveRun
	p.Tokens = r.tokens
	return p
}

// mayGo reports whether the successor may go on with the request now. A reply
// of a plain service can only be read here, so it is waited for.
func (c *Core) mayGo(r *request) bool {
	if c.now.After(c.drain.deadline.Add(-drainMargin)) {
		return true
	}
	if r.keyed() && r.begun && !c.drain.disowned {
		return false
	}
	if r.stage == stageQueued || r.stage == stageBackoff || r.stage == stageRelayed {
		return true
	}
	if r.work.Call != nil {
		return false
	}
	return c.drain.urgent || c.now.After(c.halfway())
}

// halfway is when a planned stop stops waiting for running requests.
func (c *Core) halfway() time.Time {
	return c.drain.started.Add(c.drain.deadline.Sub(c.drain.started) / 2)
}

// commitOffer stops work on a request and lets the successor go on.
func (c *Core) commitOffer(r *request) {
	if r.stage != stageRelayed {
		c.suspend(r)
	}
	c.send(r.offer.to, Message{OfferCommit: &OfferCommit{Request: r.id, Progress: *c.fullProgress(r)}})
	c.emit(event.HandoffConfirmed, r, string(r.offer.to))
	c.moveFollowers(r)
	c.active--
	c.requests.Delete(r.id)
}

// offered reports whether another daemon may hold the request on standby.
func (r *request) offered() bool { return !r.offer.at.IsZero() }

// concludeOffer tells the standby that the request has ended here.
func (c *Core) concludeOffer(r *request) {
	if !r.offered() {
		return
	}
	c.send(r.offer.to, Message{OfferCommit: &OfferCommit{
		Request: r.id, Progress: *c.fullProgress(r), Answer: r.answer, Failure: failureOf(r.err),
	}})
}

// moveFollowers sends the callers of a request to the successor.
func (c *Core) moveFollowers(r *request) {
	m, _ := c.member(r.offer.to)
	c.deliverRequest(r)
	for _, f := range r.followers {
		if f.peer != "" {
			c.send(f.peer, Message{RelayEnd: &RelayEnd{
				Request: r.id, Round: f.round, TryAgain: true, Progress: r.progress,
			}})
			continue
		}
		delete(c.callers, f.caller)
		c.out.Replies = append(c.out.Replies, Reply{
			Caller: f.caller, Moved: &Moved{Request: r.id, Address: m.CallerAddr},
		})
	}
	r.followers = nil
}
