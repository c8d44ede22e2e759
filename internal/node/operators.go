package node

import (
	"context"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gooseberryslip/gooseberryslip/internal/adminapi"
	"github.com/gooseberryslip/gooseberryslip/internal/core"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/configuration"
	"github.com/gooseberryslip/gooseberryslip/internal/timeline"
)

// adminBackend implements adminapi.Daemon for a node.
type adminBackend struct{ n *Node }

// Apply makes a change and waits for its outcome.
func (b *adminBackend) Apply(ctx context.Context, c configuration.Change) (configuration.ApplyOutcome, error) {
	return b.n.daemon.Apply(ctx, c)
}

// Documents returns the service documents in force.
func (b *adminBackend) Documents(context.Context) ([]configuration.Document, error) {
	return b.n.daemon.View().Documents, nil
}

// Document returns the newest document of a service, even if it is a deletion.
func (b *adminBackend) Document(ctx context.Context, s entity.ServiceName) (configuration.Document, bool, error) {
	for _, d := range b.n.daemon.View().Documents {
		if d.Service == s {
			return d, true, nil
		}
	}
	past, err := b.History(ctx, s)
	if err != nil || len(past) == 0 {
		return configuration.Document{}, false, err
	}
	return past[0], true, nil
}

// History returns past documents of a service, newest first.
func (b *adminBackend) History(ctx context.Context, s entity.ServiceName) ([]configuration.Document, error) {
	h, err := b.n.daemon.History(ctx, s)
	if err != nil {
		return nil, err
	}
	return h.Documents, h.Err
}

// Status returns what this daemon knows of itself, its peers and the services.
func (b *adminBackend) Status(context.Context) (adminapi.Status, error) {
	v := b.n.daemon.View()
	return adminapi.Status{
		Daemon:   b.daemonStatus(&v),
		Peers:    b.peerStatus(&v),
		Services: serviceStatus(&v),
	}, nil
}

// daemonStatus describes this daemon.
func (b *adminBackend) daemonStatus(v *core.View) adminapi.DaemonStatus {
	self := b.n.self()
	return adminapi.DaemonStatus{
		Instance: self.ID, Location: self.Location, Version: b.n.cfg.Version, StartedAt: b.n.started,
		Revision: v.Revision, Head: v.Head, ConfigurationCurrent: v.Current, Draining: v.Draining,
		InFlight: v.InFlight, PeerConnections: b.n.peers.Connections(), CallerAddress: self.CallerAddr,
		NotReady: b.NotReady(), ReclaimAt: v.ReclaimAt, TableFailing: b.n.daemon.TableFailing(),
	}
}

// peerStatus describes the peers.
func (b *adminBackend) peerStatus(v *core.View) []adminapi.PeerStatus {
	var out []adminapi.PeerStatus
	for _, m := range v.Members {
		if m.ID != b.n.id {
			out = append(out, adminapi.PeerStatus{
				Instance: m.ID, Location: m.Location, State: m.State.String(), AdminAddress: m.AdminAddr,
			})
		}
	}
	return out
}

// serviceStatus describes the services and their backend servers.
func serviceStatus(v *core.View) []adminapi.ServiceStatus {
	load := v.LoadByBackend()
	var out []adminapi.ServiceStatus
	for _, s := range v.Services {
		status := adminapi.ServiceStatus{Service: s.Name, Revision: s.Revision, Mode: s.Mode, Kind: s.Kind}
		for _, server := range s.BackendServers {
			l := load[server.ID]
			state := "serving"
			if l.Draining {
				state = "leaving"
			}
			status.BackendServers = append(status.BackendServers, adminapi.BackendServerStatus{
				ID: server.ID, Address: server.Address, Location: server.Location,
				State: state, Slots: server.Slots, InFlight: l.Busy,
			})
		}
		out = append(out, status)
	}
	return out
}

// Drain starts a graceful stop of this daemon.
func (b *adminBackend) Drain(context.Context) error {
	b.n.daemon.Drain()
	return nil
}

// Events returns the events that this daemon retains and that match the filter.
func (b *adminBackend) Events(_ context.Context, f timeline.Filter) (timeline.Export, error) {
	return b.n.events.Export(f), nil
}

// NotReady returns why the daemon accepts no new callers, or "" if it does.
func (b *adminBackend) NotReady() string {
	v := b.n.daemon.View()
	switch {
	case v.Draining:
		return "draining"
	case !v.Current:
		return "cannot know whether its configuration is current"
	default:
		return ""
	}
}

// WriteMetrics writes all metrics in the Prometheus text format.
func (b *adminBackend) WriteMetrics(w io.Writer) { metrics.WritePrometheus(w, true) }
