package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/gooseberryslip/gooseberryslip/internal/core"
)

const (
	// maxReplyBytes is the largest accepted body of a plain service's reply.
	maxReplyBytes = 4 << 20
	// headerIdempotencyKey carries the caller's idempotency key. With the
	// standard header name, Go's transport may send a request twice.
	headerIdempotencyKey = "X-Gooseberryslip-Key"
)

// runPlainCall sends a call to a plain service, reads the reply and returns the
// event that ends the attempt.
func (c *Client) runPlainCall(ctx context.Context, d *core.Dispatch) core.Input {
	resp, failure := c.sendOnce(ctx, d, buildPlainRequest)
	if failure != nil {
		return *failure
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Header.Get(headerNotRun) == "true" {
		return statusFailure(d, resp)
	}
	return readPlainReply(d, resp)
}

// buildPlainRequest builds the HTTP request for a call to a plain service.
func buildPlainRequest(ctx context.Context, d *core.Dispatch) (*http.Request, error) {
	w := d.Work.Call
	url := "http://" + d.Backend.Address + w.Path
	if w.Query != "" {
		url += "?" + w.Query
	}
	req, err := http.NewRequestWithContext(ctx, w.Method, url, requestBody(w))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // without it, the transport cannot send the body again
	for _, h := range w.Header {
		if !isDroppedHeader(h.Name) {
			req.Header.Add(h.Name, h.Value)
		}
	}
	req.Header.Set(headerRequest, string(d.Request))
	req.Header.Set(headerAttempt, strconv.Itoa(int(d.Attempt)))
	if d.Work.Key != "" {
		req.Header.Set(headerIdempotencyKey, d.Work.Key)
	}
	return req, nil
}

// requestBody returns the body to send. Go's transport may repeat a request that
// has no body and a safe method; with an emptyBody it does not.
func requestBody(w *core.PlainCall) io.Reader {
	switch {
	case len(w.Body) > 0:
		return bytes.NewReader(w.Body)
	case w.Method == http.MethodPost, w.Method == http.MethodPut, w.Method == http.MethodPatch:
		return http.NoBody
	default:
		return &emptyBody{}
	}
}

// isDroppedHeader reports whether a header is left out of calls to backend servers
// and of their replies: headers that concern a single connection (RFC 9110, section
// 7.6.1), credentials, and headers that change how Go's transport sends a request.
func isDroppedHeader(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-authenticate", "proxy-authorization",
		"te", "trailer", "transfer-encoding", "upgrade", "content-length", "host",
		"authorization", "idempotency-key", "x-idempotency-key":
		return true
	default:
		return false
	}
}

// readPlainReply reads the complete reply of a plain service and returns the event
// that ends the attempt.
func readPlainReply(d *core.Dispatch, resp *http.Response) core.Input {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	if err != nil {
		return invalidReply(d, "the reply broke off: "+err.Error())
	}
	if len(body) > maxReplyBytes {
		return invalidReply(d, "the reply is too large")
	}
	a := core.Answer{Status: resp.StatusCode, Body: body}
	for name, values := range resp.Header {
		if isDroppedHeader(name) {
			continue
		}
		for _, v := range values {
			a.Header = append(a.Header, core.HeaderField{Name: name, Value: v})
		}
	}
	return core.AttemptDone{Request: d.Request, Attempt: d.Attempt, Answer: a}
}
