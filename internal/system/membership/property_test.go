package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// Whatever faults come, in whatever order: once they end, all that run know
// each other and nobody else, and all hold the newest news.
func TestMembership_ConvergesAfterAnyFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 12).Draw(t, "members")
		w := &faulty{fleet: newFleet(n, rapid.Uint64().Draw(t, "seed"), nil)}
		if _, ok := w.runUntil(time.Minute, w.complete); !ok {
			t.Fatal("members have not found each other")
		}
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			w.disturb(t)
			w.run(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "ms")) * time.Millisecond)
		}
		w.calm()
		if _, ok := w.runUntil(3*time.Minute, w.complete); !ok {
			t.Fatalf("views differ: %v", w.views())
		}
		if _, ok := w.runUntil(time.Minute, w.informed); !ok {
			t.Fatal("not all hold the newest news")
		}
	})
}

// faulty is a fleet with a record of what was done to it.
type faulty struct {
	*fleet
	version uint64
}

func (w *faulty) disturb(t *rapid.T) {
	n := rapid.SampledFrom(w.running()).Draw(t, "node")
	switch rapid.SampledFrom([]string{"crash", "restart", "freeze", "thaw", "cut", "heal", "loss", "announce"}).Draw(t, "fault") {
	case "crash":
		if len(w.running()) > 2 && !n.frozen {
			n.crashed = true
		}
	case "restart":
		w.restart(n)
	case "freeze":
		w.freeze(n)
	case "thaw":
		w.thawAll()
	case "cut":
		parts := rapid.IntRange(2, 3).Draw(t, "parts")
		w.cut = func(a, b *node) bool { return a.id[3]%byte(parts) != b.id[3]%byte(parts) }
	case "heal":
		w.cut = nil
	case "loss":
		w.loss = rapid.Float64Range(0, 0.5).Draw(t, "loss")
	case "announce":
		w.announce(n)
	}
}

// restart replaces a daemon by a new one on the same address.
func (w *faulty) restart(n *node) {
	n.crashed = true
	self := w.memberAt(n).cfg.Self
	self.ID += "+"
	seeds := []string{w.nodes[0].addr, w.nodes[1].addr, w.nodes[2].addr}
	m := &memberNode{Membership: New(Config{
		Self: self, Seeds: seeds, Rand: rand.New(rand.NewPCG(uint64(len(w.nodes)), 2)),
	})}
	w.members = append(w.members, m)
	w.add(self, m)
}

func (w *faulty) memberAt(n *node) *memberNode { return n.d.(*memberNode) }

func (w *faulty) announce(n *node) {
	if n.frozen {
		return
	}
	w.version++
	w.memberAt(n).Announce(w.now, News{Topic: TopicConfigHead, Key: "k", Version: w.version})
	w.after(n)
}

func (w *faulty) thawAll() {
	for _, n := range w.nodes {
		if n.frozen {
			w.thaw(n)
		}
	}
}

// calm ends all faults, gives everyone the platform's list and announces once
// more. Without the list, daemons whose seeds have all gone could not know of
// each other.
func (w *faulty) calm() {
	w.cut, w.loss = nil, 0
	w.thawAll()
	w.run(time.Second)
	var list []string
	for _, n := range w.running() {
		list = append(list, n.addr)
	}
	for _, n := range w.running() {
		w.memberAt(n).Seed(w.now, list)
	}
	w.announce(w.running()[0])
}

func (w *faulty) informed() bool {
	for _, n := range w.running() {
		held := w.memberAt(n).Membership.news.rows.Get(newsKey{TopicConfigHead, "k"})
		if held == nil || held.Version != w.version {
			return false
		}
	}
	return true
}

// views returns what each running member holds.
func (w *faulty) views() map[entity.InstanceID][]Member {
	out := make(map[entity.InstanceID][]Member)
	for _, n := range w.running() {
		out[n.id] = w.memberAt(n).Members()
	}
	return out
}
