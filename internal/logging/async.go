package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// queuedLines is how many lines may wait for a slow reader.
const queuedLines = 1024

// Async passes lines on to a writer without ever blocking: lines that find the
// queue full are dropped and counted, and the count is written before the next
// line that gets through. It is safe for concurrent use.
type Async struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	closing sync.Once
}

// NewAsync starts to write to w.
func NewAsync(w io.Writer) *Async {
	a := &Async{lines: make(chan []byte, queuedLines), done: make(chan struct{})}
	go a.run(w)
	return a
}

// Write queues one line. It never fails.
func (a *Async) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case a.lines <- line:
	default:
		a.dropped.Add(1)
	}
	return len(p), nil
}

// Close writes what is queued, as far as the writer takes it.
func (a *Async) Close() {
	a.closing.Do(func() { close(a.lines) })
	<-a.done
}

func (a *Async) run(w io.Writer) {
	defer close(a.done)
	for line := range a.lines {
		if n := a.dropped.Swap(0); n > 0 {
			// Without a reader there is nobody to tell.
			_, _ = fmt.Fprintf(w, "{\"level\":\"warning\",\"msg\":\"log lines dropped\",\"dropped\":%d}\n", n)
		}
		_, _ = w.Write(line)
	}
}
