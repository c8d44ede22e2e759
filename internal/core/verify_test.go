package core

import (
	"strings"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// finishAll runs the simulation until every caller has its outcome, for limit
// at most.
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

// verifyInvariants compares the outcomes of all callers with the engines' own
// records.
func (w *world) verifyInvariants() {
	w.t.Helper()
	runs := w.runsByRequest()
	for _, c := range w.callers {
		w.verifyCaller(c, runs)
	}
	w.verifyKeyedAnswers()
	w.verifyAtMostOnce()
}

// runsByRequest returns the engines' records by request.
func (w *world) runsByRequest() map[entity.RequestID][]execution {
	out := map[entity.RequestID][]execution{}
	for _, e := range w.engineOrder {
		for _, r := range e.runs {
			out[r.request] = append(out[r.request], r)
		}
	}
	return out
}

// verifyCaller checks that a caller has an outcome, that no refused request has
// run, and that the answer belongs to the request.
func (w *world) verifyCaller(c *fakeCaller, runs map[entity.RequestID][]execution) {
	w.t.Helper()
	if !c.done() {
		w.t.Errorf("%s has no outcome (submitted as %v)", c.lastRequest, c.requests)
		return
	}
	for _, f := range c.refusals {
		if len(runs[f.request]) > 0 {
			w.t.Errorf("%s was refused as not run (%v), but ran on %s", f.request, f.err, runs[f.request][0].engine)
		}
	}
	if c.answer == nil {
		return
	}
	if c.work.Completion != nil {
		w.verifyTokens(c)
	} else if !strings.HasPrefix(string(c.answer.Body), string(c.work.Call.Body)+" by ") {
		w.t.Errorf("%s: answer %q belongs to another request", c.lastRequest, c.answer.Body)
	}
}

// verifyTokens checks that an answer is complete and that each token continues
// the one before it on some engine.
func (w *world) verifyTokens(c *fakeCaller) {
	w.t.Helper()
	tokens := c.answer.Tokens
	if c.work.Stream {
		tokens = c.tokens
	}
	if len(tokens) != c.work.Completion.MaxTokens {
		w.t.Errorf("%s: answer has %d tokens, want %d", c.lastRequest, len(tokens), c.work.Completion.MaxTokens)
		return
	}
	previous := ""
	for i, token := range tokens {
		if !w.continuesOnAnyEngine(c.work.Completion.Prompt, previous, token) {
			w.t.Errorf("%s: token %d does not continue the one before it", c.lastRequest, i+1)
			return
		}
		previous = token
	}
}

// continuesOnAnyEngine reports whether some engine produces token after
// previous.
func (w *world) continuesOnAnyEngine(prompt, previous, token string) bool {
	for _, e := range w.engineOrder {
		if nextToken(prompt, previous, e.server.ID) == token {
			return true
		}
	}
	return false
}

// verifyKeyedAnswers checks that all answers to one key are the same.
func (w *world) verifyKeyedAnswers() {
	w.t.Helper()
	first := map[string]*fakeCaller{}
	for _, c := range w.callers {
		if c.work.Key == "" || c.answer == nil {
			continue
		}
		if f := first[c.work.Key]; f == nil {
			first[c.work.Key] = c
		} else if f.answerText() != c.answerText() {
			w.t.Errorf("key %s has two different answers: %s got %.60q, %s got %.60q", c.work.Key, f.lastRequest, f.answerText(), c.lastRequest, c.answerText())
		}
	}
}

// verifyAtMostOnce checks that work that is not repeatable ran at most once per
// key. A run that continues the exact tokens of an earlier one counts as the
// same run.
func (w *world) verifyAtMostOnce() {
	w.t.Helper()
	keys := map[string]bool{}
	for _, c := range w.callers {
		if c.work.Key != "" && !c.repeatable() {
			keys[c.work.Key] = true
		}
	}
	ran := map[string]execution{}
	for _, e := range w.engineOrder {
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

// repeatable reports whether the caller's work may run more than once.
func (c *fakeCaller) repeatable() bool {
	if c.work.Call != nil {
		return c.work.Call.Method == "GET"
	}
	return c.work.Repeatable
}

// requireAnswers fails the test for each caller that did not get an answer.
func (w *world) requireAnswers() {
	w.t.Helper()
	for _, c := range w.callers {
		if c.answer == nil {
			w.t.Errorf("%s has no answer: %v (%v)", c.lastRequest, c.err, verdict.Of(c.err))
		}
	}
}
