package core

import (
	"fmt"
	"testing"
	"time"
)

// recomputeRun starts long reports, takes one engine away with or without
// notice, and returns the tokens computed again and those that a restart from
// scratch of the same requests would have computed again.
func recomputeRun(t testing.TB, seed uint64, notice time.Duration) (again, scratch int) {
	w := newWorld(t, seed, 3)
	for i := range 18 {
		work := modelWork(fmt.Sprintf("valuation report %d %0400d", i, i), 600+20*i)
		work.Stream = i%2 == 0
		w.call(w.daemons[i%3], work, 60*time.Second)
	}
	w.runFor(2*time.Second + time.Duration(w.rng.Int64N(int64(3*time.Second))))
	engine := w.order[w.rng.IntN(6)]
	if notice > 0 {
		w.daemons[0].post(BackendLeaving{Backend: engine.server.ID, Reason: "notice", Leaving: true})
		w.runFor(notice)
	}
	engine.crash()
	w.finishAll(60 * time.Second)
	w.verify()
	w.answered()
	for _, e := range w.order {
		for _, r := range e.runs {
			again += r.again
			if r.prefix > 0 {
				scratch += r.prefix + 416/bytesPerToken
			}
		}
	}
	return again, scratch
}

// The targets are those of the design: tokens recomputed for a reclaimed
// request, relative to a restart from scratch.
func TestCore_RecomputedTokens(t *testing.T) {
	for _, c := range []struct {
		name   string
		notice time.Duration
		bound  float64
	}{{"export on notice", 5 * time.Second, 0.1}, {"no notice", 0, 0.5}} {
		t.Run(c.name, func(t *testing.T) {
			var again, scratch int
			for seed := range uint64(10) {
				a, s := recomputeRun(t, 500+seed, c.notice)
				again, scratch = again+a, scratch+s
			}
			if scratch == 0 {
				t.Fatal("no request was interrupted")
			}
			ratio := float64(again) / float64(scratch)
			t.Logf("%d of %d tokens computed again: %.3f", again, scratch, ratio)
			if ratio > c.bound {
				t.Errorf("ratio %.3f above %.1f", ratio, c.bound)
			}
		})
	}
}
