package gateway

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/clock"
)

// firstHeadTime is how long a connection may wait for a head before it is ended ahead of idle ones.
const firstHeadTime = time.Second

// stalledReaderTime is how long a write lasts until the caller counts as one who does not read.
const stalledReaderTime = time.Second

// waitKind is what a connection waits for. When there are too many, those with a lower value are ended first.
type waitKind uint8

const (
	forHead      waitKind = iota + 1 // of a request; also of the first one
	idle                             // between two requests
	forYoungHead                     // as forHead, for less than firstHeadTime
	forBody                          // of a request
	forReader                        // of an answer: the caller does not read
	busy                             // a request is in progress
)

// waiting is what a connection waits for, and since when (nanoseconds of the steady clock).
type waiting struct {
	kind  waitKind
	since int64
}

// before reports whether a connection that waits like this is ended before another one.
func (w waiting) before(other waiting) bool {
	if w.kind != other.kind {
		return w.kind < other.kind
	}
	return w.since < other.since
}

// trackedConn is a connection from a caller. It knows what it waits for, and counts heads as they are read.
type trackedConn struct {
	*net.TCPConn
	table *connectionTable

	state        atomic.Pointer[waiting]
	writingSince atomic.Int64 // 0: no write is in progress
	ended        atomic.Bool
	closed       sync.Once

	head headSize // of the head that is being read; used by the goroutine that reads it
}

func newTrackedConn(tcp *net.TCPConn, t *connectionTable) *trackedConn {
	c := &trackedConn{TCPConn: tcp, table: t}
	c.await(forHead)
	return c
}

// await notes what the connection waits for from now on.
func (c *trackedConn) await(kind waitKind) {
	c.state.Store(&waiting{kind, clock.Now().UnixNano()})
}

// wait returns what the connection waits for.
func (c *trackedConn) wait() waiting {
	w, now := *c.state.Load(), clock.Now().UnixNano()
	since := c.writingSince.Load()
	switch {
	case w.kind == busy && since != 0 && now-since >= int64(stalledReaderTime):
		return waiting{forReader, since}
	case w.kind == forHead && now-w.since < int64(firstHeadTime):
		return waiting{forYoungHead, w.since}
	default:
		return w
	}
}

// Read implements net.Conn. While a head is read, it takes the head's memory from the budget.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n == 0 {
		return n, err
	}
	if w := c.state.Load(); w.kind == idle {
		// It fails if a request that was buffered has begun meanwhile.
		c.state.CompareAndSwap(w, &waiting{forHead, clock.Now().UnixNano()})
	}
	if c.state.Load().kind == forHead {
		c.head.add(b[:n])
		if !c.table.heads.resize(c, c.head.cost()) {
			return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: net.ErrClosed}
		}
	}
	return n, err
}

// Write implements net.Conn.
func (c *trackedConn) Write(b []byte) (int, error) {
	c.writingSince.Store(clock.Now().UnixNano())
	defer c.writingSince.Store(0)
	return c.TCPConn.Write(b)
}

// end closes the connection from outside of the goroutine that serves it, which then closes it too.
func (c *trackedConn) end() {
	c.ended.Store(true)
	if c.state.Load().kind != idle { // the end of an idle one's last answer may still be on its way
		_ = c.TCPConn.SetLinger(0) // what is not sent is dropped
	}
	_ = c.TCPConn.Close() // an error changes nothing: the connection is not used any more
}

// Close implements net.Conn. It is called by the goroutine that serves the connection, which holds no head then.
func (c *trackedConn) Close() error {
	c.closed.Do(func() {
		c.table.heads.release(c)
		c.table.remove(c)
	})
	return c.TCPConn.Close()
}

// headDone notes that the head of a request has been read.
func (c *trackedConn) headDone(r *http.Request) {
	if r.ContentLength != 0 {
		c.await(forBody)
		return
	}
	c.await(busy)
}

// noteConnState tracks what a connection waits for between requests.
func noteConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*trackedConn)
	if !ok || state != http.StateIdle {
		return
	}
	c.table.heads.release(c)
	c.head = headSize{}
	c.await(idle)
}

// trackHeads tells the connection of each request when its head has been read.
func trackHeads(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := trackedConnOf(r); c != nil {
			c.headDone(r)
		}
		h.ServeHTTP(w, r)
	})
}

// trackedConnOf returns the connection of a request; nil: it is not tracked.
func trackedConnOf(r *http.Request) *trackedConn {
	c, _ := r.Context().Value(callerConnKey{}).(*trackedConn)
	return c
}
