package grant

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

func TestGrants_SlotsAreNeverExceeded(t *testing.T) {
	w := testWorld(1, 9, 6, 4)
	requests := submitMany(w, "r", 200, 40)
	w.run(30 * time.Second)
	mustComplete(t, w, requests)
	for _, e := range w.engines {
		if e.maxRunning > e.backend.Slots {
			t.Errorf("%s ran %d at once, slots %d", e.backend.ID, e.maxRunning, e.backend.Slots)
		}
		if e.maxRunning == 0 {
			t.Errorf("%s ran nothing", e.backend.ID)
		}
	}
}

func TestGrants_SingleDaemonDecidesAtOnce(t *testing.T) {
	w := newWorld(1, testService(1, 1))
	n := w.addNode(testLocations[0], nil)
	w.syncMembers()
	n.g.Acquire(w.now, Acquisition{Request: "r", Attempt: 1, Service: "model", Organisation: "large"})
	r := n.g.Ready()
	if len(r.Send) != 0 || len(r.Decisions) != 1 || r.Decisions[0].Backend == nil {
		t.Fatalf("got %+v, want one granted decision and no messages", r)
	}
}

func TestGrants_DeadlineThatCannotBeMetIsRefusedAtOnce(t *testing.T) {
	w := testWorld(1, 3, 1, 1)
	submitMany(w, "warm", 3, 40) // 1.1 s each, from which the coordinator estimates the wait
	w.run(6 * time.Second)
	submitMany(w, "queue", 10, 40)
	w.run(6500 * time.Millisecond)
	r := testRequest("hurried", 40)
	r.acquisition.Deadline = w.now.Add(3 * time.Second)
	w.nodes[0].submit(r)
	w.run(6700 * time.Millisecond)
	if r.err == nil || verdict.Of(r.err) != verdict.NotRun || verdict.CodeOf(r.err) != "deadline" {
		t.Fatalf("err = %v, want not-run with code deadline", r.err)
	}
	if _, ok := verdict.RetryAfter(r.err); !ok || r.sendCount != 0 {
		t.Fatalf("no time to retry after, or sent %d times", r.sendCount)
	}
}

func TestGrants_LostMessagesAreCompensated(t *testing.T) {
	w := testWorld(3, 9, 6, 4)
	w.loss = 0.2
	requests := submitMany(w, "r", 200, 20)
	w.run(120 * time.Second)
	mustComplete(t, w, requests)
	w.loss = 0
	w.run(200 * time.Second)
	for _, n := range w.nodes {
		for _, s := range n.g.Snapshot().Services {
			if s.Busy+s.Queued > 0 {
				t.Errorf("%s still has busy slots or queued requests: %+v", n.id, s)
			}
		}
	}
}

func TestGrants_LostCoordinatorIsReplaced(t *testing.T) {
	w := testWorld(4, 6, 3, 4)
	lost := w.node(w.nodes[0].g.servers.Get("server-000").coordinator.id)
	var requests []*request
	for i := range 60 {
		r := testRequest(fmt.Sprintf("r-%d", i), 60+i%7)
		requests = append(requests, r)
		n := w.nodes[i%len(w.nodes)]
		if n.location == lost.location { // so that other daemons hold grants of the lost coordinator
			n = w.nodes[(i+1+i/6%2)%len(w.nodes)]
		}
		n.submit(r)
	}
	w.run(2 * time.Second)
	lost.dead = true
	w.after(300*time.Millisecond, w.syncMembers)
	w.run(120 * time.Second)
	mustComplete(t, w, requests)
	for _, r := range requests {
		if r.sendCount != 1 {
			t.Errorf("%s ran %d times", r.acquisition.Request, r.sendCount)
		}
	}
	for _, e := range w.engines {
		if e.maxRunning > e.backend.Slots {
			t.Errorf("%s ran %d at once, slots %d", e.backend.ID, e.maxRunning, e.backend.Slots)
		}
	}
}

func TestGrants_TwoCoordinatorsOnlyOverload(t *testing.T) {
	w := testWorld(5, 6, 3, 4)
	for i, n := range w.nodes { // each half of the daemons knows only its own members
		var members []Member
		for j, o := range w.nodes {
			if i%2 == j%2 {
				members = append(members, Member{ID: o.id, Location: o.location})
			}
		}
		n.g.SetMembers(w.now, members)
		n.processReady()
	}
	requests := submitMany(w, "r", 120, 40)
	w.run(4 * time.Second)
	w.syncMembers()
	w.run(4200 * time.Millisecond)
	w.onStart = func(_ *request, e *engine) {
		if e.running.Len()+len(e.queue) >= e.backend.Slots {
			t.Errorf("%s still overloaded %v after the daemons agreed", e.backend.ID, w.now.Sub(w.start)-4*time.Second)
		}
	}
	w.run(60 * time.Second)
	mustComplete(t, w, requests)
	for _, e := range w.engines {
		if e.maxRunning > 2*e.backend.Slots {
			t.Errorf("%s ran %d at once, want at most twice its slots", e.backend.ID, e.maxRunning)
		}
	}
	for _, r := range requests {
		if r.sendCount != 1 {
			t.Errorf("%s ran %d times", r.acquisition.Request, r.sendCount)
		}
	}
}

