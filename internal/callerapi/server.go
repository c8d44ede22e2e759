// Package callerapi serves the callers' HTTP API, described in docs/API.md.
package callerapi

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/gooseberryslip/gooseberryslip/internal/core"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// Daemon is what the API needs of the daemon behind it.
type Daemon interface {
	// Submit gives a request to the daemon and returns its replies.
	Submit(w core.Work, timeout time.Duration) Replies
	// Fetch attaches to a request that was accepted before.
	Fetch(f core.Fetch) Replies
	// Cancel withdraws a request.
	Cancel(id entity.RequestID, org entity.OrganisationID) Replies
	// Authenticate returns the organisation with a bearer token.
	Authenticate(token string) (entity.OrganisationID, bool)
	// Addresses returns the daemons that callers should use.
	Addresses() Addresses
}

// Replies is the stream of replies to one caller.
type Replies interface {
	// Next returns the next reply. It fails when the context ends.
	Next(ctx context.Context) (core.Reply, error)
	// Close detaches the caller. It must be called once.
	Close()
}

// Addresses is the reply of GET /v1/addresses.
type Addresses struct {
	Addresses  []Address `json:"addresses"`
	TTLSeconds int       `json:"ttl_seconds"`
}

// Address is one daemon.
type Address struct {
	Address    string              `json:"address"` // host:port
	DataCentre entity.DataCentreID `json:"data_centre"`
}

// Limits bounds what one call can cost.
type Limits struct {
	MaxBody        int64         // bytes
	DefaultTimeout time.Duration // deadline of requests that name none
	MaxTimeout     time.Duration // longest deadline
}

// DefaultLimits returns the documented limits.
func DefaultLimits() Limits {
	return Limits{MaxBody: 1 << 20, DefaultTimeout: 30 * time.Second, MaxTimeout: 15 * time.Minute}
}

// server holds the parts that the handlers share.
type server struct {
	daemon Daemon
	limits Limits
}

// New returns the handler of the API.
func New(d Daemon, l Limits) http.Handler {
	s := &server{daemon: d, limits: l}
	r := mux.NewRouter()
	r.UseEncodedPath()
	r.HandleFunc("/v1/addresses", s.addresses).Methods(http.MethodGet)
	r.HandleFunc("/v1/services/{service}/requests", s.authenticated(s.submit)).Methods(http.MethodPost)
	r.PathPrefix("/v1/services/{service}/call/").HandlerFunc(s.authenticated(s.call))
	r.HandleFunc("/v1/requests/{id}", s.authenticated(s.fetch)).Methods(http.MethodGet)
	r.HandleFunc("/v1/requests/{id}", s.authenticated(s.cancel)).Methods(http.MethodDelete)
	r.NotFoundHandler = http.HandlerFunc(notFound)
	r.MethodNotAllowedHandler = http.HandlerFunc(notAllowed)
	return r
}

// addresses serves GET /v1/addresses.
func (s *server) addresses(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.daemon.Addresses())
}
