package exchange

import (
	"sort"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/quota"
	"github.com/gooseberryslip/gooseberryslip/internal/system/retry"
	"github.com/gooseberryslip/gooseberryslip/internal/system/streamversion"
)

// Status is this daemon's view of itself, the backend servers and the other
// daemons, for operators.
type Status struct {
	Instance     entity.InstanceID `json:"instance"`
	Version      uint64            `json:"configuration_version"`
	ConfirmedAgo string            `json:"configuration_confirmed_ago"`
	Serving      bool              `json:"serving"`
	Leaving      bool              `json:"leaving"`
	LeaseEpoch   uint64            `json:"lease_epoch"`
	HoldsLease   bool              `json:"holds_lease"`
	Servers      []ServerStatus    `json:"backend_servers"`
	Daemons      []DaemonStatus    `json:"daemons"`
	Quotas       []quota.Use       `json:"quotas"`
	Retries      []retry.Status    `json:"retry_budgets"`
	Planned      []ServiceLevel    `json:"planned_work"`
	Suspects     []ContentStatus   `json:"suspect_contents"`
	// RecordedVersions are those that may have begun streams which callers may still resume.
	RecordedVersions []streamversion.KnownVersion `json:"recorded_versions"`
	// AllVersionsKnown says that this daemon knows all recorded versions.
	AllVersionsKnown bool `json:"all_recorded_versions_known"`
	// Unreachable are the services whose backend servers this daemon does not reach: other
	// daemons forward its requests.
	Unreachable []entity.ServiceName `json:"unreachable_services"`
}

// ContentStatus is this daemon's view of the content of requests under which backend servers
// have died, and which has not completed since.
type ContentStatus struct {
	Content string `json:"content"` // see ShortDigest
	Deaths  int    `json:"deaths"`
	Refused bool   `json:"refused"`
}

// ServerStatus is this daemon's view of a backend server.
type ServerStatus struct {
	ID          entity.BackendServerID `json:"id"`
	Service     entity.ServiceName     `json:"service"`
	DataCentre  entity.DataCentreID    `json:"data_centre"`
	Version     string                 `json:"version"`
	Usable      bool                   `json:"usable"`
	Reclaimable bool                   `json:"reclaimable"`
	SaysLeaving bool                   `json:"says_leaving"`               // it has said in an answer that it leaves
	RestLeft    string                 `json:"rest_left,omitempty"`        // for how long it wants no requests from this daemon; "": it takes them
	Limit       *float64               `json:"limit_per_second,omitempty"` // requests that it takes from all daemons; nil: it states no limit
	Places      *int                   `json:"places,omitempty"`           // requests of this daemon that may be in progress there, as servers of its service are brittle; nil: any number
	SpeedRatio  *float64               `json:"speed_ratio,omitempty"`      // of its times to the usual ones; nil: speeds are not learned
	PaceLimit   *float64               `json:"pace_limit,omitempty"`       // requests in progress of all daemons while it starts or recovers
}

// DaemonStatus is this daemon's view of another one.
type DaemonStatus struct {
	Name            entity.InstanceID `json:"name"`
	LastReceivedAgo string            `json:"heard_ago"`
	Serving         bool              `json:"serving"`
	Leaving         bool              `json:"leaving"`
	Version         uint64            `json:"configuration_version"`
	// Unreachable are the services whose backend servers it does not reach.
	Unreachable []entity.ServiceName `json:"unreachable_services"`
}

// Status returns this daemon's view for operators.
func (c *Core) Status(now time.Time) Status {
	version, age := c.Version(now)
	epoch, held := c.lease.Epoch()
	s := Status{
		Instance: c.cfg.Self.Name, Version: version, ConfirmedAgo: age.Round(time.Millisecond).String(),
		Serving: c.Serving(now), Leaving: c.leaving, LeaseEpoch: epoch, HoldsLease: held,
		Quotas: c.quota.Uses(now, true), Retries: c.budget.Status(now), Planned: c.Levels(),
		RecordedVersions: c.recorded.Known(now), AllVersionsKnown: c.recorded.Complete(now),
		Unreachable: c.unreachableServices(),
	}
	c.servers.All(func(id entity.BackendServerID, r *serverRow) bool {
		status := ServerStatus{ID: id, Service: r.Service, DataCentre: r.DataCentre, Version: r.Version, Usable: c.usable(now, id), Reclaimable: r.Reclaimable}
		if limit := c.statements.inForce(r.process()); limit != nil {
			status.Limit = &limit.PerSecond
		}
		if s := c.statements.brittle.Get(r.Service); s != nil {
			places := c.places(s, r)
			status.Places = &places
		}
		status.SaysLeaving = c.statements.leaves(r.process())
		if until, resting := c.statements.resting(now, r.process()); resting {
			status.RestLeft = until.Sub(now).Round(time.Millisecond).String()
		}
		c.addSpeedStatus(id, &status)
		s.Servers = append(s.Servers, status)
		return true
	})
	c.peers.All(func(name entity.InstanceID, r *peerRow) bool {
		lastReceived := "never"
		if !r.lastReceived.IsZero() {
			lastReceived = now.Sub(r.lastReceived).Round(time.Millisecond).String()
		}
		s.Daemons = append(s.Daemons, DaemonStatus{name, lastReceived, r.serving, r.leaving, r.version, r.unreachable})
		return true
	})
	s.Suspects = c.suspectStatus(now)
	sort.Slice(s.Servers, func(i, j int) bool { return s.Servers[i].ID < s.Servers[j].ID })
	sort.Slice(s.Daemons, func(i, j int) bool { return s.Daemons[i].Name < s.Daemons[j].Name })
	return s
}

// maxStatusContents limits the contents in a Status.
const maxStatusContents = 100

// suspectStatus returns the suspect contents, those with most deaths first.
func (c *Core) suspectStatus(now time.Time) []ContentStatus {
	registry := c.crash.registry
	var out []ContentStatus
	var last entity.Digest
	for _, d := range registry.ListDeaths(now, 1, maxStatusContents) {
		if d.Digest == last {
			continue // a further death of the same content
		}
		last = d.Digest
		out = append(out, ContentStatus{ShortDigest(d.Digest), registry.Deaths(now, d.Digest), c.crash.quarantined(now, d.Digest)})
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Deaths > out[j].Deaths })
	return out
}
