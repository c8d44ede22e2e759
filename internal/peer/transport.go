// Package peer carries messages between daemons over QUIC with mutual TLS.
//
// Connections are dialled on demand, used in both directions and closed when
// idle; there are no keep-alive packets. Transport.SendDatagram is best effort.
// Transport.Send is reliable and ordered per peer while one connection lasts.
// When a connection is lost, so are the messages not yet delivered over it; the
// layers above send them again. 0-RTT is never used, so the network cannot
// replay messages.
package peer

import (
	"cmp"
	"context"
	"crypto/sha256"
	"crypto/tls"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/quic-go/quic-go"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// Channel is the way in which a message was sent.
type Channel uint8

const (
	// Datagrams is the best effort channel of Transport.SendDatagram.
	Datagrams Channel = iota + 1
	// Stream is the reliable channel of Transport.Send.
	Stream
)

// Address names a daemon and its UDP endpoint. With an empty ID, messages go to
// any daemon at the endpoint; otherwise they are dropped if another daemon than
// the named one is there.
type Address struct {
	ID   entity.InstanceID
	Addr string // IP address and port
}

const (
	defaultIdleTimeout       = 30 * time.Second
	defaultHandshakeTimeout  = 3 * time.Second
	defaultRedialDelay       = 500 * time.Millisecond
	defaultMaxMessageBytes   = 4 << 20
	defaultMaxQueuedMessages = 1024
	defaultMaxQueuedBytes    = 8 << 20
)

// Config holds the parameters of New. Zero durations and sizes are replaced by
// defaults.
type Config struct {
	Self   entity.InstanceID
	Listen string // IP address and UDP port; port 0 stands for any free port
	// TLS is used if set; otherwise TLSFiles are loaded.
	TLS      *tls.Config
	TLSFiles TLSFiles
	// Handler receives each message. It is called from several goroutines at
	// once, in order for the Stream messages of one connection, and owns the
	// body. While it blocks, no more messages are read from that channel of
	// the connection.
	Handler func(from entity.InstanceID, fromAddr string, channel Channel, body []byte)
	// ExchangeHandler serves an exchange that another daemon has opened, and returns when it
	// has ended. Without one, daemons cannot open exchanges with this one.
	ExchangeHandler func(from entity.InstanceID, x *Exchange)

	IdleTimeout       time.Duration // an unused connection is closed after this
	HandshakeTimeout  time.Duration // a dial or an exchange of hellos fails after this
	RedialDelay       time.Duration // pause after a failed dial; messages are dropped during it
	MaxMessageBytes   int           // max size of the body of one message
	MaxQueuedMessages int           // max messages waiting for one endpoint and channel
	MaxQueuedBytes    int           // max total size of the bodies waiting for one endpoint and channel
}

// withDefaults fills in zero values.
func (c Config) withDefaults() Config {
	c.IdleTimeout = cmp.Or(c.IdleTimeout, defaultIdleTimeout)
	c.HandshakeTimeout = cmp.Or(c.HandshakeTimeout, defaultHandshakeTimeout)
	c.RedialDelay = cmp.Or(c.RedialDelay, defaultRedialDelay)
	c.MaxMessageBytes = cmp.Or(c.MaxMessageBytes, defaultMaxMessageBytes)
	c.MaxQueuedMessages = cmp.Or(c.MaxQueuedMessages, defaultMaxQueuedMessages)
	c.MaxQueuedBytes = cmp.Or(c.MaxQueuedBytes, defaultMaxQueuedBytes)
	return c
}

// Transport sends to and receives from other daemons on one UDP socket.
type Transport struct {
	cfg      Config
	tls      *tls.Config
	quic     *quic.Transport
	listener *quic.Listener
	socket   net.PacketConn
	addr     string

	// ctx is cancelled when the transport is closed, which ends all
	// goroutines.
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu             sync.Mutex // guards the fields below; locked before a link's mutex
	links          map[string]*link
	sweepThreshold int // number of links from which unused ones are removed
	closing        bool
}

// New opens the socket and starts to accept connections.
func New(cfg Config) (*Transport, error) {
	cfg = cfg.withDefaults()
	if cfg.Self == "" || cfg.Handler == nil {
		return nil, merry.New("peer: Self and Handler must be set")
	}
	tlsConfig := cfg.TLS
	if tlsConfig == nil {
		var err error
		tlsConfig, err = cfg.TLSFiles.loadTLSConfig()
		if err != nil {
			return nil, merry.Prepend(err, "peer: load certificates")
		}
	}
	socket, err := net.ListenPacket("udp", cfg.Listen)
	if err != nil {
		return nil, merry.Prepend(err, "peer: open UDP socket")
	}
	t := &Transport{
		cfg:            cfg,
		tls:            tlsConfig,
		socket:         socket,
		addr:           socket.LocalAddr().String(),
		links:          make(map[string]*link),
		sweepThreshold: minSweepThreshold,
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.quic = &quic.Transport{Conn: socket, StatelessResetKey: statelessResetKey(tlsConfig, t.addr)}
	t.listener, err = t.quic.Listen(tlsConfig, cfg.quicConfig())
	if err != nil {
		return nil, merry.Prepend(errors.Join(err, socket.Close()), "peer: start QUIC listener")
	}
	t.goroutines.Go(t.acceptAll)
	return t, nil
}

// statelessResetKey derives the key for QUIC stateless resets from the private
// key and the endpoint. A daemon that has restarted on the same endpoint thus
// has the same key and can answer packets of its previous connections with a
// reset, from which the peers learn at once that these connections are gone. It
// returns nil without a private key.
func statelessResetKey(c *tls.Config, addr string) *quic.StatelessResetKey {
	secret, err := privateKeyBytes(c)
	if err != nil {
		return nil
	}
	h := sha256.New()
	h.Write([]byte("gooseberryslip stateless reset\x00" + addr + "\x00"))
	h.Write(secret)
	return (*quic.StatelessResetKey)(h.Sum(nil))
}

const (
	initialStreamWindowBytes = 64 << 10
	maxStreamWindowBytes     = 256 << 10
	initialConnWindowBytes   = 128 << 10
	// maxConnWindowBytes is for many streams: an exchange that is not read must not hold up the
	// others, nor the messages.
	maxConnWindowBytes = 8 << 20
)

// quicConfig returns the configuration of all connections. Each side opens one
// unidirectional stream, and a bidirectional one for each exchange. Path MTU discovery is disabled: its probes would cost
// more bytes than most connections carry.
func (c Config) quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           c.HandshakeTimeout,
		MaxIdleTimeout:                 c.IdleTimeout,
		InitialStreamReceiveWindow:     initialStreamWindowBytes,
		MaxStreamReceiveWindow:         maxStreamWindowBytes,
		InitialConnectionReceiveWindow: initialConnWindowBytes,
		MaxConnectionReceiveWindow:     maxConnWindowBytes,
		MaxIncomingStreams:             c.maxIncomingExchanges(),
		MaxIncomingUniStreams:          1,
		DisablePathMTUDiscovery:        true,
		EnableDatagrams:                true,
		Allow0RTT:                      false,
	}
}

