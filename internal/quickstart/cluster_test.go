package quickstart

import (
	"context"
	"encoding/json"
	"io"
	"io/fs"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/examples"
	"github.com/gooseberryslip/gooseberryslip/internal/standin"
)

// demoToken is the credential of the organisation "demo" in the examples.
const demoToken = "example-token-demo"

// startCluster starts a cluster with the example documents and fast engines.
func startCluster(t *testing.T, daemons int) *Cluster {
	t.Helper()
	docs, err := fs.Sub(examples.Quickstart, "quickstart")
	if err != nil {
		t.Fatal(err)
	}
	c, err := StartCluster(context.Background(), Options{
		Daemons: daemons, Documents: docs, Log: io.Discard, StopGrace: 10 * time.Second,
		Engine: standin.EngineConfig{FirstTokenDelay: time.Millisecond, TokenInterval: time.Millisecond},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// submitRequest posts a request to the service "forecast" and returns the
// response.
func submitRequest(t *testing.T, ctx context.Context, address, body, key string) *http.Response {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+address+"/v1/services/forecast/requests", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+demoToken)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// completeText returns the text of an answer that was not streamed.
func completeText(t *testing.T, resp *http.Response) string {
	t.Helper()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("request was not answered: status %d: %s", resp.StatusCode, body)
	}
	var answer struct{ Text string }
	if err := json.Unmarshal(body, &answer); err != nil {
		t.Fatalf("decode the answer: %v: %s", err, body)
	}
	return answer.Text
}

func TestCluster_WholeAnswerFromEveryDaemon(t *testing.T) {
	c := startCluster(t, 3)
	want := standin.ExpectedText("tram line 1", 7, 12)
	for _, n := range c.Nodes {
		for _, key := range []string{"", "same-key"} {
			resp := submitRequest(t, t.Context(), n.CallerAddress(), `{"prompt":"tram line 1","max_tokens":12,"seed":7}`, key)
			if got := completeText(t, resp); got != want {
				t.Fatalf("answer to the request with key %q: got %q, want %q", key, got, want)
			}
		}
	}
}

func TestCluster_StreamEndsWithDone(t *testing.T) {
	c := startCluster(t, 1)
	resp := submitRequest(t, t.Context(), c.Nodes[0].CallerAddress(), `{"prompt":"ferry","max_tokens":5,"stream":true}`, "")
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(string(body), "event: token"); n != 5 {
		t.Fatalf("stream has %d token events, want 5: %s", n, body)
	}
	if !strings.Contains(string(body), "event: done") {
		t.Fatalf("stream has no event done: %s", body)
	}
}
