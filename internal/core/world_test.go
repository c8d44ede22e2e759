package core

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/admission"
	"github.com/gooseberryslip/gooseberryslip/internal/system/configuration"
	"github.com/gooseberryslip/gooseberryslip/internal/system/grant"
	"github.com/gooseberryslip/gooseberryslip/internal/system/journal"
	"github.com/gooseberryslip/gooseberryslip/internal/system/membership"
	"github.com/gooseberryslip/gooseberryslip/internal/system/retry"
)

// world runs several cores and the fakes round them in virtual time. It keeps
// its own record of what backend servers ran and what callers saw.
type world struct {
	t       testing.TB
	rng     *rand.Rand
	now     time.Time
	start   time.Time
	agenda  agenda
	serial  int
	daemons []*fakeDaemon
	engines map[entity.BackendServerID]*fakeEngine
	order   []*fakeEngine
	table   *fakeTable
	cloud   *fakeCloud // nil: no daemon plans
	callers []*fakeCaller
	loss    float64 // share of peer messages lost
	last    CallerID
	ids     int
	// noExport: the engines cannot export KV caches.
	noExport bool
}

// fakeDaemon is one core and its links.
type fakeDaemon struct {
	w      *world
	id     entity.InstanceID
	core   *Core
	dead   bool
	frozen bool
	cut    bool // its links to the other daemons
	inbox  []Input
	due    time.Time
	peer   map[CallerID]*fakeCaller
}

// event is something that happens at a time.
type happening struct {
	at     time.Time
	serial int
	run    func()
}

// agenda is a heap of happenings, in order of time and then of their making.
type agenda []happening

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if a[i].at.Equal(a[j].at) {
		return a[i].serial < a[j].serial
	}
	return a[i].at.Before(a[j].at)
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(happening)) }
func (a *agenda) Pop() any {
	last := len(*a) - 1
	h := (*a)[last]
	*a = (*a)[:last]
	return h
}

// newWorld starts daemons over three data centres and waits until they know
// each other and the service documents.
func newWorld(t testing.TB, seed uint64, daemons int) *world {
	return startWorld(emptyWorld(t, seed), daemons)
}

// emptyWorld returns a world without daemons.
func emptyWorld(t testing.TB, seed uint64) *world {
	w := &world{
		t: t, rng: rand.New(rand.NewPCG(seed, seed)),
		start: time.Unix(1_700_000_000, 0), engines: map[entity.BackendServerID]*fakeEngine{},
	}
	w.now = w.start
	w.table = newFakeTable()
	w.addEngines()
	return w
}

// startWorld starts daemons and puts the first documents into force.
func startWorld(w *world, daemons int) *world {
	for i := range daemons {
		w.addDaemon(i)
	}
	w.runFor(time.Second)
	w.applyDocuments()
	w.runFor(12 * time.Second)
	for _, d := range w.daemons {
		if !d.core.Configuration.Current(w.now) || len(d.core.Configuration.Services()) != 2 {
			w.t.Fatalf("%s does not have the documents", d.id)
		}
	}
	return w
}

// addDaemon starts a daemon. The first one is the seed of the others.
func (w *world) addDaemon(i int) *fakeDaemon {
	d := &fakeDaemon{w: w, id: entity.InstanceID(fmt.Sprintf("d%d", i)), peer: map[CallerID]*fakeCaller{}}
	self := membership.Member{
		ID: d.id, Addr: "peer-" + string(d.id), CallerAddr: "call-" + string(d.id),
		Place: entity.Place{Region: "r", DataCentre: entity.DataCentreID(fmt.Sprintf("dc%d", i%3))},
	}
	limits := DefaultLimits()
	limits.DrainGrace = 20 * time.Second
	d.core = New(Config{
		Self:          self,
		Membership:    membership.New(membership.Config{Self: self, Seeds: []string{"peer-d0", "peer-d1"}, Rand: w.newRand()}),
		Configuration: configuration.New(configuration.Config{Self: d.id, Rand: w.newRand()}),
		Journal:       journal.New(journal.Config{Self: d.id, Shards: 4, Rand: w.newRand(), WriteBudget: 300, RebalanceAfter: 5 * time.Second}),
		Grants:        grant.New(grant.Config{Self: d.id, Place: self.Place, Rand: w.newRand()}),
		Admission:     admission.New(admission.Config{Self: d.id, Rand: w.newRand()}),
		Retry:         retry.New(retry.Config{Rand: w.newRand()}),
		Rand:          w.newRand(),
		Limits:        limits,
		Fleet:         w.newFleet(d.id),
	})
	w.daemons = append(w.daemons, d)
	d.wake(w.now)
	return d
}

// newRand derives a source from the world's.
func (w *world) newRand() *rand.Rand { return rand.New(rand.NewPCG(w.rng.Uint64(), w.rng.Uint64())) }