// Addr returns the IP address and UDP port on which the transport listens.
func (t *Transport) Addr() string { return t.addr }

// SendDatagram sends a message that may be lost, duplicated or reordered. It never
// blocks. A body that does not fit into one packet goes over the stream.
func (t *Transport) SendDatagram(to Address, body []byte) { t.send(to, Datagrams, body) }

// Send sends a message reliably and in order while the connection to the peer
// lasts. It never blocks; it drops and counts the message if the peer's queue
// is full, the peer cannot be reached or another daemon is at its endpoint.
func (t *Transport) Send(to Address, body []byte) { t.send(to, Stream, body) }

func (t *Transport) send(to Address, ch Channel, body []byte) {
	if len(body) > t.cfg.MaxMessageBytes {
		messagesDropped.tooLarge.Inc()
		return
	}
	l := t.link(to.Addr)
	if l == nil {
		messagesDropped.closed.Inc()
		return
	}
	l.enqueue(ch, outgoing{to: to.ID, body: body})
}

// Connections returns the number of open connections.
func (t *Transport) Connections() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, l := range t.links {
		n += l.connectionCount()
	}
	return n
}

const minSweepThreshold = 64 // links

// link returns the link to an endpoint, or nil if the transport is closing.
func (t *Transport) link(addr string) *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closing {
		return nil
	}
	l := t.links[addr]
	if l != nil {
		return l
	}
	if len(t.links) >= t.sweepThreshold {
		t.sweep()
	}
	l = &link{t: t, addr: addr}
	t.links[addr] = l
	return l
}

