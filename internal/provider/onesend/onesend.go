// Package onesend provides an HTTP client that writes each request to the
// network at most once and tells afterwards whether any byte was written.
//
// http.Transport repeats by itself a request whose reused connection breaks
// before the reply, if it takes the request as replayable: GET, HEAD, OPTIONS,
// TRACE, or any with an Idempotency-Key header, without a body or with
// GetBody. Client gives each request a body that cannot be read again, which
// rules this out.
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
)

const (
	dialTimeout     = 2 * time.Second
	idleTimeout     = 60 * time.Second
	maxIdlePerHost  = 64
	keepAlivePeriod = 15 * time.Second
)

// Client sends each request at most once. It follows no redirect.
type Client struct {
	http *http.Client
}

// NewClient returns a client whose calls take at most timeout each.
func NewClient(timeout time.Duration) *Client {
	dialer := &net.Dialer{Timeout: min(timeout, dialTimeout), KeepAlive: keepAlivePeriod}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: c}, nil
		},
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Client{http: &http.Client{
		Transport: transport,
		Timeout:   timeout,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}}
}

// Do sends the request.
func (c *Client) Do(r *http.Request) (*http.Response, error) {
	sent := sentFrom(r.Context())
	trace := &httptrace.ClientTrace{GotConn: sent.gotConn}
	r = r.Clone(httptrace.WithClientTrace(r.Context(), trace))
	r.GetBody = nil
	if r.Body == nil || r.Body == http.NoBody {
		r.Body = emptyBody{}
		r.ContentLength = 0
	} else {
		r.Body = readOnce{r.Body}
	}
	resp, err := c.http.Do(r)
	if err != nil {
		sent.seal()
	}
	return resp, err
}

// CloseIdleConnections closes connections that no call is using.
func (c *Client) CloseIdleConnections() { c.http.CloseIdleConnections() }

// emptyBody is a body without content that the transport does not recognise
// as absent, so that it does not take the request as replayable. The transport
// probes it and sends no body.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

func (emptyBody) Close() error { return nil }

// readOnce is a body that can only be read and closed. The SDK closes a body as
// soon as there is a reply, and its WriteTo then fails with io.EOF, where Read
// merely ends. The transport may just then be probing for bytes beyond the
// content's length; it would take the failure for a broken request and close
// the connection under the reply.
type readOnce struct {
	body io.ReadCloser
}

func (b readOnce) Read(p []byte) (int, error) { return b.body.Read(p) }

func (b readOnce) Close() error { return b.body.Close() }

// Sent tells about the calls made under one context.
type Sent struct {
	mu     sync.Mutex
	conn   *conn
	before int64
	opaque bool // a connection whose writes cannot be seen
}

type sentKey struct{}

// Track returns a context for one call and what tells about it.
func Track(ctx context.Context) (context.Context, *Sent) {
	s := &Sent{}
	return context.WithValue(ctx, sentKey{}, s), s
}

func sentFrom(ctx context.Context) *Sent {
	if s, ok := ctx.Value(sentKey{}).(*Sent); ok {
		return s
	}
	return &Sent{}
}

// Nothing says, after a failed call, that no byte of it was written and none
// will be.
func (s *Sent) Nothing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opaque {
		return false
	}
	return s.conn == nil || s.conn.writes.Load() == s.before
}

func (s *Sent) gotConn(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := unwrap(info.Conn)
	if c == nil || (s.conn != nil && s.conn != c) {
		s.opaque = true
		return
	}
	s.conn = c
	s.before = c.writes.Load()
}

// seal keeps a failed call's connection from writing anything more, so that
// Nothing is final.
func (s *Sent) seal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		s.conn.seal()
	}
}

// unwrap returns the counting connection below TLS, or nil.
func unwrap(c net.Conn) *conn {
	if t, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = t.NetConn()
	}
	counting, _ := c.(*conn)
	return counting
}

// conn counts writes. A write counts before it starts; the lock orders it
// against seal, so a write is either counted or refused.
type conn struct {
	net.Conn
	mu     sync.Mutex
	sealed bool
	writes atomic.Int64
}

func (c *conn) Write(p []byte) (int, error) {
	if !c.begin() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

func (c *conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	c.writes.Add(1)
	return true
}

func (c *conn) seal() {
	c.mu.Lock()
	c.sealed = true
	c.mu.Unlock()
	_ = c.Close()
}
