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

// exchangeTimeout bounds one HTTP exchange of submitRequest and
// callPlainService.
const exchangeTimeout = 40 * time.Second

// callerRequest is one request of a caller to the model service.
type callerRequest struct {
	prompt       string
	maxTokens    int
	key          string
	stream       bool
	unrepeatable bool
	deadline     time.Duration
}

// reply is the outcome of one HTTP exchange with a daemon.
type reply struct {
	err          error // set if no complete reply was received
	sent         bool  // at least one byte was written to a connection
	status       int
	id           string
	code         string
	verdict      verdict.Verdict
	retryAfterMS int64
	text         string
	tokens       int
	lastEvent    string // name of the last event of a stream
	duration     time.Duration
}

// answered reports whether the complete answer was received.
func (r reply) answered() bool { return r.err == nil && r.status == http.StatusOK && r.code == "" }

func (r reply) String() string {
	return fmt.Sprintf("status %d code %q verdict %v after %s: %d bytes, last event %q, %v",
		r.status, r.code, r.verdict, r.duration.Round(time.Millisecond), len(r.text), r.lastEvent, r.err)
}

// submitRequest sends a request for the model service to daemon i.
func (c *cluster) submitRequest(i int, a callerRequest) reply {
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
	return c.sendHTTP(i, http.MethodPost, "/v1/services/"+string(modelService)+"/requests", body, a.key)
}

// callPlainService sends a write-down for the plain service to daemon i. The
// document of the service declares write-downs as not repeatable.
func (c *cluster) callPlainService(i int, body, key string) reply {
	return c.sendHTTP(i, http.MethodPost, "/v1/services/"+string(plainService)+"/call/write-downs", []byte(body), key)
}

// sendHTTP makes one HTTP call to daemon i with the caller's credential.
func (c *cluster) sendHTTP(i int, method, path string, body []byte, key string) (out reply) {
	start := time.Now()
	defer func() { out.duration = time.Since(start) }()
	ctx, sent := onesend.TrackWrites(context.Background())
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.daemons[i].report.Callers+path, bytes.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+callerToken)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	client := onesend.NewClient(exchangeTimeout)
	defer client.CloseIdleConnections()
	resp, err := client.Do(req)
	if err != nil {
		return reply{err: err, sent: !sent.NothingWritten()}
	}
	defer func() { _ = resp.Body.Close() }()
	out = reply{sent: true, status: resp.StatusCode, id: resp.Header.Get("X-Request-Id")}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		out.readStream(resp.Body)
		return out
	}
	out.readComplete(resp)
	return out
}

func (r *reply) readComplete(resp *http.Response) {
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
		r.decodeError(data)
	}
}

// decodeError copies code, verdict and retry delay from an error body.
func (r *reply) decodeError(data []byte) {
	var body struct {
		Error struct {
			Code         string `json:"code"`
			Verdict      string `json:"verdict"`
			RetryAfterMS int64  `json:"retry_after_ms"`
		} `json:"error"`
	}
	_ = json.Unmarshal(data, &body)
	r.code, r.verdict, r.retryAfterMS = body.Error.Code, verdict.Parse(body.Error.Verdict), body.Error.RetryAfterMS
}

// readStream reads server-sent events. It sets err if the stream ends without a
// final event.
func (r *reply) readStream(body io.Reader) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch name {
		case "event":
			r.lastEvent = value
		case "data":
			r.addEvent([]byte(value))
		}
	}
	if r.lastEvent != "done" && r.lastEvent != "moved" && r.lastEvent != "error" {
		r.err = fmt.Errorf("the stream ended after %d tokens without a final event: %w", r.tokens, io.ErrUnexpectedEOF)
	}
}

func (r *reply) addEvent(data []byte) {
	switch r.lastEvent {
	case "token":
		var t struct{ Text string }
		_ = json.Unmarshal(data, &t)
		r.text += t.Text
		r.tokens++
	case "error":
		r.decodeError(data)
	}
}

// loadConfig returns a load on the model service with every check enabled. Texts
// are checked only if all engines give the same answers.
func (c *cluster) loadConfig(rate float64, duration time.Duration) load.Config {
	cfg := load.Config{
		Service: modelService, ArrivalsPerSecond: rate, Duration: duration, Seed: 1,
		Callers:     []load.Caller{{Organisation: callerOrganisation, Credential: callerToken, Share: 1, Priority: 1}},
		StreamShare: 0.5, KeyedShare: 0.3, NotRepeatableShare: 0.1, ResendShare: 0.5,
		PromptTokens: 16, MaxTokens: 40, Deadline: 25 * time.Second, DeadlineGracePeriod: 15 * time.Second,
		CheckText: !c.options.distinctAnswers,
	}
	for _, d := range c.daemons {
		cfg.Addresses = append(cfg.Addresses, d.report.Callers)
	}
	for _, e := range c.addresses.Engines {
		cfg.EngineURLs = append(cfg.EngineURLs, "http://"+e.Address)
	}
	return cfg
}

// loadConfigForDaemon is loadConfig restricted to daemon i, with repeatable
// requests without keys.
func (c *cluster) loadConfigForDaemon(i int, rate float64, duration time.Duration) load.Config {
	cfg := c.loadConfig(rate, duration)
	cfg.Addresses = cfg.Addresses[i : i+1]
	cfg.KeyedShare, cfg.NotRepeatableShare = 0, 0
	cfg.Deadline = 5 * time.Second
	return cfg
}

// runningLoad is a load that was started and whose report is pending.
type runningLoad struct {
	t        testing.TB
	finished chan load.Report
}

func (c *cluster) startLoad(cfg load.Config) *runningLoad {
	l := &runningLoad{t: c.t, finished: make(chan load.Report, 1)}
	go func() {
		r, err := load.Run(context.Background(), cfg)
		if err != nil {
			c.t.Error(err)
		}
		l.finished <- r
	}()
	return l
}

// waitAndCheckProperties waits for the end of the load and checks that the report
// has no violation, that the run records of all engines were read and that at
// least one request was answered.
func (l *runningLoad) waitAndCheckProperties() load.Report {
	l.t.Helper()
	r := <-l.finished
	var text bytes.Buffer
	_ = r.WriteText(&text)
	l.t.Log(text.String())
	for _, v := range r.Violations() {
		l.t.Errorf("violation %s: request %s: %s", v.Kind, v.Request, v.Detail)
	}
	if len(r.UnreadableRunRecords) > 0 {
		l.t.Errorf("the run records of these engines could not be read: %v", r.UnreadableRunRecords)
	}
	if r.Answered == 0 {
		l.t.Error("the load got no answer to any request")
	}
	return r
}

// waitAndCheckAnswered does the checks of waitAndCheckProperties and also checks
// that each accepted request was answered.
func (l *runningLoad) waitAndCheckAnswered() load.Report {
	l.t.Helper()
	r := l.waitAndCheckProperties()
	if r.Failed > 0 || r.Lost > 0 {
		l.t.Errorf("of the accepted requests %d failed and %d were lost", r.Failed, r.Lost)
	}
	return r
}

// waitAndCheckConnections does the checks of waitAndCheckAnswered and also checks
// that no connection broke before its request was accepted.
func (l *runningLoad) waitAndCheckConnections() load.Report {
	l.t.Helper()
	r := l.waitAndCheckAnswered()
	if r.Unknown > 0 {
		l.t.Errorf("%d connections broke before their request was accepted", r.Unknown)
	}
	return r
}
