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

// givenUp marks the end of a request that its executor gave up.
const givenUp OutcomeKind = 0

var epochStart = time.Unix(1_700_000_000, 0)

// world runs several journals and one store in virtual time.
type world struct {
	t       failer
	now     time.Time
	rand    *rand.Rand
	events  worldEvents
	seq     uint64
	store   *store
	daemons []*daemon

	dispatched map[entity.RequestID]int
	keyRuns    map[string][]entity.RequestID // dispatches of not-repeatable keys
	released   map[string]*Answer
	final      map[entity.RequestID]Outcome
	begun      map[entity.RequestID]Begin
	leaderOf   map[entity.RequestID]entity.RequestID
}

type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

type worldEvent struct {
	at  time.Time
	seq uint64
	on  *daemon // nil: the world's own
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

func newWorld(t failer, seed uint64) *world {
	w := &world{
		t: t, now: epochStart, rand: rand.New(rand.NewPCG(seed, 1)),
		dispatched: map[entity.RequestID]int{}, keyRuns: map[string][]entity.RequestID{},
		released: map[string]*Answer{}, final: map[entity.RequestID]Outcome{},
		begun: map[entity.RequestID]Begin{}, leaderOf: map[entity.RequestID]entity.RequestID{},
	}
	w.store = &store{
		w: w, rows: tableRows{}, objects: map[string][]byte{},
		answers: map[keyHash]entity.RequestID{}, latency: 5 * time.Millisecond,
	}
	return w
}

func (w *world) after(d time.Duration, on *daemon, run func()) {
	w.seq++
	heap.Push(&w.events, worldEvent{at: w.now.Add(d), seq: w.seq, on: on, run: run})
}

// run lets virtual time pass.
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
			e.on.drain()
		}
	}
	w.now = end
}

// daemon is one journal and an executor that keeps the contract.
type daemon struct {
	w           *world
	id          entity.InstanceID
	journal     *Journal
	pausedUntil time.Time
	dead        bool
	tickAt      time.Time

	runTime  time.Duration // of a request on a backend server
	lag      func() time.Duration
	giveUp   func() bool // before dispatch, after Claimed
	outcomes []Outcome
	attempts map[entity.RequestID]entity.AttemptNumber
	manual   bool // the test is the executor
	body     int  // bytes of an answer's body
}

func (w *world) add(id entity.InstanceID, change func(*Config)) *daemon {
	cfg := Config{Self: id, Shards: 1, Rand: rand.New(rand.NewPCG(uint64(len(w.daemons)), 7))}
	if change != nil {
		change(&cfg)
	}
	d := &daemon{
		w: w, id: id, journal: New(cfg), runTime: 50 * time.Millisecond,
		lag: func() time.Duration { return 0 }, giveUp: func() bool { return false },
		attempts: map[entity.RequestID]entity.AttemptNumber{}, body: 10,
	}
	w.daemons = append(w.daemons, d)
	return d
}

func (w *world) members(ids ...entity.InstanceID) {
	for _, d := range w.daemons {
		d.members(ids...)
	}
}

func (d *daemon) members(ids ...entity.InstanceID) {
	d.w.after(0, d, func() { d.journal.SetMembers(d.w.now, ids) })
}

func (d *daemon) begin(b Begin) {
	d.w.begun[b.Request] = b
	d.w.after(0, d, func() { d.journal.Begin(d.w.now, b) })
}

func (d *daemon) drain() {
	r := d.journal.Ready()
	for _, op := range r.Operations {
		d.w.store.submit(d, op)
	}
	for _, o := range r.Outcomes {
		d.record(o)
		d.w.after(d.lag(), d, func() { d.execute(o) })
	}
	at := d.journal.Deadline()
	if at.IsZero() || (!d.tickAt.IsZero() && !at.Before(d.tickAt) && d.tickAt.After(d.w.now)) {
		return
	}
	d.tickAt = at
	d.w.after(max(at.Sub(d.w.now), 0), d, func() { d.journal.Tick(d.w.now) })
}

// record checks an outcome as it leaves the journal.
func (d *daemon) record(o Outcome) {
	w := d.w
	w.t.Helper()
	d.outcomes = append(d.outcomes, o)
	b := w.begun[o.Request]
	switch o.Kind {
	case Joined:
		w.leaderOf[o.Request] = o.Leader
		return
	case Committed:
		w.checkReleased(b, o.Answer)
	case Refused:
	default:
		delete(w.leaderOf, o.Request)
		return
	}
	if _, twice := w.final[o.Request]; twice {
		w.t.Fatalf("request %s ended twice", o.Request)
	}
	w.final[o.Request] = o
	w.checkNotRun(o)
}

