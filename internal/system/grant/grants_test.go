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
	mustFinish(t, w, requests)
	for _, e := range w.engines {
		if e.peak > e.backend.Slots {
			t.Errorf("%s ran %d at once, slots %d", e.backend.ID, e.peak, e.backend.Slots)
		}
		if e.peak == 0 {
			t.Errorf("%s ran nothing", e.backend.ID)
		}
	}
}

func TestGrants_AloneDaemonDecidesAtOnce(t *testing.T) {
	w := newWorld(1, testService(1, 1))
	n := w.addNode(testPlaces[0], nil)
	w.meet()
	n.g.Want(w.now, Want{Request: "r", Attempt: 1, Service: "model", Organisation: "large"})
	r := n.g.Ready()
	if len(r.Send) != 0 || len(r.Decisions) != 1 || r.Decisions[0].Backend == nil {
		t.Fatalf("got %+v", r)
	}
}

func TestGrants_DeadlineThatCannotBeMetIsRefusedAtOnce(t *testing.T) {
	w := testWorld(1, 3, 1, 1)
	submitMany(w, "warm", 3, 40) // 1.1 s each: the coordinator learns the pace
	w.run(6 * time.Second)
	submitMany(w, "queue", 10, 40)
	w.run(6500 * time.Millisecond)
	r := testRequest("hurried", 40)
	r.want.Deadline = w.now.Add(3 * time.Second)
	w.nodes[0].submit(r)
	w.run(6700 * time.Millisecond)
	if r.err == nil || verdict.Of(r.err) != verdict.NotRun || verdict.CodeOf(r.err) != "deadline" {
		t.Fatalf("err = %v", r.err)
	}
	if _, ok := verdict.RetryAfter(r.err); !ok || r.run != 0 {
		t.Fatalf("no time to try again, or run %d times", r.run)
	}
}

