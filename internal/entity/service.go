package entity

import (
	"strings"
	"time"
)

// Mode says how much of a service the system runs.
type Mode string

const (
	// ModeRoute only routes to backend servers that others run.
	ModeRoute Mode = "route"
	// ModeManage also starts, stops and orders backend servers.
	ModeManage Mode = "manage"
)

// BackendKind says what protocol a service's backend servers speak.
type BackendKind string

const (
	// KindModel is a model engine with a completions-style API.
	KindModel BackendKind = "model"
	// KindPlain is any HTTP service.
	KindPlain BackendKind = "plain"
)

// Service is the checked content of one service document.
type Service struct {
	Name           ServiceName
	Revision       uint64 // rises with every accepted change of any document
	Mode           Mode
	Kind           BackendKind
	Latency        LatencyTarget
	Organisations  []OrganisationShare
	BackendServers []BackendServer
	Calls          []Call
	Retry          RetryPolicy
	Fleet          FleetPolicy
}

// Organisation returns the share of an organisation, or nil if it may not use
// the service.
func (s *Service) Organisation(id OrganisationID) *OrganisationShare {
	for i := range s.Organisations {
		if s.Organisations[i].ID == id {
			return &s.Organisations[i]
		}
	}
	return nil
}

// LatencyTarget holds the limits after which an attempt counts as silent.
type LatencyTarget struct {
	FirstToken    time.Duration // target for the first token or the reply's head
	BetweenTokens time.Duration // target between two tokens
	FirstTimeout  time.Duration // no first token after this: the attempt has failed
	TokenTimeout  time.Duration // no further token after this: the attempt has failed
}

// OrganisationShare says what one organisation may use of a service.
type OrganisationShare struct {
	ID                OrganisationID
	CredentialSHA256  string // hex SHA-256 of the organisation's bearer token
	Weight            int    // share under contention, relative to the others
	RequestsPerSecond float64
	RequestBurst      int
	TokensPerSecond   float64 // 0: no limit
	TopPriority       Priority
}

// BackendServer is one back end of a service.
type BackendServer struct {
	ID           BackendServerID `cbor:"1,keyasint" json:"id"`
	Service      ServiceName     `cbor:"2,keyasint" json:"service"`
	Address      string          `cbor:"3,keyasint" json:"address"` // host:port
	Place        Place           `cbor:"4,keyasint" json:"place"`
	Slots        int             `cbor:"5,keyasint" json:"slots"` // requests at once
	ChecksFences bool            `cbor:"6,keyasint" json:"checks_fences"`
}

// Call says how calls of a plain service to a path are treated.
type Call struct {
	Method     string // "*" stands for any
	PathPrefix string
	Repeatable bool
}

// RetryPolicy bounds further attempts.
type RetryPolicy struct {
	MaxAttempts int
	BudgetRatio float64 // retries allowed per first attempt
}

// FleetPolicy says what the planner may start for a managed service.
type FleetPolicy struct {
	MinServers    int
	MaxServers    int
	SlotsPerHost  int
	Classes       []string // machine classes, preferred first
	DataCentres   []DataCentreID
	MaxHourlyCost float64 // in the cloud's currency; 0: no limit
	Model         string
	Port          int  // where a started backend server listens
	ChecksFences  bool // whether started backend servers refuse old fencing numbers
}

// Repeatable reports whether a call of a plain service may be sent twice. The
// first matching Call decides; without one, only safe methods (RFC 9110,
// section 9.2.1) may.
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
