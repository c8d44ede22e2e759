package onesend

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// A server that answers the first call of each connection and breaks it at the
// next, which is where net/http sends replayable requests again.
func breakingServer(t *testing.T) (url string, calls *atomic.Int64) {
	t.Helper()
	calls = &atomic.Int64{}
	broken := &atomic.Bool{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		if broken.Swap(true) {
			panic(http.ErrAbortHandler)
		}
	}))
	t.Cleanup(server.Close)
	return server.URL, calls
}

func TestClient_SendsOnceOnABreakingConnection(t *testing.T) {
	for _, c := range []struct {
		method string
		body   string
		key    string
	}{{"GET", "", ""}, {"HEAD", "", ""}, {"POST", "x", "Idempotency-Key"}, {"PUT", "", "X-Idempotency-Key"}} {
		url, calls := breakingServer(t)
		client := NewClient(5 * time.Second)
		var err error
		for range 2 {
			ctx, sent := Track(context.Background())
			r, _ := http.NewRequestWithContext(ctx, c.method, url, strings.NewReader(c.body))
			if c.key != "" {
				r.Header.Set(c.key, "k")
			}
			var resp *http.Response
			if resp, err = client.Do(r); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			} else if sent.Nothing() {
				t.Errorf("%s: a call that arrived counts as not sent", c.method)
			}
		}
		if err == nil || calls.Load() != 2 {
			t.Errorf("%s: %d sends for two calls (%v)", c.method, calls.Load(), err)
		}
	}
}

func TestSent_NothingOnAClosedPort(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	ctx, sent := Track(context.Background())
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, server.URL, strings.NewReader("x"))
	if _, err := NewClient(time.Second).Do(r); err == nil || !sent.Nothing() {
		t.Fatalf("error %v, nothing sent: %v", err, sent.Nothing())
	}
}
