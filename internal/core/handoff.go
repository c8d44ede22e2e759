package core

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/system/duetime"
	"github.com/gooseberryslip/gooseberryslip/internal/system/membership"
)

const (
	// offerTimeout is the time after which an offer that was not accepted is
	// sent again.
	offerTimeout = 500 * time.Millisecond
	// drainMargin is the time before the deadline of a stop at which requests
	// are handed over and shards released in whatever state they are.
	drainMargin = 2 * time.Second
	// standbyCheckInterval is the interval at which a standby daemon checks
	// whether the offering daemon is still a live member.
	standbyCheckInterval = 500 * time.Millisecond
	// replyFlushDelay is the time for which an idle daemon stays up so that its
	// last replies reach the callers.
	replyFlushDelay = 200 * time.Millisecond
	// shardReleaseTimeout is the longest time for which an idle daemon waits
	// until the table has recorded the release of its shards.
	shardReleaseTimeout = 3 * time.Second
)

// offerState is the state of the offer of a request, on the leaving daemon.
type offerState struct {
	to       entity.InstanceID // the successor
	sentAt   time.Time
	accepted bool
}

// drainState is the state of a planned stop or of a stop due to a reclaim.
type drainState struct {
	active    bool
	urgent    bool      // the instance is being reclaimed
	reclaimAt time.Time // zero: no reclaim was announced
	started   time.Time
	deadline  time.Time // when the daemon exits at the latest
	// successor is the daemon that takes over all requests. Another one is
	// chosen if it fails or leaves.
	successor           entity.InstanceID
	successorVersion    uint64    // of the gossip record that names the successor
	noSuccessorReported bool      // event HandoffFailed was emitted
	refusesKeyed        bool      // relayed keyed requests are no longer accepted
	shardReleaseStarted bool      // the release of the shards was requested from the journal
	idleSince           time.Time // when there was no more work; zero: there is work
}

// handleReclaimNotice starts an urgent stop, to be completed before the
// instance is reclaimed.
func (c *Core) handleReclaimNotice(in ReclaimNotice) {
	c.out.Events = append(c.out.Events, event.Event{Number: event.ReclaimAnnounced, At: c.now})
	c.startDrain(in.Notice.ReclaimAt, true)
	c.drain.reclaimAt = in.Notice.ReclaimAt
	c.viewStale = true
}

// startDrain refuses new callers from now on and starts to hand over requests.
// A second call can only make the deadline earlier.
func (c *Core) startDrain(deadline time.Time, urgent bool) {
	if c.drain.active {
		c.drain.urgent = c.drain.urgent || urgent
		c.drain.deadline = duetime.EarliestNonZero(c.drain.deadline, deadline)
		return
	}
	c.drain = drainState{active: true, urgent: urgent, started: c.now, deadline: deadline}
	c.Membership.Leave(c.now)
	c.out.Events = append(c.out.Events, event.Event{Number: event.DaemonDraining, At: c.now})
	c.viewStale = true
}

// drainDeadline returns when a drain needs the next tick; the zero time means
// there is no drain.
func (c *Core) drainDeadline() time.Time {
	if !c.drain.active {
		return time.Time{}
	}
	const tickInterval = 100 * time.Millisecond
	return c.now.Add(tickInterval)
}

// runDrain advances a stop: it offers every request to the successor, commits
// the offers that were accepted and whose requests may go, and lets the daemon
// exit when nothing is left.
func (c *Core) runDrain() {
	if !c.drain.active {
		return
	}
	c.chooseSuccessor()
	c.releaseShards()
	for _, id := range c.requests.Keys() {
		c.drainRequest(c.requests.Get(id))
	}
	c.finishDrainWhenIdle()
}

// chooseSuccessor picks a live daemon, preferably of another data centre, and
// announces to all daemons where the requests of this one go.
func (c *Core) chooseSuccessor() {
	if m, ok := c.knownMember(c.drain.successor); ok && (m.State == membership.Alive || m.State == membership.Suspect) {
		return
	}
	near, far := c.livePeers()
	candidates := far
	if len(candidates) == 0 {
		candidates = near
	}
	if len(candidates) == 0 {
		c.drain.successor = ""
		c.reportNoSuccessor()
		return
	}
	c.drain.successor = candidates[c.Rand.IntN(len(candidates))].ID
	c.drain.successorVersion++
	c.successors[c.Self.ID] = c.drain.successor
	c.Membership.Announce(c.now, membership.Record{
		Topic: membership.TopicHandoff, Key: string(c.Self.ID),
		Version: c.drain.successorVersion, Body: []byte(c.drain.successor),
	})
}

