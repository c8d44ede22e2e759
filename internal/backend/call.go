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
	// maxReply bounds the reply of a plain service in bytes.
	maxReply = 4 << 20
	// headerKey carries the caller's idempotency key. The standard name would
	// allow Go's transport to send twice.
	headerKey = "X-Gooseberryslip-Key"
)

// runCall sends a call of a plain service and reads its reply.
func (c *Client) runCall(ctx context.Context, d *core.Dispatch) core.Input {
	resp, failure := c.send(ctx, d, plainCall)
	if failure != nil {
		return *failure
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Header.Get(headerNotRun) == "true" {
		return badStatus(d, resp)
	}
	return readReply(d, resp)
}

// plainCall builds the HTTP request.
func plainCall(ctx context.Context, d *core.Dispatch) (*http.Request, error) {
	w := d.Work.Call
	url := "http://" + d.Backend.Address + w.Path
	if w.Query != "" {
		url += "?" + w.Query
	}
	req, err := http.NewRequestWithContext(ctx, w.Method, url, bodyOf(w))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // without it, the transport cannot send the body again
	for _, h := range w.Header {
		if !dropped(h.Name) {
			req.Header.Add(h.Name, h.Value)
		}
	}
	req.Header.Set(headerRequest, string(d.Request))
	req.Header.Set(headerAttempt, strconv.Itoa(int(d.Attempt)))
	if d.Work.Key != "" {
		req.Header.Set(headerKey, d.Work.Key)
	}
	return req, nil
}

// bodyOf returns the body to send. The transport repeats a request without a
// body if its method is safe; emptyBody keeps it from that.
func bodyOf(w *core.PlainCall) io.Reader {
	switch {
	case len(w.Body) > 0:
		return bytes.NewReader(w.Body)
	case w.Method == http.MethodPost, w.Method == http.MethodPut, w.Method == http.MethodPatch:
		return http.NoBody
	default:
		return &emptyBody{}
	}
}

// dropped reports whether a header stays out of calls and replies: those of
// one connection (RFC 9110, section 7.6.1), credentials, and names that change
// how Go's transport sends.
func dropped(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-authenticate", "proxy-authorization",
		"te", "trailer", "transfer-encoding", "upgrade", "content-length", "host",
		"authorization", "idempotency-key", "x-idempotency-key":
		return true
	default:
		return false
	}
}

// readReply reads a whole reply.
func readReply(d *core.Dispatch, resp *http.Response) core.Input {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReply+1))
	if err != nil {
		return unsound(d, "the reply broke off: "+err.Error())
	}
	if len(body) > maxReply {
		return unsound(d, "the reply is too large")
	}
	a := core.Answer{Status: resp.StatusCode, Body: body}
	for name, values := range resp.Header {
		if dropped(name) {
			continue
		}
		for _, v := range values {
			a.Header = append(a.Header, core.HeaderField{Name: name, Value: v})
		}
	}
	return core.AttemptDone{Request: d.Request, Attempt: d.Attempt, Answer: a}
}
