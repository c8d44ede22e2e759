package exchange

import (
	"testing"
	"time"
)

func TestPlace_StoppingDaemonTakesNoLongRequest(t *testing.T) {
	c := newTestCore(t, "d1")
	long := testRequest("r", "/talk/x", "k3")
	long.Patience, long.Work = 0, Work{Stated: true, Prompt: 100, MaxOutput: 500}
	ticket := mustAdmit(t, c, zero, long)
	c.Leave(at(2 * time.Second))
	if _, refusal := c.Place(zero, ticket); refusal == nil || refusal.Status != Unavailable {
		t.Fatalf("a request that outlasts the daemon was placed: %+v", refusal)
	}
	short := mustAdmit(t, c, zero, testRequest("s", "/x", "k3"))
	mustPlace(t, c, zero, short)
}

// TestPlace_StoppingDaemonTakesNoLongRequestAgain: a server rejects a request, which has not run, at
// a daemon that stops meanwhile. Fails if the next server gets it although it outlasts the daemon.
func TestPlace_StoppingDaemonTakesNoLongRequestAgain(t *testing.T) {
	c := newTestCore(t, "d1")
	long := testRequest("r", "/talk/x", "k3")
	long.Patience, long.Work = 0, Work{Stated: true, Prompt: 100, MaxOutput: 500}
	ticket := mustAdmit(t, c, zero, long)
	mustPlace(t, c, zero, ticket)
	c.Leave(at(2 * time.Second))
	if refusal := c.Ended(zero, ticket, Rejected); refusal != nil {
		t.Fatalf("not tried again: %+v", *refusal)
	}
	if _, refusal := c.Place(zero, ticket); refusal == nil || refusal.Status != Unavailable || refusal.Code != "leaving" {
		t.Errorf("a request that outlasts the daemon was placed: %+v", refusal)
	}
}

// TestPlace_StoppingDaemonDoesNotTrustTheHint: a caller's estimate of the answer's
// size is often far too low, so the maximum duration of the request must fit into
// the time before the daemon stops.
func TestPlace_StoppingDaemonDoesNotTrustTheHint(t *testing.T) {
	c := newTestCore(t, "d1")
	r := testRequest("r", "/talk/x", "k3")
	r.Patience, r.Work = 0, Work{Stated: true, Prompt: 100, MaxOutput: 500, Output: 20}
	ticket := mustAdmit(t, c, zero, r)
	c.Leave(at(2 * time.Second))
	if _, refusal := c.Place(zero, ticket); refusal == nil || refusal.Status != Unavailable {
		t.Fatalf("a request that may outlast the daemon was placed: %+v", refusal)
	}
}

// TestPlace_StoppingDaemonKnowsTheLongestAnswers: one answer in twelve lasts far longer than the
// others, and nothing tells which. None is taken that would not end before the daemon does.
func TestPlace_StoppingDaemonKnowsTheLongestAnswers(t *testing.T) {
	testLongestAnswers(t, Work{Stated: true, Prompt: 100, MaxOutput: 500})
}

// TestPlace_StoppingDaemonKnowsTheLongestAnswersOfUnstatedSize: the same where requests do not say how
// large their answers may be.
func TestPlace_StoppingDaemonKnowsTheLongestAnswersOfUnstatedSize(t *testing.T) {
	testLongestAnswers(t, Work{})
}

// TestPlace_StoppingDaemonKnowsTheLongestAnswerAmongManyShortOnes: hundreds of short answers follow a
// long one within seconds, as at a busy daemon.
func TestPlace_StoppingDaemonKnowsTheLongestAnswerAmongManyShortOnes(t *testing.T) {
	const long = 4500 * time.Millisecond
	c := newTestCore(t, "d1")
	for _, work := range []Work{{}, {Stated: true, Prompt: 100, MaxOutput: 500}} {
		c.longestRuns.learn(zero, "engine", long, work.MaxOutput)
		for i := range 2000 {
			c.longestRuns.learn(at(time.Duration(i)*10*time.Millisecond), "engine", 30*time.Millisecond, work.MaxOutput)
		}
		if got, _ := c.longestRuns.of(at(20*time.Second), "engine", work.MaxOutput); got < long*99/100 {
			t.Errorf("an answer with %d tokens may last %v, a recent one has lasted %v", work.MaxOutput, got, long)
		}
		for i := range 20 {
			c.longestRuns.learn(at(time.Duration(20+5*i)*time.Second), "engine", 30*time.Millisecond, work.MaxOutput)
		}
		if got, _ := c.longestRuns.of(at(2*time.Minute), "engine", work.MaxOutput); got >= long/2 {
			t.Errorf("an answer with %d tokens may last %v two minutes after the last long one", work.MaxOutput, got)
		}
	}
}

