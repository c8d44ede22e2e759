package core

import (
	"errors"
	"fmt"
	"hash/fnv"
	"strings"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

const (
	// engineSlots is the number of runs of one engine at once.
	engineSlots = 8
	// engineToken is the time between two tokens.
	engineToken = 20 * time.Millisecond
	// plainDelay is the time of one plain call.
	plainDelay = 40 * time.Millisecond
	// streamKept is how long an engine goes on with a stream without a reader.
	streamKept = 15 * time.Second
	// crashPrompt kills an engine that runs it.
	crashPrompt = "crash"
)

// execution is the engines' record of one run.
type execution struct {
	request entity.RequestID
	attempt entity.AttemptNumber
	key     string
	digest  entity.Digest
	at      time.Time
	engine  entity.BackendServerID
	prefix  int // tokens that the run continues
	again   int // tokens, prompt included, that were computed before
}

// fakeEngine plays a model engine or a plain backend server.
type fakeEngine struct {
	w       *world
	server  entity.BackendServer
	plain   bool
	slow    time.Duration // of one plain call; 0: plainDelay
	dead    bool
	silent  bool
	streams map[attemptKey]*fakeStream
	runs    []execution
	onCrash func()
}

// fakeStream is one run.
type fakeStream struct {
	d      Dispatch
	reader *fakeDaemon
	as     attemptKey // how the reader names it
	tokens []string
	sent   int
	done   bool
	gone   bool
	lostAt time.Time
}

// addEngines makes two model engines per data centre and a plain server each.
func (w *world) addEngines() {
	for i := range 6 {
		w.addEngine(fmt.Sprintf("m%d", i), "model", i%3, false)
	}
	for i := range 3 {
		w.addEngine(fmt.Sprintf("p%d", i), "plain", i, true)
	}
}

// addEngine makes one backend server.
func (w *world) addEngine(id string, service entity.ServiceName, dc int, plain bool) {
	e := &fakeEngine{
		w: w, plain: plain, streams: map[attemptKey]*fakeStream{},
		server: entity.BackendServer{
			ID: entity.BackendServerID(id), Service: service, Address: "127.0.0.1:9000", Slots: engineSlots,
			Place: entity.Place{Region: "r", DataCentre: entity.DataCentreID(fmt.Sprintf("dc%d", dc))},
		},
	}
	w.engines[e.server.ID] = e
	w.order = append(w.order, e)
}

// modelDocument returns the document of the model service.
func modelDocument(w *world) string {
	return documentText(w, "model", `kind = "model"`)
}

// plainDocument returns the document of the plain service.
func plainDocument(w *world) string {
	return documentText(w, "plain", `kind = "plain"`)
}

// documentText writes a service document with all backend servers of a service.
func documentText(w *world, name entity.ServiceName, kind string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\nmode = \"route\"\n%s\n", name, kind)
	b.WriteString("[latency]\nfirst_token = \"420ms\"\nbetween_tokens = \"32ms\"\nfirst_timeout = \"2s\"\ntoken_timeout = \"1s\"\n")
	for i, org := range []string{"big", "small"} {
		fmt.Fprintf(&b, "[[organisations]]\nid = %q\ncredential_sha256 = %q\nweight = 1\nrequests_per_second = 1000\nrequest_burst = 1000\ntop_priority = 0\n",
			org, strings.Repeat(fmt.Sprint(i), 64))
	}
	for i, e := range w.order {
		if e.server.Service != name {
			continue
		}
		fmt.Fprintf(&b, "[[backend_servers]]\nid = %q\naddress = \"127.0.0.1:%d\"\nregion = \"r\"\ndata_centre = %q\nslots = %d\n",
			e.server.ID, 9000+i, e.server.Place.DataCentre, e.server.Slots)
	}
	return b.String()
}

