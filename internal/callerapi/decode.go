package callerapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/core"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

const (
	maxTokens        = 8192 // output tokens of one answer
	defaultMaxTokens = 256
	defaultPriority  = 2
	maxKeyLength     = 128 // characters of an Idempotency-Key
)

// submission is the body of POST /v1/services/{service}/requests.
type submission struct {
	Model      string `json:"model"`
	Prompt     string `json:"prompt"`
	MaxTokens  *int   `json:"max_tokens"` // of the answer; nil: defaultMaxTokens
	Seed       uint64 `json:"seed"`
	Stream     bool   `json:"stream"`
	Priority   *int   `json:"priority"`    // 0 is the most urgent; nil: defaultPriority
	DeadlineMS *int64 `json:"deadline_ms"` // from now on; nil: the server's default
	Repeatable *bool  `json:"repeatable"`  // nil: true
}

// readBody reads a request body. It returns an error if the body exceeds the
// server's limit.
func (s *server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.limits.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, verdict.New(verdict.NotRun, "too-large", fmt.Sprintf("the body is larger than %d bytes", s.limits.MaxBodyBytes))
	}
	if err != nil {
		return nil, badRequest("the body broke off: " + err.Error())
	}
	return body, nil
}

// decodeSubmission decodes the JSON body of a submission. It rejects unknown
// fields and anything after the JSON value.
func decodeSubmission(body []byte) (*submission, error) {
	var sub submission
	dec := json.NewDecoder(strings.NewReader(string(body)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&sub); err != nil {
		return nil, badRequest("the body is no valid submission: " + err.Error())
	}
	if dec.More() {
		return nil, badRequest("the body has more than one JSON value")
	}
	return &sub, nil
}

// completionWork validates a submission and converts it into work for the core.
func completionWork(sub *submission) (core.Work, error) {
	tokens := orDefault(sub.MaxTokens, defaultMaxTokens)
	if tokens < 1 || tokens > maxTokens {
		return core.Work{}, badRequest(fmt.Sprintf("max_tokens must be from 1 to %d", maxTokens))
	}
	if sub.Prompt == "" {
		return core.Work{}, badRequest("prompt is missing")
	}
	priority, err := checkPriority(orDefault(sub.Priority, defaultPriority))
	if err != nil {
		return core.Work{}, err
	}
	return core.Work{
		Completion: &core.Completion{Model: sub.Model, Prompt: sub.Prompt, MaxTokens: tokens, Seed: sub.Seed},
		Priority:   priority,
		Stream:     sub.Stream,
		Repeatable: orDefault(sub.Repeatable, true),
	}, nil
}

// orDefault returns *v, or def if v is nil.
func orDefault[T any](v *T, def T) T {
	if v == nil {
		return def
	}
	return *v
}

// checkPriority validates a priority sent by a caller and converts it.
func checkPriority(p int) (entity.Priority, error) {
	if p < 0 || p >= entity.PriorityCount {
		return 0, badRequest(fmt.Sprintf("priority must be from 0 to %d", entity.PriorityCount-1))
	}
	return entity.Priority(p), nil
}

// deadlineTimeout validates a deadline in milliseconds from now and converts it;
// nil stands for the default.
func (s *server) deadlineTimeout(deadlineMS *int64) (time.Duration, error) {
	if deadlineMS == nil {
		return s.limits.DefaultTimeout, nil
	}
	maxMS := s.limits.MaxTimeout.Milliseconds()
	if *deadlineMS < 1 || *deadlineMS > maxMS {
		return 0, badRequest(fmt.Sprintf("the deadline must be from 1 to %d ms", maxMS))
	}
	return time.Duration(*deadlineMS) * time.Millisecond, nil
}

// parseIdempotencyKey returns the value of the header Idempotency-Key, or "" if
// the request has none.
func parseIdempotencyKey(r *http.Request) (string, error) {
	values := r.Header.Values("Idempotency-Key")
	if len(values) == 0 {
		return "", nil
	}
	key := values[0]
	if len(values) > 1 || len(key) < 1 || len(key) > maxKeyLength || !isPrintableASCII(key) {
		return "", badRequest(fmt.Sprintf("Idempotency-Key must be one value of 1 to %d printable ASCII characters", maxKeyLength))
	}
	return key, nil
}

// isPrintableASCII reports whether s contains only printable ASCII characters
// other than the space.
func isPrintableASCII(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// parseHeaderInt parses the integer in a header; it returns nil if the request
// does not have the header.
func parseHeaderInt(r *http.Request, name string) (*int64, error) {
	v := r.Header.Get(name)
	if v == "" {
		return nil, nil
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		return nil, badRequest(name + " must be a whole number")
	}
	return &n, nil
}
