package placement

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

var start = time.Unix(0, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func newPlacer(servers int) *Placer {
	p := New(rand.New(rand.NewPCG(1, 1)))
	for i := range servers {
		p.SetServer(Server{
			ID: entity.BackendServerID("s" + strconv.Itoa(i)), Service: "m", DataCentre: "a", Slots: 16, Memory: 200_000,
		})
	}
	return p
}

func allUsable(entity.BackendServerID) bool { return true }

func query(prompt entity.Tokens, parts ...Part) Query {
	return Query{Service: "m", DataCentre: "a", Prompt: prompt, Output: 100, Parts: parts}
}

func place(t *testing.T, p *Placer, now time.Time, q Query) (*Reservation, Choice) {
	t.Helper()
	c, ok := p.Choose(now, q, allUsable)
	if !ok {
		t.Fatal("no backend server chosen")
	}
	return p.Reserve(now, c, q.Parts), c
}

func TestChoose_SharedPromptGoesWhereItIsCached(t *testing.T) {
	p := newPlacer(6)
	shared := Part{ID: 7, Tokens: 6000}
	first, _ := place(t, p, start, query(7000, shared, Part{ID: 100, Tokens: 1000}))
	p.RecordFirstEvent(at(time.Second), first)
	for i := range 10 {
		reservation, c := place(t, p, at(time.Second), query(7000, shared, Part{ID: uint64(200 + i), Tokens: 1000}))
		if reservation.Server != first.Server || c.Uncached != 1000 {
			t.Fatalf("request %d went to %s and reads %d tokens", i, reservation.Server, c.Uncached)
		}
		p.RecordFirstEvent(at(time.Second), reservation)
		p.Release(at(time.Second), reservation, true)
	}
}

func TestChoose_HotPromptSpreadsBeforeItWaits(t *testing.T) {
	p := newPlacer(4)
	shared := Part{ID: 7, Tokens: 6000}
	seen := map[entity.BackendServerID]bool{}
	for i := range 60 {
		reservation, _ := place(t, p, start, query(7000, shared, Part{ID: uint64(i), Tokens: 1000}))
		seen[reservation.Server] = true
	}
	if len(seen) < 3 {
		t.Fatalf("60 waiting requests are on %d of 4 servers", len(seen))
	}
}

func TestChoose_PeersLoadCounts(t *testing.T) {
	p := newPlacer(2)
	p.ReceiveLoads(start, "peer", []ServerLoad{{Server: "s0", Waiting: waiting(0, 4, 40_000), Memory: 40_000}}, 2*time.Second)
	for range 2 {
		if reservation, _ := place(t, p, start, query(2000)); reservation.Server != "s1" {
			t.Fatal("placed where another daemon's prompts wait")
		}
	}
	p.ReceiveLoads(at(3*time.Second), "other", nil, 2*time.Second) // the first peer's load has expired
	if c, _ := p.Choose(at(3*time.Second), query(2000), allUsable); c.Server != "s0" {
		t.Fatal("the load of a silent daemon still counts")
	}
}

func TestChoose_FailingServerIsAvoidedAndTriedAgain(t *testing.T) {
	p := newPlacer(3)
	for range 4 {
		p.RecordFailure(start, "s0", 1)
	}
	for range 30 {
		reservation, _ := place(t, p, start, query(100))
		if reservation.Server == "s0" {
			t.Fatal("placed on a server that has just failed four requests")
		}
		p.Release(start, reservation, false)
	}
	found := false
	for range 60 {
		reservation, _ := place(t, p, at(20*time.Second), query(100))
		found = found || reservation.Server == "s0"
	}
	if !found {
		t.Fatal("a server that failed long ago is never tried again")
	}
}

func TestChoose_FullMemoryIsAvoided(t *testing.T) {
	p := newPlacer(2)
	p.ReceiveLoads(start, "peer", []ServerLoad{{Server: "s0", Running: 3, Memory: 190_000}}, 2*time.Second)
	if reservation, _ := place(t, p, start, query(20_000)); reservation.Server != "s1" {
		t.Fatal("placed where running requests would be preempted")
	}
}

func waiting(rank, requests int, prompt entity.Tokens) Waiting {
	var w Waiting
	w.Requests[rank], w.Prompt[rank] = requests, prompt
	return w
}

// TestChoose_UrgentRequestsPassThoseWithoutASlot: if all slots of an engine are
// in use, less urgent requests that wait do not delay an urgent one, and wait
// for slots themselves.
func TestChoose_UrgentRequestsPassThoseWithoutASlot(t *testing.T) {
	p := newPlacer(1)
	p.ReceiveLoads(start, "peer", []ServerLoad{{Server: "s0", Running: 15, Waiting: waiting(4, 20, 100_000)}}, time.Minute)
	low := query(2000)
	low.Rank = 4
	urgent, _ := p.Choose(start, query(2000), allUsable)
	lessUrgent, _ := p.Choose(start, low, allUsable)
	if urgent.Cost > 300*time.Millisecond || lessUrgent.Cost < time.Second {
		t.Fatalf("expected time to the first event: %v for an urgent request, %v for a less urgent one", urgent.Cost, lessUrgent.Cost)
	}
}

// TestChoose_AdmittedPromptsAreReadFirst: the prompts of requests that have a
// slot are read in the order of their arrival, whatever their rank.
func TestChoose_AdmittedPromptsAreReadFirst(t *testing.T) {
	p := newPlacer(1)
	p.ReceiveLoads(start, "peer", []ServerLoad{{Server: "s0", Running: 2, Waiting: waiting(4, 4, 60_000)}}, time.Minute)
	if c, _ := p.Choose(start, query(2000), allUsable); c.Cost < 700*time.Millisecond {
		t.Fatalf("expected time to the first event is %v behind 60,000 tokens of admitted requests", c.Cost)
	}
}

func TestReserve_EverythingIsReleased(t *testing.T) {
	p := newPlacer(3)
	rng := rand.New(rand.NewPCG(3, 3))
	var reservations []*Reservation
	for i := range 500 {
		reservation, _ := place(t, p, start, query(entity.Tokens(rng.IntN(5000)), Part{ID: uint64(i), Tokens: 10}))
		reservations = append(reservations, reservation)
	}
	for i, reservation := range reservations {
		if i%2 == 0 {
			p.RecordFirstEvent(at(time.Second), reservation)
		}
		p.Release(at(2*time.Second), reservation, i%4 == 0)
	}
	if sums := p.ServerLoads(); len(sums) > 0 {
		t.Fatalf("load remains after all requests have ended: %+v", sums)
	}
}

func TestSpeed_LearnsTheLine(t *testing.T) {
	s := newLine()
	rng := rand.New(rand.NewPCG(5, 5))
	for range 2000 {
		tokens := rng.Float64() * 30_000
		s.learn(tokens, 80+0.03*tokens+rng.NormFloat64()*10)
	}
	if got := s.predict(10_000); got < 360 || got > 400 {
		t.Fatalf("predicted %.0f ms for 10,000 tokens, want about 380", got)
	}
}

func TestWork_WaitingAddsNoServers(t *testing.T) {
	p := New(rand.New(rand.NewPCG(6, 6)))
	p.SetServer(Server{ID: "e", Service: "m", DataCentre: "a", Slots: 4, Memory: 1_000_000})
	demand := Demand{Prompt: 1_000_000}
	run := func(concurrent int, msPerToken float64) {
		for _, prompt := range []entity.Tokens{500, 8000} {
			var reservations []*Reservation
			for range concurrent {
				reservation, _ := place(t, p, start, query(prompt))
				reservations = append(reservations, reservation)
			}
			millis := 50 + msPerToken*float64(prompt)
			for _, reservation := range reservations {
				p.RecordFirstEvent(at(time.Duration(millis)*time.Millisecond), reservation)
				p.Release(at(10*time.Second), reservation, true)
			}
		}
	}
	for range 300 {
		run(1, 0.01)
	}
	before := p.BusyServers("m", demand)
	for range 300 {
		run(4, 0.4) // an overload of the engine
	}
	if after := p.BusyServers("m", demand); after > 1.2*before {
		t.Fatalf("%.1f servers for a demand for which %.1f were enough before the overload", after, before)
	}
}

func TestPromptCache_ForgetsTheOldest(t *testing.T) {
	c := newPromptCache(2000)
	for i := range 5 {
		c.addKeys(at(time.Duration(i)*time.Second), chainKeys([]Part{{ID: uint64(i), Tokens: 400}}))
	}
	if c.uncached(500, chainKeys([]Part{{ID: 0, Tokens: 400}})) != 500 {
		t.Fatal("the oldest part still counts as cached")
	}
	if c.uncached(500, chainKeys([]Part{{ID: 4, Tokens: 400}})) != 100 {
		t.Fatal("the newest part does not count as cached")
	}
}
