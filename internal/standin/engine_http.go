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
	maxCompletionBytes     = 8 << 20 // size of a request body
	cacheEventPollInterval = 100 * time.Millisecond
	maxCompletionTokens    = 1 << 16 // in one answer
)

// completionChunk is the data of one event in a completion stream.
type completionChunk struct {
	ID      string             `json:"id"`
	Attempt uint32             `json:"attempt"`
	Choices []completionChoice `json:"choices"`
	Usage   *usage             `json:"usage,omitempty"`
}

type completionChoice struct {
	Text         string  `json:"text"`
	TokenIndex   int     `json:"token_index"`
	FinishReason *string `json:"finish_reason"`
}

// engineLoad is the body of the response to GET /v1/load.
type engineLoad struct {
	Running int     `json:"running"`
	Queued  int     `json:"queued"`
	Slots   int     `json:"slots"`
	KVUsed  float64 `json:"kv_used"` // fraction of the prefix cache in use, 0 to 1
}

// loadSample is the engine's load from a point in time on.
type loadSample struct {
	at   time.Time
	load engineLoad
}

// kvExportRequest is the body of POST /v1/kv/export.
type kvExportRequest struct {
	RequestID string `json:"request_id"`
	Attempt   uint32 `json:"attempt"`
}

type kvExportResponse struct {
	KVHandle string `json:"kv_handle"`
	Tokens   int    `json:"tokens"` // answer tokens that the export covers
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var req completionRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCompletionBytes)).Decode(&req); err != nil {
		writeNotRun(w, http.StatusBadRequest, err.Error())
		return
	}
	if req.MaxTokens < 1 || req.MaxTokens > maxCompletionTokens || req.RequestID == "" || len(req.Prefix) > req.MaxTokens {
		writeNotRun(w, http.StatusBadRequest, "malformed request")
		return
	}
	s := e.startStream(req)
	if s == nil {
		writeNotRun(w, http.StatusServiceUnavailable, "no slot")
		return
	}
	if strings.Contains(req.Prompt, CrashMarker) {
		e.Crash()
		abortConnection()
	}
	if e.Faults().Fail {
		s.cancel()
		http.Error(w, "engine failed", http.StatusInternalServerError)
		return
	}
	e.sendStream(w, r, s, len(req.Prefix))
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	s := e.findStream(streamKeyOf(r))
	if s == nil {
		http.Error(w, "unknown stream", http.StatusNotFound)
		return
	}
	afterToken, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil || afterToken < 0 {
		http.Error(w, "after is not a number", http.StatusBadRequest)
		return
	}
	e.sendStream(w, r, s, afterToken)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	if s := e.findStream(streamKeyOf(r)); s != nil {
		s.cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveKVExport(w http.ResponseWriter, r *http.Request) {
	var req kvExportRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s := e.findStream(streamKey{req.RequestID, req.Attempt})
	if s == nil {
		http.Error(w, "unknown stream", http.StatusNotFound)
		return
	}
	tokens, _, _ := s.tokensAfter(0)
	writeJSON(w, http.StatusOK, kvExportResponse{KVHandle: newKVHandle(s.request, tokens), Tokens: len(tokens)})
}

// serveLoad reports the load as it was one LoadLag ago.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	cutoff := time.Now().Add(-e.cfg.LoadLag)
	load := engineLoad{Slots: e.cfg.Slots}
	for _, sample := range e.loadSamples {
		if sample.at.After(cutoff) {
			break
		}
		load = sample.load
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, load)
}

// recordLoadSample records the current load and drops samples that serveLoad no
// longer needs. The caller holds e.mu.
func (e *Engine) recordLoadSample() {
	now := time.Now()
	load := engineLoad{Running: e.running, Slots: e.cfg.Slots, KVUsed: e.cache.usedFraction()}
	e.loadSamples = append(e.loadSamples, loadSample{at: now, load: load})
	cutoff := now.Add(-e.cfg.LoadLag)
	for len(e.loadSamples) > 1 && e.loadSamples[1].at.Before(cutoff) {
		e.loadSamples = e.loadSamples[1:]
	}
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	seq := uint64(0)
	for r.Context().Err() == nil && !e.isDead() {
		for _, ev := range e.cache.eventsAfter(seq) {
			seq = ev.Seq
			if writeSSEEvent(w, ev) != nil {
				return
			}
		}
		flush(w)
		waitOrDisconnect(r, cacheEventPollInterval)
	}
}

