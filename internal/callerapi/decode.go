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
	maxTokens       = 8192
	defaultTokens   = 256
	defaultPriority = 2
	maxKey          = 128
)

// submission is the body of POST /v1/services/{service}/requests.
type submission struct {
	Model      string `json:"model"`
	Prompt     string `json:"prompt"`
	MaxTokens  *int   `json:"max_tokens"`
	Seed       uint64 `json:"seed"`
	Stream     bool   `json:"stream"`
	Priority   *int   `json:"priority"`
	DeadlineMS *int64 `json:"deadline_ms"`
	Repeatable *bool  `json:"repeatable"`
}

// readBody reads a body of bounded size.
func (s *server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.limits.MaxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, verdict.New(verdict.NotRun, "too-large", fmt.Sprintf("the body is larger than %d bytes", s.limits.MaxBody))
	}
	if err != nil {
		return nil, badRequest("the body broke off: " + err.Error())
	}
	return body, nil
}

// decodeSubmission parses a body strictly.
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

// completionWork checks a submission and converts it.
func completionWork(sub *submission) (core.Work, error) {
	tokens := orDefault(sub.MaxTokens, defaultTokens)
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

// orDefault returns the value or, if there is none, the default.
func orDefault[T any](v *T, def T) T {
	if v == nil {
		return def
	}
	return *v
}

// checkPriority converts a priority.
func checkPriority(p int) (entity.Priority, error) {
	if p < 0 || p >= entity.PriorityCount {
		return 0, badRequest(fmt.Sprintf("priority must be from 0 to %d", entity.PriorityCount-1))
	}
	return entity.Priority(p), nil
}

// timeout converts a deadline in milliseconds; nil stands for the default.
func (s *server) timeout(ms *int64) (time.Duration, error) {
	if ms == nil {
		return s.limits.DefaultTimeout, nil
	}
	most := s.limits.MaxTimeout.Milliseconds()
	if *ms < 1 || *ms > most {
		return 0, badRequest(fmt.Sprintf("the deadline must be from 1 to %d ms", most))
	}
	return time.Duration(*ms) * time.Millisecond, nil
}

// idempotencyKey reads and checks the header.
func idempotencyKey(r *http.Request) (string, error) {
	values := r.Header.Values("Idempotency-Key")
	if len(values) == 0 {
		return "", nil
	}
	key := values[0]
	if len(values) > 1 || len(key) < 1 || len(key) > maxKey || !printable(key) {
		return "", badRequest(fmt.Sprintf("Idempotency-Key must be one value of 1 to %d printable ASCII characters", maxKey))
	}
	return key, nil
}

// printable reports whether a string is printable ASCII without spaces.
func printable(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// headerNumber reads an optional whole number from a header.
func headerNumber(r *http.Request, name string) (*int64, error) {
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
