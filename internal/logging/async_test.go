package logging

import (
	"io"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestAsync_StoppedReaderDoesNotBlockWriters writes more lines than the queue holds
// while nothing reads the output.
func TestAsync_StoppedReaderDoesNotBlockWriters(t *testing.T) {
	r, w := io.Pipe()
	a := NewAsync(w)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 10 * maxQueuedLines {
			_, _ = a.Write([]byte("line\n"))
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("Write blocks while nothing reads the output")
	}
	// Once the output is read, it has only complete lines: those that were queued
	// and one or more with the number of dropped lines.
	go func() {
		a.Close()
		_ = w.Close()
	}()
	output, err := io.ReadAll(r)
	if err != nil {
		t.Fatal(err)
	}
	lines, dropReports := 0, 0
	for line := range strings.Lines(string(output)) {
		switch {
		case line == "line\n":
			lines++
		case strings.Contains(line, `"msg":"log lines dropped"`) && strings.HasSuffix(line, "}\n"):
			dropReports++
		default:
			t.Fatalf("unexpected or incomplete line %q", line)
		}
	}
	if lines < maxQueuedLines || lines >= 10*maxQueuedLines || dropReports == 0 {
		t.Fatalf("%d lines and %d reports of dropped lines", lines, dropReports)
	}
}

// slowWriter blocks in its first Write until release is closed.
type slowWriter struct {
	mu      sync.Mutex
	text    strings.Builder
	first   sync.Once
	release chan struct{}
}

func (s *slowWriter) Write(p []byte) (int, error) {
	s.first.Do(func() { <-s.release })
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func TestAsync_ReportsHowManyLinesWereDropped(t *testing.T) {
	s := &slowWriter{release: make(chan struct{})}
	a := NewAsync(s)
	for range 2 * maxQueuedLines {
		_, _ = a.Write([]byte("line\n"))
	}
	close(s.release)
	a.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !strings.Contains(s.text.String(), `"msg":"log lines dropped"`) {
		t.Fatal("the log does not report the dropped lines")
	}
}

// TestAsync_FlushWaitsForQueuedLines: a process writes its last lines and ends. Lines that
// come after the flush are still accepted.
func TestAsync_FlushWaitsForQueuedLines(t *testing.T) {
	s := &slowWriter{release: make(chan struct{})}
	a := NewAsync(s)
	_, _ = a.Write([]byte("last line\n"))
	time.AfterFunc(20*time.Millisecond, func() { close(s.release) })
	if !a.Flush(10 * time.Second) {
		t.Fatal("Flush reports that the queued line was not written")
	}
	s.mu.Lock()
	text := s.text.String()
	s.mu.Unlock()
	if text != "last line\n" {
		t.Errorf("after Flush the output is %q, want the queued line", text)
	}
	_, _ = a.Write([]byte("later line\n"))
	a.Close()
	if text := s.text.String(); text != "last line\nlater line\n" {
		t.Errorf("the output is %q, want both lines", text)
	}
}

// TestAsync_FlushEndsWhileTheWriterBlocks: nobody reads the output, with an empty and with
// a full queue.
func TestAsync_FlushEndsWhileTheWriterBlocks(t *testing.T) {
	for _, lines := range []int{1, 2 * maxQueuedLines} {
		s := &slowWriter{release: make(chan struct{})}
		a := NewAsync(s)
		for range lines {
			_, _ = a.Write([]byte("line\n"))
		}
		if a.Flush(10 * time.Millisecond) {
			t.Errorf("Flush reports that %d lines were written, but the writer blocks", lines)
		}
		close(s.release)
		a.Close()
	}
}
