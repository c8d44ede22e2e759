// Package outbound sends requests to backend servers over HTTP/1.1. One call of
// Send writes a request to one connection once: nothing is ever sent again by
// itself, unlike with net/http's transport.
package outbound

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/gooseberryslip/gooseberryslip/internal/clock"
	"github.com/gooseberryslip/gooseberryslip/internal/deadpeer"
)

const (
	// dialTimeout bounds a new connection.
	dialTimeout = 700 * time.Millisecond
	// silentAfter is when the kernel gives up a connection without acknowledgement.
	silentAfter = 3 * time.Second
	// defaultIdle is how long an unused connection is kept if the backend server
	// does not say.
	defaultIdle = 3 * time.Second
	// idleMargin is taken off the time for which a backend server says that it
	// keeps an unused connection.
	idleMargin = 700 * time.Millisecond
	// maxIdle bounds the unused connections to one address.
	maxIdle = 16
	// readBuffer is the size of a connection's read buffer, in bytes.
	readBuffer = 4 << 10
)

// Pool keeps connections to backend servers. It is safe for concurrent use.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*connection // newest last
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{idle: make(map[string][]*connection)} }

// connection is one connection to a backend server, used by one request at a
// time.
type connection struct {
	net.Conn
	address string
	reader  *bufio.Reader
	until   time.Time // do not use it later
	reused  bool      // it has carried a request before
}

// get returns a usable unused connection or dials a new one.
func (p *Pool) get(ctx context.Context, address string) (*connection, error) {
	now := clock.Now()
	for {
		c := p.take(address)
		if c == nil {
			return dial(ctx, address)
		}
		if now.Before(c.until) && c.quiet() {
			return c, nil
		}
		_ = c.Close() // it is of no use whatever Close says
	}
}

func (p *Pool) take(address string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// put keeps a connection for another request.
func (p *Pool) put(c *connection, keep time.Duration) {
	c.until, c.reused = clock.Now().Add(keep), true
	if err := c.SetDeadline(time.Time{}); err != nil || keep <= 0 {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	list := append(p.idle[c.address], c)
	var old *connection
	if len(list) > maxIdle {
		old, list = list[0], list[1:]
	}
	p.idle[c.address] = list
	p.mu.Unlock()
	if old != nil {
		_ = old.Close()
	}
}

// Drop closes the unused connections to an address.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// Sweep closes connections that have been unused for too long.
func (p *Pool) Sweep() {
	now := clock.Now()
	p.mu.Lock()
	var old []*connection
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.until) {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
	p.mu.Unlock()
	for _, c := range old {
		_ = c.Close()
	}
}

func dial(ctx context.Context, address string) (*connection, error) {
	d := net.Dialer{Timeout: dialTimeout, Control: deadpeer.Control(silentAfter)}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	dialled.Inc()
	return &connection{Conn: conn, address: address, reader: bufio.NewReaderSize(conn, readBuffer)}, nil
}

// quiet reports whether an unused connection is open and holds no bytes that
// nobody asked for.
func (c *connection) quiet() bool {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(e, unix.EAGAIN)
		return true
	})
	return quiet && err == nil
}
