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

type receivedStream struct {
	text    strings.Builder
	indexes []int
	usage   *usage
	done    bool
}

// read reads events until the stream ends or n tokens have come (0: all).
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
		t.Fatalf("text %q done %v usage %+v", got.text.String(), got.done, got.usage)
	}
	runs := f.Runs()
	if len(runs) != 1 || !runs[0].Finished || runs[0].Tokens != 20 {
		t.Fatalf("runs %+v", runs)
	}
}

func TestEngine_VariantsDiffer(t *testing.T) {
	f := newEngineFixture(t, EngineConfig{Variant: "b"})
	resp, _ := f.post("/v1/completions", newRequest("r", 20))
	if got := readStream(resp, 0); got.text.String() == ExpectedText("a b c", 7, 20) {
		t.Fatal("a variant gives the same answer")
	}
}

func TestEngine_ResumesABrokenStream(t *testing.T) {
	f := newEngineFixture(t, EngineConfig{BetweenTokens: time.Millisecond})
	resp, _ := f.post("/v1/completions", newRequest("r", 50))
	first := readStream(resp, 5)
	resumed, err := http.Get(f.server.URL() + "/v1/streams/r/1?after=5")
	if err != nil {
		t.Fatal(err)
	}
	second := readStream(resumed, 0)
	if first.text.String()+second.text.String() != ExpectedText("a b c", 7, 50) || second.indexes[0] != 6 {
		t.Fatalf("resumed at %v", second.indexes)
	}
	if runs := f.Runs(); len(runs) != 1 {
		t.Fatalf("%d runs", len(runs))
	}
}

func TestEngine_ExportedCacheSparesThePrefix(t *testing.T) {
	a := newEngineFixture(t, EngineConfig{BetweenTokens: time.Millisecond})
	b := newEngineFixture(t, EngineConfig{})
	resp, _ := a.post("/v1/completions", newRequest("r", 500))
	first := readStream(resp, 8)
	exported, _ := a.post("/v1/kv/export", kvExportRequest{RequestID: "r", Attempt: 1})
	var handle kvExportResponse
	_ = json.NewDecoder(exported.Body).Decode(&handle)
	if handle.Tokens < len(first.indexes) {
		t.Fatalf("export covers %d tokens, %d were sent", handle.Tokens, len(first.indexes))
	}
	next := newRequest("r", 500)
	next.Attempt = 2
	next.Prefix = ExpectedTokens("a b c", 7, handle.Tokens+2)
	next.KVHandle = handle.KVHandle
	resp, _ = b.post("/v1/completions", next)
	got := readStream(resp, 0)
	if got.usage.RecomputedTokens != 2 || got.indexes[0] != handle.Tokens+3 {
		t.Fatalf("usage %+v, first index %d", got.usage, got.indexes[0])
	}
	next.Attempt, next.KVHandle = 3, ""
	resp, _ = b.post("/v1/completions", next)
	if got := readStream(resp, 0); got.usage.RecomputedTokens != 3+len(next.Prefix) {
		t.Fatalf("usage without export %+v", got.usage)
	}
}

func TestEngine_FullRefusesAsNotRun(t *testing.T) {
	f := newEngineFixture(t, EngineConfig{Slots: 1, BetweenTokens: time.Hour})
	resp, _ := f.post("/v1/completions", newRequest("r", 5))
	defer resp.Body.Close()
	refused, _ := f.post("/v1/completions", newRequest("s", 5))
	if refused.StatusCode != http.StatusServiceUnavailable || refused.Header.Get("X-Not-Run") != "true" {
		t.Fatalf("%v %v", refused.Status, refused.Header)
	}
	if runs := f.Runs(); len(runs) != 1 {
		t.Fatalf("a refused request is recorded as a run: %+v", runs)
	}
}

