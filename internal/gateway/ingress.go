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
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/clock"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
)

// forwarding is the state of one caller's request while it is forwarded.
type forwarding struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	request exchange.Request
	body    heldBody
	ticket  *exchange.Ticket
	ctx     context.Context         // ends when the caller disconnects or the deadline has passed
	cancel  context.CancelCauseFunc // of ctx

	headBytes int64 // of the memory for bodies, for the request's head

	status      int    // HTTP status of the response; 0: none yet
	headSent    bool   // status and header have been sent to the caller
	partSent    bool   // so has a part of a body that no other backend server can continue
	lastEventID string // ID of the newest event that was sent to the caller
	eventsNoted bool   // the core wants to know of no more events of the present attempt
	silence     streamSilence
	attempts    []attemptRecord
}

// attemptRecord is the part of a request's log line about one attempt.
type attemptRecord struct {
	server   string
	version  string // of the server's software
	via      string // the daemon that forwarded it; "": none
	outcome  exchange.Outcome
	duration time.Duration
	detail   string
}

// defaultMaxBodyBytes bounds the body of a request before a configuration is known.
const defaultMaxBodyBytes = 4 << 20

func (g *Gateway) serveExchange(w http.ResponseWriter, r *http.Request) {
	arrived := clock.Now()
	x := &forwarding{g: g, w: w, r: r, request: g.Dialect.ParseRequest(r), body: heldBody{budget: &g.bodyMemory}, ctx: r.Context()}
	if g.stopping() {
		w.Header().Set("Connection", "close")
	}
	if !g.requests.enter() {
		x.refuseLate(arrived)
		return
	}
	defer g.requests.leave()
	if !x.holdHead() {
		x.refuseBody(http.StatusServiceUnavailable, "no-memory")
		return
	}
	defer func() { x.g.bodyMemory.release(x.headBytes) }()
	defer x.body.release()
	if !x.readBody(arrived) {
		return
	}
	if c := trackedConnOf(r); c != nil {
		switch err := c.table.beginRequest(c); {
		case errors.Is(err, errConnectionEnded):
			panic(http.ErrAbortHandler) // nobody can get an answer, and nothing was sent
		case err != nil:
			x.refuseBody(http.StatusServiceUnavailable, "no-sockets")
			return
		}
		defer c.table.endRequest()
	}
	x.request.Content = contentDigest(r, x.body.bytes)
	defer x.logResult(arrived)
	refusal := x.admit(arrived)
	if refusal == nil {
		refusal = x.forward()
	}
	switch {
	case refusal != nil:
		x.refuse(refusal)
	case !x.headSent:
		// The caller has left. If it reads on, it must not get the empty success that net/http would write.
		panic(http.ErrAbortHandler)
	}
}

// contentDigest returns a digest of the method, the target and the body. It is the same for
// a repeated request under another request ID.
func contentDigest(r *http.Request, body []byte) entity.Digest {
	h := sha256.New()
	for _, part := range []string{r.Method, r.Host, r.RequestURI} {
		_, _ = io.WriteString(h, part+"\x00") // a hash returns no error
	}
	_, _ = h.Write(body)
	return entity.Digest(h.Sum(nil))
}

// stopping reports whether the stop signal has been received.
func (g *Gateway) stopping() bool {
	select {
	case <-g.stopSignal:
		return true
	default:
		return false
	}
}

// readBody reads the complete body, so that it can be sent again, until the end of a planned stop.
func (x *forwarding) readBody(arrived time.Time) bool {
	length := x.r.ContentLength
	if length == 0 {
		return true
	}
	limit := x.g.maxBodyBytes()
	if length > limit {
		x.refuseBody(http.StatusRequestEntityTooLarge, "body-too-large")
		return false
	}
	most := length
	if length < 0 {
		most = limit + 1
	}
	ended, err := x.readUpload(most)
	switch {
	case errors.Is(err, errNoMemory), ended:
		x.refuseBody(http.StatusServiceUnavailable, "no-memory")
	case err != nil && x.g.grace.Err() != nil:
		x.w.Header().Set("Connection", "close")
		x.refuseLate(arrived)
	case err != nil:
		// The caller disconnected, or the body's framing is malformed.
		x.refuseBody(http.StatusBadRequest, "body-unreadable")
	case int64(len(x.body.bytes)) > limit:
		x.refuseBody(http.StatusRequestEntityTooLarge, "body-too-large")
	default:
		return true
	}
	return false
}

// readUpload reads the body, at most so many bytes. It reports whether reading was ended since the body was slow
// and others had no memory.
func (x *forwarding) readUpload(most int64) (ended bool, err error) {
	stopWatchingGrace := context.AfterFunc(x.g.grace, x.endReading)
	defer stopWatchingGrace()
	u := x.g.uploads.begin(x.endReading)
	x.body.announced = x.r.ContentLength > 0
	x.body.makeRoom = func() bool { return x.g.uploads.endSlow(u) }
	if err = x.body.read(u.count(x.r.Body), firstBodyBytes, most); err != nil {
		x.body.release()
	}
	return x.g.uploads.finish(u), err
}

