package core

import (
	"cmp"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/membership"
)

// minMigrationDuration is the expected remaining duration of a run below which
// it is not moved away from a draining backend server.
const minMigrationDuration = 5 * time.Second

// firstCheckpointTokens is the number of output tokens after which the KV cache
// of a long run is exported for the first time.
const firstCheckpointTokens = 64

// drainingBody and notDrainingBody are the bodies of gossip records that say
// whether a backend server is draining.
var (
	drainingBody    = []byte{1}
	notDrainingBody = []byte{0}
)

// handleBackendDraining handles the report of the platform, the planner or an
// operator that a backend server is draining or no longer is, and announces it
// to all daemons. A backend server that the planner drains stays draining.
func (c *Core) handleBackendDraining(in BackendDraining) {
	if c.isDraining(in.Backend) == in.Draining || c.isDrainedByPlanner(in.Backend) && !in.Draining {
		return
	}
	version := c.drainVersions[in.Backend] + 1
	if in.Draining != (version%2 == 1) {
		version++
	}
	body := notDrainingBody
	if in.Draining {
		body = drainingBody
	}
	c.Membership.Announce(c.now, membership.Record{
		Topic: membership.TopicBackendDraining, Key: string(in.Backend), Version: version, Body: body,
	})
	c.setDraining(in.Backend, version, in.Reason)
}

// isDraining reports whether a backend server is draining according to the
// newest gossip record about it: odd versions say that it is, even versions
// that it is not.
func (c *Core) isDraining(b entity.BackendServerID) bool { return c.drainVersions[b]%2 == 1 }

// setDraining applies a gossip record about a backend server, unless a newer
// one is known.
func (c *Core) setDraining(b entity.BackendServerID, version uint64, reason string) {
	if version <= c.drainVersions[b] {
		return
	}
	c.drainVersions[b] = version
	draining := c.isDraining(b)
	c.Grants.SetDraining(c.now, b, reason, draining)
	if draining {
		c.migrateFrom(b)
	}
}

// migrateFrom starts to move the long runs away from a draining backend server.
// Plain calls and short runs end there.
func (c *Core) migrateFrom(b entity.BackendServerID) {
	c.attempts.All(func(k attemptKey, a *attempt) bool {
		r := c.requests.Get(k.request)
		if a.backend.ID == b && r != nil && r.currentAttempt == k.number && c.worthMigrating(r, a) {
			c.requestExport(r, a)
		}
		return true
	})
}

// worthMigrating reports whether a run can be moved and is expected to last
// long enough to be worth it.
func (c *Core) worthMigrating(r *request, a *attempt) bool {
	if r.work.Completion == nil || a.exporting || r.pendingAttempt != 0 {
		return false
	}
	tokenInterval := 32 * time.Millisecond // unless the service document sets a target
	if s, ok := c.Configuration.Service(r.work.Service); ok && s.Latency.BetweenTokens > 0 {
		tokenInterval = s.Latency.BetweenTokens
	}
	remainingTokens := r.work.Completion.MaxTokens - len(r.tokens)
	return time.Duration(remainingTokens)*tokenInterval >= minMigrationDuration
}

// checkpointWhenDue exports the KV cache of a long run when its output has
// doubled since the last export. If the backend server dies without notice, at
// most half of the output has to be computed again, and the number of exports
// grows only with the logarithm of the output.
func (c *Core) checkpointWhenDue(r *request, a *attempt) {
	r.nextCheckpointTokens = cmp.Or(r.nextCheckpointTokens, firstCheckpointTokens)
	if len(r.tokens) < r.nextCheckpointTokens || !c.worthMigrating(r, a) {
		return
	}
	r.nextCheckpointTokens = 2 * len(r.tokens)
	c.requestExport(r, a)
}

// requestExport asks the engine to export the KV cache of the current attempt.
func (c *Core) requestExport(r *request, a *attempt) {
	a.exporting = true
	c.out.Exports = append(c.out.Exports, Export{Request: r.id, Attempt: r.currentAttempt, Backend: a.backend, Stream: r.streamRequest})
}

// handleExportResult records an exported KV cache. If the backend server is
// draining, another one is requested, whether the export succeeded or not; the
// run continues where it is until the grant arrives.
func (c *Core) handleExportResult(in ExportResult) {
	r, a := c.runningAttempt(in.Request, in.Attempt)
	if a == nil || !a.exporting {
		return
	}
	a.exporting = false
	if in.Handle != "" {
		r.kvHandle = in.Handle
	}
	if !c.isDraining(a.backend.ID) || !c.worthMigrating(r, a) {
		return
	}
	r.excludedServers = []entity.BackendServerID{a.backend.ID}
	c.acquireGrant(r)
}
