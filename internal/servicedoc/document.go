// Package servicedoc reads and checks service documents. A service document is a
// TOML document, one per service, that configures its backend servers, the
// organisations that may use it, and its latency, retry and fleet policies.
package servicedoc

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// MaxBytes is the largest size of a service document. A document must fit into
// one row of the table service.
const MaxBytes = 256 << 10

// document is a service document as TOML has it.
type document struct {
	Name           entity.ServiceName `toml:"name"`
	Mode           entity.Mode        `toml:"mode"`
	Kind           entity.BackendKind `toml:"kind"`
	Latency        latency            `toml:"latency"`
	Retry          retry              `toml:"retry"`
	Organisations  []organisation     `toml:"organisations"`
	BackendServers []backendServer    `toml:"backend_servers"`
	Calls          []call             `toml:"calls"`
	Fleet          fleet              `toml:"fleet"`
}

type latency struct {
	FirstToken    time.Duration `toml:"first_token"`
	BetweenTokens time.Duration `toml:"between_tokens"`
	FirstTimeout  time.Duration `toml:"first_timeout"`
	TokenTimeout  time.Duration `toml:"token_timeout"`
}

type retry struct {
	MaxAttempts int     `toml:"max_attempts"`
	BudgetRatio float64 `toml:"budget_ratio"`
}

type organisation struct {
	ID                entity.OrganisationID `toml:"id"`
	CredentialSHA256  string                `toml:"credential_sha256"`
	Weight            int                   `toml:"weight"`
	RequestsPerSecond float64               `toml:"requests_per_second"`
	RequestBurst      int                   `toml:"request_burst"`
	TokensPerSecond   float64               `toml:"tokens_per_second"`
	TopPriority       entity.Priority       `toml:"top_priority"`
}

type backendServer struct {
	ID           entity.BackendServerID `toml:"id"`
	Address      string                 `toml:"address"`
	Region       entity.RegionID        `toml:"region"`
	DataCentre   entity.DataCentreID    `toml:"data_centre"`
	Slots        int                    `toml:"slots"`
	ChecksFences bool                   `toml:"checks_fences"`
}

type call struct {
	Method     string `toml:"method"`
	PathPrefix string `toml:"path_prefix"`
	Repeatable bool   `toml:"repeatable"`
}

type fleet struct {
	MinServers    int                   `toml:"min_servers"`
	MaxServers    int                   `toml:"max_servers"`
	SlotsPerHost  int                   `toml:"slots_per_host"`
	Classes       []string              `toml:"classes"`
	DataCentres   []entity.DataCentreID `toml:"data_centres"`
	MaxHourlyCost float64               `toml:"max_hourly_cost"`
	Model         string                `toml:"model"`
	Port          int                   `toml:"port"`
	ChecksFences  bool                  `toml:"checks_fences"`
}

// defaultDocument returns a document with the values of keys that a service
// document leaves out.
func defaultDocument() *document {
	return &document{
		Mode: entity.ModeRoute,
		Latency: latency{
			FirstToken:    420 * time.Millisecond,
			BetweenTokens: 32 * time.Millisecond,
			FirstTimeout:  5 * time.Second,
			TokenTimeout:  2 * time.Second,
		},
		Retry: retry{MaxAttempts: 3, BudgetRatio: 0.2},
	}
}

// toService returns the service that the document describes.
func (d *document) toService() *entity.Service {
	s := &entity.Service{
		Name:    d.Name,
		Mode:    d.Mode,
		Kind:    d.Kind,
		Latency: entity.LatencyTarget(d.Latency),
		Retry:   entity.RetryPolicy(d.Retry),
		Fleet:   entity.FleetPolicy(d.Fleet),
	}
	for _, o := range d.Organisations {
		s.Organisations = append(s.Organisations, entity.OrganisationShare(o))
	}
	for _, b := range d.BackendServers {
		s.BackendServers = append(s.BackendServers, b.toEntity(d.Name))
	}
	for _, c := range d.Calls {
		s.Calls = append(s.Calls, entity.CallRule(c))
	}
	return s
}

// toEntity returns the entry as a backend server of the service.
func (b backendServer) toEntity(service entity.ServiceName) entity.BackendServer {
	return entity.BackendServer{
		ID:           b.ID,
		Service:      service,
		Address:      b.Address,
		Location:     entity.Location{Region: b.Region, DataCentre: b.DataCentre},
		Slots:        b.Slots,
		ChecksFences: b.ChecksFences,
	}
}
