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

// probeTimeout bounds the dial that tells a dead backend server from a broken
// connection.
const probeTimeout = 500 * time.Millisecond

// headerNotRun marks a refusal that precedes any work.
const headerNotRun = "X-Not-Run"

// sendTrace notes whether a request may have reached a connection. Without a
// connection no byte of it can have been written.
type sendTrace struct{ connected atomic.Bool }

// attach adds the trace to a context.
func (t *sendTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { t.connected.Store(true) },
	})
}

// failed builds the event of an attempt that got no response.
func (c *Client) failed(d *core.Dispatch, t *sendTrace, err error) core.AttemptFailed {
	f := core.AttemptFailed{Request: d.Request, Attempt: d.Attempt}
	if !t.connected.Load() && !d.Resume {
		f.Err = verdict.Wrap(err, verdict.NotRun, "backend-failed")
		f.Refused = true
		return f
	}
	f.Err = verdict.Wrap(err, verdict.MayHaveRun, "backend-failed")
	f.Unresumable = d.Resume
	f.BackendDied = died(d, err)
	return f
}

// died reports whether the backend server's process is gone: nothing listens
// on its address any more.
func died(d *core.Dispatch, err error) bool {
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

// badStatus builds the event of a response that is no answer.
func badStatus(d *core.Dispatch, resp *http.Response) core.AttemptFailed {
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

// unsound builds the event of a reply that breaks the contract.
func unsound(d *core.Dispatch, why string) core.AttemptFailed {
	return core.AttemptFailed{
		Request: d.Request, Attempt: d.Attempt,
		Err: verdict.New(verdict.MayHaveRun, "backend-failed", why),
	}
}
