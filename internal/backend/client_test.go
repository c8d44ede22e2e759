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

// eventSink collects the events that a Client or Watcher reports.
type eventSink struct {
	mu     sync.Mutex
	tokens []string        // of all AttemptTokens events
	events chan core.Input // all other events
}

// newEventSink returns an empty eventSink.
func newEventSink() *eventSink { return &eventSink{events: make(chan core.Input, 8)} }

// record stores an event; it is passed to New or NewWatcher as report.
func (s *eventSink) record(in core.Input) {
	if t, ok := in.(core.AttemptTokens); ok {
		s.mu.Lock()
		s.tokens = append(s.tokens, t.Tokens...)
		s.mu.Unlock()
		return
	}
	s.events <- in
}

// next waits for the next event that is not an AttemptTokens and returns it.
func (s *eventSink) next(t *testing.T) core.Input {
	t.Helper()
	select {
	case in := <-s.events:
		return in
	case <-time.After(20 * time.Second):
		t.Fatal("no event was reported within 20 s")
		return nil
	}
}

// completionDispatch returns a dispatch to a model engine.
func completionDispatch(address string) core.Dispatch {
	return core.Dispatch{
		Request: "r1", Attempt: 1, Timeout: 10 * time.Second,
		Backend: entity.BackendServer{ID: "e", Address: address},
		Work:    &core.Work{Repeatable: true, Completion: &core.Completion{Prompt: "p", MaxTokens: 3}},
	}
}

// plainDispatch returns a dispatch to a plain service.
func plainDispatch(address, method string, body []byte) core.Dispatch {
	return core.Dispatch{
		Request: "r1", Attempt: 1, Timeout: 10 * time.Second,
		Backend: entity.BackendServer{ID: "p", Address: address},
		Work: &core.Work{Repeatable: true, Key: "k", Call: &core.PlainCall{
			Method: method, Path: "/x", Body: body,
			Header: []core.HeaderField{{Name: "Idempotency-Key", Value: "k"}, {Name: "X-Idempotency-Key", Value: "k"}},
		}},
	}
}

// breakingServer starts a server that answers the first request on each connection
// and closes the connection without a reply when a second request arrives, like a
// server that closes an idle connection too early. It counts the requests received.
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
			go serveThenBreak(conn, count)
		}
	}()
	return l.Addr().String()
}

