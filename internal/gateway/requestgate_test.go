package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

func TestRequestGate_ClosesWithTheLastRequest(t *testing.T) {
	g := newRequestGate()
	for range 2 {
		if !g.enter() {
			t.Fatal("an open gate let no request in")
		}
	}
	left := make(chan int)
	go func() { left <- g.closeWhenEmpty(waitForGate) }()
	g.leave()
	if !g.enter() {
		t.Fatal("the gate was closed although a request was in flight")
	}
	g.leave()
	g.leave()
	if n := <-left; n != 0 {
		t.Fatalf("%d requests in flight when the gate had closed, want 0", n)
	}
	if g.enter() {
		t.Fatal("a closed gate let a request in")
	}
}

// waitForGate is longer than the gate's close may take.
const waitForGate = 20 * time.Second

func TestRequestGate_ClosesAfterTheTimeout(t *testing.T) {
	g := newRequestGate()
	g.enter()
	if n := g.closeWhenEmpty(time.Millisecond); n != 1 {
		t.Fatalf("%d requests in flight at the timeout, want 1", n)
	}
	if g.enter() {
		t.Fatal("a closed gate let a request in")
	}
	g.leave()
	g.waitUntilEmpty(waitForGate)
	select {
	case <-g.empty:
	default:
		t.Fatal("the gate is not empty after its last request")
	}
}

func TestGateway_LateRequestIsRefused(t *testing.T) {
	g := newStoppingGateway(t, time.Second)
	close(g.stopSignal)
	g.requests.closeWhenEmpty(0)
	w := httptest.NewRecorder()
	g.serveExchange(w, httptest.NewRequest(http.MethodGet, "http://h/x", nil))
	if w.Code != http.StatusServiceUnavailable || w.Body.String() != "leaving\n" || w.Header().Get("Connection") != "close" || w.Header().Get("Retry-After") != "0.050" {
		t.Fatalf("status %d, header %v, body %q", w.Code, w.Header(), w.Body)
	}
}
