package membership

import (
	"testing"
	"time"
)

// Bounds from the stated targets at 410 daemons.
const (
	fleetSize        = 410
	controlBytes     = 11_000 // a second and daemon, all control
	membershipShare  = 4      // membership may take a quarter
	configEverywhere = 14 * time.Second
)

func TestMembership_BytesWithinBudget(t *testing.T) {
	f := joined(t, fleetSize, 20)
	f.loss = targetLoss
	const seconds = 60
	f.resetTraffic()
	f.run(seconds * time.Second)
	total := 0
	for _, n := range f.nodes {
		total += n.sent.bytes
	}
	perMember := total / len(f.nodes) / seconds
	t.Logf("%d bytes a second and member", perMember)
	if perMember > controlBytes/membershipShare {
		t.Fatalf("%d bytes a second and member, at most %d", perMember, controlBytes/membershipShare)
	}
}

func TestMembership_NewsReachesAllInTime(t *testing.T) {
	f := joined(t, fleetSize, 21)
	f.loss = targetLoss
	news := News{Topic: TopicConfigHead, Key: "service", Version: 7, Body: []byte("revision 7")}
	f.members[3].Announce(f.now, news)
	f.after(f.nodes[3])
	took, ok := f.runUntil(configEverywhere, func() bool { return f.holding(news) == fleetSize })
	if !ok {
		t.Fatalf("after %v only %d members have the news", configEverywhere, f.holding(news))
	}
	t.Logf("all have the news after %v", took)
	f.run(10 * time.Second)
	for i, m := range f.members {
		if want := min(1, i^3); len(m.news) != want {
			t.Fatalf("member %d has learned it %d times, want %d", i, len(m.news), want)
		}
	}
}

// holding counts the members that hold a version of a key.
func (f *fleet) holding(n News) int {
	count := 0
	for _, m := range f.members {
		held := m.Membership.news.rows.Get(newsKey{n.Topic, n.Key})
		if held != nil && held.Version == n.Version {
			count++
		}
	}
	return count
}
