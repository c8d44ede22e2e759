// Package backend sends attempts to backend servers over HTTP. One dispatch is
// one send: nothing in this package or below it sends a request twice.
package backend

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/core"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

const (
	dialTimeout = 2 * time.Second
	idleTimeout = 30 * time.Second
	// controlTimeout bounds calls beside the attempts: cancel and export.
	controlTimeout = 3 * time.Second
	maxIdlePerHost = 64
)

// Client sends attempts and reports their events. It is safe for concurrent
// use.
type Client struct {
	report func(core.Input)
	http   *http.Client
	// fresh opens a connection for each request.
	fresh *http.Client

	mu      sync.Mutex
	running map[attemptKey]runningAttempt
	wg      sync.WaitGroup
}

// attemptKey names an attempt.
type attemptKey struct {
	request entity.RequestID
	number  entity.AttemptNumber
}

// runningAttempt is the handle of one reader. A resumed attempt has the key of
// the one before it; serial tells the two apart.
type runningAttempt struct {
	cancel context.CancelFunc
	serial *byte
}

// New returns a client that gives its events to report, which must not block
// for long.
func New(report func(core.Input)) *Client {
	return &Client{
		report:  report,
		http:    &http.Client{Transport: newTransport(false), CheckRedirect: noRedirect},
		fresh:   &http.Client{Transport: newTransport(true), CheckRedirect: noRedirect},
		running: make(map[attemptKey]runningAttempt),
	}
}

// newTransport returns a transport that neither follows proxies nor unpacks.
func newTransport(fresh bool) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableKeepAlives:   fresh,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
	}
}

// noRedirect hands redirects to the caller: following one is another send.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Dispatch starts an attempt. Its events end with one AttemptDone or
// AttemptFailed, unless it is stopped.
func (c *Client) Dispatch(d core.Dispatch) {
	ctx, cancel := context.WithTimeout(context.Background(), d.Timeout)
	key := attemptKey{d.Request, d.Attempt}
	handle := runningAttempt{cancel: cancel, serial: new(byte)}
	c.mu.Lock()
	old, replaced := c.running[key]
	c.running[key] = handle
	c.mu.Unlock()
	if replaced {
		old.cancel()
	}
	c.wg.Go(func() {
		defer c.forget(key, handle)
		end := c.run(ctx, &d)
		if ctx.Err() == context.Canceled {
			return // stopped: nobody waits for the outcome
		}
		c.report(end)
	})
}

// run carries out one attempt and returns its last event.
func (c *Client) run(ctx context.Context, d *core.Dispatch) core.Input {
	if d.Work.Completion != nil {
		return c.runCompletion(ctx, d)
	}
	return c.runCall(ctx, d)
}

// buildCall builds the HTTP request of a dispatch.
type buildCall func(context.Context, *core.Dispatch) (*http.Request, error)

// send sends a dispatch, once, and returns the response if it belongs to it.
// Work that is not repeatable gets a connection of its own.
func (c *Client) send(ctx context.Context, d *core.Dispatch, build buildCall) (*http.Response, *core.AttemptFailed) {
	var trace sendTrace
	req, err := build(trace.attach(ctx), d)
	if err != nil {
		f := unsound(d, err.Error())
		return nil, &f
	}
	client := c.http
	if !d.Work.Repeatable {
		client = c.fresh
	}
	resp, err := client.Do(req)
	if err != nil {
		f := c.failed(d, &trace, err)
		return nil, &f
	}
	if crossed(d, resp) {
		_ = resp.Body.Close()
		f := unsound(d, "the reply belongs to another request")
		return nil, &f
	}
	return resp, nil
}

// forget ends an attempt's handle.
func (c *Client) forget(key attemptKey, h runningAttempt) {
	h.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[key].serial == h.serial {
		delete(c.running, key)
	}
}

// Stop ends the reading of an attempt and, if asked, cancels it on the
// backend server.
func (c *Client) Stop(s core.StopAttempt) {
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

// Close stops all attempts and waits for them.
func (c *Client) Close() {
	c.mu.Lock()
	for _, h := range c.running {
		h.cancel()
	}
	c.mu.Unlock()
	c.wg.Wait()
}
