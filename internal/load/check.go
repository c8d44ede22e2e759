package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/provider/onesend"
	"github.com/gooseberryslip/gooseberryslip/internal/standin"
)

const fetchRunsTimeout = 10 * time.Second

// ViolationKind names a guarantee of the system that a run found broken.
type ViolationKind string

const (
	// LostRequest: an accepted request got no final answer in time.
	LostRequest ViolationKind = "lost"
	// DuplicateToken: a token was received twice.
	DuplicateToken ViolationKind = "doubled"
	// MissingToken: a token is missing from a stream, or an event has no readable
	// token or index.
	MissingToken ViolationKind = "gap"
	// ForeignReply: a reply belongs to another request.
	ForeignReply ViolationKind = "crossed"
	// WrongAnswer: the answer differs from the expected text for the prompt.
	WrongAnswer ViolationKind = "wrong-answer"
	// ConflictingAnswers: two answers for one idempotency key differ.
	ConflictingAnswers ViolationKind = "disagreement"
	// FalseNotRun: a request was reported to its caller as not run, but has run.
	FalseNotRun ViolationKind = "false-not-run"
	// RanTwice: a request that is not repeatable ran more than once.
	RanTwice ViolationKind = "ran-twice"
)

// Violation is one case in which a guarantee did not hold.
type Violation struct {
	Kind    ViolationKind `json:"kind"`
	Request string        `json:"request,omitempty"`
	Detail  string        `json:"detail"`
}

// checkAnswer compares an answer with the expected text and with the first
// answer for the same idempotency key.
func (e *execution) checkAnswer() {
	if e.cfg.CheckText && e.answer != e.expectedAnswer() {
		e.recordViolation(WrongAnswer, fmt.Sprintf("%d bytes, want %d", len(e.answer), len(e.expectedAnswer())))
	}
	if e.plan.key != "" && !e.recorder.matchesFirstAnswer(e.plan.key, e.answer) {
		e.recordViolation(ConflictingAnswers, "key "+e.plan.key)
	}
}

func (e *execution) expectedAnswer() string {
	if e.cfg.PlainPath != "" {
		return e.plan.prompt
	}
	return standin.ExpectedText(e.plan.prompt, e.plan.seed, e.cfg.MaxTokens)
}

// reportedOutcome is what the system reported to the caller of one request,
// summed up over the request's first submission, retries and resend.
type reportedOutcome struct {
	promptDigest string
	repeatable   bool
	allNotRun    bool     // every execution was refused as not run
	notRunIDs    []string // request IDs reported as not run
	description  string   // identifies the request in violations
}

// runCounts holds how often the backend servers ran each prompt and each
// request, by their own records.
type runCounts struct {
	byPromptDigest map[string]int
	byRequestID    map[string]int
}

// fetchRuns reads the run records of all backend servers. It also returns the
// URLs of those whose record could not be read.
func fetchRuns(ctx context.Context, urls []string) (runCounts, []string) {
	counts := runCounts{byPromptDigest: make(map[string]int), byRequestID: make(map[string]int)}
	client := onesend.NewClient(fetchRunsTimeout)
	var unreadable []string
	for _, serverURL := range urls {
		runs, err := fetchServerRuns(ctx, client, serverURL)
		if err != nil {
			unreadable = append(unreadable, serverURL)
			continue
		}
		for _, r := range runs {
			counts.byPromptDigest[r.PromptDigest]++
			counts.byRequestID[r.RequestID]++
		}
	}
	return counts, unreadable
}

func fetchServerRuns(ctx context.Context, client *onesend.Client, serverURL string) ([]standin.Run, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, serverURL+"/_runs", nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var runs []standin.Run
	return runs, json.NewDecoder(resp.Body).Decode(&runs)
}

// checkRuns compares the outcomes reported to callers with the runs that the
// backend servers recorded.
func checkRuns(reported []reportedOutcome, counts runCounts) []Violation {
	var violations []Violation
	for _, o := range reported {
		runCount := counts.byPromptDigest[o.promptDigest]
		if o.allNotRun && runCount > 0 {
			violations = append(violations, Violation{Kind: FalseNotRun, Detail: o.description})
		}
		if !o.repeatable && runCount > 1 {
			violations = append(violations, Violation{Kind: RanTwice, Detail: fmt.Sprintf("%s: %d runs", o.description, runCount)})
		}
		for _, id := range o.notRunIDs {
			if !o.allNotRun && id != "" && counts.byRequestID[id] > 0 {
				violations = append(violations, Violation{Kind: FalseNotRun, Request: id, Detail: o.description})
			}
		}
	}
	return violations
}
