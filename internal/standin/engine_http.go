package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"
)

const (
	maxCompletionBytes = 8 << 20
	cacheEventPoll     = 100 * time.Millisecond
	maxEngineTokens    = 1 << 16
)

type chunk struct {
	ID      string   `json:"id"`
	Attempt uint32   `json:"attempt"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Text         string  `json:"text"`
	TokenIndex   int     `json:"token_index"`
	FinishReason *string `json:"finish_reason"`
}

type engineLoad struct {
	Running int     `json:"running"`
	Queued  int     `json:"queued"`
	Slots   int     `json:"slots"`
	KVUsed  float64 `json:"kv_used"`
}

type loadSample struct {
	at   time.Time
	load engineLoad
}

type exportRequest struct {
	RequestID string `json:"request_id"`
	Attempt   uint32 `json:"attempt"`
}

type exportReply struct {
	KVHandle string `json:"kv_handle"`
	Tokens   int    `json:"tokens"`
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var req completionRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCompletionBytes)).Decode(&req); err != nil {
		notRun(w, http.StatusBadRequest, err.Error())
		return
	}
	if req.MaxTokens < 1 || req.MaxTokens > maxEngineTokens || req.RequestID == "" || len(req.Prefix) > req.MaxTokens {
		notRun(w, http.StatusBadRequest, "malformed request")
		return
	}
	s := e.start(req)
	if s == nil {
		notRun(w, http.StatusServiceUnavailable, "no slot")
		return
	}
	if strings.Contains(req.Prompt, CrashMarker) {
		e.Crash()
		cut()
	}
	if e.Faults().Fail {
		s.cancel()
		http.Error(w, "engine failed", http.StatusInternalServerError)
		return
	}
	e.send(w, r, s, len(req.Prefix))
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	s := e.find(keyOf(r))
	if s == nil {
		http.Error(w, "unknown stream", http.StatusNotFound)
		return
	}
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil || after < 0 {
		http.Error(w, "after is not a number", http.StatusBadRequest)
		return
	}
	e.send(w, r, s, after)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	if s := e.find(keyOf(r)); s != nil {
		s.cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var req exportRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s := e.find(streamKey{req.RequestID, req.Attempt})
	if s == nil {
		http.Error(w, "unknown stream", http.StatusNotFound)
		return
	}
	tokens, _, _ := s.view(0)
	writeJSON(w, http.StatusOK, exportReply{KVHandle: newHandle(s.request, tokens), Tokens: len(tokens)})
}

// serveLoad tells the load as it was LoadLag ago.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	limit := time.Now().Add(-e.cfg.LoadLag)
	load := engineLoad{Slots: e.cfg.Slots}
	for _, s := range e.loads {
		if s.at.After(limit) {
			break
		}
		load = s.load
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, load)
}

// sampleLoad records the present load. The caller holds the lock.
func (e *Engine) sampleLoad() {
	now := time.Now()
	load := engineLoad{Running: e.running, Slots: e.cfg.Slots, KVUsed: e.cache.used()}
	e.loads = append(e.loads, loadSample{at: now, load: load})
	limit := now.Add(-e.cfg.LoadLag)
	for len(e.loads) > 1 && e.loads[1].at.Before(limit) {
		e.loads = e.loads[1:]
	}
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	seq := uint64(0)
	for r.Context().Err() == nil && !e.isDead() {
		for _, ev := range e.cache.after(seq) {
			seq = ev.Seq
			if writeEvent(w, ev) != nil {
				return
			}
		}
		flush(w)
		wait(r, cacheEventPoll)
	}
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.takeOrder(o) {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	writeJSON(w, http.StatusOK, o)
}

func (e *Engine) takeOrder(o Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	o.Accepted = !e.cfg.ChecksFences || o.Fence >= e.fence
	if o.Accepted {
		e.fence = max(e.fence, o.Fence)
	}
	e.orders = append(e.orders, o)
	return o.Accepted
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f EngineFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveRuns(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.Runs())
}

func (e *Engine) serveOrders(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.Orders())
}

// send writes a stream's events after a token until its end.
func (e *Engine) send(w http.ResponseWriter, r *http.Request, s *stream, after int) {
	s.attach()
	defer s.detach()
	out := &sender{w: w, stream: s, faults: e.Faults(), index: after}
	if out.faults.Silent {
		e.hang(r, s)
		return
	}
	out.head()
	for {
		tokens, finished, changed := s.view(out.index)
		if !out.tokens(tokens) {
			cut()
		}
		if finished {
			out.end()
			return
		}
		select {
		case <-changed:
		case <-s.cancelled:
			cut()
		case <-s.crashed:
			cut()
		case <-r.Context().Done():
			return
		}
	}
}

// hang keeps the connection open without a byte.
func (e *Engine) hang(r *http.Request, s *stream) {
	select {
	case <-r.Context().Done():
	case <-s.cancelled:
	case <-s.crashed:
	}
	cut()
}

// sender writes one connection's events.
type sender struct {
	w      http.ResponseWriter
	stream *stream
	faults EngineFaults
	index  int // of the last token sent
	sent   int
}

func (s *sender) id() string {
	if s.faults.CrossedReply {
		return "another-" + s.stream.request.RequestID
	}
	return s.stream.request.RequestID
}

func (s *sender) head() {
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Request-Id", s.id())
	h.Set("X-Attempt", strconv.FormatUint(uint64(s.stream.request.Attempt), 10))
	s.w.WriteHeader(http.StatusOK)
	flush(s.w)
}

// tokens writes token events and says whether the stream goes on.
func (s *sender) tokens(tokens []string) bool {
	for _, t := range tokens {
		if limit := s.faults.TruncateAfter; limit > 0 && s.sent >= limit {
			flush(s.w)
			return false
		}
		s.index++
		s.sent++
		if !s.event(choice{Text: t, TokenIndex: s.index}, nil) {
			return false
		}
	}
	flush(s.w)
	return true
}

func (s *sender) end() {
	reason := "length"
	u := s.stream.usage
	s.event(choice{TokenIndex: s.index, FinishReason: &reason}, &u)
	_, _ = fmt.Fprint(s.w, "data: [DONE]\n\n")
	flush(s.w)
}

func (s *sender) event(c choice, u *usage) bool {
	ev := chunk{ID: s.id(), Attempt: s.stream.request.Attempt, Choices: []choice{c}, Usage: u}
	times := 1
	if s.faults.DuplicateEvents {
		times = 2
	}
	for range times {
		if writeEvent(s.w, ev) != nil {
			return false
		}
	}
	return true
}

func keyOf(r *http.Request) streamKey {
	vars := mux.Vars(r)
	attempt, _ := strconv.ParseUint(vars["attempt"], 10, 32)
	return streamKey{vars["request"], uint32(attempt)}
}

// notRun refuses a request before any work.
func notRun(w http.ResponseWriter, status int, message string) {
	w.Header().Set("X-Not-Run", "true")
	http.Error(w, message, status)
}

func writeEvent(w http.ResponseWriter, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "data: %s\n\n", data)
	return err
}

func flush(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush()
}
