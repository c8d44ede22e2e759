// Package node builds a whole daemon process from its settings: sockets, the
// clients of the platform, the core and its systems.
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
	// journalShards is the number of shards of the journal. It is the same on
	// all daemons, for ever.
	journalShards = 16
	// closeTimeout bounds the end of the sockets.
	closeTimeout = 2 * time.Second
)

// Config holds what a node is built from.
type Config struct {
	Settings *settings.Settings
	// PeerTLS replaces the files named in the settings, for quick starts.
	PeerTLS *tls.Config
	Table   provider.Table
	Objects provider.ObjectStore
	Cloud   provider.Cloud // nil: no list, no managed services
	Log     *logging.Log
	// Operators may use the administration API.
	Operators adminapi.Operators
	Version   string
}

// Node is one daemon process.
type Node struct {
	cfg     Config
	id      entity.InstanceID
	daemon  *daemon.Daemon
	peers   *peer.Transport
	events  *timeline.Recorder
	callers net.Listener
	admin   net.Listener
	servers []*http.Server
	started time.Time
}

// New opens the sockets and builds the daemon. Nothing is served before Run.
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
	n.daemon = daemon.New(daemon.Parts{
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

// listen opens the sockets.
func (n *Node) listen(inbox *daemon.Inbox) error {
	l := n.cfg.Settings.Listen
	var err error
	if n.callers, err = net.Listen("tcp", l.Callers); err != nil {
		return merry.Prependf(err, "listen for callers on %s", l.Callers)
	}
	n.callers = netutil.LimitListener(n.callers, n.cfg.Settings.Limits.MaxConnections)
	if n.admin, err = net.Listen("tcp", l.Admin); err != nil {
		return merry.Prependf(err, "listen for operators on %s", l.Admin)
	}
	n.peers, err = n.newTransport(inbox)
	return merry.Prependf(err, "listen for peers on %s", l.Peers)
}

// closeListeners closes what listen has opened.
func (n *Node) closeListeners() {
	for _, l := range []net.Listener{n.callers, n.admin} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// newTransport opens the peers' socket.
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

// daemonID names this daemon: its instance and its boot. A restarted daemon is
// a new one, so that nothing said of the earlier one is taken for it.
func daemonID(instance entity.InstanceID, boot time.Time) entity.InstanceID {
	const base = 36
	return instance + entity.InstanceID("."+strconv.FormatInt(boot.UnixMilli(), base))
}

// self describes this daemon to the others.
func (n *Node) self() membership.Member {
	l := n.cfg.Settings.Listen
	return membership.Member{
		ID:         n.id,
		Addr:       advertised(l.AdvertisePeers, l.Peers, n.peers.Addr()),
		CallerAddr: advertised(l.AdvertiseCallers, l.Callers, n.callers.Addr().String()),
		AdminAddr:  advertised(l.AdvertiseAdmin, l.Admin, n.admin.Addr().String()),
		Place:      n.cfg.Settings.Instance.Place(),
	}
}

// advertised returns what others connect to: the address that the settings
// give to others or, where that is only the default, the one that the socket
// really has, since port 0 stands for any.
func advertised(given, listen, actual string) string {
	if given == "" || given == listen {
		return actual
	}
	return given
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
		Admission: admission.New(admission.Config{Self: self.ID, Rand: newRand()}),
		Retry:     retry.New(retry.Config{Rand: newRand()}),
		Fleet:     newFleet(cfg, self),
		Rand:      newRand(),
		Limits:    limits,
	})
}

// newFleet returns the planner, or nil without a cloud.
func newFleet(cfg Config, self membership.Member) *fleet.System {
	if cfg.Cloud == nil {
		return nil
	}
	return fleet.New(fleet.Config{Self: self.ID, Rand: newRand()})
}

// newRand returns a randomly seeded source.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// CallerAddress returns host:port of the callers' API.
func (n *Node) CallerAddress() string { return n.callers.Addr().String() }

// AdminAddress returns host:port of the operators' API.
func (n *Node) AdminAddress() string { return n.admin.Addr().String() }

// PeerAddress returns host:port of the peers' transport.
func (n *Node) PeerAddress() string { return n.peers.Addr() }

// Daemon returns the running daemon.
func (n *Node) Daemon() *daemon.Daemon { return n.daemon }

// Run serves until the context ends and the drain that follows is over.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error, 2)
	n.serve(n.callers, n.callerServer(), n.cfg.Settings.TLS.Callers, failed)
	n.serve(n.admin, n.adminServer(), n.cfg.Settings.TLS.Admin, failed)
	go n.watchNotice(ctx)
	go n.daemon.Run(ctx)
	var err error
	select {
	case err = <-failed:
		cancel()
	case <-n.daemon.Done():
	}
	<-n.daemon.Done()
	n.close()
	return err
}

// close ends the sockets. Calls in flight have a moment to end.
func (n *Node) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, s := range n.servers {
		_ = s.Shutdown(ctx)
	}
	_ = n.peers.Close(ctx)
}
