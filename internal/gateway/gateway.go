// Package gateway forwards callers' HTTP requests to backend servers. It performs all
// input and output: it owns the sockets, the goroutines and the clock. What to do with
// each request is decided by exchange.Core, which does no input or output.
package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/buildinfo"
	"github.com/gooseberryslip/gooseberryslip/internal/clock"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
	"github.com/gooseberryslip/gooseberryslip/internal/logging"
	"github.com/gooseberryslip/gooseberryslip/internal/outbound"
	"github.com/gooseberryslip/gooseberryslip/internal/peer"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

// Dialect translates between the platform's HTTP headers and the project's types, for
// both callers and backend servers.
type Dialect interface {
	// ParseRequest parses a caller's request.
	ParseRequest(r *http.Request) exchange.Request
	// ForwardedHeader returns the header fields that are sent to the backend server with an
	// attempt. If after is not empty, it is the ID of the event after which the stream is
	// resumed.
	ForwardedHeader(in http.Header, a *exchange.Attempt, after string) http.Header
	// BelongsTo reports whether a response may belong to the request with this ID, and not to
	// another request on the same connection.
	BelongsTo(resp *http.Response, id entity.RequestID) bool
	// EchoesRequestID reports whether a response carries the request's ID.
	EchoesRequestID(resp *http.Response, id entity.RequestID) bool
	// Classify returns what a response proves about the attempt.
	Classify(resp *http.Response) Evidence
	// ServerStatement returns what a response of a backend server says of it. An error means
	// that a part of it is invalid and left out.
	ServerStatement(resp *http.Response) (exchange.ServerStatement, error)
	// ReturnedHeader returns the header fields of a backend server's response that are sent to
	// the caller.
	ReturnedHeader(in http.Header) http.Header
	// CallerDataCentre returns the data centre that is named in a caller's request for the
	// addresses of daemons.
	CallerDataCentre(r *http.Request) entity.DataCentreID
	// EncodeAddresses returns the body of the response with the addresses of daemons.
	EncodeAddresses(addresses []string, ttl time.Duration) ([]byte, error)
}

// Evidence is what a response of a backend server proves about the attempt.
type Evidence uint8

const (
	// Genuine: the response comes from the work of the backend server that was addressed.
	Genuine Evidence = iota + 1
	// NotExecuted: the request has not run.
	NotExecuted
	// WrongServer: another backend server received the request; it has not run.
	WrongServer
	// Inconclusive: the response proves nothing; the request may have run.
	Inconclusive
)

// Settings are the values that stay the same while a gateway runs.
type Settings struct {
	Name               entity.InstanceID
	DataCentre         entity.DataCentreID
	DataCentres        []entity.DataCentreID // of the whole fleet
	Listen             ListenAddresses
	StopGrace          time.Duration // from the stop signal until the process is killed
	AddressTTL         time.Duration // how long callers may use an address list
	KeyRevocationLimit time.Duration // within which a revoked API key must be refused
	RetryRatio         float64       // permitted retries for each first attempt, over all daemons
	RetryReserve       float64       // permitted retries in addition to the ratio in a RetryWindow, over all daemons
	RetryWindow        time.Duration // over which the retries are counted
	QuotaWindow        time.Duration // over which quotas are checked
	QuotaExcessRatio   float64       // ratio of a window's quota by which it may be exceeded
	QuotaExcessUnits   float64       // units by which a quota may be exceeded in addition
	UsageWindow        time.Duration // covered by one usage report
	MemoryBytes        int64         // limit of the process
	MaxDescriptors     int           // limit of the process's open files and sockets; 0: not stated
	DrainLimit         time.Duration // after which a backend server that drains must get no requests; 0: not stated
	LeaseDuration      time.Duration // in which two daemons may not alternate as lease holders; 0: lease.DefaultDuration
	ServerPace         bool          // whether the speed and pace of each backend server are learned
	LeaderTasks        bool          // whether this system sends usage reports and scaling requests
	Rollout            exchange.RolloutBounds
	LoadShedding       bool // whether requests are refused for others' sake while a service is short of room
}

