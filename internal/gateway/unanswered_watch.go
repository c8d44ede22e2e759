package gateway

import (
	"context"
	"sync"
)

// unansweredWatch tells calls of the table service that wait for changes when another one has had no answer:
// open connections may all have gone silent at once, which a long call would find out only at its own
// time-out.
type unansweredWatch struct {
	mu   sync.Mutex
	lost chan struct{} // closed and replaced when a call has had no answer
}

func newUnansweredWatch() *unansweredWatch { return &unansweredWatch{lost: make(chan struct{})} }

// note records that a call has had no answer.
func (w *unansweredWatch) note() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.lost)
	w.lost = make(chan struct{})
}

// next returns a channel that is closed when the next call gets no answer.
func (w *unansweredWatch) next() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lost
}

// cancelOnUnanswered cancels a call once another one has had no answer.
func cancelOnUnanswered(ctx context.Context, cancel context.CancelFunc, lost <-chan struct{}) {
	select {
	case <-lost:
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
