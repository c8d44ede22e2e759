package gateway

import (
	"context"
	"io"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
	"github.com/gooseberryslip/gooseberryslip/internal/logging"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

// TestApplyServers_WholeListAtOnce: no request may see a part of a list, as its service
// may be in the other part.
func TestApplyServers_WholeListAtOnce(t *testing.T) {
	log, err := logging.New(io.Discard, logging.Options{Level: "error", Format: "json"})
	if err != nil {
		t.Fatal(err)
	}
	g := New(Config{Log: log})
	const servers = 3000
	var list []provider.Change[exchange.BackendServer]
	for i := range servers {
		id := strconv.Itoa(i)
		list = append(list, provider.Change[exchange.BackendServer]{
			ID: id, Value: exchange.BackendServer{ID: entity.BackendServerID(id), Service: "s", State: exchange.Ready},
		})
	}
	var observer sync.WaitGroup
	done := make(chan struct{})
	observer.Go(func() {
		for {
			select {
			case <-done:
				return
			default:
			}
			g.withCore(func(c *exchange.Core, now time.Time) {
				if n := len(c.ListedServers()); n != 0 && c.ListedServers()[0].Count != servers {
					t.Errorf("%d of %d servers of a list are known", c.ListedServers()[0].Count, servers)
				}
			})
		}
	})
	g.applyServers(true, 1, list)
	close(done)
	observer.Wait()
}

// cancellingFeed is a feed whose calls for changes wait until they are cancelled.
type cancellingFeed struct{ onCall func() }

func (f *cancellingFeed) List(context.Context) ([]provider.Change[int], provider.Position, error) {
	return nil, provider.Position{}, provider.ErrHistoryLost
}

func (f *cancellingFeed) Changes(ctx context.Context, _ uint64, _ time.Duration) ([]provider.Change[int], provider.Position, error) {
	f.onCall()
	<-ctx.Done()
	return nil, provider.Position{}, ctx.Err()
}

// TestRun_CancelledCallProvesNothing: a call is cancelled because the table service was restored, or
// because the configuration is not confirmed. Fails if it then counts as one that was answered: the
// table service may be away.
func TestRun_CancelledCallProvesNothing(t *testing.T) {
	g := newPollingGateway(0, 0)
	generation := uint64(1)
	g.generations.observe(time.Now(), generation)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	calls := 0
	feed := &cancellingFeed{onCall: func() {
		if calls++; calls == 3 {
			cancel()
			return
		}
		time.AfterFunc(20*time.Millisecond, func() {
			generation++
			g.generations.observe(time.Now(), generation)
		})
	}}
	w := &watcher[int]{g: g, name: "test", feed: feed, wait: func() time.Duration { return time.Second }, position: 1, failures: 1}
	w.run(ctx)
	if calls != 3 || w.failures != 1 {
		t.Errorf("%d calls, and %d failures on record, want 3 and 1", calls, w.failures)
	}
}

// silentFeed is a feed whose calls get no answer, as on a connection that delivers nothing any more.
type silentFeed struct{ calls chan time.Time }

func (f *silentFeed) List(context.Context) ([]provider.Change[int], provider.Position, error) {
	return nil, provider.Position{}, provider.ErrHistoryLost
}

func (f *silentFeed) Changes(ctx context.Context, _ uint64, _ time.Duration) ([]provider.Change[int], provider.Position, error) {
	f.calls <- time.Now()
	<-ctx.Done()
	return nil, provider.Position{}, ctx.Err()
}

// TestRun_OtherFeedTimesOut: the connections to the table service have gone silent. Fails if a long call for
// one feed is not made again when a short one of another feed has found that out.
func TestRun_OtherFeedTimesOut(t *testing.T) {
	testOtherFeed(t, &silentFeed{calls: make(chan time.Time, 100)})
}

// TestRun_OtherFeedsConnectionEnds: the same where that feed's call ends with its connection.
func TestRun_OtherFeedsConnectionEnds(t *testing.T) {
	testOtherFeed(t, &endingFeed{})
}

// endingFeed is a feed whose calls end with their connection, without an answer.
type endingFeed struct{ silentFeed }

func (*endingFeed) Changes(_ context.Context, _ uint64, _ time.Duration) ([]provider.Change[int], provider.Position, error) {
	return nil, provider.Position{}, provider.ErrUnknownOutcome
}

func testOtherFeed(t *testing.T, other provider.Feed[int]) {
	t.Helper()
	log, err := logging.New(io.Discard, logging.Options{Level: "error", Format: "json"})
	if err != nil {
		t.Fatal(err)
	}
	g := newPollingGateway(0, 0)
	g.Log = log
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	watch := func(name string, feed provider.Feed[int], wait time.Duration) {
		w := &watcher[int]{g: g, name: name, feed: feed, wait: func() time.Duration { return wait }, position: 1}
		running.Go(func() { w.run(ctx) })
	}
	running.Go(func() { // other daemons confirm the configuration
		for ctx.Err() == nil {
			g.withCore(func(c *exchange.Core, now time.Time) { c.Confirm(now) })
			time.Sleep(50 * time.Millisecond)
		}
	})
	long := &silentFeed{calls: make(chan time.Time, 100)}
	watch("long", long, confirmedPollWait)
	first := <-long.calls
	watch("short", other, 100*time.Millisecond)
	select {
	case again := <-long.calls:
		t.Logf("the call is made again after %v", again.Sub(first))
	case <-time.After(g.Settings.DrainLimit):
		t.Errorf("the call is not made again within %v", g.Settings.DrainLimit)
	}
}
