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
	c := w.call(w.daemons[0], streamed(modelWork("night briefing", 100)), 30*time.Second)
	w.runUntil(5*time.Second, func() bool { return len(c.tokens) > 30 })
	w.engineOf(c).crash()
	w.finishAll(30 * time.Second)
	w.verify()
	w.answered()
}

// streamed asks for a stream.
func streamed(work Work) Work {
	work.Stream = true
	return work
}

// engineOf returns the engine that ran the caller's request last.
func (w *world) engineOf(c *fakeCaller) *fakeEngine {
	w.t.Helper()
	var found *fakeEngine
	var at time.Time
	for _, e := range w.order {
		for _, r := range e.runs {
			if r.request == c.request && r.at.After(at) {
				found, at = e, r.at
			}
		}
	}
	if found == nil {
		w.t.Fatalf("%s ran nowhere", c.request)
	}
	return found
}

func TestCore_NotRepeatableCallIsNotSentAgain(t *testing.T) {
	w := newWorld(t, 21, 3)
	work := plainWork("POST", "write-down")
	work.Key = "w1"
	c := w.call(w.daemons[0], work, 10*time.Second)
	w.runUntil(5*time.Second, func() bool { return len(w.runsByRequest()[c.request]) > 0 })
	w.engineOf(c).crash()
	w.finishAll(30 * time.Second)
	w.verify()
	if c.err == nil || verdict.Of(c.err) != verdict.MayHaveRun {
		t.Errorf("outcome %v, want an error that it may have run", c.err)
	}
	if again := w.call(w.daemons[1], work, 10*time.Second); !w.runUntil(10*time.Second, again.done) {
		t.Error("the second caller has no outcome")
	}
	w.verify()
}

func TestCore_SilentEngineIsPassedOver(t *testing.T) {
	w := newWorld(t, 22, 3)
	for _, e := range w.order[:3] {
		e.silent = true
	}
	for i := range 12 {
		w.call(w.daemons[i%3], modelWork(fmt.Sprintf("alert %d", i), 10), 10*time.Second)
	}
	w.finishAll(20 * time.Second)
	w.verify()
	w.answered()
}

// A silent backend server must not freeze a station board until the timeout.
func TestCore_SilentEngineIsHedgedForTopPriority(t *testing.T) {
	w := newWorld(t, 23, 3)
	for _, e := range w.order[:3] {
		e.silent = true
	}
	var waits []time.Duration
	for i := range 12 {
		work := modelWork(fmt.Sprintf("alert %d", i), 10)
		work.Priority = 0
		c := w.call(w.daemons[i%3], work, 10*time.Second)
		w.runUntil(10*time.Second, c.done)
		waits = append(waits, c.endedAt.Sub(c.started))
	}
	w.verify()
	w.answered()
	for i, wait := range waits {
		if wait >= 2*time.Second {
			t.Errorf("call %d waited %v, as long as the timeout", i, wait)
		}
	}
}

func TestCore_LeavingDaemonTakesNoNewRequests(t *testing.T) {
	w := newWorld(t, 24, 3)
	slow := w.call(w.daemons[0], plainWork("GET", "slow"), 10*time.Second)
	w.daemons[0].post(Drain{})
	w.runFor(2 * time.Millisecond)
	c := w.call(w.daemons[0], modelWork("late", 5), 10*time.Second)
	c.patient = false
	w.runUntil(time.Second, c.done)
	if verdict.CodeOf(c.err) != "leaving" || verdict.Of(c.err) != verdict.NotRun {
		t.Errorf("outcome %v", c.err)
	}
	w.finishAll(10 * time.Second)
	w.verify()
	if slow.answer == nil {
		t.Errorf("the call in flight: %v", slow.err)
	}
}

func TestCore_OwnerKilled(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newWorld(t, 30+seed, 4)
			w.offer(140, w.daemons[0], w.daemons[1])
			w.runFor(800 * time.Millisecond)
			w.daemons[3].kill() // owns shards, has no callers of its own
			w.finishAll(60 * time.Second)
			w.verify()
		})
	}
}

func TestCore_OwnerFrozen(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newWorld(t, 40+seed, 4)
			w.offer(140, w.daemons[0], w.daemons[1])
			w.runFor(500 * time.Millisecond)
			w.daemons[3].freeze(25 * time.Second)
			w.finishAll(60 * time.Second)
			w.runFor(30 * time.Second)
			w.verify()
		})
	}
}

