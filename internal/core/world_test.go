package core

import (
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
	"github.com/gooseberryslip/gooseberryslip/internal/virtualtime"
)

// world is a deterministic simulation of several cores and their environment in
// virtual time. The simulated engines and callers keep records of what was run
// and received, against which the tests check the outcomes.
type world struct {
	t           testing.TB
	rng         *rand.Rand
	now         time.Time
	start       time.Time
	events      virtualtime.Queue
	daemons     []*fakeDaemon
	engines     map[entity.BackendServerID]*fakeEngine
	engineOrder []*fakeEngine
	table       *fakeTable
	cloud       *fakeCloud // nil: no daemon has a planner
	callers     []*fakeCaller
	messageLoss float64 // fraction of messages between daemons that are lost
	lastCaller  CallerID
	lastNumber  int
	// noExport: the engines cannot export KV caches.
	noExport bool
}

// fakeDaemon runs one core and performs its outbox.
type fakeDaemon struct {
	w            *world
	id           entity.InstanceID
	core         *Core
	dead         bool
	frozen       bool
	disconnected bool // drops all messages from and to other daemons
	inbox        []Input
	nextTick     time.Time
	callers      map[CallerID]*fakeCaller
}

// newWorld starts a simulation with daemons in three data centres and waits
// until they know each other and the service documents.
func newWorld(t testing.TB, seed uint64, daemons int) *world {
	return startWorld(emptyWorld(t, seed), daemons)
}

// emptyWorld returns a simulation without daemons.
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

// startWorld starts daemons and puts the first service documents into force.
func startWorld(w *world, daemons int) *world {
	for i := range daemons {
		w.addDaemon(i)
	}
	w.runFor(time.Second)
	w.applyDocuments()
	w.runFor(12 * time.Second)
	for _, d := range w.daemons {
		if !d.core.Configuration.Current(w.now) || len(d.core.Configuration.Services()) != 2 {
			w.t.Fatalf("daemon %s does not have the service documents in force", d.id)
		}
	}
	return w
}

// addDaemon starts daemon number i. Membership seeds are d0 and d1.
func (w *world) addDaemon(i int) *fakeDaemon {
	d := &fakeDaemon{w: w, id: entity.InstanceID(fmt.Sprintf("d%d", i)), callers: map[CallerID]*fakeCaller{}}
	self := membership.Member{
		ID: d.id, Addr: "peer-" + string(d.id), CallerAddr: "call-" + string(d.id),
		Location: entity.Location{Region: "r", DataCentre: entity.DataCentreID(fmt.Sprintf("dc%d", i%3))},
	}
	limits := DefaultLimits()
	limits.DrainGrace = 20 * time.Second
	d.core = New(Config{
		Self:          self,
		Membership:    membership.New(membership.Config{Self: self, Seeds: []string{"peer-d0", "peer-d1"}, Rand: w.newRand()}),
		Configuration: configuration.New(configuration.Config{Self: d.id, Rand: w.newRand()}),
		Journal:       journal.New(journal.Config{Self: d.id, Shards: 4, Rand: w.newRand(), WriteBudget: 300, RebalanceDelay: 5 * time.Second}),
		Grants:        grant.New(grant.Config{Self: d.id, Location: self.Location, Rand: w.newRand()}),
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

// newRand returns a random source seeded from that of the simulation.
func (w *world) newRand() *rand.Rand { return rand.New(rand.NewPCG(w.rng.Uint64(), w.rng.Uint64())) }

// schedule has a function called after a duration of virtual time.
func (w *world) schedule(d time.Duration, run func()) {
	w.events.Schedule(w.now.Add(d), run)
}

// runFor advances virtual time by d.
func (w *world) runFor(d time.Duration) {
	w.events.RunUntil(w.now.Add(d), &w.now)
}

// runUntil advances virtual time until the condition holds, by d at most, and
// reports whether it holds.
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

// post adds an input for the daemon's next tick.
func (d *fakeDaemon) post(in Input) {
	if d.dead {
		return
	}
	d.inbox = append(d.inbox, in)
	d.wake(d.w.now)
}

// wake schedules a tick of the daemon at the given time, unless there is an
// earlier one.
func (d *fakeDaemon) wake(at time.Time) {
	if at.IsZero() || (!d.nextTick.IsZero() && !at.Before(d.nextTick)) {
		return
	}
	d.nextTick = at
	d.w.schedule(max(at.Sub(d.w.now), 0), func() {
		if d.nextTick.Equal(at) {
			d.nextTick = time.Time{}
			d.tick()
		}
	})
}

// tick calls the core's Tick and performs the outbox.
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
		if c := d.callers[r.Caller]; c != nil {
			c.reply(d, r)
		}
	}
	if out.Finished {
		d.kill()
		return
	}
	if at := d.core.Deadline(); !at.IsZero() {
		d.wake(maxTime(at, d.w.now.Add(time.Millisecond)))
	}
}

// maxTime returns the later of two times.
func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// send encodes a message and delivers it to another daemon after a random
// delay.
func (d *fakeDaemon) send(e *Envelope) {
	body, err := EncodeMessage(&e.Message)
	if err != nil {
		d.w.t.Fatal(err)
	}
	if d.w.rng.Float64() < d.w.messageLoss {
		return
	}
	delay := time.Millisecond + time.Duration(d.w.rng.Int64N(int64(time.Millisecond)))
	for _, to := range d.w.daemons {
		if to.core.Self.Addr != e.Addr || (e.To != "" && e.To != to.id) {
			continue
		}
		d.w.schedule(delay, func() {
			if d.disconnected || to.disconnected {
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

// kill ends a daemon without a hand-over, as SIGKILL does.
func (d *fakeDaemon) kill() {
	d.dead = true
	d.inbox = nil
	for _, e := range d.w.engineOrder {
		e.handleReaderLost(d)
	}
	for _, c := range d.w.callers {
		c.handleDaemonLost(d)
	}
}

// freeze suspends a daemon for a duration, as SIGSTOP does.
func (d *fakeDaemon) freeze(duration time.Duration) {
	d.frozen = true
	d.w.schedule(duration, func() {
		d.frozen = false
		d.wake(d.w.now)
	})
}

// liveDaemons returns the daemons that are neither dead nor frozen.
func (w *world) liveDaemons() []*fakeDaemon {
	var out []*fakeDaemon
	for _, d := range w.daemons {
		if !d.dead && !d.frozen {
			out = append(out, d)
		}
	}
	return out
}

// applyDocuments puts the first service documents into force through the first
// daemon.
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
