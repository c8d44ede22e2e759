// Package backend sends attempts to backend servers over HTTP. Each dispatch is
// sent at most once: neither this package nor the HTTP transport below it repeats
// a request.
package backend

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/core"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/httpcheck"
)

const (
	dialTimeout     = 2 * time.Second
	idleConnTimeout = 30 * time.Second
	// controlTimeout bounds calls that are not attempts, such as cancelling a run
	// or exporting a KV cache.
	controlTimeout      = 3 * time.Second
	maxIdleConnsPerHost = 64
)

// Client sends attempts and reports their events to the core. It is safe for
// concurrent use.
type Client struct {
	report     func(core.Input)
	pooledHTTP *http.Client
	// singleUseHTTP opens a new connection for each request.
	singleUseHTTP *http.Client

	mu      sync.Mutex
	running map[attemptKey]runningAttempt
	wg      sync.WaitGroup
}

// attemptKey identifies an attempt.
type attemptKey struct {
	request entity.RequestID
	number  entity.AttemptNumber
}

// runningAttempt is the handle of the goroutine that runs an attempt. A resumed
// attempt has the same key as the one it replaces; the identity, a pointer that is
// allocated per handle, distinguishes the two.
type runningAttempt struct {
	cancel   context.CancelFunc
	identity *byte
}

// New returns a client that passes the events of its attempts to report, which
// must not block for long.
func New(report func(core.Input)) *Client {
	return &Client{
		report:        report,
		pooledHTTP:    &http.Client{Transport: newTransport(false), CheckRedirect: noRedirect},
		singleUseHTTP: &http.Client{Transport: newTransport(true), CheckRedirect: noRedirect},
		running:       make(map[attemptKey]runningAttempt),
	}
}

// newTransport returns a transport that uses no proxy and does not decompress
// replies. With singleUse, it opens a new connection for each request.
func newTransport(singleUse bool) http.RoundTripper {
	return httpcheck.NewTransport(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableKeepAlives:   singleUse,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
	})
}

// noRedirect makes the HTTP client return redirects instead of following them,
// since following one would send the request again.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Dispatch starts an attempt and returns. The last event reported for the attempt
// is an AttemptDone or AttemptFailed, unless the attempt is stopped.
func (c *Client) Dispatch(d core.Dispatch) {
	ctx, cancel := context.WithTimeout(context.Background(), d.Timeout)
	key := attemptKey{d.Request, d.Attempt}
	handle := runningAttempt{cancel: cancel, identity: new(byte)}
	c.mu.Lock()
	old, replaced := c.running[key]
	c.running[key] = handle
	c.mu.Unlock()
	if replaced {
		old.cancel()
	}
	c.wg.Go(func() {
		defer c.removeRunning(key, handle)
		end := c.runAttempt(ctx, &d)
		if ctx.Err() == context.Canceled {
			return // stopped: the outcome is no longer needed
		}
		c.report(end)
	})
}

// runAttempt runs one attempt and returns its last event.
func (c *Client) runAttempt(ctx context.Context, d *core.Dispatch) core.Input {
	if d.Work.Completion != nil {
		return c.runCompletion(ctx, d)
	}
	return c.runPlainCall(ctx, d)
}

// requestBuilder builds the HTTP request for a dispatch.
type requestBuilder func(context.Context, *core.Dispatch) (*http.Request, error)

// sendOnce sends a dispatch once. It returns the response, or the event of the
// failure if there is no response or it belongs to another request. Work that is
// not repeatable is sent on a new connection.
func (c *Client) sendOnce(ctx context.Context, d *core.Dispatch, build requestBuilder) (*http.Response, *core.AttemptFailed) {
	var trace sendTrace
	req, err := build(trace.attach(ctx), d)
	if err != nil {
		f := invalidReply(d, err.Error())
		return nil, &f
	}
	client := c.pooledHTTP
	if !d.Work.Repeatable {
		client = c.singleUseHTTP
	}
	resp, err := client.Do(req)
	if err != nil {
		f := c.sendFailure(d, &trace, err)
		return nil, &f
	}
	if hasForeignIDs(d, resp) {
		_ = resp.Body.Close()
		f := invalidReply(d, "the reply belongs to another request")
		return nil, &f
	}
	return resp, nil
}

// removeRunning cancels an attempt's context and removes its handle, unless another
// attempt with the same key has replaced it.
func (c *Client) removeRunning(key attemptKey, h runningAttempt) {
	h.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[key].identity == h.identity {
		delete(c.running, key)
	}
}

// StopAttempt stops reading the reply of an attempt and, if s.Cancel is set, also cancels
// the run on the backend server.
func (c *Client) StopAttempt(s core.StopAttempt) {
	c.mu.Lock()
	h, ok := c.running[attemptKey{s.Request, s.Attempt}]
	c.mu.Unlock()
	if ok {
		h.cancel()
	}
	if s.Cancel {
		c.wg.Go(func() { c.cancelStream(s) })
	}
}

// Close stops all attempts and waits until their goroutines have ended.
func (c *Client) Close() {
	c.mu.Lock()
	for _, h := range c.running {
		h.cancel()
	}
	c.mu.Unlock()
	c.wg.Wait()
}
