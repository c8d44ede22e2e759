package callerapi

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/core"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// fakeDaemon answers every call with the same replies and records submissions.
type fakeDaemon struct {
	replies   []core.Reply
	submitted []core.Work
	timeouts  []time.Duration
}

// fakeReplies returns the replies of a list. After the last one, Next waits until
// the context ends.
type fakeReplies struct{ remaining []core.Reply }

func (r *fakeReplies) Next(ctx context.Context) (core.Reply, error) {
	if len(r.remaining) == 0 {
		<-ctx.Done()
		return core.Reply{}, ctx.Err()
	}
	next := r.remaining[0]
	r.remaining = r.remaining[1:]
	return next, nil
}

func (r *fakeReplies) Close() {}

func (d *fakeDaemon) Submit(w core.Work, timeout time.Duration) Replies {
	d.submitted = append(d.submitted, w)
	d.timeouts = append(d.timeouts, timeout)
	return &fakeReplies{remaining: d.replies}
}
func (d *fakeDaemon) Fetch(core.Fetch) Replies { return &fakeReplies{remaining: d.replies} }
func (d *fakeDaemon) Cancel(entity.RequestID, entity.OrganisationID) Replies {
	return &fakeReplies{remaining: d.replies}
}

func (d *fakeDaemon) Authenticate(token string) (entity.OrganisationID, bool) {
	return "org", token == "good"
}

func (d *fakeDaemon) Addresses() Addresses {
	return Addresses{Addresses: []Address{{Address: "10.0.0.2:7001", DataCentre: "b"}}, TTLSeconds: 30}
}

// sendCall serves d, sends one call to it with the token "good" unless header has
// another, and returns the response and its body.
func sendCall(t *testing.T, d *fakeDaemon, method, path, body string, header http.Header) (*http.Response, string) {
	t.Helper()
	server := httptest.NewServer(NewHandler(d, Limits{MaxBodyBytes: 1000, DefaultTimeout: time.Second, MaxTimeout: time.Minute}))
	defer server.Close()
	req, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer good")
	for k, v := range header {
		req.Header[k] = v
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(text)
}

const submitPath = "/v1/services/s/requests"

func TestServer_RefusesHostileInput(t *testing.T) {
	for _, c := range []struct {
		name, method, path, body string
		header                   http.Header
		status                   int
		code                     string
	}{
		{"no credential", "POST", submitPath, `{"prompt":"a"}`, http.Header{"Authorization": nil}, 401, "unauthorised"},
		{"wrong credential", "POST", submitPath, `{"prompt":"a"}`, http.Header{"Authorization": {"Bearer bad"}}, 401, "unauthorised"},
		{"other scheme", "POST", submitPath, `{"prompt":"a"}`, http.Header{"Authorization": {"good"}}, 401, "unauthorised"},
		{"oversize body", "POST", submitPath, `{"prompt":"` + strings.Repeat("a", 2000) + `"}`, nil, 413, "too-large"},
		{"bad JSON", "POST", submitPath, `{"prompt"`, nil, 400, "bad-request"},
		{"two values", "POST", submitPath, `{"prompt":"a"}{}`, nil, 400, "bad-request"},
		{"unknown field", "POST", submitPath, `{"prompt":"a","organisation":"other"}`, nil, 400, "bad-request"},
		{"no prompt", "POST", submitPath, `{}`, nil, 400, "bad-request"},
		{"too many tokens", "POST", submitPath, `{"prompt":"a","max_tokens":9000}`, nil, 400, "bad-request"},
		{"priority", "POST", submitPath, `{"prompt":"a","priority":4}`, nil, 400, "bad-request"},
		{"negative deadline", "POST", submitPath, `{"prompt":"a","deadline_ms":-1}`, nil, 400, "bad-request"},
		{"overflowing deadline", "POST", submitPath, `{"prompt":"a","deadline_ms":9223372036854775807}`, nil, 400, "bad-request"},
		{"long key", "POST", submitPath, `{"prompt":"a"}`, http.Header{"Idempotency-Key": {strings.Repeat("k", 129)}}, 400, "bad-request"},
		{"two keys", "POST", submitPath, `{"prompt":"a"}`, http.Header{"Idempotency-Key": {"a", "b"}}, 400, "bad-request"},
		{"empty key", "POST", submitPath, `{"prompt":"a"}`, http.Header{"Idempotency-Key": {""}}, 400, "bad-request"},
		{"event id", "GET", "/v1/requests/r", "", http.Header{"Last-Event-Id": {"x"}}, 400, "bad-request"},
		{"path", "GET", "/v1/else", "", nil, 404, "not-found"},
		{"method", "PUT", submitPath, "", nil, 405, "not-allowed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := &fakeDaemon{}
			resp, body := sendCall(t, d, c.method, c.path, c.body, c.header)
			var e errorBody
			if err := json.Unmarshal([]byte(body), &e); err != nil {
				t.Fatalf("%v: %q", err, body)
			}
			if resp.StatusCode != c.status || string(e.Error.Code) != c.code {
				t.Errorf("got status %d and code %q, want %d and %q", resp.StatusCode, e.Error.Code, c.status, c.code)
			}
			if e.Error.Verdict != "not-run" || resp.Header.Get(headerVerdict) != "not-run" {
				t.Errorf("got verdict %q in the body and %q in the header, want not-run", e.Error.Verdict, resp.Header.Get(headerVerdict))
			}
			if len(d.submitted) > 0 {
				t.Errorf("the rejected call was submitted to the daemon: %+v", d.submitted)
			}
		})
	}
}

