package gateway

import (
	"context"
	"sync"
)

// timeoutWatch tells calls of the table service that wait for changes when another one has had no answer
// in time: open connections may all have gone silent at once, which a long call would find out only at its
// own time-out.
type timeoutWatch struct {
	mu       sync.Mutex
	timedOut chan struct{} // closed and replaced when a call has timed out
}

func newTimeoutWatch() *timeoutWatch { return &timeoutWatch{timedOut: make(chan struct{})} }

// note records that a call has timed out.
func (w *timeoutWatch) note() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.timedOut)
	w.timedOut = make(chan struct{})
}

// next returns a channel that is closed when the next call times out.
func (w *timeoutWatch) next() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.timedOut
}

// cancelOnTimeout cancels a call once another one has timed out.
func cancelOnTimeout(ctx context.Context, cancel context.CancelFunc, timedOut <-chan struct{}) {
	select {
	case <-timedOut:
		cancel()
	case <-ctx.Done():
	}
}

// isClosed reports whether a channel that carries no values has been closed.
func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}