func (w *world) checkReleased(b Begin, a *Answer) {
	w.t.Helper()
	if got := w.store.answers[hashOf(b.Key)]; got != a.Request {
		w.t.Fatalf("key %s: answer of %q released, the store holds that of %q", b.Key.Value, a.Request, got)
	}
	first := w.released[b.Key.Value]
	if first == nil {
		w.released[b.Key.Value] = a
		return
	}
	if first.Request != a.Request || string(first.Body) != string(a.Body) {
		w.t.Fatalf("key %s has two answers, of %s and %s", b.Key.Value, first.Request, a.Request)
	}
}

// checkNotRun checks that a request refused as not run, and the one it had
// joined, were not dispatched.
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
	b := d.w.begun[o.Request]
	switch o.Kind {
	case Started:
		if b.Repeatable {
			d.dispatch(o.Request)
			return
		}
		d.attempts[o.Request]++
		d.journal.Claim(d.w.now, o.Request, Claim{Attempt: d.attempts[o.Request], Backend: "b"})
	case Claimed:
		if d.giveUp() {
			d.journal.GiveUp(d.w.now, o.Request, true)
			d.w.final[o.Request] = Outcome{Request: o.Request, Kind: givenUp}
			return
		}
		d.dispatch(o.Request)
	case Resume:
		d.finishLater(o.Request)
	}
}

// dispatch is the send to a backend server. The executor drops requests whose
// end it has been told.
func (d *daemon) dispatch(id entity.RequestID) {
	w := d.w
	if end, ended := w.final[id]; ended && (end.Kind == givenUp || verdict.Of(end.Err) == verdict.NotRun) {
		return
	}
	b := w.begun[id]
	w.dispatched[id]++
	if !b.Repeatable {
		w.keyRuns[b.Key.Value] = append(w.keyRuns[b.Key.Value], id)
		if len(w.keyRuns[b.Key.Value]) > 1 {
			w.t.Fatalf("not-repeatable key %s dispatched by %v", b.Key.Value, w.keyRuns[b.Key.Value])
		}
	}
	d.finishLater(id)
}

func (d *daemon) finishLater(id entity.RequestID) {
	body := fmt.Sprintf("%s by %s %0*d", id, d.id, d.body, 0)
	d.w.after(d.runTime, d, func() {
		d.journal.Finish(d.w.now, id, Answer{Status: 200, Body: []byte(body)})
	})
}

// has tells whether the daemon gave an outcome of the kind.
func (d *daemon) has(id entity.RequestID, k OutcomeKind) bool {
	return slices.ContainsFunc(d.outcomes, func(o Outcome) bool { return o.Request == id && o.Kind == k })
}

// wantRefused checks how a request ended.
func (w *world) wantRefused(id entity.RequestID, v verdict.Verdict, c verdict.Code) {
	w.t.Helper()
	o, ok := w.final[id]
	if !ok || o.Kind != Refused || verdict.Of(o.Err) != v || verdict.CodeOf(o.Err) != c {
		w.t.Fatalf("request %s ended with %v (%v %v), want %v %v",
			id, o.Kind, verdict.Of(o.Err), verdict.CodeOf(o.Err), v, c)
	}
}

func (w *world) wantCommitted(id, winner entity.RequestID) {
	w.t.Helper()
	o := w.final[id]
	if o.Kind != Committed || o.Answer.Request != winner {
		w.t.Fatalf("request %s ended with %v %v, want the answer of %s", id, o.Kind, o.Err, winner)
	}
}

func key(value string) Key { return Key{Organisation: "o", Service: "s", Value: value} }

func keyed(id entity.RequestID, value string, repeatable bool) Begin {
	return Begin{Request: id, Key: key(value), Digest: entity.Digest{1}, Repeatable: repeatable}
}

// owned returns a world in which the first daemon owns the one shard.
func owned(t *testing.T, ids ...entity.InstanceID) (*world, *daemon) {
	t.Helper()
	w := newWorld(t, 1)
	for _, id := range ids {
		w.add(id, nil)
	}
	w.members(ids[0])
	w.run(200 * time.Millisecond)
	if w.daemons[0].journal.shards[0].state != stateOwned {
		t.Fatal("the shard is not owned")
	}
	return w, w.daemons[0]
}

func isTransact(op provider.Operation) bool { return op.Kind == provider.TransactRows }

func isAppend(op provider.Operation) bool { return isTransact(op) && op.Writes[0].CheckOnly }
