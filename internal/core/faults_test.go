package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

func TestCore_CrashedEngineContinuesElsewhere(t *testing.T) {
	w := newWorld(t, 20, 3)
	c := w.startCaller(w.daemons[0], withStream(modelWork("night briefing", 100)), 30*time.Second)
	w.runUntil(5*time.Second, func() bool { return len(c.tokens) > 30 })
	w.lastEngineOf(c).crash()
	w.finishAll(30 * time.Second)
	w.verifyInvariants()
	w.requireAnswers()
}

// withStream returns the work with a streamed answer.
func withStream(work Work) Work {
	work.Stream = true
	return work
}

// lastEngineOf returns the engine that ran the caller's request most recently.
func (w *world) lastEngineOf(c *fakeCaller) *fakeEngine {
	w.t.Helper()
	var found *fakeEngine
	var latest time.Time
	for _, e := range w.engineOrder {
		for _, r := range e.runs {
			if r.request == c.lastRequest && r.at.After(latest) {
				found, latest = e, r.at
			}
		}
	}
	if found == nil {
		w.t.Fatalf("%s ran on no engine", c.lastRequest)
	}
	return found
}

func TestCore_NotRepeatableCallIsNotSentAgain(t *testing.T) {
	w := newWorld(t, 21, 3)
	work := plainWork("POST", "write-down")
	work.Key = "w1"
	c := w.startCaller(w.daemons[0], work, 10*time.Second)
	w.runUntil(5*time.Second, func() bool { return len(w.runsByRequest()[c.lastRequest]) > 0 })
	w.lastEngineOf(c).crash()
	w.finishAll(30 * time.Second)
	w.verifyInvariants()
	if c.err == nil || verdict.Of(c.err) != verdict.MayHaveRun {
		t.Errorf("call whose server crashed: got error %v, want one with verdict may-have-run", c.err)
	}
	if again := w.startCaller(w.daemons[1], work, 10*time.Second); !w.runUntil(10*time.Second, again.done) {
		t.Error("the second caller has no outcome")
	}
	w.verifyInvariants()
}

func TestCore_SilentEngineIsReplaced(t *testing.T) {
	w := newWorld(t, 22, 3)
	for _, e := range w.engineOrder[:3] {
		e.silent = true
	}
	for i := range 12 {
		w.startCaller(w.daemons[i%3], modelWork(fmt.Sprintf("alert %d", i), 10), 10*time.Second)
	}
	w.finishAll(20 * time.Second)
	w.verifyInvariants()
	w.requireAnswers()
}

// A request of the top priority must not wait for the first token timeout when
// its backend server is silent.
func TestCore_SilentEngineIsHedgedForTopPriority(t *testing.T) {
	w := newWorld(t, 23, 3)
	for _, e := range w.engineOrder[:3] {
		e.silent = true
	}
	var waits []time.Duration
	for i := range 12 {
		work := modelWork(fmt.Sprintf("alert %d", i), 10)
		work.Priority = 0
		c := w.startCaller(w.daemons[i%3], work, 10*time.Second)
		w.runUntil(10*time.Second, c.done)
		waits = append(waits, c.endedAt.Sub(c.started))
	}
	w.verifyInvariants()
	w.requireAnswers()
	for i, wait := range waits {
		if wait >= 2*time.Second {
			t.Errorf("call %d took %v, as long as the first token timeout", i, wait)
		}
	}
}

func TestCore_LeavingDaemonTakesNoNewRequests(t *testing.T) {
	w := newWorld(t, 24, 3)
	slow := w.startCaller(w.daemons[0], plainWork("GET", "slow"), 10*time.Second)
	w.daemons[0].post(Drain{})
	w.runFor(2 * time.Millisecond)
	c := w.startCaller(w.daemons[0], modelWork("late", 5), 10*time.Second)
	c.retriesRefusals = false
	w.runUntil(time.Second, c.done)
	if verdict.CodeOf(c.err) != "leaving" || verdict.Of(c.err) != verdict.NotRun {
		t.Errorf("request to a leaving daemon: got error %v, want leaving and not run", c.err)
	}
	w.finishAll(10 * time.Second)
	w.verifyInvariants()
	if slow.answer == nil {
		t.Errorf("the call that ran when the drain started got no answer: %v", slow.err)
	}
}

func TestCore_OwnerKilled(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newWorld(t, 30+seed, 4)
			w.startMixedCallers(140, w.daemons[0], w.daemons[1])
			w.runFor(800 * time.Millisecond)
			w.daemons[3].kill() // owns shards but has no callers
			w.finishAll(60 * time.Second)
			w.verifyInvariants()
		})
	}
}

func TestCore_OwnerFrozen(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newWorld(t, 40+seed, 4)
			w.startMixedCallers(140, w.daemons[0], w.daemons[1])
			w.runFor(500 * time.Millisecond)
			w.daemons[3].freeze(25 * time.Second)
			w.finishAll(60 * time.Second)
			w.runFor(30 * time.Second)
			w.verifyInvariants()
		})
	}
}

func TestCore_SameKeyOnTwoDaemons(t *testing.T) {
	w := newWorld(t, 50, 3)
	for i := range 30 {
		work := modelWork(fmt.Sprintf("platform %d", i), 15)
		work.Key = fmt.Sprintf("k%d", i)
		work.Stream = i%3 == 0
		w.startCaller(w.daemons[0], work, 20*time.Second)
		w.startCaller(w.daemons[1], work, 20*time.Second)
	}
	w.finishAll(30 * time.Second)
	w.verifyInvariants()
	w.requireAnswers()
}

