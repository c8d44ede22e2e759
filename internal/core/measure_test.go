package core

import (
	"fmt"
	"testing"
	"time"
)

// measureRecomputedTokens starts long completions and crashes one engine, with
// or without notice. It returns the number of tokens computed again, and the
// number that restarts of the interrupted requests from scratch would have
// computed again.
func measureRecomputedTokens(t testing.TB, seed uint64, notice time.Duration) (recomputed, fromScratch int) {
	w := newWorld(t, seed, 3)
	for i := range 18 {
		work := modelWork(fmt.Sprintf("valuation report %d %0400d", i, i), 600+20*i)
		work.Stream = i%2 == 0
		w.startCaller(w.daemons[i%3], work, 60*time.Second)
	}
	w.runFor(2*time.Second + time.Duration(w.rng.Int64N(int64(3*time.Second))))
	engine := w.engineOrder[w.rng.IntN(6)]
	if notice > 0 {
		w.daemons[0].post(BackendDraining{Backend: engine.server.ID, Reason: "notice", Draining: true})
		w.runFor(notice)
	}
	engine.crash()
	w.finishAll(60 * time.Second)
	w.verifyInvariants()
	w.requireAnswers()
	for _, e := range w.engineOrder {
		for _, r := range e.runs {
			recomputed += r.recomputed
			if r.prefix > 0 {
				fromScratch += r.prefix + 416/bytesPerToken // the prompt has slightly more than 416 bytes
			}
		}
	}
	return recomputed, fromScratch
}

// Bounds the tokens that are computed again when a backend server is reclaimed,
// as a ratio of the tokens that restarts from scratch would compute again.
func TestCore_RecomputedTokens(t *testing.T) {
	for _, c := range []struct {
		name   string
		notice time.Duration
		bound  float64
	}{{"export on notice", 5 * time.Second, 0.1}, {"no notice", 0, 0.5}} {
		t.Run(c.name, func(t *testing.T) {
			var recomputed, fromScratch int
			for seed := range uint64(10) {
				a, s := measureRecomputedTokens(t, 500+seed, c.notice)
				recomputed, fromScratch = recomputed+a, fromScratch+s
			}
			if fromScratch == 0 {
				t.Fatal("no request was interrupted")
			}
			ratio := float64(recomputed) / float64(fromScratch)
			t.Logf("%d tokens computed again, %d by restarts from scratch: ratio %.3f", recomputed, fromScratch, ratio)
			if ratio > c.bound {
				t.Errorf("ratio of tokens computed again %.3f, want at most %.1f", ratio, c.bound)
			}
		})
	}
}
