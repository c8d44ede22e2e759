package backend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/core"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// sink collects the events of attempts.
type sink struct {
	mu     sync.Mutex
	tokens []string
	end    chan core.Input
}

// newSink returns an empty sink.
func newSink() *sink { return &sink{end: make(chan core.Input, 8)} }

// take is for New.
func (s *sink) take(in core.Input) {
	if t, ok := in.(core.AttemptTokens); ok {
		s.mu.Lock()
		s.tokens = append(s.tokens, t.Tokens...)
		s.mu.Unlock()
		return
	}
	s.end <- in
}

// wait returns the last event of an attempt.
func (s *sink) wait(t *testing.T) core.Input {
	t.Helper()
	select {
	case in := <-s.end:
		return in
	case <-time.After(20 * time.Second):
		t.Fatal("the attempt has not ended")
		return nil
	}
}

// completion returns a dispatch to a model engine.
func completion(address string) core.Dispatch {
	return core.Dispatch{
		Request: "r1", Attempt: 1, Timeout: 10 * time.Second,
		Backend: entity.BackendServer{ID: "e", Address: address},
		Work:    &core.Work{Repeatable: true, Completion: &core.Completion{Prompt: "p", MaxTokens: 3}},
	}
}

// call returns a dispatch to a plain service.
func call(address, method string, body []byte) core.Dispatch {
	return core.Dispatch{
		Request: "r1", Attempt: 1, Timeout: 10 * time.Second,
		Backend: entity.BackendServer{ID: "p", Address: address},
		Work: &core.Work{Repeatable: true, Key: "k", Call: &core.PlainCall{
			Method: method, Path: "/x", Body: body,
			Header: []core.HeaderField{{Name: "Idempotency-Key", Value: "k"}, {Name: "X-Idempotency-Key", Value: "k"}},
		}},
	}
}

// breakingServer answers the first request of each connection and breaks the
// connection when a second one arrives, as a server does that closes an idle
// connection too early. It counts the requests that reached it.
func breakingServer(t *testing.T, count *atomic.Int32) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go breakSecond(conn, count)
		}
	}()
	return l.Addr().String()
}

// breakSecond serves one connection of breakingServer.
func breakSecond(conn net.Conn, count *atomic.Int32) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for i := range 2 {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		count.Add(1)
		if i == 0 {
			_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
}

// Go's transport sends GET, and anything with an idempotency key, a second
// time when a reused connection breaks. One attempt must be one send.
func TestClient_OneAttemptIsOneSend(t *testing.T) {
	for _, c := range []struct {
		method string
		body   []byte
	}{{"GET", nil}, {"POST", []byte("x")}, {"POST", nil}, {"DELETE", nil}, {"OPTIONS", nil}, {"PUT", []byte("y")}} {
		t.Run(fmt.Sprintf("%s-%d", c.method, len(c.body)), func(t *testing.T) {
			var count atomic.Int32
			address := breakingServer(t, &count)
			s := newSink()
			client := New(s.take)
			defer client.Close()
			client.Dispatch(call(address, c.method, c.body))
			if _, ok := s.wait(t).(core.AttemptDone); !ok {
				t.Fatal("the first call failed")
			}
			d := call(address, c.method, c.body)
			d.Attempt = 2
			client.Dispatch(d)
			f, ok := s.wait(t).(core.AttemptFailed)
			if !ok {
				t.Fatal("the second call did not fail")
			}
			if verdict.Of(f.Err) != verdict.MayHaveRun {
				t.Errorf("verdict %v of a call that was sent", verdict.Of(f.Err))
			}
			if n := count.Load(); n != 2 {
				t.Errorf("%d sends for 2 attempts", n)
			}
		})
	}
}

func TestClient_RefusedConnectionIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	s := newSink()
	client := New(s.take)
	defer client.Close()
	client.Dispatch(completion(address))
	f, ok := s.wait(t).(core.AttemptFailed)
	if !ok || verdict.Of(f.Err) != verdict.NotRun {
		t.Fatalf("got %+v, want a failure that did not run", f)
	}
}

// serveStream answers every request with the same event stream.
func serveStream(t *testing.T, status int, header http.Header, events string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for k, v := range header {
			w.Header()[k] = v
		}
		w.WriteHeader(status)
		_, _ = fmt.Fprint(w, events)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// token is one event of a stream.
func token(id string, attempt, index int, text string) string {
	return fmt.Sprintf("data: {\"id\":%q,\"attempt\":%d,\"choices\":[{\"text\":%q,\"token_index\":%d,\"finish_reason\":null}]}\n\n", id, attempt, text, index)
}

const (
	finish = "data: {\"id\":\"r1\",\"attempt\":1,\"choices\":[{\"text\":\"\",\"token_index\":0,\"finish_reason\":\"length\"}]}\n\n"
	done   = "data: [DONE]\n\n"
)

func TestClient_Streams(t *testing.T) {
	for _, c := range []struct {
		name    string
		status  int
		header  http.Header
		events  string
		whole   bool
		verdict verdict.Verdict
	}{
		{"whole", 200, nil, token("r1", 1, 1, "a") + finish + done, true, verdict.Ran},
		{"truncated", 200, nil, token("r1", 1, 1, "a"), false, verdict.MayHaveRun},
		{"no final event", 200, nil, token("r1", 1, 1, "a") + finish, false, verdict.MayHaveRun},
		{"no finish reason", 200, nil, token("r1", 1, 1, "a") + done, false, verdict.MayHaveRun},
		{"crossed request", 200, nil, token("r2", 1, 1, "a") + finish + done, false, verdict.MayHaveRun},
		{"crossed attempt", 200, nil, token("r1", 2, 1, "a") + finish + done, false, verdict.MayHaveRun},
		{"crossed head", 200, http.Header{"X-Request-Id": {"r2"}}, token("r1", 1, 1, "a") + finish + done, false, verdict.MayHaveRun},
		{"malformed", 200, nil, "data: {\n\n", false, verdict.MayHaveRun},
		{"refused", 503, http.Header{"X-Not-Run": {"true"}}, "", false, verdict.NotRun},
		{"failed", 500, nil, "", false, verdict.MayHaveRun},
		{"busy without a promise", 503, nil, "", false, verdict.MayHaveRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSink()
			client := New(s.take)
			defer client.Close()
			client.Dispatch(completion(serveStream(t, c.status, c.header, c.events)))
			end := s.wait(t)
			if _, whole := end.(core.AttemptDone); whole != c.whole {
				t.Fatalf("ended with %+v", end)
			}
			if f, failed := end.(core.AttemptFailed); failed && verdict.Of(f.Err) != c.verdict {
				t.Errorf("verdict %v, want %v", verdict.Of(f.Err), c.verdict)
			}
		})
	}
}

func TestClient_StoppedAttemptIsSilent(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer server.Close()
	defer close(release)
	s := newSink()
	client := New(s.take)
	client.Dispatch(completion(strings.TrimPrefix(server.URL, "http://")))
	client.Stop(core.StopAttempt{Request: "r1", Attempt: 1})
	client.Close()
	if len(s.end) > 0 {
		t.Errorf("a stopped attempt reported %+v", <-s.end)
	}
}

func FuzzParseChunk(f *testing.F) {
	f.Add([]byte(`{"id":"r1","attempt":1,"choices":[{"text":"a","token_index":1,"finish_reason":null}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if ch, err := parseChunk(data); err == nil && len(ch.Choices) != 1 {
			t.Errorf("%d choices", len(ch.Choices))
		}
	})
}
