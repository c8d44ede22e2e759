package exchange

import (
	"sort"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// maxAddresses is the maximum number of addresses in one answer.
const maxAddresses = 64

// minAddresses is the number of addresses in the caller's own data centre from
// which on those of other data centres are omitted.
const minAddresses = 2

// Addresses returns the addresses of serving daemons to which callers of a data
// centre should connect. Daemons of other data centres are included only if there
// are few in that one.
func (c *Core) Addresses(now time.Time, dc entity.DataCentreID) []string {
	var near, far []string
	for _, m := range c.servingMembers(now) {
		if m.DataCentre == dc {
			near = append(near, m.CallerAddr)
			continue
		}
		far = append(far, m.CallerAddr)
	}
	sort.Strings(near)
	sort.Strings(far)
	if len(near) < minAddresses {
		near = append(near, far...)
	}
	return near[:min(len(near), maxAddresses)]
}

// servingMembers returns the daemons that serve, without those that depend on others to forward
// their requests, unless that would leave fewer than half.
func (c *Core) servingMembers(now time.Time) []*Member {
	var reaching, cut []*Member
	add := func(m *Member, unreachable []entity.ServiceName) {
		if len(unreachable) > 0 {
			cut = append(cut, m)
			return
		}
		reaching = append(reaching, m)
	}
	if c.Serving(now) {
		add(&c.cfg.Self, c.unreachableServices())
	}
	c.peers.All(func(_ entity.InstanceID, r *peerRow) bool {
		if c.recentlySeen(now, r) && r.serving && !r.leaving {
			add(&r.Member, r.unreachable)
		}
		return true
	})
	if len(reaching) >= len(cut) {
		return reaching
	}
	return append(reaching, cut...)
}
