// Package exchange decides on forwarded exchanges: a caller's HTTP request that
// is passed on to one backend server of a service and whose answer is passed
// back byte for byte. It holds the routes, the callers' keys, the backend
// servers and the requests in flight, and does no I/O and reads no clock.
package exchange

import (
	"sort"
	"strings"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// RouteKind says what may be repeated on a route.
type RouteKind uint8

const (
	// AtMostOnce requests are run by one backend server once, or not at all.
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

// Route sends the requests of a host below a path prefix to services.
type Route struct {
	Name           string
	Host           string
	Prefix         string // begins and ends with a slash
	Kind           RouteKind
	Resumable      bool          // a stream may go on at another backend server
	Timeout        time.Duration // a request gets its final answer within this
	Objective      time.Duration // an answer within this is on time
	PauseObjective time.Duration // longest pause between two events on time
	Priority       int           // 0 is the most urgent
	Targets        []Target
	MaxServers     int  // backend servers that may run one request
	Public         bool // needs no key
	ModelWork      bool // runs on model engines that cache prompts
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent || r.Resumable }

// Target is a service with its part of a route's requests.
type Target struct {
	Service entity.ServiceName
	Weight  int
}

// Service is what the configuration says of a service.
type Service struct {
	Name           entity.ServiceName
	HealthPath     string
	MaxConnections int
	Engine         *Engine // nil for a plain service
	Scale          *Scale  // nil if its backend servers are not ordered by us
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots           int           // requests in one batch
	CacheTokens     entity.Tokens // memory shared by running requests and cached prompts
	CacheTokenBytes float64
	TokensPerEvent  int
	Moves           bool          // a running request's memory can be moved
	Backups         bool          // it can be copied as it grows
	HandleLife      time.Duration // how long a moved copy is kept
}

// Scale bounds the backend servers that may be ordered in each data centre.
type Scale struct {
	Min, Max         int // both classes together
	BootTime         time.Duration
	ReclaimablePrice float64 // of a reclaimable server, in parts of an on-demand one's price
	DataCentrePrices map[entity.DataCentreID]float64
}

// Organisation is a customer with its keys and its quota.
type Organisation struct {
	ID           entity.OrganisationID
	Keys         []string
	Priority     int  // goes before the route's
	HasPriority  bool // the configuration sets Priority
	InTokens     bool // the quota counts tokens; else requests
	PlainTokens  entity.Tokens
	RatePerSec   float64 // 0: no limit
	Burst        float64
	QuotaDefined bool
}

// CallerLimits bounds what callers may send.
type CallerLimits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// routes is the index of a document.
type routes struct {
	doc    *Document
	byHost map[string][]*Route // longest prefix first
	byKey  map[string]*Organisation
	byName map[entity.ServiceName]*Service
}

func index(doc *Document) *routes {
	x := &routes{
		doc:    doc,
		byHost: make(map[string][]*Route),
		byKey:  make(map[string]*Organisation),
		byName: make(map[entity.ServiceName]*Service),
	}
	for i := range doc.Routes {
		r := &doc.Routes[i]
		x.byHost[r.Host] = append(x.byHost[r.Host], r)
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

// match returns the route of a host with the longest prefix that begins the
// path, or nil.
func (x *routes) match(host, path string) *Route {
	for _, r := range x.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
