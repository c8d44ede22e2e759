package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in of a worker. It checks Target-Instance, echoes the request's id and signs.
type worker struct {
	rig     *rig
	id      string
	service string
	address string
	slots   int
	delay   time.Duration // of a plain answer
	first   time.Duration // to the first event of a stream
	gap     time.Duration // between two events
	events  int
	length  func(r *http.Request) int // events of one answer; nil: events
	memory  int64                     // tokens; a larger request is rejected as if the worker were full; 0: any
	handler func(w http.ResponseWriter, r *http.Request) (handled bool)

	mu      sync.Mutex
	forgets bool // does not keep which requests it ran
	runs    map[string]int
	broken  chan struct{} // closed when the streams that run are broken off
	heads   map[string]http.Header
}

// addWorker starts a worker and registers it.
func (c *rig) addWorker(id, service string) (*worker, error) {
	w := &worker{rig: c, id: id, service: service, slots: 64, delay: 20 * time.Millisecond, first: 50 * time.Millisecond, gap: 20 * time.Millisecond, events: 10, runs: map[string]int{}, heads: map[string]http.Header{}}
	var err error
	if w.address, err = c.serve(w); err != nil {
		return nil, err
	}
	w.register("ready", 1)
	return w, nil
}

// register writes the worker's entry.
func (w *worker) register(state string, seq int) {
	w.registerBorn(state, seq, w.rig.started.UnixMilli())
}

// registerBorn writes the entry of a process that has started at the given time.
func (w *worker) registerBorn(state string, seq int, born int64) {
	w.rig.store.put("servers", w.id, fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z1","version":"v1","slots":%d,"state":%q,"coldMs":0,"seq":%d,"born":%d}`, w.service, w.address, w.slots, state, seq, born))
}

func (w *worker) runCount(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}

func tokensOf(h http.Header) (sum float64) {
	for _, text := range strings.Split(h.Get("Token-Count"), ",") {
		n, _ := strconv.ParseFloat(text, 64)
		sum += n
	}
	return sum
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		rw.Header().Set("Instance-Id", w.id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Attempt-Id")
	h := rw.Header()
	h.Set("Attempt-Id", id)
	if target := r.Header.Get("Target-Instance"); target != "" && target != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if w.memory > 0 && tokensOf(r.Header) > float64(w.memory) {
		h.Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.mu.Lock()
	if !w.forgets {
		w.runs[id]++
		w.heads[id] = r.Header.Clone()
	}
	w.mu.Unlock()
	h.Set("Server-Signature", w.id+"."+id)
	if w.handler != nil && w.handler(rw, r) {
		return
	}
	if w.service == "llm" {
		w.stream(rw, r)
		return
	}
	select {
	case <-time.After(w.delay):
	case <-r.Context().Done():
		return
	}
	_, _ = fmt.Fprintf(rw, "%s %s %d", r.Method, r.RequestURI, len(body))
}

func eventText(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n) }

func (w *worker) stream(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	wait := w.first
	events := w.events
	if w.length != nil {
		events = w.length(r)
	}
	broken := w.breaking()
	for n := after + 1; n <= events; n++ {
		select {
		case <-broken:
			panic(http.ErrAbortHandler)
		case <-time.After(wait):
		case <-r.Context().Done():
			return
		}
		wait = w.gap
		_, _ = io.WriteString(rw, eventText(n))
		_ = http.NewResponseController(rw).Flush()
	}
}

// runTotal returns the number of all runs.
func (w *worker) runTotal() (total int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.runs {
		total += n
	}
	return total
}

// breaking returns a channel that is closed when the worker breaks off what it runs now.
func (w *worker) breaking() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.broken == nil {
		w.broken = make(chan struct{})
	}
	return w.broken
}

// breakOff ends the connections of the streams that run now, within their answers.
func (w *worker) breakOff() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.broken != nil {
		close(w.broken)
		w.broken = nil
	}
}
