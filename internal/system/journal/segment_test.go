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

// newWorldWithSmallSegments returns a world with small segments, in which
// daemon a owns the shard and b does not.
func newWorldWithSmallSegments(t *testing.T) (w *world, a, b *daemon) {
	t.Helper()
	w = newWorld(t, 1)
	small := func(c *Config) {
		c.HotKeys, c.MergeCount, c.TargetPartBytes = testHotKeys, 3, 1024
	}
	a, b = w.addDaemon("a", small), w.addDaemon("b", small)
	w.setMembers("a")
	w.run(time.Second)
	return w, a, b
}

// commitKeys submits one request for each key from k<from> up to, but without,
// k<to>, and waits until they have finished.
func commitKeys(w *world, d *daemon, from, to int) {
	for i := from; i < to; i++ {
		d.submit(newKeyedRequest(entity.RequestID(fmt.Sprintf("r%d", i)), fmt.Sprintf("k%d", i), false))
		w.run(200 * time.Millisecond)
	}
	w.run(2 * time.Second)
}

// wantSameAnswers submits a second request with each key and checks that it
// gets the answer of the first.
func wantSameAnswers(w *world, d *daemon, to int) {
	w.t.Helper()
	for i := range to {
		id := entity.RequestID(fmt.Sprintf("again%d", i))
		d.submit(newKeyedRequest(id, fmt.Sprintf("k%d", i), false))
		w.run(time.Second)
		w.wantCommitted(id, entity.RequestID(fmt.Sprintf("r%d", i)))
	}
}

func (w *world) takeOver(from, to *daemon) {
	from.dead = true
	to.setMembers(to.id)
	w.run(10 * time.Second)
}

func TestJournal_OldKeysAreAnsweredFromSegments(t *testing.T) {
	w, a, b := newWorldWithSmallSegments(t)
	const keys = 100
	commitKeys(w, a, 0, keys)
	s := a.journal.shards[0]
	if n := len(s.entries); n > 2*testHotKeys {
		t.Fatalf("%d keys in memory, want at most %d", n, 2*testHotKeys)
	}
	rows := w.store.query(provider.Operation{Partition: batchPartition(0), Limit: keys * 4, Consistent: true})
	if len(rows) > 4*testHotKeys {
		t.Fatalf("the shard has %d rows, want at most a claim and an answer for each key in memory", len(rows))
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
			t.Fatalf("object %s of a segment that is not in the manifest was not deleted", name)
		}
	}
	wantSameAnswers(w, a, keys)
	w.takeOver(a, b)
	c := w.addDaemon("c", nil)
	w.takeOver(b, c)
	for id := range w.finalOutcomes {
		delete(w.finalOutcomes, id)
	}
	wantSameAnswers(w, c, keys)
}

// The owner dies after writing the manifest and before deleting the sealed
// rows.
func TestJournal_SuccessorDeletesSealedRows(t *testing.T) {
	w, a, b := newWorldWithSmallSegments(t)
	w.store.fault = func(_ *daemon, op provider.Operation) fault {
		return fault{loseRequest: isTransact(op) && op.Writes[0].Delete}
	}
	const keys = 40
	commitKeys(w, a, 0, keys)
	rows := func() int { return len(w.store.rows[batchPartition(0)]) }
	if rows() != 2*keys {
		t.Fatalf("the shard has %d rows, want a claim and an answer for each key", rows())
	}
	w.store.fault = nil
	w.takeOver(a, b)
	if rows() > 4*testHotKeys {
		t.Fatalf("the shard has %d rows, want at most a claim and an answer for each key in memory", rows())
	}
	c := w.addDaemon("c", nil)
	w.takeOver(b, c)
	wantSameAnswers(w, c, keys)
}

// The new owner seals the key's row, and deletes it, after the previous owner
// has read the manifest and before it reads the rows.
func TestJournal_PreviousOwnerReadsAgainAfterASeal(t *testing.T) {
	w, a, b := newWorldWithSmallSegments(t)
	a.journal.cfg.RefreshInterval = time.Hour
	w.run(10 * time.Second)
	a.manual = true
	a.submit(newKeyedRequest("loser", "k0", false))
	w.run(time.Second)
	b.setMembers("b")
	w.run(10 * time.Second)
	commitKeys(w, b, 0, testHotKeys-1)
	sealed := false
	w.store.fault = func(d *daemon, op provider.Operation) fault {
		if d != a || op.Kind != provider.QueryRows || op.Partition == shardPartition || sealed {
			return fault{}
		}
		sealed = true
		for i := range 2 * testHotKeys {
			b.submit(newKeyedRequest(entity.RequestID(fmt.Sprintf("more%d", i)), fmt.Sprintf("more%d", i), true))
		}
		return fault{effectDelay: time.Second}
	}
	w.schedule(0, a, func() { a.journal.Claim(w.now, "loser", Claim{Attempt: 1}) })
	w.run(defaultStoreTimeout)
	if !sealed || b.journal.shards[0].manifest.Sealed == "" {
		t.Fatal("the new owner sealed nothing while the previous owner read the journal")
	}
	w.wantCommitted("loser", "r0")
}

