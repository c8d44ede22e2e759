// Package outbound sends requests to backend servers over HTTP/1.1. Each call of
// Pool.Send writes the request to one connection once and never retries, unlike
// the transport of net/http.
package outbound

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/gooseberryslip/gooseberryslip/internal/clock"
	"github.com/gooseberryslip/gooseberryslip/internal/deadpeer"
)

const (
	// dialTimeout bounds the time to establish a connection.
	dialTimeout = 700 * time.Millisecond
	// unacknowledgedTimeout is how long sent bytes may stay unacknowledged before
	// the kernel closes the connection.
	unacknowledgedTimeout = 3 * time.Second
	// defaultIdleTimeout is how long an idle connection is kept if the backend
	// server sends no Keep-Alive timeout.
	defaultIdleTimeout = 3 * time.Second
	// idleTimeoutMargin is subtracted from the Keep-Alive timeout of a backend
	// server, so that this side stops using a connection before the server closes
	// it.
	idleTimeoutMargin = 700 * time.Millisecond
	// maxIdlePerAddress bounds the number of idle connections to one address.
	maxIdlePerAddress = 16
	// readBufferBytes is the size of a connection's read buffer, in bytes.
	readBufferBytes = 4 << 10
)

// Pool keeps idle connections to backend servers for reuse. It is safe for
// concurrent use.
type Pool struct {
	dialServer DialFunc

	mu   sync.Mutex
	idle map[string][]*connection // by address; the most recently used one is last
	open map[string][]*connection // by address, idle ones or not, in the order in which they were opened
}

// DialFunc opens a connection to an address, IP:PORT, of a backend server.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// NewPool returns an empty pool.
func NewPool() *Pool { return NewPoolWithDial(dialTCP) }

// NewPoolWithDial returns an empty pool that opens its connections with a function.
func NewPoolWithDial(dial DialFunc) *Pool {
	return &Pool{dialServer: dial, idle: make(map[string][]*connection), open: make(map[string][]*connection)}
}

// connection is one connection to a backend server, used by one request at a
// time.
type connection struct {
	net.Conn
	pool        *Pool
	address     string
	since       time.Time      // see Request.MaySend
	stream      *deadpeer.Conn // what requests are written to and responses read from: Conn
	source      *limitedReader // what reader reads from: stream
	reader      *bufio.Reader
	usableUntil time.Time // while idle: when it expires; zero: it has not been idle yet
	reused      bool      // it has carried an earlier request
	carried     carriedIDs
}

// acquire returns an idle connection that is still usable and may carry the request, or dials a new one.
// The new one replaces an idle connection that may not carry the request, if there is any.
func (p *Pool) acquire(ctx context.Context, address string, id idHash) (*connection, error) {
	now := clock.Now()
	for {
		c, replaced := p.popIdle(address, id)
		if c == nil {
			c, err := p.dial(ctx, address)
			if replaced != nil {
				// It was open until now, so that the new one is known to reach the same process.
				_ = replaced.Close() // the connection is discarded even if closing fails
			}
			return c, err
		}
		if now.Before(c.usableUntil) && c.openWithoutData() {
			return c, nil
		}
		_ = c.Close() // the connection is discarded even if closing fails
	}
}

// popIdle removes the most recently used idle connection to an address that may carry a request from the
// pool and returns it. If there is none, it removes and returns the one to replace instead, the least
// recently used one.
func (p *Pool) popIdle(address string, id idHash) (c, replaced *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i := len(list) - 1; i >= 0; i-- {
		if list[i].carried.mayCarry(id) {
			c = list[i]
			p.idle[address] = slices.Delete(list, i, i+1)
			return c, nil
		}
	}
	if len(list) == 0 {
		return nil, nil
	}
	connectionsReplaced.Inc()
	replaced = list[0]
	p.idle[address] = slices.Delete(list, 0, 1)
	return nil, replaced
}

// Probe establishes a connection to an address without sending anything, and keeps it for
// the next request.
func (p *Pool) Probe(ctx context.Context, address string) error {
	c, err := p.dial(ctx, address)
	if err == nil {
		p.putIdle(c, defaultIdleTimeout)
	}
	return err
}

