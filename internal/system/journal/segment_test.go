package journal

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

const testHotKeys = 8

// sealing returns a world with small segments and an owner.
func sealing(t *testing.T) (w *world, a, b *daemon) {
	t.Helper()
	w = newWorld(t, 1)
	small := func(c *Config) {
		c.HotKeys, c.MergeCount, c.PartBytes = testHotKeys, 3, 1024
	}
	a, b = w.add("a", small), w.add("b", small)
	w.members("a")
	w.run(time.Second)
	return w, a, b
}

// commit begins and finishes a number of requests with keys of their own.
func commit(w *world, d *daemon, from, to int) {
	for i := from; i < to; i++ {
		d.begin(keyed(entity.RequestID(fmt.Sprintf("r%d", i)), fmt.Sprintf("k%d", i), false))
		w.run(200 * time.Millisecond)
	}
	w.run(2 * time.Second)
}

// wantAll begins a second request with each key and checks its answer.
func wantAll(w *world, d *daemon, to int) {
	w.t.Helper()
	for i := range to {
		id := entity.RequestID(fmt.Sprintf("again%d", i))
		d.begin(keyed(id, fmt.Sprintf("k%d", i), false))
		w.run(time.Second)
		w.wantCommitted(id, entity.RequestID(fmt.Sprintf("r%d", i)))
	}
}

func (w *world) takeOver(from, to *daemon) {
	from.dead = true
	to.members(to.id)
	w.run(10 * time.Second)
}

func TestJournal_OldKeysAreAnsweredFromSegments(t *testing.T) {
	w, a, b := sealing(t)
	const keys = 100
	commit(w, a, 0, keys)
	s := a.journal.shards[0]
	if n := len(s.entries); n > 2*testHotKeys {
		t.Fatalf("%d keys in memory, want at most %d", n, 2*testHotKeys)
	}
	rows := w.store.query(provider.Operation{Partition: entryPartition(0), Limit: keys * 4, Consistent: true})
	if len(rows) > 4*testHotKeys {
		t.Fatalf("%d rows, want at most a claim and an answer for each hot key", len(rows))
	}
	merged := 0
	for _, seg := range s.segments {
		merged += seg.ref.Level
	}
	if merged == 0 {
		t.Fatal("no segments were merged")
	}
	for name := range w.store.objects {
		parts := strings.Split(name, "/")
		if !strings.Contains(fmt.Sprintf("%+v", s.manifest.Segments), parts[3]) {
			t.Fatalf("object %s is left behind", name)
		}
	}
	wantAll(w, a, keys)
	w.takeOver(a, b)
	c := w.add("c", nil)
	w.takeOver(b, c)
	for id := range w.final {
		delete(w.final, id)
	}
	wantAll(w, c, keys)
}

// The owner dies between the manifest and the deletion of the sealed rows.
func TestJournal_SuccessorSweepsSealedRows(t *testing.T) {
	w, a, b := sealing(t)
	w.store.fault = func(_ *daemon, op provider.Operation) fault {
		return fault{drop: isTransact(op) && op.Writes[0].Delete}
	}
	const keys = 40
	commit(w, a, 0, keys)
	rows := func() int { return len(w.store.rows[entryPartition(0)]) }
	if rows() != 2*keys {
		t.Fatalf("%d rows, want a claim and an answer for each key", rows())
	}
	w.store.fault = nil
	w.takeOver(a, b)
	if rows() > 4*testHotKeys {
		t.Fatalf("%d rows, want at most a claim and an answer for each hot key", rows())
	}
	c := w.add("c", nil)
	w.takeOver(b, c)
	wantAll(w, c, keys)
}