func testLongestAnswers(t *testing.T, work Work) {
	t.Helper()
	const short, long = 500 * time.Millisecond, 4500 * time.Millisecond
	c := newTestCore(t, "d1")
	now := zero
	request := func() *Ticket {
		c.Confirm(now)
		r := testRequest("r", "/talk/x", "k3")
		r.Patience, r.Work = 0, work
		return mustAdmit(t, c, now, r)
	}
	for i := range 48 {
		ticket := request()
		mustPlace(t, c, now, ticket)
		now = now.Add(20 * time.Millisecond)
		c.Started(now, ticket)
		if i%12 == 5 {
			now = now.Add(long - short)
		}
		now = now.Add(short)
		c.Confirm(now)
		c.Ended(now, ticket, Answered)
		c.Finish(now, ticket)
	}
	c.Leave(now.Add(long + 2*time.Second))
	mustPlace(t, c, now, request())
	c.Leave(now.Add(long))
	if _, refusal := c.Place(now, request()); refusal == nil || refusal.Code != "leaving" {
		t.Errorf("a request that may last %v was placed %v before the daemon's end: %+v", long, long, refusal)
	}
}

// TestPlace_StoppingDaemonThatHasSeenFewAnswers: a daemon is told to stop a short time after its start. It does
// not know how long answers may take, and takes only what must end before it does.
func TestPlace_StoppingDaemonThatHasSeenFewAnswers(t *testing.T) {
	for name, work := range map[string]Work{"unstated size": {}, "stated size": {Stated: true, Prompt: 10, MaxOutput: 20}} {
		t.Run(name, func(t *testing.T) {
			c := newTestCore(t, "d1")
			request := func() *Ticket {
				r := testRequest("r", "/talk/x", "k3")
				r.Patience, r.Work = 5*time.Second, work
				return mustAdmit(t, c, zero, r)
			}
			c.Leave(at(4 * time.Second))
			if _, refusal := c.Place(zero, request()); refusal == nil || refusal.Code != "leaving" {
				t.Errorf("a request that may last 5 s was placed 4 s before the daemon's end: %+v", refusal)
			}
			c.Leave(at(6 * time.Second))
			mustPlace(t, c, zero, request())
		})
	}
}

// TestPlace_StoppingDaemonKnowsTheLongestThinking: one plain answer in twelve begins far later than the others.
func TestPlace_StoppingDaemonKnowsTheLongestThinking(t *testing.T) {
	const short, long = 50 * time.Millisecond, 1500 * time.Millisecond
	c := newTestCore(t, "d1")
	now := zero
	request := func() *Ticket {
		c.Confirm(now)
		r := testRequest("r", "/x", "k3")
		r.Patience = 0
		return mustAdmit(t, c, now, r)
	}
	for i := range 48 {
		ticket := request()
		mustPlace(t, c, now, ticket)
		now = now.Add(short)
		if i%12 == 5 {
			now = now.Add(long - short)
		}
		c.Confirm(now)
		c.Started(now, ticket)
		c.Ended(now, ticket, Answered)
		c.Finish(now, ticket)
	}
	c.Leave(now.Add(2 * long))
	mustPlace(t, c, now, request())
	c.Leave(now.Add(long))
	if _, refusal := c.Place(now, request()); refusal == nil || refusal.Code != "leaving" {
		t.Errorf("a request that may last %v was placed %v before the daemon's end: %+v", long, long, refusal)
	}
}

