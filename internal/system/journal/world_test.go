package journal

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// kindGivenUp marks a request that its executor has given up; the journal emits
// no such outcome.
const kindGivenUp OutcomeKind = 0

var simulationStart = time.Unix(1_700_000_000, 0)

// world simulates several journals and one store in virtual time.
type world struct {
	t       testFailer
	now     time.Time
	rand    *rand.Rand
	events  worldEvents
	seq     uint64
	store   *store
	daemons []*daemon

	dispatched    map[entity.RequestID]int
	keyDispatches map[string][]entity.RequestID // dispatches of keys that are not repeatable
	delivered     map[string]*Answer
	finalOutcomes map[entity.RequestID]Outcome
	submitted     map[entity.RequestID]KeyedRequest
	leaderOf      map[entity.RequestID]entity.RequestID
}

type testFailer interface {
	Helper()
	Fatalf(format string, args ...any)
}

type worldEvent struct {
	at  time.Time
	seq uint64
	on  *daemon // the daemon that runs the event; nil: none
	run func()
}

type worldEvents []worldEvent

func (e worldEvents) Len() int { return len(e) }

func (e worldEvents) Less(a, b int) bool {
	if e[a].at.Equal(e[b].at) {
		return e[a].seq < e[b].seq
	}
	return e[a].at.Before(e[b].at)
}

func (e worldEvents) Swap(a, b int) { e[a], e[b] = e[b], e[a] }

func (e *worldEvents) Push(x any) { *e = append(*e, x.(worldEvent)) }

func (e *worldEvents) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func newWorld(t testFailer, seed uint64) *world {
	w := &world{
		t: t, now: simulationStart, rand: rand.New(rand.NewPCG(seed, 1)),
		dispatched: map[entity.RequestID]int{}, keyDispatches: map[string][]entity.RequestID{},
		delivered: map[string]*Answer{}, finalOutcomes: map[entity.RequestID]Outcome{},
		submitted: map[entity.RequestID]KeyedRequest{}, leaderOf: map[entity.RequestID]entity.RequestID{},
	}
	w.store = &store{
		w: w, rows: tableRows{}, objects: map[string][]byte{},
		answers: map[keyHash]entity.RequestID{}, latency: 5 * time.Millisecond,
	}
	return w
}

func (w *world) schedule(d time.Duration, on *daemon, run func()) {
	w.seq++
	heap.Push(&w.events, worldEvent{at: w.now.Add(d), seq: w.seq, on: on, run: run})
}

// run advances the virtual time by d and runs what is due.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(worldEvent)
		w.now = e.at
		if e.on != nil && e.on.pausedUntil.After(w.now) {
			w.seq++
			e.at, e.seq = e.on.pausedUntil, w.seq
			heap.Push(&w.events, e)
			continue
		}
		if e.on != nil && e.on.dead {
			continue
		}
		e.run()
		if e.on != nil {
			e.on.processReady()
		}
	}
	w.now = end
}

// daemon is one journal with a simulated executor that calls it as its
// documentation requires.
type daemon struct {
	w           *world
	id          entity.InstanceID
	journal     *Journal
	pausedUntil time.Time
	dead        bool
	tickAt      time.Time

	runDuration   time.Duration // how long a request runs on a backend server
	executorDelay func() time.Duration
	giveUp        func() bool // whether the executor gives a request up after Claimed, before dispatch
	outcomes      []Outcome
	attempts      map[entity.RequestID]entity.AttemptNumber
	manual        bool // the test makes the executor's calls itself
	bodyBytes     int  // size of an answer's body
}

func (w *world) addDaemon(id entity.InstanceID, change func(*Config)) *daemon {
	cfg := Config{Self: id, Shards: 1, Rand: rand.New(rand.NewPCG(uint64(len(w.daemons)), 7))}
	if change != nil {
		change(&cfg)
	}
	d := &daemon{
		w: w, id: id, journal: New(cfg), runDuration: 50 * time.Millisecond,
		executorDelay: func() time.Duration { return 0 }, giveUp: func() bool { return false },
		attempts: map[entity.RequestID]entity.AttemptNumber{}, bodyBytes: 10,
	}
	w.daemons = append(w.daemons, d)
	return d
}

func (w *world) setMembers(ids ...entity.InstanceID) {
	for _, d := range w.daemons {
		d.setMembers(ids...)
	}
}

func (d *daemon) setMembers(ids ...entity.InstanceID) {
	d.w.schedule(0, d, func() { d.journal.SetMembers(d.w.now, ids) })
}

func (d *daemon) submit(r KeyedRequest) {
	d.w.submitted[r.Request] = r
	d.w.schedule(0, d, func() { d.journal.Submit(d.w.now, r) })
}

func (d *daemon) processReady() {
	r := d.journal.Ready()
	for _, op := range r.Operations {
		d.w.store.submit(d, op)
	}
	for _, o := range r.Outcomes {
		d.recordOutcome(o)
		d.w.schedule(d.executorDelay(), d, func() { d.execute(o) })
	}
	at := d.journal.Deadline()
	if at.IsZero() || (!d.tickAt.IsZero() && !at.Before(d.tickAt) && d.tickAt.After(d.w.now)) {
		return
	}
	d.tickAt = at
	d.w.schedule(max(at.Sub(d.w.now), 0), d, func() { d.journal.Tick(d.w.now) })
}