// The winner seals the key's row, and deletes it, after the loser has read the
// manifest and before it reads the rows.
func TestJournal_LoserReadsAgainAfterASeal(t *testing.T) {
	w, a, b := sealing(t)
	a.journal.cfg.RefreshEvery = time.Hour
	w.run(10 * time.Second)
	a.manual = true
	a.begin(keyed("loser", "k0", false))
	w.run(time.Second)
	b.members("b")
	w.run(10 * time.Second)
	commit(w, b, 0, testHotKeys-1)
	sealed := false
	w.store.fault = func(d *daemon, op provider.Operation) fault {
		if d != a || op.Kind != provider.QueryRows || op.Partition == shardPartition || sealed {
			return fault{}
		}
		sealed = true
		for i := range 2 * testHotKeys {
			b.begin(keyed(entity.RequestID(fmt.Sprintf("more%d", i)), fmt.Sprintf("more%d", i), true))
		}
		return fault{land: time.Second}
	}
	w.after(0, a, func() { a.journal.Claim(w.now, "loser", Claim{Attempt: 1}) })
	w.run(defaultTryFor)
	if !sealed || b.journal.shards[0].manifest.Sealed == "" {
		t.Fatal("nothing was sealed meanwhile")
	}
	w.wantCommitted("loser", "r0")
}

// A wait for the shard and then for a segment has one limit.
func TestJournal_WaitsShareOneLimit(t *testing.T) {
	w, a, b := sealing(t)
	commit(w, a, 0, 50)
	w.members("a", "b")
	w.run(10 * time.Second)
	a.dead = true
	b.members("b")
	w.run(200 * time.Millisecond)
	b.begin(keyed("again", "k0", false))
	start := w.now
	for b.journal.shards[0].state != stateOwned {
		w.run(time.Millisecond)
	}
	w.store.objectsDown = true
	w.run(defaultTryFor + 10*time.Millisecond - w.now.Sub(start))
	w.wantRefused("again", verdict.MayHaveRun, CodeStoreUnavailable)
}

// The owner dies with the segment stored and the shard's row not written.
func TestJournal_DeathBeforeSealLosesNoKey(t *testing.T) {
	w, a, b := sealing(t)
	commit(w, a, 0, 2*testHotKeys-1)
	w.store.fault = func(_ *daemon, op provider.Operation) fault {
		return fault{drop: isTransact(op) && op.Writes[0].Partition == shardPartition && !op.Writes[0].CheckOnly}
	}
	commit(w, a, 2*testHotKeys-1, 2*testHotKeys+2)
	w.store.fault = nil
	w.takeOver(a, b)
	wantAll(w, b, 2*testHotKeys-1)
}

// A claim is sealed into one segment and the answer into a later one.
func TestJournal_MergeKeepsTheNewestRecord(t *testing.T) {
	w, a, b := sealing(t)
	a.runTime = 10 * time.Second
	a.begin(keyed("slow", "slow", false))
	w.run(time.Second)
	a.runTime = 50 * time.Millisecond
	commit(w, a, 0, testHotKeys+1)
	if len(a.journal.shards[0].segments) != 1 || w.final["slow"].Kind == Committed {
		t.Fatal("the claim is not in a segment of its own yet")
	}
	w.run(10 * time.Second)
	w.wantCommitted("slow", "slow")
	commit(w, a, testHotKeys+1, 100)
	w.takeOver(a, b)
	b.begin(keyed("again", "slow", false))
	w.run(time.Second)
	w.wantCommitted("again", "slow")
}

func TestJournal_SegmentsPastRetentionAreDropped(t *testing.T) {
	w, a, _ := sealing(t)
	a.journal.cfg.Retention = time.Hour
	commit(w, a, 0, 50)
	w.run(2 * time.Hour)
	commit(w, a, 50, 100)
	for _, ref := range a.journal.shards[0].manifest.Segments {
		if ref.Until < w.now.Add(-time.Hour).UnixMicro() {
			t.Fatalf("segment %+v is kept", ref)
		}
	}
	if n := len(w.store.objects); n > 200 {
		t.Fatalf("%d objects", n)
	}
}

// While the object store is down nobody knows whether a key is an old one.
func TestJournal_ObjectStoreDownRefusesPossiblyOldKey(t *testing.T) {
	w, a, _ := sealing(t)
	commit(w, a, 0, 50)
	w.store.objectsDown = true
	a.begin(keyed("again", "k0", false))
	a.begin(keyed("hot", "k49", false))
	w.run(defaultTryFor + time.Second)
	w.wantRefused("again", verdict.MayHaveRun, CodeStoreUnavailable)
	w.wantCommitted("hot", "r49")
}
