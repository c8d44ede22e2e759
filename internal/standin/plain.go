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

// maxPlainBytes is the maximum size of a request body.
const maxPlainBytes = 2 << 20

// PlainServerConfig configures a PlainServer.
type PlainServerConfig struct {
	ID      string
	Slots   int           // concurrent calls; 0: no limit
	Delay   time.Duration // processing time of each call
	Variant string        // included in each response
	OnCrash func()        // called when a call's body makes the server crash; may be nil
}

// PlainServer simulates a plain backend server, one that serves ordinary HTTP calls
// rather than model completions. Its responses describe the request.
type PlainServer struct {
	cfg PlainServerConfig

	mu      sync.Mutex
	faults  EngineFaults
	dead    bool
	running int // calls that hold a slot
	runs    []*Run
}

// PlainResponse is the body of a plain backend server's response: the request that it
// received.
type PlainResponse struct {
	Method  string `json:"method"`
	Path    string `json:"path"`
	Query   string `json:"query,omitempty"`
	Body    string `json:"body"`
	Variant string `json:"variant,omitempty"`
}

// NewPlainServer returns an idle server.
func NewPlainServer(cfg PlainServerConfig) *PlainServer { return &PlainServer{cfg: cfg} }

// Runs returns the recorded runs, oldest first.
func (p *PlainServer) Runs() []Run {
	p.mu.Lock()
	defer p.mu.Unlock()
	runs := make([]Run, len(p.runs))
	for i, r := range p.runs {
		runs[i] = *r
	}
	return runs
}

// RunsByKey returns the number of runs for each value of X-Gooseberryslip-Key.
func (p *PlainServer) RunsByKey() map[string]int {
	counts := make(map[string]int)
	for _, r := range p.Runs() {
		if r.Key != "" {
			counts[r.Key]++
		}
	}
	return counts
}

// SetFaults replaces the server's injected faults. The faults of a token stream,
// truncation and duplicate events, have no effect on a plain backend server.
func (p *PlainServer) SetFaults(f EngineFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Restart starts a crashed server again. Its recorded runs and its faults stay.
func (p *PlainServer) Restart() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dead = false
}

// ServeHTTP serves the control paths POST /_faults and GET /_runs, and calls on any
// other path. A crashed server aborts each connection.
func (p *PlainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.isDead() {
		abortConnection()
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

func (p *PlainServer) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPlainBytes))
	if err != nil {
		writeNotRun(w, http.StatusServiceUnavailable, "body not read")
		return
	}
	run, faults := p.startRun(r, body)
	if run == nil {
		writeNotRun(w, http.StatusServiceUnavailable, "no slot")
		return
	}
	defer p.releaseSlot()
	if strings.Contains(string(body), CrashMarker) {
		p.crash()
		abortConnection()
	}
	if faults.Silent {
		<-r.Context().Done()
		abortConnection()
	}
	waitOrDisconnect(r, scaleDuration(p.cfg.Delay, faults.SlowFactor))
	p.markFinished(run)
	p.writeResponse(w, r, body, faults)
}

func (p *PlainServer) writeResponse(w http.ResponseWriter, r *http.Request, body []byte, faults EngineFaults) {
	if faults.Fail {
		http.Error(w, "server failed", http.StatusInternalServerError)
		return
	}
	id := r.Header.Get("X-Request-Id")
	if faults.WrongRequestID {
		id = "another-" + id
	}
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Attempt", r.Header.Get("X-Attempt"))
	writeJSON(w, http.StatusOK, PlainResponse{
		Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Body: string(body), Variant: p.cfg.Variant,
	})
}

// startRun reserves a slot and records a run, or returns nil when the server rejects
// the call. It also returns the faults to inject.
func (p *PlainServer) startRun(r *http.Request, body []byte) (*Run, EngineFaults) {
	attempt, _ := strconv.ParseUint(r.Header.Get("X-Attempt"), 10, 32)
	p.mu.Lock()
	defer p.mu.Unlock()
	full := p.cfg.Slots > 0 && p.running >= p.cfg.Slots
	if full || p.faults.Refuse || p.faults.Draining {
		return nil, p.faults
	}
	run := &Run{
		RequestID: r.Header.Get("X-Request-Id"), Attempt: uint32(attempt),
		Key: r.Header.Get("X-Gooseberryslip-Key"), PromptDigest: PromptDigest(string(body)),
		StartedAt: time.Now(), Started: true,
	}
	p.runs = append(p.runs, run)
	p.running++
	return run, p.faults
}

func (p *PlainServer) releaseSlot() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
}

func (p *PlainServer) markFinished(run *Run) {
	p.mu.Lock()
	defer p.mu.Unlock()
	run.Finished = true
}

func (p *PlainServer) crash() {
	p.mu.Lock()
	p.dead = true
	p.mu.Unlock()
	if p.cfg.OnCrash != nil {
		p.cfg.OnCrash()
	}
}

func (p *PlainServer) isDead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dead
}

func (p *PlainServer) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f EngineFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

// scaleDuration multiplies d by factor. A factor of 0 or below counts as 1.
func scaleDuration(d time.Duration, factor float64) time.Duration {
	if factor <= 0 {
		return d
	}
	return time.Duration(float64(d) * factor)
}
