// Package peer carries messages between daemons over QUIC with mutual TLS.
//
// Connections are dialled on demand, used in both directions and dropped when
// idle; nothing keeps them alive. Datagram is best effort. Send is reliable
// and ordered per peer while one connection lasts; when a connection is lost,
// so is what was not yet sent on it, and the layers above repeat. 0-RTT is
// never used, so no message is replayed by the network.
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

// Channel says how a message was sent.
type Channel uint8

const (
	// Datagrams is the best effort channel of Transport.Datagram.
	Datagrams Channel = iota + 1
	// Stream is the reliable channel of Transport.Send.
	Stream
)

// Address names a daemon and its UDP endpoint. With an empty ID, whoever
// holds the endpoint is meant; otherwise only the named daemon is sent to.
type Address struct {
	ID   entity.InstanceID
	Addr string // IP number and port
}

const (
	defaultIdleTimeout      = 30 * time.Second
	defaultHandshakeTimeout = 3 * time.Second
	defaultRedialDelay      = 500 * time.Millisecond
	defaultMaxFrame         = 4 << 20 // bytes
	defaultQueueMessages    = 1024
	defaultQueueBytes       = 8 << 20 // bytes
)

// Config holds the parameters of New. Zero durations and sizes take defaults.
type Config struct {
	Self   entity.InstanceID
	Listen string // IP number and UDP port; port 0 picks one
	// TLS is used if set; otherwise the files are read.
	TLS      *tls.Config
	TLSFiles TLSFiles
	// Handler receives each message. It is called from several goroutines at
	// once, in order for the Stream messages of one connection, and owns the
	// body. While it blocks, its connection does not read on.
	Handler func(from entity.InstanceID, fromAddr string, channel Channel, body []byte)

	IdleTimeout      time.Duration // an unused connection is dropped after this
	HandshakeTimeout time.Duration // a dial is given up after this
	RedialDelay      time.Duration // pause after a failed dial; messages are dropped meanwhile
	MaxFrame         int           // most bytes of one message
	QueueMessages    int           // most messages waiting for one peer and channel
	QueueBytes       int           // most bytes waiting for one peer and channel
}

// withDefaults fills in zero values.
func (c Config) withDefaults() Config {
	c.IdleTimeout = cmp.Or(c.IdleTimeout, defaultIdleTimeout)
	c.HandshakeTimeout = cmp.Or(c.HandshakeTimeout, defaultHandshakeTimeout)
	c.RedialDelay = cmp.Or(c.RedialDelay, defaultRedialDelay)
	c.MaxFrame = cmp.Or(c.MaxFrame, defaultMaxFrame)
	c.QueueMessages = cmp.Or(c.QueueMessages, defaultQueueMessages)
	c.QueueBytes = cmp.Or(c.QueueBytes, defaultQueueBytes)
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

	// life ends when the transport is closed; it bounds every goroutine.
	life    context.Context
	endLife context.CancelFunc
	running sync.WaitGroup

	mu      sync.Mutex // guards what follows; taken before a link's mutex
	links   map[string]*link
	sweepAt int // number of links at which unused ones are removed
	closing bool
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
		tlsConfig, err = cfg.TLSFiles.load()
		if err != nil {
			return nil, merry.Prepend(err, "peer: certificates")
		}
	}
	socket, err := net.ListenPacket("udp", cfg.Listen)
	if err != nil {
		return nil, merry.Prepend(err, "peer: listen")
	}
	t := &Transport{
		cfg:     cfg,
		tls:     tlsConfig,
		socket:  socket,
		addr:    socket.LocalAddr().String(),
		links:   make(map[string]*link),
		sweepAt: minSweep,
	}
	t.life, t.endLife = context.WithCancel(context.Background())
	t.quic = &quic.Transport{Conn: socket, StatelessResetKey: resetKey(tlsConfig, t.addr)}
	t.listener, err = t.quic.Listen(tlsConfig, cfg.quic())
	if err != nil {
		return nil, merry.Prepend(errors.Join(err, socket.Close()), "peer: listen")
	}
	t.running.Go(t.acceptAll)
	return t, nil
}

// resetKey derives the key of stateless resets from the private key and the
// endpoint, so that a restarted daemon can tell its former peers at once that
// their connections are gone. It returns nil without a private key.
func resetKey(c *tls.Config, addr string) *quic.StatelessResetKey {
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
	initialStreamWindow = 64 << 10  // bytes
	maxStreamWindow     = 1 << 20   // bytes
	initialConnWindow   = 128 << 10 // bytes
	maxConnWindow       = 2 << 20   // bytes
)

