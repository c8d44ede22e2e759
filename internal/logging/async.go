package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// maxQueuedLines is how many lines may wait for a slow writer.
const maxQueuedLines = 1024

// Async writes log lines to a writer in the background, so that its Write method
// never blocks. It drops lines while its queue is full. Their number is written
// before the next queued line. It is safe for concurrent use.
type Async struct {
	lines     chan queuedLine
	dropped   atomic.Int64  // lines dropped since their number was last written
	done      chan struct{} // closed when run has returned
	closeOnce sync.Once
}

// queuedLine is a line to be written, or a request of Flush.
type queuedLine struct {
	text    []byte
	written chan struct{} // closed when the lines before it have been written; nil: it is a line
}

// NewAsync returns an Async that writes to w. It runs until Close is called.
func NewAsync(w io.Writer) *Async {
	a := &Async{lines: make(chan queuedLine, maxQueuedLines), done: make(chan struct{})}
	go a.run(w)
	return a
}

// Write queues a copy of one line, or drops it if the queue is full. It never
// fails.
func (a *Async) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case a.lines <- queuedLine{text: line}:
	default:
		a.dropped.Add(1)
	}
	return len(p), nil
}

// Flush waits until the lines queued so far have been written, at most for the given time,
// and reports whether they have. Write may be called meanwhile and afterwards.
func (a *Async) Flush(timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	written := make(chan struct{})
	select {
	case a.lines <- queuedLine{written: written}:
	case <-timer.C:
		return false
	}
	select {
	case <-written:
		return true
	case <-timer.C:
		return false
	}
}

// Close waits until the queued lines have been written, and stops. Write must not
// be called afterwards. It blocks for as long as the writer does.
func (a *Async) Close() {
	a.closeOnce.Do(func() { close(a.lines) })
	<-a.done
}

// run writes the queued lines to w until lines is closed.
func (a *Async) run(w io.Writer) {
	defer close(a.done)
	for line := range a.lines {
		if n := a.dropped.Swap(0); n > 0 {
			// The errors of w are ignored, as there is no other place to report them.
			_, _ = fmt.Fprintf(w, "{\"level\":\"warning\",\"msg\":\"log lines dropped\",\"dropped\":%d}\n", n)
		}
		if line.written != nil {
			close(line.written)
			continue
		}
		_, _ = w.Write(line.text)
	}
}
