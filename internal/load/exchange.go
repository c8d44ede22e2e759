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
	requestIDHeader = "X-Request-Id"
	maxAnswerBytes  = 64 << 20
)

// resultKind says how one HTTP request to a daemon ended.
type resultKind uint8

const (
	resultComplete    resultKind = iota // the complete answer was received
	resultError                         // the daemon answered with an error
	resultMoved                         // the daemon named another one that has the request
	resultInterrupted                   // the connection broke, or the answer was unreadable
	resultUnsent                        // no byte of the request was sent
)

// result is the outcome of one HTTP request to a daemon. A field whose comment
// names a kind is set for that kind only.
type result struct {
	kind      resultKind
	code      verdict.Code    // resultError
	verdict   verdict.Verdict // resultError
	requestID string          // resultError: the ID that came with the error, if any
	address   string          // resultMoved
}

// errorReply is the body of an error response.
type errorReply struct {
	Error struct {
		Code    verdict.Code `json:"code"`
		Verdict string       `json:"verdict"`
	} `json:"error"`
}

// submission is the body of a new request to a model service.
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

// submit sends the request to a daemon as a new one and reads the response.
func (e *execution) submit(ctx context.Context, address string) result {
	req, err := e.newSubmitRequest(ctx, address)
	if err != nil {
		return result{kind: resultUnsent}
	}
	return e.roundTrip(req)
}

func (e *execution) newSubmitRequest(ctx context.Context, address string) (*http.Request, error) {
	service := "http://" + address + "/v1/services/" + url.PathEscape(string(e.cfg.Service))
	var req *http.Request
	var err error
	if e.cfg.PlainPath != "" {
		target := service + "/call/" + e.cfg.PlainPath
		req, err = http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader([]byte(e.plan.prompt)))
	} else {
		req, err = http.NewRequestWithContext(ctx, http.MethodPost, service+"/requests", bytes.NewReader(e.submissionBody()))
	}
	if err != nil {
		return nil, err
	}
	e.setCommonHeaders(req)
	if e.plan.key != "" {
		req.Header.Set("Idempotency-Key", e.plan.key)
	}
	if e.cfg.PlainPath != "" {
		req.Header.Set("X-Priority", strconv.Itoa(int(e.caller.Priority)))
		req.Header.Set("X-Deadline-Ms", strconv.FormatInt(e.cfg.Deadline.Milliseconds(), 10))
	}
	return req, nil
}

func (e *execution) submissionBody() []byte {
	body, _ := json.Marshal(submission{
		Model: e.cfg.Model, Prompt: e.plan.prompt, MaxTokens: e.cfg.MaxTokens, Seed: e.plan.seed,
		Stream: e.plan.stream, Priority: int(e.caller.Priority),
		DeadlineMS: e.cfg.Deadline.Milliseconds(), Repeatable: e.plan.repeatable,
	})
	return body
}

// resume asks a daemon for the remaining answer of an accepted request.
func (e *execution) resume(ctx context.Context, address string) result {
	target := "http://" + address + "/v1/requests/" + url.PathEscape(e.requestID)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return result{kind: resultUnsent}
	}
	e.setCommonHeaders(req)
	if e.plan.stream {
		req.Header.Set("Accept", "text/event-stream")
		if e.lastEventID != "" {
			req.Header.Set("Last-Event-ID", e.lastEventID)
		}
	}
	return e.roundTrip(req)
}

func (e *execution) setCommonHeaders(req *http.Request) {
	req.Header.Set("Authorization", "Bearer "+e.caller.Credential)
	req.Header.Set("Content-Type", "application/json")
}

// roundTrip sends one HTTP request and reads the response to its end.
func (e *execution) roundTrip(req *http.Request) result {
	ctx, tracker := onesend.TrackWrites(req.Context())
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{Got1xxResponse: e.readInformationalHeader})
	resp, err := e.client.Do(req.WithContext(ctx))
	if err != nil {
		if tracker.NothingWritten() {
			return result{kind: resultUnsent}
		}
		return result{kind: resultInterrupted}
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusSeeOther:
		return e.readRedirect(resp)
	case resp.StatusCode != http.StatusOK:
		return readErrorReply(resp)
	}
	e.noteRequestID(resp.Header.Get(requestIDHeader))
	if e.plan.stream {
		return e.readStream(resp.Body)
	}
	return e.readCompleteAnswer(resp.Body)
}

// readInformationalHeader reads the request ID from a 1xx response. It runs on
// the HTTP transport's goroutine, before Do returns.
func (e *execution) readInformationalHeader(_ int, header textproto.MIMEHeader) error {
	e.noteRequestID(header.Get(requestIDHeader))
	return nil
}

func (e *execution) readRedirect(resp *http.Response) result {
	location, err := resp.Location()
	if err != nil {
		return result{kind: resultInterrupted}
	}
	if id := resp.Header.Get(requestIDHeader); id != "" {
		e.noteRequestID(id)
	} else if id, ok := requestIDFromPath(location.Path); ok {
		e.noteRequestID(id)
	}
	return result{kind: resultMoved, address: location.Host}
}

func readErrorReply(resp *http.Response) result {
	var body errorReply
	_ = json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&body)
	r := result{kind: resultError, code: body.Error.Code, requestID: resp.Header.Get(requestIDHeader)}
	r.verdict = verdict.Parse(resp.Header.Get("X-Verdict"))
	if r.code == "" {
		r.code = verdict.Code("status-" + strconv.Itoa(resp.StatusCode))
	}
	return r
}
