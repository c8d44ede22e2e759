// Package experiment plays loads against a model of model engines in virtual
// time, with the decisions of the real daemons (package exchange) and with
// baselines, and reports latency, credit and what was turned away. It answers
// what a change of a decision does before it runs anywhere.
package experiment

import (
	"sort"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// EngineModel holds the speeds of a model engine.
type EngineModel struct {
	Slots          int     `toml:"slots"`            // requests in one batch
	MemoryTokens   int     `toml:"memory_tokens"`    // shared by running requests and cached prompts
	StepMs         float64 `toml:"step_ms"`          // a step without requests
	StepPerSlotMs  float64 `toml:"step_per_slot_ms"` // added by each running request
	PromptPerMs    float64 `toml:"prompt_per_ms"`    // prompt tokens read in a millisecond
	ChunkTokens    int     `toml:"chunk_tokens"`     // prompt tokens read between two steps
	FirstMs        float64 `toml:"first_ms"`         // added to each first event
	TokensPerEvent int     `toml:"tokens_per_event"`
}

// job is a request at an engine.
type job struct {
	request  *request
	daemon   int
	unread   int // prompt tokens
	left     int // output tokens
	priority int
	memory   int
	sent     time.Duration
	started  bool // the first event has been made
	lastAt   time.Duration
	pause    time.Duration // longest between two events
	inEvent  int
	arrival  int // order of arrival
}

// engine is one model engine. It runs in steps: a chunk of prompts is read, then
// every running request gets a token.
type engine struct {
	id       entity.BackendServerID
	model    *EngineModel
	waiting  []*job
	running  []*job
	used     int            // memory of running requests, in tokens
	cache    map[uint64]int // cached parts by key: tokens
	touched  map[uint64]int // when a part was used last, in steps
	cached   int            // tokens of all cached parts
	step     int
	arrivals int
	free     time.Duration // the present step ends
	gone     bool
}

func newEngine(id entity.BackendServerID, m *EngineModel) *engine {
	return &engine{id: id, model: m, cache: map[uint64]int{}, touched: map[uint64]int{}}
}

// add queues a request.
func (e *engine) add(now time.Duration, j *job) {
	e.arrivals++
	j.arrival = e.arrivals
	e.waiting = append(e.waiting, j)
	if e.idle() {
		e.free = now
	}
}

func (e *engine) idle() bool { return len(e.running) == 0 && len(e.waiting) <= 1 }

// admit moves waiting requests into the batch while there is room, the most
// urgent first.
func (e *engine) admit() {
	sort.SliceStable(e.waiting, func(i, j int) bool {
		a, b := e.waiting[i], e.waiting[j]
		if a.priority != b.priority {
			return a.priority < b.priority
		}
		return a.arrival < b.arrival
	})
	for len(e.waiting) > 0 && len(e.running) < e.model.Slots {
		j := e.waiting[0]
		if e.used+j.memory > e.model.MemoryTokens && len(e.running) > 0 {
			return
		}
		e.waiting = e.waiting[1:]
		j.unread = e.uncached(j.request)
		e.used += j.memory
		e.running = append(e.running, j)
		e.makeRoom()
	}
}

// uncached returns the prompt tokens that must be read, and marks the cached
// ones as used.
func (e *engine) uncached(r *request) int {
	left := r.prompt
	for _, k := range r.keys {
		tokens, ok := e.cache[k.key]
		if !ok {
			break
		}
		e.touched[k.key] = e.step
		left -= tokens
	}
	return max(left, 1)
}

// remember caches the shared parts of a prompt that has been read.
func (e *engine) remember(r *request) {
	for _, k := range r.keys {
		if _, ok := e.cache[k.key]; !ok {
			e.cache[k.key] = k.tokens
			e.cached += k.tokens
		}
		e.touched[k.key] = e.step
	}
	e.makeRoom()
}

// makeRoom drops the parts that were used longest ago.
func (e *engine) makeRoom() {
	for e.used+e.cached > e.model.MemoryTokens && len(e.cache) > 0 {
		var oldest uint64
		at := -1
		for key, step := range e.touched {
			if at < 0 || step < at || step == at && key < oldest {
				oldest, at = key, step
			}
		}
		e.cached -= e.cache[oldest]
		delete(e.cache, oldest)
		delete(e.touched, oldest)
	}
}

// progress is what one step brought.
type progress struct {
	first []*job // made their first event
	done  []*job
}

// run runs one step that begins now and returns what it brings at its end.
func (e *engine) run(now time.Duration) progress {
	e.admit()
	e.step++
	read := e.read()
	ms := e.model.StepMs + e.model.StepPerSlotMs*float64(len(e.running)) + float64(read)/e.model.PromptPerMs
	e.free = now + time.Duration(ms*float64(time.Millisecond))
	var p progress
	kept := e.running[:0]
	for _, j := range e.running {
		if j.unread > 0 {
			kept = append(kept, j)
			continue
		}
		e.generate(j, &p)
		if j.left > 0 {
			kept = append(kept, j)
			continue
		}
		e.used -= j.memory
		p.done = append(p.done, j)
	}
	e.running = kept
	return p
}

// read reads one chunk of the prompts of the batch, the most urgent first.
func (e *engine) read() int {
	budget := e.model.ChunkTokens
	for _, j := range e.running {
		n := min(j.unread, budget)
		if n == 0 {
			continue
		}
		j.unread -= n
		budget -= n
		if j.unread == 0 {
			e.remember(j.request)
		}
	}
	return e.model.ChunkTokens - budget
}

// generate gives a request one token and notes its events.
func (e *engine) generate(j *job, p *progress) {
	j.left--
	j.inEvent++
	if j.started && j.inEvent < e.model.TokensPerEvent && j.left > 0 {
		return
	}
	if j.started {
		j.pause = max(j.pause, e.free-j.lastAt)
	} else {
		j.started = true
		p.first = append(p.first, j)
	}
	j.lastAt, j.inEvent = e.free, 0
}
