package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// call is one client attempt.
type call struct {
	gateway  *gatewayProcess
	id       string
	method   string
	path     string
	key      string
	body     string
	deadline time.Duration
	header   map[string]string
}

// result is what the client got.
type result struct {
	status   int
	header   http.Header
	body     string
	complete bool  // the answer ended as its framing says
	err      error // why there is no complete answer
	took     time.Duration
}

func (r result) String() string {
	text := fmt.Sprintf("status %d, %d bytes, complete %v, %d ms", r.status, len(r.body), r.complete, r.took.Milliseconds())
	if r.status >= 400 {
		text += " (" + strings.TrimSpace(r.body) + ")"
	}
	if ra := r.header.Get("Retry-After"); ra != "" {
		text += ", Retry-After " + ra
	}
	if r.err != nil {
		text += ", " + r.err.Error()
	}
	return text
}

// head returns the request's head.
func (q *call) head() string {
	method := q.method
	if method == "" {
		method = http.MethodPost
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s\r\nX-Api-Key: %s\r\nRequest-Deadline-Ms: %d\r\n", method, q.path, q.id, q.key, q.deadline.Milliseconds())
	for name, value := range q.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	return b.String() + "\r\n"
}

// send makes the call on a new connection.
func (q *call) send(ctx context.Context) result {
	conn, err := dial(q.gateway.front)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = conn.Close() }()
	return q.sendOn(ctx, conn, bufio.NewReader(conn))
}

// sendOn makes the call on an open connection.
func (q *call) sendOn(ctx context.Context, conn net.Conn, reader *bufio.Reader) (out result) {
	start := time.Now()
	defer func() { out.took = time.Since(start) }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	_ = conn.SetDeadline(start.Add(q.deadline + 3*time.Second))
	if _, err := io.WriteString(conn, q.head()+q.body); err != nil {
		return result{err: err}
	}
	resp, err := http.ReadResponse(reader, &http.Request{Method: q.method})
	if err != nil {
		return result{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return result{status: resp.StatusCode, header: resp.Header, body: string(body), complete: err == nil, err: err}
}
