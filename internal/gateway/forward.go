package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
	"github.com/gooseberryslip/gooseberryslip/internal/httpcheck"
	"github.com/gooseberryslip/gooseberryslip/internal/outbound"
	"github.com/gooseberryslip/gooseberryslip/internal/peer"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// An attempt that another daemon forwards is one exchange of frames with it: the request's head,
// its body in pieces and the order to send it; then signs of life while the backend server works,
// the response's head, its body in pieces as they arrive, and its end or a failure. Without the
// order nothing is sent, so that only a failure after it leaves open whether the request has run.

const (
	// forwardedPieceBytes is the size of the pieces of a body.
	forwardedPieceBytes = 16 << 10
	// forwarderAliveInterval is the time between two signs of life of a forwarding daemon.
	forwarderAliveInterval = 400 * time.Millisecond
	// forwarderSilenceTimeout is how long a forwarding daemon may be silent before it counts as
	// lost.
	forwarderSilenceTimeout = 4 * forwarderAliveInterval
)

// headerField is one field of a header. What callers and backend servers write need not be valid
// UTF-8, as texts of messages must be.
type headerField struct {
	Name  []byte `cbor:"1,keyasint"`
	Value []byte `cbor:"2,keyasint,omitempty"`
}

func toFields(h http.Header) []headerField {
	var out []headerField
	for name, values := range h {
		for _, value := range values {
			out = append(out, headerField{[]byte(name), []byte(value)})
		}
	}
	return out
}

func toHeader(fields []headerField) http.Header {
	h := make(http.Header, len(fields))
	for _, f := range fields {
		h[string(f.Name)] = append(h[string(f.Name)], string(f.Value))
	}
	return h
}

// forwardedRequest is the first frame of an exchange.
type forwardedRequest struct {
	Forwarded exchange.Forwarded `cbor:"1,keyasint"`
	ID        []byte             `cbor:"2,keyasint"`
	Address   string             `cbor:"3,keyasint"` // of the backend server
	Method    []byte             `cbor:"4,keyasint"`
	Target    []byte             `cbor:"5,keyasint"`
	Host      []byte             `cbor:"6,keyasint,omitempty"`
	Header    []headerField      `cbor:"7,keyasint,omitempty"`
	HasBody   bool               `cbor:"8,keyasint,omitempty"`
	BodyBytes int                `cbor:"9,keyasint,omitempty"`
}

// forwardedPiece is a frame that follows the first one of the same direction, or is the answer's
// first. One field is set.
type forwardedPiece struct {
	Data    []byte            `cbor:"1,keyasint,omitempty"` // of the request's or the response's body
	End     bool              `cbor:"2,keyasint,omitempty"` // the body is complete: of the request, which is to be sent now, or of the response
	Alive   bool              `cbor:"3,keyasint,omitempty"` // a sign of life
	Head    *forwardedHead    `cbor:"4,keyasint,omitempty"` // of the response
	Failure *forwardedFailure `cbor:"5,keyasint,omitempty"` // ends the exchange
}

// forwardedHead is the head of a backend server's response.
type forwardedHead struct {
	Status        int           `cbor:"1,keyasint"`
	Header        []headerField `cbor:"2,keyasint,omitempty"`
	ContentLength int64         `cbor:"3,keyasint"` // -1: not stated
	Chunked       bool          `cbor:"4,keyasint,omitempty"`
	Reused        bool          `cbor:"5,keyasint,omitempty"` // the connection had carried an earlier request
	IDOnce        bool          `cbor:"6,keyasint,omitempty"` // but none with the same ID; false: not known, as from earlier releases
}

// forwardedFailure says why there is no complete response.
type forwardedFailure struct {
	Kind   failureKind `cbor:"1,keyasint"`
	Detail string      `cbor:"2,keyasint,omitempty"`
}

// failureKind is the kind of a forwardedFailure. After the first three the request has not run.
type failureKind uint8

const (
	failureWithheld     failureKind = iota + 1 // the forwarding daemon may not send it
	failureNotSent                             // the connection to the backend server failed
	failureNotListening                        // likewise, as nothing listens at its address
	failureBroken                              // the request may have run
)

// newFailure returns a failure whose detail can be sent.
func newFailure(kind failureKind, detail string) *forwardedFailure {
	return &forwardedFailure{Kind: kind, Detail: strings.ToValidUTF8(detail, "?")}
}

// failureOf returns the failure that an error of outbound.Pool.Send stands for.
func failureOf(err error) *forwardedFailure {
	kind := failureBroken
	switch {
	case errors.Is(err, outbound.ErrWithheld):
		kind = failureWithheld
	case verdict.Of(err) == verdict.NotRun && notListening(err):
		kind = failureNotListening
	case verdict.Of(err) == verdict.NotRun:
		kind = failureNotSent
	}
	return newFailure(kind, err.Error())
}

// toError returns the error that outbound.Pool.Send would have returned here.
func (f *forwardedFailure) toError() error {
	err := errors.New(f.Detail)
	switch f.Kind {
	case failureWithheld:
		return verdict.Wrap(errors.Join(outbound.ErrWithheld, err), verdict.NotRun, "withheld")
	case failureNotSent:
		return verdict.Wrap(err, verdict.NotRun, "dial")
	case failureNotListening:
		return verdict.Wrap(errors.Join(syscall.ECONNREFUSED, err), verdict.NotRun, "dial")
	default:
		return verdict.Wrap(err, verdict.MayHaveRun, "no-answer")
	}
}

// forwardedExchange is the side of the daemon whose caller waits. Reading it reads the body of the
// response.
type forwardedExchange struct {
	exchange *peer.Exchange
	rest     []byte // of the last piece of the body
	complete bool
}

