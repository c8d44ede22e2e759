// Package callerapi implements the HTTP API for callers, documented in docs/API.md.
package callerapi

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/gooseberryslip/gooseberryslip/internal/core"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// Daemon is the daemon that serves the callers' requests.
type Daemon interface {
	// Submit submits a request and returns the replies to it.
	Submit(w core.Work, timeout time.Duration) Replies
	// Fetch returns the replies to a request that was accepted earlier.
	Fetch(f core.Fetch) Replies
	// Cancel cancels a request of an organisation. The first reply is the outcome.
	Cancel(id entity.RequestID, org entity.OrganisationID) Replies
	// Authenticate returns the organisation with a bearer token, and whether there
	// is one.
	Authenticate(token string) (entity.OrganisationID, bool)
	// Addresses returns the addresses of the daemons that callers should use.
	Addresses() Addresses
}

// Replies is the stream of replies to one caller.
type Replies interface {
	// Next waits for the next reply. It returns an error when the context ends.
	Next(ctx context.Context) (core.Reply, error)
	// Close ends the delivery of replies to the caller. It must be called once.
	Close()
}

// Addresses is the body of the reply to GET /v1/addresses.
type Addresses struct {
	Addresses  []Address `json:"addresses"`
	TTLSeconds int       `json:"ttl_seconds"` // how long callers may use the addresses
}

// Address is the address of one daemon and the data centre it runs in.
type Address struct {
	Address    string              `json:"address"` // host:port
	DataCentre entity.DataCentreID `json:"data_centre"`
}

// Limits bounds the resources that one call can use.
type Limits struct {
	MaxBodyBytes   int64
	DefaultTimeout time.Duration // deadline of requests that do not set one
	MaxTimeout     time.Duration // longest deadline that a request may set
}

// DefaultLimits returns the documented limits.
func DefaultLimits() Limits {
	return Limits{MaxBodyBytes: 1 << 20, DefaultTimeout: 30 * time.Second, MaxTimeout: 15 * time.Minute}
}

// server holds the state shared by the handlers.
type server struct {
	daemon Daemon
	limits Limits
}

// NewHandler returns the HTTP handler of the API.
func NewHandler(d Daemon, l Limits) http.Handler {
	s := &server{daemon: d, limits: l}
	r := mux.NewRouter()
	r.UseEncodedPath()
	r.HandleFunc("/v1/addresses", s.serveAddresses).Methods(http.MethodGet)
	r.HandleFunc("/v1/services/{service}/requests", s.authenticate(s.serveSubmission)).Methods(http.MethodPost)
	r.PathPrefix("/v1/services/{service}/call/").HandlerFunc(s.authenticate(s.servePlainCall))
	r.HandleFunc("/v1/requests/{id}", s.authenticate(s.serveFetch)).Methods(http.MethodGet)
	r.HandleFunc("/v1/requests/{id}", s.authenticate(s.serveCancel)).Methods(http.MethodDelete)
	r.NotFoundHandler = http.HandlerFunc(serveNotFound)
	r.MethodNotAllowedHandler = http.HandlerFunc(serveMethodNotAllowed)
	return r
}

// serveAddresses serves GET /v1/addresses.
func (s *server) serveAddresses(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.daemon.Addresses())
}
