// Package reclaimnotice polls the EC2 instance metadata service for the notice
// that the cloud will reclaim the instance on which this process runs.
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
	tokenPath        = "/latest/api/token"
	actionPath       = "/latest/meta-data/spot/instance-action"
	tokenTTLHeader   = "X-aws-ec2-metadata-token-ttl-seconds"
	tokenHeader      = "X-aws-ec2-metadata-token"
	tokenTTLSeconds  = "21600"
	callTimeout      = 2 * time.Second
	maxResponseBytes = 4 << 10
)

// Watch polls the metadata service at baseURL until ctx ends. It calls onNotice
// for the first notice and for each later one whose time differs from the notice
// before. A failed poll is ignored.
func Watch(ctx context.Context, baseURL string, interval time.Duration, onNotice func(provider.ReclaimNotice)) {
	w := &watcher{baseURL: strings.TrimSuffix(baseURL, "/"), http: onesend.NewClient(callTimeout)}
	defer w.http.CloseIdleConnections()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		if n, ok := w.poll(ctx); ok && !n.ReclaimAt.Equal(w.lastNotice.ReclaimAt) {
			w.lastNotice = n
			onNotice(n)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

type watcher struct {
	baseURL    string
	http       *onesend.Client
	token      string
	lastNotice provider.ReclaimNotice
}

// instanceAction is the JSON body of a notice.
type instanceAction struct {
	Action string    `json:"action"`
	Time   time.Time `json:"time"`
}

func (w *watcher) poll(ctx context.Context) (provider.ReclaimNotice, bool) {
	if w.token == "" {
		w.token = w.fetchToken(ctx)
	}
	status, body := w.callMetadata(ctx, http.MethodGet, actionPath)
	if status == http.StatusUnauthorized {
		w.token = ""
	}
	if status != http.StatusOK {
		return provider.ReclaimNotice{}, false
	}
	var a instanceAction
	if json.Unmarshal(body, &a) != nil || a.Time.IsZero() {
		return provider.ReclaimNotice{}, false
	}
	return provider.ReclaimNotice{ReclaimAt: a.Time}, true
}

// fetchToken requests a session token. It returns "" if the metadata service
// issues none; requests are then sent without a token.
func (w *watcher) fetchToken(ctx context.Context) string {
	status, body := w.callMetadata(ctx, http.MethodPut, tokenPath)
	if status != http.StatusOK {
		return ""
	}
	return string(body)
}

// callMetadata returns the HTTP status and the body of the response, or status 0
// if there was no complete response.
func (w *watcher) callMetadata(ctx context.Context, method, path string) (int, []byte) {
	req, err := http.NewRequestWithContext(ctx, method, w.baseURL+path, nil)
	if err != nil {
		return 0, nil
	}
	if method == http.MethodPut {
		req.Header.Set(tokenTTLHeader, tokenTTLSeconds)
	} else if w.token != "" {
		req.Header.Set(tokenHeader, w.token)
	}
	resp, err := w.http.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, body
}