// nextToken is what an engine says after a token. It depends on the engine, so
// that two runs of one prompt differ unless one continues the other.
func nextToken(prompt, previous string, engine entity.BackendServerID) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(prompt + "\x00" + previous + "\x00" + string(engine)))
	return fmt.Sprintf("%x ", h.Sum64()&0xffffff)
}

// dispatch takes one send.
func (e *fakeEngine) dispatch(from *fakeDaemon, d Dispatch) {
	key := attemptKey{d.Request, d.Attempt}
	e.w.after(time.Millisecond, func() {
		switch {
		case e.dead:
			e.fail(from, key, AttemptFailed{
				Refused: !d.Resume, BackendDied: d.Resume, Unresumable: d.Resume,
				Err: verdict.New(deadVerdict(d), "backend-failed", "connection refused"),
			})
		case d.Resume:
			e.resume(from, d)
		case e.silent:
			e.record(d)
		default:
			e.run(from, d)
		}
	})
}

// deadVerdict is what is known when a connection is refused.
func deadVerdict(d Dispatch) verdict.Verdict {
	if d.Resume {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// record notes an execution.
func (e *fakeEngine) record(d Dispatch) {
	e.runs = append(e.runs, execution{
		request: d.Request, attempt: d.Attempt, key: d.Work.Key, digest: d.Work.Digest, at: e.w.now,
		engine: e.server.ID, prefix: len(d.Prefix), again: recomputed(d),
	})
}

// recomputed counts the tokens that a run has to compute a second time: all it
// continues but those in an imported KV cache.
func recomputed(d Dispatch) int {
	if len(d.Prefix) == 0 || d.Work.Completion == nil {
		return 0
	}
	var cached int
	if _, err := fmt.Sscanf(d.KVHandle, "kv:%d", &cached); err == nil {
		return len(d.Prefix) - cached
	}
	return len(d.Prefix) + len(d.Work.Completion.Prompt)/bytesPerToken
}

// run starts a run.
func (e *fakeEngine) run(from *fakeDaemon, d Dispatch) {
	e.record(d)
	key := attemptKey{d.Request, d.Attempt}
	if _, twice := e.streams[key]; twice {
		e.w.t.Fatalf("attempt %v was sent twice", key)
	}
	s := &fakeStream{d: d, reader: from, as: key, tokens: append([]string(nil), d.Prefix...), sent: len(d.Prefix)}
	e.streams[key] = s
	if e.plain {
		e.w.after(max(plainDelay, e.slow), func() { e.endPlain(s) })
		return
	}
	if strings.HasPrefix(d.Work.Completion.Prompt, crashPrompt) {
		e.w.after(engineToken, e.crash)
		return
	}
	e.w.after(engineToken, func() { e.generate(s) })
}

// endPlain ends a plain call.
func (e *fakeEngine) endPlain(s *fakeStream) {
	if s.gone || s.reader == nil {
		return
	}
	s.done = true
	body := fmt.Sprintf("%s by %s", s.d.Work.Call.Body, e.server.ID)
	s.reader.post(AttemptDone{Request: s.as.request, Attempt: s.as.number, Answer: Answer{Status: 200, Body: []byte(body)}})
}

// generate produces the next token.
func (e *fakeEngine) generate(s *fakeStream) {
	if s.gone || s.done {
		return
	}
	if s.reader == nil && e.w.now.Sub(s.lostAt) > streamKept {
		s.gone = true
		return
	}
	w := s.d.Work.Completion
	previous := ""
	if len(s.tokens) > 0 {
		previous = s.tokens[len(s.tokens)-1]
	}
	if len(s.tokens) < w.MaxTokens {
		s.tokens = append(s.tokens, nextToken(w.Prompt, previous, e.server.ID))
		e.w.after(engineToken, func() { e.generate(s) })
	} else {
		s.done = true
	}
	e.deliver(s)
}

// deliver sends the reader what it does not have.
func (e *fakeEngine) deliver(s *fakeStream) {
	if s.reader == nil {
		return
	}
	if s.sent < len(s.tokens) {
		s.reader.post(AttemptTokens{
			Request: s.as.request, Attempt: s.as.number, First: s.sent + 1,
			Tokens: append([]string(nil), s.tokens[s.sent:]...),
		})
		s.sent = len(s.tokens)
	}
	if s.done {
		s.reader.post(AttemptDone{Request: s.as.request, Attempt: s.as.number, Answer: Answer{FinishReason: "length"}})
		s.reader = nil
		s.lostAt = e.w.now
	}
}

// resume attaches a reader to a stream that runs.
func (e *fakeEngine) resume(from *fakeDaemon, d Dispatch) {
	stream := d.Request
	if d.Stream != "" {
		stream = d.Stream
	}
	s := e.streams[attemptKey{stream, d.Attempt}]
	if s == nil || s.gone || len(d.Prefix) > len(s.tokens) {
		e.fail(from, attemptKey{d.Request, d.Attempt}, AttemptFailed{
			Unresumable: true, Err: verdict.New(verdict.MayHaveRun, "backend-failed", "no such stream"),
		})
		return
	}
	s.reader, s.as, s.sent = from, attemptKey{d.Request, d.Attempt}, len(d.Prefix)
	e.deliver(s)
}

// stop ends the reading of a stream, and the stream if asked.
func (e *fakeEngine) stop(from *fakeDaemon, st StopAttempt) {
	stream := st.Request
	if st.Stream != "" {
		stream = st.Stream
	}
	s := e.streams[attemptKey{stream, st.Attempt}]
	if s == nil {
		return
	}
	if s.reader == from {
		s.reader, s.lostAt = nil, e.w.now
	}
	if st.Cancel {
		e.w.after(time.Millisecond, func() { s.gone = true })
	}
}

// export saves the state of a stream.
func (e *fakeEngine) export(from *fakeDaemon, x Export) {
	stream := x.Request
	if x.Stream != "" {
		stream = x.Stream
	}
	handle := ""
	if s := e.streams[attemptKey{stream, x.Attempt}]; s != nil && !e.dead && !e.w.noExport {
		handle = fmt.Sprintf("kv:%d", len(s.tokens))
	}
	e.w.after(5*time.Millisecond, func() {
		from.post(Exported{Request: x.Request, Attempt: x.Attempt, Handle: handle})
	})
}

// fail reports the failure of an attempt.
func (e *fakeEngine) fail(to *fakeDaemon, key attemptKey, f AttemptFailed) {
	f.Request, f.Attempt = key.request, key.number
	to.post(f)
}

// crash kills the engine; all its readers see their connections break.
func (e *fakeEngine) crash() {
	if e.dead {
		return
	}
	e.dead = true
	if e.onCrash != nil {
		e.onCrash()
	}
	for _, k := range e.streamKeys() {
		s := e.streams[k]
		if !s.gone && s.reader != nil {
			e.fail(s.reader, s.as, AttemptFailed{
				BackendDied: true, Err: verdict.Wrap(errors.New("connection reset"), verdict.MayHaveRun, "backend-failed"),
			})
		}
		s.gone = true
		s.reader = nil
	}
}

// streamKeys returns the keys of the streams in the order of their runs.
func (e *fakeEngine) streamKeys() []attemptKey {
	var out []attemptKey
	seen := map[attemptKey]bool{}
	for _, r := range e.runs {
		k := attemptKey{r.request, r.attempt}
		if e.streams[k] != nil && !seen[k] {
			seen[k] = true
			out = append(out, k)
		}
	}
	return out
}

// lostReader notes that a daemon has died. A plain call loses its caller.
func (e *fakeEngine) lostReader(d *fakeDaemon) {
	for _, s := range e.streams {
		if s.reader == d {
			s.reader, s.lostAt = nil, e.w.now
		}
	}
}

// restart brings a dead engine back with nothing but its record.
func (e *fakeEngine) restart() {
	e.dead = false
	e.streams = map[attemptKey]*fakeStream{}
}
