// Package reclaimnotice watches the instance metadata for the notice that the
// instance will be reclaimed.
package reclaimnotice

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/provider/onesend"
)

const (
	tokenPath      = "/latest/api/token"
	actionPath     = "/latest/meta-data/spot/instance-action"
	tokenTTLHeader = "X-aws-ec2-metadata-token-ttl-seconds"
	tokenHeader    = "X-aws-ec2-metadata-token"
	tokenTTL       = "21600" // seconds
	callTimeout    = 2 * time.Second
	maxReplySize   = 4 << 10
)

// Watch polls the metadata service at the base URL until ctx ends. It calls f
// for the first notice and for each one whose time differs from the last. A
// failed poll is no news.
func Watch(ctx context.Context, url string, interval time.Duration, f func(provider.Notice)) {
	w := &watcher{base: strings.TrimSuffix(url, "/"), http: onesend.NewClient(callTimeout)}
	defer w.http.CloseIdleConnections()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		if n, ok := w.poll(ctx); ok && !n.At.Equal(w.last.At) {
			w.last = n
			f(n)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

type watcher struct {
	base  string
	http  *onesend.Client
	token string
	last  provider.Notice
}

// action is the body of the notice.
type action struct {
	Action string    `json:"action"`
	Time   time.Time `json:"time"`
}

func (w *watcher) poll(ctx context.Context) (provider.Notice, bool) {
	if w.token == "" {
		w.token = w.fetchToken(ctx)
	}
	status, body := w.call(ctx, http.MethodGet, actionPath)
	if status == http.StatusUnauthorized {
		w.token = ""
	}
	if status != http.StatusOK {
		return provider.Notice{}, false
	}
	var a action
	if json.Unmarshal(body, &a) != nil || a.Time.IsZero() {
		return provider.Notice{}, false
	}
	return provider.Notice{At: a.Time}, true
}

// fetchToken returns a session token, or none where the metadata service needs
// none.
func (w *watcher) fetchToken(ctx context.Context) string {
	status, body := w.call(ctx, http.MethodPut, tokenPath)
	if status != http.StatusOK {
		return ""
	}
	return string(body)
}

// call returns status 0 when there was no answer.
func (w *watcher) call(ctx context.Context, method, path string) (int, []byte) {
	req, err := http.NewRequestWithContext(ctx, method, w.base+path, nil)
	if err != nil {
		return 0, nil
	}
	if method == http.MethodPut {
		req.Header.Set(tokenTTLHeader, tokenTTL)
	} else if w.token != "" {
		req.Header.Set(tokenHeader, w.token)
	}
	resp, err := w.http.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplySize))
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, body
}
