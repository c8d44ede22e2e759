package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

var epoch = time.Unix(1_700_000_000, 0)

// The state after a set of messages does not depend on their order, and
// repeated messages change nothing.
func TestMerge_OrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		updates := rapid.SliceOfN(rapid.Custom(drawUpdate), 1, 30).Draw(t, "updates")
		order := rapid.Permutation(updates).Draw(t, "order")
		a, b := newWithUpdates(updates), newWithUpdates(append(order, updates...))
		if a.digest != b.digest {
			t.Fatalf("digests differ for members %v and %v", a.Members(), b.Members())
		}
		if fmt.Sprint(a.Members()) != fmt.Sprint(b.Members()) {
			t.Fatalf("members differ: %v and %v", a.Members(), b.Members())
		}
		if a.digest != recomputeDigest(a) {
			t.Fatal("the digest does not match the entries")
		}
	})
}

func drawUpdate(t *rapid.T) Update {
	incarnation := rapid.Uint32Range(0, 3).Draw(t, "incarnation")
	id := rapid.IntRange(1, 4).Draw(t, "id")
	m := memberOf(id, 9)
	return Update{
		ID: m.ID, Incarnation: incarnation, Leaving: incarnation == 3,
		Suspected: rapid.Bool().Draw(t, "suspected"),
		Detail:    &Detail{Addr: m.Addr, Location: m.Location},
	}
}

func newWithUpdates(updates []Update) *Membership {
	m := New(Config{Self: memberOf(0, 9), Rand: rand.New(rand.NewPCG(1, 1))})
	from := memberOf(8, 9)
	for _, u := range updates {
		m.Step(epoch, from.ID, from.Addr, Message{Kind: Gossip, Updates: []Update{u}})
	}
	return m
}

// recomputeDigest computes the digest of all members from scratch.
func recomputeDigest(m *Membership) digest {
	var d digest
	m.rows.All(func(_ entity.InstanceID, r *row) bool {
		if r.State != Dead {
			d.xorMember(r)
		}
		return true
	})
	return d
}

func TestMembership_TombstonesAreBounded(t *testing.T) {
	m := New(Config{Self: memberOf(0, 9)})
	from := memberOf(8, 9)
	now := epoch
	m.Tick(now)
	for i := range 2 * maxDeadMembers {
		u := Update{
			ID: entity.InstanceID(fmt.Sprint("gone", i)), Suspected: true,
			Detail: &Detail{Addr: fmt.Sprint("10.9.0.1:", i)},
		}
		m.Step(now, from.ID, from.Addr, Message{Kind: Gossip, Updates: []Update{u}})
		if i%1000 == 0 {
			now = runIdle(m, now, time.Minute)
		}
	}
	if m.rows.Len() > maxMembers || len(m.dead) > maxDeadMembers {
		t.Fatalf("%d rows and %d tombstones held, over the limits", m.rows.Len(), len(m.dead))
	}
	now = runIdle(m, now, time.Minute)
	runIdle(m, now, m.cfg.DeadRetention+time.Minute)
	if len(m.dead) != 0 || m.rows.Len() > 1 {
		t.Fatalf("%d tombstones and %d rows left after DeadRetention", len(m.dead), m.rows.Len())
	}
}

// runIdle calls Tick for a duration without any message from peers and returns
// the time after it.
func runIdle(m *Membership, now time.Time, d time.Duration) time.Time {
	for end := now.Add(d); now.Before(end); now = now.Add(m.cfg.ProbeInterval) {
		m.Tick(now)
		m.Ready()
	}
	return now
}

// FuzzMessage passes arbitrary decoded messages to a Membership that knows one
// peer.
func FuzzMessage(f *testing.F) {
	for kind := Ping; kind <= SyncPush; kind++ {
		body, err := codec.Encode(Message{
			Kind: kind, Sequence: 1, Updates: []Update{{ID: "x", Detail: &Detail{Addr: "10.0.0.9:1"}}},
			Records: []GossipRecord{{Topic: 9, Key: "k", Version: 1}}, Buckets: make([]uint64, bucketCount),
			DifferingBuckets: []uint8{1, 255}, Target: Target{ID: "y", Addr: "10.0.0.8:1"},
		})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var msg Message
		if codec.Decode(data, &msg) != nil {
			return
		}
		m := newWithUpdates([]Update{{ID: "known", Detail: &Detail{Addr: "10.0.0.7:1"}}})
		m.Tick(epoch)
		m.Step(epoch, "known", "10.0.0.7:1", msg)
		m.Tick(m.Deadline())
		m.Ready()
		if m.digest != recomputeFullDigest(m) {
			t.Fatal("the digest does not match the entries")
		}
	})
}

func recomputeFullDigest(m *Membership) digest {
	d := recomputeDigest(m)
	m.records.rows.All(func(_ recordKey, r *recordRow) bool {
		if !r.dropped {
			d.xorRecord(r)
		}
		return true
	})
	return d
}