// endReading has reads from the caller's connection fail from now on.
func (x *forwarding) endReading() {
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Now()) // an error: the connection has ended
}

// maxBodyBytes returns the size of the largest accepted body.
func (g *Gateway) maxBodyBytes() int64 {
	var limit int64
	g.withCore(func(c *exchange.Core, _ time.Time) { limit = c.BodyLimit() })
	return cmp.Or(limit, defaultMaxBodyBytes)
}

// refuseBody rejects a request because of its body and closes the connection.
func (x *forwarding) refuseBody(status int, code string) {
	x.w.Header().Set("Connection", "close")
	if status == http.StatusServiceUnavailable {
		x.w.Header().Set("Retry-After", "1")
	}
	http.Error(x.w, code, status)
	x.g.event(event.ExchangeRefused, x.request.ID, event.A("code", code), event.A("status", status))
}

// admit asks the core to admit the request. It sets the ticket or returns a refusal.
func (x *forwarding) admit(arrived time.Time) *exchange.Refusal {
	var refusal *exchange.Refusal
	x.g.withCore(func(c *exchange.Core, now time.Time) {
		x.request.Content = c.OrganisationsContent(x.request.Key, x.request.Content)
		x.ticket, refusal = c.Admit(now, arrived, x.request)
	})
	return refusal
}

// forward makes attempts until one is answered, the caller disconnects or the core
// refuses another one. It returns the refusal to send, if any.
func (x *forwarding) forward() *exchange.Refusal {
	defer x.g.withCore(func(c *exchange.Core, now time.Time) { c.Finish(now, x.ticket) })
	ctx, cancel := context.WithCancelCause(x.r.Context())
	defer cancel(nil)
	x.ctx, x.cancel = ctx, cancel
	defer x.boundLateWrites().finish()
	if !x.ticket.Deadline.IsZero() {
		timer := time.AfterFunc(x.ticket.Deadline.Sub(clock.Now()), func() { cancel(errDeadline) })
		defer timer.Stop()
	}
	stopWatchingGrace := context.AfterFunc(x.g.grace, func() { x.endByStop(cancel) })
	defer stopWatchingGrace()
	go x.watchCaller()
	x.findStreamVersion()
	for !x.callerLeft() {
		var a exchange.Attempt
		var refusal *exchange.Refusal
		x.g.withCore(func(c *exchange.Core, now time.Time) { a, refusal = c.Place(now, x.ticket) })
		if refusal != nil {
			return refusal
		}
		x.silence.begin(clock.Now())
		outcome := x.makeAttempt(&a)
		x.g.withCore(func(c *exchange.Core, now time.Time) { refusal = c.Ended(now, x.ticket, outcome) })
		if outcome == exchange.Answered || outcome == exchange.Abandoned || refusal != nil {
			return refusal
		}
		if x.partSent {
			return exchange.Refuse(exchange.BadReply, "answer-partly-sent")
		}
	}
	return nil
}

var (
	// errDeadline is the cause that cancels the context of a request whose deadline has
	// passed.
	errDeadline = errors.New("request deadline exceeded")
	// errSilent is the cause that cancels the context of an attempt to which the backend
	// server did not start to respond in time.
	errSilent = errors.New("backend server did not start to respond in time")
)

// statusCodes maps refusals to HTTP statuses.
var statusCodes = map[exchange.Answer]int{
	exchange.Malformed:    http.StatusBadRequest,
	exchange.Unauthorised: http.StatusUnauthorized,
	exchange.NoRoute:      http.StatusNotFound,
	exchange.OverQuota:    http.StatusTooManyRequests,
	exchange.Unavailable:  http.StatusServiceUnavailable,
	exchange.BadReply:     http.StatusBadGateway,
	exchange.TimedOut:     http.StatusGatewayTimeout,
}

// refuse sends a refusal to the caller. If a response has already started, it aborts
// the connection instead, so that the truncated response does not look complete.
func (x *forwarding) refuse(refusal *exchange.Refusal) {
	x.g.meter.countShed(refusal.Code)
	x.attempts = append(x.attempts, attemptRecord{detail: strings.TrimSpace(refusal.Code + " " + refusal.Inputs)})
	if x.headSent {
		panic(http.ErrAbortHandler)
	}
	h := x.w.Header()
	if refusal.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	body := refusal.Code + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.status = statusCodes[refusal.Status]
	x.w.WriteHeader(x.status)
	// A write fails only if the caller has disconnected, who then needs no response.
	_, _ = io.WriteString(x.w, body)
}

// firstBodyBytes is reserved at first for a body, whatever length is announced.
const firstBodyBytes = 64 << 10