// sweep removes unused links. The caller holds t.mu. A link that another
// goroutine has just obtained may be removed too; the message that it then
// enqueues is dropped.
func (t *Transport) sweep() {
	now := time.Now()
	for addr, l := range t.links {
		if l.retireIfUnused(now) {
			delete(t.links, addr)
		}
	}
	t.sweepThreshold = max(minSweepThreshold, 2*len(t.links))
}

func (t *Transport) acceptAll() {
	for {
		conn, err := t.listener.Accept(t.ctx)
		if err != nil {
			return
		}
		connectionsAccepted.Inc()
		t.goroutines.Go(func() { t.serveAccepted(conn) })
	}
}

// serveAccepted exchanges hellos on a connection that a peer has dialled and
// reads from it until it ends.
func (t *Transport) serveAccepted(conn *quic.Conn) {
	c, err := t.exchangeHellos(conn, false)
	if err != nil {
		refuseConnection(conn, err)
		return
	}
	l := t.link(conn.RemoteAddr().String())
	if l == nil {
		c.closeWith(codeClosed)
		return
	}
	t.serveConnection(l, c)
}

// serveConnection reads from an open connection until it ends.
func (t *Transport) serveConnection(l *link, c *connection) {
	l.addConnection(c)
	if t.cfg.ExchangeHandler != nil {
		t.goroutines.Go(c.acceptExchanges)
	}
	c.readAll()
	l.removeConnection(c)
}

// dial connects to a peer and reads from the connection until it ends.
func (t *Transport) dial(l *link) {
	c, err := t.connect(l.addr)
	if err != nil {
		dialFailures.Inc()
		l.dialFailed(time.Now())
		return
	}
	t.serveConnection(l, c)
}

// connect dials an endpoint and exchanges hellos.
func (t *Transport) connect(addr string) (*connection, error) {
	endpoint, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, merry.Prepend(err, "peer: parse address")
	}
	ctx, cancel := context.WithTimeout(t.ctx, t.cfg.HandshakeTimeout)
	defer cancel()
	conn, err := t.quic.Dial(ctx, net.UDPAddrFromAddrPort(endpoint), t.tls, t.cfg.quicConfig())
	if err != nil {
		return nil, merry.Prepend(err, "peer: dial")
	}
	connectionsDialled.Inc()
	c, err := t.exchangeHellos(conn, true)
	if err != nil {
		refuseConnection(conn, err)
		return nil, err
	}
	return c, nil
}

// Close stops accepting messages, sends the queued ones, waits until the peers
// have read them and closes all connections. When ctx ends first, the remaining
// messages are dropped and ctx's error is returned.
func (t *Transport) Close(ctx context.Context) error {
	t.mu.Lock()
	t.closing = true
	links := make([]*link, 0, len(t.links))
	for _, l := range t.links {
		links = append(links, l)
	}
	t.mu.Unlock()
	var finishing sync.WaitGroup
	for _, l := range links {
		finishing.Go(func() { l.closeGracefully(ctx) })
	}
	finishing.Wait()
	t.cancel()
	err := errors.Join(ctx.Err(), t.listener.Close(), t.quic.Close(), t.socket.Close())
	t.goroutines.Wait()
	return err
}
