// Package exchange decides on forwarded exchanges: a caller's HTTP request that is
// passed on to one backend server of a service, and whose answer is passed back
// byte for byte. It holds the routes, the callers' keys, the state of the backend
// servers and the requests in flight. It does no I/O and reads no clock.
package exchange

import (
	"sort"
	"strings"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// RouteKind says whether requests of a route may run more than once and how they
// are answered.
type RouteKind uint8

const (
	// AtMostOnce requests run on one backend server at most once.
	AtMostOnce RouteKind = iota + 1
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by a series of events.
	Stream
)

// Document is one version of the configuration of all services.
type Document struct {
	Version       uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        CallerLimits
}

// Route sends the requests to a host whose paths have a prefix to services.
type Route struct {
	Name           string
	Host           string
	Prefix         string // begins and ends with a slash
	Kind           RouteKind
	Resumable      bool          // a stream may be continued by another backend server
	Timeout        time.Duration // maximum time from a request's arrival to its final answer
	Objective      time.Duration // an answer within this is on time; 0: no objective
	PauseObjective time.Duration // maximum pause between two events that is on time
	Priority       int           // 0 is the most urgent
	Targets        []Target
	MaxServers     int  // maximum number of backend servers that may run one request
	Public         bool // requests need no key
	ModelWork      bool // runs on model engines that cache prompts
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent || r.Resumable }

// Target is a service and its share of a route's requests.
type Target struct {
	Service entity.ServiceName
	Weight  int // relative to the route's other targets
}

// Service is the configuration of a service.
type Service struct {
	Name           entity.ServiceName
	HealthPath     string
	MaxConnections int
	Engine         *Engine // nil for a plain service
	Scale          *Scale  // nil if this system does not scale its backend servers
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots           int           // maximum requests in one batch
	CacheTokens     entity.Tokens // capacity of the memory shared by running requests and cached prompts
	CacheTokenBytes float64       // memory per token, in bytes
	// CopyBytesPerSecond is the rate at which an engine copies cached prompts from
	// another one; 0: it cannot.
	CopyBytesPerSecond float64
	TokensPerEvent     int
	Moves              bool          // a running request's memory can be moved to another engine
	Backups            bool          // a running request's memory can be copied as it grows
	HandleLife         time.Duration // how long a moved copy is kept
}

// Scale limits the number of backend servers of a service in each data centre.
type Scale struct {
	Min, Max         int                             // on-demand and reclaimable servers together
	BootTime         time.Duration                   // from a server's launch until it is ready
	ReclaimablePrice float64                         // of a reclaimable server, as a ratio of an on-demand server's price
	DataCentrePrices map[entity.DataCentreID]float64 // cheaper data centres are preferred
}

// Organisation is a customer with its keys and its quota.
type Organisation struct {
	ID           entity.OrganisationID
	Keys         []string
	Priority     int           // takes precedence over the route's
	HasPriority  bool          // the configuration sets Priority
	InTokens     bool          // the quota is counted in tokens; else in requests
	PlainTokens  entity.Tokens // cost of a request that does not state its size
	RatePerSec   float64       // tokens or requests; 0: no limit
	Burst        float64       // tokens or requests
	QuotaDefined bool          // the configuration sets a quota
}

// CallerLimits limits what callers may send and how long they may take.
type CallerLimits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration // maximum time to receive a request's header
	IdleTime    time.Duration // after which an idle connection is closed
}

// documentIndex holds a document with lookup tables for its routes, keys and
// services.
type documentIndex struct {
	doc    *Document
	byHost map[string][]*Route // by descending length of the prefix
	byKey  map[string]*Organisation
	byName map[entity.ServiceName]*Service
	// resumable has the services whose streams callers may resume.
	resumable map[entity.ServiceName]bool
}

func newDocumentIndex(doc *Document) *documentIndex {
	x := &documentIndex{
		doc:    doc,
		byHost: make(map[string][]*Route),
		byKey:  make(map[string]*Organisation),
		byName: make(map[entity.ServiceName]*Service),

		resumable: make(map[entity.ServiceName]bool),
	}
	for i := range doc.Routes {
		r := &doc.Routes[i]
		x.byHost[r.Host] = append(x.byHost[r.Host], r)
		if r.Kind == Stream && r.Resumable {
			for _, target := range r.Targets {
				x.resumable[target.Service] = true
			}
		}
	}
	for _, list := range x.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	for i := range doc.Organisations {
		o := &doc.Organisations[i]
		for _, key := range o.Keys {
			x.byKey[key] = o
		}
	}
	for i := range doc.Services {
		x.byName[doc.Services[i].Name] = &doc.Services[i]
	}
	return x
}

// matchRoute returns the host's route with the longest prefix that matches the
// path, or nil.
func (x *documentIndex) matchRoute(host, path string) *Route {
	for _, r := range x.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
