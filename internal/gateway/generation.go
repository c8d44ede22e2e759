package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/clock"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
)

// generationWatch follows the table service's generation, which rises when the service
// is restored from a backup (see provider.ComposeVersion).
type generationWatch struct {
	mu      sync.Mutex
	known   bool
	newest  uint64
	risen   bool          // a newer generation than the first one was seen
	seenAt  time.Time     // when the newest was first seen
	changed chan struct{} // closed and replaced when a newer one is seen
}

func newGenerationWatch() *generationWatch {
	return &generationWatch{changed: make(chan struct{})}
}

// observe records a generation and reports whether it is newer than all before it, of
// which there was at least one.
func (w *generationWatch) observe(now time.Time, generation uint64) (restored bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.known && generation <= w.newest {
		return false
	}
	restored = w.known
	w.known, w.newest, w.seenAt = true, generation, now
	w.risen = w.risen || restored
	if restored {
		close(w.changed)
		w.changed = make(chan struct{})
	}
	return restored
}

// next returns a channel that is closed when a newer generation is seen.
func (w *generationWatch) next() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// current returns the newest generation and when it was first seen.
func (w *generationWatch) current() (generation uint64, seenAt time.Time, known bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.newest, w.seenAt, w.known
}

// hasRisen reports whether the table service was restored since this process first saw it.
func (w *generationWatch) hasRisen() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.risen
}

// cancelOnRestore cancels a call that waits for changes when the table service turns
// out to have been restored.
func (w *generationWatch) cancelOnRestore(ctx context.Context, cancel context.CancelFunc) {
	select {
	case <-w.next():
		cancel()
	case <-ctx.Done():
	}
}

// observeGeneration records the generation of a list that the table service returned.
func (g *Gateway) observeGeneration(generation uint64) {
	if !g.generations.observe(clock.Now(), generation) {
		return
	}
	g.meter.countRestore()
	g.event(event.TableRestored, "", event.A("generation", generation))
}

// runRestores writes the rows of this daemon again, and those that all daemons share,
// each time that the table service has been restored. The lease's row and the
// checkpoint are left to the lease holder.
func (g *Gateway) runRestores(runCtx context.Context) {
	for {
		select {
		case <-runCtx.Done():
			return
		case <-g.generations.next():
		}
		g.retryUntilDone(runCtx, g.register)
		g.retryUntilDone(runCtx, g.repairClockOrigin)
		g.retryUntilDone(runCtx, g.repairAuthority)
	}
}

// trueTime returns the time since 1970 at a time of this instance's clock, and whether
// it is known.
func (g *Gateway) trueTime(at time.Time) (sinceEpoch time.Duration, known bool) {
	g.withCore(func(c *exchange.Core, _ time.Time) { sinceEpoch, known = c.TrueTime(at) })
	return sinceEpoch, known
}