// sendThrough has another daemon send the present attempt. Errors carry a verdict, as those of
// outbound.Pool.Send.
func (x *forwarding) sendThrough(ctx context.Context, a *exchange.Attempt) (*outbound.Reply, error) {
	e, err := x.g.openForwarding(a.Forwarder)
	if err != nil {
		return nil, newFailure(failureWithheld, err.Error()).toError()
	}
	stop := context.AfterFunc(ctx, e.Cancel)
	reply, err := x.exchangeThrough(e, a)
	if err != nil {
		stop()
		e.Cancel()
		return nil, err
	}
	return outbound.NewReply(reply.response, reply.reused, reply.idOnce, func() { stop(); e.Cancel() }), nil
}

// openForwarding opens an exchange with another daemon.
func (g *Gateway) openForwarding(to *exchange.Member) (*peer.Exchange, error) {
	transport := g.transport.Load()
	if transport == nil {
		return nil, peer.ErrNotConnected
	}
	return transport.OpenExchange(peer.Address{ID: to.Name, Addr: to.PeerAddr})
}

// forwardedReply is a response whose body is read from an exchange.
type forwardedReply struct {
	response *http.Response
	reused   bool
	idOnce   bool
}

// exchangeThrough sends the request on an exchange and waits for the head of the response.
func (x *forwarding) exchangeThrough(e *peer.Exchange, a *exchange.Attempt) (*forwardedReply, error) {
	if err := x.writeForwarded(e, a); err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, "forward")
	}
	if x.callerLeft() {
		return nil, verdict.Wrap(errCallerLeft, verdict.NotRun, "caller-left")
	}
	if err := writePiece(e, &forwardedPiece{End: true}); err != nil {
		return nil, verdict.Wrap(err, verdict.MayHaveRun, "forward")
	}
	f := &forwardedExchange{exchange: e}
	piece, err := f.next()
	switch {
	case err != nil:
		return nil, verdict.Wrap(err, verdict.MayHaveRun, "forwarder-lost")
	case piece.Failure != nil:
		return nil, piece.Failure.toError()
	case piece.Head == nil:
		return nil, verdict.New(verdict.MayHaveRun, "forwarder-lost", "the forwarding daemon sent no head of a response")
	}
	return piece.Head.toReply(f)
}

// writeForwarded writes all of the request but the order to send it.
func (x *forwarding) writeForwarded(e *peer.Exchange, a *exchange.Attempt) error {
	r := x.outboundRequest(a)
	first := forwardedRequest{
		ID: []byte(x.request.ID), Address: r.Address, Method: []byte(r.Method), Target: []byte(r.Target), Host: []byte(r.Host), Header: toFields(r.Header),
		HasBody: r.HasBody, BodyBytes: len(r.Body),
	}
	x.g.withCore(func(c *exchange.Core, now time.Time) { first.Forwarded = c.ForwardedBy(now, x.ticket) })
	body, err := codec.Encode(first)
	if err != nil {
		return err
	}
	if err := e.WriteFrame(body); err != nil {
		return err
	}
	for rest := r.Body; len(rest) > 0; {
		n := min(len(rest), forwardedPieceBytes)
		if err := writePiece(e, &forwardedPiece{Data: rest[:n]}); err != nil {
			return err
		}
		rest = rest[n:]
	}
	return nil
}

func writePiece(e *peer.Exchange, p *forwardedPiece) error {
	body, err := codec.Encode(p)
	if err != nil {
		return err
	}
	return e.WriteFrame(body)
}

// next returns the next piece that is no sign of life.
func (f *forwardedExchange) next() (*forwardedPiece, error) {
	for {
		body, err := f.exchange.ReadFrame(forwarderSilenceTimeout)
		if err != nil {
			return nil, noEOF(err)
		}
		var p forwardedPiece
		if err := codec.Decode(body, &p); err != nil {
			return nil, err
		}
		if !p.Alive {
			return &p, nil
		}
	}
}

// noEOF returns the error of an exchange that ended before its last frame.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Read implements io.Reader. The end of the body is the one that the backend server marked.
func (f *forwardedExchange) Read(b []byte) (int, error) {
	for len(f.rest) == 0 {
		if f.complete {
			return 0, io.EOF
		}
		piece, err := f.next()
		switch {
		case err != nil:
			return 0, err
		case piece.Failure != nil:
			return 0, piece.Failure.toError()
		case piece.Head != nil:
			return 0, errors.New("the forwarding daemon sent a second head of a response")
		}
		f.rest, f.complete = piece.Data, piece.End
	}
	n := copy(b, f.rest)
	f.rest = f.rest[n:]
	return n, nil
}

// Close implements io.Closer. The exchange is ended with the reply.
func (f *forwardedExchange) Close() error { return nil }

// toReply returns the reply with this head and the given body. A daemon of an earlier release passes on invalid heads.
func (h *forwardedHead) toReply(body io.ReadCloser) (*forwardedReply, error) {
	response := h.toResponse(body)
	if err := httpcheck.Head(response); err != nil {
		return nil, verdict.Wrap(err, verdict.MayHaveRun, "no-answer")
	}
	return &forwardedReply{response: response, reused: h.Reused, idOnce: h.IDOnce}, nil
}

// toResponse returns the response with this head and the given body.
func (h *forwardedHead) toResponse(body io.ReadCloser) *http.Response {
	resp := &http.Response{
		StatusCode: h.Status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: toHeader(h.Header), ContentLength: h.ContentLength, Body: body,
	}
	if h.Chunked {
		resp.TransferEncoding = []string{"chunked"}
	}
	return resp
}
