package gateway

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/clock"
	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
	"github.com/gooseberryslip/gooseberryslip/internal/outbound"
	"github.com/gooseberryslip/gooseberryslip/internal/peer"
)

// forwardedReadTimeout bounds the time between two frames of a request that is to be forwarded.
const forwardedReadTimeout = 2 * time.Second

// unreadAnswerTimeout bounds the wait until the other daemon, whose caller may read slowly, has read the end of an
// answer. The other daemon sends nothing in that time.
const unreadAnswerTimeout = 30 * time.Second

// resultAnswered is the result of an attempt whose complete response was sent back.
const resultAnswered = "answered"

// forwardServer is the side of the daemon that sends an attempt for another one.
type forwardServer struct {
	g        *Gateway
	from     entity.InstanceID
	exchange *peer.Exchange
	request  forwardedRequest
	body     []byte

	mu     sync.Mutex // guards writing
	ended  bool       // nothing more is written
	result string     // for the log
}

// serveForwarded sends an attempt of another daemon's request to its backend server, and the
// response back.
func (g *Gateway) serveForwarded(from entity.InstanceID, e *peer.Exchange) {
	f := &forwardServer{g: g, from: from, exchange: e}
	start := clock.Now()
	reserved, err := f.read()
	defer func() { g.bodyMemory.release(reserved) }()
	if err != nil {
		g.event(event.ExchangeForwarded, f.id(), event.A("peer", from), event.A("result", "not read: "+err.Error()))
		return
	}
	if !g.requests.enter() {
		f.fail(newFailure(failureWithheld, "the forwarding daemon stops"))
		return
	}
	defer g.requests.leave()
	stopAlive := f.startAlive()
	defer stopAlive()
	f.forward()
	g.event(event.ExchangeForwarded, f.id(), event.A("peer", from), event.A("backend_server", f.request.Forwarded.Process.Server),
		event.A("ms", clock.Now().Sub(start).Milliseconds()), event.A("result", f.result))
	g.meter.countForwarded(f.result)
	g.bodyMemory.release(reserved)
	f.body, reserved = nil, 0
	f.awaitEnd()
}

// awaitEnd waits until the other daemon has ended the exchange. A stop that closes the connection before drops what
// the other daemon has not read yet.
func (f *forwardServer) awaitEnd() {
	for {
		if _, err := f.exchange.ReadFrame(unreadAnswerTimeout); err != nil {
			return
		}
	}
}

func (f *forwardServer) id() entity.RequestID { return entity.RequestID(f.request.ID) }

// read reads the request and the order to send it. It returns the bytes that it has reserved in
// the budget for bodies.
func (f *forwardServer) read() (reserved int64, err error) {
	frame, err := f.exchange.ReadFrame(forwardedReadTimeout)
	if err != nil {
		return 0, err
	}
	if err := codec.Decode(frame, &f.request); err != nil {
		return 0, err
	}
	size := int64(f.request.BodyBytes)
	if size < 0 || size > f.g.maxBodyBytes() || !f.g.bodyMemory.reserve(size) {
		f.fail(newFailure(failureWithheld, "no memory for the body at the forwarding daemon"))
		return 0, errors.New("body too large, or no memory for it")
	}
	return size, f.readBody()
}

func (f *forwardServer) readBody() error {
	f.body = make([]byte, 0, f.request.BodyBytes)
	for {
		frame, err := f.exchange.ReadFrame(forwardedReadTimeout)
		if err != nil {
			return noEOF(err)
		}
		var piece forwardedPiece
		if err := codec.Decode(frame, &piece); err != nil {
			return err
		}
		if len(f.body)+len(piece.Data) > f.request.BodyBytes || piece.End && len(f.body) < f.request.BodyBytes {
			return errors.New("body is not as long as its head says")
		}
		f.body = append(f.body, piece.Data...)
		if piece.End {
			return nil
		}
	}
}

