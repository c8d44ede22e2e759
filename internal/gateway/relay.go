package gateway

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/clock"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
	"github.com/gooseberryslip/gooseberryslip/internal/outbound"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

const (
	// maxHeld is the largest answer that is held back until it is whole.
	maxHeld = 256 << 10 // bytes
	// copyBuffer is the size of the reads of an answer.
	copyBuffer = 16 << 10 // bytes
)

// attempt sends the request to one backend server and passes its answer on.
func (x *run) attempt(a *exchange.Attempt) exchange.Outcome {
	start := clock.Now()
	ctx, cancel := context.WithCancelCause(x.ctx)
	defer cancel(nil)
	silence := x.watchSilence(a, cancel)
	outcome, detail := x.exchange(ctx, a, silence)
	silence.Stop()
	if outcome == exchange.Silent || outcome == exchange.Broken {
		// Its other unused connections may have gone silent in the same way.
		x.g.pool.Drop(a.Address)
	}
	x.attempts = append(x.attempts, attemptLog{string(a.Server), outcome, clock.Now().Sub(start), detail})
	return outcome
}

// watchSilence ends the attempt if there is no sign of an answer in time.
func (x *run) watchSilence(a *exchange.Attempt, cancel context.CancelCauseFunc) *time.Timer {
	if a.SilentBy.IsZero() {
		return time.NewTimer(0)
	}
	return time.AfterFunc(a.SilentBy.Sub(clock.Now()), func() { cancel(errSilent) })
}

// exchange performs the attempt and says how it ended, and why.
func (x *run) exchange(ctx context.Context, a *exchange.Attempt, silence *time.Timer) (exchange.Outcome, string) {
	reply, err := x.g.pool.Send(ctx, x.outgoing(a))
	if err != nil {
		return x.failure(ctx, err), err.Error()
	}
	defer reply.Close()
	switch x.g.Dialect.Classify(reply.Response) {
	case NotExecuted:
		if reply.Reused() && !x.g.Dialect.Echoes(reply.Response, x.request.ID) {
			// It may be the late answer to an earlier request on this connection.
			return exchange.Broken, "a refusal without the request's id on a reused connection"
		}
		return exchange.Rejected, strconv.Itoa(reply.StatusCode)
	case OtherServer:
		return exchange.Misdirected, strconv.Itoa(reply.StatusCode)
	case Doubtful:
		return exchange.Broken, "doubtful answer, status " + strconv.Itoa(reply.StatusCode)
	}
	if x.ticket.Route.Kind == exchange.Stream && isEvents(reply) && reply.StatusCode == http.StatusOK {
		return x.stream(ctx, reply, silence)
	}
	silence.Stop()
	x.began()
	if x.started {
		return exchange.Broken, "no event stream to go on with"
	}
	return x.whole(ctx, reply)
}

func (x *run) began() {
	x.g.locked(func(c *exchange.Core, now time.Time) { c.Began(now, x.ticket) })
}

// outgoing returns what to send for an attempt.
func (x *run) outgoing(a *exchange.Attempt) *outbound.Request {
	after := x.request.After
	if x.lastID != "" {
		after = x.lastID
	}
	return &outbound.Request{
		Address: a.Address, Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host,
		Header: x.g.Dialect.Forwarded(x.r.Header, a, after), Body: x.body, HasBody: x.r.ContentLength != 0,
		Mine: func(resp *http.Response) bool { return x.g.Dialect.Mine(resp, x.request.ID) },
	}
}

// failure says how an attempt without an answer ended.
func (x *run) failure(ctx context.Context, err error) exchange.Outcome {
	switch {
	case x.r.Context().Err() != nil:
		return exchange.Abandoned
	case verdict.Of(err) == verdict.NotRun:
		return exchange.NotSent
	case errors.Is(context.Cause(ctx), errDeadline), errors.Is(context.Cause(ctx), errSilent):
		return exchange.Silent
	default:
		return exchange.Broken
	}
}

func isEvents(reply *outbound.Reply) bool {
	kind, _, err := mime.ParseMediaType(reply.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

// whole holds an answer back until it is complete, so that a broken one can be
// replaced, and passes it on.
func (x *run) whole(ctx context.Context, reply *outbound.Reply) (exchange.Outcome, string) {
	body, err := io.ReadAll(io.LimitReader(reply, maxHeld))
	if err != nil {
		return x.failure(ctx, err), err.Error()
	}
	if reply.StatusCode >= http.StatusInternalServerError && x.mayReplace() {
		return exchange.Failed, strconv.Itoa(reply.StatusCode)
	}
	x.head(reply)
	if _, err := x.w.Write(body); err != nil {
		return exchange.Abandoned, "caller: " + err.Error()
	}
	if len(body) == maxHeld {
		return x.rest(ctx, reply)
	}
	return exchange.Answered, ""
}

func (x *run) mayReplace() (ok bool) {
	x.g.locked(func(c *exchange.Core, now time.Time) { ok = c.MayReplace(now, x.ticket) })
	return ok
}

// head sends the status and header of an answer to the caller.
func (x *run) head(reply *outbound.Reply) {
	h := x.w.Header()
	for name, values := range x.g.Dialect.Returned(reply.Header) {
		h[name] = values
	}
	if reply.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(reply.ContentLength, 10))
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // not to be guessed
	}
	x.started, x.status = true, reply.StatusCode
	x.w.WriteHeader(reply.StatusCode)
}

// rest passes on what follows the part that was held.
func (x *run) rest(ctx context.Context, reply *outbound.Reply) (exchange.Outcome, string) {
	buf := make([]byte, copyBuffer)
	for {
		n, err := reply.Read(buf)
		if _, werr := x.w.Write(buf[:n]); werr != nil {
			return exchange.Abandoned, "caller: " + werr.Error()
		}
		if errors.Is(err, io.EOF) {
			return exchange.Answered, ""
		}
		if err != nil {
			return x.failure(ctx, err), err.Error()
		}
	}
}
