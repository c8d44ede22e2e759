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
	go a.Close()
	read, err := io.ReadAll(io.LimitReader(r, 5))
	if err != nil || string(read) != "line\n" {
		t.Fatalf("read %q %v", read, err)
	}
	_ = r.Close()
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
