package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const maxPlainBytes = 2 << 20

// PlainConfig describes one plain backend server.
type PlainConfig struct {
	ID      string
	Slots   int           // calls at once; 0: no limit
	Delay   time.Duration // of each call
	Variant string        // goes into each answer
	OnCrash func()        // called when a body has killed the server
}

// Plain plays a plain backend server: it answers with what it was sent.
type Plain struct {
	cfg PlainConfig

	mu      sync.Mutex
	faults  EngineFaults
	dead    bool
	running int
	runs    []*Run
}

// PlainAnswer is the body of a plain server's answer.
type PlainAnswer struct {
	Method  string `json:"method"`
	Path    string `json:"path"`
	Query   string `json:"query,omitempty"`
	Body    string `json:"body"`
	Variant string `json:"variant,omitempty"`
}

// NewPlain returns an idle server.
func NewPlain(cfg PlainConfig) *Plain { return &Plain{cfg: cfg} }

// Runs returns the record of executions, oldest first.
func (p *Plain) Runs() []Run {
	p.mu.Lock()
	defer p.mu.Unlock()
	runs := make([]Run, len(p.runs))
	for i, r := range p.runs {
		runs[i] = *r
	}
	return runs
}

// RunsByKey returns how often each X-Gooseberryslip-Key has been executed.
func (p *Plain) RunsByKey() map[string]int {
	counts := make(map[string]int)
	for _, r := range p.Runs() {
		if r.Key != "" {
			counts[r.Key]++
		}
	}
	return counts
}

// SetFaults replaces the server's faults. Silent, Refuse, Fail, Draining,
// CrossedReply and SlowFactor apply.
func (p *Plain) SetFaults(f EngineFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Restart brings a dead server back.
func (p *Plain) Restart() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dead = false
}

// ServeHTTP answers any call, POST /_faults and GET /_runs.
func (p *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.isDead() {
		cut()
	}
	switch r.URL.Path {
	case "/_faults":
		p.serveFaults(w, r)
	case "/_runs":
		writeJSON(w, http.StatusOK, p.Runs())
	default:
		p.serveCall(w, r)
	}
}

func (p *Plain) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPlainBytes))
	if err != nil {
		notRun(w, http.StatusServiceUnavailable, "body not read")
		return
	}
	run, faults := p.start(r, body)
	if run == nil {
		notRun(w, http.StatusServiceUnavailable, "no slot")
		return
	}
	defer p.release()
	if strings.Contains(string(body), CrashMarker) {
		p.crash()
		cut()
	}
	if faults.Silent {
		<-r.Context().Done()
		cut()
	}
	wait(r, scale(p.cfg.Delay, faults.SlowFactor))
	p.finish(run)
	p.answer(w, r, body, faults)
}

func (p *Plain) answer(w http.ResponseWriter, r *http.Request, body []byte, faults EngineFaults) {
	if faults.Fail {
		http.Error(w, "server failed", http.StatusInternalServerError)
		return
	}
	id := r.Header.Get("X-Request-Id")
	if faults.CrossedReply {
		id = "another-" + id
	}
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Attempt", r.Header.Get("X-Attempt"))
	writeJSON(w, http.StatusOK, PlainAnswer{
		Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Body: string(body), Variant: p.cfg.Variant,
	})
}

// start records an execution, or returns nil when the server refuses the call.
func (p *Plain) start(r *http.Request, body []byte) (*Run, EngineFaults) {
	attempt, _ := strconv.ParseUint(r.Header.Get("X-Attempt"), 10, 32)
	p.mu.Lock()
	defer p.mu.Unlock()
	full := p.cfg.Slots > 0 && p.running >= p.cfg.Slots
	if full || p.faults.Refuse || p.faults.Draining {
		return nil, p.faults
	}
	run := &Run{
		Request: r.Header.Get("X-Request-Id"), Attempt: uint32(attempt),
		Key: r.Header.Get("X-Gooseberryslip-Key"), PromptDigest: PromptDigest(string(body)),
		At: time.Now(), Started: true,
	}
	p.runs = append(p.runs, run)
	p.running++
	return run, p.faults
}

func (p *Plain) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
}

func (p *Plain) finish(run *Run) {
	p.mu.Lock()
	defer p.mu.Unlock()
	run.Finished = true
}

func (p *Plain) crash() {
	p.mu.Lock()
	p.dead = true
	p.mu.Unlock()
	if p.cfg.OnCrash != nil {
		p.cfg.OnCrash()
	}
}

func (p *Plain) isDead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dead
}

func (p *Plain) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f EngineFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func scale(d time.Duration, factor float64) time.Duration {
	if factor <= 0 {
		return d
	}
	return time.Duration(float64(d) * factor)
}
