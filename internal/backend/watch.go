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
	// loadReportInterval is the pause between two reads of an engine's load report.
	loadReportInterval = 2 * time.Second
	// cacheEventsRetryDelay is the delay before an interrupted stream of cache
	// events is opened again. Events missed meanwhile show as a gap in the
	// sequence numbers.
	cacheEventsRetryDelay = 2 * time.Second
	// prefixHexDigits is the number of leading hex digits of a prefix's SHA-256
	// that are used as its identifier.
	prefixHexDigits = 16
)

// Watcher reads the load reports and cache events of the model engines that this
// daemon coordinates. Both arrive late and may have gaps, so they may only be used
// to improve the choice of an engine.
type Watcher struct {
	report func(core.Input)
	http   *http.Client

	mu      sync.Mutex
	watched map[entity.BackendServerID]watchedEngine
	wg      sync.WaitGroup
}

// watchedEngine is a model engine whose load reports and cache events are read.
type watchedEngine struct {
	address string
	cancel  context.CancelFunc
}

// NewWatcher returns a watcher without engines. It passes what it reads to report.
func NewWatcher(report func(core.Input)) *Watcher {
	return &Watcher{
		report:  report,
		http:    &http.Client{Transport: newTransport(false), CheckRedirect: noRedirect},
		watched: make(map[entity.BackendServerID]watchedEngine),
	}
}

// SetEngines replaces the set of watched engines.
func (w *Watcher) SetEngines(engines []entity.BackendServer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	newAddresses := make(map[entity.BackendServerID]string, len(engines))
	for _, e := range engines {
		newAddresses[e.ID] = e.Address
	}
	for id, current := range w.watched {
		if newAddresses[id] != current.address {
			current.cancel()
			delete(w.watched, id)
		}
	}
	for id, address := range newAddresses {
		if _, known := w.watched[id]; !known {
			w.watchEngine(id, address)
		}
	}
}

// watchEngine starts watching one engine. The caller must hold w.mu.
func (w *Watcher) watchEngine(id entity.BackendServerID, address string) {
	ctx, cancel := context.WithCancel(context.Background())
	w.watched[id] = watchedEngine{address: address, cancel: cancel}
	w.wg.Go(func() { repeat(ctx, loadReportInterval, func() { w.readLoad(ctx, id, address) }) })
	w.wg.Go(func() { repeat(ctx, cacheEventsRetryDelay, func() { w.readCacheEvents(ctx, id, address) }) })
}

// repeat calls f until the context ends, waiting for interval after each call.
func repeat(ctx context.Context, interval time.Duration, f func()) {
	for ctx.Err() == nil {
		f()
		select {
		case <-time.After(interval):
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

// readLoad reads and reports one load report. On a failure it reports nothing.
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

// get sends one GET request.
func (w *Watcher) get(ctx context.Context, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return w.http.Do(req)
}

// cacheEvent is the data of one event in the stream of GET /v1/cache/events.
type cacheEvent struct {
	Seq    uint64 `json:"seq"`
	Kind   string `json:"kind"`
	Prefix string `json:"prefix"` // hex SHA-256 of the prefix
}

// readCacheEvents reads and reports cache events until the stream ends.
func (w *Watcher) readCacheEvents(ctx context.Context, id entity.BackendServerID, address string) {
	resp, err := w.get(ctx, "http://"+address+"/v1/cache/events")
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return
	}
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(make([]byte, 0, 1<<10), maxEventBytes)
	for scanner.Scan() {
		data, ok := bytes.CutPrefix(scanner.Bytes(), eventDataPrefix)
		if !ok {
			continue
		}
		if e, ok := parseCacheEvent(bytes.TrimSpace(data)); ok {
			w.report(core.EngineCache{Backend: id, Event: e})
		}
	}
}

// parseCacheEvent decodes a cache event. It returns false if the event is malformed
// or of an unknown kind.
func parseCacheEvent(data []byte) (grant.CacheEvent, bool) {
	var parsed cacheEvent
	if json.Unmarshal(data, &parsed) != nil || len(parsed.Prefix) < prefixHexDigits {
		return grant.CacheEvent{}, false
	}
	prefix, err := strconv.ParseUint(parsed.Prefix[:prefixHexDigits], 16, 64)
	if err != nil {
		return grant.CacheEvent{}, false
	}
	switch parsed.Kind {
	case "stored":
		return grant.CacheEvent{Seq: parsed.Seq, Kind: grant.PrefixStored, Prefix: prefix}, true
	case "removed":
		return grant.CacheEvent{Seq: parsed.Seq, Kind: grant.PrefixRemoved, Prefix: prefix}, true
	default:
		return grant.CacheEvent{}, false
	}
}

// Close stops watching all engines and waits until the readers have ended.
func (w *Watcher) Close() {
	w.SetEngines(nil)
	w.wg.Wait()
}
