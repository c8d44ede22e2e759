package core

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/grant"
)

const (
	// rerouteDelay is the mean delay before a request looks for the owner of
	// its key again.
	rerouteDelay = 100 * time.Millisecond
	// relaySilenceTimeout is the time without a message from the owner after
	// which it is polled.
	relaySilenceTimeout = time.Second
)

// relayState is what the relaying daemon knows about a request's run at the
// owner.
type relayState struct {
	owner            entity.InstanceID
	round            uint32    // counts the relays of the request
	lastReceivedAt   time.Time // time of the owner's last message
	progress         *Progress // last reported state of the run, without tokens
	mayHaveRunBefore bool      // the request may have run before this relay
}

// relayToOwner sends a keyed request to the owner of its key's shard.
func (c *Core) relayToOwner(r *request, owner entity.InstanceID) {
	if _, known := c.knownMember(owner); !known {
		c.rerouteLater(r)
		return
	}
	p := r.progress
	if p == nil {
		p = &Progress{}
	}
	r.progress = nil
	p.MayHaveRun = r.mayHaveRun
	p.Tokens = r.tokens
	r.stage = stageRelayed
	r.relay = relayState{owner: owner, round: r.relay.round + 1, lastReceivedAt: c.now, progress: p, mayHaveRunBefore: r.mayHaveRun}
	r.mayHaveRun = true
	c.send(owner, Message{Relay: &Relay{
		Request: r.id, Work: r.work, TimeLeft: toMicros(r.deadline.Sub(c.now)), Progress: p, Round: r.relay.round,
	}})
	c.wakeBy(r, c.now.Add(relaySilenceTimeout))
}

// rerouteLater routes the request again after a short random delay.
func (c *Core) rerouteLater(r *request) {
	r.stage = stageBackoff
	r.inJournal = false
	c.wakeBy(r, c.now.Add(c.jitter(rerouteDelay)))
}

// jitter returns a random duration between 0.5 d and 1.5 d.
func (c *Core) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(c.Rand.Int64N(int64(d)))
}

// suspendRequest stops this daemon's work on a request without cancelling the
// run, and records where the run is so that another daemon can continue it.
func (c *Core) suspendRequest(r *request) {
	p := c.runProgress(r)
	c.dropPending(r)
	if r.currentAttempt != 0 {
		c.stopAttempt(r, false, grant.Failed)
	}
	r.progress = p
}

// handleRelay accepts a request that another daemon relays here, or rejects it
// if this daemon does not own the key's shard.
func (c *Core) handleRelay(from entity.InstanceID, m *Relay) {
	if !m.Work.valid() || m.Work.Key == "" {
		return
	}
	f := follower{peer: from, relayRound: m.Round, stream: true}
	if m.Progress != nil {
		f.seenTokens = m.Progress.Tokens
		f.sentCount = len(f.seenTokens)
	}
	if r := c.requests.Get(m.Request); r != nil {
		c.handleRepeatedRelay(r, f)
		return
	}
	key := m.Work.journalKey()
	if c.Journal.Owner(key) != c.Self.ID || c.drain.refusesKeyed {
		c.Journal.RefreshShards(c.now) // the sender may have learnt of a shard's release before this daemon
		c.send(from, Message{RelayEnd: &RelayEnd{Request: m.Request, Round: m.Round, TryAgain: true, NotRun: true}})
		return
	}
	r := c.adoptRequest(m.Request, m.Work, fromMicros(m.TimeLeft))
	r.tokens = append([]string(nil), f.seenTokens...)
	r.addFollower(f)
	if m.Progress != nil {
		r.progress = m.Progress
		r.mayHaveRun = m.Progress.MayHaveRun
	}
	c.startInJournal(r)
}

// handleRepeatedRelay handles the relay of a request that is already known
// here.
func (c *Core) handleRepeatedRelay(r *request, f follower) {
	if r.stage == stageRelayed || r.stage == stageStandby {
		c.send(f.peer, Message{RelayEnd: &RelayEnd{Request: r.id, Round: f.relayRound, TryAgain: true}})
		return
	}
	r.addFollower(f)
	c.markChanged(r)
}

