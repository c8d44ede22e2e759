package backend

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/core"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/grant"
)

const (
	// loadInterval is the time between two load reports of an engine.
	loadInterval = 2 * time.Second
	// eventsPause is the wait before a broken stream of cache events is opened
	// again. What was missed shows as a gap in the sequence.
	eventsPause = 2 * time.Second
	// prefixDigits is how many hex digits of a prefix's SHA-256 identify it here.
	prefixDigits = 16
)

// Watcher reads the load reports and cache events of the model engines that
// this daemon coordinates. Both lag and have gaps; they only improve choices.
type Watcher struct {
	report func(core.Input)
	http   *http.Client

	mu      sync.Mutex
	watched map[entity.BackendServerID]watch
	wg      sync.WaitGroup
}

// watch is one engine under watch.
type watch struct {
	address string
	cancel  context.CancelFunc
}

// NewWatcher returns a watcher without engines.
func NewWatcher(report func(core.Input)) *Watcher {
	return &Watcher{
		report:  report,
		http:    &http.Client{Transport: newTransport(false), CheckRedirect: noRedirect},
		watched: make(map[entity.BackendServerID]watch),
	}
}

// Set replaces the engines that are watched.
func (w *Watcher) Set(engines []entity.BackendServer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	wanted := make(map[entity.BackendServerID]string, len(engines))
	for _, e := range engines {
		wanted[e.ID] = e.Address
	}
	for id, old := range w.watched {
		if wanted[id] != old.address {
			old.cancel()
			delete(w.watched, id)
		}
	}
	for id, address := range wanted {
		if _, known := w.watched[id]; !known {
			w.start(id, address)
		}
	}
}

// start watches one engine. The caller holds the lock.
func (w *Watcher) start(id entity.BackendServerID, address string) {
	ctx, cancel := context.WithCancel(context.Background())
	w.watched[id] = watch{address: address, cancel: cancel}
	w.wg.Go(func() { repeat(ctx, loadInterval, func() { w.readLoad(ctx, id, address) }) })
	w.wg.Go(func() { repeat(ctx, eventsPause, func() { w.readEvents(ctx, id, address) }) })
}

// repeat calls f, with pauses, until the context ends.
func repeat(ctx context.Context, pause time.Duration, f func()) {
	for ctx.Err() == nil {
		f()
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// loadReport is the reply of GET /v1/load.
type loadReport struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	Slots   int `json:"slots"`
}

// readLoad reads one load report. A failure is no news.
func (w *Watcher) readLoad(ctx context.Context, id entity.BackendServerID, address string) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	resp, err := w.get(ctx, "http://"+address+"/v1/load")
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	var r loadReport
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&r) != nil {
		return
	}
	w.report(core.EngineLoad{Backend: id, Load: grant.Load{Running: r.Running, Queued: r.Queued, Slots: r.Slots}})
}

// get makes one GET call.
func (w *Watcher) get(ctx context.Context, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return w.http.Do(req)
}

// cacheEvent is one event of GET /v1/cache/events.
type cacheEvent struct {
	Seq    uint64 `json:"seq"`
	Kind   string `json:"kind"`
	Prefix string `json:"prefix"` // hex SHA-256 of the prefix
}

// readEvents reads cache events until the stream breaks.
func (w *Watcher) readEvents(ctx context.Context, id entity.BackendServerID, address string) {
	resp, err := w.get(ctx, "http://"+address+"/v1/cache/events")
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return
	}
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(make([]byte, 0, 1<<10), maxEvent)
	for scanner.Scan() {
		data, ok := bytes.CutPrefix(scanner.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		if e, ok := parseCacheEvent(bytes.TrimSpace(data)); ok {
			w.report(core.EngineCache{Backend: id, Event: e})
		}
	}
}

// parseCacheEvent decodes an event; false for one that is not understood.
func parseCacheEvent(data []byte) (grant.CacheEvent, bool) {
	var e cacheEvent
	if json.Unmarshal(data, &e) != nil || len(e.Prefix) < prefixDigits {
		return grant.CacheEvent{}, false
	}
	prefix, err := strconv.ParseUint(e.Prefix[:prefixDigits], 16, 64)
	if err != nil {
		return grant.CacheEvent{}, false
	}
	switch e.Kind {
	case "stored":
		return grant.CacheEvent{Seq: e.Seq, Kind: grant.PrefixStored, Prefix: prefix}, true
	case "removed":
		return grant.CacheEvent{Seq: e.Seq, Kind: grant.PrefixRemoved, Prefix: prefix}, true
	default:
		return grant.CacheEvent{}, false
	}
}

// Close ends the watch of all engines.
func (w *Watcher) Close() {
	w.Set(nil)
	w.wg.Wait()
}
