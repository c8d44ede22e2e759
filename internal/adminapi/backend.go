// Package adminapi serves the operators' HTTP API of a daemon and holds the
// client that the command line uses for it.
package adminapi

import (
	"context"
	"io"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/configuration"
	"github.com/gooseberryslip/gooseberryslip/internal/timeline"
)

// Backend is the daemon behind the API. Its methods are called from several
// goroutines.
type Backend interface {
	// Apply makes a change and waits for its outcome. An error means that the
	// outcome is not known, as when ctx ends first.
	Apply(ctx context.Context, c configuration.Change) (configuration.ApplyOutcome, error)
	// Documents returns the documents in force, without deleted ones.
	Documents(ctx context.Context) ([]configuration.Document, error)
	// Document returns the newest document of a service, also a deletion.
	Document(ctx context.Context, s entity.ServiceName) (configuration.Document, bool, error)
	// History returns past documents of a service, newest first.
	History(ctx context.Context, s entity.ServiceName) ([]configuration.Document, error)
	// Status returns what this daemon knows of itself and of the others.
	Status(ctx context.Context) (Status, error)
	// Plan returns the fleet plan of a service, or which daemon has it.
	Plan(ctx context.Context, s entity.ServiceName) (Plan, bool, error)
	// Drain starts a graceful stop of this daemon. It returns at once.
	Drain(ctx context.Context) error
	// Events returns the events that this daemon keeps.
	Events(ctx context.Context, f timeline.Filter) (timeline.Export, error)
	// NotReady returns why the daemon takes no new callers, or "".
	NotReady() string
	// WriteMetrics writes all metrics in the Prometheus text format.
	WriteMetrics(w io.Writer)
}

// Status is a daemon's view of itself and of the others.
type Status struct {
	Daemon   DaemonStatus    `json:"daemon"`
	Peers    []PeerStatus    `json:"peers"`
	Services []ServiceStatus `json:"services"`
}

// DaemonStatus describes the daemon that was asked.
type DaemonStatus struct {
	Instance     entity.InstanceID `json:"instance"`
	Place        entity.Place      `json:"place"`
	Version      string            `json:"version"`
	StartedAt    time.Time         `json:"started_at"`
	Revision     uint64            `json:"revision"` // of the configuration in force
	Head         uint64            `json:"head"`     // the highest revision it knows of
	Current      bool              `json:"current"`  // knows that its configuration is current
	Draining     bool              `json:"draining"`
	InFlight     int               `json:"in_flight"` // requests
	Connections  int               `json:"connections"`
	Callers      string            `json:"callers"` // advertised address
	NotReady     string            `json:"not_ready,omitempty"`
	ReclaimAt    time.Time         `json:"reclaim_at,omitzero"`
	TableFailing bool              `json:"table_failing"`
}

// PeerStatus is another daemon as the one that was asked knows it.
type PeerStatus struct {
	Instance entity.InstanceID `json:"instance"`
	Place    entity.Place      `json:"place"`
	State    string            `json:"state"` // such as alive, suspect, leaving
	Admin    string            `json:"admin"` // advertised address of its API
}

// ServiceStatus is a service as the daemon that was asked knows it.
type ServiceStatus struct {
	Service        entity.ServiceName    `json:"service"`
	Revision       uint64                `json:"revision"`
	Mode           entity.Mode           `json:"mode"`
	Kind           entity.BackendKind    `json:"kind"`
	BackendServers []BackendServerStatus `json:"backend_servers"`
}

// BackendServerStatus is one back end of a service.
type BackendServerStatus struct {
	ID       entity.BackendServerID `json:"id"`
	Address  string                 `json:"address"`
	Place    entity.Place           `json:"place"`
	State    string                 `json:"state"` // such as serving, leaving, silent
	Slots    int                    `json:"slots"`
	InFlight int                    `json:"in_flight"` // requests of the daemon that was asked
}
