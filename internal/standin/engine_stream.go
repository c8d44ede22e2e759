package standin

import (
	"strings"
	"sync"
	"time"
)

// completionRequest is the body of POST /v1/completions.
type completionRequest struct {
	Model     string   `json:"model"`
	Prompt    string   `json:"prompt"`
	MaxTokens int      `json:"max_tokens"`
	Seed      uint64   `json:"seed"`
	Priority  int      `json:"priority"`
	RequestID string   `json:"request_id"`
	Attempt   uint32   `json:"attempt"`
	Prefix    []string `json:"prefix"` // answer tokens that an earlier attempt delivered
	KVHandle  string   `json:"kv_handle"`
}

// usage counts the tokens of one attempt, as reported in the last event of its
// stream.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	RecomputedTokens int `json:"recomputed_tokens"`
}

// stream is the output of one run. Token generation continues when the reader's
// connection breaks, and stops once there was no reader for StreamRetention.
type stream struct {
	request   completionRequest
	generator generator
	usage     usage
	crashed   <-chan struct{} // closed when the engine crashes

	mu          sync.Mutex
	tokens      []string // from the first token of the answer, including the request's prefix
	finished    bool
	readerCount int           // open connections
	idleSince   time.Time     // when the last reader left
	changed     chan struct{} // closed and replaced on each change of tokens or finished
	cancelled   chan struct{}
	cancelOnce  sync.Once
}

func newStream(r completionRequest, variant string, crashed <-chan struct{}) *stream {
	return &stream{
		request:   r,
		generator: newGenerator(r.Prompt, r.Seed, variant),
		crashed:   crashed,
		tokens:    append([]string{}, r.Prefix...),
		idleSince: time.Now(),
		changed:   make(chan struct{}),
		cancelled: make(chan struct{}),
	}
}

func (s *stream) cancel() { s.cancelOnce.Do(func() { close(s.cancelled) }) }

// update runs f, which changes the stream, under s.mu and notifies the readers.
func (s *stream) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

// tokensAfter returns the tokens after index afterToken, whether the stream has
// finished, and a channel that is closed on the next change.
func (s *stream) tokensAfter(afterToken int) (tokens []string, finished bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if afterToken < len(s.tokens) {
		tokens = append(tokens, s.tokens[afterToken:]...)
	}
	return tokens, s.finished, s.changed
}

func (s *stream) addReader() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readerCount++
}

func (s *stream) removeReader() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readerCount--
	s.idleSince = time.Now()
}

// abandoned reports whether the stream has had no reader for StreamRetention.
func (s *stream) abandoned() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readerCount == 0 && time.Since(s.idleSince) > StreamRetention
}

// sleep waits for d and reports whether the stream is to continue: false once it is
// cancelled or abandoned or the engine has crashed.
func (s *stream) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return !s.abandoned()
	case <-s.cancelled:
		return false
	case <-s.crashed:
		return false
	}
}

// startStream reserves a slot, records the run and registers its stream. It returns
// nil when the engine rejects the request before doing any of its work.
func (e *Engine) startStream(r completionRequest) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Refuse || e.faults.Draining || e.running >= e.cfg.Slots {
		return nil
	}
	s := newStream(r, e.cfg.Variant, e.crashed)
	run := &Run{
		RequestID: r.RequestID, Attempt: r.Attempt, PromptDigest: PromptDigest(r.Prompt),
		StartedAt: time.Now(), Started: true,
	}
	s.usage = e.prefillUsage(r)
	run.RecomputedTokens = s.usage.RecomputedTokens
	e.streams[streamKey{r.RequestID, r.Attempt}] = s
	e.runs = append(e.runs, run)
	e.running++
	e.recordLoadSample()
	if !strings.Contains(r.Prompt, CrashMarker) {
		go e.generateTokens(s, run)
	}
	return s
}

// prefillUsage returns how many prompt tokens are cached and how many tokens of the
// prompt and the prefix must be recomputed. The caller holds e.mu.
func (e *Engine) prefillUsage(r completionRequest) usage {
	u := usage{PromptTokens: CountPromptTokens(r.Prompt)}
	u.CachedTokens = e.cache.countCachedTokens(r.Prompt)
	if coveredTokens, ok := kvHandleTokens(r.KVHandle, r); ok {
		u.CachedTokens = u.PromptTokens
		u.RecomputedTokens = len(r.Prefix) - coveredTokens
		return u
	}
	if r.Attempt > 1 || len(r.Prefix) > 0 {
		u.RecomputedTokens = u.PromptTokens - u.CachedTokens + len(r.Prefix)
	}
	return u
}

// prefillTokens returns the number of tokens that must be computed before the first
// new token.
func (s *stream) prefillTokens() int {
	if s.usage.RecomputedTokens > 0 {
		return s.usage.RecomputedTokens
	}
	return s.usage.PromptTokens - s.usage.CachedTokens
}

// generateTokens generates the stream's tokens with the engine's configured delays.
func (e *Engine) generateTokens(s *stream, run *Run) {
	defer e.releaseSlot(s)
	e.cache.store(s.request.Prompt)
	prefill := time.Duration(s.prefillTokens()) * e.cfg.PrefillPerToken
	if !s.sleep(e.applySlowFactor(e.cfg.FirstTokenDelay + prefill)) {
		return
	}
	for index := len(s.request.Prefix) + 1; index <= s.request.MaxTokens; index++ {
		s.update(func() { s.tokens = append(s.tokens, s.generator.token(index)) })
		e.countToken(run)
		if index < s.request.MaxTokens && !s.sleep(e.applySlowFactor(e.cfg.TokenInterval)) {
			return
		}
	}
	s.usage.CompletionTokens = s.request.MaxTokens
	e.markFinished(run)
	s.update(func() { s.finished = true })
}

func (e *Engine) countToken(run *Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	run.Tokens++
}

func (e *Engine) markFinished(run *Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	run.Finished = true
}

// releaseSlot frees the stream's slot and removes the stream: a finished one after
// StreamRetention, any other at once.
func (e *Engine) releaseSlot(s *stream) {
	s.mu.Lock()
	finished := s.finished
	s.mu.Unlock()
	if !finished {
		s.cancel()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.crashed != (<-chan struct{})(e.crashed) {
		return // the engine has restarted since, so the slot no longer exists
	}
	e.running--
	e.recordLoadSample()
	if !finished {
		e.removeStream(s)
		return
	}
	time.AfterFunc(StreamRetention, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.removeStream(s)
	})
}

// removeStream removes a stream unless a newer stream has the same key. The caller
// holds e.mu.
func (e *Engine) removeStream(s *stream) {
	k := streamKey{s.request.RequestID, s.request.Attempt}
	if e.streams[k] == s {
		delete(e.streams, k)
	}
}

func (e *Engine) findStream(k streamKey) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[k]
}
