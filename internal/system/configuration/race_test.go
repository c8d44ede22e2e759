package configuration

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// observer checks after each step what must hold on a daemon.
type observer struct {
	revision uint64
	services map[entity.ServiceName]uint64
}

// watch fails the test when a daemon goes back, or, where only the table
// confirms, says that it is current while the table has had a newer revision
// for longer than StaleAfter.
func (w *world) watch(t *rapid.T, peersConfirm bool) {
	seen := make([]observer, len(w.daemons))
	born := make([]*Configuration, len(w.daemons))
	accepted := map[uint64]time.Time{}
	w.check = func(i int) {
		c := w.daemons[i]
		if born[i] != c {
			born[i], seen[i] = c, observer{services: map[entity.ServiceName]uint64{}}
		}
		if c.Revision() < seen[i].revision {
			t.Fatalf("daemon %d went from revision %d to %d", i, seen[i].revision, c.Revision())
		}
		seen[i].revision = c.Revision()
		for _, s := range c.Services() {
			if s.Revision < seen[i].services[s.Name] {
				t.Fatalf("daemon %d: %s went back to %d", i, s.Name, s.Revision)
			}
			seen[i].services[s.Name] = s.Revision
		}
		head := w.table.head()
		if _, ok := accepted[head]; !ok {
			accepted[head] = w.now
		}
		next, ok := accepted[c.Revision()+1]
		if ok && !peersConfirm && c.Current(w.now) && w.now.Sub(next) > DefaultStaleAfter {
			t.Fatalf("daemon %d is current at revision %d, %v after %d was accepted", i, c.Revision(), w.now.Sub(next), c.Revision()+1)
		}
	}
}

// TestConfiguration_OperatorsRace lets operators change the same documents on
// several daemons while the table is slow, down or loses replies and daemons
// restart. The table's own record shows that no change is lost, doubled or
// written over one that its operator had not read.
func TestConfiguration_OperatorsRace(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(t, 3)
		peersConfirm := rapid.Bool().Draw(rt, "peers confirm")
		w.watch(rt, peersConfirm)
		w.gossip()
		requests := map[string]Change{}
		w.run(time.Second)
		rt.Repeat(map[string]func(*rapid.T){
			"apply": func(rt *rapid.T) {
				service := entity.ServiceName(rapid.SampledFrom([]string{"prices", "forecast"}).Draw(rt, "service"))
				i := rapid.IntRange(0, 2).Draw(rt, "daemon")
				var read uint64
				d, known := w.daemons[i].Document(service)
				if known {
					read = d.Revision
				}
				ch := edit(fmt.Sprint("op", len(requests)), service, len(requests)+1, read)
				if known && !d.Deleted && rapid.IntRange(0, 4).Draw(rt, "delete") == 0 {
					ch.Text = ""
				}
				requests[ch.Operation] = ch
				w.apply(i, ch)
			},
			"repeat": func(rt *rapid.T) {
				if len(requests) == 0 {
					return
				}
				op := fmt.Sprint("op", rapid.IntRange(0, len(requests)-1).Draw(rt, "op"))
				w.apply(rapid.IntRange(0, 2).Draw(rt, "daemon"), requests[op])
			},
			"down":    func(*rapid.T) { w.table.down = true },
			"up":      func(*rapid.T) { w.table.down = false },
			"restart": func(rt *rapid.T) { w.boot(rapid.IntRange(0, 2).Draw(rt, "daemon")) },
			"weather": func(rt *rapid.T) {
				lost := rapid.SampledFrom([]float64{0, 0.3, 0.9}).Draw(rt, "lost")
				slow := rapid.SampledFrom([]time.Duration{time.Millisecond, time.Second, 4 * time.Second}).Draw(rt, "slow")
				w.table.lose = func() bool { return w.rand.Float64() < lost }
				w.latency = func() time.Duration { return time.Duration(w.rand.Int64N(int64(slow))) + 2 }
			},
			"wait": func(rt *rapid.T) {
				w.run(time.Duration(rapid.IntRange(1, 4000).Draw(rt, "ms")) * time.Millisecond)
			},
			"peers": func(rt *rapid.T) {
				from, to := rapid.IntRange(0, 2).Draw(rt, "from"), rapid.IntRange(0, 2).Draw(rt, "to")
				s, ok := w.daemons[from].DocumentsFor(w.now, w.daemons[to].Revision())
				if ok && peersConfirm {
					w.do(to, func(c *Configuration) { c.PeerDocuments(w.now, s) })
				}
			},
			"": func(rt *rapid.T) { w.checkRecord(rt, requests) },
		})
		w.table.down = false
		w.table.lose = func() bool { return false }
		w.latency = func() time.Duration { return time.Millisecond }
		w.run(time.Minute)
		w.checkOutcomes(rt, requests)
		for i, c := range w.daemons {
			if c.Revision() != w.table.head() || !c.Current(w.now) {
				rt.Fatalf("daemon %d ends at revision %d of %d", i, c.Revision(), w.table.head())
			}
		}
	})
}

// checkRecord compares the changes that the table has accepted with what their
// operators had read.
func (w *world) checkRecord(t *rapid.T, requests map[string]Change) {
	last := map[entity.ServiceName]Document{}
	for i, d := range w.table.accepted {
		if d.Revision != uint64(i)+1 {
			t.Fatalf("change %d has revision %d", i+1, d.Revision)
		}
		before, read := last[d.Service], requests[d.Operation].ReadRevision
		if read != before.Revision {
			t.Fatalf("%s edited revision %d but was written over %d", d.Operation, read, before.Revision)
		}
		if n := w.table.acceptedTimes(d.Operation); n != 1 {
			t.Fatalf("%s accepted %d times", d.Operation, n)
		}
		last[d.Service] = d
	}
}

// checkOutcomes compares what operators were told with the table's record. An
// operation is recognised until HistoryLength further changes of its service.
func (w *world) checkOutcomes(t *rapid.T, requests map[string]Change) {
	for op := range requests {
		o, told := w.outcomes[op]
		if !told {
			continue // its daemon was replaced
		}
		n := w.table.acceptedTimes(op)
		if o.Status == Conflict && w.changesSince(op) >= HistoryLength {
			continue
		}
		switch {
		case o.Status == Applied && n != 1:
			t.Fatalf("%s: told applied, accepted %d times", op, n)
		case (o.Status == Conflict || o.Status == Refused) && n != 0:
			t.Fatalf("%s: told %+v, but accepted", op, o)
		}
	}
}

// changesSince returns the number of changes of a service after an operation.
func (w *world) changesSince(operation string) int {
	n, found := 0, false
	var service entity.ServiceName
	for _, d := range w.table.accepted {
		if found && d.Service == service {
			n++
		}
		if d.Operation == operation {
			found, service = true, d.Service
		}
	}
	return n
}
