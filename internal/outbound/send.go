package outbound

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/httpcheck"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

const (
	// maxInlineBodyBytes is the size of the largest request body that is written
	// before the response is read. Larger ones are written concurrently, since the
	// backend server may respond before it has read them.
	maxInlineBodyBytes = 4 << 10
	// maxForeignResponses is how many responses to other requests are skipped
	// before Send fails.
	maxForeignResponses = 2
	// maxForeignBodyBytes bounds the body of a response to another request; a body
	// of this size or more is not skipped, and Send fails.
	maxForeignBodyBytes = 1 << 20
)

// Request is a request to a backend server.
type Request struct {
	Address string // of the backend server
	ID      string // of the request; "": it has none
	Method  string
	Target  string // path and query, as the caller sent them
	Host    string
	Header  http.Header
	Body    []byte
	HasBody bool // the caller's request has a body, which may be empty
	// Matches reports whether a response answers this request. Responses that don't
	// are skipped. If it is nil, every response does.
	Matches func(*http.Response) bool
	// MaySend reports, once there is a connection, whether the request may still be sent. If
	// it is nil, it may. Since is the time from when on this connection, or others that were
	// open when the next one was opened, have reached the same process.
	MaySend func(since time.Time) bool
}

// ErrWithheld is the error of a request that was not sent since Request.MaySend has said so.
var ErrWithheld = errors.New("request withheld from the backend server")

// Reply is a response whose body has not been read yet. Close must be called.
type Reply struct {
	*http.Response
	pool             *Pool
	conn             *connection
	writeResult      chan error  // receives the result of writing the request
	stopContextWatch func() bool // keeps the context's end from closing conn; false if it is too late
	bodyComplete     bool        // the body has been read to its end
	failed           bool        // reading the head or the body has failed
	foreign          bool        // a response to another request came before
	reused           bool        // the connection had carried an earlier request
	idRepeatable     bool        // the connection may have carried an earlier request with the same ID
	release          func()      // ends a response that did not come over a connection of a pool; nil: it did
}

// NewReply returns a response that did not come over a connection of a pool. Reused and idOnce say of
// its connection what ConnectionReused and ConnectionCarriesIDOnce do. Release is called when it is
// closed.
func NewReply(resp *http.Response, reused, idOnce bool, release func()) *Reply {
	return &Reply{Response: resp, reused: reused, idRepeatable: !idOnce, release: release}
}

// Send writes the request to one connection once and reads the head of the
// response. The connection has not carried a request with the same ID before.
// An error carries a verdict on whether the request may have run. When ctx ends,
// the reading of the body fails too.
func (p *Pool) Send(ctx context.Context, r *Request) (*Reply, error) {
	id := hashID(r.ID)
	conn, err := p.acquire(ctx, r.Address, id)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, "dial")
	}
	if r.MaySend != nil && !r.MaySend(conn.since) {
		p.putBack(conn)
		return nil, verdict.Wrap(ErrWithheld, verdict.NotRun, "withheld")
	}
	// When the context ends, the connection is closed. To the backend server this
	// is the signal to stop working on the request.
	stop := context.AfterFunc(ctx, conn.abort)
	reply := &Reply{pool: p, conn: conn, stopContextWatch: stop, reused: conn.reused, writeResult: make(chan error, 1)}
	conn.carried.add(id)
	if len(r.Body) <= maxInlineBodyBytes {
		reply.writeResult <- r.write(conn.stream)
	} else {
		go func() { reply.writeResult <- r.write(conn.stream) }()
	}
	if err := reply.readResponseHead(r); err != nil {
		reply.failed = true
		reply.Close()
		return nil, verdict.Wrap(err, verdict.MayHaveRun, "no-answer")
	}
	return reply, nil
}

// write writes the request: its head and the beginning of its body at once, and then the rest, so that
// a large body is not copied.
func (r *Request) write(to io.Writer) error {
	first := min(len(r.Body), maxInlineBodyBytes)
	if _, err := to.Write(append(r.encodeHead(), r.Body[:first]...)); err != nil || first == len(r.Body) {
		return err
	}
	_, err := to.Write(r.Body[first:])
	return err
}

// encodeHead returns the encoded request line and header.
func (r *Request) encodeHead() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	if r.HasBody || len(r.Body) > 0 {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	// Header.Write replaces line breaks in values, so that a value cannot add
	// header lines or end the head.
	_ = r.Header.Write(&b) // writing to a bytes.Buffer does not fail
	b.WriteString("\r\n")
	return b.Bytes()
}

// readResponseHead reads response heads until one belongs to this request. It
// skips a limited number of responses to other requests.
func (r *Reply) readResponseHead(req *Request) error {
	for range maxForeignResponses + 1 {
		resp, err := readFinalHead(r.conn, req.Method)
		if err != nil {
			return err
		}
		if req.Matches == nil || req.Matches(resp) {
			r.Response = resp
			return nil
		}
		foreignResponses.Inc()
		r.foreign = true
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return errors.New("cannot skip a response to another request: its end is not marked")
		}
		if _, err := io.CopyN(io.Discard, resp.Body, maxForeignBodyBytes); !errors.Is(err, io.EOF) {
			return errors.New("cannot skip a response to another request: its body is too large or truncated")
		}
	}
	return errors.New("backend server sent only responses to other requests")
}

// ConnectionReused reports whether the connection had carried an earlier request.
func (r *Reply) ConnectionReused() bool { return r.reused }

// ConnectionCarriesIDOnce reports whether the connection had not carried a request with the same ID
// before, so that the ID in a response identifies the exchange.
func (r *Reply) ConnectionCarriesIDOnce() bool { return !r.idRepeatable }

// Framed reports whether the end of the body is marked by a content length or a
// transfer encoding. Otherwise the body ends where the connection does.
func (r *Reply) Framed() bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0
}

// Read reads the body and records whether it ended or failed. A body that ends where the connection does has
// failed if writing the request has, and any body if its trailer is invalid.
func (r *Reply) Read(p []byte) (int, error) {
	n, err := r.Body.Read(p)
	if errors.Is(err, io.EOF) {
		err = r.checkTrailer(err)
	}
	switch {
	case errors.Is(err, io.EOF):
		r.bodyComplete = true
	case err != nil:
		r.failed = true
	}
	return n, err
}

// checkTrailer returns the error of an invalid trailer, or end if there is none.
func (r *Reply) checkTrailer(end error) error {
	if err := httpcheck.Fields(r.Trailer); err != nil {
		invalidHeads.Inc()
		return err
	}
	return end
}

// Close returns the connection to the pool if the exchange is complete and nothing
// failed; otherwise it closes the connection.
func (r *Reply) Close() {
	if r.release != nil {
		r.release()
		return
	}
	if !r.stopContextWatch() || !r.reusable() {
		_ = r.conn.Close()
		return
	}
	r.conn.reused = true
	r.pool.putIdle(r.conn, idleTimeoutFrom(r.Header))
}

func (r *Reply) reusable() bool {
	if r.failed || r.foreign || r.Response == nil || r.Response.Close || !r.Framed() {
		return false
	}
	if !r.bodyComplete && r.ContentLength != 0 && r.Body != http.NoBody {
		return false
	}
	select {
	case err := <-r.writeResult:
		return err == nil && r.conn.reader.Buffered() == 0
	default:
		return false // the response came before the request was written completely
	}
}

// idleTimeoutFrom returns how long an idle connection may be kept, going by the
// Keep-Alive header of the response on it.
func idleTimeoutFrom(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && n >= 0 {
			return time.Duration(n)*time.Second - idleTimeoutMargin
		}
	}
	return defaultIdleTimeout
}
