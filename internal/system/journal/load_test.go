package journal

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

const (
	keyedPerSecond        = 500 // a tenth of 5,000 requests per second
	maxWritesPerSecond    = 300 // table transactions of the whole fleet
	maxFilterBytes        = 4 << 20
	maxPollBytesPerSecond = 11 << 10 // read by the polls of one daemon
)

// newFleetWorld returns a world whose daemons share the shards among them.
func newFleetWorld(t testFailer, daemons int) *world {
	w := newWorld(t, 1)
	var ids []entity.InstanceID
	for i := range daemons {
		id := entity.InstanceID(fmt.Sprintf("d%03d", i))
		ids = append(ids, id)
		w.addDaemon(id, func(c *Config) { c.Shards = defaultShards })
	}
	w.setMembers(ids...)
	w.run(10 * time.Second)
	return w
}

func (w *world) daemonOf(k Key) *daemon {
	for _, d := range w.daemons {
		if d.journal.Owner(k) == d.id {
			return d
		}
	}
	w.t.Fatalf("no daemon owns key %v", k)
	return nil
}

// submitRequests submits keyed requests at random times. notRepeatable is the
// fraction of them that is not repeatable.
func (w *world) submitRequests(perSecond float64, d time.Duration, notRepeatable float64) int {
	owners := map[int]*daemon{}
	n := 0
	end := w.now.Add(d)
	for w.now.Before(end) {
		n++
		r := newKeyedRequest(entity.RequestID(fmt.Sprintf("r%d", n)), fmt.Sprintf("k%d", n), w.rand.Float64() >= notRepeatable)
		shard := w.daemons[0].journal.ShardOf(r.Key)
		if owners[shard] == nil {
			owners[shard] = w.daemonOf(r.Key)
		}
		owners[shard].submit(r)
		w.run(time.Duration(w.rand.ExpFloat64() / perSecond * float64(time.Second)))
	}
	w.run(5 * time.Second)
	return n
}

func (w *world) wantAllCommitted(n int) {
	w.t.Helper()
	for i := 1; i <= n; i++ {
		if o := w.finalOutcomes[entity.RequestID(fmt.Sprintf("r%d", i))]; o.Kind != Committed {
			w.t.Fatalf("request r%d ended with %v %v, want committed", i, o.Kind, o.Err)
		}
	}
}

func TestJournal_WritesStayWithinTheFleetsBudget(t *testing.T) {
	for _, daemons := range []int{9, 410} {
		for _, notRepeatable := range []float64{0, 1} {
			w := newFleetWorld(t, daemons)
			before, rows, reads := w.store.transactions, w.store.rowWrites, w.store.reads
			const span = 20 * time.Second
			n := w.submitRequests(keyedPerSecond, span, notRepeatable)
			w.wantAllCommitted(n)
			perSecond := func(count int) float64 { return float64(count) / span.Seconds() }
			writes := perSecond(w.store.transactions - before)
			t.Logf("%d daemons, %.0f%% not repeatable: %d keyed requests, %.1f transactions/s, %.1f rows/s, %.1f reads/s",
				daemons, 100*notRepeatable, n, writes, perSecond(w.store.rowWrites-rows), perSecond(w.store.reads-reads))
			if writes > maxWritesPerSecond {
				t.Fatalf("%.0f transactions/s, want at most %d", writes, maxWritesPerSecond)
			}
		}
	}
}

// An idle shard commits at once: a claim and an answer each take one round trip
// to the store.
func TestJournal_IdleShardCommitsAtOnce(t *testing.T) {
	w, a := newWorldWithOwner(t, "a")
	a.runDuration = 100 * time.Millisecond
	a.submit(newKeyedRequest("r1", "k", false))
	w.run(a.runDuration + 2*w.store.latency)
	w.wantCommitted("r1", "r1")
}

func randomRecords(r *rand.Rand, n, body int) []record {
	records := make([]record, n)
	for i := range records {
		binary.BigEndian.PutUint64(records[i].Hash[:8], r.Uint64())
		binary.BigEndian.PutUint64(records[i].Hash[8:], r.Uint64())
		records[i].Kind = recordAnswered
		records[i].At = simulationStart.UnixMicro()
		records[i].Answer = &Answer{
			Status: 200, ContentType: "application/json", Request: entity.RequestID(fmt.Sprintf("%032x", r.Uint64())),
			Body: make([]byte, body),
		}
	}
	return records
}

