package adminapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/configuration"
	"github.com/gooseberryslip/gooseberryslip/internal/timeline"
)

const (
	applyAttempts  = 3
	applyPause     = time.Second
	maxReplyBytes  = 64 << 20
	documentsMedia = "application/toml"
)

// ErrUnreachable: no daemon answered at the address.
var ErrUnreachable = errors.New("daemon does not answer")

// Client calls the API of one daemon.
type Client struct {
	Address string // host:port, or a URL for another scheme than http
	Token   string // an operator's bearer token
	HTTP    *http.Client
}

// base returns the base URL of the address.
func (c *Client) base() string {
	if strings.Contains(c.Address, "://") {
		return strings.TrimSuffix(c.Address, "/")
	}
	return "http://" + c.Address
}

// Apply makes a change. A call whose reply is lost is repeated under the same
// operation id. The error is a *Failure, or wraps ErrUnreachable.
func (c *Client) Apply(ctx context.Context, ch configuration.Change) (configuration.ApplyOutcome, error) {
	var o configuration.ApplyOutcome
	for attempt := 1; ; attempt++ {
		err := c.applyOnce(ctx, ch, &o)
		if attempt == applyAttempts || !errors.Is(err, ErrUnreachable) {
			return o, err
		}
		select {
		case <-time.After(applyPause):
		case <-ctx.Done():
			return o, err
		}
	}
}

func (c *Client) applyOnce(ctx context.Context, ch configuration.Change, o *configuration.ApplyOutcome) error {
	method := http.MethodPut
	if ch.Text == "" {
		method = http.MethodDelete
	}
	r, err := c.request(ctx, method, servicePath(ch.Service), strings.NewReader(ch.Text))
	if err != nil {
		return err
	}
	r.Header.Set("Content-Type", documentsMedia)
	r.Header.Set(OperationHeader, ch.Operation)
	r.Header.Set("If-Match", etag(ch.ReadRevision))
	return c.do(r, o)
}

// Documents returns the documents in force.
func (c *Client) Documents(ctx context.Context) ([]configuration.Document, error) {
	var out []configuration.Document
	err := c.get(ctx, "/v1/admin/services", &out)
	return out, err
}

// Document returns the document of a service. For a service that there is not,
// found is false, and the revision is that of its deletion, or 0.
func (c *Client) Document(ctx context.Context, s entity.ServiceName) (d configuration.Document, found bool, err error) {
	err = c.get(ctx, servicePath(s), &d)
	var f *Failure
	if errors.As(err, &f) && (f.Code == CodeNotFound || f.Code == CodeDeleted) {
		return configuration.Document{Service: s, Revision: f.Revision}, false, nil
	}
	return d, err == nil, err
}

// History returns past documents of a service, newest first.
func (c *Client) History(ctx context.Context, s entity.ServiceName) ([]configuration.Document, error) {
	var out []configuration.Document
	err := c.get(ctx, servicePath(s)+"/history", &out)
	return out, err
}

// Status returns the daemon's view.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var out Status
	err := c.get(ctx, "/v1/admin/status", &out)
	return out, err
}

// Drain starts a graceful stop of the daemon.
func (c *Client) Drain(ctx context.Context) error {
	r, err := c.request(ctx, http.MethodPost, "/v1/admin/drain", nil)
	if err != nil {
		return err
	}
	return c.do(r, nil)
}

// Events returns the events that the daemon keeps.
func (c *Client) Events(ctx context.Context, f timeline.Filter) (timeline.Export, error) {
	var out timeline.Export
	err := c.get(ctx, "/v1/admin/events?"+query(f).Encode(), &out)
	return out, err
}

func servicePath(s entity.ServiceName) string {
	return "/v1/admin/services/" + url.PathEscape(string(s))
}

func (c *Client) get(ctx context.Context, path string, v any) error {
	r, err := c.request(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	return c.do(r, v)
}

func (c *Client) request(ctx context.Context, method, path string, body io.Reader) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, method, c.base()+path, body)
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+c.Token)
	return r, nil
}

func (c *Client) do(r *http.Request, v any) error {
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	reply, err := client.Do(r)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	defer reply.Body.Close()
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxReplyBytes))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	if reply.StatusCode >= http.StatusMultipleChoices {
		return failureOf(reply, body)
	}
	if v == nil {
		return nil
	}
	if err := json.Unmarshal(body, v); err != nil {
		return fmt.Errorf("%s is not the administration API of a daemon: %w", c.Address, err)
	}
	return nil
}

func failureOf(reply *http.Response, body []byte) error {
	var f failureBody
	if json.Unmarshal(body, &f) != nil || f.Error.Code == "" {
		return fmt.Errorf("%s %s: %s; is this the administration API of a daemon?",
			reply.Request.Method, reply.Request.URL, reply.Status)
	}
	return &f.Error
}