// A second stream with the same key must get its tokens while the first one
// runs, not only when that has ended.
func TestCore_JoinedStreamFollowsLive(t *testing.T) {
	w := newWorld(t, 52, 3)
	work := withStream(modelWork("platform 4", 100))
	work.Key = "live"
	first := w.startCaller(w.daemons[0], work, 20*time.Second)
	w.runUntil(5*time.Second, func() bool { return len(first.tokens) > 10 })
	second := w.startCaller(w.daemons[1], work, 20*time.Second)
	w.runFor(500 * time.Millisecond)
	if first.done() || len(second.tokens) < len(first.tokens)-5 {
		t.Errorf("0.5 s after the second stream started it has %d tokens, the first one %d", len(second.tokens), len(first.tokens))
	}
	w.finishAll(20 * time.Second)
	w.verifyInvariants()
	w.requireAnswers()
}

func TestCore_SameKeyOtherContentIsRefused(t *testing.T) {
	w := newWorld(t, 51, 3)
	work := modelWork("a", 5)
	work.Key = "k"
	first := w.startCaller(w.daemons[0], work, 10*time.Second)
	w.finishAll(10 * time.Second)
	other := modelWork("b", 5)
	other.Key = "k"
	second := w.startCaller(w.daemons[1], other, 10*time.Second)
	second.retriesRefusals = false
	w.finishAll(10 * time.Second)
	if first.answer == nil || verdict.CodeOf(second.err) != "key-reused" {
		t.Errorf("first request: error %v; other content with the same key: error %v, want key-reused", first.err, second.err)
	}
	w.verifyInvariants()
}

func TestCore_TableDown(t *testing.T) {
	w := newWorld(t, 60, 3)
	keyed := modelWork("known", 5)
	keyed.Key = "known"
	w.startCaller(w.daemons[0], keyed, 10*time.Second)
	w.finishAll(10 * time.Second)
	w.table.down = true
	w.runFor(5 * time.Second)
	unkeyed := w.startCaller(w.daemons[0], modelWork("unkeyed", 10), 10*time.Second)
	known := w.startCaller(w.daemons[1], keyed, 10*time.Second)
	newKey := modelWork("fresh", 5)
	newKey.Key = "fresh"
	refused := w.startCaller(w.daemons[2], newKey, 10*time.Second)
	refused.retriesRefusals = false
	startedAt := w.now
	w.finishAll(20 * time.Second)
	if unkeyed.answer == nil || known.answer == nil {
		t.Errorf("while the table is down: unkeyed request: error %v, answered key: error %v; want answers", unkeyed.err, known.err)
	}
	if verdict.CodeOf(refused.err) != "store-unavailable" {
		t.Errorf("new key while the table is down: got error %v, want store-unavailable", refused.err)
	}
	if _, ok := verdict.RetryAfter(refused.err); !ok {
		t.Error("the refusal of a new key carries no retry delay")
	}
	if waited := refused.endedAt.Sub(startedAt); waited > 5*time.Second {
		t.Errorf("the refusal of a new key took %v", waited)
	}
	w.verifyInvariants()
}

func TestCore_MixedFaults(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runMixedFaults(t, 1000+seed) })
	}
}

// runMixedFaults injects random faults of all kinds under load for 13 s.
func runMixedFaults(t *testing.T, seed uint64) {
	w := newWorld(t, seed, 6)
	w.messageLoss = 0.02
	w.table.replyLoss = 0.05
	for burst := range 5 {
		w.schedule(time.Duration(burst)*2*time.Second, func() { w.startMixedCallers(70, w.liveDaemons()...) })
	}
	for range 8 {
		at := time.Duration(w.rng.Int64N(int64(12 * time.Second)))
		w.schedule(at, w.injectRandomFault)
	}
	w.runFor(13 * time.Second)
	w.finishAll(120 * time.Second)
	w.verifyInvariants()
}

// injectRandomFault injects one fault of a random kind. Faults that end or stop
// a daemon are skipped while three or fewer daemons are live, so that at least
// two stay.
func (w *world) injectRandomFault() {
	live := w.liveDaemons()
	d := live[w.rng.IntN(len(live))]
	e := w.engineOrder[w.rng.IntN(len(w.engineOrder))]
	pause := time.Second + time.Duration(w.rng.Int64N(int64(10*time.Second)))
	switch w.rng.IntN(8) {
	case 0:
		if len(live) > 3 {
			d.kill()
		}
	case 1:
		if len(live) > 3 {
			d.freeze(pause)
		}
	case 2:
		d.disconnected = true
		w.schedule(pause, func() { d.disconnected = false })
	case 3:
		w.table.down = true
		w.schedule(pause, func() { w.table.down = false })
	case 4:
		e.crash()
		w.schedule(pause, e.restart)
	case 5:
		if len(live) > 3 {
			d.post(ReclaimNotice{Notice: provider.ReclaimNotice{ReclaimAt: w.now.Add(pause)}})
			w.schedule(pause, d.kill)
		}
	case 6:
		d.post(BackendDraining{Backend: e.server.ID, Reason: "notice", Draining: true})
		w.schedule(pause, e.crash)
	case 7:
		e.silent = true
		w.schedule(pause, func() { e.silent = false })
	}
}
