package logging

import (
	"io"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestAsync_StoppedReaderDelaysNobody floods the log while nothing reads it.
func TestAsync_StoppedReaderDelaysNobody(t *testing.T) {
	r, w := io.Pipe()
	a := NewAsync(w)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 10 * queuedLines {
			_, _ = a.Write([]byte("line\n"))
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("writing waits for a reader that has stopped")
	}
	// The reader goes on: it finds whole lines, those that fitted the queue and
	// the count of the others.
	go func() {
		a.Close()
		_ = w.Close()
	}()
	read, err := io.ReadAll(r)
	if err != nil {
		t.Fatal(err)
	}
	whole, counts := 0, 0
	for line := range strings.Lines(string(read)) {
		switch {
		case line == "line\n":
			whole++
		case strings.Contains(line, `"msg":"log lines dropped"`) && strings.HasSuffix(line, "}\n"):
			counts++
		default:
			t.Fatalf("read %q", line)
		}
	}
	if whole < queuedLines || whole >= 10*queuedLines || counts == 0 {
		t.Fatalf("%d lines and %d counts of dropped ones", whole, counts)
	}
}

// slowWriter takes its time for the first line.
type slowWriter struct {
	mu    sync.Mutex
	text  strings.Builder
	first sync.Once
	gate  chan struct{}
}

func (s *slowWriter) Write(p []byte) (int, error) {
	s.first.Do(func() { <-s.gate })
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func TestAsync_TellsHowManyLinesWereDropped(t *testing.T) {
	s := &slowWriter{gate: make(chan struct{})}
	a := NewAsync(s)
	for range 2 * queuedLines {
		_, _ = a.Write([]byte("line\n"))
	}
	close(s.gate)
	a.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !strings.Contains(s.text.String(), `"msg":"log lines dropped"`) {
		t.Fatal("dropped lines are not counted in the log")
	}
}
