package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"path"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/standin"
)

// fakeDaemon serves the callers' API with the expected answers. Its fields
// inject faults.
type fakeDaemon struct {
	mu       sync.Mutex
	requests map[string]submission
	peers    *[]string
	address  string
	runs     []standin.Run

	duplicateToken  bool // send token 2 twice
	omitToken       bool // leave token 2 out
	varyAnswers     bool // make each answer differ
	dropAnswers     bool // accept requests but never answer them
	refuseButRun    bool // refuse requests as not run, but record a run
	breakAfterToken int  // break the stream after this token, once per request
	moveAfterToken  int  // move the stream after this token, once per request
	refuseAsLeaving bool // refuse new requests with code "leaving"
	answerCount     int
}

func (d *fakeDaemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/addresses":
		d.serveAddresses(w)
	case r.URL.Path == "/_runs":
		d.mu.Lock()
		defer d.mu.Unlock()
		_ = json.NewEncoder(w).Encode(d.runs)
	case r.Method == http.MethodGet:
		d.resume(w, r)
	default:
		d.submit(w, r)
	}
}

func (d *fakeDaemon) serveAddresses(w http.ResponseWriter) {
	list := addressList{TTLSeconds: 1}
	for _, p := range *d.peers {
		list.Addresses = append(list.Addresses, struct {
			Address string `json:"address"`
		}{p})
	}
	_ = json.NewEncoder(w).Encode(list)
}

