package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// After any sequence of faults has ended, all running daemons know each other
// and no other daemon, and all hold the newest record.
func TestMembership_ConvergesAfterAnyFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 12).Draw(t, "members")
		w := &faultyFleet{fleet: newFleet(n, rapid.Uint64().Draw(t, "seed"), nil)}
		if _, ok := w.runUntil(time.Minute, w.converged); !ok {
			t.Fatal("members have not found each other")
		}
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			w.injectFault(t)
			w.runFor(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "ms")) * time.Millisecond)
		}
		w.endFaults()
		if _, ok := w.runUntil(3*time.Minute, w.converged); !ok {
			t.Fatalf("views differ: %v", w.views())
		}
		if _, ok := w.runUntil(time.Minute, w.allHoldNewest); !ok {
			t.Fatal("not all members hold the newest record")
		}
	})
}

// faultyFleet is a fleet into which faults are injected.
type faultyFleet struct {
	*fleet
	version uint64
}

func (w *faultyFleet) injectFault(t *rapid.T) {
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

// restart replaces a daemon by a new one with the same address.
func (w *faultyFleet) restart(n *node) {
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

func (w *faultyFleet) memberAt(n *node) *memberNode { return n.detector.(*memberNode) }

func (w *faultyFleet) announce(n *node) {
	if n.frozen {
		return
	}
	w.version++
	w.memberAt(n).Announce(w.now, Record{Topic: TopicConfigHead, Key: "k", Version: w.version})
	w.processOutput(n)
}

func (w *faultyFleet) thawAll() {
	for _, n := range w.nodes {
		if n.frozen {
			w.thaw(n)
		}
	}
}

// endFaults ends all faults, gives every daemon the addresses of all running
// ones as seeds, as the platform's list of instances would, and announces a new
// record. Without these addresses, daemons whose seeds have all stopped could
// not find each other.
func (w *faultyFleet) endFaults() {
	w.cut, w.loss = nil, 0
	w.thawAll()
	w.runFor(time.Second)
	var list []string
	for _, n := range w.running() {
		list = append(list, n.addr)
	}
	for _, n := range w.running() {
		w.memberAt(n).Seed(w.now, list)
	}
	w.announce(w.running()[0])
}

func (w *faultyFleet) allHoldNewest() bool {
	for _, n := range w.running() {
		stored := w.memberAt(n).Membership.records.rows.Get(recordKey{TopicConfigHead, "k"})
		if stored == nil || stored.Version != w.version {
			return false
		}
	}
	return true
}

// views returns the members that each running daemon knows.
func (w *faultyFleet) views() map[entity.InstanceID][]Member {
	out := make(map[entity.InstanceID][]Member)
	for _, n := range w.running() {
		out[n.id] = w.memberAt(n).Members()
	}
	return out
}
