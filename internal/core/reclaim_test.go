package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

// startMixedCallers starts n callers with mixed work at the daemons in turn,
// within one second.
func (w *world) startMixedCallers(n int, daemons ...*fakeDaemon) {
	for i := range n {
		d := daemons[i%len(daemons)]
		work := w.mixedWork(i)
		w.schedule(time.Duration(i)*time.Second/time.Duration(n), func() {
			if d.dead {
				d = w.liveDaemons()[0]
			}
			w.startCaller(d, work, 60*time.Second)
		})
	}
}

// mixedWork returns work of one of seven kinds, chosen by i.
func (w *world) mixedWork(i int) Work {
	work := modelWork(fmt.Sprintf("prompt %d", i), 20+i%200)
	switch i % 7 {
	case 0:
		work.Stream = true
	case 1:
		work.Key = fmt.Sprintf("whole-%d", i)
	case 2:
		work.Key = fmt.Sprintf("stream-%d", i)
		work.Stream = true
	case 3:
		work = plainWork("GET", fmt.Sprintf("call %d", i))
	case 4:
		work = plainWork("POST", fmt.Sprintf("call %d", i))
		work.Key = fmt.Sprintf("post-%d", i)
	case 5:
		work.Key = fmt.Sprintf("once-%d", i)
		work.Repeatable = false
	}
	return work
}

func TestCore_AnswersMixedWork(t *testing.T) {
	w := newWorld(t, 1, 3)
	w.startMixedCallers(140, w.daemons...)
	w.runFor(time.Second)
	w.finishAll(60 * time.Second)
	w.verifyInvariants()
	w.requireAnswers()
}

func TestCore_ReclaimedDaemonInterruptsNobody(t *testing.T) {
	w := newWorld(t, 2, 3)
	w.startMixedCallers(140, w.daemons...)
	w.runFor(700 * time.Millisecond)
	d := w.daemons[1]
	d.post(ReclaimNotice{Notice: provider.ReclaimNotice{ReclaimAt: w.now.Add(10 * time.Second)}})
	w.schedule(10*time.Second, d.kill)
	w.runFor(time.Second)
	w.finishAll(60 * time.Second)
	w.verifyInvariants()
	w.requireAnswers()
	if d.core.unfinished > 0 && !d.dead {
		t.Errorf("the reclaimed daemon still has %d unfinished requests", d.core.unfinished)
	}
}

func TestCore_PlannedStopInterruptsNobody(t *testing.T) {
	w := newWorld(t, 3, 3)
	w.startMixedCallers(140, w.daemons...)
	w.runFor(500 * time.Millisecond)
	w.daemons[0].post(Drain{})
	w.runFor(time.Second)
	w.finishAll(60 * time.Second)
	w.verifyInvariants()
	w.requireAnswers()
	w.runFor(20 * time.Second)
	if !w.daemons[0].dead {
		t.Errorf("the daemon has not ended 20 s after its requests")
	}
}

// Requests that must not be repeated are sent as the notice comes. A stream that
// is handed over before its engine has the request is known nowhere.
func TestCore_ReclaimWhileRequestsAreBeingSent(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newWorld(t, 50+seed, 3)
			for _, e := range w.engineOrder {
				e.sendTime = 25 * time.Millisecond
			}
			for i := range 100 {
				work := modelWork(fmt.Sprintf("prompt %d", i), 20)
				work.Repeatable = false
				work.Stream = true
				work.Key = fmt.Sprintf("once-%d", i)
				w.schedule(time.Duration(i)*2*time.Millisecond, func() { w.startCaller(w.liveDaemons()[1], work, 30*time.Second) })
			}
			w.runFor(100 * time.Millisecond)
			d := w.daemons[1]
			d.post(ReclaimNotice{Notice: provider.ReclaimNotice{ReclaimAt: w.now.Add(6 * time.Second)}})
			w.schedule(6*time.Second, d.kill)
			w.runFor(time.Second)
			w.finishAll(60 * time.Second)
			w.verifyInvariants()
			w.requireAnswers()
		})
	}
}

