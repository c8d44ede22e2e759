package onesend

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/httpcheck"
)

// startServerBreakingSecondCall starts a server that answers the first call and
// closes the connection on every later one without a reply. On such a reused
// connection the transport of net/http would send a replayable request again.
func startServerBreakingSecondCall(t *testing.T) (url string, calls *atomic.Int64) {
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
		url, calls := startServerBreakingSecondCall(t)
		client := NewClient(5 * time.Second)
		var err error
		for range 2 {
			ctx, tracker := TrackWrites(context.Background())
			r, _ := http.NewRequestWithContext(ctx, c.method, url, strings.NewReader(c.body))
			if c.key != "" {
				r.Header.Set(c.key, "k")
			}
			var resp *http.Response
			if resp, err = client.Do(r); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			} else if tracker.NothingWritten() {
				t.Errorf("%s: NothingWritten is true for a call that reached the server", c.method)
			}
		}
		if err == nil || calls.Load() != 2 {
			t.Errorf("%s: the server received %d requests for two calls (error of the second: %v), want 2 and an error", c.method, calls.Load(), err)
		}
	}
}

// failingWriteToBody is a body whose WriteTo fails like that of a body that the AWS
// SDK has closed.
type failingWriteToBody struct{ *strings.Reader }

func (failingWriteToBody) WriteTo(io.Writer) (int64, error) { return 0, io.EOF }

func TestClient_KeepsTheConnectionOfAClosedBody(t *testing.T) {
	connections := &atomic.Int64{}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	client := NewClient(5 * time.Second)
	for range 20 {
		r, _ := http.NewRequest(http.MethodPost, server.URL, io.NopCloser(failingWriteToBody{strings.NewReader("body")}))
		r.ContentLength = 4
		resp, err := client.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "body" {
			t.Fatalf("reply body %q, error %v, want the request's body", body, err)
		}
		_ = resp.Body.Close()
	}
	if n := connections.Load(); n != 1 {
		t.Fatalf("%d connections for 20 consecutive calls, want 1", n)
	}
}

// TestWriteTracker_FindsItsConnection: below TLS, too. Without it a failed call is taken for one that may have had an effect.
func TestWriteTracker_FindsItsConnection(t *testing.T) {
	for name, start := range map[string]func(http.Handler) *httptest.Server{"plain": httptest.NewServer, "TLS": httptest.NewTLSServer} {
		server := start(http.NotFoundHandler())
		ctx, tracker := TrackWrites(context.Background())
		r, _ := http.NewRequestWithContext(ctx, http.MethodPost, server.URL, strings.NewReader("x"))
		client := NewClient(time.Second)
		client.http.Transport.(httpcheck.Transport).TLSClientConfig = &tls.Config{InsecureSkipVerify: true}
		resp, err := client.Do(r)
		if err != nil || tracker.untracked || tracker.conn == nil || tracker.NothingWritten() {
			t.Errorf("%s: error %v, untracked %v, connection %v", name, err, tracker.untracked, tracker.conn)
		}
		if err == nil {
			_ = resp.Body.Close()
		}
		server.Close()
	}
}

func TestWriteTracker_NothingWrittenOnAClosedPort(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	ctx, tracker := TrackWrites(context.Background())
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, server.URL, strings.NewReader("x"))
	if _, err := NewClient(time.Second).Do(r); err == nil || !tracker.NothingWritten() {
		t.Fatalf("Do on a closed port: error %v, NothingWritten %v; want an error and true", err, tracker.NothingWritten())
	}
}
