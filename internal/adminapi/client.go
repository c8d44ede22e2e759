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
	"github.com/gooseberryslip/gooseberryslip/internal/httpcheck"
	"github.com/gooseberryslip/gooseberryslip/internal/system/configuration"
	"github.com/gooseberryslip/gooseberryslip/internal/timeline"
)

const (
	maxApplyAttempts  = 3
	applyRetryDelay   = time.Second
	maxReplyBytes     = 64 << 20
	documentMediaType = "application/toml"
)

// ErrUnreachable means that no daemon answered at the client's address.
var ErrUnreachable = errors.New("daemon does not answer")

// Client calls the API of one daemon.
type Client struct {
	Address string       // host:port, or a URL if the scheme is not http
	Token   string       // an operator's bearer token
	HTTP    *http.Client // its Transport is an httpcheck.Transport; nil: a client without a timeout
}

// defaultClient is used by clients without one of their own.
var defaultClient = &http.Client{Transport: httpcheck.NewTransport(&http.Transport{Proxy: http.ProxyFromEnvironment})}

// baseURL returns the URL that the paths of the API are appended to.
func (c *Client) baseURL() string {
	if strings.Contains(c.Address, "://") {
		return strings.TrimSuffix(c.Address, "/")
	}
	return "http://" + c.Address
}

// Apply applies a change of a service document. If no reply arrives, it repeats
// the call with the same operation id, so that the daemon can recognise it. The
// error is a *Failure if the daemon answered with one, and wraps ErrUnreachable
// if no reply arrived.
func (c *Client) Apply(ctx context.Context, change configuration.Change) (configuration.ApplyOutcome, error) {
	var outcome configuration.ApplyOutcome
	for attempt := 1; ; attempt++ {
		err := c.applyOnce(ctx, change, &outcome)
		if attempt == maxApplyAttempts || !errors.Is(err, ErrUnreachable) {
			return outcome, err
		}
		select {
		case <-time.After(applyRetryDelay):
		case <-ctx.Done():
			return outcome, err
		}
	}
}

func (c *Client) applyOnce(ctx context.Context, change configuration.Change, outcome *configuration.ApplyOutcome) error {
	method := http.MethodPut
	if change.Text == "" {
		method = http.MethodDelete
	}
	req, err := c.newRequest(ctx, method, servicePath(change.Service), strings.NewReader(change.Text))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", documentMediaType)
	req.Header.Set(OperationHeader, change.Operation)
	req.Header.Set("If-Match", formatETag(change.ReadRevision))
	return c.sendRequest(req, outcome)
}

// Documents returns the service documents in force.
func (c *Client) Documents(ctx context.Context) ([]configuration.Document, error) {
	var out []configuration.Document
	err := c.getJSON(ctx, "/v1/admin/services", &out)
	return out, err
}

// Document returns the document of a service. If the service does not exist,
// found is false, and the document's revision is that of the deletion, or 0 if
// the service never existed.
func (c *Client) Document(ctx context.Context, s entity.ServiceName) (d configuration.Document, found bool, err error) {
	err = c.getJSON(ctx, servicePath(s), &d)
	var f *Failure
	if errors.As(err, &f) && (f.Code == CodeNotFound || f.Code == CodeDeleted) {
		return configuration.Document{Service: s, Revision: f.Revision}, false, nil
	}
	return d, err == nil, err
}

// History returns past documents of a service, newest first.
func (c *Client) History(ctx context.Context, s entity.ServiceName) ([]configuration.Document, error) {
	var out []configuration.Document
	err := c.getJSON(ctx, servicePath(s)+"/history", &out)
	return out, err
}

// Status returns the daemon's view of itself, its peers and the services.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var out Status
	err := c.getJSON(ctx, "/v1/admin/status", &out)
	return out, err
}

// Drain starts a graceful stop of the daemon and does not wait for its end.
func (c *Client) Drain(ctx context.Context) error {
	req, err := c.newRequest(ctx, http.MethodPost, "/v1/admin/drain", nil)
	if err != nil {
		return err
	}
	return c.sendRequest(req, nil)
}

// Events returns the events that the daemon retains and that match the filter.
func (c *Client) Events(ctx context.Context, f timeline.Filter) (timeline.Export, error) {
	var out timeline.Export
	err := c.getJSON(ctx, "/v1/admin/events?"+encodeFilter(f).Encode(), &out)
	return out, err
}

func servicePath(s entity.ServiceName) string {
	return "/v1/admin/services/" + url.PathEscape(string(s))
}

func (c *Client) getJSON(ctx context.Context, path string, result any) error {
	req, err := c.newRequest(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	return c.sendRequest(req, result)
}

func (c *Client) newRequest(ctx context.Context, method, path string, body io.Reader) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL()+path, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	return req, nil
}

func (c *Client) sendRequest(req *http.Request, result any) error {
	client := c.HTTP
	if client == nil {
		client = defaultClient
	}
	reply, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	defer reply.Body.Close()
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxReplyBytes))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	if reply.StatusCode >= http.StatusMultipleChoices {
		return decodeFailure(reply, body)
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(body, result); err != nil {
		return fmt.Errorf("%s is not the administration API of a daemon: %w", c.Address, err)
	}
	return nil
}

func decodeFailure(reply *http.Response, body []byte) error {
	var f failureBody
	if json.Unmarshal(body, &f) != nil || f.Error.Code == "" {
		return fmt.Errorf("%s %s: %s; is this the administration API of a daemon?",
			reply.Request.Method, reply.Request.URL, reply.Status)
	}
	return &f.Error
}