// quic returns the settings of each connection. Each side opens one
// unidirectional stream. Path MTU discovery stays off: its probes would cost
// more than most connections carry.
func (c Config) quic() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           c.HandshakeTimeout,
		MaxIdleTimeout:                 c.IdleTimeout,
		InitialStreamReceiveWindow:     initialStreamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: initialConnWindow,
		MaxConnectionReceiveWindow:     maxConnWindow,
		MaxIncomingStreams:             -1,
		MaxIncomingUniStreams:          1,
		DisablePathMTUDiscovery:        true,
		EnableDatagrams:                true,
		Allow0RTT:                      false,
	}
}

// Addr returns the IP number and UDP port the transport listens on.
func (t *Transport) Addr() string { return t.addr }

// Datagram sends a message that may be lost, doubled or overtaken. It never
// blocks. A body that does not fit into one packet goes over the stream.
func (t *Transport) Datagram(to Address, body []byte) { t.send(to, Datagrams, body) }

// Send sends a message reliably and in order while the connection to the peer
// lasts. It never blocks; it drops and counts the message if the peer's queue
// is full, the peer cannot be reached or another daemon holds its endpoint.
func (t *Transport) Send(to Address, body []byte) { t.send(to, Stream, body) }

func (t *Transport) send(to Address, ch Channel, body []byte) {
	if len(body) > t.cfg.MaxFrame {
		dropped.tooLarge.Inc()
		return
	}
	l := t.link(to.Addr)
	if l == nil {
		dropped.closed.Inc()
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
		n += l.size()
	}
	return n
}

const minSweep = 64 // links

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
	if len(t.links) >= t.sweepAt {
		t.sweep()
	}
	l = &link{t: t, addr: addr}
	t.links[addr] = l
	return l
}

// sweep removes unused links. The caller holds t.mu; a link that another
// goroutine has just been given may be removed too, which costs that message.
func (t *Transport) sweep() {
	now := time.Now()
	for addr, l := range t.links {
		if l.retireIfUnused(now) {
			delete(t.links, addr)
		}
	}
	t.sweepAt = max(minSweep, 2*len(t.links))
}

func (t *Transport) acceptAll() {
	for {
		conn, err := t.listener.Accept(t.life)
		if err != nil {
			return
		}
		accepted.Inc()
		t.running.Go(func() { t.serveAccepted(conn) })
	}
}

// serveAccepted greets a peer that has dialled us and reads until its end.
func (t *Transport) serveAccepted(conn *quic.Conn) {
	c, err := t.greet(conn, false)
	if err != nil {
		refuse(conn, err)
		return
	}
	l := t.link(conn.RemoteAddr().String())
	if l == nil {
		c.closeWith(codeClosed)
		return
	}
	l.add(c)
	c.readAll()
	l.remove(c)
}

// dial connects to a peer and reads until the connection's end.
func (t *Transport) dial(l *link) {
	c, err := t.connect(l.addr)
	if err != nil {
		dialFailures.Inc()
		l.dialFailed(time.Now())
		return
	}
	l.add(c)
	c.readAll()
	l.remove(c)
}

func (t *Transport) connect(addr string) (*connection, error) {
	endpoint, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, merry.Prepend(err, "peer: address")
	}
	ctx, cancel := context.WithTimeout(t.life, t.cfg.HandshakeTimeout)
	defer cancel()
	conn, err := t.quic.Dial(ctx, net.UDPAddrFromAddrPort(endpoint), t.tls, t.cfg.quic())
	if err != nil {
		return nil, merry.Prepend(err, "peer: dial")
	}
	dialled.Inc()
	c, err := t.greet(conn, true)
	if err != nil {
		refuse(conn, err)
		return nil, err
	}
	return c, nil
}

// Close stops accepting messages, sends what is queued, waits until the peers
// have read it and closes. When ctx ends first, the rest is dropped and ctx's
// error is returned.
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
		finishing.Go(func() { l.finish(ctx) })
	}
	finishing.Wait()
	t.endLife()
	err := errors.Join(ctx.Err(), t.listener.Close(), t.quic.Close(), t.socket.Close())
	t.running.Wait()
	return err
}