func TestServer_RefusalHasRetryAfterAndAddresses(t *testing.T) {
	err := verdict.WithRetryAfter(verdict.New(verdict.NotRun, "leaving", "stopping"), 1200*time.Millisecond)
	d := &fakeDaemon{replies: []core.Reply{{Failed: err}}}
	resp, body := sendCall(t, d, "POST", submitPath, `{"prompt":"a"}`, nil)
	var e errorBody
	if err := json.Unmarshal([]byte(body), &e); err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != 503 || resp.Header.Get("Retry-After") != "2" || e.Error.RetryAfterMS != 1200 {
		t.Errorf("got status %d, Retry-After %q and error %+v; want 503, 2 s and 1200 ms", resp.StatusCode, resp.Header.Get("Retry-After"), e.Error)
	}
	if len(e.Error.Addresses) != 1 {
		t.Errorf("got addresses %v, want the one of the other daemon", e.Error.Addresses)
	}
}

func TestServer_Stream(t *testing.T) {
	d := &fakeDaemon{replies: []core.Reply{
		{Accepted: &core.Accepted{Request: "r~d"}},
		{First: 1, Tokens: []string{"a", "b"}, Sums: []uint32{0x1, 0xabcdef01}},
		{Moved: &core.Moved{Request: "r~d", Address: "10.0.0.2:7001"}},
	}}
	resp, body := sendCall(t, d, "POST", submitPath, `{"prompt":"a","stream":true}`, nil)
	want := "id: 1-00000001\nevent: token\ndata: {\"text\":\"a\"}\n\nid: 2-abcdef01\nevent: token\ndata: {\"text\":\"b\"}\n\n" +
		"event: moved\ndata: {\"address\":\"10.0.0.2:7001\",\"request\":\"r~d\"}\n\n"
	if body != want || resp.Header.Get(headerRequest) != "r~d" {
		t.Errorf("got request id %q and body %q", resp.Header.Get(headerRequest), body)
	}
}

func TestServer_WholeAnswerMovesBySeeOther(t *testing.T) {
	d := &fakeDaemon{replies: []core.Reply{
		{Accepted: &core.Accepted{Request: "r~d"}},
		{Moved: &core.Moved{Request: "r~d", Address: "10.0.0.2:7001"}},
	}}
	resp, _ := sendCall(t, d, "POST", submitPath, `{"prompt":"a"}`, nil)
	if resp.StatusCode != http.StatusSeeOther || resp.Header.Get("Location") != "http://10.0.0.2:7001/v1/requests/r~d" {
		t.Errorf("got status %d and location %q, want a redirect to the other daemon", resp.StatusCode, resp.Header.Get("Location"))
	}
}

func TestServer_PlainCallKeepsCredentialsAndPath(t *testing.T) {
	d := &fakeDaemon{replies: []core.Reply{{Done: &core.Answer{Status: 201, Body: []byte("made")}}}}
	resp, body := sendCall(t, d, "POST", "/v1/services/s/call/a%2Fb/c?q=1", "x", http.Header{"Content-Type": {"text/plain"}, "Cookie": {"c"}})
	if resp.StatusCode != 201 || body != "made" {
		t.Errorf("got status %d and body %q, want those of the answer", resp.StatusCode, body)
	}
	c := d.submitted[0].Call
	if c.Path != "/a%2Fb/c" || c.Query != "q=1" || string(c.Body) != "x" {
		t.Errorf("the daemon received the call %+v", c)
	}
	for _, h := range c.Header {
		if h.Name == "Authorization" || h.Name == "Cookie" {
			t.Errorf("header %s is forwarded to the backend server", h.Name)
		}
	}
}

func FuzzDecodeSubmission(f *testing.F) {
	f.Add([]byte(`{"prompt":"a","max_tokens":3,"priority":1,"deadline_ms":5}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		sub, err := decodeSubmission(data)
		if err != nil {
			return
		}
		if w, err := completionWork(sub); err == nil && (w.Completion.MaxTokens < 1 || w.Completion.MaxTokens > maxTokens) {
			t.Errorf("accepted a submission with max_tokens %d", w.Completion.MaxTokens)
		}
	})
}