// ListenAddresses holds the host:port on which each endpoint listens. An HTTP endpoint with an
// empty address is not served.
type ListenAddresses struct {
	Callers   string // callers' requests
	Ready     string // readiness probe
	Addresses string // lists the daemons to which callers may connect
	Peers     string // messages between daemons, over UDP
	Metrics   string // metrics and status page
}

// Config holds the settings and dependencies of a gateway.
type Config struct {
	Settings        Settings
	Dialect         Dialect
	Table           provider.Table
	TableClock      func(context.Context) (time.Duration, error) // reads the table service's steady clock
	OperatorEntries provider.Feed[OperatorEntry]
	Rollouts        provider.Rollouts // not used while Settings.Rollout has roll-outs off
	Servers         provider.Feed[exchange.BackendServer]
	LeaderTasks     provider.LeaderTasks
	Log             *logging.Log
	DialServer      outbound.DialFunc // opens connections to backend servers; nil: over TCP
}

// Gateway serves forwarded exchanges.
type Gateway struct {
	Config
	pool       *outbound.Pool
	meter      *meter
	bodyMemory bodyBudget
	heads      *headBudget
	uploads    *uploads
	requests   *requestGate
	stopSignal chan struct{}   // closed when the stop signal is received
	grace      context.Context // ends when requests in flight have no time left in a planned stop
	endGrace   context.CancelFunc
	streamNews chan struct{} // has an element while the core has records of streams to send
	notices    chan struct{} // has an element while the core has deaths to announce ahead of the next state update

	serverFeed      *serverFeed
	generations     *generationWatch
	unanswered      *unansweredWatch // calls of the table service without an answer
	newDeployment   atomic.Bool      // this process has been the first one on the table service
	proposedOrigin  time.Duration    // of the table's clock, by learnTrueTime; 0: none yet
	versionQuestion versionQuestion
	checkpointRead  atomic.Bool // this process has read a checkpoint
	authority       authorityState
	orders          *orderWatch

	transport     atomic.Pointer[peer.Transport] // to the other daemons; nil: none yet
	streamQueries *streamQueries

	mu   sync.Mutex // guards core
	core *exchange.Core
	self exchange.Member
}

// staleMargin is subtracted from Settings.KeyRevocationLimit, for the time between the last check
// of the API key and the request's arrival at the backend server.
const staleMargin = 600 * time.Millisecond

// New returns a gateway. It opens no sockets before Run.
func New(cfg Config) *Gateway {
	now := clock.Now()
	s := &cfg.Settings
	self := exchange.Member{
		Name: s.Name, Start: now.UnixNano(), PeerAddr: s.Listen.Peers, CallerAddr: s.Listen.Callers, DataCentre: s.DataCentre,
	}
	g := &Gateway{Config: cfg, pool: newPool(cfg.DialServer), meter: newMeter(), requests: newRequestGate(), self: self, stopSignal: make(chan struct{}), notices: make(chan struct{}, 1), streamNews: make(chan struct{}, 1), streamQueries: newStreamQueries(), generations: newGenerationWatch(), unanswered: newUnansweredWatch()}
	g.serverFeed = newServerFeed(g)
	g.orders = newOrderWatch(g)
	g.grace, g.endGrace = context.WithCancel(context.Background())
	g.bodyMemory.limitBytes = s.MemoryBytes / 4
	g.heads = newHeadBudget(s.MemoryBytes, g.meter)
	g.uploads = newUploads(g.meter)
	g.core = exchange.New(exchange.Config{
		Self: self, DataCentres: s.DataCentres, Started: now, Rand: newRand(), RecordVersions: true,
		ServerPace: s.ServerPace, LoadShedding: s.LoadShedding,
		Bounds: exchange.Bounds{
			StaleAfter: s.KeyRevocationLimit - staleMargin, RetryRatio: s.RetryRatio, RetryReserve: s.RetryReserve, RetryWindow: s.RetryWindow,
			QuotaWindow: s.QuotaWindow, QuotaExcessRatio: s.QuotaExcessRatio, QuotaExcessUnits: s.QuotaExcessUnits,
			UsageWindow: s.UsageWindow, ForgetServerAfter: 10 * time.Second,
			UpdateIntervalPerPeer: updateIntervalPerPeer, ForgetPeerAfter: s.KeyRevocationLimit + 5*time.Second,
			LeaseDuration: s.LeaseDuration, Rollout: s.Rollout,
		},
	})
	return g
}

