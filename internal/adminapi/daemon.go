// Package adminapi implements the HTTP API through which operators control a
// daemon, and the client that the command line uses for it.
package adminapi

import (
	"context"
	"io"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/configuration"
	"github.com/gooseberryslip/gooseberryslip/internal/timeline"
)

// Daemon is the daemon that the API controls. Its methods must be safe for
// concurrent use.
type Daemon interface {
	// Apply applies a change of a service document and waits for its outcome.
	// An error means that the outcome is not known, for example because ctx
	// ended first.
	Apply(ctx context.Context, c configuration.Change) (configuration.ApplyOutcome, error)
	// Documents returns the service documents in force, without deleted ones.
	Documents(ctx context.Context) ([]configuration.Document, error)
	// Document returns the newest document of a service, which may record its
	// deletion. The bool is false if no document of the service is known.
	Document(ctx context.Context, s entity.ServiceName) (configuration.Document, bool, error)
	// History returns past documents of a service, newest first.
	History(ctx context.Context, s entity.ServiceName) ([]configuration.Document, error)
	// Status returns what this daemon knows of itself, its peers and the services.
	Status(ctx context.Context) (Status, error)
	// Plan returns the last fleet plan of a service if this daemon plans it, or
	// otherwise which daemon does. The bool is false if no planner is known.
	Plan(ctx context.Context, s entity.ServiceName) (Plan, bool, error)
	// Drain starts a graceful stop of this daemon and returns without waiting
	// for its end.
	Drain(ctx context.Context) error
	// Events returns the events that this daemon retains and that match the
	// filter.
	Events(ctx context.Context, f timeline.Filter) (timeline.Export, error)
	// NotReady returns why the daemon accepts no new callers, or "" if it does.
	NotReady() string
	// WriteMetrics writes all metrics in the Prometheus text format.
	WriteMetrics(w io.Writer)
}

// Status is a daemon's view of itself, its peers and the services.
type Status struct {
	Daemon   DaemonStatus    `json:"daemon"`
	Peers    []PeerStatus    `json:"peers"`
	Services []ServiceStatus `json:"services"`
}

// DaemonStatus describes the daemon that answered the status request.
type DaemonStatus struct {
	Instance             entity.InstanceID `json:"instance"`
	Location             entity.Location   `json:"place"`
	Version              string            `json:"version"`
	StartedAt            time.Time         `json:"started_at"`
	Revision             uint64            `json:"revision"` // revision of the configuration in force
	Head                 uint64            `json:"head"`     // the highest configuration revision that the daemon knows of
	ConfigurationCurrent bool              `json:"current"`  // the daemon knows that its configuration is current
	Draining             bool              `json:"draining"`
	InFlight             int               `json:"in_flight"`           // requests in flight
	PeerConnections      int               `json:"connections"`         // open connections with other daemons
	CallerAddress        string            `json:"callers"`             // advertised address of the API for callers
	NotReady             string            `json:"not_ready,omitempty"` // why the daemon accepts no new callers; empty: it does
	ReclaimAt            time.Time         `json:"reclaim_at,omitzero"` // when the daemon's instance will be reclaimed; zero: no reclaim was announced
	TableFailing         bool              `json:"table_failing"`       // the last operation of the table service or the object store failed
}

// PeerStatus is another daemon, as known to the daemon that answered the status
// request.
type PeerStatus struct {
	Instance     entity.InstanceID `json:"instance"`
	Location     entity.Location   `json:"place"`
	State        string            `json:"state"` // such as alive, suspect, leaving
	AdminAddress string            `json:"admin"` // advertised address of the peer's API for operators
}

// ServiceStatus is a service, as known to the daemon that answered the status
// request.
type ServiceStatus struct {
	Service        entity.ServiceName    `json:"service"`
	Revision       uint64                `json:"revision"` // revision of the service's document
	Mode           entity.Mode           `json:"mode"`
	Kind           entity.BackendKind    `json:"kind"`
	BackendServers []BackendServerStatus `json:"backend_servers"`
}

// BackendServerStatus is one backend server of a service.
type BackendServerStatus struct {
	ID       entity.BackendServerID `json:"id"`
	Address  string                 `json:"address"`
	Location entity.Location        `json:"place"`
	State    string                 `json:"state"`     // serving, or leaving while it drains
	Slots    int                    `json:"slots"`     // requests that the backend server runs at a time
	InFlight int                    `json:"in_flight"` // requests in flight of the daemon that answered the status request
}
