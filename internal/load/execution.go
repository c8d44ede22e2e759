package load

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/clock"
	"github.com/gooseberryslip/gooseberryslip/internal/provider/onesend"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

const (
	maxSubmissions   = 8                      // per execution
	resumeDelay      = 100 * time.Millisecond // before a resume, unless a daemon named the one that has the request
	submitRetryDelay = 50 * time.Millisecond  // between two submissions

	// CodeUnreachable is set by the load generator itself, not by a daemon: it
	// could not send the request to any daemon.
	CodeUnreachable verdict.Code = "unreachable"

	// codeRestarted is a daemon's answer when the start of a stream was lost and
	// the request was run again: the new stream must be read from its start.
	codeRestarted verdict.Code = "restarted"
)

// outcomeKind is the outcome of a request as its caller sees it.
type outcomeKind uint8

const (
	outcomeAnswered outcomeKind = iota // the complete answer was received
	outcomeRefused                     // reported as not run
	outcomeFailed                      // reported as failed; it may have run
	outcomeUnknown                     // the connection broke before acceptance; it may have run
	outcomeLost                        // accepted, but no final answer was received in time
)

// outcome is the result of one execution.
type outcome struct {
	kind        outcomeKind
	accepted    bool
	code        verdict.Code
	verdict     verdict.Verdict
	notRunIDs   []string // IDs of submissions reported as not run; "" where the refusal had no ID
	interrupted bool     // a connection broke, so a submission may have run unnoticed
}

// execution sends one planned request, with retries and resumes, until it has an
// outcome.
type execution struct {
	cfg       *Config
	caller    *Caller
	plan      plannedRequest
	client    *onesend.Client
	directory *addressDirectory
	recorder  *recorder
	plannedAt time.Time // when the request should be sent

	mu        sync.Mutex // guards requestID, which the HTTP transport's goroutine also sets
	requestID string     // ID of the accepted request; empty until it is accepted

	lastTokenIndex int    // 0 before the first token
	lastEventID    string // event ID of the last token
	streamedText   strings.Builder
	answer         string
	notRunIDs      []string
	interrupted    bool
	lastTokenAt    time.Time // zero before the first token
}

// noteRequestID stores the ID that the system gave the request, which marks it
// as accepted. Another ID later is a violation.
func (e *execution) noteRequestID(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if id == "" || id == e.requestID {
		return
	}
	if e.requestID != "" {
		e.recorder.addViolation(Violation{Kind: ForeignReply, Request: e.requestID, Detail: "reply of request " + id})
		return
	}
	e.requestID = id
}

func (e *execution) accepted() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requestID != ""
}

func (e *execution) recordViolation(k ViolationKind, detail string) {
	e.recorder.addViolation(Violation{Kind: k, Request: e.requestID, Detail: detail})
}

// run sends the request until it has an outcome: first to the given address,
// then to other daemons.
func (e *execution) run(ctx context.Context, address string) outcome {
	ctx, cancel := context.WithTimeout(ctx, e.cfg.Deadline+e.cfg.DeadlineGracePeriod)
	defer cancel()
	for range maxSubmissions {
		e.resetSubmission()
		r := e.submit(ctx, address)
		if e.accepted() && (r.kind == resultInterrupted || r.kind == resultMoved) {
			return e.resumeUntilFinal(ctx, r, address)
		}
		if o, final := e.submissionOutcome(r); final {
			return o
		}
		if ctx.Err() != nil {
			break
		}
		address = e.directory.pickAddress(address)
		clock.Wait(ctx, submitRetryDelay)
	}
	if e.interrupted {
		return e.withSubmissionState(outcome{kind: outcomeUnknown})
	}
	return e.withSubmissionState(outcome{kind: outcomeRefused, code: CodeUnreachable, verdict: verdict.NotRun})
}

// resetSubmission clears the request ID and the tokens of an earlier submission
// before the request is sent again.
func (e *execution) resetSubmission() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requestID = ""
	e.resetStream()
}

