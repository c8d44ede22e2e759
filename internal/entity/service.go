package entity

import (
	"strings"
	"time"
)

// Mode says whether the system only routes to a service's backend servers or
// also runs them.
type Mode string

const (
	// ModeRoute routes to backend servers that are started and stopped outside
	// the system.
	ModeRoute Mode = "route"
	// ModeManage also launches instances and starts and stops backend servers
	// on them.
	ModeManage Mode = "manage"
)

// BackendKind is the kind of API that a service's backend servers offer.
type BackendKind string

const (
	// KindModel is a model inference server with a completions-style API.
	KindModel BackendKind = "model"
	// KindPlain is any HTTP service.
	KindPlain BackendKind = "plain"
)

// Service is the validated content of one service document.
type Service struct {
	Name           ServiceName
	Revision       uint64 // increases with each accepted change of any service document
	Mode           Mode
	Kind           BackendKind
	Latency        LatencyTarget
	Organisations  []OrganisationShare
	BackendServers []BackendServer
	Calls          []CallRule
	Retry          RetryPolicy
	Fleet          FleetPolicy
}

// Organisation returns the weight and limits of an organisation, or nil if it
// may not use the service.
func (s *Service) Organisation(id OrganisationID) *OrganisationShare {
	for i := range s.Organisations {
		if s.Organisations[i].ID == id {
			return &s.Organisations[i]
		}
	}
	return nil
}

// LatencyTarget holds a service's latency targets and the timeouts after which
// an attempt counts as failed.
type LatencyTarget struct {
	FirstToken    time.Duration // target until the first token or the response headers
	BetweenTokens time.Duration // target between two successive tokens
	FirstTimeout  time.Duration // timeout until the first token
	TokenTimeout  time.Duration // timeout between two successive tokens
}

// OrganisationShare holds the weight and limits of one organisation for a
// service.
type OrganisationShare struct {
	ID                OrganisationID
	CredentialSHA256  string   // hex SHA-256 of the organisation's bearer token
	Weight            int      // relative share of the capacity under contention
	RequestsPerSecond float64  // over all daemons
	RequestBurst      int      // requests that may exceed the rate at once
	TokensPerSecond   float64  // over all daemons; 0: no limit
	TopPriority       Priority // the most urgent priority that it may use
}

// BackendServer is one backend server of a service.
type BackendServer struct {
	ID           BackendServerID `cbor:"1,keyasint" json:"id"`
	Service      ServiceName     `cbor:"2,keyasint" json:"service"`
	Address      string          `cbor:"3,keyasint" json:"address"` // host:port
	Location     Location        `cbor:"4,keyasint" json:"place"`
	Slots        int             `cbor:"5,keyasint" json:"slots"`         // requests that it handles at the same time
	ChecksFences bool            `cbor:"6,keyasint" json:"checks_fences"` // whether it rejects outdated fencing tokens
}

// CallRule is a rule for the calls of a plain service that match its method and
// path prefix.
type CallRule struct {
	Method     string // "*" stands for any
	PathPrefix string
	Repeatable bool // whether such a call may be sent more than once
}

// RetryPolicy bounds the attempts of a request after its first.
type RetryPolicy struct {
	MaxAttempts int     // attempts per request, the first included
	BudgetRatio float64 // retries allowed per first attempt
}

// FleetPolicy bounds what the fleet planner may launch for a managed service.
type FleetPolicy struct {
	MinServers    int
	MaxServers    int
	SlotsPerHost  int      // requests that one backend server handles at the same time
	Classes       []string // machine classes, the preferred one first
	DataCentres   []DataCentreID
	MaxHourlyCost float64 // in the cloud's currency, for the whole service; 0: no limit
	Model         string  // model that a started backend server serves
	Port          int     // TCP port that a started backend server listens on
	ChecksFences  bool    // whether a started backend server rejects outdated fencing tokens
}

// Repeatable reports whether a call of a plain service may be sent more than
// once. The first rule in Calls that matches decides; if none does, only the
// safe methods (RFC 9110, section 9.2.1) are repeatable.
func (s *Service) Repeatable(method, path string) bool {
	for _, c := range s.Calls {
		if (c.Method == "*" || c.Method == method) && strings.HasPrefix(path, c.PathPrefix) {
			return c.Repeatable
		}
	}
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE":
		return true
	default:
		return false
	}
}
