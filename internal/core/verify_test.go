package core

import (
	"strings"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// finishAll lets time pass until every caller has its outcome.
func (w *world) finishAll(limit time.Duration) {
	w.runUntil(limit, func() bool {
		for _, c := range w.callers {
			if !c.done() {
				return false
			}
		}
		return true
	})
	w.runFor(time.Second)
}

// verify checks what must always hold against the fakes' own records.
func (w *world) verify() {
	w.t.Helper()
	runs := w.runsByRequest()
	for _, c := range w.callers {
		w.verifyCaller(c, runs)
	}
	w.verifyKeys()
	w.verifyAtMostOnce()
}

// runsByRequest collects the engines' records.
func (w *world) runsByRequest() map[entity.RequestID][]execution {
	out := map[entity.RequestID][]execution{}
	for _, e := range w.order {
		for _, r := range e.runs {
			out[r.request] = append(out[r.request], r)
		}
	}
	return out
}

// verifyCaller checks one caller's outcome.
func (w *world) verifyCaller(c *fakeCaller, runs map[entity.RequestID][]execution) {
	w.t.Helper()
	if !c.done() {
		w.t.Errorf("%s has no outcome (submitted as %v)", c.request, c.requests)
		return
	}
	for _, f := range c.refused {
		if len(runs[f.request]) > 0 {
			w.t.Errorf("%s was told not run (%v), but ran on %s", f.request, f.err, runs[f.request][0].engine)
		}
	}
	if c.answer == nil {
		return
	}
	if c.work.Completion != nil {
		w.verifyTokens(c)
	} else if !strings.HasPrefix(string(c.answer.Body), string(c.work.Call.Body)+" by ") {
		w.t.Errorf("%s: answer %q is not its own", c.request, c.answer.Body)
	}
}

// verifyTokens checks that an answer is whole and that each token continues
// the one before it on some engine.
func (w *world) verifyTokens(c *fakeCaller) {
	w.t.Helper()
	tokens := c.answer.Tokens
	if c.work.Stream {
		tokens = c.tokens
	}
	if len(tokens) != c.work.Completion.MaxTokens {
		w.t.Errorf("%s: %d tokens of %d", c.request, len(tokens), c.work.Completion.MaxTokens)
		return
	}
	previous := ""
	for i, token := range tokens {
		if !w.continues(c.work.Completion.Prompt, previous, token) {
			w.t.Errorf("%s: token %d does not continue the one before it", c.request, i+1)
			return
		}
		previous = token
	}
}

// continues reports whether some engine says token after previous.
func (w *world) continues(prompt, previous, token string) bool {
	for _, e := range w.order {
		if nextToken(prompt, previous, e.server.ID) == token {
			return true
		}
	}
	return false
}

// verifyKeys checks that all answers with one key agree.
func (w *world) verifyKeys() {
	w.t.Helper()
	first := map[string]*fakeCaller{}
	for _, c := range w.callers {
		if c.work.Key == "" || c.answer == nil {
			continue
		}
		if f := first[c.work.Key]; f == nil {
			first[c.work.Key] = c
		} else if f.text() != c.text() {
			w.t.Errorf("key %s has two answers: %s got %.60q, %s got %.60q", c.work.Key, f.request, f.text(), c.request, c.text())
		}
	}
}

// verifyAtMostOnce checks that work that is not repeatable ran once at most. A
// run that continues an earlier one's exact prefix is the same run.
func (w *world) verifyAtMostOnce() {
	w.t.Helper()
	keys := map[string]bool{}
	for _, c := range w.callers {
		if c.work.Key != "" && !c.repeatable() {
			keys[c.work.Key] = true
		}
	}
	ran := map[string]execution{}
	for _, e := range w.order {
		for _, r := range e.runs {
			if !keys[r.key] || r.prefix > 0 {
				continue
			}
			if f, twice := ran[r.key]; twice {
				w.t.Errorf("key %s ran twice: %s on %s at %v, %s on %s at %v",
					r.key, f.request, f.engine, f.at.Sub(w.start), r.request, r.engine, r.at.Sub(w.start))
			}
			ran[r.key] = r
		}
	}
}

// repeatable reports whether the caller's work may run twice.
func (c *fakeCaller) repeatable() bool {
	if c.work.Call != nil {
		return c.work.Call.Method == "GET"
	}
	return c.work.Repeatable
}

// answered fails the test for each caller that did not get an answer.
func (w *world) answered() {
	w.t.Helper()
	for _, c := range w.callers {
		if c.answer == nil {
			w.t.Errorf("%s has no answer: %v (%v)", c.request, c.err, verdict.Of(c.err))
		}
	}
}
