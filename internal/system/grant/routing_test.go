package grant

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/routing"
)

// runConversations runs turns of many conversations at 60% load, each turn at a
// random daemon, and returns the ratio of prefixes that were cached.
func runConversations(policy func() routing.Policy) float64 {
	w := newWorld(1, testService(12, 8))
	for i := range 9 {
		w.addNode(testLocations[i%len(testLocations)], func(c *Config) { c.Policy = policy() })
	}
	w.syncMembers()
	turns := make([]uint64, 400)
	w.arrivals(52, 60*time.Second, func(i int) *request {
		c := w.rng.IntN(len(turns))
		turns[c]++
		r := testRequest(fmt.Sprintf("r-%d", i), 20+w.rng.IntN(40))
		r.acquisition.Prefix = []uint64{uint64(c % 3), uint64(c)<<32 | 1<<31}
		for t := range turns[c] {
			r.acquisition.Prefix = append(r.acquisition.Prefix, uint64(c)<<32|(t+1))
		}
		r.acquisition.Prefix = r.acquisition.Prefix[:min(len(r.acquisition.Prefix), 12)]
		return r
	})
	w.run(70 * time.Second)
	hits, seen := 0, 0
	for _, e := range w.engines {
		hits += e.prefixesCached
		seen += e.prefixesSeen
	}
	return float64(hits) / float64(seen)
}

func BenchmarkGrants_CachedPrefixes(b *testing.B) {
	for range b.N {
		affinity := runConversations(func() routing.Policy { return routing.NewAffinity() })
		robin := runConversations(func() routing.Policy { return &routing.RoundRobin{} })
		two := runConversations(func() routing.Policy { return routing.PowerOfTwo{} })
		b.ReportMetric(affinity, "cached")
		b.ReportMetric(robin, "cached-round-robin")
		b.ReportMetric(two, "cached-power-of-two")
		b.ReportMetric((1-affinity)/(1-robin), "recomputed-ratio")
	}
}

func TestGrants_SlowServerGetsLittleWork(t *testing.T) {
	w := testWorld(1, 6, 12, 8)
	slow := w.engines[4]
	slow.between *= 8
	w.arrivals(40, 60*time.Second, func(i int) *request { return testRequest(fmt.Sprintf("r-%d", i), 40) })
	w.run(20 * time.Second)
	before, all := slow.started, len(w.finished)
	w.run(60 * time.Second)
	share := float64(slow.started-before) / float64(len(w.finished)-all)
	t.Logf("%.4f of the requests, an even share is %.4f", share, 1.0/12)
	if share > 0.25/12 || slow.started == before {
		t.Errorf("the slow server got %d requests, %.4f of all", slow.started-before, share)
	}
	slow.between /= 8
	w.arrivals(40, 60*time.Second, func(i int) *request { return testRequest(fmt.Sprintf("s-%d", i), 40) })
	w.run(110 * time.Second)
	before, all = slow.started, len(w.finished)
	w.run(120 * time.Second)
	if share := float64(slow.started-before) / float64(len(w.finished)-all); share < 0.5/12 {
		t.Errorf("after recovery, the server still gets only %.4f of the requests", share)
	}
}

func TestGrants_SlotsUsedByOthersAreLeftFree(t *testing.T) {
	w := testWorld(1, 1, 1, 4)
	g := w.nodes[0].g
	for range loadSamples {
		g.LoadReport(w.now, "server-000", Load{Running: 3, Slots: 4})
	}
	submitMany(w, "r", 4, 40)
	if got := w.engines[0].running.Len(); got != 1 {
		t.Fatalf("%d granted beside 3 requests of another system on 4 slots, want 1", got)
	}
	g.LoadReport(w.now, "server-000", Load{Running: 1, Slots: 4})
	w.nodes[0].processReady()
	if got := w.engines[0].running.Len(); got != 4 {
		t.Fatalf("%d granted after 2 requests of the other system ended, want 4", got)
	}
}

