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

const runsTimeout = 10 * time.Second

// ViolationKind names a property that did not hold.
type ViolationKind string

const (
	// Lost: an accepted request had no final answer in time.
	Lost ViolationKind = "lost"
	// Doubled: a token came twice.
	Doubled ViolationKind = "doubled"
	// Gap: a token is missing.
	Gap ViolationKind = "gap"
	// Crossed: a reply belongs to another request.
	Crossed ViolationKind = "crossed"
	// WrongAnswer: the answer is not the one that the prompt asks for.
	WrongAnswer ViolationKind = "wrong-answer"
	// Disagreement: two answers for one key differ.
	Disagreement ViolationKind = "disagreement"
	// FalseNotRun: a request that was told as not run has run.
	FalseNotRun ViolationKind = "false-not-run"
	// RanTwice: a request that is not repeatable ran more than once.
	RanTwice ViolationKind = "ran-twice"
)

// Violation is one case in which a property did not hold.
type Violation struct {
	Kind    ViolationKind `json:"kind"`
	Request string        `json:"request,omitempty"`
	Detail  string        `json:"detail"`
}

// checkAnswer compares an answer with what it should be and with other answers
// for the same key.
func (e *execution) checkAnswer() {
	if e.cfg.CheckText && e.answer != e.expected() {
		e.violate(WrongAnswer, fmt.Sprintf("%d bytes, want %d", len(e.answer), len(e.expected())))
	}
	if e.plan.key != "" && !e.record.agrees(e.plan.key, e.answer) {
		e.violate(Disagreement, "key "+e.plan.key)
	}
}

func (e *execution) expected() string {
	if e.cfg.Plain != "" {
		return e.plan.prompt
	}
	return standin.ExpectedText(e.plan.prompt, e.plan.seed, e.cfg.MaxTokens)
}

// told is what one request's caller has been told over all its sends.
type told struct {
	digest      string
	repeatable  bool
	allNotRun   bool
	notRun      []string // ids told as not run
	description string
}

// runRecord is what the backend servers say about their executions.
type runRecord struct {
	byDigest  map[string]int
	byRequest map[string]int
}

// fetchRuns reads the records of all backend servers. Those that cannot be
// read are returned by URL.
func fetchRuns(ctx context.Context, urls []string) (runRecord, []string) {
	record := runRecord{byDigest: make(map[string]int), byRequest: make(map[string]int)}
	client := onesend.NewClient(runsTimeout)
	var missing []string
	for _, u := range urls {
		runs, err := fetchRunsOf(ctx, client, u)
		if err != nil {
			missing = append(missing, u)
			continue
		}
		for _, r := range runs {
			record.byDigest[r.PromptDigest]++
			record.byRequest[r.Request]++
		}
	}
	return record, missing
}

func fetchRunsOf(ctx context.Context, client *onesend.Client, url string) ([]standin.Run, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/_runs", nil)
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

// checkRuns compares what callers were told with what has run.
func checkRuns(all []told, record runRecord) []Violation {
	var out []Violation
	for _, t := range all {
		runs := record.byDigest[t.digest]
		if t.allNotRun && runs > 0 {
			out = append(out, Violation{Kind: FalseNotRun, Detail: t.description})
		}
		if !t.repeatable && runs > 1 {
			out = append(out, Violation{Kind: RanTwice, Detail: fmt.Sprintf("%s: %d runs", t.description, runs)})
		}
		for _, id := range t.notRun {
			if !t.allNotRun && id != "" && record.byRequest[id] > 0 {
				out = append(out, Violation{Kind: FalseNotRun, Request: id, Detail: t.description})
			}
		}
	}
	return out
}