// putIdle keeps a connection for reuse within idleTimeout. If the address then has
// too many idle connections, it closes the one that has been idle for longest.
func (p *Pool) putIdle(c *connection, idleTimeout time.Duration) {
	c.usableUntil = clock.Now().Add(idleTimeout)
	if err := c.SetDeadline(time.Time{}); err != nil || idleTimeout <= 0 {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	list := append(p.idle[c.address], c)
	var evicted *connection
	if len(list) > maxIdlePerAddress {
		evicted, list = list[0], list[1:]
	}
	p.idle[c.address] = list
	p.mu.Unlock()
	if evicted != nil {
		_ = evicted.Close()
	}
}

// putBack keeps a connection on which nothing was sent since it was acquired.
func (p *Pool) putBack(c *connection) {
	idleTimeout := defaultIdleTimeout
	if !c.usableUntil.IsZero() {
		idleTimeout = c.usableUntil.Sub(clock.Now())
	}
	p.putIdle(c, idleTimeout)
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// CloseUnusable closes the idle connections that have expired, and those that their backend
// server has closed before. It returns the addresses of the latter, each once.
func (p *Pool) CloseUnusable() (lost []string) {
	now := clock.Now()
	var unusable []*connection
	p.mu.Lock()
	for address, list := range p.idle {
		kept, closedByServer := sortIdle(now, list)
		if closedByServer {
			lost = append(lost, address)
		}
		unusable = append(unusable, list[len(kept):]...)
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range unusable {
		_ = c.Close()
	}
	return lost
}

// sortIdle moves the usable connections of a list to its front and returns these. It reports
// whether one of the others had been closed by the backend server before it expired.
func sortIdle(now time.Time, list []*connection) (usable []*connection, closedByServer bool) {
	n := 0
	for i, c := range list {
		switch {
		case !now.Before(c.usableUntil):
		case c.openWithoutData():
			list[i], list[n] = list[n], c
			n++
		default:
			connectionsLost.Inc()
			closedByServer = true
		}
	}
	return list[:n], closedByServer
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, Control: deadpeer.Control(unacknowledgedTimeout)}
	return d.DialContext(ctx, "tcp", address)
}

func (p *Pool) dial(ctx context.Context, address string) (*connection, error) {
	conn, err := p.dialServer(ctx, address)
	if err != nil {
		return nil, err
	}
	connectionsDialled.Inc()
	stream := deadpeer.NewConn(conn)
	source := &limitedReader{source: stream}
	c := &connection{
		Conn: conn, pool: p, address: address, since: clock.Now(),
		stream: stream, source: source, reader: bufio.NewReaderSize(source, readBufferBytes),
	}
	p.addOpen(c)
	return c, nil
}

// addOpen adds a connection that has just been opened. If an earlier one to the address is still
// open, both reach the same process: an address has a new process only after the connections of the
// former one have been closed.
func (p *Pool) addOpen(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, other := range p.open[c.address] {
		if other.since.Before(c.since) && other.established() {
			c.since = other.since
			break
		}
	}
	p.open[c.address] = append(p.open[c.address], c)
}

// Close closes the connection.
func (c *connection) Close() error {
	p := c.pool
	p.mu.Lock()
	list := slices.DeleteFunc(p.open[c.address], func(other *connection) bool { return other == c })
	if p.open[c.address] = list; len(list) == 0 {
		delete(p.open, c.address)
	}
	p.mu.Unlock()
	return c.Conn.Close()
}

// abort closes the connection in the middle of a request. Bytes that the other side has not acknowledged are not
// delivered any more, as they are after a plain close.
func (c *connection) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && deadpeer.Unacknowledged(tcp) > 0 {
		_ = tcp.SetLinger(0) // an error leaves a plain close
	}
	_ = c.Close()
}

// established reports whether the other side has not closed the connection, as far as the kernel
// knows.
func (c *connection) established() bool {
	state, err := deadpeer.StateOf(c.Conn)
	return err == nil && state.Established
}

// openWithoutData reports whether an idle connection is open and has no unread
// bytes. Unread bytes on an idle connection belong to no request.
func (c *connection) openWithoutData() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	openAndEmpty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		openAndEmpty = errors.Is(e, unix.EAGAIN)
		return true
	})
	return openAndEmpty && err == nil
}
