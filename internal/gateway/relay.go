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
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
	"github.com/gooseberryslip/gooseberryslip/internal/outbound"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

const (
	// firstBufferedBytes is the memory that is taken first for a response.
	firstBufferedBytes = 4 << 10
	// maxBufferedBytes is the size of the largest response that is buffered until it is
	// complete.
	maxBufferedBytes = 256 << 10
	// silenceRecheckInterval is the time after which an attempt that could not go elsewhere when
	// its server had been silent for too long is looked at again.
	silenceRecheckInterval = 100 * time.Millisecond
	// copyBufferBytes is the size of the reads of a response's body.
	copyBufferBytes = 16 << 10
)

// makeAttempt sends the request to one backend server, relays its response and records
// the attempt for the log.
func (x *forwarding) makeAttempt(a *exchange.Attempt) exchange.Outcome {
	start := clock.Now()
	ctx, cancel := context.WithCancelCause(x.ctx)
	defer cancel(nil)
	silenceTimer := x.startSilenceTimer(ctx, a, cancel)
	outcome, detail := x.performAttempt(ctx, a, silenceTimer)
	silenceTimer.Stop()
	if outcome == exchange.Silent || outcome == exchange.Broken {
		// The other idle connections to this address may be unresponsive in the same way.
		x.g.pool.CloseIdle(a.Address)
	}
	x.attempts = append(x.attempts, attemptRecord{string(a.Server), a.ServerVersion, forwarderName(a), outcome, clock.Now().Sub(start), detail})
	return outcome
}

func forwarderName(a *exchange.Attempt) string {
	if a.Forwarder == nil {
		return ""
	}
	return string(a.Forwarder.Name)
}

// startSilenceTimer returns a timer that cancels the attempt when its limit for the
// start of the response has passed and the request can go elsewhere. Without a limit the timer does
// nothing.
func (x *forwarding) startSilenceTimer(ctx context.Context, a *exchange.Attempt, cancel context.CancelCauseFunc) *time.Timer {
	if a.SilenceDeadline.IsZero() {
		return time.NewTimer(0)
	}
	var timer *time.Timer
	created := make(chan struct{})
	timer = time.AfterFunc(a.SilenceDeadline.Sub(clock.Now()), func() {
		<-created
		givesUp := false
		x.g.withCore(func(c *exchange.Core, now time.Time) { givesUp = c.GivesUpSilent(now, x.ticket) })
		switch {
		case ctx.Err() != nil: // the attempt has ended
		case givesUp:
			cancel(errSilent)
		default:
			timer.Reset(silenceRecheckInterval)
		}
	})
	close(created)
	return timer
}

// performAttempt sends the request, relays the response and returns the outcome and, for
// a failure, its reason.
func (x *forwarding) performAttempt(ctx context.Context, a *exchange.Attempt, silenceTimer *time.Timer) (exchange.Outcome, string) {
	reply, err := x.send(ctx, a)
	if err != nil {
		return x.failureOutcome(ctx, err), err.Error()
	}
	defer reply.Close()
	switch x.g.Dialect.Classify(reply.Response) {
	case NotExecuted:
		// What it says of the server is true also if it answers an earlier request.
		x.recordStatement(a, reply, false)
		if x.mayAnswerAnother(reply) {
			return exchange.Broken, "refusal without the request's ID on a reused connection"
		}
		return exchange.Rejected, strconv.Itoa(reply.StatusCode)
	case WrongServer:
		if x.mayAnswerAnother(reply) {
			return exchange.Broken, "misdirected, without the request's ID on a reused connection"
		}
		return exchange.Misdirected, strconv.Itoa(reply.StatusCode)
	case Inconclusive:
		if x.g.Dialect.EchoesRequestID(reply.Response, x.request.ID) {
			x.recordStatement(a, reply, false)
		}
		return exchange.Broken, "doubtful answer, status " + strconv.Itoa(reply.StatusCode)
	}
	x.recordStatement(a, reply, true)
	if x.ticket.Route.Kind == exchange.Stream && isEventStream(reply) && reply.StatusCode == http.StatusOK {
		return x.relayStream(ctx, reply, silenceTimer)
	}
	silenceTimer.Stop()
	x.noteStarted()
	if x.headSent {
		return exchange.Broken, "response is not an event stream, so the started stream cannot continue"
	}
	return x.relayBuffered(ctx, reply)
}

// mayAnswerAnother reports whether a response may be that to an earlier request on its connection,
// late or written once more, so that it proves nothing of this one. An ID tells, as a connection carries
// it once.
func (x *forwarding) mayAnswerAnother(reply *outbound.Reply) bool {
	return reply.ConnectionReused() && !x.g.Dialect.EchoesRequestID(reply.Response, x.request.ID)
}

// send sends the attempt itself, or through the daemon that forwards it.
func (x *forwarding) send(ctx context.Context, a *exchange.Attempt) (*outbound.Reply, error) {
	if a.Forwarder != nil {
		return x.sendThrough(ctx, a)
	}
	return x.g.pool.Send(ctx, x.outboundRequest(a))
}

