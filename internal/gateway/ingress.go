package gateway

import (
	"cmp"
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/clock"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
)

// run is the work on one caller's request.
type run struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	request exchange.Request
	body    []byte
	ticket  *exchange.Ticket
	ctx     context.Context // ends when the caller has gone or the time is over

	status   int    // of the answer; 0: none yet
	started  bool   // the head of the answer is on its way to the caller
	lastID   string // newest event that was passed on
	attempts []attemptLog
}

// attemptLog is what the request's log line says of an attempt.
type attemptLog struct {
	server  string
	outcome exchange.Outcome
	took    time.Duration
	detail  string
}

// defaultBody bounds bodies before a configuration is known, in bytes.
const defaultBody = 4 << 20

func (g *Gateway) serveExchange(w http.ResponseWriter, r *http.Request) {
	g.flight.Add(1)
	defer g.flight.Done()
	arrived := clock.Now()
	x := &run{g: g, w: w, r: r, request: g.Dialect.Request(r), ctx: r.Context()}
	if g.leaving() {
		w.Header().Set("Connection", "close")
	}
	taken, ok := x.readBody()
	defer g.bodies.free(taken)
	if !ok {
		return
	}
	x.request.Content = content(r, x.request.Key, x.body)
	defer x.log(arrived)
	refusal := x.admit(arrived)
	if refusal == nil {
		refusal = x.serve()
	}
	if refusal != nil {
		x.refuse(refusal)
	}
}

// content identifies what a request asks for, whatever id it comes under.
func content(r *http.Request, key string, body []byte) entity.Digest {
	h := sha256.New()
	for _, part := range []string{key, r.Method, r.Host, r.RequestURI} {
		_, _ = io.WriteString(h, part+"\x00") // a hash does not fail
	}
	_, _ = h.Write(body)
	return entity.Digest(h.Sum(nil))
}

func (g *Gateway) leaving() bool {
	select {
	case <-g.stopped:
		return true
	default:
		return false
	}
}

// readBody reads the whole body, so that it can be sent again. It returns the
// bytes that were reserved for it.
func (x *run) readBody() (taken int64, ok bool) {
	length := x.r.ContentLength
	if length == 0 {
		return 0, true
	}
	most := x.g.bodyLimit()
	if length > most {
		x.refuseBody(http.StatusRequestEntityTooLarge, "body-too-large")
		return 0, false
	}
	reserve := length
	if length < 0 {
		reserve = unknownBody
	}
	if !x.g.bodies.reserve(reserve) {
		x.refuseBody(http.StatusServiceUnavailable, "no-memory")
		return 0, false
	}
	body, err := io.ReadAll(io.LimitReader(x.r.Body, most+1))
	switch {
	case err != nil:
		// The caller broke off, or its framing is wrong.
		x.refuseBody(http.StatusBadRequest, "body-unreadable")
		return reserve, false
	case int64(len(body)) > most:
		x.refuseBody(http.StatusRequestEntityTooLarge, "body-too-large")
		return reserve, false
	}
	x.body = body
	return reserve, true
}

// bodyLimit returns the most bytes of a body.
func (g *Gateway) bodyLimit() int64 {
	var limit int64
	g.locked(func(c *exchange.Core, _ time.Time) { limit = c.BodyLimit() })
	return cmp.Or(limit, defaultBody)
}

func (x *run) refuseBody(status int, code string) {
	x.w.Header().Set("Connection", "close")
	if status == http.StatusServiceUnavailable {
		x.w.Header().Set("Retry-After", "1")
	}
	http.Error(x.w, code, status)
	x.g.event(event.ExchangeRefused, x.request.ID, event.A("code", code), event.A("status", status))
}

// admit asks the core for a ticket and bounds the request's time.
func (x *run) admit(arrived time.Time) *exchange.Refusal {
	var refusal *exchange.Refusal
	x.g.locked(func(c *exchange.Core, now time.Time) {
		x.ticket, refusal = c.Admit(now, arrived, x.request)
	})
	return refusal
}

// serve makes attempts until one has been answered. It returns the refusal to
// send, if any.
func (x *run) serve() *exchange.Refusal {
	defer x.g.locked(func(c *exchange.Core, now time.Time) { c.Finish(now, x.ticket) })
	ctx, cancel := context.WithCancelCause(x.r.Context())
	defer cancel(nil)
	x.ctx = ctx
	if !x.ticket.Deadline.IsZero() {
		timer := time.AfterFunc(x.ticket.Deadline.Sub(clock.Now()), func() { cancel(errDeadline) })
		defer timer.Stop()
	}
	for {
		var a exchange.Attempt
		var refusal *exchange.Refusal
		x.g.locked(func(c *exchange.Core, now time.Time) { a, refusal = c.Place(now, x.ticket) })
		if refusal != nil {
			return refusal
		}
		outcome := x.attempt(&a)
		x.g.locked(func(c *exchange.Core, now time.Time) { refusal = c.Ended(now, x.ticket, outcome) })
		if outcome == exchange.Answered || outcome == exchange.Abandoned || refusal != nil {
			return refusal
		}
	}
}

var (
	// errDeadline ends the context of a request whose time is over.
	errDeadline = errors.New("the request's time is over")
	// errSilent ends the context of an attempt without a sign of an answer.
	errSilent = errors.New("no sign of an answer")
)

// statusCodes are the HTTP statuses of refusals.
var statusCodes = map[exchange.Answer]int{
	exchange.Malformed:    http.StatusBadRequest,
	exchange.Unauthorised: http.StatusUnauthorized,
	exchange.NoRoute:      http.StatusNotFound,
	exchange.OverQuota:    http.StatusTooManyRequests,
	exchange.Unavailable:  http.StatusServiceUnavailable,
	exchange.BadReply:     http.StatusBadGateway,
	exchange.TimedOut:     http.StatusGatewayTimeout,
}

// refuse sends a final answer of the system's own. An answer that has begun is
// cut off instead, so that it does not look complete.
func (x *run) refuse(f *exchange.Refusal) {
	x.attempts = append(x.attempts, attemptLog{detail: strings.TrimSpace(f.Code + " " + f.Inputs)})
	if x.started {
		panic(http.ErrAbortHandler)
	}
	h := x.w.Header()
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	body := f.Code + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.status = statusCodes[f.Status]
	x.w.WriteHeader(x.status)
	// A caller that has gone needs no answer.
	_, _ = io.WriteString(x.w, body)
}

const (
	// unknownBody is reserved for a body of unknown length, in bytes.
	unknownBody = 64 << 10
)

// bodyBudget bounds the memory that bodies take.
type bodyBudget struct {
	limit int64
	used  atomic.Int64
}

func (b *bodyBudget) reserve(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

func (b *bodyBudget) free(n int64) { b.used.Add(-n) }
