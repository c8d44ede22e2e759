package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// testNoticeInterval is the least time between two notices of a daemon, which it sends ahead
// of its state updates.
const testNoticeInterval = 500 * time.Millisecond

// sendNotices lets a daemon tell its changes of limits.
func (f *speedFleet) sendNotices(d int) {
	changes := f.placers[d].PaceChanges(f.now)
	for i, p := range f.placers {
		if i != d && len(changes) > 0 && f.rng.Float64() > 0.02 {
			p.ReceivePaceChanges(f.now, changes)
		}
	}
	f.placers[d].RefreshPaces(f.now)
	f.after(min(f.interval, testNoticeInterval), func() { f.sendNotices(d) })
}

func newPaceFleet(daemons, servers, perSecond int) *speedFleet {
	f := newSpeedFleet(daemons, servers, float64(perSecond), 1)
	for d := range f.placers {
		f.after(time.Duration(f.rng.Int64N(int64(testNoticeInterval))), func() { f.sendNotices(d) })
	}
	return f
}

// startServer adds a server to the list of all daemons.
func (f *speedFleet) startServer(id entity.BackendServerID, paced bool) {
	f.factors[id] = 1
	f.setServer(id, 9)
	for _, p := range f.placers {
		if paced {
			p.BeginPace(f.now, id)
		}
	}
}

var paceSizes = []struct{ daemons, servers, perSecond int }{{9, 10, 100}, {89, 78, 800}, {195, 78, 800}}

// TestServerPace_NewServer guards against a new server that is flooded, as it is the cheapest to
// all daemons until their views change, or left idle too long.
func TestServerPace_NewServer(t *testing.T) {
	for _, size := range paceSizes {
		f := newPaceFleet(size.daemons, size.servers, size.perSecond)
		f.run(10 * time.Second)
		f.resetArrivals()
		f.startServer("new", true)
		f.run(f.interval)
		const slots = 16
		if n := f.highest["new"]; n > slots {
			t.Errorf("%d daemons: %d requests at once at the new server within one state update, %d slots", size.daemons, n, slots)
		}
		first := f.arrivals["new"]
		even := float64(size.perSecond) / float64(size.servers+1)
		took := time.Duration(0)
		for ; took < 10*time.Second; took += 500 * time.Millisecond {
			f.resetArrivals()
			f.run(500 * time.Millisecond)
			if float64(f.arrivals["new"])*2 >= 0.8*even {
				break
			}
		}
		if took > 2*time.Second+2*f.interval {
			t.Errorf("%d daemons: the new server had its even share %v after the first state update", size.daemons, took)
		}
		t.Logf("%d daemons: %d sends within the first update of %v, even share %v later", size.daemons, first, f.interval, took)
		f.run(10 * time.Second)
		for _, p := range f.placers {
			if p.servers.Get("new").pace.limit != nil || p.PaceChangesPending() || len(p.PaceChanges(f.now)) > 0 {
				t.Fatalf("%d daemons: the limit has not gone", size.daemons)
			}
		}
	}
}

// TestServerPace_AllStart guards against requests that find no server while all of them start,
// and against one that gets nothing.
func TestServerPace_AllStart(t *testing.T) {
	f := newPaceFleet(89, 30, 300)
	for i := range 30 {
		f.startServer(entity.BackendServerID(fmt.Sprint("engine-", i)), true)
	}
	f.run(10 * time.Second)
	for id := range f.factors {
		if n := f.arrivals[id]; n < 50 {
			t.Errorf("%s got %d requests, even share 100", id, n)
		}
	}
}

// TestServerPace_Recovery guards against servers that are flooded when a slow spell or a freeze
// ends, when they reject requests, and against limits that other daemons do not learn of.
func TestServerPace_Recovery(t *testing.T) {
	begun := func(name string, f *speedFleet, want PaceReason) {
		t.Helper()
		first, told := 0, 0
		for _, p := range f.placers {
			for _, e := range p.TakePaceEvents() {
				if e.Server == "engine-1" && e.Reason == want {
					first++
				}
				if e.Server == "engine-1" && e.Reason == PaceFromPeer {
					told++
				}
			}
		}
		if first == 0 || first+told < len(f.placers) {
			t.Errorf("%s: %d daemons began a limit, %d learned of it", name, first, told)
		}
	}
	f := newPaceFleet(9, 10, 100)
	f.run(5 * time.Second)
	f.factors["engine-1"] = 8
	f.run(10 * time.Second)
	f.factors["engine-1"] = 1
	f.run(15 * time.Second)
	begun("slow spell", f, PaceSlowPeriodEnded)

	f = newPaceFleet(9, 10, 100)
	f.run(5 * time.Second)
	for range 4 {
		f.placers[0].RecordFailure(f.now, "engine-1", 1)
	}
	f.run(15 * time.Second)
	begun("failures", f, PaceRecovered)

	f = newPaceFleet(9, 10, 100)
	f.run(5 * time.Second)
	f.placers[0].RecordRejection(f.now, "engine-1")
	f.run(2 * time.Second)
	begun("rejection", f, PaceRejected)
}
