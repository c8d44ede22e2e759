package grant

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// hideMembers gives some daemons, chosen at random, a member list that lacks one
// daemon.
func (w *world) hideMembers(t *rapid.T) {
	for _, n := range w.nodes {
		if n.dead || !rapid.Bool().Draw(t, "split off") {
			continue
		}
		hidden := rapid.IntRange(0, len(w.nodes)-1).Draw(t, "hidden")
		var members []Member
		for i, o := range w.nodes {
			if i != hidden && !o.dead {
				members = append(members, Member{ID: o.id, Location: o.location})
			}
		}
		n.g.SetMembers(w.now, members)
		n.processReady()
	}
}

// replaceServer reclaims a server with a second of notice and then lists another
// in its place.
func (w *world) replaceServer(i, next int) {
	b := w.doc.BackendServers[i]
	for _, n := range w.nodes {
		if !n.dead {
			n.g.SetDraining(w.now, b.ID, "reclaim", true)
			n.processReady()
		}
	}
	w.after(time.Second, func() {
		w.kill(b.ID)
		fresh := testServer(next, b.Slots)
		w.addEngine(fresh)
		w.doc.BackendServers = slices.Clone(w.doc.BackendServers)
		w.doc.BackendServers[i] = fresh
		w.syncMembers()
	})
}

// With lost messages, dead daemons, wrong member lists and reclaimed servers,
// every request of a live daemon gets one decision for each attempt and
// completes. At the end no slots are held.
func TestGrants_MixedFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := testWorld(rapid.Uint64Range(0, 1000).Draw(t, "seed"), 6, 6, 4)
		w.loss = rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "loss")
		sudden := false
		for i := range rapid.IntRange(0, 5).Draw(t, "faults") {
			at := time.Duration(rapid.IntRange(0, 6000).Draw(t, "at")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "fault") {
			case 0:
				w.after(at, func() {
					if alive := w.alive(); alive > 2 {
						w.nodes[i].dead = true
						w.after(500*time.Millisecond, w.syncMembers)
					}
				})
			case 1:
				w.after(at, func() { w.hideMembers(t) })
				w.after(at+2*time.Second, w.syncMembers)
			case 2:
				w.after(at, func() { w.replaceServer(i, 100+i) })
			case 3:
				if sudden { // a second one could kill a server that runs suspect content in isolation
					continue
				}
				sudden = true
				w.after(at, func() { w.kill(w.doc.BackendServers[i].ID) })
				w.after(at+4*time.Second, func() { w.replaceServer(i, 200+i) })
			}
		}
		w.arrivals(12, 8*time.Second, func(i int) *request {
			r := testRequest(fmt.Sprintf("r-%d", i), 10+w.rng.IntN(60))
			r.acquisition.Priority = entity.Priority(w.rng.IntN(4))
			r.acquisition.Digest = digestOf(i)
			return r
		})
		w.after(20*time.Second, func() { w.loss = 0; w.syncMembers() })
		w.run(120 * time.Second)
		for _, n := range w.nodes {
			if n.dead {
				continue
			}
			n.openRequests.All(func(id entity.RequestID, r *request) bool {
				t.Errorf("%s: %s not completed after %d sends: %+v", n.id, id, r.sendCount, n.g.acquisitions.Get(acquisitionKey{id, r.acquisition.Attempt}))
				return true
			})
			for _, s := range n.g.Snapshot().Services {
				if s.Busy+s.Queued > 0 {
					t.Errorf("%s still has busy slots or queued requests: %+v", n.id, s)
				}
			}
		}
		for _, r := range w.refused {
			t.Errorf("%s refused: %v", r.acquisition.Request, r.err)
		}
	})
}

func (w *world) alive() int {
	n := 0
	for _, o := range w.nodes {
		if !o.dead {
			n++
		}
	}
	return n
}
