package standin

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

type engineFixture struct {
	*Engine
	t      *testing.T
	server *Server
}

func newEngineFixture(t *testing.T, cfg EngineConfig) engineFixture {
	t.Helper()
	f := engineFixture{Engine: NewEngine(cfg), t: t}
	server, err := StartServer(f.Engine)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Kill)
	f.server = server
	return f
}

func (f engineFixture) post(path string, body any) (*http.Response, error) {
	data, _ := json.Marshal(body)
	return http.Post(f.server.URL()+path, "application/json", bytes.NewReader(data))
}

// receivedStream is what a client has received of a completion stream.
type receivedStream struct {
	text    strings.Builder
	indexes []int
	usage   *usage
	done    bool // whether the end marker has arrived
}

// readStream reads events until the stream ends or n tokens have arrived (0: all).
func readStream(r *http.Response, n int) *receivedStream {
	defer r.Body.Close()
	received := &receivedStream{}
	scanner := bufio.NewScanner(r.Body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			received.done = true
			continue
		}
		var c completionChunk
		_ = json.Unmarshal([]byte(data), &c)
		if c.Usage != nil {
			received.usage = c.Usage
			continue
		}
		received.text.WriteString(c.Choices[0].Text)
		received.indexes = append(received.indexes, c.Choices[0].TokenIndex)
		if len(received.indexes) == n {
			break
		}
	}
	return received
}

func newRequest(id string, maxTokens int) completionRequest {
	return completionRequest{Prompt: "a b c", MaxTokens: maxTokens, Seed: 7, RequestID: id, Attempt: 1}
}

func TestEngine_AnswersAsExpected(t *testing.T) {
	f := newEngineFixture(t, EngineConfig{})
	resp, err := f.post("/v1/completions", newRequest("r", 20))
	if err != nil {
		t.Fatal(err)
	}
	got := readStream(resp, 0)
	if got.text.String() != ExpectedText("a b c", 7, 20) || !got.done || got.usage.PromptTokens != 3 {
		t.Fatalf("text %q, end marker %v, usage %+v", got.text.String(), got.done, got.usage)
	}
	runs := f.Runs()
	if len(runs) != 1 || !runs[0].Finished || runs[0].Tokens != 20 {
		t.Fatalf("recorded runs %+v, want one finished run of 20 tokens", runs)
	}
}

func TestEngine_VariantsDiffer(t *testing.T) {
	f := newEngineFixture(t, EngineConfig{Variant: "b"})
	resp, _ := f.post("/v1/completions", newRequest("r", 20))
	if got := readStream(resp, 0); got.text.String() == ExpectedText("a b c", 7, 20) {
		t.Fatal("an engine with a variant generates the same text as one without")
	}
}

func TestEngine_ResumesABrokenStream(t *testing.T) {
	f := newEngineFixture(t, EngineConfig{TokenInterval: time.Millisecond})
	resp, _ := f.post("/v1/completions", newRequest("r", 50))
	first := readStream(resp, 5)
	resumed, err := http.Get(f.server.URL() + "/v1/streams/r/1?after=5")
	if err != nil {
		t.Fatal(err)
	}
	second := readStream(resumed, 0)
	if first.text.String()+second.text.String() != ExpectedText("a b c", 7, 50) || second.indexes[0] != 6 {
		t.Fatalf("resumed stream has token indexes %v, or its text differs", second.indexes)
	}
	if runs := f.Runs(); len(runs) != 1 {
		t.Fatalf("%d recorded runs, want 1", len(runs))
	}
}

func TestEngine_ExportedCacheSparesThePrefix(t *testing.T) {
	a := newEngineFixture(t, EngineConfig{TokenInterval: time.Millisecond})
	b := newEngineFixture(t, EngineConfig{})
	resp, _ := a.post("/v1/completions", newRequest("r", 500))
	first := readStream(resp, 8)
	exported, _ := a.post("/v1/kv/export", kvExportRequest{RequestID: "r", Attempt: 1})
	var handle kvExportResponse
	_ = json.NewDecoder(exported.Body).Decode(&handle)
	if handle.Tokens < len(first.indexes) {
		t.Fatalf("KV export covers %d tokens, but %d were sent", handle.Tokens, len(first.indexes))
	}
	next := newRequest("r", 500)
	next.Attempt = 2
	next.Prefix = ExpectedTokens("a b c", 7, handle.Tokens+2)
	next.KVHandle = handle.KVHandle
	resp, _ = b.post("/v1/completions", next)
	got := readStream(resp, 0)
	if got.usage.RecomputedTokens != 2 || got.indexes[0] != handle.Tokens+3 {
		t.Fatalf("with KV export: usage %+v, first token index %d", got.usage, got.indexes[0])
	}
	next.Attempt, next.KVHandle = 3, ""
	resp, _ = b.post("/v1/completions", next)
	if got := readStream(resp, 0); got.usage.RecomputedTokens != 3+len(next.Prefix) {
		t.Fatalf("without KV export: usage %+v", got.usage)
	}
}