func TestGrants_LostMessagesHeal(t *testing.T) {
	w := testWorld(3, 9, 6, 4)
	w.loss = 0.2
	requests := submitMany(w, "r", 200, 20)
	w.run(120 * time.Second)
	mustFinish(t, w, requests)
	w.loss = 0
	w.run(200 * time.Second)
	for _, n := range w.nodes {
		for _, s := range n.g.Snapshot().Services {
			if s.Busy+s.Queued > 0 {
				t.Errorf("%s: %+v", n.id, s)
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
		if n.place == lost.place { // so that others hold its grants
			n = w.nodes[(i+1+i/6%2)%len(w.nodes)]
		}
		n.submit(r)
	}
	w.run(2 * time.Second)
	lost.dead = true
	w.after(300*time.Millisecond, w.meet)
	w.run(120 * time.Second)
	mustFinish(t, w, requests)
	for _, r := range requests {
		if r.run != 1 {
			t.Errorf("%s ran %d times", r.want.Request, r.run)
		}
	}
	for _, e := range w.engines {
		if e.peak > e.backend.Slots {
			t.Errorf("%s ran %d at once, slots %d", e.backend.ID, e.peak, e.backend.Slots)
		}
	}
}

func TestGrants_TwoCoordinatorsOnlyOverload(t *testing.T) {
	w := testWorld(5, 6, 3, 4)
	for i, n := range w.nodes { // each half knows only itself
		var half []Member
		for j, o := range w.nodes {
			if i%2 == j%2 {
				half = append(half, Member{ID: o.id, Place: o.place})
			}
		}
		n.g.SetMembers(w.now, half)
		n.drain()
	}
	requests := submitMany(w, "r", 120, 40)
	w.run(4 * time.Second)
	w.meet()
	w.run(4200 * time.Millisecond)
	w.onStart = func(_ *request, e *engine) {
		if e.running.Len()+len(e.queue) >= e.backend.Slots {
			t.Errorf("%s still overloaded %v after the daemons agreed", e.backend.ID, w.now.Sub(w.start)-4*time.Second)
		}
	}
	w.run(60 * time.Second)
	mustFinish(t, w, requests)
	for _, e := range w.engines {
		if e.peak > 2*e.backend.Slots {
			t.Errorf("%s ran %d at once", e.backend.ID, e.peak)
		}
	}
	for _, r := range requests {
		if r.run != 1 {
			t.Errorf("%s ran %d times", r.want.Request, r.run)
		}
	}
}

func TestGrants_DeadAskersGrantsAreReclaimed(t *testing.T) {
	for _, told := range []bool{true, false} {
		w := testWorld(6, 3, 1, 4)
		coordinator := w.nodes[0].g.servers.Get("server-000").coordinator.id
		asker := w.nodes[0]
		if asker.id == coordinator {
			asker = w.nodes[1]
		}
		for _, id := range []string{"a", "b", "c", "d"} {
			asker.submit(testRequest(id, 10))
		}
		w.run(1050 * time.Millisecond)
		asker.dead = true
		if told {
			w.meet()
		}
		r := testRequest("next", 10)
		for _, n := range w.nodes {
			if !n.dead {
				n.submit(r)
				break
			}
		}
		limit := 2 * time.Second
		if !told {
			limit = defaultSilenceLimit + 2*silenceInterval
		}
		w.run(time.Second + limit)
		if r.done.IsZero() {
			t.Errorf("told %v: the next request has no slot after %v", told, limit)
		}
	}
}

func TestGrants_LeavingServerGetsNoNewWork(t *testing.T) {
	for seed := range uint64(40) {
		w := testWorld(seed, 9, 6, 4)
		w.loss = []float64{0.05, 0.3}[seed%2]
		var late int
		var learnt time.Time
		w.onStart = func(_ *request, e *engine) {
			if e.backend.ID == "server-002" && !learnt.IsZero() && w.now.Sub(learnt) > 3*time.Second {
				late++
			}
		}
		i := 0
		w.arrivals(14, 20*time.Second, func(int) *request {
			i++
			return testRequest(string(rune('a'+i%26))+time.Duration(i).String(), 40)
		})
		w.run(5 * time.Second)
		learnt = w.now
		n := w.nodes[w.rng.IntN(len(w.nodes))]
		n.g.SetLeaving(w.now, "server-002", "reclaim", true)
		n.drain()
		w.run(60 * time.Second)
		if late > 0 {
			t.Errorf("seed %d: %d starts more than 3 s after the news", seed, late)
		}
		if !n.g.Drained("server-002") || len(w.finished) != i {
			t.Errorf("seed %d: drained %v, %d of %d finished %d refused", seed, n.g.Drained("server-002"), len(w.finished), i, len(w.refused))
		}
	}
}

func TestGrants_LeavingSendsWaitingAsksElsewhere(t *testing.T) {
	w := testWorld(7, 3, 2, 1)
	requests := submitMany(w, "r", 6, 40)
	w.run(1200 * time.Millisecond)
	w.nodes[0].g.SetLeaving(w.now, "server-000", "scale-in", true)
	w.nodes[0].drain()
	w.run(1210 * time.Millisecond)
	for _, n := range w.nodes {
		for _, s := range n.g.Snapshot().Backends {
			if s.Exact && s.Backend == "server-000" && s.Queued > 0 {
				t.Errorf("%d asks still wait for the leaving server", s.Queued)
			}
		}
	}
	w.run(30 * time.Second)
	mustFinish(t, w, requests)
	if e := w.engine("server-000"); e.served > 2*40 {
		t.Fatalf("the leaving server served %d tokens", e.served)
	}
}

func TestGrants_OnlyAndExclude(t *testing.T) {
	w := testWorld(8, 3, 3, 4)
	only := testRequest("only", 10)
	only.want.Only = "server-001"
	not := testRequest("not", 10)
	not.want.Exclude = []entity.BackendServerID{"server-000", "server-001"}
	seen := entity.NewTable[entity.RequestID, engine]()
	w.onStart = func(r *request, e *engine) { seen.Put(r.want.Request, e) }
	w.nodes[0].submit(only)
	w.nodes[0].submit(not)
	w.run(3 * time.Second)
	if seen.Get("only").backend.ID != "server-001" || seen.Get("not").backend.ID != "server-002" {
		t.Fatalf("ran on %s and %s", seen.Get("only").backend.ID, seen.Get("not").backend.ID)
	}
}

func TestGrants_DisagreementOnCoordinatorsDoesNotStopWork(t *testing.T) {
	w := testWorld(5, 6, 1, 4)
	for i, n := range w.nodes { // each knows the others but one
		var some []Member
		for j, o := range w.nodes {
			if j != (i+1)%len(w.nodes) {
				some = append(some, Member{ID: o.id, Place: o.place})
			}
		}
		n.g.SetMembers(w.now, some)
		n.drain()
	}
	requests := submitMany(w, "r", 24, 40)
	w.run(20 * time.Second)
	mustFinish(t, w, requests)
}

func TestGrants_ResumedAttemptKeepsItsSlot(t *testing.T) {
	w := testWorld(9, 3, 1, 2)
	submitMany(w, "r", 6, 200) // two run, four wait
	w.run(2 * time.Second)
	first := w.engines[0].running.Keys()[0]
	n := w.nodes[0].g
	n.SetLeaving(w.now, "server-000", "reclaim", true)
	w.nodes[0].drain()
	w.run(2100 * time.Millisecond)
	heir := w.nodes[1]
	if heir.open.Get(first.request) != nil {
		heir = w.nodes[2]
	}
	heir.g.Want(w.now, Want{Request: first.request, Attempt: first.attempt + 1, Service: "model", Only: "server-000", Resume: true})
	heir.drain()
	w.run(2110 * time.Millisecond)
	if x := heir.g.wants.Get(wantKey{first.request, first.attempt + 1}); x == nil || x.backend == nil {
		t.Fatalf("no grant: %+v", x)
	}
	for _, o := range w.nodes {
		for _, s := range o.g.Snapshot().Backends {
			if s.Exact && s.Busy != 2 {
				t.Errorf("%d slots in use, want 2", s.Busy)
			}
		}
	}
}
