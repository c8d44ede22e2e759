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
	// engineSlots is the number of concurrent runs of one engine.
	engineSlots = 8
	// engineTokenInterval is the time between two tokens of a run.
	engineTokenInterval = 20 * time.Millisecond
	// defaultPlainCallDuration is the duration of one plain call.
	defaultPlainCallDuration = 40 * time.Millisecond
	// unreadStreamRetention is how long an engine continues a stream without a
	// reader.
	unreadStreamRetention = 15 * time.Second
	// crashPrompt is the start of prompts that crash the engine that runs them.
	crashPrompt = "crash"
)

// execution is an engine's record of one run.
type execution struct {
	request    entity.RequestID
	attempt    entity.AttemptNumber
	key        string
	digest     entity.Digest
	at         time.Time
	engine     entity.BackendServerID
	prefix     int // number of output tokens that the run continues
	recomputed int // number of tokens, prompt included, that had been computed before
}

// fakeEngine simulates a model engine or a plain backend server.
type fakeEngine struct {
	w                 *world
	server            entity.BackendServer
	plain             bool
	plainCallDuration time.Duration // of one plain call, if longer than defaultPlainCallDuration
	dead              bool
	silent            bool
	// sendTime is how long a dispatch takes to reach the engine, if longer than
	// 1 ms. One that is stopped before then never reaches it.
	sendTime time.Duration
	sending  map[attemptKey]bool // dispatches on their way
	streams  map[attemptKey]*fakeStream
	runs     []execution
	onCrash  func()
}

// fakeStream is one run of an engine.
type fakeStream struct {
	dispatch     Dispatch
	reader       *fakeDaemon
	readerKey    attemptKey // request and attempt under which the reader reads it
	tokens       []string
	sent         int
	done         bool
	removed      bool
	readerLostAt time.Time
}

// addEngines adds two model engines and one plain server per data centre.
func (w *world) addEngines() {
	for i := range 6 {
		w.addEngine(fmt.Sprintf("m%d", i), "model", i%3, false)
	}
	for i := range 3 {
		w.addEngine(fmt.Sprintf("p%d", i), "plain", i, true)
	}
}

// addEngine adds one backend server.
func (w *world) addEngine(id string, service entity.ServiceName, dc int, plain bool) {
	e := &fakeEngine{
		w: w, plain: plain, streams: map[attemptKey]*fakeStream{}, sending: map[attemptKey]bool{},
		server: entity.BackendServer{
			ID: entity.BackendServerID(id), Service: service, Address: "127.0.0.1:9000", Slots: engineSlots,
			Location: entity.Location{Region: "r", DataCentre: entity.DataCentreID(fmt.Sprintf("dc%d", dc))},
		},
	}
	w.engines[e.server.ID] = e
	w.engineOrder = append(w.engineOrder, e)
}

// modelDocument returns the service document of the model service.
func modelDocument(w *world) string {
	return documentText(w, "model", `kind = "model"`)
}

// plainDocument returns the service document of the plain service.
func plainDocument(w *world) string {
	return documentText(w, "plain", `kind = "plain"`)
}

// documentText returns a service document that lists all backend servers of the
// service.
func documentText(w *world, name entity.ServiceName, kind string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\nmode = \"route\"\n%s\n", name, kind)
	b.WriteString("[latency]\nfirst_token = \"420ms\"\nbetween_tokens = \"32ms\"\nfirst_timeout = \"2s\"\ntoken_timeout = \"1s\"\n")
	for i, org := range []string{"big", "small"} {
		fmt.Fprintf(&b, "[[organisations]]\nid = %q\ncredential_sha256 = %q\nweight = 1\nrequests_per_second = 1000\nrequest_burst = 1000\ntop_priority = 0\n",
			org, strings.Repeat(fmt.Sprint(i), 64))
	}
	for i, e := range w.engineOrder {
		if e.server.Service != name {
			continue
		}
		fmt.Fprintf(&b, "[[backend_servers]]\nid = %q\naddress = \"127.0.0.1:%d\"\nregion = \"r\"\ndata_centre = %q\nslots = %d\n",
			e.server.ID, 9000+i, e.server.Location.DataCentre, e.server.Slots)
	}
	return b.String()
}

