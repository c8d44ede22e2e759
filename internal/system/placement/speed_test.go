package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// newOverloaded returns a placer with a plain server whose requests took a second each.
func newOverloaded(now time.Time) (*Placer, *speed) {
	p := New(rand.New(rand.NewPCG(1, 1)))
	p.SetServer(Server{ID: "app-1", Service: "app", Slots: 4})
	s := p.speed("app")
	for range 1000 {
		s.learnRequest(now, 1000)
	}
	return p, s
}

// A time that was learned in an overload must not let all requests be refused for good once the overload is over.
func TestDoubtRequestTime_OldSamplesCountLess(t *testing.T) {
	now := time.Unix(1000, 0)
	p, s := newOverloaded(now)
	learned := s.requestMillis
	p.DoubtRequestTime(now.Add(requestSampleLifetime-1), "app-1")
	if s.requestMillis != learned {
		t.Errorf("a new sample was doubted: %v ms, learned %v", s.requestMillis, learned)
	}
	for n := range 10 {
		p.DoubtRequestTime(now.Add(time.Duration(n+1)*requestSampleLifetime), "app-1")
	}
	if s.requestMillis != initialRequestMillis {
		t.Errorf("%v ms after 10 lifetimes without a sample, want the assumed %v", s.requestMillis, initialRequestMillis)
	}
}

// In an overload that lasts there are no samples either, as no request gets a slot at once. Its learned time must
// not be given up, or the server is flooded.
func TestDoubtRequestTime_NotWhileRequestsAreInProgress(t *testing.T) {
	now := time.Unix(1000, 0)
	p, s := newOverloaded(now)
	choice, ok := p.Choose(now, Query{Service: "app"}, func(entity.BackendServerID) bool { return true })
	if !ok {
		t.Fatal("no server")
	}
	reservation := p.Reserve(now, choice, nil)
	learned := s.requestMillis
	for n := range 10 {
		p.DoubtRequestTime(now.Add(time.Duration(n+1)*requestSampleLifetime), "app-1")
	}
	if s.requestMillis != learned {
		t.Errorf("%v ms with a request in progress, learned %v", s.requestMillis, learned)
	}
	p.Release(now, reservation, true)
	p.DoubtRequestTime(now.Add(11*requestSampleLifetime), "app-1")
	if s.requestMillis >= learned {
		t.Errorf("%v ms after its end, learned %v", s.requestMillis, learned)
	}
}