// A wait for the shard and a following wait for a segment share one timeout.
func TestJournal_WaitsShareOneTimeout(t *testing.T) {
	w, a, b := newWorldWithSmallSegments(t)
	commitKeys(w, a, 0, 50)
	w.setMembers("a", "b")
	w.run(10 * time.Second)
	a.dead = true
	b.setMembers("b")
	w.run(200 * time.Millisecond)
	b.submit(newKeyedRequest("again", "k0", false))
	start := w.now
	for b.journal.shards[0].state != stateOwned {
		w.run(time.Millisecond)
	}
	w.store.objectsDown = true
	w.run(defaultStoreTimeout + 10*time.Millisecond - w.now.Sub(start))
	w.wantRefused("again", verdict.MayHaveRun, CodeStoreUnavailable)
}

// The owner dies after storing the segment and before writing the shard's row.
func TestJournal_DeathBeforeSealLosesNoKey(t *testing.T) {
	w, a, b := newWorldWithSmallSegments(t)
	commitKeys(w, a, 0, 2*testHotKeys-1)
	w.store.fault = func(_ *daemon, op provider.Operation) fault {
		return fault{loseRequest: isTransact(op) && op.Writes[0].Partition == shardPartition && !op.Writes[0].CheckOnly}
	}
	commitKeys(w, a, 2*testHotKeys-1, 2*testHotKeys+2)
	w.store.fault = nil
	w.takeOver(a, b)
	wantSameAnswers(w, b, 2*testHotKeys-1)
}

// A claim is sealed into one segment and its answer into a later one. The
// merged segment must contain the answer.
func TestJournal_MergeKeepsTheNewestRecord(t *testing.T) {
	w, a, b := newWorldWithSmallSegments(t)
	a.runDuration = 10 * time.Second
	a.submit(newKeyedRequest("slow", "slow", false))
	w.run(time.Second)
	a.runDuration = 50 * time.Millisecond
	commitKeys(w, a, 0, testHotKeys+1)
	if len(a.journal.shards[0].segments) != 1 || w.finalOutcomes["slow"].Kind == Committed {
		t.Fatal("the claim of the slow request was not sealed before its answer")
	}
	w.run(10 * time.Second)
	w.wantCommitted("slow", "slow")
	commitKeys(w, a, testHotKeys+1, 100)
	w.takeOver(a, b)
	b.submit(newKeyedRequest("again", "slow", false))
	w.run(time.Second)
	w.wantCommitted("again", "slow")
}

func TestJournal_SegmentsPastRetentionAreDropped(t *testing.T) {
	w, a, _ := newWorldWithSmallSegments(t)
	a.journal.cfg.Retention = time.Hour
	commitKeys(w, a, 0, 50)
	w.run(2 * time.Hour)
	commitKeys(w, a, 50, 100)
	for _, ref := range a.journal.shards[0].manifest.Segments {
		if ref.Until < w.now.Add(-time.Hour).UnixMicro() {
			t.Fatalf("segment %+v is past its retention but still in the manifest", ref)
		}
	}
	if n := len(w.store.objects); n > 200 {
		t.Fatalf("the object store has %d objects, want at most 200", n)
	}
}

// While the object store is down, no daemon can know whether a segment contains
// the key.
func TestJournal_ObjectStoreDownRefusesPossiblyOldKey(t *testing.T) {
	w, a, _ := newWorldWithSmallSegments(t)
	commitKeys(w, a, 0, 50)
	w.store.objectsDown = true
	a.submit(newKeyedRequest("again", "k0", false))
	a.submit(newKeyedRequest("hot", "k49", false))
	w.run(defaultStoreTimeout + time.Second)
	w.wantRefused("again", verdict.MayHaveRun, CodeStoreUnavailable)
	w.wantCommitted("hot", "r49")
}
