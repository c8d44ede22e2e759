package core

import (
	"cmp"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/membership"
)

// migrateMinimum is the expected rest of a run below which it stays where it
// is when its backend server leaves.
const migrateMinimum = 5 * time.Second

// firstCheckpoint is the number of tokens after which a long run is exported
// for the first time.
const firstCheckpoint = 64

// leavingBody and stayingBody are the bodies of leaving news.
var (
	leavingBody = []byte{1}
	stayingBody = []byte{0}
)

// backendLeaving takes word from the platform or an operator that a backend
// server leaves, and tells all daemons.
func (c *Core) backendLeaving(in BackendLeaving) {
	if c.isLeaving(in.Backend) == in.Leaving || c.draining(in.Backend) && !in.Leaving {
		return
	}
	version := c.leaving[in.Backend] + 1
	if in.Leaving != (version%2 == 1) {
		version++
	}
	body := stayingBody
	if in.Leaving {
		body = leavingBody
	}
	c.Membership.Announce(c.now, membership.News{
		Topic: membership.TopicBackendLeaving, Key: string(in.Backend), Version: version, Body: body,
	})
	c.setLeaving(in.Backend, version, in.Reason)
}

// isLeaving reports whether the newest news says that a backend server leaves.
// Odd versions say so, even ones take it back.
func (c *Core) isLeaving(b entity.BackendServerID) bool { return c.leaving[b]%2 == 1 }

// setLeaving applies news about a backend server.
func (c *Core) setLeaving(b entity.BackendServerID, version uint64, reason string) {
	if version <= c.leaving[b] {
		return
	}
	c.leaving[b] = version
	leaving := c.isLeaving(b)
	c.Grants.SetLeaving(c.now, b, reason, leaving)
	if leaving {
		c.migrateFrom(b)
	}
}

// migrateFrom starts to move the long runs off a backend server that leaves.
// Plain calls and short runs end there.
func (c *Core) migrateFrom(b entity.BackendServerID) {
	c.attempts.All(func(k attemptKey, a *attempt) bool {
		r := c.requests.Get(k.request)
		if a.backend.ID == b && r != nil && r.current == k.number && c.worthMoving(r, a) {
			c.export(r, a)
		}
		return true
	})
}

// worthMoving reports whether a run is expected to last long enough.
func (c *Core) worthMoving(r *request, a *attempt) bool {
	if r.work.Completion == nil || a.exporting || r.pending != 0 {
		return false
	}
	between := 32 * time.Millisecond
	if s, ok := c.Configuration.Service(r.work.Service); ok && s.Latency.BetweenTokens > 0 {
		between = s.Latency.BetweenTokens
	}
	left := r.work.Completion.MaxTokens - len(r.tokens)
	return time.Duration(left)*between >= migrateMinimum
}

// checkpoint exports the KV cache of a long run when its output has doubled
// since the last export. If the backend server dies without notice, at most
// half of the output has to be computed again, for a number of exports that
// grows with the logarithm of the output.
func (c *Core) checkpoint(r *request, a *attempt) {
	r.checkpointAt = cmp.Or(r.checkpointAt, firstCheckpoint)
	if len(r.tokens) < r.checkpointAt || !c.worthMoving(r, a) {
		return
	}
	r.checkpointAt = 2 * len(r.tokens)
	c.export(r, a)
}

// export asks for the KV cache of the current attempt.
func (c *Core) export(r *request, a *attempt) {
	a.exporting = true
	c.out.Exports = append(c.out.Exports, Export{Request: r.id, Attempt: r.current, Backend: a.backend, Stream: r.stream})
}

// exported notes a saved KV cache. If the backend server leaves, it asks for
// another one, whether the cache was saved or not; the run goes on where it is
// until that is granted.
func (c *Core) exported(in Exported) {
	r, a := c.running(in.Request, in.Attempt)
	if a == nil || !a.exporting {
		return
	}
	a.exporting = false
	if in.Handle != "" {
		r.handle = in.Handle
	}
	if !c.isLeaving(a.backend.ID) || !c.worthMoving(r, a) {
		return
	}
	r.exclude = []entity.BackendServerID{a.backend.ID}
	c.want(r)
}