// recordStatement tells the core what a response says of the backend server. Genuine says that
// it is the response of a run.
func (x *forwarding) recordStatement(a *exchange.Attempt, reply *outbound.Reply, genuine bool) {
	statement, err := x.g.Dialect.ServerStatement(reply.Response)
	if err != nil {
		x.g.event(event.ServerStatementIgnored, x.request.ID, event.A("backend_server", a.Server), event.A("error", err.Error()))
	}
	if genuine || statement != (exchange.ServerStatement{}) {
		x.g.withCore(func(c *exchange.Core, now time.Time) { c.RecordStatement(now, x.ticket, statement, genuine) })
	}
}

// noteStarted tells the core that the backend server has started to respond.
func (x *forwarding) noteStarted() {
	x.g.withCore(func(c *exchange.Core, now time.Time) { c.Started(now, x.ticket) })
}

// outboundRequest returns the request to send to the attempt's backend server.
func (x *forwarding) outboundRequest(a *exchange.Attempt) *outbound.Request {
	after := x.request.After
	if x.lastEventID != "" {
		after = x.lastEventID
	}
	return &outbound.Request{
		Address: a.Address, ID: string(x.request.ID), Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host,
		Header: x.g.Dialect.ForwardedHeader(x.r.Header, a, after), Body: x.body.bytes, HasBody: x.r.ContentLength != 0,
		Matches: func(resp *http.Response) bool { return x.g.Dialect.BelongsTo(resp, x.request.ID) },
		MaySend: x.maySend,
	}
}

// maySend reports whether the present attempt may be sent on the connection that is there now.
func (x *forwarding) maySend(since time.Time) (may bool) {
	if x.callerLeft() {
		return false
	}
	x.g.withCore(func(c *exchange.Core, now time.Time) { may = c.MaySend(now, x.ticket, since) })
	return may
}

// failureOutcome returns the outcome of an attempt that ended with an error instead of a
// complete response.
func (x *forwarding) failureOutcome(ctx context.Context, err error) exchange.Outcome {
	switch {
	case x.hasLeft() && verdict.Of(err) == verdict.NotRun:
		return exchange.CallerLeft
	case x.hasLeft():
		return exchange.Abandoned
	case errors.Is(err, outbound.ErrWithheld):
		return exchange.Withheld
	case verdict.Of(err) == verdict.NotRun && notListening(err):
		return exchange.NotListening
	case verdict.Of(err) == verdict.NotRun:
		return exchange.NotSent
	case errors.Is(context.Cause(ctx), errDeadline), errors.Is(context.Cause(ctx), errSilent):
		return exchange.Silent
	default:
		return exchange.Broken
	}
}

func isEventStream(reply *outbound.Reply) bool {
	kind, _, err := mime.ParseMediaType(reply.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

// relayBuffered buffers a response until it is complete, so that a truncated one can be
// replaced by another attempt, and then sends it to the caller. A response of
// maxBufferedBytes or more, or for which there is no memory, is relayed as it arrives from there on.
func (x *forwarding) relayBuffered(ctx context.Context, reply *outbound.Reply) (exchange.Outcome, string) {
	held := heldBody{budget: &x.g.bodyMemory}
	defer held.release()
	err := held.read(reply, firstBufferedBytes, maxBufferedBytes)
	body, noMemory := held.bytes, errors.Is(err, errNoMemory)
	if err != nil && !noMemory {
		return x.failureOutcome(ctx, err), err.Error()
	}
	if reply.StatusCode >= http.StatusInternalServerError && x.mayReplace() {
		return exchange.Failed, strconv.Itoa(reply.StatusCode)
	}
	if reply.StatusCode >= http.StatusBadRequest {
		x.g.withCore(func(c *exchange.Core, _ time.Time) { c.RecordFailedAnswer(x.ticket) })
	}
	x.sendHead(reply)
	if _, err := x.w.Write(body); err != nil {
		return exchange.Abandoned, "caller: " + err.Error()
	}
	if noMemory || len(body) == maxBufferedBytes {
		x.partSent = true
		return x.relayRest(ctx, reply)
	}
	return exchange.Answered, ""
}

// mayReplace reports whether another attempt may replace this one's response.
func (x *forwarding) mayReplace() (ok bool) {
	x.g.withCore(func(c *exchange.Core, now time.Time) { ok = c.MayReplace(now, x.ticket) })
	return ok
}

// sendHead sends the status and header of a response to the caller.
func (x *forwarding) sendHead(reply *outbound.Reply) {
	h := x.w.Header()
	for name, values := range x.g.Dialect.ReturnedHeader(reply.Header) {
		h[name] = values
	}
	if reply.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(reply.ContentLength, 10))
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	x.headSent, x.status = true, reply.StatusCode
	x.w.WriteHeader(reply.StatusCode)
}

// relayRest sends what follows the buffered part of a response as it arrives.
func (x *forwarding) relayRest(ctx context.Context, reply *outbound.Reply) (exchange.Outcome, string) {
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := reply.Read(buf)
		if _, werr := x.w.Write(buf[:n]); werr != nil {
			return exchange.Abandoned, "caller: " + werr.Error()
		}
		if errors.Is(err, io.EOF) {
			return exchange.Answered, ""
		}
		if err != nil {
			return x.failureOutcome(ctx, err), err.Error()
		}
	}
}
