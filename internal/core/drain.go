package core

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// disown gives the journal's shards up once no plain call runs under them, or
// when the time is almost over, and sends relayed requests back.
func (c *Core) disown() {
	c.drain.closing = c.drain.closing || c.drain.urgent || c.now.After(c.halfway())
	if c.drain.disowned || !c.mayDisown() {
		return
	}
	c.drain.closing = true
	c.drain.disowned = true
	for _, id := range c.requests.Keys() {
		r := c.requests.Get(id)
		if !r.begun || r.finished() || r.stage == stageCommit {
			continue
		}
		c.suspend(r)
		r.stage = stageBackoff
		r.begun = false
		c.Journal.GiveUp(c.now, r.id, !r.mayHaveRun)
	}
	c.Journal.Disown(c.now)
	for _, id := range c.requests.Keys() {
		if r := c.requests.Get(id); !r.finished() && r.stage != stageCommit && c.runsForOthers(r) {
			c.moveFollowers(r)
			c.active--
			c.requests.Delete(id)
		}
	}
}

// mayDisown reports whether the shards may be given up now.
func (c *Core) mayDisown() bool {
	if c.now.After(c.drain.deadline.Add(-drainMargin)) {
		return true
	}
	if !c.drain.urgent && c.now.Before(c.halfway()) && c.keyedWork(false) {
		return false
	}
	return !c.keyedWork(true)
}

// keyedWork reports whether keyed requests run here; plain ones only, if asked.
func (c *Core) keyedWork(plainOnly bool) bool {
	found := false
	c.requests.All(func(_ entity.RequestID, r *request) bool {
		found = r.begun && !r.finished() && (!plainOnly || r.work.Call != nil || r.stage == stageCommit)
		return !found
	})
	return found
}

// endDrain ends the daemon when it has no work and no callers, or no time.
func (c *Core) endDrain() {
	busy := c.active > 0 || len(c.callers) > 0 || c.offersOpen()
	if busy {
		c.drain.quietAt = time.Time{}
	} else if c.drain.quietAt.IsZero() {
		c.drain.quietAt = c.now
	}
	quiet := c.now.Sub(c.drain.quietAt)
	released := quiet >= lastReplies && c.Journal.Disowned()
	idle := !busy && (released || quiet >= releaseWait)
	if idle || !c.now.Before(c.drain.deadline) {
		c.out.Finished = true
	}
}

// offersOpen reports whether outcomes still have to reach the successor.
func (c *Core) offersOpen() bool {
	open := false
	c.requests.All(func(_ entity.RequestID, r *request) bool {
		open = c.drain.successor != "" && !r.offer.accepted && r.stage != stageStandby
		return !open
	})
	return open
}
