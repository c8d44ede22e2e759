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

// What two daemons hold after the same messages does not depend on their
// order, and repeats change nothing.
func TestMerge_OrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		updates := rapid.SliceOfN(rapid.Custom(drawUpdate), 1, 30).Draw(t, "updates")
		order := rapid.Permutation(updates).Draw(t, "order")
		a, b := feed(updates), feed(append(order, updates...))
		if a.digest != b.digest {
			t.Fatalf("digests differ: %v and %v", a.Members(), b.Members())
		}
		if fmt.Sprint(a.Members()) != fmt.Sprint(b.Members()) {
			t.Fatalf("%v and %v", a.Members(), b.Members())
		}
		if a.digest != fresh(a) {
			t.Fatal("the digest has drifted from the entries")
		}
	})
}

func drawUpdate(t *rapid.T) Update {
	inc := rapid.Uint32Range(0, 3).Draw(t, "incarnation")
	id := rapid.IntRange(1, 4).Draw(t, "id")
	m := memberOf(id, 9)
	return Update{
		ID: m.ID, Incarnation: inc, Leaving: inc == 3,
		Suspected: rapid.Bool().Draw(t, "suspected"),
		Detail:    &Detail{Addr: m.Addr, Place: m.Place},
	}
}

func feed(updates []Update) *Membership {
	m := New(Config{Self: memberOf(0, 9), Rand: rand.New(rand.NewPCG(1, 1))})
	from := memberOf(8, 9)
	for _, u := range updates {
		m.Step(epoch, from.ID, from.Addr, Message{Kind: Gossip, Updates: []Update{u}})
	}
	return m
}

// fresh computes the digest of what is held from nothing.
func fresh(m *Membership) digest {
	var d digest
	m.rows.All(func(_ entity.InstanceID, r *row) bool {
		if r.State != Dead {
			d.toggle(r)
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
	for i := range 2 * maxDead {
		u := Update{
			ID: entity.InstanceID(fmt.Sprint("gone", i)), Suspected: true,
			Detail: &Detail{Addr: fmt.Sprint("10.9.0.1:", i)},
		}
		m.Step(now, from.ID, from.Addr, Message{Kind: Gossip, Updates: []Update{u}})
		if i%1000 == 0 {
			now = idle(m, now, time.Minute)
		}
	}
	if m.rows.Len() > maxMembers || len(m.dead) > maxDead {
		t.Fatalf("%d rows, %d tombstones", m.rows.Len(), len(m.dead))
	}
	now = idle(m, now, time.Minute)
	idle(m, now, m.cfg.DeadRetention+time.Minute)
	if len(m.dead) != 0 || m.rows.Len() > 1 {
		t.Fatalf("%d tombstones and %d rows after their time", len(m.dead), m.rows.Len())
	}
}

// idle passes time without any message from others.
func idle(m *Membership, now time.Time, d time.Duration) time.Time {
	for end := now.Add(d); now.Before(end); now = now.Add(m.cfg.ProbeInterval) {
		m.Tick(now)
		m.Ready()
	}
	return now
}

// FuzzMessage feeds decoded messages to a member that knows some others.
func FuzzMessage(f *testing.F) {
	for kind := Ping; kind <= SyncPush; kind++ {
		body, err := codec.Encode(Message{
			Kind: kind, Sequence: 1, Updates: []Update{{ID: "x", Detail: &Detail{Addr: "10.0.0.9:1"}}},
			News: []NewsRecord{{Topic: 9, Key: "k", Version: 1}}, Buckets: make([]uint64, bucketCount),
			Want: []uint8{1, 255}, Target: Target{ID: "y", Addr: "10.0.0.8:1"},
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
		m := feed([]Update{{ID: "known", Detail: &Detail{Addr: "10.0.0.7:1"}}})
		m.Tick(epoch)
		m.Step(epoch, "known", "10.0.0.7:1", msg)
		m.Tick(m.Deadline())
		m.Ready()
		if m.digest != freshWithNews(m) {
			t.Fatal("the digest has drifted from the entries")
		}
	})
}

func freshWithNews(m *Membership) digest {
	d := fresh(m)
	m.news.rows.All(func(_ newsKey, n *newsRow) bool {
		if !n.dropped {
			d.toggleNews(n)
		}
		return true
	})
	return d
}
