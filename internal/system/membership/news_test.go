package membership

import (
	"fmt"
	"testing"
	"time"
)

const unknownTopic Topic = 200

// A member that was out of reach while news spread gets it by comparison.
func TestNews_MissedIsCaughtUp(t *testing.T) {
	f := joined(t, 9, 30)
	news := News{Topic: unknownTopic, Key: "k", Version: 1, Body: []byte("b")}
	away := f.nodes[4]
	f.cut = func(a, b *node) bool { return a == away || b == away }
	f.members[0].Announce(f.now, news)
	f.after(f.nodes[0])
	f.run(time.Second)
	if got := f.holding(news); got != 8 {
		t.Fatalf("%d members have the news, want 8", got)
	}
	f.cut = nil
	if _, ok := f.runUntil(configEverywhere, func() bool { return f.holding(news) == 9 }); !ok {
		t.Fatal("the member has not caught up")
	}
	if got := f.members[4].news; len(got) != 1 || string(got[0].Body) != "b" {
		t.Fatalf("learned %v", got)
	}
}

func TestNews_LateJoinerLearnsAll(t *testing.T) {
	f := joined(t, 9, 31)
	for i := range 100 {
		f.members[i%9].Announce(f.now, News{Topic: TopicConfigHead, Key: fmt.Sprint(i), Version: 3})
	}
	f.run(5 * time.Second)
	late := &memberNode{Membership: New(Config{Self: memberOf(10, 99), Seeds: []string{memberOf(0, 9).Addr}})}
	f.members = append(f.members, late)
	f.add(late.cfg.Self, late)
	f.run(5 * time.Second)
	if len(late.news) != 100 {
		t.Fatalf("learned %d pieces of news, want 100", len(late.news))
	}
}

// The life of news is counted from its announcement: who joins late drops it
// with the others, and it does not come back from there.
func TestNews_DroppedByAllTogether(t *testing.T) {
	f := joined(t, 9, 32)
	news := News{Topic: TopicBackendLeaving, Key: "w", Version: 1}
	f.members[0].Announce(f.now, news)
	f.after(f.nodes[0])
	f.run(defaultLife - time.Minute)
	late := &memberNode{Membership: New(Config{Self: memberOf(10, 99), Seeds: []string{memberOf(0, 9).Addr}})}
	f.members = append(f.members, late)
	f.add(late.cfg.Self, late)
	f.run(4 * time.Minute)
	if len(late.news) != 1 {
		t.Fatalf("the late member has learned it %d times", len(late.news))
	}
	for i, m := range f.members {
		if len(m.news) > 1 || m.Membership.news.rows.Len() != 0 {
			t.Fatalf("member %d: learned %d times, %d rows held", i, len(m.news), m.Membership.news.rows.Len())
		}
	}
}

// A copy from a member that drops it a little later is not taken for new.
func TestNews_DroppedStaysDropped(t *testing.T) {
	m := New(Config{Self: memberOf(0, 9)})
	from := memberOf(1, 9)
	record := NewsRecord{Topic: TopicHandoff, Key: "k", Version: 1}
	m.Step(epoch, from.ID, from.Addr, Message{Kind: Gossip, News: []NewsRecord{record}})
	now := idle(m, epoch, defaultLife+sweepInterval)
	record.AgeMillis = uint32((defaultLife - time.Second).Milliseconds())
	m.Step(now, from.ID, from.Addr, Message{Kind: Gossip, News: []NewsRecord{record}})
	if got := m.Ready().News; len(got) != 0 {
		t.Fatalf("learned again: %v", got)
	}
}

func TestNews_OlderVersionIsIgnored(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	m := New(Config{Self: memberOf(0, 9)})
	from := memberOf(1, 9)
	for _, v := range []uint64{2, 1, 2} {
		m.Step(now, from.ID, from.Addr, Message{Kind: Gossip, News: []NewsRecord{{Topic: 1, Key: "k", Version: v}}})
	}
	if got := m.Ready().News; len(got) != 1 || got[0].Version != 2 {
		t.Fatalf("learned %v", got)
	}
}

func TestNews_MemoryIsBounded(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	m := New(Config{Self: memberOf(0, 9)})
	m.Announce(now, News{Topic: TopicConfigHead, Key: "head", Version: 1})
	for i := range 3 * maxNewsBytes / maxNewsBody {
		now = now.Add(time.Millisecond)
		m.Announce(now, News{Topic: TopicHandoff, Key: fmt.Sprint(i), Version: 1, Body: make([]byte, maxNewsBody)})
	}
	m.Announce(now, News{Topic: TopicHandoff, Key: "large", Version: 1, Body: make([]byte, maxNewsBody+1)})
	if m.news.bytes > maxNewsBytes {
		t.Fatalf("%d bytes held", m.news.bytes)
	}
	if m.news.rows.Get(newsKey{TopicConfigHead, "head"}) == nil {
		t.Fatal("news that lasts for ever has given way")
	}
	if m.news.rows.Get(newsKey{TopicHandoff, "large"}) != nil {
		t.Fatal("too large a body is held")
	}
}
