package gateway

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/clock"
)

const (
	// slowBodyTime is how long a body may take whatever its rate.
	slowBodyTime = time.Second
	// slowBodyRate is the rate, in bytes a second since its begin, below which a body is slow after that.
	slowBodyRate = 16 << 10
)

// uploads holds the bodies that are being read. While there is no memory for another one, it ends the slow ones.
type uploads struct {
	meter *meter
	mu    sync.Mutex
	open  map[*upload]struct{}
}

// upload is a body that is being read.
type upload struct {
	begun    time.Time
	received atomic.Int64 // bytes
	stop     func()       // has its reads fail
	ended    bool         // by endSlow
	done     chan struct{}
}

func newUploads(m *meter) *uploads { return &uploads{meter: m, open: map[*upload]struct{}{}} }

// begin adds a body, whose reads fail once stop has been called.
func (s *uploads) begin(stop func()) *upload {
	u := &upload{begun: clock.Now(), stop: stop, done: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[u] = struct{}{}
	return u
}

// finish removes a body that is not read any more, and reports whether it was ended for being slow.
func (s *uploads) finish(u *upload) (ended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, u)
	close(u.done)
	return u.ended
}

// endSlow ends the slow body that was begun first, for another one, and waits until its memory has been given back.
// It reports false if there is none, or if the other one has been ended itself.
func (s *uploads) endSlow(asking *upload) bool {
	slowest := s.stopSlow(asking)
	if slowest == nil {
		return false
	}
	<-slowest.done
	return true
}

func (s *uploads) stopSlow(asking *upload) *upload {
	s.mu.Lock()
	defer s.mu.Unlock()
	if asking.ended {
		return nil
	}
	now := clock.Now()
	var slowest *upload
	for u := range s.open {
		if u != asking && u.slow(now) && (slowest == nil || u.begun.Before(slowest.begun)) {
			slowest = u
		}
	}
	if slowest != nil {
		slowest.ended = true
		delete(s.open, slowest)
		slowest.stop()
		s.meter.countSlowBody()
	}
	return slowest
}

func (u *upload) slow(now time.Time) bool {
	elapsed := now.Sub(u.begun)
	return elapsed >= slowBodyTime && float64(u.received.Load()) < slowBodyRate*elapsed.Seconds()
}

// count returns a reader that counts what is read of the body.
func (u *upload) count(r io.Reader) io.Reader { return io.TeeReader(r, (*uploadCounter)(u)) }

// uploadCounter counts the bytes that are written to it.
type uploadCounter upload

func (c *uploadCounter) Write(b []byte) (int, error) {
	c.received.Add(int64(len(b)))
	return len(b), nil
}