// storeDayOfKeys fills the store with what a shard's owner leaves behind after
// a day at 500 keyed requests per second over 16 shards: merged segments, new
// segments and the rows of the keys that the owner had in memory. Of the
// segments only the filters are stored.
func storeDayOfKeys(w *world, body int) (keys int) {
	r := rand.New(rand.NewPCG(1, 2))
	storedManifest := manifest{Sealed: batchSortKey(0, 0)}
	addSegment := func(n, level int) {
		positions := make([]uint64, n)
		for i := range positions {
			positions[i] = r.Uint64()
		}
		ref := segmentRef{
			Name: fmt.Sprintf("s%d", len(storedManifest.Segments)), Keys: n, Bits: 10, Level: level, Until: simulationStart.UnixMicro(),
		}
		w.store.objects[ref.filterObject(0)] = encodeFilter(newFilter(positions))
		storedManifest.Segments = append(storedManifest.Segments, ref)
		keys += n
	}
	for range 10 {
		addSegment(defaultMaxMergeKeys, 1)
	}
	for range 5 {
		addSegment(defaultHotKeys, 0)
	}
	const perRow = 2 // a shard gets 31 answers per second, in 16 appends
	const hot = 2 * defaultHotBytes
	records := randomRecords(r, min(hot/(recordOverheadBytes+body), 2*defaultHotKeys)/perRow*perRow, body)
	for i := 0; i < len(records); i += perRow {
		w.store.putRow(provider.Row{
			Partition: batchPartition(0), Sort: batchSortKey(1, uint64(i+1)), Version: 1,
			Value: mustEncode(batchRow{WriteID: "x", Records: records[i : i+perRow]}),
		})
	}
	keys += len(records)
	row := shardRow{Epoch: 1, Owner: "gone"}
	w.store.putRow(provider.Row{Partition: shardPartition, Sort: shardSortKey(0), Version: 1, Value: mustEncode(row)})
	w.store.putRow(provider.Row{Partition: manifestPartition, Sort: shardSortKey(0), Version: 1, Value: mustEncode(storedManifest)})
	return keys
}

// runTakeover runs one takeover and returns how long it takes in virtual time
// from the moment at which it is due.
func runTakeover(w *world, d *daemon) time.Duration {
	d.setMembers(d.id)
	w.run(defaultUnseenOwnerDelay)
	s := d.journal.shards[0]
	for s.state != stateTakingOver && s.state != stateOwned {
		w.run(time.Millisecond)
	}
	start := w.now
	for s.state != stateOwned {
		w.run(time.Millisecond)
	}
	return w.now.Sub(start)
}

func filterBytes(s *shard) int {
	n := 0
	for _, seg := range s.segments {
		n += len(seg.filter.Fingerprints)
	}
	return n
}

func TestJournal_TakeoverOfADayOfKeys(t *testing.T) {
	w := newWorld(t, 1)
	keys := storeDayOfKeys(w, 512)
	d := w.addDaemon("a", nil)
	took := runTakeover(w, d)
	s := d.journal.shards[0]
	got := filterBytes(s)
	t.Logf("%d keys: %d segments, filters %d bytes (%.2f a key), %d reads, %d bytes read, %v at %v a call",
		keys, len(s.segments), got, float64(got)/float64(keys), w.store.reads, w.store.readBytes, took, w.store.latency)
	if keys < 2_700_000 {
		t.Fatalf("the store was filled with %d keys, want at least 2,700,000", keys)
	}
	if got > maxFilterBytes {
		t.Fatalf("filters take %d bytes, want at most %d", got, maxFilterBytes)
	}
	w.run(10 * time.Second) // the sealed rows are deleted after the takeover
	before := w.store.readBytes
	const idle = 5 * time.Minute
	w.run(idle)
	polled := defaultShards * float64(w.store.readBytes-before) / idle.Seconds()
	t.Logf("polls read %.0f bytes a second when all shards hold a day of keys", polled)
	if polled > maxPollBytesPerSecond {
		t.Fatalf("polls read %.0f bytes a second, want at most %d", polled, maxPollBytesPerSecond)
	}
}

