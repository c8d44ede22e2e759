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

// fakeDaemon answers the callers' API from the expected text, and errs on
// demand.
type fakeDaemon struct {
	mu       sync.Mutex
	requests map[string]submission
	peers    *[]string
	address  string
	runs     []standin.Run

	twice    bool // send token 2 twice
	skip     bool // leave token 2 out
	vary     bool // each answer differs
	drop     bool // accept and never answer
	refuse   bool // refuse as not run, yet run
	breakAt  int  // break the stream after this token, once per request
	moveAt   int  // move the stream after this token, once per request
	leaving  bool // refuse new requests as leaving
	answered int
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
	d.runs = append(d.runs, standin.Run{Request: id, PromptDigest: standin.PromptDigest(s.Prompt), Started: true})
	d.mu.Unlock()
	w.Header().Set(headerRequest, id)
	if d.refuse || d.leaving {
		code := map[bool]string{true: "leaving", false: "over-limit"}[d.leaving]
		w.Header().Set("X-Verdict", "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = fmt.Fprintf(w, `{"error":{"code":%q,"verdict":"not-run"}}`, code)
		return
	}
	if d.drop {
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
	if !ok || d.drop {
		w.Header().Set("X-Verdict", "may-have-run")
		w.WriteHeader(http.StatusNotFound)
		_, _ = io.WriteString(w, `{"error":{"code":"unknown-request"}}`)
		return
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	w.Header().Set(headerRequest, id)
	d.answer(w, id, s, after, false)
}

func (d *fakeDaemon) answer(w http.ResponseWriter, id string, s submission, after int, first bool) {
	tokens := standin.ExpectedTokens(s.Prompt, s.Seed, s.MaxTokens)
	if d.vary {
		d.mu.Lock()
		d.answered++
		tokens[0] = fmt.Sprint(d.answered)
		d.mu.Unlock()
	}
	if !s.Stream {
		_ = json.NewEncoder(w).Encode(wholeAnswer{ID: id, Text: strings.Join(tokens, "")})
		return
	}
	w.WriteHeader(http.StatusOK)
	for i := after; i < len(tokens); i++ {
		n := i + 1
		if d.skip && n == 2 {
			continue
		}
		d.token(w, n, tokens[i])
		if d.twice && n == 2 {
			d.token(w, n, tokens[i])
		}
		if first && n == d.moveAt {
			_, _ = fmt.Fprintf(w, "event: moved\ndata: {\"address\":%q,\"request\":%q}\n\n", d.address, id)
			return
		}
		if first && n == d.breakAt {
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
	_, _ = io.WriteString(w, "event: done\ndata: {\"finish_reason\":\"length\"}\n\n")
}

func (d *fakeDaemon) token(w io.Writer, n int, text string) {
	_, _ = fmt.Fprintf(w, "id: %d\nevent: token\ndata: {\"text\":%q}\n\n", n, text)
}

// drive runs the driver against two fake daemons with the same faults.
func drive(t *testing.T, fault func(*fakeDaemon), change func(*Config)) Report {
	t.Helper()
	var peers []string
	cfg := Config{
		Service: "s", Callers: []Caller{{Organisation: "o", Credential: "c", Share: 1}},
		Rate: 200, Duration: 300 * time.Millisecond, Seed: 1, MaxTokens: 5, CheckText: true,
		Deadline: 200 * time.Millisecond, Patience: 200 * time.Millisecond,
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
		t.Fatalf("only %d requests", r.Offered)
	}
	return r
}

func none(*fakeDaemon) {}

func streams(c *Config) { c.StreamShare = 1 }

func kinds(r Report) map[ViolationKind]int {
	out := make(map[ViolationKind]int)
	for _, v := range r.Violations() {
		out[v.Kind]++
	}
	return out
}

func TestRun_WithoutFaultsAllAnswered(t *testing.T) {
	r := drive(t, none, func(c *Config) {
		c.StreamShare, c.KeyedShare = 0.5, 0.5
		c.Deadline = 20 * time.Second
	})
	if r.Answered != r.Offered || len(r.Violations()) != 0 || r.FirstToken.Count == 0 {
		t.Fatalf("%+v", r)
	}
	var text strings.Builder
	if err := r.WriteText(&text); err != nil || !strings.Contains(text.String(), "0 violations") {
		t.Fatalf("%v %s", err, text.String())
	}
}

func TestRun_FollowsBrokenAndMovedStreams(t *testing.T) {
	for name, fault := range map[string]func(*fakeDaemon){
		"moved": func(d *fakeDaemon) { d.moveAt = 3 },
	} {
		r := drive(t, fault, func(c *Config) {
			c.StreamShare = 1
			c.Deadline = 20 * time.Second
		})
		if r.Answered != r.Offered || len(r.Violations()) != 0 || r.Resumes == 0 {
			t.Fatalf("%s: %+v", name, r)
		}
	}
	r := drive(t, func(d *fakeDaemon) { d.breakAt = 3 }, func(c *Config) {
		c.StreamShare = 1
		c.Deadline = 20 * time.Second
	})
	if r.Answered != r.Offered || len(r.Violations()) != 0 || r.Resumes < r.Offered {
		t.Fatalf("broken: %+v", r)
	}
}

func TestRun_SeesEachViolation(t *testing.T) {
	for _, c := range []struct {
		kind   ViolationKind
		fault  func(*fakeDaemon)
		change func(*Config)
	}{
		{Doubled, func(d *fakeDaemon) { d.twice = true }, streams},
		{Gap, func(d *fakeDaemon) { d.skip = true }, streams},
		{WrongAnswer, func(d *fakeDaemon) { d.vary = true }, streams},
		{Lost, func(d *fakeDaemon) { d.drop = true }, streams},
		{FalseNotRun, func(d *fakeDaemon) { d.refuse = true }, streams},
		{Disagreement, func(d *fakeDaemon) { d.vary = true }, func(c *Config) { c.KeyedShare, c.RetryShare = 1, 1 }},
		{RanTwice, none, func(c *Config) { c.NotRepeatableShare, c.RetryShare = 1, 1 }},
	} {
		if r := drive(t, c.fault, c.change); kinds(r)[c.kind] == 0 {
			t.Errorf("%s not seen: %+v", c.kind, r)
		}
	}
}

func TestRun_RefusalsOfOneDaemonAreTakenElsewhere(t *testing.T) {
	first := true
	r := drive(t, func(d *fakeDaemon) { d.leaving, first = first, false }, func(c *Config) {
		c.Deadline = 20 * time.Second
		c.EngineURLs = nil
	})
	if r.Answered != r.Offered || r.SentElsewhere == 0 {
		t.Fatalf("%+v", r)
	}
}

func TestPlanner_DependsOnTheSeedAlone(t *testing.T) {
	cfg := Config{Callers: []Caller{{Share: 1}, {Share: 3}}, Rate: 10, KeyedShare: 0.5, RetryShare: 0.5, PromptTokens: 8, PrefixGroups: 2}
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
		t.Fatalf("arrivals by caller: %v", shares)
	}
}
