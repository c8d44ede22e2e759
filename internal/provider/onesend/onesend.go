// Package onesend provides an HTTP client that writes each request to the
// network at most once and reports afterwards whether any byte was written.
//
// http.Transport retries a request whose reused connection breaks before the
// reply, if it considers the request replayable: a GET, HEAD, OPTIONS or TRACE,
// or any request with an Idempotency-Key header, that has no body or has GetBody
// set. Client prevents this by giving each request a body that cannot be read
// again.
package onesend

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/httpcheck"
)

const (
	dialTimeout         = 2 * time.Second
	idleConnTimeout     = 60 * time.Second
	maxIdleConnsPerHost = 64
	keepAlivePeriod     = 15 * time.Second
)

// Client sends each request at most once. It follows no redirect.
type Client struct {
	http *http.Client
}

// NewClient returns a client whose calls each take at most timeout.
func NewClient(timeout time.Duration) *Client {
	dialer := &net.Dialer{Timeout: min(timeout, dialTimeout), KeepAlive: keepAlivePeriod}
	transport := httpcheck.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: c}, nil
		},
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	})
	return &Client{http: &http.Client{
		Transport: transport,
		Timeout:   timeout,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}}
}

// Do sends the request and returns the response. If the request's context comes
// from TrackWrites, the tracker records the writes.
func (c *Client) Do(r *http.Request) (*http.Response, error) {
	tracker := trackerFrom(r.Context())
	trace := &httptrace.ClientTrace{GotConn: tracker.gotConn}
	r = r.Clone(httptrace.WithClientTrace(r.Context(), trace))
	r.GetBody = nil
	if r.Body == nil || r.Body == http.NoBody {
		r.Body = noContentBody{}
		r.ContentLength = 0
	} else {
		r.Body = unreplayableBody{r.Body}
	}
	resp, err := c.http.Do(r)
	if err != nil {
		tracker.stopWrites()
	}
	return resp, err
}

// CloseIdleConnections closes the connections that no call is using.
func (c *Client) CloseIdleConnections() { c.http.CloseIdleConnections() }

// noContentBody is an empty body that http.Transport does not recognise as absent,
// so it does not consider the request replayable. The transport reads it, finds
// no content and sends no body.
type noContentBody struct{}

func (noContentBody) Read([]byte) (int, error) { return 0, io.EOF }

func (noContentBody) Close() error { return nil }

// unreplayableBody hides all methods of a body but Read and Close, WriteTo in
// particular. The AWS SDK closes a body as soon as there is a reply. After that,
// Read returns io.EOF as at any end of a body, but WriteTo fails with io.EOF. The
// transport may at that moment be checking for bytes beyond the content length.
// It would treat the failure of WriteTo as a failed request and close the
// connection while the reply is being read.
type unreplayableBody struct {
	body io.ReadCloser
}

func (b unreplayableBody) Read(p []byte) (int, error) { return b.body.Read(p) }

func (b unreplayableBody) Close() error { return b.body.Close() }

// WriteTracker reports whether bytes of a call were written to the network. It
// covers the calls made under the context that TrackWrites returned with it.
type WriteTracker struct {
	mu           sync.Mutex
	conn         *countingConn
	writesBefore int64 // writeCount of conn when the call got it
	untracked    bool  // a connection is not a countingConn, or the call had several
}

type trackerKey struct{}

// TrackWrites returns a context for one call and the tracker of its writes.
func TrackWrites(ctx context.Context) (context.Context, *WriteTracker) {
	s := &WriteTracker{}
	return context.WithValue(ctx, trackerKey{}, s), s
}

func trackerFrom(ctx context.Context) *WriteTracker {
	if s, ok := ctx.Value(trackerKey{}).(*WriteTracker); ok {
		return s
	}
	return &WriteTracker{}
}

// NothingWritten reports, after a failed call, whether none of its bytes has been
// written to the network and none will be. It returns false where that cannot be
// determined.
func (s *WriteTracker) NothingWritten() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.untracked {
		return false
	}
	return s.conn == nil || s.conn.writeCount.Load() == s.writesBefore
}

func (s *WriteTracker) gotConn(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counted := countingConnOf(info.Conn)
	if counted == nil || (s.conn != nil && s.conn != counted) {
		s.untracked = true
		return
	}
	s.conn = counted
	s.writesBefore = counted.writeCount.Load()
}

// stopWrites prevents all further writes on the connection of a failed call, so
// that the result of NothingWritten cannot change afterwards.
func (s *WriteTracker) stopWrites() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		s.conn.stopWrites()
	}
}

// countingConnOf returns the countingConn that c is, or that lies below c, as below
// a TLS connection; nil if there is none.
func countingConnOf(c net.Conn) *countingConn {
	for {
		upper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			counting, _ := c.(*countingConn)
			return counting
		}
		c = upper.NetConn()
	}
}

// countingConn counts writes. A write is counted before it starts. As countWrite
// and stopWrites hold the same lock, each write is either counted or rejected.
type countingConn struct {
	net.Conn
	mu            sync.Mutex
	writesStopped bool
	writeCount    atomic.Int64
}

func (c *countingConn) Write(p []byte) (int, error) {
	if !c.countWrite() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// countWrite counts a write and returns true, or returns false if writes have been
// stopped.
func (c *countingConn) countWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writesStopped {
		return false
	}
	c.writeCount.Add(1)
	return true
}

// stopWrites rejects all further writes and closes the connection.
func (c *countingConn) stopWrites() {
	c.mu.Lock()
	c.writesStopped = true
	c.mu.Unlock()
	_ = c.Close()
}