// serveThenBreak serves one connection of breakingServer.
func serveThenBreak(conn net.Conn, count *atomic.Int32) {
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

// By default, Go's transport sends a GET request, or any request with an
// idempotency key, a second time when a reused connection breaks. The client must
// send each attempt only once.
func TestClient_OneAttemptIsOneSend(t *testing.T) {
	for _, c := range []struct {
		method string
		body   []byte
	}{{"GET", nil}, {"POST", []byte("x")}, {"POST", nil}, {"DELETE", nil}, {"OPTIONS", nil}, {"PUT", []byte("y")}} {
		t.Run(fmt.Sprintf("%s-%d", c.method, len(c.body)), func(t *testing.T) {
			var count atomic.Int32
			address := breakingServer(t, &count)
			s := newEventSink()
			client := New(s.record)
			defer client.Close()
			client.Dispatch(plainDispatch(address, c.method, c.body))
			if _, ok := s.next(t).(core.AttemptDone); !ok {
				t.Fatal("the first call failed")
			}
			d := plainDispatch(address, c.method, c.body)
			d.Attempt = 2
			client.Dispatch(d)
			f, ok := s.next(t).(core.AttemptFailed)
			if !ok {
				t.Fatal("the second call did not fail")
			}
			if verdict.Of(f.Err) != verdict.MayHaveRun {
				t.Errorf("got verdict %v for a call that was sent, want may-have-run", verdict.Of(f.Err))
			}
			if n := count.Load(); n != 2 {
				t.Errorf("the server received %d requests for 2 attempts", n)
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
	s := newEventSink()
	client := New(s.record)
	defer client.Close()
	client.Dispatch(completionDispatch(address))
	f, ok := s.next(t).(core.AttemptFailed)
	if !ok || verdict.Of(f.Err) != verdict.NotRun {
		t.Fatalf("got %+v, want a failure with verdict not-run", f)
	}
}

// serveStream starts a server that answers every request with the same event stream,
// and returns its address.
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

// tokenEvent returns one token event of a completion stream.
func tokenEvent(id string, attempt, index int, text string) string {
	return fmt.Sprintf("data: {\"id\":%q,\"attempt\":%d,\"choices\":[{\"text\":%q,\"token_index\":%d,\"finish_reason\":null}]}\n\n", id, attempt, text, index)
}

const (
	finishEvent = "data: {\"id\":\"r1\",\"attempt\":1,\"choices\":[{\"text\":\"\",\"token_index\":0,\"finish_reason\":\"length\"}]}\n\n"
	doneEvent   = "data: [DONE]\n\n"
)

func TestClient_Streams(t *testing.T) {
	for _, c := range []struct {
		name     string
		status   int
		header   http.Header
		events   string
		complete bool
		verdict  verdict.Verdict
	}{
		{"whole", 200, nil, tokenEvent("r1", 1, 1, "a") + finishEvent + doneEvent, true, verdict.Ran},
		{"truncated", 200, nil, tokenEvent("r1", 1, 1, "a"), false, verdict.MayHaveRun},
		{"no final event", 200, nil, tokenEvent("r1", 1, 1, "a") + finishEvent, false, verdict.MayHaveRun},
		{"no finish reason", 200, nil, tokenEvent("r1", 1, 1, "a") + doneEvent, false, verdict.MayHaveRun},
		{"crossed request", 200, nil, tokenEvent("r2", 1, 1, "a") + finishEvent + doneEvent, false, verdict.MayHaveRun},
		{"crossed attempt", 200, nil, tokenEvent("r1", 2, 1, "a") + finishEvent + doneEvent, false, verdict.MayHaveRun},
		{"crossed head", 200, http.Header{"X-Request-Id": {"r2"}}, tokenEvent("r1", 1, 1, "a") + finishEvent + doneEvent, false, verdict.MayHaveRun},
		{"malformed", 200, nil, "data: {\n\n", false, verdict.MayHaveRun},
		{"refused", 503, http.Header{"X-Not-Run": {"true"}}, "", false, verdict.NotRun},
		{"failed", 500, nil, "", false, verdict.MayHaveRun},
		{"busy without X-Not-Run", 503, nil, "", false, verdict.MayHaveRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newEventSink()
			client := New(s.record)
			defer client.Close()
			client.Dispatch(completionDispatch(serveStream(t, c.status, c.header, c.events)))
			end := s.next(t)
			if _, complete := end.(core.AttemptDone); complete != c.complete {
				t.Fatalf("the attempt ended with %+v", end)
			}
			if f, failed := end.(core.AttemptFailed); failed && verdict.Of(f.Err) != c.verdict {
				t.Errorf("got verdict %v, want %v", verdict.Of(f.Err), c.verdict)
			}
		})
	}
}

func TestClient_StoppedAttemptIsSilent(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer server.Close()
	defer close(release)
	s := newEventSink()
	client := New(s.record)
	client.Dispatch(completionDispatch(strings.TrimPrefix(server.URL, "http://")))
	client.StopAttempt(core.StopAttempt{Request: "r1", Attempt: 1})
	client.Close()
	if len(s.events) > 0 {
		t.Errorf("a stopped attempt reported %+v", <-s.events)
	}
}

func FuzzParseChunk(f *testing.F) {
	f.Add([]byte(`{"id":"r1","attempt":1,"choices":[{"text":"a","token_index":1,"finish_reason":null}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if ch, err := parseChunk(data); err == nil && len(ch.Choices) != 1 {
			t.Errorf("accepted a chunk with %d choices", len(ch.Choices))
		}
	})
}