// TestPlace_StoppingDaemonLearnsTheLongestAnswersFromOthers: a daemon that has just started is told to stop. It knows of
// long answers from others, and takes what ends in time.
func TestPlace_StoppingDaemonLearnsTheLongestAnswersFromOthers(t *testing.T) {
	const long = 3 * time.Second
	for name, work := range map[string]Work{"unstated size": {}, "stated size": {Stated: true, Prompt: 10, MaxOutput: 20}} {
		t.Run(name, func(t *testing.T) {
			settled, young := newTestCore(t, "d1"), newTestCore(t, "d2")
			for range minKnownRuns {
				settled.longestRuns.countSent(zero, "engine", work.MaxOutput)
			}
			settled.longestRuns.learn(at(long), "engine", long, work.MaxOutput)
			now := at(longestRunPeriod - time.Second)
			for range updatesPerFullUpdate {
				update := settled.NextUpdate(now)
				young.ReceiveUpdate(now, &update, 0)
			}
			young.Confirm(now)
			request := func() *Ticket {
				r := testRequest("r", "/talk/x", "k3")
				r.Patience, r.Work = time.Minute, work
				return mustAdmit(t, young, now, r)
			}
			young.Leave(now.Add(long))
			if _, refusal := young.Place(now, request()); refusal == nil || refusal.Code != "leaving" {
				t.Errorf("a request that may last %v was placed %v before the daemon's end: %+v", long, long, refusal)
			}
			young.Leave(now.Add(long + long/2 + maxSoundSilence))
			mustPlace(t, young, now, request())
		})
	}
}

// TestPlace_StoppingDaemonWhoseLongAnswersStillRun: a daemon is told to stop at any moment of the first seconds of its
// requests. The short answers end, the long ones do not, and no other daemon is there to tell, or is told.
func TestPlace_StoppingDaemonWhoseLongAnswersStillRun(t *testing.T) {
	const short, left, interval = 600 * time.Millisecond, 3 * time.Second, 2 * time.Millisecond
	for name, work := range map[string]Work{"unstated size": {}, "stated size": {Stated: true, Prompt: 10, MaxOutput: 500}} {
		t.Run(name, func(t *testing.T) {
			c := newTestCore(t, "d1")
			doc := testDocument(2)
			for i := range doc.Routes {
				doc.Routes[i].Objective = 0
			}
			c.SetDocument(zero, doc)
			c.PutServer(zero, BackendServer{ID: "large", Born: 1, Service: "engine", Address: "10.0.0.9:1", DataCentre: "a", Slots: 4000, State: Ready})
			request := func(now time.Time) *Ticket {
				c.Confirm(now)
				r := testRequest("r", "/talk/x", "k3")
				r.Patience, r.Work = time.Minute, work
				return mustAdmit(t, c, now, r)
			}
			var running []*Ticket
			for now := zero; now.Before(at(left)); now = now.Add(interval) {
				if n := len(running) - int(short/interval); n >= 0 && n%12 != 5 {
					c.Ended(now, running[n], Answered)
					c.Finish(now, running[n])
				}
				ticket := request(now)
				mustPlace(t, c, now, ticket)
				c.Started(now, ticket)
				running = append(running, ticket)
				c.Leave(now.Add(left))
				if _, refusal := c.Place(now, request(now)); refusal == nil || refusal.Code != "leaving" {
					t.Fatalf("%v after the first request, another was placed %v before the daemon's end: %+v", now.Sub(zero), left, refusal)
				}
				if told := c.answerDurations(now); len(told) > 0 {
					t.Fatalf("%v after the first request, others are told %+v", now.Sub(zero), told)
				}
				c.leaving = false
			}
		})
	}
}

// TestPlace_StoppingDaemonAllowsForASilentServer: streams were cut at a stop's end whose servers had fallen silent for
// a second, which is no disruption. What ends by its deadline is taken all the same.
func TestPlace_StoppingDaemonAllowsForASilentServer(t *testing.T) {
	const usual, silence = time.Second, 1400 * time.Millisecond
	for name, work := range map[string]Work{"unstated size": {}, "stated size": {Stated: true, Prompt: 10, MaxOutput: 20}} {
		t.Run(name, func(t *testing.T) {
			c := newTestCore(t, "d1")
			for range minKnownRuns {
				c.longestRuns.countSent(zero, "engine", work.MaxOutput)
			}
			c.longestRuns.learn(at(usual), "engine", usual, work.MaxOutput)
			now := at(4 * usual)
			c.Confirm(now)
			request := func(patience time.Duration) *Ticket {
				r := testRequest("r", "/talk/x", "k3")
				r.Patience, r.Work = patience, work
				return mustAdmit(t, c, now, r)
			}
			c.Leave(now.Add(usual + silence))
			if _, refusal := c.Place(now, request(time.Minute)); refusal == nil || refusal.Code != "leaving" {
				t.Errorf("a stream that lasts %v was placed %v before the daemon's end: %+v", usual, usual+silence, refusal)
			}
			mustPlace(t, c, now, request(usual+silence))
			c.Leave(now.Add(2 * (usual + silence)))
			mustPlace(t, c, now, request(time.Minute))
		})
	}
}