// handleRelayPoll answers a daemon that has received nothing about its relayed
// request for a while.
func (c *Core) handleRelayPoll(from entity.InstanceID, m *RelayPoll) {
	if m.Have < 0 {
		return
	}
	r := c.requests.Get(m.Request)
	if r == nil || r.stage == stageRelayed || r.stage == stageStandby {
		c.send(from, Message{RelayEnd: &RelayEnd{Request: m.Request, Round: m.Round, TryAgain: true}})
		return
	}
	r.addFollower(follower{
		peer: from, relayRound: m.Round, stream: true, sentCount: m.Have, sum: m.Sum, sumUnverified: m.Have > 0,
	})
	c.send(from, Message{RelayTokens: &RelayTokens{
		Request: r.id, Round: m.Round, First: m.Have + 1, Progress: c.runProgress(r),
	}})
	c.markChanged(r)
}

// relayedRequest returns the request that a message from the owner is about.
// Messages of earlier rounds are late; for them it returns nil.
func (c *Core) relayedRequest(id entity.RequestID, round uint32) *request {
	r := c.requests.Get(id)
	if r == nil || r.stage != stageRelayed || r.relay.round != round {
		return nil
	}
	r.relay.lastReceivedAt = c.now
	return r
}

// handleRelayTokens appends tokens received from the owner.
func (c *Core) handleRelayTokens(m *RelayTokens) {
	r := c.relayedRequest(m.Request, m.Round)
	if r == nil {
		return
	}
	if m.Progress != nil {
		r.relay.progress = m.Progress
		r.lastAttempt = max(r.lastAttempt, m.Progress.Attempt)
	}
	knownCount := len(r.tokens) - m.First + 1
	if knownCount < 0 {
		c.pollOwner(r)
		return
	}
	if knownCount >= len(m.Tokens) {
		return
	}
	r.tokens = append(r.tokens, m.Tokens[knownCount:]...)
	c.markChanged(r)
}

// handleRelayEnd handles the final outcome sent by the owner, or routes the
// request again if the owner has asked for that.
func (c *Core) handleRelayEnd(m *RelayEnd) {
	r := c.relayedRequest(m.Request, m.Round)
	if r == nil {
		return
	}
	if m.TryAgain {
		if m.NotRun {
			r.mayHaveRun = r.relay.mayHaveRunBefore
		}
		c.rerouteFrom(r, m.Progress)
		return
	}
	if m.Failure != nil {
		r.mayHaveRun = r.relay.mayHaveRunBefore
		c.finishRequest(r, nil, m.Failure.err())
		return
	}
	if m.Answer == nil || m.Total != len(r.tokens) {
		c.pollOwner(r)
		return
	}
	m.Answer.Tokens = r.tokens
	c.finishRequest(r, m.Answer, nil)
}

// rerouteFrom routes the request again, to continue from the progress p or, if
// it is nil, from the last one that the owner reported.
func (c *Core) rerouteFrom(r *request, p *Progress) {
	if p == nil {
		p = r.relay.progress
	}
	r.progress = p
	c.Journal.RefreshShards(c.now)
	c.rerouteLater(r)
}

// pollOwner asks the owner for the tokens or the outcome that are missing.
func (c *Core) pollOwner(r *request) {
	c.send(r.relay.owner, Message{RelayPoll: &RelayPoll{
		Request: r.id, Round: r.relay.round, Have: len(r.tokens), Sum: checksum(0, r.tokens),
	}})
	c.wakeBy(r, c.now.Add(relaySilenceTimeout))
}

// checkRelay polls a silent owner, and routes the request again if the owner is
// gone or does not own the shard any more.
func (c *Core) checkRelay(r *request) {
	if _, alive := c.knownMember(r.relay.owner); !alive {
		c.rerouteFrom(r, r.relay.progress)
		return
	}
	if c.now.Sub(r.relay.lastReceivedAt) >= ownerReachTimeout && c.ownerUnreachable(&r.work) {
		c.failOwnerUnreachable(r)
		return
	}
	at := r.relay.lastReceivedAt.Add(relaySilenceTimeout)
	if c.now.Before(at) {
		c.wakeBy(r, at)
		return
	}
	c.Journal.RefreshShards(c.now)
	if c.Journal.Owner(r.work.journalKey()) != r.relay.owner {
		c.rerouteFrom(r, r.relay.progress) // the owner has released the shard and ended
		return
	}
	c.pollOwner(r)
}

// handleRelayCancel removes a daemon that has cancelled its relayed request,
// and cancels the request if nobody else follows it.
func (c *Core) handleRelayCancel(from entity.InstanceID, m *RelayCancel) {
	r := c.requests.Get(m.Request)
	if r == nil || r.finished() {
		return
	}
	r.removePeer(from)
	if len(r.followers) == 0 {
		c.failRequest(r, errCancelled(r))
	}
}
