package exchange

import (
	"fmt"
	"hash/fnv"
	"strings"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/placement"
)

const (
	// staleRetryDelay is the Retry-After time of a daemon with a stale
	// configuration. It is short because the retry probably reaches another daemon.
	staleRetryDelay = 50 * time.Millisecond
	// noServerRetryDelay is the Retry-After time of a service without a usable
	// backend server.
	noServerRetryDelay = 400 * time.Millisecond
)

// Admit decides whether to admit a request. The request's deadline counts from its
// arrival.
func (c *Core) Admit(now, arrived time.Time, req Request) (*Ticket, *Refusal) {
	if !c.configurationFresh(now) {
		_, age := c.Version(now)
		return nil, &Refusal{
			Status: Unavailable, Code: "stale-configuration", RetryAfter: staleRetryDelay,
			Inputs: "confirmed " + age.Round(time.Millisecond).String() + " ago",
		}
	}
	if !strings.HasPrefix(req.Path, "/") || req.ID == "" {
		return nil, Refuse(Malformed, "malformed")
	}
	route := c.index.matchRoute(req.Host, req.Path)
	if route == nil || len(route.Targets) == 0 {
		return nil, Refuse(NoRoute, "no-route")
	}
	t := &Ticket{Request: req, Route: route, Arrived: arrived}
	if !route.Public {
		t.Org = c.index.byKey[req.Key]
		if t.Org == nil {
			return nil, Refuse(Unauthorised, "unknown-key")
		}
	}
	t.contents = contentsOf(&req, t.Org)
	if _, r := c.checkContents(now, t); r != nil {
		return nil, r
	}
	t.Service = pickTarget(route.Targets, req.ID)
	t.origin.begun = t.resumes()
	t.priority = priorityRank(t)
	t.Deadline = requestDeadline(arrived, route, req.Patience)
	if r := c.reserveQuota(now, t); r != nil {
		return nil, r
	}
	return t, nil
}

// reserveQuota reserves the request's cost on its organisation's quota, or returns
// a refusal.
func (c *Core) reserveQuota(now time.Time, t *Ticket) *Refusal {
	if t.Org == nil {
		return nil
	}
	t.quotaCost = t.Request.Work.cost(t.Org)
	wait, ok := c.quota.Reserve(now, t.Org.ID, t.quotaCost)
	if ok {
		return nil
	}
	return &Refusal{
		Status: OverQuota, Code: "over-quota", RetryAfter: wait,
		Inputs: fmt.Sprintf("%s asked %.0f units, rate %.0f/s, burst %.0f, %s", t.Org.ID, t.quotaCost, t.Org.RatePerSec, t.Org.Burst, c.quota.Describe(t.Org.ID)),
	}
}

// requestDeadline returns when a request must have its final answer: the earlier of
// the route's timeout and the caller's patience; zero if neither is set.
func requestDeadline(arrived time.Time, r *Route, patience time.Duration) time.Time {
	timeout := r.Timeout
	if patience > 0 && (timeout == 0 || patience < timeout) {
		timeout = patience
	}
	if timeout == 0 {
		return time.Time{}
	}
	return arrived.Add(timeout)
}

// pickTarget chooses a service by weight. The choice depends on the request ID
// only, so that repeated sends of a request go to the same service.
func pickTarget(targets []Target, id entity.RequestID) entity.ServiceName {
	total := 0
	for _, t := range targets {
		total += max(t.Weight, 0)
	}
	if total == 0 {
		return targets[0].Service
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	remaining := int(h.Sum32() % uint32(total))
	for _, t := range targets {
		remaining -= max(t.Weight, 0)
		if remaining < 0 {
			return t.Service
		}
	}
	return targets[0].Service
}

const (
	// routePriorityLevels is the number of route priorities that are distinguished
	// within one organisation priority.
	routePriorityLevels = 3
)

// priorityRank returns the rank of a request in a backend server's queue, where 0
// is first: by the organisation's priority, then by the route's.
func priorityRank(t *Ticket) int {
	route := min(t.Route.Priority, routePriorityLevels-1)
	if t.Org == nil || !t.Org.HasPriority {
		return min(t.Route.Priority*routePriorityLevels, placement.Ranks-1)
	}
	return min(t.Org.Priority*routePriorityLevels+route, placement.Ranks-1)
}

// keyValid reports whether the caller's key still belongs to the same organisation
// in the configuration in force.
func (c *Core) keyValid(t *Ticket) bool {
	if t.Org == nil {
		return true
	}
	o := c.index.byKey[t.Request.Key]
	return o != nil && o.ID == t.Org.ID
}