// heapBytes runs the garbage collector twice, since pooled buffers survive one
// collection.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkJournal_HotKey reports the heap used per key in memory with a body
// of 512 bytes.
func BenchmarkJournal_HotKey(b *testing.B) {
	const keys, body = 20_000, 512
	for b.Loop() {
		s := newShard(0)
		s.entries = map[keyHash]*entry{}
		j := New(Config{Self: "a", Rand: rand.New(rand.NewPCG(1, 1))})
		row := provider.Row{
			Sort:  batchSortKey(1, 1),
			Value: mustEncode(batchRow{Records: randomRecords(rand.New(rand.NewPCG(1, 2)), keys, body)}),
		}
		before := heapBytes()
		j.replayRow(simulationStart, s, row)
		b.ReportMetric((float64(heapBytes())-float64(before))/keys, "bytes/key")
		runtime.KeepAlive(s)
		runtime.KeepAlive(row)
	}
}

// BenchmarkJournal_Takeover measures the processor time of a takeover at 2.7
// million keys.
func BenchmarkJournal_Takeover(b *testing.B) {
	w := newWorld(b, 1)
	storeDayOfKeys(w, 512)
	rows := w.store.query(provider.Operation{Partition: batchPartition(0), Limit: 1 << 30, Consistent: true})
	before := heapBytes()
	for b.Loop() {
		d := &daemon{w: w, id: "a", journal: New(Config{Self: "a", Shards: 1, Rand: rand.New(rand.NewPCG(1, 1))})}
		s := d.journal.shards[0]
		if err := codec.Decode(w.store.rows[manifestPartition][shardSortKey(0)].Value, &s.manifest); err != nil {
			b.Fatal(err)
		}
		s.setState(stateLoading)
		s.entries = map[keyHash]*entry{}
		for _, ref := range s.manifest.Segments {
			s.segments = append(s.segments, &segment{ref: ref, filter: decodeFilter(w.store.objects[ref.filterObject(0)])})
		}
		for i := range rows {
			d.journal.replayRow(w.now, s, rows[i])
		}
		b.ReportMetric((float64(heapBytes())-float64(before))/1e6, "MB")
		runtime.KeepAlive(s)
	}
}

// BenchmarkJournal_Request measures the processor time and allocations of one
// repeatable request from its submission to Committed, including the simulated
// store.
func BenchmarkJournal_Request(b *testing.B) {
	w := newFleetWorld(b, 1)
	d := w.daemons[0]
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		n++
		d.submit(newKeyedRequest(entity.RequestID(fmt.Sprintf("r%d", n)), fmt.Sprintf("k%d", n), true))
		w.run(2 * time.Millisecond)
	}
}

// BenchmarkJournal_Upkeep reports what one shard reads and writes in three
// hours at its share of 500 keyed requests per second, including sealing and
// merging.
func BenchmarkJournal_Upkeep(b *testing.B) {
	for b.Loop() {
		w := newWorld(b, 1)
		w.addDaemon("a", nil)
		w.setMembers("a")
		w.run(time.Second)
		w.daemons[0].bodyBytes = 512
		const span = 3 * time.Hour
		w.submitRequests(keyedPerSecond/defaultShards, span, 0)
		s := w.daemons[0].journal.shards[0]
		b.ReportMetric(float64(w.store.transactions)/span.Seconds(), "transactions/s")
		b.ReportMetric(float64(w.store.rowWrites)/span.Seconds(), "rows/s")
		b.ReportMetric(float64(w.store.puts)/span.Seconds(), "puts/s")
		b.ReportMetric(float64(w.store.reads)/span.Seconds(), "reads/s")
		b.ReportMetric(float64(w.store.readBytes)/span.Seconds(), "read-B/s")
		b.ReportMetric(float64(len(s.segments)), "segments")
		b.ReportMetric(float64(len(s.entries)), "hot-keys")
	}
}

// BenchmarkJournal_MergeFilter measures how long it takes to build a merged
// segment's filter, the longest single step.
func BenchmarkJournal_MergeFilter(b *testing.B) {
	r := rand.New(rand.NewPCG(1, 2))
	positions := make([]uint64, defaultMaxMergeKeys)
	for i := range positions {
		positions[i] = r.Uint64()
	}
	b.ReportAllocs()
	for b.Loop() {
		newFilter(positions)
	}
}
