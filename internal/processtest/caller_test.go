package processtest

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/load"
	"github.com/gooseberryslip/gooseberryslip/internal/provider/onesend"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// callLimit bounds one exchange of the tests' own callers.
const callLimit = 40 * time.Second

// ask is one request of a caller.
type ask struct {
	prompt       string
	maxTokens    int
	key          string
	stream       bool
	unrepeatable bool
	deadline     time.Duration
}

// reply is what came back in one exchange.
type reply struct {
	err     error // no whole reply
	sent    bool  // something was written to a connection
	status  int
	id      string
	code    string
	verdict verdict.Verdict
	retryMS int64
	text    string
	tokens  int
	last    string // name of the last event of a stream
	took    time.Duration
}

// answered reports whether the whole answer has come.
func (r reply) answered() bool { return r.err == nil && r.status == http.StatusOK && r.code == "" }

func (r reply) String() string {
	return fmt.Sprintf("status %d code %q verdict %v after %s: %d bytes, last event %q, %v",
		r.status, r.code, r.verdict, r.took.Round(time.Millisecond), len(r.text), r.last, r.err)
}

// submit sends a request to the model service at one daemon.
func (c *cluster) submit(i int, a ask) reply {
	if a.maxTokens == 0 {
		a.maxTokens = 8
	}
	if a.deadline == 0 {
		a.deadline = 20 * time.Second
	}
	body, _ := json.Marshal(map[string]any{
		"model": "m", "prompt": a.prompt, "max_tokens": a.maxTokens, "seed": 1, "stream": a.stream,
		"deadline_ms": a.deadline.Milliseconds(), "repeatable": !a.unrepeatable,
	})
	return c.exchange(i, http.MethodPost, "/v1/services/"+string(modelService)+"/requests", body, a.key)
}

// call sends a write-down, which is not repeatable, to the plain service.
func (c *cluster) call(i int, body, key string) reply {
	return c.exchange(i, http.MethodPost, "/v1/services/"+string(plainService)+"/call/write-downs", []byte(body), key)
}

// exchange makes one HTTP call with the caller's credential.
func (c *cluster) exchange(i int, method, path string, body []byte, key string) (out reply) {
	start := time.Now()
	defer func() { out.took = time.Since(start) }()
	ctx, sent := onesend.Track(context.Background())
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.daemons[i].report.Callers+path, bytes.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+callerToken)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	client := onesend.NewClient(callLimit)
	defer client.CloseIdleConnections()
	resp, err := client.Do(req)
	if err != nil {
		return reply{err: err, sent: !sent.Nothing()}
	}
	defer func() { _ = resp.Body.Close() }()
	out = reply{sent: true, status: resp.StatusCode, id: resp.Header.Get("X-Request-Id")}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		out.readStream(resp.Body)
		return out
	}
	out.readWhole(resp)
	return out
}

func (r *reply) readWhole(resp *http.Response) {
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		r.err = err
		return
	}
	var answer struct{ Text string }
	_ = json.Unmarshal(data, &answer)
	r.text = answer.Text
	if answer.Text == "" {
		r.text = string(data)
	}
	if r.status >= http.StatusBadRequest {
		r.failed(data)
	}
}

// failed reads an error object.
func (r *reply) failed(data []byte) {
	var body struct {
		Error struct {
			Code         string `json:"code"`
			Verdict      string `json:"verdict"`
			RetryAfterMS int64  `json:"retry_after_ms"`
		} `json:"error"`
	}
	_ = json.Unmarshal(data, &body)
	r.code, r.verdict, r.retryMS = body.Error.Code, verdict.Parse(body.Error.Verdict), body.Error.RetryAfterMS
}

// readStream reads server-sent events. A stream that ends without a final
// event is an error.
func (r *reply) readStream(body io.Reader) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch name {
		case "event":
			r.last = value
		case "data":
			r.event([]byte(value))
		}
	}
	if r.last != "done" && r.last != "moved" && r.last != "error" {
		r.err = fmt.Errorf("the stream ended after %d tokens without a final event: %w", r.tokens, io.ErrUnexpectedEOF)
	}
}

func (r *reply) event(data []byte) {
	switch r.last {
	case "token":
		var t struct{ Text string }
		_ = json.Unmarshal(data, &t)
		r.text += t.Text
		r.tokens++
	case "error":
		r.failed(data)
	}
}

// loadConfig returns a load on the model service that checks all it can.
func (c *cluster) loadConfig(rate float64, d time.Duration) load.Config {
	cfg := load.Config{
		Service: modelService, Rate: rate, Duration: d, Seed: 1,
		Callers:     []load.Caller{{Organisation: caller, Credential: callerToken, Share: 1, Priority: 1}},
		StreamShare: 0.5, KeyedShare: 0.3, NotRepeatableShare: 0.1, RetryShare: 0.5,
		PromptTokens: 16, MaxTokens: 40, Deadline: 25 * time.Second, Patience: 15 * time.Second,
		CheckText: !c.options.variants,
	}
	for _, d := range c.daemons {
		cfg.Addresses = append(cfg.Addresses, d.report.Callers)
	}
	for _, e := range c.addresses.Engines {
		cfg.EngineURLs = append(cfg.EngineURLs, "http://"+e.Address)
	}
	return cfg
}

// loadConfigAt is loadConfig for unkeyed requests to one daemon alone.
func (c *cluster) loadConfigAt(i int, rate float64, d time.Duration) load.Config {
	cfg := c.loadConfig(rate, d)
	cfg.Addresses = cfg.Addresses[i : i+1]
	cfg.KeyedShare, cfg.NotRepeatableShare = 0, 0
	cfg.Deadline = 5 * time.Second
	return cfg
}

// runningLoad is a load under way.
type runningLoad struct {
	t    testing.TB
	done chan load.Report
}

func (c *cluster) startLoad(cfg load.Config) *runningLoad {
	l := &runningLoad{t: c.t, done: make(chan load.Report, 1)}
	go func() {
		r, err := load.Run(context.Background(), cfg)
		if err != nil {
			c.t.Error(err)
		}
		l.done <- r
	}()
	return l
}

// safe waits for the load's end and checks that no property was violated and
// that there was work at all.
func (l *runningLoad) safe() load.Report {
	l.t.Helper()
	r := <-l.done
	var text bytes.Buffer
	_ = r.WriteText(&text)
	l.t.Log(text.String())
	for _, v := range r.Violations() {
		l.t.Errorf("%s: request %s: %s", v.Kind, v.Request, v.Detail)
	}
	if len(r.MissingRuns) > 0 {
		l.t.Errorf("no record of runs from %v", r.MissingRuns)
	}
	if r.Answered == 0 {
		l.t.Error("nothing was answered")
	}
	return r
}

// kept checks, beyond safe, that each accepted request was answered.
func (l *runningLoad) kept() load.Report {
	l.t.Helper()
	r := l.safe()
	if r.Failed > 0 || r.Lost > 0 {
		l.t.Errorf("%d failed, %d lost", r.Failed, r.Lost)
	}
	return r
}

// uncut checks, beyond kept, that no connection broke under a request that was
// not accepted yet.
func (l *runningLoad) uncut() load.Report {
	l.t.Helper()
	r := l.kept()
	if r.Unknown > 0 {
		l.t.Errorf("%d connections broke before a request was accepted", r.Unknown)
	}
	return r
}