func TestEngine_CancelFreesTheSlot(t *testing.T) {
	f := newEngineFixture(t, EngineConfig{Slots: 1, BetweenTokens: time.Hour})
	resp, _ := f.post("/v1/completions", newRequest("r", 5))
	cancel, _ := http.NewRequest(http.MethodDelete, f.server.URL()+"/v1/streams/r/1", nil)
	if answer, err := http.DefaultClient.Do(cancel); err != nil || answer.StatusCode != http.StatusNoContent {
		t.Fatalf("%v %v", answer, err)
	}
	if got := readStream(resp, 0); got.done {
		t.Fatal("a cancelled stream ended as if whole")
	}
	waitFor(t, func() bool {
		next, err := f.post("/v1/completions", newRequest(fmt.Sprint(time.Now().UnixNano()), 1))
		return err == nil && next.StatusCode == http.StatusOK
	})
}

func TestEngine_CrashPromptKillsIt(t *testing.T) {
	var f engineFixture
	f = newEngineFixture(t, EngineConfig{BetweenTokens: time.Hour, OnCrash: func() { f.server.Kill() }})
	other, _ := f.post("/v1/completions", newRequest("r", 5))
	bad := newRequest("s", 5)
	bad.Prompt = "x " + CrashMarker
	if resp, err := f.post("/v1/completions", bad); err == nil {
		t.Fatalf("answered %v", resp.Status)
	}
	if got := readStream(other, 0); got.done {
		t.Fatal("another request's stream survived the crash")
	}
	if _, err := f.post("/v1/completions", newRequest("t", 1)); err == nil {
		t.Fatal("a dead engine answered")
	}
	f.Restart()
	if err := f.server.Start(); err != nil {
		t.Fatal(err)
	}
	resp, err := f.post("/v1/completions", newRequest("t", 1))
	if err != nil || !readStream(resp, 0).done {
		t.Fatalf("after the restart: %v", err)
	}
}

func TestEngine_FaultsShow(t *testing.T) {
	f := newEngineFixture(t, EngineConfig{})
	f.SetFaults(EngineFaults{TruncateAfter: 3})
	resp, _ := f.post("/v1/completions", newRequest("a", 9))
	if got := readStream(resp, 0); got.done || len(got.indexes) != 3 {
		t.Fatalf("truncated: %v", got.indexes)
	}
	f.SetFaults(EngineFaults{DuplicateEvents: true})
	resp, _ = f.post("/v1/completions", newRequest("b", 2))
	if got := readStream(resp, 0); fmt.Sprint(got.indexes) != "[1 1 2 2]" {
		t.Fatalf("duplicated: %v", got.indexes)
	}
	f.SetFaults(EngineFaults{CrossedReply: true})
	resp, _ = f.post("/v1/completions", newRequest("c", 2))
	if resp.Header.Get("X-Request-Id") == "c" {
		t.Fatal("the reply is not crossed")
	}
}

func TestEngine_FencesOldOrders(t *testing.T) {
	for _, checks := range []bool{true, false} {
		f := newEngineFixture(t, EngineConfig{ChecksFences: checks})
		_, _ = f.post("/v1/orders", Command{Fence: 7, ID: "a"})
		old, _ := f.post("/v1/orders", Command{Fence: 6, ID: "b"})
		if refused := old.StatusCode == http.StatusConflict; refused != checks {
			t.Fatalf("checks %v: status %v", checks, old.Status)
		}
	}
}

func TestEngine_CacheEventsHaveGapsAndLag(t *testing.T) {
	c := newPrefixCache(5, time.Millisecond)
	c.store(strings.Repeat("x", 8*PrefixBlockBytes))
	time.Sleep(2 * time.Millisecond)
	events := c.eventsAfter(0)
	if len(events) != 10 || events[len(events)-1].Seq != 11 { // 8 stored, 3 removed, number 10 lost
		t.Fatalf("events %+v", events)
	}
}

// waitFor retries until the condition holds.
func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	for limit := time.Now().Add(10 * time.Second); time.Now().Before(limit); {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("the condition never held")
}
