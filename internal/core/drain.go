package core

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// releaseShards releases the journal's shards once mayReleaseShards allows it.
// Requests that are still in the journal are suspended and routed again to the
// next owners; requests that other daemons have relayed here are sent back to
// them.
func (c *Core) releaseShards() {
	c.drain.refusesKeyed = c.drain.refusesKeyed || c.drain.urgent || c.now.After(c.drainHalfway())
	if c.drain.shardReleaseStarted || !c.mayReleaseShards() {
		return
	}
	c.drain.refusesKeyed = true
	c.drain.shardReleaseStarted = true
	for _, id := range c.requests.Keys() {
		r := c.requests.Get(id)
		if !r.inJournal || r.finished() || r.stage == stageCommit {
			continue
		}
		c.suspendRequest(r)
		r.stage = stageBackoff
		r.inJournal = false
		c.Journal.GiveUp(c.now, r.id, !r.mayHaveRun)
	}
	c.Journal.ReleaseShards(c.now)
	for _, id := range c.requests.Keys() {
		if r := c.requests.Get(id); !r.finished() && r.stage != stageCommit && c.servesOnlyPeers(r) {
			c.moveFollowers(r)
			c.unfinished--
			c.requests.Delete(id)
		}
	}
}

// mayReleaseShards reports whether the shards may be released now. During the
// first half of a planned stop they are kept while any keyed request runs.
// After that, and in an urgent stop, only requests that nobody else can complete
// delay the release. When the stop is almost over, nothing delays it.
func (c *Core) mayReleaseShards() bool {
	if c.now.After(c.drain.deadline.Add(-drainMargin)) {
		return true
	}
	if !c.drain.urgent && c.now.Before(c.drainHalfway()) && c.hasKeyedWork(false) {
		return false
	}
	return !c.hasKeyedWork(true)
}

// hasKeyedWork reports whether an unfinished request is in the journal. With
// boundOnly, only those count that nobody else can complete: plain calls, streams
// that are being sent, and requests whose answer is being committed.
func (c *Core) hasKeyedWork(boundOnly bool) bool {
	found := false
	c.requests.All(func(_ entity.RequestID, r *request) bool {
		found = r.inJournal && !r.finished() && (!boundOnly || c.boundHere(r))
		return !found
	})
	return found
}

// boundHere reports whether nobody else can complete the request as it stands.
func (c *Core) boundHere(r *request) bool {
	return r.work.Call != nil || r.stage == stageCommit || c.isBeingSent(r)
}

// isBeingSent reports whether the server of a running stream may not have the
// request yet. If the attempt were stopped now, the server might never get it, and
// whoever takes the stream up would find none.
func (c *Core) isBeingSent(r *request) bool {
	a := c.attempts.Get(attemptKey{r.id, r.currentAttempt})
	return a != nil && !a.resumed && a.receivedTokens == 0
}

// finishDrainWhenIdle lets the daemon exit when the deadline has passed, or
// when there has been no work and no caller for a while. An idle daemon waits
// for its last replies to be delivered and for the journal to have released its
// shards, the latter for shardReleaseTimeout at most.
func (c *Core) finishDrainWhenIdle() {
	busy := c.unfinished > 0 || len(c.callers) > 0 || c.hasUnacceptedOffers()
	if busy {
		c.drain.idleSince = time.Time{}
	} else if c.drain.idleSince.IsZero() {
		c.drain.idleSince = c.now
	}
	quiet := c.now.Sub(c.drain.idleSince)
	released := quiet >= replyFlushDelay && c.Journal.ShardsReleased()
	idle := !busy && (released || quiet >= shardReleaseTimeout)
	if idle || !c.now.Before(c.drain.deadline) {
		c.out.Finished = true
	}
}

// hasUnacceptedOffers reports whether the successor has yet to accept some
// request or outcome.
func (c *Core) hasUnacceptedOffers() bool {
	unaccepted := false
	c.requests.All(func(_ entity.RequestID, r *request) bool {
		unaccepted = c.drain.successor != "" && !r.offer.accepted && r.stage != stageStandby
		return !unaccepted
	})
	return unaccepted
}