func TestGrants_CacheEventsLateAndWithGaps(t *testing.T) {
	w := testWorld(1, 1, 1, 4)
	g := w.nodes[0].g
	g.CacheEvent(w.now, "server-000", CacheEvent{Seq: 9, Kind: PrefixStored, Prefix: 7})
	g.CacheEvent(w.now, "server-000", CacheEvent{Seq: 4, Kind: PrefixRemoved, Prefix: 7})
	c := &g.servers.Get("server-000").coordination.prefixes
	if c.count([]uint64{7}) != 1 {
		t.Fatal("a late removal event undid a newer event")
	}
	g.CacheEvent(w.now, "server-000", CacheEvent{Seq: 30, Kind: PrefixRemoved, Prefix: 7})
	if c.count([]uint64{7}) != 0 {
		t.Fatal("a removed prefix still counts as cached")
	}
	for i := range uint64(10 * maxCachedPrefixes) {
		g.CacheEvent(w.now, "server-000", CacheEvent{Seq: 31 + i, Kind: PrefixStored, Prefix: 100 + i})
	}
	if len(c.storedBy) > maxCachedPrefixes {
		t.Fatalf("%d prefixes kept, want at most maxCachedPrefixes", len(c.storedBy))
	}
}

// BenchmarkGrants_State reports the heap of one daemon's system that holds the
// given number of grants, and the time to handle the loss of a seventh of the
// members.
func BenchmarkGrants_State(b *testing.B) {
	for _, z := range []struct{ daemons, workers, held int }{
		{9, 12, 10}, {100, 600, 80}, {410, 150, 80}, {410, 600, 80}, {410, 600, 1080},
	} {
		b.Run(fmt.Sprintf("daemons=%d/workers=%d/held=%d", z.daemons, z.workers, z.held), func(b *testing.B) {
			for range b.N {
				measureState(b, z.daemons, z.workers, z.held)
			}
		})
	}
}

func measureState(b *testing.B, daemons, workers, held int) {
	location := func(i int) entity.Location {
		return entity.Location{Region: "r", DataCentre: entity.DataCentreID(fmt.Sprint("dc", i%7))}
	}
	doc := testService(workers, 64)
	for i := range doc.BackendServers {
		doc.BackendServers[i].Location = location(i)
	}
	var members []Member
	for i := range daemons {
		members = append(members, Member{ID: entity.InstanceID(fmt.Sprintf("daemon-%03d", i)), Location: location(i)})
	}
	now := time.UnixMicro(1_700_000_000_000_000)
	var before, after runtime.MemStats
	w := newWorld(1, doc)
	runtime.GC()
	runtime.ReadMemStats(&before)
	n := w.addNode(location(0), nil)
	n.g.SetMembers(now, members)
	n.g.SetServices(now, []entity.Service{doc})
	for i := range held {
		r := testRequest(fmt.Sprintf("0123456789abcdef-%08d", i), 200)
		r.acquisition.Prefix = []uint64{1, uint64(i), uint64(i) << 20}
		n.submit(r)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "B-heap")
	started := time.Now()
	n.g.SetMembers(now, members[:daemons*6/7])
	b.ReportMetric(float64(time.Since(started).Microseconds()), "µs-members-lost")
	runtime.KeepAlive(w)
}

// BenchmarkGrants_Request measures the processor time of all daemons' systems for
// one request, from the acquisition to the release, with 41 daemons and 60
// backend servers.
func BenchmarkGrants_Request(b *testing.B) {
	w := testWorld(1, 41, 60, 64)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		r := testRequest(fmt.Sprintf("0123456789abcdef-%08d", i), 1)
		r.acquisition.Prefix = []uint64{1, uint64(i % 100), uint64(i)}
		w.nodes[i%len(w.nodes)].submit(r)
		w.run(w.now.Sub(w.start) + time.Second/500)
	}
}
