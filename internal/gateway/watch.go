package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/clock"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/system/backoff"
)

const (
	// listTimeout bounds a read of the complete list.
	listTimeout = 1500 * time.Millisecond
	// changesTimeoutMargin is added to the wait time of a call for changes to get its timeout.
	changesTimeoutMargin = 700 * time.Millisecond
	// watchRetryDelay is the minimum delay after a failed call; up to as much again is
	// added at random.
	watchRetryDelay = 150 * time.Millisecond
	// maxWatchRetryDelay is that minimum after several failed calls at a daemon to which others
	// tell what changes.
	maxWatchRetryDelay = 1200 * time.Millisecond
)

// watcher reads one feed: first the complete list, then its changes by long polls.
type watcher[T any] struct {
	g    *Gateway
	name string // of the feed, for the log
	feed provider.Feed[T]
	wait func() time.Duration // returns how long the next call for changes waits
	// apply is called with the result of each call. Complete says that changes holds
	// all entries of the list; start is when the call was made.
	apply func(complete bool, changes []provider.Change[T], start time.Time)

	// batchWait returns the delay after a result with changes, so that the next one has
	// several.
	batchWait     func() time.Duration
	batchDelay    time.Duration // the delay after the last result
	position      uint64        // version after which changes are read; 0: read the complete list next
	newestVersion uint64        // highest version seen
	failures      int           // failed calls since the last successful one
	failedAt      time.Time     // when the last call that failed began
	repeats       bool          // the last call was cancelled, as another one had got no answer
}

// restored reports whether a version is the first one of a newer generation of the
// table service that this watcher has got.
func (w *watcher[T]) restored(version uint64) bool {
	return w.newestVersion > 0 && provider.Generation(version) > provider.Generation(w.newestVersion)
}

func (w *watcher[T]) run(ctx context.Context) {
	for ctx.Err() == nil {
		start := clock.Now()
		err := w.step(ctx, start)
		switch {
		case err == nil:
			w.noteSuccess(start)
			clock.Wait(ctx, w.batchDelay)
		case errors.Is(err, errPollCancelled):
		case errors.Is(err, provider.ErrHistoryLost):
			w.position = 0
		default:
			w.noteFailure(ctx, start, err)
			delay := w.retryDelay()
			clock.Wait(ctx, delay+rand.N(delay))
		}
	}
}

func (w *watcher[T]) step(ctx context.Context, start time.Time) error {
	if w.position == 0 {
		return w.list(ctx, start)
	}
	wait, lost := w.wait(), w.g.unanswered.next()
	if w.repeats {
		wait = min(wait, w.g.drainLimitRatio(tableWaitRatio))
	}
	ctx, cancel := context.WithTimeout(ctx, wait+changesTimeoutMargin)
	defer cancel()
	if !w.repeats { // the next call ends soon, so that calls without an answer count as failed
		go cancelOnUnanswered(ctx, cancel, lost)
	}
	if wait > w.g.independentPollWait() {
		go w.g.cancelUnconfirmedPoll(ctx, cancel)
	}
	go w.g.generations.cancelOnRestore(ctx, cancel)
	changes, position, err := w.feed.Changes(ctx, w.position, wait)
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		w.repeats = isClosed(lost)
		return errPollCancelled
	}
	w.repeats = false
	if err != nil {
		w.g.noteUnanswered(ctx, err)
		return err
	}
	w.position, w.newestVersion = max(position.Version, w.position), max(position.Version, w.newestVersion)
	w.apply(false, changes, start)
	w.batchDelay = 0
	if len(changes) > 0 {
		w.batchDelay = w.batchWait()
	}
	return nil
}

// noteUnanswered tells the calls that wait for changes if one has had no answer, in time or before its connection
// ended.
func (g *Gateway) noteUnanswered(ctx context.Context, err error) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || errors.Is(err, provider.ErrUnknownOutcome) {
		g.unanswered.note()
	}
}

