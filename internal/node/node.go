// Package node builds a whole daemon process from its settings: sockets, the
// clients of the platform, the core and its systems.
package node

import (
	"context"
	"crypto/tls"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/gooseberryslip/gooseberryslip/internal/callerapi"
	"github.com/gooseberryslip/gooseberryslip/internal/core"
	"github.com/gooseberryslip/gooseberryslip/internal/daemon"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/peer"
	"github.com/gooseberryslip/gooseberryslip/internal/platform"
	"github.com/gooseberryslip/gooseberryslip/internal/settings"
	"github.com/gooseberryslip/gooseberryslip/internal/system/admission"
	"github.com/gooseberryslip/gooseberryslip/internal/system/configuration"
	"github.com/gooseberryslip/gooseberryslip/internal/system/grant"
	"github.com/gooseberryslip/gooseberryslip/internal/system/journal"
	"github.com/gooseberryslip/gooseberryslip/internal/system/membership"
	"github.com/gooseberryslip/gooseberryslip/internal/system/retry"
)

const (
	// journalShards is the number of shards of the journal. It is the same on
	// all daemons, for ever.
	journalShards = 16
	// listInterval is the time between readings of the platform's list.
	listInterval = 5 * time.Second
	// closeTimeout bounds the end of the sockets.
	closeTimeout = 2 * time.Second
)

// Config holds what a node is built from.
type Config struct {
	Settings *settings.Settings
	// PeerTLS replaces the files named in the settings, for quick starts.
	PeerTLS  *tls.Config
	Table    platform.Table
	Objects  platform.ObjectStore
	Cloud    platform.Cloud // nil: no list, no managed services
	Log      *logrus.Logger
	Recorder daemon.Recorder
}

// Node is one daemon process.
type Node struct {
	cfg     Config
	daemon  *daemon.Daemon
	peers   *peer.Transport
	callers net.Listener
	server  *http.Server
}

// New opens the sockets and builds the daemon. Nothing is served before Run.
func New(cfg Config) (*Node, error) {
	s := cfg.Settings
	callers, err := net.Listen("tcp", s.Listen.Callers)
	if err != nil {
		return nil, merry.Prependf(err, "listen for callers on %s", s.Listen.Callers)
	}
	inbox := daemon.NewInbox()
	peers, err := newTransport(cfg, inbox)
	if err != nil {
		_ = callers.Close()
		return nil, err
	}
	n := &Node{cfg: cfg, peers: peers, callers: callers}
	n.daemon = daemon.New(daemon.Parts{
		Core:     newCore(cfg, n.self()),
		Inbox:    inbox,
		Peers:    peers,
		Table:    cfg.Table,
		Objects:  cfg.Objects,
		Cloud:    cfg.Cloud,
		Log:      cfg.Log,
		Recorder: cfg.Recorder,
		Options:  daemon.Options{AddressTTL: s.Limits.AddressTTL, ListInterval: listInterval},
	})
	n.server = n.callerServer()
	return n, nil
}

// newTransport opens the peers' socket.
func newTransport(cfg Config, inbox *daemon.Inbox) (*peer.Transport, error) {
	s := cfg.Settings
	t, err := peer.New(peer.Config{
		Self:   s.Instance.ID,
		Listen: s.Listen.Peers,
		TLS:    cfg.PeerTLS,
		TLSFiles: peer.TLSFiles{
			Certificate: s.TLS.Peers.Cert, Key: s.TLS.Peers.Key, Authority: s.TLS.Peers.CA,
		},
		Handler: func(from entity.InstanceID, addr string, _ peer.Channel, body []byte) {
			if err := inbox.PostMessage(from, addr, body); err != nil {
				cfg.Log.WithError(err).WithField("peer", from).Warn("malformed message dropped")
			}
		},
	})
	return t, merry.Prependf(err, "listen for peers on %s", s.Listen.Peers)
}

// self describes this daemon to the others.
func (n *Node) self() membership.Member {
	l := n.cfg.Settings.Listen
	return membership.Member{
		ID:         n.cfg.Settings.Instance.ID,
		Addr:       orElse(l.AdvertisePeers, n.peers.Addr()),
		CallerAddr: orElse(l.AdvertiseCallers, n.callers.Addr().String()),
		Place:      n.cfg.Settings.Instance.Place(),
	}
}

// orElse returns the first text that is not empty.
func orElse(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// newCore builds the core and its systems. Each has its own random numbers.
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
			Self: self.ID, Shards: journalShards, Rand: newRand(), WriteBudget: float64(s.Table.WritesPerSecond),
		}),
		Grants:    grant.New(grant.Config{Self: self.ID, Place: self.Place, Rand: newRand()}),
		Admission: admission.New(admission.Config{Rand: newRand()}),
		Retry:     retry.New(retry.Config{Rand: newRand()}),
		Rand:      newRand(),
		Limits:    limits,
	})
}

// newRand returns a randomly seeded source.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// callerServer returns the server of the callers' API with its limits.
func (n *Node) callerServer() *http.Server {
	const maxHeaderBytes = 16 << 10
	s := n.cfg.Settings
	limits := callerapi.DefaultLimits()
	limits.MaxBody = s.Limits.MaxBodyBytes
	return &http.Server{
		Handler:           callerapi.New(n.daemon, limits),
		ReadHeaderTimeout: s.Limits.HeaderTimeout,
		IdleTimeout:       time.Minute,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// CallerAddress returns host:port of the callers' API.
func (n *Node) CallerAddress() string { return n.callers.Addr().String() }

// PeerAddress returns host:port of the peers' transport.
func (n *Node) PeerAddress() string { return n.peers.Addr() }

// Daemon returns the running daemon.
func (n *Node) Daemon() *daemon.Daemon { return n.daemon }

// Run serves until the context ends and the drain that follows is over.
func (n *Node) Run(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- n.serveCallers() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		n.daemon.Run(ctx)
	}()
	var err error
	select {
	case err = <-failed:
		cancel()
		<-ended
	case <-ended:
	}
	n.close()
	return err
}

// serveCallers serves the callers' API until the server is closed.
func (n *Node) serveCallers() error {
	pair := n.cfg.Settings.TLS.Callers
	var err error
	if pair.Set() {
		err = n.server.ServeTLS(n.callers, pair.Cert, pair.Key)
	} else {
		err = n.server.Serve(n.callers)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// close ends the sockets. Calls in flight have a moment to end.
func (n *Node) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = n.server.Shutdown(ctx)
	_ = n.peers.Close(ctx)
}