func (e *Engine) serveCommand(w http.ResponseWriter, r *http.Request) {
	var command Command
	if err := json.NewDecoder(r.Body).Decode(&command); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.acceptCommand(command) {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	writeJSON(w, http.StatusOK, command)
}

// acceptCommand records a command and returns whether it is accepted. An engine that
// checks fencing tokens rejects one below the highest that it has accepted.
func (e *Engine) acceptCommand(command Command) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	command.Accepted = !e.cfg.ChecksFences || command.Fence >= e.highestFence
	if command.Accepted {
		e.highestFence = max(e.highestFence, command.Fence)
	}
	e.commands = append(e.commands, command)
	return command.Accepted
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

func (e *Engine) serveCommands(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.Commands())
}

// sendStream sends the stream's events that follow token afterToken (counted from 1;
// 0: from the start) until the stream ends.
func (e *Engine) sendStream(w http.ResponseWriter, r *http.Request, s *stream, afterToken int) {
	s.addReader()
	defer s.removeReader()
	writer := &streamWriter{w: w, stream: s, faults: e.Faults(), lastIndex: afterToken}
	if writer.faults.Silent {
		e.stallConnection(r, s)
		return
	}
	writer.writeHeader()
	for {
		tokens, finished, changed := s.tokensAfter(writer.lastIndex)
		if !writer.writeTokens(tokens) {
			abortConnection()
		}
		if finished {
			writer.writeEnd()
			return
		}
		select {
		case <-changed:
		case <-s.cancelled:
			abortConnection()
		case <-s.crashed:
			abortConnection()
		case <-r.Context().Done():
			return
		}
	}
}

// stallConnection keeps the connection open without sending anything until the
// client disconnects, the stream is cancelled or the engine crashes.
func (e *Engine) stallConnection(r *http.Request, s *stream) {
	select {
	case <-r.Context().Done():
	case <-s.cancelled:
	case <-s.crashed:
	}
	abortConnection()
}

// streamWriter writes a stream's events to one connection.
type streamWriter struct {
	w          http.ResponseWriter
	stream     *stream
	faults     EngineFaults
	lastIndex  int // index of the last token sent, counted from 1
	sentTokens int // on this connection
}

// requestID returns the request ID to respond with. Under the fault crossed_reply it
// is an ID that belongs to no request.
func (s *streamWriter) requestID() string {
	if s.faults.WrongRequestID {
		return "another-" + s.stream.request.RequestID
	}
	return s.stream.request.RequestID
}

func (s *streamWriter) writeHeader() {
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Request-Id", s.requestID())
	h.Set("X-Attempt", strconv.FormatUint(uint64(s.stream.request.Attempt), 10))
	s.w.WriteHeader(http.StatusOK)
	flush(s.w)
}

// writeTokens writes one event per token. It returns false when the connection must
// be aborted: a write failed or the injected truncation is reached.
func (s *streamWriter) writeTokens(tokens []string) bool {
	for _, t := range tokens {
		if limit := s.faults.TruncateAfterTokens; limit > 0 && s.sentTokens >= limit {
			flush(s.w)
			return false
		}
		s.lastIndex++
		s.sentTokens++
		if !s.writeChunk(completionChoice{Text: t, TokenIndex: s.lastIndex}, nil) {
			return false
		}
	}
	flush(s.w)
	return true
}

// writeEnd writes the finish event with the token usage, and the end marker.
func (s *streamWriter) writeEnd() {
	reason := "length"
	u := s.stream.usage
	s.writeChunk(completionChoice{TokenIndex: s.lastIndex, FinishReason: &reason}, &u)
	_, _ = fmt.Fprint(s.w, "data: [DONE]\n\n")
	flush(s.w)
}

// writeChunk writes one event, or the same one twice under the fault duplicate_events. It
// returns false when a write failed.
func (s *streamWriter) writeChunk(c completionChoice, u *usage) bool {
	ev := completionChunk{ID: s.requestID(), Attempt: s.stream.request.Attempt, Choices: []completionChoice{c}, Usage: u}
	times := 1
	if s.faults.DuplicateEvents {
		times = 2
	}
	for range times {
		if writeSSEEvent(s.w, ev) != nil {
			return false
		}
	}
	return true
}

func streamKeyOf(r *http.Request) streamKey {
	vars := mux.Vars(r)
	attempt, _ := strconv.ParseUint(vars["attempt"], 10, 32)
	return streamKey{vars["request"], uint32(attempt)}
}

// writeNotRun rejects a request. The header X-Not-Run states that none of its work
// was done.
func writeNotRun(w http.ResponseWriter, status int, message string) {
	w.Header().Set("X-Not-Run", "true")
	http.Error(w, message, status)
}

// writeSSEEvent writes v as JSON in one server-sent event.
func writeSSEEvent(w http.ResponseWriter, v any) error {
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
