// Package gateway is the shell of forwarded exchanges: it owns the sockets, the
// goroutines and the clock, asks the core (package exchange) what to do with
// each request and does it.
package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/clock"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
	"github.com/gooseberryslip/gooseberryslip/internal/logging"
	"github.com/gooseberryslip/gooseberryslip/internal/outbound"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

// Dialect translates between HTTP headers and the project's types, for callers
// on one side and backend servers on the other.
type Dialect interface {
	// Request reads what a caller's request says of itself.
	Request(r *http.Request) exchange.Request
	// Forwarded returns the header fields that are passed on with an attempt.
	Forwarded(in http.Header, a *exchange.Attempt, after string) http.Header
	// Mine reports whether an answer belongs to the request.
	Mine(resp *http.Response, id entity.RequestID) bool
	// Echoes reports whether an answer names the request.
	Echoes(resp *http.Response, id entity.RequestID) bool
	// Classify says what an answer proves.
	Classify(resp *http.Response) Reply
	// Returned returns the header fields that are passed back.
	Returned(in http.Header) http.Header
	// AddressQuery reads which data centre a caller that asks for addresses is in.
	AddressQuery(r *http.Request) entity.DataCentreID
	// AddressAnswer returns the body of the answer.
	AddressAnswer(addresses []string, ttl time.Duration) ([]byte, error)
}

// Reply is what an answer of a backend server proves.
type Reply uint8

const (
	// Genuine answers come from the backend server's own work.
	Genuine Reply = iota + 1
	// NotExecuted answers prove that the request has not run.
	NotExecuted
	// OtherServer answers come from another backend server; not run.
	OtherServer
	// Doubtful answers prove nothing.
	Doubtful
)

// Settings of a gateway.
type Settings struct {
	Name        entity.InstanceID
	DataCentre  entity.DataCentreID
	DataCentres []entity.DataCentreID // all of the fleet
	Listen      Listen
	Grace       time.Duration // from the stop signal to the kill
	AddressTTL  time.Duration
	Revoke      time.Duration // a key that was taken away is refused after this
	RetryRatio  float64
	RetrySlack  float64
	QuotaWindow time.Duration // in which quotas are judged
	QuotaOver   float64       // part of a window's quota that may be exceeded
	QuotaSlack  float64       // units that may be exceeded beside
	UsageWindow time.Duration
	MemoryBytes int64 // that the process may use
	Duties      bool  // whether usage and orders are this system's to send
}

// Listen holds IP numbers and ports.
type Listen struct {
	Callers   string
	Ready     string
	Addresses string // callers ask there where to connect
	Peers     string // UDP
	Metrics   string
}

// Config holds what a gateway is made of.
type Config struct {
	Settings      Settings
	Dialect       Dialect
	Table         provider.Table
	Clock         func(context.Context) (time.Duration, error) // the table service's
	Configuration provider.Feed[*exchange.Document]
	Servers       provider.Feed[exchange.BackendServer]
	Duties        provider.Duties
	Log           *logging.Log
}

// Gateway serves forwarded exchanges.
type Gateway struct {
	Config
	pool    *outbound.Pool
	meter   *meter
	bodies  bodyBudget
	flight  sync.WaitGroup
	stopped chan struct{} // closed when the stop signal has come

	mu   sync.Mutex // guards core
	core *exchange.Core
	self exchange.Member
}

// staleMargin is taken off the bound of revoked keys, for the time between the
// last check and the arrival at the backend server.
const staleMargin = 600 * time.Millisecond

// New returns a gateway. It does nothing before Run.
func New(cfg Config) *Gateway {
	now := clock.Now()
	s := &cfg.Settings
	self := exchange.Member{
		Name: s.Name, Start: now.UnixNano(), PeerAddr: s.Listen.Peers, CallerAddr: s.Listen.Callers, DataCentre: s.DataCentre,
	}
	g := &Gateway{Config: cfg, pool: outbound.NewPool(), meter: newMeter(), self: self, stopped: make(chan struct{})}
	g.bodies.limit = s.MemoryBytes / 4
	g.core = exchange.New(exchange.Config{
		Self: self, DataCentres: s.DataCentres, Started: now, Rand: newRand(),
		Bounds: exchange.Bounds{
			StaleAfter: s.Revoke - staleMargin, RetryRatio: retryPart * s.RetryRatio, RetrySlack: retryPart * s.RetrySlack,
			QuotaWindow: s.QuotaWindow, QuotaOver: s.QuotaOver, QuotaSlack: s.QuotaSlack,
			UsageWindow: s.UsageWindow, ForgetServer: 10 * time.Second,
			NewsPerPeer: newsPerPeer, PeerForget: s.Revoke + 5*time.Second,
		},
	})
	return g
}

// retryPart is the part of the retry budget that is used, since the windows in
// which it is judged slide.
const retryPart = 0.6

// Run serves until the context ends and what was accepted is answered, or the
// grace has passed.
func (g *Gateway) Run(ctx context.Context) error {
	g.event(event.GatewayStarted, "", event.A("callers", g.Settings.Listen.Callers), event.A("addresses", g.Settings.Listen.Addresses))
	life, end := context.WithCancel(context.Background())
	defer end()
	servers, err := g.listen()
	if err != nil {
		return err
	}
	var background sync.WaitGroup
	g.start(life, &background)
	<-ctx.Done()
	g.stop()
	end()
	for _, s := range servers {
		_ = s.Close() // the process ends with them
	}
	background.Wait()
	g.event(event.GatewayStopped, "")
	return nil
}

// start starts what runs beside the requests.
func (g *Gateway) start(life context.Context, background *sync.WaitGroup) {
	background.Go(func() { g.watchConfiguration(life) })
	background.Go(func() { g.watchServers(life) })
	background.Go(func() { g.runPeers(life) })
	background.Go(func() { g.runHousekeeping(life) })
	if g.Settings.Duties {
		background.Go(func() { g.runDuties(life) })
	}
}

// locked runs f with the core to itself.
func (g *Gateway) locked(f func(c *exchange.Core, now time.Time)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.core, clock.Now())
}

// listen opens all sockets.
func (g *Gateway) listen() ([]*http.Server, error) {
	l := &g.Settings.Listen
	var out []*http.Server
	for _, s := range []struct {
		address string
		handler http.Handler
	}{
		{l.Callers, http.HandlerFunc(g.serveExchange)},
		{l.Ready, g.readyHandler()},
		{l.Addresses, g.addressHandler()},
		{l.Metrics, g.metricsHandler()},
	} {
		if s.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", s.address)
		if err != nil {
			return nil, err
		}
		server := newServer(s.handler, g.Log)
		out = append(out, server)
		go func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				g.Log.Logger().WithError(err).Error("a listener has failed")
			}
		}()
	}
	return out, nil
}

const (
	// headerTimeout bounds the time in which a caller sends a header.
	headerTimeout = 10 * time.Second
	// callerIdle is how long unused connections of callers are kept.
	callerIdle = 120 * time.Second
	// maxHeader is the largest header of a caller, in bytes.
	maxHeader = 64 << 10
)

func newServer(h http.Handler, log *logging.Log) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdle, MaxHeaderBytes: maxHeader,
		ErrorLog: quietLogger(log), DisableGeneralOptionsHandler: true,
	}
}

// sweepInterval is the time between two looks at unused connections and at who is
// heard.
const sweepInterval = 250 * time.Millisecond

func (g *Gateway) runHousekeeping(life context.Context) {
	for clock.Wait(life, sweepInterval) {
		g.pool.Sweep()
		g.locked(func(c *exchange.Core, now time.Time) { c.Tick(now) })
	}
}