func TestGrants_DeadRequestersGrantsAreReclaimed(t *testing.T) {
	for _, announced := range []bool{true, false} {
		w := testWorld(6, 3, 1, 4)
		coordinator := w.nodes[0].g.servers.Get("server-000").coordinator.id
		requester := w.nodes[0]
		if requester.id == coordinator {
			requester = w.nodes[1]
		}
		for _, id := range []string{"a", "b", "c", "d"} {
			requester.submit(testRequest(id, 10))
		}
		w.run(1050 * time.Millisecond)
		requester.dead = true
		if announced {
			w.syncMembers()
		}
		r := testRequest("next", 10)
		for _, n := range w.nodes {
			if !n.dead {
				n.submit(r)
				break
			}
		}
		limit := 2 * time.Second
		if !announced {
			limit = defaultSilenceTimeout + 2*silenceCheckInterval
		}
		w.run(time.Second + limit)
		if r.done.IsZero() {
			t.Errorf("death announced %v: the next request has not completed after %v", announced, limit)
		}
	}
}

func TestGrants_DrainingServerGetsNoNewWork(t *testing.T) {
	for seed := range uint64(40) {
		w := testWorld(seed, 9, 6, 4)
		w.loss = []float64{0.05, 0.3}[seed%2]
		var lateStarts int
		var announcedAt time.Time
		w.onStart = func(_ *request, e *engine) {
			if e.backend.ID == "server-002" && !announcedAt.IsZero() && w.now.Sub(announcedAt) > 3*time.Second {
				lateStarts++
			}
		}
		i := 0
		w.arrivals(14, 20*time.Second, func(int) *request {
			i++
			return testRequest(string(rune('a'+i%26))+time.Duration(i).String(), 40)
		})
		w.run(5 * time.Second)
		announcedAt = w.now
		n := w.nodes[w.rng.IntN(len(w.nodes))]
		n.g.SetDraining(w.now, "server-002", "reclaim", true)
		n.processReady()
		w.run(60 * time.Second)
		if lateStarts > 0 {
			t.Errorf("seed %d: %d starts more than 3 s after the drain began", seed, lateStarts)
		}
		if !n.g.Drained("server-002") || len(w.finished) != i {
			t.Errorf("seed %d: drained %v, %d of %d completed, %d refused", seed, n.g.Drained("server-002"), len(w.finished), i, len(w.refused))
		}
	}
}

func TestGrants_DrainingServerRejectsWaitingRequests(t *testing.T) {
	w := testWorld(7, 3, 2, 1)
	requests := submitMany(w, "r", 6, 40)
	w.run(1200 * time.Millisecond)
	w.nodes[0].g.SetDraining(w.now, "server-000", "scale-in", true)
	w.nodes[0].processReady()
	w.run(1210 * time.Millisecond)
	for _, n := range w.nodes {
		for _, s := range n.g.Snapshot().Backends {
			if s.Exact && s.Backend == "server-000" && s.Queued > 0 {
				t.Errorf("%d requests still wait for the draining server", s.Queued)
			}
		}
	}
	w.run(30 * time.Second)
	mustComplete(t, w, requests)
	if e := w.engine("server-000"); e.served > 2*40 {
		t.Fatalf("the draining server served %d tokens", e.served)
	}
}

func TestGrants_OnlyAndExclude(t *testing.T) {
	w := testWorld(8, 3, 3, 4)
	only := testRequest("only", 10)
	only.acquisition.Only = "server-001"
	excluding := testRequest("not", 10)
	excluding.acquisition.Exclude = []entity.BackendServerID{"server-000", "server-001"}
	ranOn := entity.NewTable[entity.RequestID, engine]()
	w.onStart = func(r *request, e *engine) { ranOn.Put(r.acquisition.Request, e) }
	w.nodes[0].submit(only)
	w.nodes[0].submit(excluding)
	w.run(3 * time.Second)
	if ranOn.Get("only").backend.ID != "server-001" || ranOn.Get("not").backend.ID != "server-002" {
		t.Fatalf("ran on %s and %s", ranOn.Get("only").backend.ID, ranOn.Get("not").backend.ID)
	}
}

func TestGrants_DisagreementOnCoordinatorsDoesNotStopWork(t *testing.T) {
	w := testWorld(5, 6, 1, 4)
	for i, n := range w.nodes { // each daemon knows all daemons but one
		var members []Member
		for j, o := range w.nodes {
			if j != (i+1)%len(w.nodes) {
				members = append(members, Member{ID: o.id, Location: o.location})
			}
		}
		n.g.SetMembers(w.now, members)
		n.processReady()
	}
	requests := submitMany(w, "r", 24, 40)
	w.run(20 * time.Second)
	mustComplete(t, w, requests)
}

func TestGrants_ResumedAttemptKeepsItsSlot(t *testing.T) {
	w := testWorld(9, 3, 1, 2)
	submitMany(w, "r", 6, 200) // two run and four wait
	w.run(2 * time.Second)
	first := w.engines[0].running.Keys()[0]
	n := w.nodes[0].g
	n.SetDraining(w.now, "server-000", "reclaim", true)
	w.nodes[0].processReady()
	w.run(2100 * time.Millisecond)
	successor := w.nodes[1]
	if successor.openRequests.Get(first.request) != nil {
		successor = w.nodes[2]
	}
	successor.g.Acquire(w.now, Acquisition{Request: first.request, Attempt: first.attempt + 1, Service: "model", Only: "server-000", Resume: true})
	successor.processReady()
	w.run(2110 * time.Millisecond)
	if x := successor.g.acquisitions.Get(acquisitionKey{first.request, first.attempt + 1}); x == nil || x.backend == nil {
		t.Fatalf("the resumed attempt has no grant: %+v", x)
	}
	for _, o := range w.nodes {
		for _, s := range o.g.Snapshot().Backends {
			if s.Exact && s.Busy != 2 {
				t.Errorf("%d slots in use, want 2", s.Busy)
			}
		}
	}
}
