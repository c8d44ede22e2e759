package backend

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/core"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// probeTimeout bounds the dial that checks whether a backend server still listens
// after a connection to it broke.
const probeTimeout = 500 * time.Millisecond

// headerNotRun is the response header by which a backend server states that it
// refused the request before doing any work.
const headerNotRun = "X-Not-Run"

// sendTrace records whether a request was assigned a connection. If it was not, no
// byte of the request can have been sent.
type sendTrace struct{ connected atomic.Bool }

// attach returns a context whose HTTP requests are traced by t.
func (t *sendTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { t.connected.Store(true) },
	})
}

// sendFailure returns the event for an attempt that got no response.
func (c *Client) sendFailure(d *core.Dispatch, t *sendTrace, err error) core.AttemptFailed {
	f := core.AttemptFailed{Request: d.Request, Attempt: d.Attempt}
	if !t.connected.Load() && !d.Resume {
		f.Err = verdict.Wrap(err, verdict.NotRun, "backend-failed")
		f.Refused = true
		return f
	}
	f.Err = verdict.Wrap(err, verdict.MayHaveRun, "backend-failed")
	f.Unresumable = d.Resume
	f.BackendDied = backendProcessGone(d, err)
	return f
}

// backendProcessGone reports whether the backend server's process has ended, so that
// nothing listens on its address any more. err is the failure of the attempt; the end
// of the attempt's context says nothing about the process.
func backendProcessGone(d *core.Dispatch, err error) bool {
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return false
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return true
	}
	conn, err := net.DialTimeout("tcp", d.Backend.Address, probeTimeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}

// statusFailure returns the event for a response whose status or headers state that
// it contains no answer.
func statusFailure(d *core.Dispatch, resp *http.Response) core.AttemptFailed {
	f := core.AttemptFailed{Request: d.Request, Attempt: d.Attempt}
	msg := fmt.Sprintf("backend server answered %d", resp.StatusCode)
	if resp.Header.Get(headerNotRun) == "true" && !d.Resume {
		f.Refused = true
		f.Err = verdict.New(verdict.NotRun, "backend-failed", msg)
		return f
	}
	f.Err = verdict.New(verdict.MayHaveRun, "backend-failed", msg)
	f.Unresumable = d.Resume
	return f
}

// invalidReply returns the event for a reply that violates the protocol with backend
// servers.
func invalidReply(d *core.Dispatch, reason string) core.AttemptFailed {
	return core.AttemptFailed{
		Request: d.Request, Attempt: d.Attempt,
		Err: verdict.New(verdict.MayHaveRun, "backend-failed", reason),
	}
}
