// Package node builds a complete daemon process from its settings: sockets,
// clients of the platform (table, object store and cloud), the core and its
// systems.
package node

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/net/netutil"

	"github.com/gooseberryslip/gooseberryslip/internal/adminapi"
	"github.com/gooseberryslip/gooseberryslip/internal/core"
	"github.com/gooseberryslip/gooseberryslip/internal/daemon"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/logging"
	"github.com/gooseberryslip/gooseberryslip/internal/peer"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/settings"
	"github.com/gooseberryslip/gooseberryslip/internal/system/admission"
	"github.com/gooseberryslip/gooseberryslip/internal/system/configuration"
	"github.com/gooseberryslip/gooseberryslip/internal/system/fleet"
	"github.com/gooseberryslip/gooseberryslip/internal/system/grant"
	"github.com/gooseberryslip/gooseberryslip/internal/system/journal"
	"github.com/gooseberryslip/gooseberryslip/internal/system/membership"
	"github.com/gooseberryslip/gooseberryslip/internal/system/retry"
	"github.com/gooseberryslip/gooseberryslip/internal/timeline"
)

const (
	// journalShardCount is the number of shards of the journal. It must be the
	// same on all daemons and must never change.
	journalShardCount = 16
	// closeTimeout is the time limit for closing the servers and the peers'
	// transport.
	closeTimeout = 2 * time.Second
)

// Config holds what a node is built from.
type Config struct {
	Settings *settings.Settings
	// PeerTLS, if set, is used instead of the certificate files for peers that
	// the settings name. Quick starts set it.
	PeerTLS *tls.Config
	Table   provider.Table
	Objects provider.ObjectStore
	Cloud   provider.Cloud // nil: no instance list and no managed services
	Log     *logging.Log
	// Operators may use the administration API.
	Operators adminapi.Operators
	Version   string
}

// Node is one daemon process.
type Node struct {
	cfg            Config
	id             entity.InstanceID
	daemon         *daemon.Daemon
	peers          *peer.Transport
	events         *timeline.Recorder
	callerListener net.Listener
	adminListener  net.Listener
	httpServers    []*http.Server
	started        time.Time
}

// New opens the sockets and builds the daemon. Requests are served only once Run
// is called.
func New(cfg Config) (*Node, error) {
	s := cfg.Settings
	n := &Node{
		cfg:     cfg,
		started: time.Now(),
	}
	n.id = daemonID(s.Instance.ID, n.started)
	n.events = timeline.NewRecorder(n.id, s.Instance.DataCentre, timeline.DefaultCapacity)
	inbox := daemon.NewInbox()
	if err := n.listen(inbox); err != nil {
		n.closeListeners()
		return nil, err
	}
	n.daemon = daemon.New(daemon.Dependencies{
		Core:    newCore(cfg, n.self()),
		Inbox:   inbox,
		Peers:   n.peers,
		Table:   cfg.Table,
		Objects: cfg.Objects,
		Cloud:   cfg.Cloud,
		Log:     cfg.Log,
		Events:  n.events,
		Options: daemon.Options{AddressTTL: s.Limits.AddressTTL},
	})
	return n, nil
}

// listen opens the sockets for callers, operators and peers.
func (n *Node) listen(inbox *daemon.Inbox) error {
	l := n.cfg.Settings.Listen
	var err error
	if n.callerListener, err = net.Listen("tcp", l.Callers); err != nil {
		return merry.Prependf(err, "listen for callers on %s", l.Callers)
	}
	n.callerListener = netutil.LimitListener(n.callerListener, n.cfg.Settings.Limits.MaxConnections)
	if n.adminListener, err = net.Listen("tcp", l.Admin); err != nil {
		return merry.Prependf(err, "listen for operators on %s", l.Admin)
	}
	n.peers, err = n.newTransport(inbox)
	return merry.Prependf(err, "listen for peers on %s", l.Peers)
}

