package placement

import (
	"testing"
	"time"
)

// A time that was learned in an overload must not let all requests be refused for good once the overload is over.
func TestDoubtRequestTime_OldSamplesCountLess(t *testing.T) {
	p := New(nil)
	now := time.Unix(1000, 0)
	s := p.speed("app")
	for range 1000 {
		s.learnRequest(now, 1000)
	}
	learned := s.requestMillis
	p.DoubtRequestTime(now.Add(requestSampleLifetime-1), "app")
	if s.requestMillis != learned {
		t.Errorf("a new sample was doubted: %v ms, learned %v", s.requestMillis, learned)
	}
	for n := range 10 {
		p.DoubtRequestTime(now.Add(time.Duration(n+1)*requestSampleLifetime), "app")
	}
	if s.requestMillis > learned/1000 {
		t.Errorf("%v ms after 10 lifetimes without a sample, learned %v", s.requestMillis, learned)
	}
}
