package gateway

import (
	"sync"
	"time"
)

// requestGate counts the callers' requests in flight. Once it is closed, no further
// request enters, so that none is sent to a backend server whose answer nobody awaits.
type requestGate struct {
	mu       sync.Mutex
	inFlight int
	closing  bool          // the gate closes as soon as no request is in flight
	closed   bool          // no request enters any more
	empty    chan struct{} // closed when the gate closes with no request in flight
}

func newRequestGate() *requestGate { return &requestGate{empty: make(chan struct{})} }

// enter counts a request in, or returns false if the gate is closed.
func (g *requestGate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.inFlight++
	return true
}

// leave counts out a request that has entered.
func (g *requestGate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	g.closeIfEmpty()
}

// closeWhenEmpty closes the gate as soon as no request is in flight, and after the
// timeout in any case. It returns the number of requests that are still in flight.
func (g *requestGate) closeWhenEmpty(timeout time.Duration) int {
	g.startClosing()
	g.waitUntilEmpty(timeout)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	return g.inFlight
}

// waitUntilEmpty waits until the gate is closed with no request in flight, or until the
// timeout.
func (g *requestGate) waitUntilEmpty(timeout time.Duration) {
	select {
	case <-g.empty:
	case <-time.After(timeout):
	}
}

func (g *requestGate) startClosing() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closing = true
	g.closeIfEmpty()
}

// closeIfEmpty closes the gate if it is to close and no request is in flight, which comes
// about once, as no request enters after it. The caller holds mu.
func (g *requestGate) closeIfEmpty() {
	if g.closing && g.inFlight == 0 {
		g.closed = true
		close(g.empty)
	}
}