// after puts a happening on the agenda.
func (w *world) after(d time.Duration, run func()) {
	w.serial++
	heap.Push(&w.agenda, happening{at: w.now.Add(d), serial: w.serial, run: run})
}

// runFor lets virtual time pass.
func (w *world) runFor(d time.Duration) {
	end := w.now.Add(d)
	for len(w.agenda) > 0 && !w.agenda[0].at.After(end) {
		h := heap.Pop(&w.agenda).(happening)
		w.now = h.at
		h.run()
	}
	w.now = end
}

// runUntil lets time pass until the condition holds, at most for d.
func (w *world) runUntil(d time.Duration, cond func() bool) bool {
	const step = 10 * time.Millisecond
	for end := w.now.Add(d); w.now.Before(end); {
		if cond() {
			return true
		}
		w.runFor(step)
	}
	return cond()
}

// post gives an input to a daemon's next tick.
func (d *fakeDaemon) post(in Input) {
	if d.dead {
		return
	}
	d.inbox = append(d.inbox, in)
	d.wake(d.w.now)
}

// wake makes sure that the daemon ticks at the time.
func (d *fakeDaemon) wake(at time.Time) {
	if at.IsZero() || (!d.due.IsZero() && !at.Before(d.due)) {
		return
	}
	d.due = at
	d.w.after(max(at.Sub(d.w.now), 0), func() {
		if d.due.Equal(at) {
			d.due = time.Time{}
			d.tick()
		}
	})
}

// tick runs the core once and performs its outbox.
func (d *fakeDaemon) tick() {
	if d.dead || d.frozen {
		return
	}
	inputs := d.inbox
	d.inbox = nil
	out := d.core.Tick(d.w.now, inputs)
	for _, s := range out.Stops {
		d.w.engines[s.Backend.ID].stop(d, s)
	}
	for _, a := range out.Dispatches {
		d.w.engines[a.Backend.ID].dispatch(d, a)
	}
	for _, e := range out.Exports {
		d.w.engines[e.Backend.ID].export(d, e)
	}
	for _, op := range out.Operations {
		d.w.table.perform(d, op)
	}
	if d.w.cloud != nil {
		d.w.cloud.perform(d, &out)
	}
	for i := range out.Sends {
		d.send(&out.Sends[i])
	}
	for _, r := range out.Replies {
		if c := d.peer[r.Caller]; c != nil {
			c.reply(d, r)
		}
	}
	if out.Finished {
		d.kill()
		return
	}
	if at := d.core.Deadline(); !at.IsZero() {
		d.wake(later(at, d.w.now.Add(time.Millisecond)))
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// send carries a message to another daemon, through its encoding.
func (d *fakeDaemon) send(e *Envelope) {
	body, err := EncodeMessage(&e.Message)
	if err != nil {
		d.w.t.Fatal(err)
	}
	if d.w.rng.Float64() < d.w.loss {
		return
	}
	delay := time.Millisecond + time.Duration(d.w.rng.Int64N(int64(time.Millisecond)))
	for _, to := range d.w.daemons {
		if to.core.Self.Addr != e.Addr || (e.To != "" && e.To != to.id) {
			continue
		}
		d.w.after(delay, func() {
			if d.cut || to.cut {
				return
			}
			m, err := DecodeMessage(body)
			if err != nil {
				d.w.t.Fatal(err)
			}
			to.post(PeerMessage{From: d.id, Addr: d.core.Self.Addr, Message: m})
		})
	}
}

// kill ends a daemon at once, as SIGKILL does.
func (d *fakeDaemon) kill() {
	d.dead = true
	d.inbox = nil
	for _, e := range d.w.order {
		e.lostReader(d)
	}
	for _, c := range d.w.callers {
		c.lostDaemon(d)
	}
}

// freeze stops a daemon for a while, as SIGSTOP does.
func (d *fakeDaemon) freeze(dur time.Duration) {
	d.frozen = true
	d.w.after(dur, func() {
		d.frozen = false
		d.wake(d.w.now)
	})
}

// live returns the daemons that are neither dead nor frozen.
func (w *world) live() []*fakeDaemon {
	var out []*fakeDaemon
	for _, d := range w.daemons {
		if !d.dead && !d.frozen {
			out = append(out, d)
		}
	}
	return out
}

// applyDocuments puts the service documents into force through d0.
func (w *world) applyDocuments() {
	for _, doc := range []struct {
		name entity.ServiceName
		text string
	}{{"model", modelDocument(w)}, {"plain", plainDocument(w)}} {
		w.daemons[0].post(ApplyChange{Change: configuration.Change{
			Operation: "setup-" + string(doc.name), Service: doc.name, Text: doc.text, Author: "test",
		}})
	}
}