// recordOutcome records and checks an outcome that the journal emits.
func (d *daemon) recordOutcome(o Outcome) {
	w := d.w
	w.t.Helper()
	d.outcomes = append(d.outcomes, o)
	r := w.submitted[o.Request]
	switch o.Kind {
	case Joined:
		w.leaderOf[o.Request] = o.Leader
		return
	case Committed:
		w.checkDelivered(r, o.Answer)
	case Refused:
	default:
		delete(w.leaderOf, o.Request)
		return
	}
	if _, twice := w.finalOutcomes[o.Request]; twice {
		w.t.Fatalf("request %s ended twice", o.Request)
	}
	w.finalOutcomes[o.Request] = o
	w.checkNotRun(o)
}

func (w *world) checkDelivered(r KeyedRequest, a *Answer) {
	w.t.Helper()
	if got := w.store.answers[hashKey(r.Key)]; got != a.Request {
		w.t.Fatalf("key %s: the answer of %q was delivered, but the store holds that of %q", r.Key.Value, a.Request, got)
	}
	first := w.delivered[r.Key.Value]
	if first == nil {
		w.delivered[r.Key.Value] = a
		return
	}
	if first.Request != a.Request || string(first.Body) != string(a.Body) {
		w.t.Fatalf("key %s: two answers were delivered, of %s and %s", r.Key.Value, first.Request, a.Request)
	}
}

// checkNotRun checks that a request refused as not run was not dispatched, nor
// the one that it had joined.
func (w *world) checkNotRun(o Outcome) {
	w.t.Helper()
	if o.Kind != Refused || verdict.Of(o.Err) != verdict.NotRun {
		return
	}
	if w.dispatched[o.Request] > 0 || w.dispatched[w.leaderOf[o.Request]] > 0 {
		w.t.Fatalf("request %s was dispatched and refused as not run: %v", o.Request, o.Err)
	}
}

func (d *daemon) execute(o Outcome) {
	if d.manual {
		return
	}
	r := d.w.submitted[o.Request]
	switch o.Kind {
	case Started:
		if r.Repeatable {
			d.dispatch(o.Request)
			return
		}
		d.attempts[o.Request]++
		d.journal.Claim(d.w.now, o.Request, Claim{Attempt: d.attempts[o.Request], Backend: "b"})
	case Claimed:
		if d.giveUp() {
			d.journal.GiveUp(d.w.now, o.Request, true)
			d.w.finalOutcomes[o.Request] = Outcome{Request: o.Request, Kind: kindGivenUp}
			return
		}
		d.dispatch(o.Request)
	case Resume:
		d.scheduleFinish(o.Request)
	}
}

// dispatch simulates sending the request to a backend server. The executor
// skips requests that it has given up or that were refused as not run.
func (d *daemon) dispatch(id entity.RequestID) {
	w := d.w
	if end, ended := w.finalOutcomes[id]; ended && (end.Kind == kindGivenUp || verdict.Of(end.Err) == verdict.NotRun) {
		return
	}
	r := w.submitted[id]
	w.dispatched[id]++
	if !r.Repeatable {
		w.keyDispatches[r.Key.Value] = append(w.keyDispatches[r.Key.Value], id)
		if len(w.keyDispatches[r.Key.Value]) > 1 {
			w.t.Fatalf("key %s is not repeatable but was dispatched by %v", r.Key.Value, w.keyDispatches[r.Key.Value])
		}
	}
	d.scheduleFinish(id)
}

func (d *daemon) scheduleFinish(id entity.RequestID) {
	body := fmt.Sprintf("%s by %s %0*d", id, d.id, d.bodyBytes, 0)
	d.w.schedule(d.runDuration, d, func() {
		d.journal.Finish(d.w.now, id, Answer{Status: 200, Body: []byte(body)})
	})
}

// hasOutcome reports whether the daemon's journal emitted an outcome of the
// kind.
func (d *daemon) hasOutcome(id entity.RequestID, k OutcomeKind) bool {
	return slices.ContainsFunc(d.outcomes, func(o Outcome) bool { return o.Request == id && o.Kind == k })
}

// wantRefused checks that the request was refused with the verdict and the
// code.
func (w *world) wantRefused(id entity.RequestID, v verdict.Verdict, c verdict.Code) {
	w.t.Helper()
	o, ok := w.finalOutcomes[id]
	if !ok || o.Kind != Refused || verdict.Of(o.Err) != v || verdict.CodeOf(o.Err) != c {
		w.t.Fatalf("request %s ended with %v (%v %v), want %v %v",
			id, o.Kind, verdict.Of(o.Err), verdict.CodeOf(o.Err), v, c)
	}
}

func (w *world) wantCommitted(id, winner entity.RequestID) {
	w.t.Helper()
	o := w.finalOutcomes[id]
	if o.Kind != Committed || o.Answer.Request != winner {
		w.t.Fatalf("request %s ended with %v %v, want the answer of %s", id, o.Kind, o.Err, winner)
	}
}

func newKey(value string) Key { return Key{Organisation: "o", Service: "s", Value: value} }

func newKeyedRequest(id entity.RequestID, value string, repeatable bool) KeyedRequest {
	return KeyedRequest{Request: id, Key: newKey(value), Digest: entity.Digest{1}, Repeatable: repeatable}
}

// newWorldWithOwner returns a world in which the first daemon owns the only
// shard.
func newWorldWithOwner(t *testing.T, ids ...entity.InstanceID) (*world, *daemon) {
	t.Helper()
	w := newWorld(t, 1)
	for _, id := range ids {
		w.addDaemon(id, nil)
	}
	w.setMembers(ids[0])
	w.run(200 * time.Millisecond)
	if w.daemons[0].journal.shards[0].state != stateOwned {
		t.Fatal("the first daemon does not own the shard")
	}
	return w, w.daemons[0]
}

func isTransact(op provider.Operation) bool { return op.Kind == provider.TransactRows }

func isAppend(op provider.Operation) bool { return isTransact(op) && op.Writes[0].CheckOnly }