func TestEngine_FullRefusesAsNotRun(t *testing.T) {
	f := newEngineFixture(t, EngineConfig{Slots: 1, TokenInterval: time.Hour})
	resp, _ := f.post("/v1/completions", newRequest("r", 5))
	defer resp.Body.Close()
	refused, _ := f.post("/v1/completions", newRequest("s", 5))
	if refused.StatusCode != http.StatusServiceUnavailable || refused.Header.Get("X-Not-Run") != "true" {
		t.Fatalf("request to a full engine: status %v, headers %v", refused.Status, refused.Header)
	}
	if runs := f.Runs(); len(runs) != 1 {
		t.Fatalf("the rejected request is recorded as a run: %+v", runs)
	}
}

func TestEngine_CancelFreesTheSlot(t *testing.T) {
	f := newEngineFixture(t, EngineConfig{Slots: 1, TokenInterval: time.Hour})
	resp, _ := f.post("/v1/completions", newRequest("r", 5))
	cancel, _ := http.NewRequest(http.MethodDelete, f.server.URL()+"/v1/streams/r/1", nil)
	if answer, err := http.DefaultClient.Do(cancel); err != nil || answer.StatusCode != http.StatusNoContent {
		t.Fatalf("cancelling a stream: response %v, error %v", answer, err)
	}
	if got := readStream(resp, 0); got.done {
		t.Fatal("the cancelled stream ended with an end marker")
	}
	waitFor(t, func() bool {
		next, err := f.post("/v1/completions", newRequest(fmt.Sprint(time.Now().UnixNano()), 1))
		return err == nil && next.StatusCode == http.StatusOK
	})
}

func TestEngine_CrashPromptKillsIt(t *testing.T) {
	var f engineFixture
	f = newEngineFixture(t, EngineConfig{TokenInterval: time.Hour, OnCrash: func() { f.server.Kill() }})
	other, _ := f.post("/v1/completions", newRequest("r", 5))
	bad := newRequest("s", 5)
	bad.Prompt = "x " + CrashMarker
	if resp, err := f.post("/v1/completions", bad); err == nil {
		t.Fatalf("the request with the crash marker got response %v", resp.Status)
	}
	if got := readStream(other, 0); got.done {
		t.Fatal("the stream of another request ended normally despite the crash")
	}
	if _, err := f.post("/v1/completions", newRequest("t", 1)); err == nil {
		t.Fatal("the crashed engine responded")
	}
	f.Restart()
	if err := f.server.Start(); err != nil {
		t.Fatal(err)
	}
	resp, err := f.post("/v1/completions", newRequest("t", 1))
	if err != nil || !readStream(resp, 0).done {
		t.Fatalf("request after the restart: no complete answer, error %v", err)
	}
}

func TestEngine_FaultsShow(t *testing.T) {
	f := newEngineFixture(t, EngineConfig{})
	f.SetFaults(EngineFaults{TruncateAfterTokens: 3})
	resp, _ := f.post("/v1/completions", newRequest("a", 9))
	if got := readStream(resp, 0); got.done || len(got.indexes) != 3 {
		t.Fatalf("truncation after 3 tokens: token indexes %v", got.indexes)
	}
	f.SetFaults(EngineFaults{DuplicateEvents: true})
	resp, _ = f.post("/v1/completions", newRequest("b", 2))
	if got := readStream(resp, 0); fmt.Sprint(got.indexes) != "[1 1 2 2]" {
		t.Fatalf("duplicated events: token indexes %v", got.indexes)
	}
	f.SetFaults(EngineFaults{WrongRequestID: true})
	resp, _ = f.post("/v1/completions", newRequest("c", 2))
	if resp.Header.Get("X-Request-Id") == "c" {
		t.Fatal("crossed reply: the response has the request's own ID")
	}
}

func TestEngine_FencesOldOrders(t *testing.T) {
	for _, checks := range []bool{true, false} {
		f := newEngineFixture(t, EngineConfig{ChecksFences: checks})
		_, _ = f.post("/v1/orders", Command{Fence: 7, ID: "a"})
		old, _ := f.post("/v1/orders", Command{Fence: 6, ID: "b"})
		if refused := old.StatusCode == http.StatusConflict; refused != checks {
			t.Fatalf("command with an outdated fencing token, ChecksFences %v: status %v", checks, old.Status)
		}
	}
}

func TestEngine_CacheEventsHaveGapsAndLag(t *testing.T) {
	c := newPrefixCache(5, time.Millisecond)
	c.store(strings.Repeat("x", 8*PrefixBlockBytes))
	time.Sleep(2 * time.Millisecond)
	events := c.eventsAfter(0)
	if len(events) != 10 || events[len(events)-1].Seq != 11 { // 8 stored, 3 removed, event 10 dropped
		t.Fatalf("cache events %+v", events)
	}
}

// waitFor polls until the condition holds, for at most 10 s.
func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	for limit := time.Now().Add(10 * time.Second); time.Now().Before(limit); {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("the condition did not hold within 10 s")
}