// errPollCancelled: a call was cancelled, as the configuration is not confirmed, another one has
// got no answer, or the table service was restored. It is made again at once.
var errPollCancelled = errors.New("call for changes cancelled")

// errStaleList: the table service returned a list that is older than one seen before.
var errStaleList = errors.New("list of the table service is older than one seen before")

func (w *watcher[T]) list(ctx context.Context, start time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	changes, position, err := w.feed.List(ctx)
	if err != nil {
		return err
	}
	if position.Version < w.newestVersion {
		return errStaleList
	}
	w.g.observeGeneration(provider.Generation(position.Version))
	if w.restored(position.Version) {
		w.g.withCore(func(c *exchange.Core, now time.Time) { c.TableRestored(now) })
	}
	w.position, w.newestVersion = position.Version, position.Version
	w.apply(true, changes, start)
	return nil
}

// retryDelay returns the minimum delay after a failed call. It doubles with each one at a
// daemon that learns from others what changes: calls that are turned away load the table
// service too.
func (w *watcher[T]) retryDelay() time.Duration {
	others := false
	w.g.withCore(func(c *exchange.Core, now time.Time) { others = c.OthersQueryTable(now) })
	if !others {
		return watchRetryDelay
	}
	return backoff.Delay(watchRetryDelay, maxWatchRetryDelay, w.failures)
}

// noteSuccess tells the core that a call succeeded and, if the one before failed, logs that the feed
// can be read again.
func (w *watcher[T]) noteSuccess(start time.Time) {
	w.g.withCore(func(c *exchange.Core, _ time.Time) { c.FeedRead(w.name, start) })
	if w.failures == 0 {
		return
	}
	w.failures = 0
	w.g.withCore(func(c *exchange.Core, now time.Time) { c.TableRecovered(now, w.failedAt) })
	w.g.event(event.DependencyRegained, "", event.A("dependency", w.name))
}

// noteFailure tells the core that the feed cannot be read and logs it, unless the call before failed
// too. Start is when the call began.
func (w *watcher[T]) noteFailure(ctx context.Context, start time.Time, err error) {
	if ctx.Err() != nil {
		return
	}
	w.failures++
	w.failedAt = start
	if w.failures > 1 {
		return
	}
	w.g.withCore(func(c *exchange.Core, _ time.Time) { c.FeedFailed(w.name) })
	w.g.event(event.DependencyLost, "", event.A("dependency", w.name), event.A("error", err.Error()))
}

// Each result with changes makes every daemon call the table service again. So a daemon
// waits for further changes after a change, for a time that rises with the number of
// peers.
const (
	// batchDelayPerPeer, times the number of peers, is that time.
	batchDelayPerPeer = 4 * time.Millisecond
	// maxBatchDelay is its maximum.
	maxBatchDelay = 400 * time.Millisecond
	// serverBatchDelayPerPeer is the same for the list of backend servers, at daemons that
	// learn from the few that query the table service often which servers drain.
	serverBatchDelayPerPeer = 20 * time.Millisecond
	// maxServerBatchRatio is the maximum of that delay, as a ratio of the time after which
	// a draining server must get no requests.
	maxServerBatchRatio = 0.4
)

func (g *Gateway) batchDelay() time.Duration {
	peers := 0
	g.withCore(func(c *exchange.Core, _ time.Time) { peers = len(c.Peers()) })
	return min(time.Duration(peers)*batchDelayPerPeer, maxBatchDelay)
}

// serverBatchDelay returns the delay after a change of the list of backend servers.
func (g *Gateway) serverBatchDelay() time.Duration {
	peers, queriesOften := 0, false
	g.withCore(func(c *exchange.Core, now time.Time) {
		peers, queriesOften = len(c.Peers()), c.QueriesTableOften(now) || c.ReadsForOthers(now)
	})
	longest := time.Duration(maxServerBatchRatio * float64(g.Settings.DrainLimit))
	if queriesOften || longest <= maxBatchDelay {
		return g.batchDelay()
	}
	return min(time.Duration(peers)*serverBatchDelayPerPeer, longest)
}