func newPool(dial outbound.DialFunc) *outbound.Pool {
	if dial == nil {
		return outbound.NewPool()
	}
	return outbound.NewPoolWithDial(dial)
}

// Run serves until the context ends. It then completes the accepted requests within
// Settings.StopGrace.
func (g *Gateway) Run(ctx context.Context) error {
	build := buildinfo.Read()
	g.event(event.GatewayStarted, "", event.A("callers", g.Settings.Listen.Callers), event.A("addresses", g.Settings.Listen.Addresses),
		event.A("release", build.Version), event.A("revision", build.Revision))
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	servers, err := g.listen()
	if err != nil {
		return err
	}
	var background sync.WaitGroup
	g.startBackground(runCtx, &background)
	<-ctx.Done()
	g.stop(servers)
	cancel()
	background.Wait()
	g.event(event.GatewayStopped, "")
	return nil
}

// startBackground starts the goroutines that do not belong to one request.
func (g *Gateway) startBackground(runCtx context.Context, background *sync.WaitGroup) {
	background.Go(func() { g.watchOperatorEntries(runCtx) })
	background.Go(func() { g.watchServers(runCtx) })
	background.Go(func() { g.runPeers(runCtx) })
	background.Go(func() { g.runHousekeeping(runCtx) })
	background.Go(func() { g.runRestores(runCtx) })
	background.Go(func() { g.runSavedStreams(runCtx) })
	if g.Settings.Rollout.Enabled() {
		background.Go(func() { g.runRollouts(runCtx) })
	}
	if g.Settings.LeaderTasks || g.Settings.Rollout.Enabled() {
		background.Go(func() { g.runLeaderTasks(runCtx) })
	}
}

// coreWants is what the core wants to have done.
type coreWants struct {
	events  []event.Event
	probes  []exchange.Probe
	notice  bool     // deaths are to be announced
	streams bool     // records of streams are to be sent
	lost    []string // addresses whose idle connections are to be closed
}

// withCore calls f with exclusive access to the core, and then performs what the core
// wants: lines in the log, probes of backend servers and messages to other daemons.
func (g *Gateway) withCore(f func(c *exchange.Core, now time.Time)) {
	wants := g.lockedCore(f)
	for _, e := range wants.events {
		g.logEvent(e)
	}
	for _, p := range wants.probes {
		go g.probe(p)
	}
	for _, address := range wants.lost {
		g.pool.CloseIdle(address)
	}
	if wants.notice {
		signalOnce(g.notices)
	}
	if wants.streams {
		signalOnce(g.streamNews)
	}
}

// signalOnce adds an element to a channel with room for one, unless there is one, which
// stands for this one too.
func signalOnce(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

func (g *Gateway) lockedCore(f func(c *exchange.Core, now time.Time)) coreWants {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.core, clock.Now())
	return coreWants{g.core.TakeEvents(), g.core.TakeProbes(), g.core.NoticePending(), g.core.StreamNewsPending(), g.core.TakeLostAddresses()}
}

// housekeepingInterval is the time between two checks for idle connections that cannot be
// used any more and for daemons that have become silent.
const housekeepingInterval = 250 * time.Millisecond

func (g *Gateway) runHousekeeping(runCtx context.Context) {
	for clock.Wait(runCtx, housekeepingInterval) {
		lost := g.pool.CloseUnusable()
		g.withCore(func(c *exchange.Core, now time.Time) {
			c.ConnectionsLost(now, lost)
			c.Tick(now)
		})
	}
}
