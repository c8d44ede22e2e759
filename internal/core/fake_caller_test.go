package core

import (
	"fmt"
	"strings"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// fakeCaller plays one caller with one request, as docs/API.md asks it to
// behave: it follows moves, resumes after a lost connection by request id, and
// repeats what was not run.
type fakeCaller struct {
	w        *world
	work     Work
	timeout  time.Duration
	started  time.Time
	request  entity.RequestID   // last accepted
	requests []entity.RequestID // all that were submitted
	daemon   *fakeDaemon
	id       CallerID
	tokens   []string
	sum      uint32 // as told with the last token
	firstAt  time.Time
	answer   *Answer
	err      error
	endedAt  time.Time
	retries  int
	accepted bool
	patient  bool // sends again after a refusal
	refused  []refusal
}

// refusal is an error that said not run.
type refusal struct {
	request entity.RequestID
	at      time.Time
	err     error
}

// model returns work for the model service.
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

// call starts a caller at a daemon.
func (w *world) call(d *fakeDaemon, work Work, timeout time.Duration) *fakeCaller {
	c := &fakeCaller{w: w, work: work, timeout: timeout, started: w.now, patient: true}
	w.callers = append(w.callers, c)
	c.submit(d)
	return c
}

// connect gives the caller a new connection.
func (c *fakeCaller) connect(d *fakeDaemon) {
	c.w.last++
	c.id, c.daemon = c.w.last, d
	d.peer[c.id] = c
}

// submit sends the work to a daemon.
func (c *fakeCaller) submit(d *fakeDaemon) {
	c.connect(d)
	c.w.ids++
	id := NewRequestID(fmt.Sprintf("r%d", c.w.ids), d.id)
	c.requests = append(c.requests, id)
	c.request, c.accepted, c.tokens, c.sum = id, false, nil, 0
	d.post(Submit{Caller: c.id, Request: id, Work: c.work, Timeout: c.timeout - c.w.now.Sub(c.started)})
}

// fetch resumes by request id at a daemon.
func (c *fakeCaller) fetch(d *fakeDaemon) {
	c.connect(d)
	if d.dead {
		c.lostDaemon(d)
		return
	}
	d.post(Fetch{
		Caller: c.id, Request: c.request, Organisation: c.work.Organisation,
		Stream: c.work.Stream, After: len(c.tokens), Sum: c.sum,
	})
}

// done reports whether the caller has its final outcome.
func (c *fakeCaller) done() bool { return c.answer != nil || c.err != nil }

// reply takes a reply of the daemon that the caller is connected to.
func (c *fakeCaller) reply(d *fakeDaemon, r Reply) {
	if r.Caller != c.id || c.done() {
		return
	}
	switch {
	case r.Accepted != nil:
		c.accepted = true
		if r.Accepted.Request != c.request {
			c.w.t.Errorf("reply to %s crossed with %s", c.request, r.Accepted.Request)
		}
	case len(r.Tokens) > 0:
		c.take(r.First, r.Tokens)
		c.sum = r.Sums[len(r.Sums)-1]
	case r.Moved != nil:
		c.moved(r.Moved)
	case r.Failed != nil:
		c.failed(r.Failed)
	case r.Done != nil:
		c.end(r.Done, nil)
	}
}

// take adds tokens of the stream, which must be contiguous.
func (c *fakeCaller) take(first int, tokens []string) {
	if first != len(c.tokens)+1 {
		c.w.t.Errorf("%s: token %d after %d", c.request, first, len(c.tokens))
	}
	if len(c.tokens) == 0 {
		c.firstAt = c.w.now
	}
	c.tokens = append(c.tokens, tokens...)
}

// moved goes on at another daemon.
func (c *fakeCaller) moved(m *Moved) {
	c.daemon = nil
	for _, d := range c.w.daemons {
		if "call-"+string(d.id) == m.Address && !d.dead {
			c.w.after(2*time.Millisecond, func() { c.fetch(d) })
			return
		}
	}
	c.again()
}

// failed ends with an error, or repeats what was not run.
func (c *fakeCaller) failed(err error) {
	if verdict.Of(err) == verdict.NotRun {
		c.refused = append(c.refused, refusal{request: c.request, at: c.w.now, err: err})
		if c.patient && c.w.now.Sub(c.started) < c.timeout {
			c.again()
			return
		}
	}
	if verdict.CodeOf(err) == "restarted" {
		c.tokens, c.sum = nil, 0
		c.w.after(time.Millisecond, func() { c.fetch(c.daemon) })
		return
	}
	if verdict.CodeOf(err) == "unknown-request" && c.work.Key != "" && c.w.now.Sub(c.started) < c.timeout {
		c.again()
		return
	}
	c.end(nil, err)
}

// again sends the work anew to a random live daemon after a while.
func (c *fakeCaller) again() {
	c.retries++
	c.daemon = nil
	c.w.after(100*time.Millisecond, func() {
		live := c.w.live()
		if c.done() || len(live) == 0 {
			return
		}
		c.submit(live[c.w.rng.IntN(len(live))])
	})
}

// lostDaemon notices that the connection has broken.
func (c *fakeCaller) lostDaemon(d *fakeDaemon) {
	if c.daemon != d || c.done() {
		return
	}
	id := c.id
	c.w.after(5*time.Millisecond, func() {
		live := c.w.live()
		if c.done() || c.id != id || len(live) == 0 {
			return
		}
		if c.accepted {
			c.fetch(live[c.w.rng.IntN(len(live))])
			return
		}
		if c.work.Key != "" {
			c.again()
			return
		}
		c.end(nil, verdict.New(verdict.MayHaveRun, "connection", "connection lost before acceptance"))
	})
}

// end keeps the final outcome.
func (c *fakeCaller) end(a *Answer, err error) {
	c.answer, c.err, c.endedAt = a, err, c.w.now
}

// text is the whole answer as the caller understands it.
func (c *fakeCaller) text() string {
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
