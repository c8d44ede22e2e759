package configuration

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// observedState is the state of a daemon at the last check.
type observedState struct {
	revision uint64
	services map[entity.ServiceName]uint64
}

// checkInvariants makes the test fail when a daemon returns to an older
// revision. If only the table confirms revisions, it also fails when a daemon
// reports that it is current although the table has had a newer revision for
// longer than DefaultStaleAfter.
func (w *world) checkInvariants(t *rapid.T, peersConfirm bool) {
	seen := make([]observedState, len(w.daemons))
	configurations := make([]*Configuration, len(w.daemons))
	accepted := map[uint64]time.Time{}
	w.afterStep = func(i int) {
		c := w.daemons[i]
		if configurations[i] != c {
			configurations[i], seen[i] = c, observedState{services: map[entity.ServiceName]uint64{}}
		}
		if c.Revision() < seen[i].revision {
			t.Fatalf("daemon %d returned from revision %d to %d", i, seen[i].revision, c.Revision())
		}
		seen[i].revision = c.Revision()
		for _, s := range c.Services() {
			if s.Revision < seen[i].services[s.Name] {
				t.Fatalf("daemon %d: service %s returned to revision %d", i, s.Name, s.Revision)
			}
			seen[i].services[s.Name] = s.Revision
		}
		head := w.table.head()
		if _, ok := accepted[head]; !ok {
			accepted[head] = w.now
		}
		nextAcceptedAt, ok := accepted[c.Revision()+1]
		if ok && !peersConfirm && c.Current(w.now) && w.now.Sub(nextAcceptedAt) > DefaultStaleAfter {
			t.Fatalf("daemon %d is current at revision %d, %v after revision %d was accepted", i, c.Revision(), w.now.Sub(nextAcceptedAt), c.Revision()+1)
		}
	}
}

// TestConfiguration_OperatorsRace lets operators change the same documents on
// several daemons while the table is slow or unavailable or loses replies, and
// while daemons restart. The table's own record shows that no change is lost,
// applied twice or written over a change that its operator had not read.
func TestConfiguration_OperatorsRace(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(t, 3)
		peersConfirm := rapid.Bool().Draw(rt, "peers confirm")
		w.checkInvariants(rt, peersConfirm)
		w.enableGossip()
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
				ch := newEdit(fmt.Sprint("op", len(requests)), service, len(requests)+1, read)
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
			"restart": func(rt *rapid.T) { w.startDaemon(rapid.IntRange(0, 2).Draw(rt, "daemon")) },
			"weather": func(rt *rapid.T) {
				lostRatio := rapid.SampledFrom([]float64{0, 0.3, 0.9}).Draw(rt, "lost")
				maxLatency := rapid.SampledFrom([]time.Duration{time.Millisecond, time.Second, 4 * time.Second}).Draw(rt, "slow")
				w.table.loseReply = func() bool { return w.rand.Float64() < lostRatio }
				w.latency = func() time.Duration { return time.Duration(w.rand.Int64N(int64(maxLatency))) + 2 }
			},
			"wait": func(rt *rapid.T) {
				w.run(time.Duration(rapid.IntRange(1, 4000).Draw(rt, "ms")) * time.Millisecond)
			},
			"peers": func(rt *rapid.T) {
				from, to := rapid.IntRange(0, 2).Draw(rt, "from"), rapid.IntRange(0, 2).Draw(rt, "to")
				s, ok := w.daemons[from].DocumentsFor(w.now, w.daemons[to].Revision())
				if ok && peersConfirm {
					w.call(to, func(c *Configuration) { c.ReceiveSnapshot(w.now, s) })
				}
			},
			"": func(rt *rapid.T) { w.checkRecord(rt, requests) },
		})
		w.table.down = false
		w.table.loseReply = func() bool { return false }
		w.latency = func() time.Duration { return time.Millisecond }
		w.run(time.Minute)
		w.checkOutcomes(rt, requests)
		for i, c := range w.daemons {
			if c.Revision() != w.table.head() || !c.Current(w.now) {
				rt.Fatalf("daemon %d is not current or ends at revision %d, table has %d", i, c.Revision(), w.table.head())
			}
		}
	})
}

// checkRecord compares the changes accepted by the table with the revisions
// that their operators had read.
func (w *world) checkRecord(t *rapid.T, requests map[string]Change) {
	last := map[entity.ServiceName]Document{}
	for i, d := range w.table.accepted {
		if d.Revision != uint64(i)+1 {
			t.Fatalf("accepted change %d has revision %d", i+1, d.Revision)
		}
		before, read := last[d.Service], requests[d.Operation].ReadRevision
		if read != before.Revision {
			t.Fatalf("operation %s edited revision %d but was written over revision %d", d.Operation, read, before.Revision)
		}
		if n := w.table.acceptedCount(d.Operation); n != 1 {
			t.Fatalf("operation %s accepted %d times", d.Operation, n)
		}
		last[d.Service] = d
	}
}

// checkOutcomes compares the outcomes reported to operators with the table's
// record. The table recognises an operation until HistoryLength further changes
// of its service have been made.
func (w *world) checkOutcomes(t *rapid.T, requests map[string]Change) {
	for op := range requests {
		o, ended := w.outcomes[op]
		if !ended {
			continue // its daemon was restarted before the outcome
		}
		n := w.table.acceptedCount(op)
		if o.Status == Conflict && w.changesSince(op) >= HistoryLength {
			continue
		}
		switch {
		case o.Status == Applied && n != 1:
			t.Fatalf("operation %s: outcome applied, but accepted %d times", op, n)
		case (o.Status == Conflict || o.Status == Refused) && n != 0:
			t.Fatalf("operation %s: outcome %+v, but accepted", op, o)
		}
	}
}

// changesSince returns the number of changes of the operation's service that
// followed the operation.
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