// startAlive sends signs of life until the returned function is called.
func (f *forwardServer) startAlive() (stop func()) {
	done := make(chan struct{})
	var sending sync.WaitGroup
	sending.Go(func() {
		ticker := time.NewTicker(forwarderAliveInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-f.exchange.Context().Done():
				return
			case <-ticker.C:
				f.write(&forwardedPiece{Alive: true})
			}
		}
	})
	return func() {
		close(done)
		sending.Wait()
	}
}

// forward sends the request to the backend server and the response back.
func (f *forwardServer) forward() {
	sentAt := clock.Now()
	reply, err := f.g.pool.Send(f.exchange.Context(), f.outboundRequest())
	if err != nil {
		failure := failureOf(err)
		if failure.Kind == failureNotSent || failure.Kind == failureNotListening {
			f.g.withCore(func(c *exchange.Core, now time.Time) { c.ForwardedNotSent(now, &f.request.Forwarded) })
		}
		f.fail(failure)
		return
	}
	defer reply.Close()
	f.recordAnswer(reply, sentAt)
	head := &forwardedHead{
		Status: reply.StatusCode, Header: toFields(reply.Header), ContentLength: reply.ContentLength,
		Chunked: len(reply.TransferEncoding) > 0, Reused: reply.ConnectionReused(), IDOnce: reply.ConnectionCarriesIDOnce(),
	}
	if f.write(&forwardedPiece{Head: head}) {
		f.relayBody(reply)
	}
}

// outboundRequest returns the request to send to the backend server.
func (f *forwardServer) outboundRequest() *outbound.Request {
	r := &f.request
	return &outbound.Request{
		Address: r.Address, ID: string(r.ID), Method: string(r.Method), Target: string(r.Target), Host: string(r.Host), Header: toHeader(r.Header), Body: f.body, HasBody: r.HasBody,
		Matches: func(resp *http.Response) bool { return f.g.Dialect.BelongsTo(resp, f.id()) },
		MaySend: f.maySend,
	}
}

func (f *forwardServer) maySend(time.Time) (may bool) {
	f.g.withCore(func(c *exchange.Core, now time.Time) { may = c.MayForward(now, &f.request.Forwarded) })
	return may
}

// recordAnswer tells the core what a response says of its backend server. The other daemon reads
// the same from it.
func (f *forwardServer) recordAnswer(reply *outbound.Reply, sentAt time.Time) {
	evidence := f.g.Dialect.Classify(reply.Response)
	if evidence == WrongServer || evidence == Inconclusive && !f.g.Dialect.EchoesRequestID(reply.Response, f.id()) {
		return
	}
	// An invalid part is left out; the other daemon logs it.
	statement, _ := f.g.Dialect.ServerStatement(reply.Response)
	f.g.withCore(func(c *exchange.Core, now time.Time) {
		c.ForwardedAnswered(now, &f.request.Forwarded, sentAt, statement, evidence == Genuine)
	})
}

// relayBody sends the body of the response back as it arrives.
func (f *forwardServer) relayBody(reply *outbound.Reply) {
	buf := make([]byte, forwardedPieceBytes)
	for {
		n, err := reply.Read(buf)
		if n > 0 && !f.write(&forwardedPiece{Data: buf[:n]}) {
			return
		}
		if errors.Is(err, io.EOF) {
			f.end(&forwardedPiece{End: true}, resultAnswered)
			return
		}
		if err != nil {
			f.fail(newFailure(failureBroken, err.Error()))
			return
		}
	}
}

// write sends a piece and reports whether the exchange goes on.
func (f *forwardServer) write(p *forwardedPiece) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended {
		return false
	}
	if err := writePiece(f.exchange, p); err != nil {
		f.ended, f.result = true, "other daemon left: "+err.Error()
	}
	return !f.ended
}

// end sends the last piece.
func (f *forwardServer) end(p *forwardedPiece, result string) {
	f.write(p)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended {
		return
	}
	f.ended, f.result = true, result
	_ = f.exchange.CloseWrite() // an error means that the other daemon has left
}

func (f *forwardServer) fail(failure *forwardedFailure) {
	f.end(&forwardedPiece{Failure: failure}, failure.Detail)
}
