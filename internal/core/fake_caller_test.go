package core

import (
	"fmt"
	"strings"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// fakeCaller simulates a caller with one request that follows the rules of the
// public API: it follows redirects, resumes by request ID after a lost
// connection, and sends a request again if it was not run.
type fakeCaller struct {
	w               *world
	work            Work
	timeout         time.Duration
	started         time.Time
	lastRequest     entity.RequestID   // the one submitted last
	requests        []entity.RequestID // all submitted, in order
	daemon          *fakeDaemon
	id              CallerID
	tokens          []string
	sum             uint32 // checksum received with the last token
	firstTokenAt    time.Time
	answer          *Answer
	err             error
	endedAt         time.Time
	retries         int
	accepted        bool
	retriesRefusals bool // submits again after an error with verdict NotRun
	refusals        []refusal
}

// refusal is an error with verdict NotRun.
type refusal struct {
	request entity.RequestID
	at      time.Time
	err     error
}

// modelWork returns work for the model service.
func modelWork(prompt string, tokens int) Work {
	return Work{
		Service: "model", Organisation: "big", Repeatable: true, Priority: 1,
		Completion: &Completion{Prompt: prompt, MaxTokens: tokens},
	}
}

// plainWork returns a call of the plain service.
func plainWork(method, body string) Work {
	return Work{
		Service: "plain", Organisation: "big", Priority: 1,
		Call: &PlainCall{Method: method, Path: "/x", Body: []byte(body)},
	}
}

// startCaller starts a caller that submits the work to a daemon.
func (w *world) startCaller(d *fakeDaemon, work Work, timeout time.Duration) *fakeCaller {
	c := &fakeCaller{w: w, work: work, timeout: timeout, started: w.now, retriesRefusals: true}
	w.callers = append(w.callers, c)
	c.submit(d)
	return c
}

// connect opens a new connection to a daemon for the caller.
func (c *fakeCaller) connect(d *fakeDaemon) {
	c.w.lastCaller++
	c.id, c.daemon = c.w.lastCaller, d
	d.callers[c.id] = c
}

// submit sends the work to a daemon under a new request ID.
func (c *fakeCaller) submit(d *fakeDaemon) {
	c.connect(d)
	c.w.lastNumber++
	id := NewRequestID(fmt.Sprintf("r%d", c.w.lastNumber), d.id)
	c.requests = append(c.requests, id)
	c.lastRequest, c.accepted, c.tokens, c.sum = id, false, nil, 0
	d.post(Submit{Caller: c.id, Request: id, Work: c.work, Timeout: c.timeout - c.w.now.Sub(c.started)})
}

// fetch asks a daemon for the answer to the last request, from the first
// missing token on.
func (c *fakeCaller) fetch(d *fakeDaemon) {
	c.connect(d)
	if d.dead {
		c.handleDaemonLost(d)
		return
	}
	d.post(Fetch{
		Caller: c.id, Request: c.lastRequest, Organisation: c.work.Organisation,
		Stream: c.work.Stream, After: len(c.tokens), Sum: c.sum,
	})
}

// done reports whether the caller has its final outcome.
func (c *fakeCaller) done() bool { return c.answer != nil || c.err != nil }

// reply handles a reply from the daemon that the caller is connected to.
func (c *fakeCaller) reply(d *fakeDaemon, r Reply) {
	if r.Caller != c.id || c.done() {
		return
	}
	switch {
	case r.Accepted != nil:
		c.accepted = true
		if r.Accepted.Request != c.lastRequest {
			c.w.t.Errorf("caller of %s got a reply about %s", c.lastRequest, r.Accepted.Request)
		}
	case len(r.Tokens) > 0:
		c.receiveTokens(r.First, r.Tokens)
		c.sum = r.Sums[len(r.Sums)-1]
	case r.Moved != nil:
		c.handleMoved(r.Moved)
	case r.Failed != nil:
		c.handleFailure(r.Failed)
	case r.Done != nil:
		c.finish(r.Done, nil)
	}
}

// receiveTokens appends tokens of the stream, which must follow those received
// before without a gap.
func (c *fakeCaller) receiveTokens(first int, tokens []string) {
	if first != len(c.tokens)+1 {
		c.w.t.Errorf("%s: got token %d while having %d tokens", c.lastRequest, first, len(c.tokens))
	}
	if len(c.tokens) == 0 {
		c.firstTokenAt = c.w.now
	}
	c.tokens = append(c.tokens, tokens...)
}

// handleMoved follows a redirect to another daemon.
func (c *fakeCaller) handleMoved(m *Moved) {
	c.daemon = nil
	for _, d := range c.w.daemons {
		if "call-"+string(d.id) == m.Address && !d.dead {
			c.w.schedule(2*time.Millisecond, func() { c.fetch(d) })
			return
		}
	}
	c.resubmit()
}

// handleFailure ends with the error, or continues where the public API allows
// it: work that was not run is submitted again, and a diverged stream is
// fetched anew.
func (c *fakeCaller) handleFailure(err error) {
	if verdict.Of(err) == verdict.NotRun {
		c.refusals = append(c.refusals, refusal{request: c.lastRequest, at: c.w.now, err: err})
		if c.retriesRefusals && c.w.now.Sub(c.started) < c.timeout {
			c.resubmit()
			return
		}
	}
	if verdict.CodeOf(err) == "restarted" {
		c.tokens, c.sum = nil, 0
		c.w.schedule(time.Millisecond, func() { c.fetch(c.daemon) })
		return
	}
	if verdict.CodeOf(err) == "unknown-request" && c.work.Key != "" && c.w.now.Sub(c.started) < c.timeout {
		c.resubmit()
		return
	}
	c.finish(nil, err)
}

// resubmit submits the work to a random live daemon after 100 ms.
func (c *fakeCaller) resubmit() {
	c.retries++
	c.daemon = nil
	c.w.schedule(100*time.Millisecond, func() {
		live := c.w.liveDaemons()
		if c.done() || len(live) == 0 {
			return
		}
		c.submit(live[c.w.rng.IntN(len(live))])
	})
}

// handleDaemonLost handles the loss of the connection to a daemon that has
// ended.
func (c *fakeCaller) handleDaemonLost(d *fakeDaemon) {
	if c.daemon != d || c.done() {
		return
	}
	id := c.id
	c.w.schedule(5*time.Millisecond, func() {
		live := c.w.liveDaemons()
		if c.done() || c.id != id || len(live) == 0 {
			return
		}
		if c.accepted {
			c.fetch(live[c.w.rng.IntN(len(live))])
			return
		}
		if c.work.Key != "" {
			c.resubmit()
			return
		}
		c.finish(nil, verdict.New(verdict.MayHaveRun, "connection", "connection lost before acceptance"))
	})
}

// finish records the final outcome.
func (c *fakeCaller) finish(a *Answer, err error) {
	c.answer, c.err, c.endedAt = a, err, c.w.now
}

// answerText returns the complete answer as the caller has received it.
func (c *fakeCaller) answerText() string {
	if c.answer == nil {
		return ""
	}
	if c.work.Call != nil {
		return string(c.answer.Body)
	}
	if c.work.Stream {
		return strings.Join(c.tokens, "")
	}
	return strings.Join(c.answer.Tokens, "")
}
