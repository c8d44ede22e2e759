// Package experiment simulates model engines under load in virtual time. Requests
// are placed by the real decision code of the daemons (package exchange) or by
// baseline policies. It reports latencies, rejected requests and credit: the
// ratio of the requests' total value that their answers earned, which depends on
// whether they were on time. It shows the effect of a change in the decision code
// before deployment.
package experiment

import (
	"sort"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
)

// EngineModel holds the sizes and speeds of a simulated model engine.
type EngineModel struct {
	Slots             int     `toml:"slots"`            // most requests in one batch
	MemoryTokens      int     `toml:"memory_tokens"`    // memory for running requests and cached prompt parts
	BaseStepMs        float64 `toml:"step_ms"`          // duration of a step without requests
	StepPerSlotMs     float64 `toml:"step_per_slot_ms"` // added to a step by each running request
	PromptTokensPerMs float64 `toml:"prompt_per_ms"`    // prompt tokens read per millisecond
	ChunkTokens       int     `toml:"chunk_tokens"`     // most prompt tokens read in one step
	FirstEventDelayMs float64 `toml:"first_ms"`         // added to the latency of each first event
	TokensPerEvent    int     `toml:"tokens_per_event"` // output tokens per event after the first
}

// job is a request that waits or runs at an engine. Times are virtual, since the
// start of the run.
type job struct {
	request          *request
	daemon           int // index of the daemon that placed it
	unreadTokens     int // prompt tokens still to be read
	remainingTokens  int // output tokens still to be generated
	priority         int // 0 is the most urgent
	memoryTokens     int // prompt and output tokens
	sentAt           time.Duration
	started          bool // the first event has been sent
	lastEventAt      time.Duration
	longestPause     time.Duration // longest time between two events
	tokensSinceEvent int
	arrivalNumber    int // position among the arrivals at this engine
}

// engine is one simulated model engine. It runs in steps: in each, a chunk of
// prompts is read, then every running request whose prompt has been read gets a
// token.
type engine struct {
	id           entity.BackendServerID
	model        *EngineModel
	waiting      []*job
	running      []*job
	usedTokens   int                // memory of the running requests
	cachedParts  map[uint64]int     // tokens of each cached prompt part, by its key
	lastUsedStep map[uint64]int     // stepCount when a cached part was last used, by its key
	cachedTokens int                // tokens of all cached parts
	stepCount    int                // steps started so far
	arrivalCount int                // requests queued so far
	stepEnd      time.Duration      // virtual time at which the current step ends
	timeFactor   float64            // multiplies the time of its steps
	slowFactor   float64            // multiplies it further, in a slow period
	reclaimed    bool               // a reclaim pattern is in effect, or it has not started: it gets no new requests
	limit        exchange.RateLimit // stated with each first event
	brittle      brittleness
	leaving      bool          // says that it leaves
	rest         time.Duration // that it wants when it turns requests away, as it does all then; 0: it takes them
}

func newEngine(id entity.BackendServerID, m *EngineModel) *engine {
	return &engine{id: id, model: m, timeFactor: 1, slowFactor: 1, cachedParts: map[uint64]int{}, lastUsedStep: map[uint64]int{}}
}

// enqueue adds a request to the waiting ones.
func (e *engine) enqueue(now time.Duration, j *job) {
	e.arrivalCount++
	j.arrivalNumber = e.arrivalCount
	e.waiting = append(e.waiting, j)
	if e.idleBeforeArrival() {
		e.stepEnd = now
	}
}

// idleBeforeArrival reports whether the engine had no work before the request
// that was just queued.
func (e *engine) idleBeforeArrival() bool { return len(e.running) == 0 && len(e.waiting) <= 1 }

// fillBatch moves waiting requests into the batch while slots and memory are
// free, the most urgent first. An empty batch accepts a request of any size.
func (e *engine) fillBatch() {
	sort.SliceStable(e.waiting, func(i, j int) bool {
		a, b := e.waiting[i], e.waiting[j]
		if a.priority != b.priority {
			return a.priority < b.priority
		}
		return a.arrivalNumber < b.arrivalNumber
	})
	for len(e.waiting) > 0 && len(e.running) < e.model.Slots {
		j := e.waiting[0]
		if e.usedTokens+j.memoryTokens > e.model.MemoryTokens && len(e.running) > 0 {
			return
		}
		e.waiting = e.waiting[1:]
		j.unreadTokens = e.uncachedTokens(j.request)
		e.usedTokens += j.memoryTokens
		e.running = append(e.running, j)
		e.evictCachedParts()
	}
}

