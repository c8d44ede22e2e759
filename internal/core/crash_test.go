package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// restartCrashedEngines restarts each crashed engine after 2 s and returns a
// count of the crashes.
func restartCrashedEngines(w *world) *int {
	crashes := 0
	for _, e := range w.engineOrder {
		e.onCrash = func() {
			crashes++
			w.schedule(2*time.Second, e.restart)
		}
	}
	return &crashes
}

// A content crashes each engine that runs it, and its caller sends it to all
// daemons in turn under new request IDs. Quarantine must stop it on all daemons
// after a few crashes, without failing other requests.
func TestCore_CrashingContentIsQuarantinedEverywhere(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runCrashingContent(t, 600+seed) })
	}
}

// runCrashingContent sends the crashing content to all daemons under ordinary
// load.
func runCrashingContent(t *testing.T, seed uint64) {
	const crashesUntilQuarantine = 3 // one crash among other requests, one kept apart from other suspects, one in isolation
	w := newWorld(t, seed, 3)
	crashes := restartCrashedEngines(w)
	for i := range 60 {
		w.schedule(time.Duration(i)*200*time.Millisecond, func() {
			w.startCaller(w.daemons[i%3], modelWork(fmt.Sprintf("innocent %d", i), 50+i), 60*time.Second)
		})
	}
	var crashingCallers []*fakeCaller
	for i := range 12 {
		w.schedule(time.Duration(i)*time.Second, func() {
			c := w.startCaller(w.daemons[i%3], modelWork(crashPrompt, 20), 20*time.Second)
			c.retriesRefusals = false
			crashingCallers = append(crashingCallers, c)
		})
	}
	w.runFor(12 * time.Second)
	w.finishAll(90 * time.Second)
	w.verifyInvariants()
	if *crashes > crashesUntilQuarantine {
		t.Errorf("the crashing content crashed %d engines", *crashes)
	}
	for _, d := range w.daemons {
		caller := w.startCaller(d, modelWork(crashPrompt, 20), 10*time.Second)
		caller.retriesRefusals = false
		w.runUntil(time.Second, caller.done)
		if verdict.CodeOf(caller.err) != "convicted" || verdict.Of(caller.err) != verdict.NotRun {
			t.Errorf("%s: crashing content got error %v, want convicted and not run", d.id, caller.err)
		}
	}
	for _, c := range w.callers {
		if c.work.Completion.Prompt != crashPrompt && c.answer == nil {
			t.Errorf("clean request %s got no answer: %v", c.lastRequest, c.err)
		}
	}
}

// When an engine crashes, the clean requests that it ran are suspects for a
// while. They must not be isolated one after another, which would make them
// wait.
func TestCore_CleanRequestsOfOneCrashDoNotWait(t *testing.T) {
	w := newWorld(t, 610, 3)
	for i := range 36 {
		w.startCaller(w.daemons[i%3], modelWork(fmt.Sprintf("report %d", i), 400), 60*time.Second)
	}
	w.runFor(2 * time.Second)
	w.engineOrder[1].crash()
	w.finishAll(60 * time.Second)
	w.verifyInvariants()
	w.requireAnswers()
	const uninterrupted = 400 * engineTokenInterval
	for _, c := range w.callers {
		if d := c.endedAt.Sub(c.started); d > 2*uninterrupted {
			t.Errorf("%s took %v, an uninterrupted run takes %v", c.lastRequest, d, uninterrupted)
		}
	}
}
