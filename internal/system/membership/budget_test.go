package membership

import (
	"testing"
	"time"
)

// Fleet size and limits of the design targets.
const (
	fleetSize                = 410
	maxControlBytesPerSecond = 11_000 // per second and daemon, control messages of all kinds
	membershipDivisor        = 4      // membership messages may use 1/membershipDivisor of them
	maxSpreadDuration        = 14 * time.Second
)

func TestMembership_BytesWithinBudget(t *testing.T) {
	f := newJoinedFleet(t, fleetSize, 20)
	f.loss = targetLossRatio
	const seconds = 60
	f.resetTraffic()
	f.runFor(seconds * time.Second)
	total := 0
	for _, n := range f.nodes {
		total += n.sent.bytes
	}
	perMember := total / len(f.nodes) / seconds
	t.Logf("%d bytes per second and member", perMember)
	if perMember > maxControlBytesPerSecond/membershipDivisor {
		t.Fatalf("%d bytes per second and member, want at most %d", perMember, maxControlBytesPerSecond/membershipDivisor)
	}
}

func TestMembership_RecordReachesAllInTime(t *testing.T) {
	f := newJoinedFleet(t, fleetSize, 21)
	f.loss = targetLossRatio
	record := Record{Topic: TopicConfigHead, Key: "service", Version: 7, Body: []byte("revision 7")}
	f.members[3].Announce(f.now, record)
	f.processOutput(f.nodes[3])
	took, ok := f.runUntil(maxSpreadDuration, func() bool { return f.holderCount(record) == fleetSize })
	if !ok {
		t.Fatalf("after %v only %d members have the record", maxSpreadDuration, f.holderCount(record))
	}
	t.Logf("all members have the record after %v", took)
	f.runFor(10 * time.Second)
	for i, m := range f.members {
		// Member 3 has announced the record and does not report it itself.
		if want := min(1, i^3); len(m.records) != want {
			t.Fatalf("member %d has reported the record %d times, want %d", i, len(m.records), want)
		}
	}
}

// holderCount counts the members that hold a version of a record.
func (f *fleet) holderCount(r Record) int {
	count := 0
	for _, m := range f.members {
		stored := m.Membership.records.rows.Get(recordKey{r.Topic, r.Key})
		if stored != nil && stored.Version == r.Version {
			count++
		}
	}
	return count
}