// nextToken returns the token that an engine produces after previous. It
// depends on the engine, so that two runs of one prompt differ unless one
// continues the other.
func nextToken(prompt, previous string, engine entity.BackendServerID) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(prompt + "\x00" + previous + "\x00" + string(engine)))
	return fmt.Sprintf("%x ", h.Sum64()&0xffffff)
}

// dispatch handles a dispatch by a daemon.
func (e *fakeEngine) dispatch(from *fakeDaemon, d Dispatch) {
	key := attemptKey{d.Request, d.Attempt}
	sendTime := time.Millisecond
	if !d.Resume && e.sendTime > sendTime {
		sendTime = e.sendTime
		e.sending[key] = true
	}
	e.w.schedule(sendTime, func() {
		if sendTime > time.Millisecond && !e.sending[key] {
			return
		}
		delete(e.sending, key)
		switch {
		case e.dead:
			e.reportFailure(from, key, AttemptFailed{
				Refused: !d.Resume, BackendDied: d.Resume, Unresumable: d.Resume,
				Err: verdict.New(refusedConnectionVerdict(d), "backend-failed", "connection refused"),
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

// refusedConnectionVerdict returns the verdict on a dispatch whose connection
// was refused.
func refusedConnectionVerdict(d Dispatch) verdict.Verdict {
	if d.Resume {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// record adds a run to the engine's record.
func (e *fakeEngine) record(d Dispatch) {
	e.runs = append(e.runs, execution{
		request: d.Request, attempt: d.Attempt, key: d.Work.Key, digest: d.Work.Digest, at: e.w.now,
		engine: e.server.ID, prefix: len(d.Prefix), recomputed: recomputed(d),
	})
}

// recomputed counts the tokens that a run has to compute a second time: all
// that it continues except those in an imported KV cache.
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

// run starts a run. The test fails if the attempt was sent before.
func (e *fakeEngine) run(from *fakeDaemon, d Dispatch) {
	e.record(d)
	key := attemptKey{d.Request, d.Attempt}
	if _, twice := e.streams[key]; twice {
		e.w.t.Fatalf("attempt %v was sent twice", key)
	}
	s := &fakeStream{dispatch: d, reader: from, readerKey: key, tokens: append([]string(nil), d.Prefix...), sent: len(d.Prefix)}
	e.streams[key] = s
	if e.plain {
		e.w.schedule(max(defaultPlainCallDuration, e.plainCallDuration), func() { e.endPlain(s) })
		return
	}
	if strings.HasPrefix(d.Work.Completion.Prompt, crashPrompt) {
		e.w.schedule(engineTokenInterval, e.crash)
		return
	}
	e.w.schedule(engineTokenInterval, func() { e.generate(s) })
}

// endPlain ends a plain call and delivers its reply.
func (e *fakeEngine) endPlain(s *fakeStream) {
	if s.removed || s.reader == nil {
		return
	}
	s.done = true
	body := fmt.Sprintf("%s by %s", s.dispatch.Work.Call.Body, e.server.ID)
	s.reader.post(AttemptDone{Request: s.readerKey.request, Attempt: s.readerKey.number, Answer: Answer{Status: 200, Body: []byte(body)}})
}

// generate produces the next token of a stream.
func (e *fakeEngine) generate(s *fakeStream) {
	if s.removed || s.done {
		return
	}
	if s.reader == nil && e.w.now.Sub(s.readerLostAt) > unreadStreamRetention {
		s.removed = true
		return
	}
	w := s.dispatch.Work.Completion
	previous := ""
	if len(s.tokens) > 0 {
		previous = s.tokens[len(s.tokens)-1]
	}
	if len(s.tokens) < w.MaxTokens {
		s.tokens = append(s.tokens, nextToken(w.Prompt, previous, e.server.ID))
		e.w.schedule(engineTokenInterval, func() { e.generate(s) })
	} else {
		s.done = true
	}
	e.deliver(s)
}

// deliver sends the reader the tokens that it does not have.
func (e *fakeEngine) deliver(s *fakeStream) {
	if s.reader == nil {
		return
	}
	if s.sent < len(s.tokens) {
		s.reader.post(AttemptTokens{
			Request: s.readerKey.request, Attempt: s.readerKey.number, First: s.sent + 1,
			Tokens: append([]string(nil), s.tokens[s.sent:]...),
		})
		s.sent = len(s.tokens)
	}
	if s.done {
		s.reader.post(AttemptDone{Request: s.readerKey.request, Attempt: s.readerKey.number, Answer: Answer{FinishReason: "length"}})
		s.reader = nil
		s.readerLostAt = e.w.now
	}
}

// resume attaches a reader to a running stream.
func (e *fakeEngine) resume(from *fakeDaemon, d Dispatch) {
	stream := d.Request
	if d.Stream != "" {
		stream = d.Stream
	}
	s := e.streams[attemptKey{stream, d.Attempt}]
	if s == nil || s.removed || len(d.Prefix) > len(s.tokens) {
		e.reportFailure(from, attemptKey{d.Request, d.Attempt}, AttemptFailed{
			Unresumable: true, Err: verdict.New(verdict.MayHaveRun, "backend-failed", "no such stream"),
		})
		return
	}
	s.reader, s.readerKey, s.sent = from, attemptKey{d.Request, d.Attempt}, len(d.Prefix)
	e.deliver(s)
}

// stop ends the reading of a stream and, with Cancel, the stream itself.
func (e *fakeEngine) stop(from *fakeDaemon, st StopAttempt) {
	stream := st.Request
	if st.Stream != "" {
		stream = st.Stream
	}
	delete(e.sending, attemptKey{stream, st.Attempt})
	s := e.streams[attemptKey{stream, st.Attempt}]
	if s == nil {
		return
	}
	if s.reader == from {
		s.reader, s.readerLostAt = nil, e.w.now
	}
	if st.Cancel {
		e.w.schedule(time.Millisecond, func() { s.removed = true })
	}
}

// export saves the KV cache of a stream, unless exports are disabled.
func (e *fakeEngine) export(from *fakeDaemon, x Export) {
	stream := x.Request
	if x.Stream != "" {
		stream = x.Stream
	}
	handle := ""
	if s := e.streams[attemptKey{stream, x.Attempt}]; s != nil && !e.dead && !e.w.noExport {
		handle = fmt.Sprintf("kv:%d", len(s.tokens))
	}
	e.w.schedule(5*time.Millisecond, func() {
		from.post(ExportResult{Request: x.Request, Attempt: x.Attempt, Handle: handle})
	})
}

// reportFailure reports the failure of an attempt.
func (e *fakeEngine) reportFailure(to *fakeDaemon, key attemptKey, f AttemptFailed) {
	f.Request, f.Attempt = key.request, key.number
	to.post(f)
}

// crash ends the engine and breaks the connections of all its readers.
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
		if !s.removed && s.reader != nil {
			e.reportFailure(s.reader, s.readerKey, AttemptFailed{
				BackendDied: true, Err: verdict.Wrap(errors.New("connection reset"), verdict.MayHaveRun, "backend-failed"),
			})
		}
		s.removed = true
		s.reader = nil
	}
}

// streamKeys returns the keys of the streams in the order in which they were
// started.
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

// handleReaderLost detaches a daemon that has ended from its streams. The reply
// to a plain call is then lost.
func (e *fakeEngine) handleReaderLost(d *fakeDaemon) {
	for _, s := range e.streams {
		if s.reader == d {
			s.reader, s.readerLostAt = nil, e.w.now
		}
	}
}

// restart starts a crashed engine again without its streams; the record of its
// runs is kept.
func (e *fakeEngine) restart() {
	e.dead = false
	e.streams = map[attemptKey]*fakeStream{}
}