func TestCore_ReclaimedDataCentre(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runDataCentreReclaim(t, 10+seed) })
	}
}

// runDataCentreReclaim reclaims the daemons and the backend servers of dc0 with
// a notice of 10 s, and another daemon while the first ones hand over.
func runDataCentreReclaim(t *testing.T, seed uint64) {
	w := newWorld(t, seed, 6)
	w.startMixedCallers(210, w.daemons...)
	w.runFor(600 * time.Millisecond)
	notice := provider.ReclaimNotice{ReclaimAt: w.now.Add(10 * time.Second)}
	for _, d := range w.daemons {
		if d.core.Self.Location.DataCentre == "dc0" {
			d.post(ReclaimNotice{Notice: notice})
			w.schedule(10*time.Second, d.kill)
		}
	}
	for _, e := range w.engineOrder {
		if e.server.Location.DataCentre == "dc0" {
			w.daemons[1].post(BackendDraining{Backend: e.server.ID, Reason: "notice", Draining: true})
			w.schedule(10*time.Second, e.crash)
		}
	}
	w.runFor(100 * time.Millisecond)
	w.daemons[1].post(ReclaimNotice{Notice: notice})
	w.schedule(10*time.Second, w.daemons[1].kill)
	w.runFor(time.Second)
	w.finishAll(60 * time.Second)
	w.verifyInvariants()
	w.requireAnswers()
}

func TestCore_DaemonDiesPartwayThroughNotice(t *testing.T) {
	w := newWorld(t, 4, 3)
	w.startMixedCallers(140, w.daemons...)
	w.runFor(1200 * time.Millisecond)
	d := w.daemons[2]
	d.post(Drain{})
	w.runFor(300 * time.Millisecond)
	d.kill()
	w.finishAll(60 * time.Second)
	w.verifyInvariants()
	w.requireAnswers()
}

// A daemon and an engine fail together after the caller has received more
// tokens than the successor knows. The request then runs anew with other
// tokens, which must not be appended to those that the caller has.
func TestCore_ResumedStreamIsNotSpliced(t *testing.T) {
	for seed := range uint64(5) {
		w := newWorld(t, 70+seed, 3)
		c := w.startCaller(w.daemons[0], withStream(modelWork("long briefing", 400)), 60*time.Second)
		w.runUntil(5*time.Second, func() bool { return len(c.tokens) > 20 })
		w.daemons[0].post(Drain{})
		w.runUntil(5*time.Second, func() bool { return len(c.tokens) > 60 })
		w.lastEngineOf(c).crash()
		w.daemons[0].kill()
		w.finishAll(60 * time.Second)
		w.verifyInvariants()
		w.requireAnswers()
	}
}

// A request that is relayed to a daemon just before that ends must be routed
// again soon, not only when the other daemons hold the daemon dead.
func TestCore_RelaysDoNotWaitForAnEndedOwner(t *testing.T) {
	for seed := range uint64(5) {
		w := newWorld(t, 80+seed, 3)
		for i := range 400 {
			work := modelWork(fmt.Sprintf("check %d", i), 5)
			work.Key = fmt.Sprintf("check-%d", i)
			w.schedule(time.Duration(i)*20*time.Millisecond, func() { w.startCaller(w.daemons[1+i%2], work, 30*time.Second) })
		}
		w.schedule(2*time.Second, func() {
			w.daemons[0].post(ReclaimNotice{Notice: provider.ReclaimNotice{ReclaimAt: w.now.Add(10 * time.Second)}})
		})
		w.runFor(8 * time.Second)
		w.finishAll(30 * time.Second)
		w.verifyInvariants()
		w.requireAnswers()
		for _, c := range w.callers {
			if duration := c.endedAt.Sub(c.started); duration > 4*time.Second {
				t.Errorf("seed %d: %s took %v", 80+seed, c.lastRequest, duration)
			}
		}
	}
}