func TestCore_SameKeyOnTwoDaemons(t *testing.T) {
	w := newWorld(t, 50, 3)
	for i := range 30 {
		work := modelWork(fmt.Sprintf("platform %d", i), 15)
		work.Key = fmt.Sprintf("k%d", i)
		work.Stream = i%3 == 0
		w.call(w.daemons[0], work, 20*time.Second)
		w.call(w.daemons[1], work, 20*time.Second)
	}
	w.finishAll(30 * time.Second)
	w.verify()
	w.answered()
}

// A second stream with the same key gets its tokens as they come, not when the
// first one has ended.
func TestCore_JoinedStreamFollowsLive(t *testing.T) {
	w := newWorld(t, 52, 3)
	work := streamed(modelWork("platform 4", 100))
	work.Key = "live"
	first := w.call(w.daemons[0], work, 20*time.Second)
	w.runUntil(5*time.Second, func() bool { return len(first.tokens) > 10 })
	second := w.call(w.daemons[1], work, 20*time.Second)
	w.runFor(500 * time.Millisecond)
	if first.done() || len(second.tokens) < len(first.tokens)-5 {
		t.Errorf("after 0.5 s the second stream has %d tokens, the first %d", len(second.tokens), len(first.tokens))
	}
	w.finishAll(20 * time.Second)
	w.verify()
	w.answered()
}

func TestCore_SameKeyOtherContentIsRefused(t *testing.T) {
	w := newWorld(t, 51, 3)
	work := modelWork("a", 5)
	work.Key = "k"
	first := w.call(w.daemons[0], work, 10*time.Second)
	w.finishAll(10 * time.Second)
	other := modelWork("b", 5)
	other.Key = "k"
	second := w.call(w.daemons[1], other, 10*time.Second)
	second.patient = false
	w.finishAll(10 * time.Second)
	if first.answer == nil || verdict.CodeOf(second.err) != "key-reused" {
		t.Errorf("first %v, second %v", first.err, second.err)
	}
	w.verify()
}

func TestCore_TableDown(t *testing.T) {
	w := newWorld(t, 60, 3)
	keyed := modelWork("known", 5)
	keyed.Key = "known"
	w.call(w.daemons[0], keyed, 10*time.Second)
	w.finishAll(10 * time.Second)
	w.table.down = true
	w.runFor(5 * time.Second)
	unkeyed := w.call(w.daemons[0], modelWork("unkeyed", 10), 10*time.Second)
	known := w.call(w.daemons[1], keyed, 10*time.Second)
	fresh := modelWork("fresh", 5)
	fresh.Key = "fresh"
	refused := w.call(w.daemons[2], fresh, 10*time.Second)
	refused.patient = false
	began := w.now
	w.finishAll(20 * time.Second)
	if unkeyed.answer == nil || known.answer == nil {
		t.Errorf("unkeyed %v, known %v", unkeyed.err, known.err)
	}
	if verdict.CodeOf(refused.err) != "store-unavailable" {
		t.Errorf("new keyed work: %v", refused.err)
	}
	if _, ok := verdict.RetryAfter(refused.err); !ok {
		t.Error("the refusal does not say when to come back")
	}
	if waited := refused.endedAt.Sub(began); waited > 5*time.Second {
		t.Errorf("the refusal took %v", waited)
	}
	w.verify()
}

func TestCore_MixedFaults(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { mixedFaults(t, 1000+seed) })
	}
}

// mixedFaults mixes every kind of fault with a minute of load.
func mixedFaults(t *testing.T, seed uint64) {
	w := newWorld(t, seed, 6)
	w.loss = 0.02
	w.table.lose = 0.05
	for burst := range 5 {
		w.after(time.Duration(burst)*2*time.Second, func() { w.offer(70, w.live()...) })
	}
	for range 8 {
		at := time.Duration(w.rng.Int64N(int64(12 * time.Second)))
		w.after(at, w.randomFault)
	}
	w.runFor(13 * time.Second)
	w.finishAll(120 * time.Second)
	w.verify()
}

// randomFault brings about one fault. At least two daemons stay.
func (w *world) randomFault() {
	live := w.live()
	d := live[w.rng.IntN(len(live))]
	e := w.order[w.rng.IntN(len(w.order))]
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
		d.cut = true
		w.after(pause, func() { d.cut = false })
	case 3:
		w.table.down = true
		w.after(pause, func() { w.table.down = false })
	case 4:
		e.crash()
		w.after(pause, e.restart)
	case 5:
		if len(live) > 3 {
			d.post(ReclaimNotice{Notice: provider.Notice{At: w.now.Add(pause)}})
			w.after(pause, d.kill)
		}
	case 6:
		d.post(BackendLeaving{Backend: e.server.ID, Reason: "notice", Leaving: true})
		w.after(pause, e.crash)
	case 7:
		e.silent = true
		w.after(pause, func() { e.silent = false })
	}
}
