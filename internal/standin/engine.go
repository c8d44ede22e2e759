package standin

import (
	"cmp"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

const (
	// StreamLifetime is how long an engine keeps a stream that nobody reads.
	StreamRetention = 15 * time.Second

	defaultLoadLag       = 500 * time.Millisecond
	defaultCacheEventLag = 500 * time.Millisecond
	defaultCacheBlocks   = 4096
	cacheEventDropPeriod = 10 // one cache event in so many is lost
)

// EngineConfig describes one model engine.
type EngineConfig struct {
	ID              string
	Slots           int // requests at once
	FirstToken      time.Duration
	BetweenTokens   time.Duration
	PrefillPerToken time.Duration
	ChecksFences    bool   // refuse orders with an old fencing number
	Variant         string // engines with different variants answer differently
	CacheBlocks     int    // blocks of prompt that the prefix cache holds
	LoadLag         time.Duration
	CacheEventLag   time.Duration
	OnCrash         func() // called when a prompt has killed the engine
}

// EngineFaults says how an engine misbehaves.
type EngineFaults struct {
	Silent          bool    `json:"silent"`           // start requests and send nothing
	SlowFactor      float64 `json:"slow_factor"`      // multiplies all times; 0 is 1
	Refuse          bool    `json:"refuse"`           // refuse requests as not run
	Fail            bool    `json:"fail"`             // run, then answer 500
	TruncateAfter   int     `json:"truncate_after"`   // cut streams after so many tokens
	DuplicateEvents bool    `json:"duplicate_events"` // send each event twice
	CrossedReply    bool    `json:"crossed_reply"`    // reply in another request's name
	Draining        bool    `json:"draining"`         // the engine itself is leaving
}

// Run is an engine's or a plain server's record of one execution.
type Run struct {
	Request      string    `json:"request"`
	Attempt      uint32    `json:"attempt"`
	Key          string    `json:"key,omitempty"` // of a plain call
	PromptDigest string    `json:"prompt_digest"`
	Tokens       int       `json:"tokens"`     // produced by this run
	Recomputed   int       `json:"recomputed"` // of an earlier attempt, computed again
	At           time.Time `json:"at"`
	Started      bool      `json:"started"`
	Finished     bool      `json:"finished"`
}

// Order is an order that an engine has received.
type Command struct {
	Fence    uint64 `json:"fence"`
	ID       string `json:"id"`
	Kind     string `json:"kind"`
	Model    string `json:"model"`
	Accepted bool   `json:"accepted"`
}

type streamKey struct {
	request string
	attempt uint32
}

// Engine plays a model engine: the contract of docs/design/engine-contract.md.
type Engine struct {
	cfg    EngineConfig
	router *mux.Router
	cache  *prefixCache

	mu           sync.Mutex
	faults       EngineFaults
	dead         bool
	crashed      chan struct{} // closed when the engine dies
	streams      map[streamKey]*stream
	running      int
	loadSamples  []loadSample
	runs         []*Run
	commands     []Command
	highestFence uint64
}

// NewEngine returns an idle engine.
func NewEngine(cfg EngineConfig) *Engine {
	cfg.Slots = cmp.Or(cfg.Slots, 8)
	cfg.LoadLag = cmp.Or(cfg.LoadLag, defaultLoadLag)
	cfg.CacheEventLag = cmp.Or(cfg.CacheEventLag, defaultCacheEventLag)
	cfg.CacheBlocks = cmp.Or(cfg.CacheBlocks, defaultCacheBlocks)
	e := &Engine{cfg: cfg, cache: newPrefixCache(cfg.CacheBlocks, cfg.CacheEventLag)}
	e.reset()
	e.registerRoutes()
	return e
}

// reset gives the engine the state of a new process.
func (e *Engine) reset() {
	e.dead = false
	e.crashed = make(chan struct{})
	e.streams = make(map[streamKey]*stream)
	e.running = 0
	e.loadSamples = nil
	e.highestFence = 0
	e.cache.clear()
}

func (e *Engine) registerRoutes() {
	r := mux.NewRouter()
	r.HandleFunc("/v1/completions", e.serveCompletion).Methods(http.MethodPost)
	r.HandleFunc("/v1/streams/{request}/{attempt:[0-9]+}", e.serveResume).Methods(http.MethodGet)
	r.HandleFunc("/v1/streams/{request}/{attempt:[0-9]+}", e.serveCancel).Methods(http.MethodDelete)
	r.HandleFunc("/v1/kv/export", e.serveKVExport).Methods(http.MethodPost)
	r.HandleFunc("/v1/load", e.serveLoad).Methods(http.MethodGet)
	r.HandleFunc("/v1/cache/events", e.serveCacheEvents).Methods(http.MethodGet)
	r.HandleFunc("/v1/orders", e.serveCommand).Methods(http.MethodPost)
	r.HandleFunc("/_faults", e.serveFaults).Methods(http.MethodPost)
	r.HandleFunc("/_runs", e.serveRuns).Methods(http.MethodGet)
	r.HandleFunc("/_orders", e.serveCommands).Methods(http.MethodGet)
	e.router = r
}

// ServeHTTP serves the engine's contract, POST /_faults, GET /_runs and
// GET /_orders. A dead engine tears each connection.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.isDead() {
		abortConnection()
	}
	e.router.ServeHTTP(w, r)
}

// Runs returns the record of executions, oldest first. It survives a crash.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make([]Run, len(e.runs))
	for i, r := range e.runs {
		runs[i] = *r
	}
	return runs
}

// Orders returns the orders received, oldest first.
func (e *Engine) Commands() []Command {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Command{}, e.commands...)
}

// SetFaults replaces the engine's faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Faults returns the engine's faults.
func (e *Engine) Faults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// Crash kills the engine: all its streams and connections break.
func (e *Engine) Crash() {
	e.mu.Lock()
	if e.dead {
		e.mu.Unlock()
		return
	}
	e.dead = true
	close(e.crashed)
	e.mu.Unlock()
	if e.cfg.OnCrash != nil {
		e.cfg.OnCrash()
	}
}

// Restart brings a dead engine back with nothing but its record.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		e.reset()
	}
}

func (e *Engine) isDead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dead
}

// scaled returns a time under the present slow factor.
func (e *Engine) applySlowFactor(d time.Duration) time.Duration {
	return scaleDuration(d, e.Faults().SlowFactor)
}