// uncachedTokens returns the number of prompt tokens that must be read, and marks
// the cached parts as used.
func (e *engine) uncachedTokens(r *request) int {
	uncached := r.promptTokens
	for _, k := range r.sharedParts {
		tokens, ok := e.cachedParts[k.key]
		if !ok {
			break
		}
		e.lastUsedStep[k.key] = e.stepCount
		uncached -= tokens
	}
	return max(uncached, 1)
}

// cacheSharedParts caches the shared parts of a prompt that has been read.
func (e *engine) cacheSharedParts(r *request) {
	for _, k := range r.sharedParts {
		if _, ok := e.cachedParts[k.key]; !ok {
			e.cachedParts[k.key] = k.tokens
			e.cachedTokens += k.tokens
		}
		e.lastUsedStep[k.key] = e.stepCount
	}
	e.evictCachedParts()
}

// evictCachedParts drops the least recently used parts until the memory suffices.
func (e *engine) evictCachedParts() {
	for e.usedTokens+e.cachedTokens > e.model.MemoryTokens && len(e.cachedParts) > 0 {
		var oldest uint64
		oldestStep := -1
		for key, step := range e.lastUsedStep {
			if oldestStep < 0 || step < oldestStep || step == oldestStep && key < oldest {
				oldest, oldestStep = key, step
			}
		}
		e.cachedTokens -= e.cachedParts[oldest]
		delete(e.cachedParts, oldest)
		delete(e.lastUsedStep, oldest)
	}
}

// stepResult holds the jobs that reached a milestone in one step.
type stepResult struct {
	firstEvents []*job // sent their first event
	finished    []*job // generated their last token
}

// runStep runs one step that starts now. The result takes effect at stepEnd.
func (e *engine) runStep(now time.Duration) stepResult {
	e.fillBatch()
	e.stepCount++
	readTokens := e.readPrompts()
	ms := e.model.BaseStepMs + e.model.StepPerSlotMs*float64(len(e.running)) + float64(readTokens)/e.model.PromptTokensPerMs
	e.stepEnd = now + time.Duration(ms*e.timeFactor*e.slowFactor*float64(time.Millisecond))
	var result stepResult
	unfinished := e.running[:0]
	for _, j := range e.running {
		if j.unreadTokens > 0 {
			unfinished = append(unfinished, j)
			continue
		}
		e.generateToken(j, &result)
		if j.remainingTokens > 0 {
			unfinished = append(unfinished, j)
			continue
		}
		e.usedTokens -= j.memoryTokens
		result.finished = append(result.finished, j)
	}
	e.running = unfinished
	return result
}

// readPrompts reads one chunk of the prompts in the batch, in the order in which
// the requests joined it, and returns the number of tokens read.
func (e *engine) readPrompts() int {
	budget := e.model.ChunkTokens
	for _, j := range e.running {
		n := min(j.unreadTokens, budget)
		if n == 0 {
			continue
		}
		j.unreadTokens -= n
		budget -= n
		if j.unreadTokens == 0 {
			e.cacheSharedParts(j.request)
		}
	}
	return e.model.ChunkTokens - budget
}

// generateToken generates one output token of a request and records its first
// event and the time between events.
func (e *engine) generateToken(j *job, result *stepResult) {
	j.remainingTokens--
	j.tokensSinceEvent++
	if j.started && j.tokensSinceEvent < e.model.TokensPerEvent && j.remainingTokens > 0 {
		return
	}
	if j.started {
		j.longestPause = max(j.longestPause, e.stepEnd-j.lastEventAt)
	} else {
		j.started = true
		result.firstEvents = append(result.firstEvents, j)
	}
	j.lastEventAt, j.tokensSinceEvent = e.stepEnd, 0
}
