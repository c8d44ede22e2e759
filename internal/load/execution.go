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
	maxSubmissions = 8
	resumePause    = 100 * time.Millisecond
	sendPause      = 50 * time.Millisecond

	// CodeUnreachable is the driver's own refusal: no daemon could be reached.
	CodeUnreachable verdict.Code = "unreachable"

	// codeRestarted says that the stream's start has been lost: what there is
	// now is another run, to be read from its start.
	codeRestarted verdict.Code = "restarted"
)

// outcomeKind says what became of a request from its caller's view.
type outcomeKind uint8

const (
	outcomeAnswered outcomeKind = iota // the whole answer has come
	outcomeRefused                     // told that it was not run
	outcomeFailed                      // told that it failed and may have run
	outcomeUnknown                     // never accepted, and may have run
	outcomeLost                        // accepted, and nothing final has come
)

// outcome is the end of one execution.
type outcome struct {
	kind     outcomeKind
	accepted bool
	code     verdict.Code
	verdict  verdict.Verdict
	notRun   []string // ids that were told as not run, "" for none
	broken   bool     // a connection broke, so that it may have run unseen
}

// execution carries one planned request to its end.
type execution struct {
	cfg     *Config
	caller  *Caller
	plan    planned
	http    *onesend.Client
	dir     *directory
	record  *recorder
	planned time.Time // when it was due to be sent

	mu      sync.Mutex // guards request against the transport's goroutine
	request string     // the accepted request's id; empty until then

	index  int    // of the last token
	lastID string // event id of the last token
	text   strings.Builder
	answer string
	notRun []string
	broken bool
	last   time.Time // of the last token; zero before the first
}

// accept notes the id that the system has given.
func (e *execution) accept(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if id == "" || id == e.request {
		return
	}
	if e.request != "" {
		e.record.violation(Violation{Kind: Crossed, Request: e.request, Detail: "reply of request " + id})
		return
	}
	e.request = id
}

func (e *execution) accepted() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.request != ""
}

func (e *execution) violate(k ViolationKind, detail string) {
	e.record.violation(Violation{Kind: k, Request: e.request, Detail: detail})
}

// run sends the request until it has an outcome, first to the address.
func (e *execution) run(ctx context.Context, address string) outcome {
	ctx, cancel := context.WithTimeout(ctx, e.cfg.Deadline+e.cfg.Patience)
	defer cancel()
	for range maxSubmissions {
		e.reset()
		r := e.submit(ctx, address)
		if e.accepted() && (r.kind == resultBroken || r.kind == resultMoved) {
			return e.follow(ctx, r, address)
		}
		if o, final := e.judge(r); final {
			return o
		}
		if ctx.Err() != nil {
			break
		}
		address = e.dir.pick(address)
		clock.Wait(ctx, sendPause)
	}
	if e.broken {
		return e.end(outcome{kind: outcomeUnknown})
	}
	return e.end(outcome{kind: outcomeRefused, code: CodeUnreachable, verdict: verdict.NotRun})
}

// reset forgets what an earlier submission, which was not run, has brought.
func (e *execution) reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.request = ""
	e.startOver()
}

// startOver forgets the tokens of a stream that will be read from its start.
func (e *execution) startOver() {
	e.index = 0
	e.lastID = ""
	e.text.Reset()
}

// judge turns the result of a submission into an outcome, unless the request
// may be sent again.
func (e *execution) judge(r result) (outcome, bool) {
	switch r.kind {
	case resultWhole:
		return e.end(outcome{kind: outcomeAnswered}), true
	case resultUnsent:
		return outcome{}, false
	case resultError:
		return e.judgeError(r)
	default:
		// The request may have run. Only with a key is it safe to send again.
		e.broken = true
		return e.end(outcome{kind: outcomeUnknown}), e.plan.key == ""
	}
}

func (e *execution) judgeError(r result) (outcome, bool) {
	if r.verdict != verdict.NotRun {
		return e.end(outcome{kind: outcomeFailed, code: r.code, verdict: r.verdict}), true
	}
	e.notRun = append(e.notRun, r.request)
	if elsewhere[r.code] {
		e.record.sentElsewhere(r.code)
		return outcome{}, false
	}
	return e.end(outcome{kind: outcomeRefused, code: r.code, verdict: r.verdict}), true
}

// elsewhere are refusals by one daemon that say nothing about the others.
var elsewhere = map[verdict.Code]bool{"leaving": true, "isolated": true}

// follow asks for the rest of an accepted request on other daemons.
func (e *execution) follow(ctx context.Context, r result, address string) outcome {
	for ctx.Err() == nil {
		if r.kind == resultMoved && r.address != "" {
			address = r.address
		} else {
			clock.Wait(ctx, resumePause)
			address = e.dir.pick(address)
		}
		e.record.resumed()
		r = e.resume(ctx, address)
		switch {
		case r.kind == resultWhole:
			return e.end(outcome{kind: outcomeAnswered})
		case r.kind == resultError && r.code == codeRestarted:
			e.startOver()
		case r.kind == resultError && e.concerns(r):
			return e.followError(r)
		}
	}
	return e.end(outcome{kind: outcomeLost})
}

func (e *execution) followError(r result) outcome {
	if r.verdict == verdict.NotRun {
		e.notRun = append(e.notRun, e.request)
		return e.end(outcome{kind: outcomeRefused, code: r.code, verdict: r.verdict})
	}
	return e.end(outcome{kind: outcomeFailed, code: r.code, verdict: r.verdict})
}

// concerns says whether an error in answer to a resume is the request's own
// end, rather than one daemon's refusal to look it up.
func (e *execution) concerns(r result) bool {
	if elsewhere[r.code] || r.code == "unknown-request" {
		return false
	}
	return r.request == e.request || r.verdict != verdict.NotRun
}

func (e *execution) end(o outcome) outcome {
	o.accepted = e.accepted()
	o.notRun = e.notRun
	o.broken = e.broken
	return o
}

// timeToken measures the time of a token that has come now.
func (e *execution) timeToken(now time.Time) {
	if e.last.IsZero() {
		e.record.firstToken(e.plan.caller, now.Sub(e.planned))
	} else {
		e.record.betweenTokens(now.Sub(e.last))
	}
	e.last = now
}