// reportNoSuccessor emits an event, once, when there is no daemon to take over
// the requests.
func (c *Core) reportNoSuccessor() {
	if c.drain.noSuccessorReported || c.unfinished == 0 {
		return
	}
	c.drain.noSuccessorReported = true
	c.emit(event.HandoffFailed, nil, "")
}

// livePeers returns the other live daemons: near ones are in this data centre,
// far ones in other data centres.
func (c *Core) livePeers() (near, far []membership.Member) {
	for _, m := range c.Membership.Members() {
		if m.ID == c.Self.ID || m.State != membership.Alive {
			continue
		}
		if m.Location == c.Self.Location {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	return near, far
}

// drainRequest offers one request to the successor, and commits the offer once
// it is accepted and the request may go.
func (c *Core) drainRequest(r *request) {
	if r.stage == stageStandby || len(r.work.Organisation) == 0 {
		return
	}
	if c.drain.successor == "" || c.servesOnlyPeers(r) {
		return
	}
	o := &r.offer
	if o.to != c.drain.successor {
		*o = offerState{to: c.drain.successor}
	}
	if !o.accepted && (o.sentAt.IsZero() || c.now.Sub(o.sentAt) >= offerTimeout) {
		o.sentAt = c.now
		c.sendOffer(r)
	}
	if o.accepted && !r.finished() && c.mayCommitOffer(r) {
		c.commitOffer(r)
	}
}

// servesOnlyPeers reports whether an unfinished request has followers and all
// of them are other daemons. Such a request is not offered: those daemons route
// it to the next owner themselves.
func (c *Core) servesOnlyPeers(r *request) bool {
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

// sendOffer sends the request, its progress and, if it has finished, its
// outcome to the successor.
func (c *Core) sendOffer(r *request) {
	c.emit(event.HandoffOffered, r, string(r.offer.to))
	c.send(r.offer.to, Message{Offer: &Offer{
		Request: r.id, Work: r.work, TimeLeft: toMicros(r.deadline.Sub(c.now)),
		Progress: *c.progressWithTokens(r), Answer: r.answer, Failure: failureOf(r.err),
	}})
}

// progressWithTokens returns the state of the request's run, with its tokens.
// For a run at another daemon it is the state last reported.
func (c *Core) progressWithTokens(r *request) *Progress {
	p := c.runProgress(r)
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

// mayCommitOffer reports whether the successor may continue the request now.
// The reply of a plain call can be read by this daemon only, so a running plain
// call stays here until it ends or the time is almost over, as does a stream that
// is being sent.
func (c *Core) mayCommitOffer(r *request) bool {
	if c.now.After(c.drain.deadline.Add(-drainMargin)) {
		return true
	}
	if r.keyed() && r.inJournal && !c.drain.shardReleaseStarted {
		return false
	}
	if r.stage == stageQueued || r.stage == stageBackoff || r.stage == stageRelayed {
		return true
	}
	if r.work.Call != nil || c.isBeingSent(r) {
		return false
	}
	return c.drain.urgent || c.now.After(c.drainHalfway())
}

// drainHalfway returns when a planned stop no longer waits for running requests
// to end here.
func (c *Core) drainHalfway() time.Time {
	return c.drain.started.Add(c.drain.deadline.Sub(c.drain.started) / 2)
}

// commitOffer stops work on a request here, lets the successor continue it and
// redirects the callers.
func (c *Core) commitOffer(r *request) {
	if r.stage != stageRelayed {
		c.suspendRequest(r)
	}
	c.send(r.offer.to, Message{OfferCommit: &OfferCommit{Request: r.id, Progress: *c.progressWithTokens(r)}})
	c.emit(event.HandoffConfirmed, r, string(r.offer.to))
	c.moveFollowers(r)
	c.unfinished--
	c.requests.Delete(r.id)
}

// hasOffer reports whether the request was offered, so that another daemon may
// hold it on standby.
func (r *request) hasOffer() bool { return !r.offer.sentAt.IsZero() }

// notifyStandby sends the final outcome to the daemon that may hold the request
// on standby.
func (c *Core) notifyStandby(r *request) {
	if !r.hasOffer() {
		return
	}
	c.send(r.offer.to, Message{OfferCommit: &OfferCommit{
		Request: r.id, Progress: *c.progressWithTokens(r), Answer: r.answer, Failure: failureOf(r.err),
	}})
}

// moveFollowers redirects the callers of a request to the successor, and tells
// other daemons to route the request again.
func (c *Core) moveFollowers(r *request) {
	m, _ := c.knownMember(r.offer.to)
	c.deliverRequest(r)
	for _, f := range r.followers {
		if f.peer != "" {
			c.send(f.peer, Message{RelayEnd: &RelayEnd{
				Request: r.id, Round: f.relayRound, TryAgain: true, Progress: r.progress,
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
