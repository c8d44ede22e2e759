package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"strconv"

	"github.com/gooseberryslip/gooseberryslip/internal/provider/onesend"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

const (
	headerRequest = "X-Request-Id"
	maxAnswerSize = 64 << 20
)

// resultKind says how one HTTP exchange ended.
type resultKind uint8

const (
	resultWhole  resultKind = iota // the whole answer has come
	resultError                    // an answer that is an error
	resultMoved                    // another daemon has the request
	resultBroken                   // the connection broke
	resultUnsent                   // no byte was sent
)

// result is the outcome of one exchange with a daemon.
type result struct {
	kind    resultKind
	code    verdict.Code    // resultError
	verdict verdict.Verdict // resultError
	request string          // the id in the error's head, if any
	address string          // resultMoved
}

// errorReply is the body of an error.
type errorReply struct {
	Error struct {
		Code    verdict.Code `json:"code"`
		Verdict string       `json:"verdict"`
	} `json:"error"`
}

type submission struct {
	Model      string `json:"model"`
	Prompt     string `json:"prompt"`
	MaxTokens  int    `json:"max_tokens"`
	Seed       uint64 `json:"seed"`
	Stream     bool   `json:"stream"`
	Priority   int    `json:"priority"`
	DeadlineMS int64  `json:"deadline_ms"`
	Repeatable bool   `json:"repeatable"`
}

// submit sends the request to a daemon and reads what comes.
func (e *execution) submit(ctx context.Context, address string) result {
	req, err := e.submitRequest(ctx, address)
	if err != nil {
		return result{kind: resultUnsent}
	}
	return e.exchange(req)
}

func (e *execution) submitRequest(ctx context.Context, address string) (*http.Request, error) {
	service := "http://" + address + "/v1/services/" + url.PathEscape(string(e.cfg.Service))
	var req *http.Request
	var err error
	if e.cfg.Plain != "" {
		target := service + "/call/" + e.cfg.Plain
		req, err = http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader([]byte(e.plan.prompt)))
	} else {
		req, err = http.NewRequestWithContext(ctx, http.MethodPost, service+"/requests", bytes.NewReader(e.body()))
	}
	if err != nil {
		return nil, err
	}
	e.authorise(req)
	if e.plan.key != "" {
		req.Header.Set("Idempotency-Key", e.plan.key)
	}
	if e.cfg.Plain != "" {
		req.Header.Set("X-Priority", strconv.Itoa(int(e.caller.Priority)))
		req.Header.Set("X-Deadline-Ms", strconv.FormatInt(e.cfg.Deadline.Milliseconds(), 10))
	}
	return req, nil
}

func (e *execution) body() []byte {
	body, _ := json.Marshal(submission{
		Model: e.cfg.Model, Prompt: e.plan.prompt, MaxTokens: e.cfg.MaxTokens, Seed: e.plan.seed,
		Stream: e.plan.stream, Priority: int(e.caller.Priority),
		DeadlineMS: e.cfg.Deadline.Milliseconds(), Repeatable: e.plan.repeatable,
	})
	return body
}

// resume asks a daemon for the rest of an accepted request.
func (e *execution) resume(ctx context.Context, address string) result {
	target := "http://" + address + "/v1/requests/" + url.PathEscape(e.request)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return result{kind: resultUnsent}
	}
	e.authorise(req)
	if e.plan.stream {
		req.Header.Set("Accept", "text/event-stream")
		if e.lastID != "" {
			req.Header.Set("Last-Event-ID", e.lastID)
		}
	}
	return e.exchange(req)
}

func (e *execution) authorise(req *http.Request) {
	req.Header.Set("Authorization", "Bearer "+e.caller.Credential)
	req.Header.Set("Content-Type", "application/json")
}

// exchange sends one HTTP request and reads the reply to its end.
func (e *execution) exchange(req *http.Request) result {
	ctx, sent := onesend.Track(req.Context())
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{Got1xxResponse: e.earlyHead})
	resp, err := e.http.Do(req.WithContext(ctx))
	if err != nil {
		if sent.Nothing() {
			return result{kind: resultUnsent}
		}
		return result{kind: resultBroken}
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusSeeOther:
		return e.movedTo(resp)
	case resp.StatusCode != http.StatusOK:
		return readError(resp)
	}
	e.accept(resp.Header.Get(headerRequest))
	if e.plan.stream {
		return e.readStream(resp.Body)
	}
	return e.readWhole(resp.Body)
}

// earlyHead reads the request's id from an informational reply. It runs on the
// transport's goroutine, before Do returns.
func (e *execution) earlyHead(_ int, header textproto.MIMEHeader) error {
	e.accept(header.Get(headerRequest))
	return nil
}

func (e *execution) movedTo(resp *http.Response) result {
	location, err := resp.Location()
	if err != nil {
		return result{kind: resultBroken}
	}
	if id := resp.Header.Get(headerRequest); id != "" {
		e.accept(id)
	} else if id, ok := requestIn(location.Path); ok {
		e.accept(id)
	}
	return result{kind: resultMoved, address: location.Host}
}

func readError(resp *http.Response) result {
	var body errorReply
	_ = json.NewDecoder(io.LimitReader(resp.Body, maxAnswerSize)).Decode(&body)
	r := result{kind: resultError, code: body.Error.Code, request: resp.Header.Get(headerRequest)}
	r.verdict = verdict.Parse(resp.Header.Get("X-Verdict"))
	if r.code == "" {
		r.code = verdict.Code("status-" + strconv.Itoa(resp.StatusCode))
	}
	return r
}
