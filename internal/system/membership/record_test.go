package membership

import (
	"fmt"
	"testing"
	"time"
)

const unknownTopic Topic = 200

// A member that was unreachable while a record spread receives it through the
// comparison of digests.
func TestRecord_MissedIsCaughtUp(t *testing.T) {
	f := newJoinedFleet(t, 9, 30)
	record := Record{Topic: unknownTopic, Key: "k", Version: 1, Body: []byte("b")}
	unreachable := f.nodes[4]
	f.cut = func(a, b *node) bool { return a == unreachable || b == unreachable }
	f.members[0].Announce(f.now, record)
	f.processOutput(f.nodes[0])
	f.runFor(time.Second)
	if got := f.holderCount(record); got != 8 {
		t.Fatalf("%d members have the record, want 8", got)
	}
	f.cut = nil
	if _, ok := f.runUntil(maxSpreadDuration, func() bool { return f.holderCount(record) == 9 }); !ok {
		t.Fatal("the reconnected member has not received the record")
	}
	if got := f.members[4].records; len(got) != 1 || string(got[0].Body) != "b" {
		t.Fatalf("reconnected member reported records %v, want one with body b", got)
	}
}

func TestRecord_LateJoinerLearnsAll(t *testing.T) {
	f := newJoinedFleet(t, 9, 31)
	for i := range 100 {
		f.members[i%9].Announce(f.now, Record{Topic: TopicConfigHead, Key: fmt.Sprint(i), Version: 3})
	}
	f.runFor(5 * time.Second)
	late := &memberNode{Membership: New(Config{Self: memberOf(10, 99), Seeds: []string{memberOf(0, 9).Addr}})}
	f.members = append(f.members, late)
	f.add(late.cfg.Self, late)
	f.runFor(5 * time.Second)
	if len(late.records) != 100 {
		t.Fatalf("the late member reported %d records, want 100", len(late.records))
	}
}

// The ttl of a record is counted from its announcement: a daemon that joins
// late drops the record together with the others, and the record does not
// spread again from there.
func TestRecord_DroppedByAllTogether(t *testing.T) {
	f := newJoinedFleet(t, 9, 32)
	record := Record{Topic: TopicBackendDraining, Key: "w", Version: 1}
	f.members[0].Announce(f.now, record)
	f.processOutput(f.nodes[0])
	f.runFor(defaultTTL - time.Minute)
	late := &memberNode{Membership: New(Config{Self: memberOf(10, 99), Seeds: []string{memberOf(0, 9).Addr}})}
	f.members = append(f.members, late)
	f.add(late.cfg.Self, late)
	f.runFor(4 * time.Minute)
	if len(late.records) != 1 {
		t.Fatalf("the late member has reported the record %d times, want 1", len(late.records))
	}
	for i, m := range f.members {
		if len(m.records) > 1 || m.Membership.records.rows.Len() != 0 {
			t.Fatalf("member %d reported the record %d times and holds %d records after its ttl", i, len(m.records), m.Membership.records.rows.Len())
		}
	}
}

// A copy from a member that drops the record a little later is not treated as
// new.
func TestRecord_DroppedStaysDropped(t *testing.T) {
	m := New(Config{Self: memberOf(0, 9)})
	from := memberOf(1, 9)
	record := GossipRecord{Topic: TopicHandoff, Key: "k", Version: 1}
	m.Step(epoch, from.ID, from.Addr, Message{Kind: Gossip, Records: []GossipRecord{record}})
	now := runIdle(m, epoch, defaultTTL+sweepInterval)
	record.AgeMillis = uint32((defaultTTL - time.Second).Milliseconds())
	m.Step(now, from.ID, from.Addr, Message{Kind: Gossip, Records: []GossipRecord{record}})
	if got := m.Ready().Records; len(got) != 0 {
		t.Fatalf("a dropped record was reported again: %v", got)
	}
}

func TestRecord_OlderVersionIsIgnored(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	m := New(Config{Self: memberOf(0, 9)})
	from := memberOf(1, 9)
	for _, v := range []uint64{2, 1, 2} {
		m.Step(now, from.ID, from.Addr, Message{Kind: Gossip, Records: []GossipRecord{{Topic: 1, Key: "k", Version: v}}})
	}
	if got := m.Ready().Records; len(got) != 1 || got[0].Version != 2 {
		t.Fatalf("reported records %v, want only version 2", got)
	}
}

func TestRecord_MemoryIsBounded(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	m := New(Config{Self: memberOf(0, 9)})
	m.Announce(now, Record{Topic: TopicConfigHead, Key: "head", Version: 1})
	for i := range 3 * maxTotalRecordBytes / maxRecordBodyBytes {
		now = now.Add(time.Millisecond)
		m.Announce(now, Record{Topic: TopicHandoff, Key: fmt.Sprint(i), Version: 1, Body: make([]byte, maxRecordBodyBytes)})
	}
	m.Announce(now, Record{Topic: TopicHandoff, Key: "large", Version: 1, Body: make([]byte, maxRecordBodyBytes+1)})
	if m.records.bytes > maxTotalRecordBytes {
		t.Fatalf("records take %d bytes, over the limit", m.records.bytes)
	}
	if m.records.rows.Get(recordKey{TopicConfigHead, "head"}) == nil {
		t.Fatal("a record that never expires has been evicted")
	}
	if m.records.rows.Get(recordKey{TopicHandoff, "large"}) != nil {
		t.Fatal("a record with too large a body is stored")
	}
}
