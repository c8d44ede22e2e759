package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// worker is a worker of a service. It may start again under its ID at its address.
type worker struct {
	w       *world
	id      string
	service string
	zone    string
	slots   int
	address string
	spot    bool

	// How long its work takes.
	plainWork  time.Duration // a plain request
	promptMs   float64       // a prompt token, in ms
	eventDelay time.Duration // an event of a stream
	// length returns how many tokens the answer to a request has; nil: as many as it may have.
	length func(id string, most int) int

	mu      sync.Mutex
	server  *http.Server
	version string
	born    int64
	seq     int
	state   string
	leaving bool // all answers say so
	runs    map[string][]run
}

// run is one run of a request.
type run struct {
	version string
	began   time.Time
	ended   time.Time // zero: it has not
	whole   bool      // to its end
}

const tokensPerEvent = 5

func (w *world) newWorker(id, service, zone string, slots int) *worker {
	return &worker{w: w, id: id, service: service, zone: zone, slots: slots, version: "v1", state: "ready", runs: map[string][]run{}}
}

// start starts a process of the worker: it listens and writes its entry.
func (s *worker) start(register bool) error {
	address := s.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.address, s.born, s.seq, s.state, s.leaving = l.Addr().String(), time.Now().UnixMilli(), 0, "ready", false
	s.server = &http.Server{Handler: s, IdleTimeout: 5 * time.Second}
	server := s.server
	s.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	s.w.note("worker %s (%s, version %s) serves", s.id, s.service, s.version)
	if register {
		s.register()
	}
	return nil
}

// register writes the worker's entry.
func (s *worker) register() {
	s.mu.Lock()
	s.seq++
	entry := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":%q,"slots":%d,"state":%q,"coldMs":0,"seq":%d,"born":%d,"spot":%v}`,
		s.service, s.address, s.zone, s.version, s.slots, s.state, s.seq, s.born, s.spot)
	s.mu.Unlock()
	s.w.store.set("servers", s.id, entry)
}

// setState reports a state.
func (s *worker) setState(state string) {
	s.mu.Lock()
	s.state = state
	s.mu.Unlock()
	s.register()
	s.w.note("the store has accepted that worker %s is %s", s.id, state)
}

// exit ends the process: its connections are closed.
func (s *worker) exit() {
	s.mu.Lock()
	server := s.server
	s.mu.Unlock()
	s.w.note("worker %s ends", s.id)
	_ = server.Close()
}

func (s *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	s.mu.Lock()
	version, leaving := s.version, s.leaving
	s.mu.Unlock()
	h := w.Header()
	h.Set("Attempt-Id", id)
	h.Set("Keep-Alive", "timeout=5")
	if leaving {
		h.Set("Server-Leaving", "1")
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch {
	case r.URL.Path == "/healthz":
		h.Set("Instance-Id", s.id)
		return
	case id == "":
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case r.Header.Get("Target-Instance") != "" && r.Header.Get("Target-Instance") != s.id:
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_ = body
	index := s.beginRun(id, version)
	whole := false
	defer func() { s.endRun(id, index, whole) }()
	h.Set("Server-Signature", "sig-"+s.id+"-"+version+"-"+id)
	if !strings.HasPrefix(r.URL.Path, "/talk/") {
		whole = s.answerPlain(w, r, id)
		return
	}
	whole = s.answerStream(w, r, id, version)
}

func (s *worker) answerPlain(w http.ResponseWriter, r *http.Request, id string) bool {
	if !sleep(r.Context(), s.plainWork) {
		return false
	}
	body := "answer to " + id + "\n"
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, err := io.WriteString(w, body)
	return err == nil
}

// answerStream writes the events of a stream after the caller's last one.
func (s *worker) answerStream(w http.ResponseWriter, r *http.Request, id, version string) bool {
	prompt, output := tokenCount(r.Header.Get("Token-Count"))
	if !sleep(r.Context(), time.Duration(s.promptMs*float64(prompt)*float64(time.Millisecond))) {
		return false
	}
	if s.length != nil {
		output = s.length(id, output)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	flusher := http.NewResponseController(w)
	for n := after + 1; n <= output/tokensPerEvent; n++ {
		_, err := fmt.Fprintf(w, "id: %d\ndata: %s piece %d of %s\n\n", n, version, n, id)
		if err := errors.Join(err, flusher.Flush()); err != nil {
			return false
		}
		if !sleep(r.Context(), s.eventDelay) {
			return false
		}
	}
	return true
}

func (s *worker) beginRun(id, version string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id] = append(s.runs[id], run{version: version, began: time.Now()})
	return len(s.runs[id]) - 1
}

func (s *worker) endRun(id string, index int, whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id][index].ended, s.runs[id][index].whole = time.Now(), whole
}

// running returns the number of runs that have not ended.
func (s *worker) running() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, list := range s.runs {
		for _, r := range list {
			if r.ended.IsZero() {
				n++
			}
		}
	}
	return n
}

// runsOf returns the runs of a request.
func (s *worker) runsOf(id string) []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.runs[id]...)
}

func tokenCount(text string) (prompt, output int) {
	a, b, _ := strings.Cut(text, ",")
	prompt, _ = strconv.Atoi(a)
	output, _ = strconv.Atoi(b)
	return prompt, output
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

var requests atomic.Int64

// newID returns the ID of a new client attempt.
func newID() string { return fmt.Sprintf("a%06d", requests.Add(1)) }