func (d *fakeDaemon) submit(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	var s submission
	_ = json.Unmarshal(body, &s)
	d.mu.Lock()
	id := fmt.Sprintf("r%s-%d", d.address, len(d.requests))
	d.requests[id] = s
	d.runs = append(d.runs, standin.Run{RequestID: id, PromptDigest: standin.PromptDigest(s.Prompt), Started: true})
	d.mu.Unlock()
	w.Header().Set(requestIDHeader, id)
	if d.refuseButRun || d.refuseAsLeaving {
		code := map[bool]string{true: "leaving", false: "over-limit"}[d.refuseAsLeaving]
		w.Header().Set("X-Verdict", "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = fmt.Fprintf(w, `{"error":{"code":%q,"verdict":"not-run"}}`, code)
		return
	}
	if d.dropAnswers {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	d.answer(w, id, s, 0, true)
}

func (d *fakeDaemon) resume(w http.ResponseWriter, r *http.Request) {
	id := path.Base(r.URL.Path)
	d.mu.Lock()
	s, ok := d.requests[id]
	d.mu.Unlock()
	if !ok || d.dropAnswers {
		w.Header().Set("X-Verdict", "may-have-run")
		w.WriteHeader(http.StatusNotFound)
		_, _ = io.WriteString(w, `{"error":{"code":"unknown-request"}}`)
		return
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	w.Header().Set(requestIDHeader, id)
	d.answer(w, id, s, after, false)
}

func (d *fakeDaemon) answer(w http.ResponseWriter, id string, s submission, after int, first bool) {
	tokens := standin.ExpectedTokens(s.Prompt, s.Seed, s.MaxTokens)
	if d.varyAnswers {
		d.mu.Lock()
		d.answerCount++
		tokens[0] = fmt.Sprint(d.answerCount)
		d.mu.Unlock()
	}
	if !s.Stream {
		_ = json.NewEncoder(w).Encode(completeAnswer{ID: id, Text: strings.Join(tokens, "")})
		return
	}
	w.WriteHeader(http.StatusOK)
	for i := after; i < len(tokens); i++ {
		n := i + 1
		if d.omitToken && n == 2 {
			continue
		}
		d.writeToken(w, n, tokens[i])
		if d.duplicateToken && n == 2 {
			d.writeToken(w, n, tokens[i])
		}
		if first && n == d.moveAfterToken {
			_, _ = fmt.Fprintf(w, "event: moved\ndata: {\"address\":%q,\"request\":%q}\n\n", d.address, id)
			return
		}
		if first && n == d.breakAfterToken {
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
	_, _ = io.WriteString(w, "event: done\ndata: {\"finish_reason\":\"length\"}\n\n")
}

func (d *fakeDaemon) writeToken(w io.Writer, n int, text string) {
	_, _ = fmt.Fprintf(w, "id: %d\nevent: token\ndata: {\"text\":%q}\n\n", n, text)
}

// runWithFault runs the load generator against two fake daemons; fault sets the
// faults of each, and change adapts the configuration.
func runWithFault(t *testing.T, fault func(*fakeDaemon), change func(*Config)) Report {
	t.Helper()
	var peers []string
	cfg := Config{
		Service: "s", Callers: []Caller{{Organisation: "o", Credential: "c", Share: 1}},
		ArrivalsPerSecond: 200, Duration: 300 * time.Millisecond, Seed: 1, MaxTokens: 5, CheckText: true,
		Deadline: 200 * time.Millisecond, DeadlineGracePeriod: 200 * time.Millisecond,
	}
	for range 2 {
		d := &fakeDaemon{requests: make(map[string]submission), peers: &peers}
		fault(d)
		server := httptest.NewServer(d)
		t.Cleanup(server.Close)
		d.address = strings.TrimPrefix(server.URL, "http://")
		peers = append(peers, d.address)
		cfg.EngineURLs = append(cfg.EngineURLs, server.URL)
	}
	cfg.Addresses = peers[:1]
	change(&cfg)
	r, err := Run(context.Background(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	if r.Offered < 20 {
		t.Fatalf("only %d requests were offered, want at least 20", r.Offered)
	}
	return r
}

func noFault(*fakeDaemon) {}

func streamAll(c *Config) { c.StreamShare = 1 }

func violationCounts(r Report) map[ViolationKind]int {
	out := make(map[ViolationKind]int)
	for _, v := range r.Violations() {
		out[v.Kind]++
	}
	return out
}

func TestRun_WithoutFaultsAllAnswered(t *testing.T) {
	r := runWithFault(t, noFault, func(c *Config) {
		c.StreamShare, c.KeyedShare = 0.5, 0.5
		c.Deadline = 20 * time.Second
	})
	if r.Answered != r.Offered || len(r.Violations()) != 0 || r.FirstToken.Count == 0 {
		t.Fatalf("%+v", r)
	}
	var text strings.Builder
	if err := r.WriteText(&text); err != nil || !strings.Contains(text.String(), "0 violations") {
		t.Fatalf("text report is faulty: error %v, text %s", err, text.String())
	}
}

func TestRun_FollowsBrokenAndMovedStreams(t *testing.T) {
	for name, fault := range map[string]func(*fakeDaemon){
		"moved": func(d *fakeDaemon) { d.moveAfterToken = 3 },
	} {
		r := runWithFault(t, fault, func(c *Config) {
			c.StreamShare = 1
			c.Deadline = 20 * time.Second
		})
		if r.Answered != r.Offered || len(r.Violations()) != 0 || r.Resumes == 0 {
			t.Fatalf("%s streams: not every request was resumed and answered without a violation: %+v", name, r)
		}
	}
	r := runWithFault(t, func(d *fakeDaemon) { d.breakAfterToken = 3 }, func(c *Config) {
		c.StreamShare = 1
		c.Deadline = 20 * time.Second
	})
	if r.Answered != r.Offered || len(r.Violations()) != 0 || r.Resumes < r.Offered {
		t.Fatalf("interrupted streams: not every request was resumed and answered without a violation: %+v", r)
	}
}

func TestRun_SeesEachViolation(t *testing.T) {
	for _, c := range []struct {
		kind   ViolationKind
		fault  func(*fakeDaemon)
		change func(*Config)
	}{
		{DuplicateToken, func(d *fakeDaemon) { d.duplicateToken = true }, streamAll},
		{MissingToken, func(d *fakeDaemon) { d.omitToken = true }, streamAll},
		{WrongAnswer, func(d *fakeDaemon) { d.varyAnswers = true }, streamAll},
		{LostRequest, func(d *fakeDaemon) { d.dropAnswers = true }, streamAll},
		{FalseNotRun, func(d *fakeDaemon) { d.refuseButRun = true }, streamAll},
		{ConflictingAnswers, func(d *fakeDaemon) { d.varyAnswers = true }, func(c *Config) { c.KeyedShare, c.ResendShare = 1, 1 }},
		{RanTwice, noFault, func(c *Config) { c.NotRepeatableShare, c.ResendShare = 1, 1 }},
	} {
		if r := runWithFault(t, c.fault, c.change); violationCounts(r)[c.kind] == 0 {
			t.Errorf("violation %s was not detected: %+v", c.kind, r)
		}
	}
}

func TestRun_RefusalsOfOneDaemonAreTakenElsewhere(t *testing.T) {
	first := true
	r := runWithFault(t, func(d *fakeDaemon) { d.refuseAsLeaving, first = first, false }, func(c *Config) {
		c.Deadline = 20 * time.Second
		c.EngineURLs = nil
	})
	if r.Answered != r.Offered || r.SentElsewhere == 0 {
		t.Fatalf("%+v", r)
	}
}

func TestPlanner_DependsOnTheSeedAlone(t *testing.T) {
	cfg := Config{Callers: []Caller{{Share: 1}, {Share: 3}}, ArrivalsPerSecond: 10, KeyedShare: 0.5, ResendShare: 0.5, PromptTokens: 8, PrefixGroups: 2}
	a, b := newPlanner(cfg), newPlanner(cfg)
	shares := [2]int{}
	for range 1000 {
		x, y := a.next(), b.next()
		if x != y {
			t.Fatalf("%+v differs from %+v", x, y)
		}
		shares[x.caller]++
	}
	if shares[0] < 200 || shares[0] > 300 {
		t.Fatalf("arrivals of the caller with share 1 of 4 are not within 200 to 300 of 1000: %v", shares)
	}
}