// resetStream drops the received tokens of a stream that will be read again from
// its start.
func (e *execution) resetStream() {
	e.lastTokenIndex = 0
	e.lastEventID = ""
	e.streamedText.Reset()
}

// submissionOutcome converts the result of a submission into an outcome. It
// returns false if the request may be sent again.
func (e *execution) submissionOutcome(r result) (outcome, bool) {
	switch r.kind {
	case resultComplete:
		return e.withSubmissionState(outcome{kind: outcomeAnswered}), true
	case resultUnsent:
		return outcome{}, false
	case resultError:
		return e.errorOutcome(r)
	default:
		// The request may have run. Sending it again is safe only with an
		// idempotency key.
		e.interrupted = true
		return e.withSubmissionState(outcome{kind: outcomeUnknown}), e.plan.key == ""
	}
}

func (e *execution) errorOutcome(r result) (outcome, bool) {
	if r.verdict != verdict.NotRun {
		return e.withSubmissionState(outcome{kind: outcomeFailed, code: r.code, verdict: r.verdict}), true
	}
	e.notRunIDs = append(e.notRunIDs, r.requestID)
	if singleDaemonRefusals[r.code] {
		e.recorder.countSentElsewhere(r.code)
		return outcome{}, false
	}
	return e.withSubmissionState(outcome{kind: outcomeRefused, code: r.code, verdict: r.verdict}), true
}

// singleDaemonRefusals holds the codes of refusals that concern only the daemon
// that sent them: another daemon may accept the request.
var singleDaemonRefusals = map[verdict.Code]bool{"leaving": true, "isolated": true}

// resumeUntilFinal asks other daemons for the remaining answer of an accepted
// request until it has a final result.
func (e *execution) resumeUntilFinal(ctx context.Context, r result, address string) outcome {
	for ctx.Err() == nil {
		if r.kind == resultMoved && r.address != "" {
			address = r.address
		} else {
			clock.Wait(ctx, resumeDelay)
			address = e.directory.pickAddress(address)
		}
		e.recorder.countResume()
		r = e.resume(ctx, address)
		switch {
		case r.kind == resultComplete:
			return e.withSubmissionState(outcome{kind: outcomeAnswered})
		case r.kind == resultError && r.code == codeRestarted:
			e.resetStream()
		case r.kind == resultError && e.endsRequest(r):
			return e.resumeErrorOutcome(r)
		}
	}
	return e.withSubmissionState(outcome{kind: outcomeLost})
}

func (e *execution) resumeErrorOutcome(r result) outcome {
	if r.verdict == verdict.NotRun {
		e.notRunIDs = append(e.notRunIDs, e.requestID)
		return e.withSubmissionState(outcome{kind: outcomeRefused, code: r.code, verdict: r.verdict})
	}
	return e.withSubmissionState(outcome{kind: outcomeFailed, code: r.code, verdict: r.verdict})
}

// endsRequest reports whether an error in response to a resume is the final
// result of the request, rather than one daemon's refusal to look it up.
func (e *execution) endsRequest(r result) bool {
	if singleDaemonRefusals[r.code] || r.code == "unknown-request" {
		return false
	}
	return r.requestID == e.requestID || r.verdict != verdict.NotRun
}

// withSubmissionState fills in the outcome's fields that the execution collected
// over its submissions.
func (e *execution) withSubmissionState(o outcome) outcome {
	o.accepted = e.accepted()
	o.notRunIDs = e.notRunIDs
	o.interrupted = e.interrupted
	return o
}

// recordTokenTime records the latency of a token received now: of the first one
// since the planned arrival, of later ones since the previous token.
func (e *execution) recordTokenTime(now time.Time) {
	if e.lastTokenAt.IsZero() {
		e.recorder.recordFirstToken(e.plan.caller, now.Sub(e.plannedAt))
	} else {
		e.recorder.recordBetweenTokens(now.Sub(e.lastTokenAt))
	}
	e.lastTokenAt = now
}