// closeListeners closes the TCP listeners that listen has opened.
func (n *Node) closeListeners() {
	for _, l := range []net.Listener{n.callerListener, n.adminListener} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// newTransport opens the UDP socket for peers. Received messages go to the
// inbox.
func (n *Node) newTransport(inbox *daemon.Inbox) (*peer.Transport, error) {
	s := n.cfg.Settings
	return peer.New(peer.Config{
		Self:   n.id,
		Listen: s.Listen.Peers,
		TLS:    n.cfg.PeerTLS,
		TLSFiles: peer.TLSFiles{
			Certificate: s.TLS.Peers.Cert, Key: s.TLS.Peers.Key, Authority: s.TLS.Peers.CA,
		},
		Handler: func(from entity.InstanceID, addr string, _ peer.Channel, body []byte) {
			if err := inbox.PostMessage(from, addr, body, n.events); err != nil {
				n.cfg.Log.Logger().WithError(err).WithField("peer", from).Warn("malformed message dropped")
			}
		},
	})
}

// daemonID returns this daemon's ID, made from the ID of its instance and its
// start time. A restarted daemon gets a new ID, so that information about the
// previous process is not applied to it.
func daemonID(instance entity.InstanceID, startedAt time.Time) entity.InstanceID {
	const base = 36
	return instance + entity.InstanceID("."+strconv.FormatInt(startedAt.UnixMilli(), base))
}

// self describes this daemon to its peers.
func (n *Node) self() membership.Member {
	l := n.cfg.Settings.Listen
	return membership.Member{
		ID:         n.id,
		Addr:       advertisedAddress(l.AdvertisePeers, l.Peers, n.peers.Addr()),
		CallerAddr: advertisedAddress(l.AdvertiseCallers, l.Callers, n.callerListener.Addr().String()),
		AdminAddr:  advertisedAddress(l.AdvertiseAdmin, l.Admin, n.adminListener.Addr().String()),
		Location:   n.cfg.Settings.Instance.Location(),
	}
}

// advertisedAddress returns the address that others connect to: the configured
// one or, if that is empty or equal to the listen address, the actual address
// of the socket, since port 0 in a listen address stands for any free port.
func advertisedAddress(configured, listen, actual string) string {
	if configured == "" || configured == listen {
		return actual
	}
	return configured
}

// firstNonEmpty returns a, or b if a is empty.
func firstNonEmpty(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// newCore builds the core and its systems. Each has a separate random source.
func newCore(cfg Config, self membership.Member) *core.Core {
	s := cfg.Settings
	limits := core.DefaultLimits()
	limits.MaxRequests = s.Limits.MaxInFlight
	limits.DrainGrace = s.Drain.Grace
	return core.New(core.Config{
		Self:          self,
		Membership:    membership.New(membership.Config{Self: self, Seeds: s.Peers.Seeds, Rand: newRand()}),
		Configuration: configuration.New(configuration.Config{Self: self.ID, Rand: newRand()}),
		Journal: journal.New(journal.Config{
			Self: self.ID, Shards: journalShardCount, Rand: newRand(), WriteBudget: float64(s.Table.WritesPerSecond),
		}),
		Grants:    grant.New(grant.Config{Self: self.ID, Location: self.Location, Rand: newRand()}),
		Admission: admission.New(admission.Config{Self: self.ID, Rand: newRand()}),
		Retry:     retry.New(retry.Config{Rand: newRand()}),
		Fleet:     newFleet(cfg, self),
		Rand:      newRand(),
		Limits:    limits,
	})
}

// newFleet returns the system that plans fleets, or nil without a cloud.
func newFleet(cfg Config, self membership.Member) *fleet.System {
	if cfg.Cloud == nil {
		return nil
	}
	return fleet.New(fleet.Config{Self: self.ID, Rand: newRand()})
}

// newRand returns a randomly seeded source.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// CallerAddress returns host:port of the callers' API.
func (n *Node) CallerAddress() string { return n.callerListener.Addr().String() }

// AdminAddress returns host:port of the administration API.
func (n *Node) AdminAddress() string { return n.adminListener.Addr().String() }

// PeerAddress returns host:port of the peers' transport.
func (n *Node) PeerAddress() string { return n.peers.Addr() }

// Daemon returns the running daemon.
func (n *Node) Daemon() *daemon.Daemon { return n.daemon }

// Run serves until the daemon has drained. It starts the drain when ctx ends or
// when a server fails; in the latter case it returns the server's error.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	serveErrors := make(chan error, 2)
	n.startServing(n.callerListener, n.newCallerServer(), n.cfg.Settings.TLS.Callers, serveErrors)
	n.startServing(n.adminListener, n.newAdminServer(), n.cfg.Settings.TLS.Admin, serveErrors)
	go n.watchReclaimNotice(ctx)
	go n.daemon.Run(ctx)
	var err error
	select {
	case err = <-serveErrors:
		cancel()
	case <-n.daemon.Done():
	}
	<-n.daemon.Done()
	n.close()
	return err
}

// close closes the servers and the peers' transport. Calls in progress may
// complete within closeTimeout.
func (n *Node) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, s := range n.httpServers {
		_ = s.Shutdown(ctx)
	}
	_ = n.peers.Close(ctx)
}
