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

	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

const (
	// inlineBody is the largest request that is written before the answer is
	// read; larger ones are written beside.
	inlineBody = 4 << 10 // bytes
	// maxForeign is how many answers to other requests are skipped.
	maxForeign = 2
	// maxSkipped is the largest such answer, in bytes.
	maxSkipped = 1 << 20
)

// Request is what is sent.
type Request struct {
	Address string // of the backend server
	Method  string
	Target  string // path and query, as the caller sent them
	Host    string
	Header  http.Header
	Body    []byte
	HasBody bool // a body was sent, though it may be empty
	// Mine reports whether an answer belongs to this request. Others are
	// skipped.
	Mine func(*http.Response) bool
}

// Reply is an answer whose body is yet to be read. Close must be called.
type Reply struct {
	*http.Response
	pool    *Pool
	conn    *connection
	written chan error // the request has been written, or could not be
	stop    func() bool
	whole   bool // the body has been read to its end
	failed  bool
}

// Send writes the request to one connection once and reads the head of the
// answer. Errors carry a verdict. The context bounds the reading of the body
// too.
func (p *Pool) Send(ctx context.Context, r *Request) (*Reply, error) {
	conn, err := p.get(ctx, r.Address)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, "dial")
	}
	// A request whose context ends is cut off by closing its connection, which
	// is what tells the backend server to stop.
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	reply := &Reply{pool: p, conn: conn, stop: stop, written: make(chan error, 1)}
	head := r.head()
	if len(r.Body) <= inlineBody {
		_, err = conn.Write(append(head, r.Body...))
		reply.written <- err
	} else {
		go func() {
			_, err := conn.Write(append(head, r.Body...))
			reply.written <- err
		}()
	}
	if err := reply.readHead(r); err != nil {
		reply.failed = true
		reply.Close()
		return nil, verdict.Wrap(err, verdict.MayHaveRun, "no-answer")
	}
	return reply, nil
}

// head returns the request line and the header.
func (r *Request) head() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	if r.HasBody || len(r.Body) > 0 {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	// The header writer drops what could break the framing.
	_ = r.Header.Write(&b) // a bytes.Buffer does not fail
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHead reads heads until one is the answer to this request.
func (r *Reply) readHead(req *Request) error {
	for range maxForeign + 1 {
		resp, err := readFinal(r.conn, req.Method)
		if err != nil {
			return err
		}
		if req.Mine == nil || req.Mine(resp) {
			r.Response = resp
			return nil
		}
		foreign.Inc()
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return errors.New("the answer to another request has no end")
		}
		if _, err := io.CopyN(io.Discard, resp.Body, maxSkipped); !errors.Is(err, io.EOF) {
			return errors.New("the answer to another request cannot be skipped")
		}
	}
	return errors.New("only answers to other requests")
}

// readFinal reads a head, passing over interim ones.
func readFinal(conn *connection, method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(conn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("unasked change of protocol")
		}
	}
}

// Reused reports whether the connection has carried a request before.
func (r *Reply) Reused() bool { return r.conn.reused }

// Framed reports whether the body's end is marked otherwise than by the end of
// the connection.
func (r *Reply) Framed() bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0
}

// Read reads the body and notes its end.
func (r *Reply) Read(p []byte) (int, error) {
	n, err := r.Body.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		r.whole = true
	case err != nil:
		r.failed = true
	}
	return n, err
}

// Close keeps the connection for another request if this one has ended cleanly,
// and closes it otherwise.
func (r *Reply) Close() {
	if !r.stop() || !r.reusable() {
		_ = r.conn.Close()
		return
	}
	r.pool.put(r.conn, keepAlive(r.Header))
}

func (r *Reply) reusable() bool {
	if r.failed || r.Response == nil || r.Response.Close || !r.Framed() {
		return false
	}
	if !r.whole && r.ContentLength != 0 && r.Body != http.NoBody {
		return false
	}
	select {
	case err := <-r.written:
		return err == nil && r.conn.reader.Buffered() == 0
	default:
		return false // an answer before the end of the request
	}
}

// keepAlive returns how long the connection may be kept.
func keepAlive(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && n >= 0 {
			return time.Duration(n)*time.Second - idleMargin
		}
	}
	return defaultIdle
}
