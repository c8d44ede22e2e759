package core

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/grant"
)

const (
	// rerouteDelay is the mean wait before a request looks for its owner again.
	rerouteDelay = 100 * time.Millisecond
	// relayPoll is the time without news after which the owner is asked.
	relayPoll = time.Second
)

// relayState is what the relaying daemon knows of a request's run.
type relayState struct {
	owner     entity.InstanceID
	round     uint32 // counts the relays of the request
	heardAt   time.Time
	progress  *Progress // where the run was last, without tokens
	ranBefore bool      // the request may have run before this relay
}

// relay gives a keyed request to the owner of its shard.
func (c *Core) relay(r *request, owner entity.InstanceID) {
	if _, known := c.member(owner); !known {
		c.reroute(r)
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
	r.relay = relayState{owner: owner, round: r.relay.round + 1, heardAt: c.now, progress: p, ranBefore: r.mayHaveRun}
	r.mayHaveRun = true
	c.send(owner, Message{Relay: &Relay{
		Request: r.id, Work: r.work, TimeLeft: micros(r.deadline.Sub(c.now)), Progress: p, Round: r.relay.round,
	}})
	c.wakeBy(r, c.now.Add(relayPoll))
}

// reroute looks for the owner again after a short, jittered wait.
func (c *Core) reroute(r *request) {
	r.stage = stageBackoff
	r.begun = false
	c.wakeBy(r, c.now.Add(c.jitter(rerouteDelay)))
}

// jitter returns a duration between half and one and a half of d.
func (c *Core) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(c.Rand.Int64N(int64(d)))
}

// suspend stops the work of this daemon on a request without cancelling the
// run, and notes where the run is.
func (c *Core) suspend(r *request) {
	p := c.whereabouts(r)
	c.dropPending(r)
	if r.current != 0 {
		c.stopAttempt(r, false, grant.Failed)
	}
	r.progress = p
}

// relayed takes a request that another daemon relays here.
func (c *Core) relayed(from entity.InstanceID, m *Relay) {
	if !m.Work.valid() || m.Work.Key == "" {
		return
	}
	f := follower{peer: from, round: m.Round, stream: true}
	if m.Progress != nil {
		f.seen = m.Progress.Tokens
		f.sent = len(f.seen)
	}
	if r := c.requests.Get(m.Request); r != nil {
		c.relayedAgain(r, f)
		return
	}
	key := m.Work.journalKey()
	if c.Journal.Owner(key) != c.Self.ID || c.drain.closing {
		c.Journal.Refresh(c.now) // the sender may know of a release before this daemon
		c.send(from, Message{RelayEnd: &RelayEnd{Request: m.Request, Round: m.Round, TryAgain: true, NotRun: true}})
		return
	}
	r := c.adoptRequest(m.Request, m.Work, fromMicros(m.TimeLeft))
	r.tokens = append([]string(nil), f.seen...)
	r.addFollower(f)
	if m.Progress != nil {
		r.progress = m.Progress
		r.mayHaveRun = m.Progress.MayHaveRun
	}
	c.begin(r)
}

// relayedAgain takes a relay of a request that has a row here.
func (c *Core) relayedAgain(r *request, f follower) {
	if r.stage == stageRelayed || r.stage == stageStandby {
		c.send(f.peer, Message{RelayEnd: &RelayEnd{Request: r.id, Round: f.round, TryAgain: true}})
		return
	}
	r.addFollower(f)
	c.touch(r)
}

// relayPolled answers a daemon that has heard nothing for a while.
func (c *Core) relayPolled(from entity.InstanceID, m *RelayPoll) {
	if m.Have < 0 {
		return
	}
	r := c.requests.Get(m.Request)
	if r == nil || r.stage == stageRelayed || r.stage == stageStandby {
		c.send(from, Message{RelayEnd: &RelayEnd{Request: m.Request, Round: m.Round, TryAgain: true}})
		return
	}
	r.addFollower(follower{
		peer: from, round: m.Round, stream: true, sent: m.Have, sum: m.Sum, unchecked: m.Have > 0,
	})
	c.send(from, Message{RelayTokens: &RelayTokens{
		Request: r.id, Round: m.Round, First: m.Have + 1, Progress: c.whereabouts(r),
	}})
	c.touch(r)
}

// relayRow returns the row that a message of the owner is about. Messages of
// earlier rounds are late and dropped.
func (c *Core) relayRow(id entity.RequestID, round uint32) *request {
	r := c.requests.Get(id)
	if r == nil || r.stage != stageRelayed || r.relay.round != round {
		return nil
	}
	r.relay.heardAt = c.now
	return r
}

// relayTokens takes tokens of the owner.
func (c *Core) relayTokens(m *RelayTokens) {
	r := c.relayRow(m.Request, m.Round)
	if r == nil {
		return
	}
	if m.Progress != nil {
		r.relay.progress = m.Progress
		r.last = max(r.last, m.Progress.Attempt)
	}
	known := len(r.tokens) - m.First + 1
	if known < 0 {
		c.pollOwner(r)
		return
	}
	if known >= len(m.Tokens) {
		return
	}
	r.tokens = append(r.tokens, m.Tokens[known:]...)
	c.touch(r)
}

// relayEnd takes the final outcome from the owner.
func (c *Core) relayEnd(m *RelayEnd) {
	r := c.relayRow(m.Request, m.Round)
	if r == nil {
		return
	}
	if m.TryAgain {
		if m.NotRun {
			r.mayHaveRun = r.relay.ranBefore
		}
		c.tryAgain(r, m.Progress)
		return
	}
	if m.Failure != nil {
		r.mayHaveRun = r.relay.ranBefore
		c.finish(r, nil, m.Failure.err())
		return
	}
	if m.Answer == nil || m.Total != len(r.tokens) {
		c.pollOwner(r)
		return
	}
	m.Answer.Tokens = r.tokens
	c.finish(r, m.Answer, nil)
}

// tryAgain looks for another owner.
func (c *Core) tryAgain(r *request, p *Progress) {
	if p == nil {
		p = r.relay.progress
	}
	r.progress = p
	c.Journal.Refresh(c.now)
	c.reroute(r)
}

// pollOwner asks the owner for what is missing.
func (c *Core) pollOwner(r *request) {
	c.send(r.relay.owner, Message{RelayPoll: &RelayPoll{
		Request: r.id, Round: r.relay.round, Have: len(r.tokens), Sum: checksum(0, r.tokens),
	}})
	c.wakeBy(r, c.now.Add(relayPoll))
}

// watchRelay asks a silent owner, and leaves one that is gone.
func (c *Core) watchRelay(r *request) {
	if _, alive := c.member(r.relay.owner); !alive {
		c.tryAgain(r, r.relay.progress)
		return
	}
	if c.now.Sub(r.relay.heardAt) >= reachPatience && c.ownerOutOfReach(&r.work) {
		c.failOutOfReach(r)
		return
	}
	at := r.relay.heardAt.Add(relayPoll)
	if c.now.Before(at) {
		c.wakeBy(r, at)
		return
	}
	c.Journal.Refresh(c.now)
	if c.Journal.Owner(r.work.journalKey()) != r.relay.owner {
		c.tryAgain(r, r.relay.progress) // the owner has released the shard and ended
		return
	}
	c.pollOwner(r)
}

// relayCancelled takes the withdrawal of a relayed request.
func (c *Core) relayCancelled(from entity.InstanceID, m *RelayCancel) {
	r := c.requests.Get(m.Request)
	if r == nil || r.finished() {
		return
	}
	r.removePeer(from)
	if len(r.followers) == 0 {
		c.fail(r, errCancelled(r))
	}
}
