package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/virtualtime"
)

// speedFleet runs the placers of several daemons in virtual time with servers of different
// speeds. Requests are of one size; a server takes any number of them at once.
type speedFleet struct {
	rng      *rand.Rand
	now      time.Time
	queue    virtualtime.Queue
	placers  []*Placer
	factors  map[entity.BackendServerID]float64
	interval time.Duration                        // between two updates of a daemon
	arrivals map[entity.BackendServerID]int       // since resetArrivals
	inFlight map[entity.BackendServerID]int       // at present, of all daemons
	highest  map[entity.BackendServerID]int       // the most of them at once since resetArrivals
	since    map[entity.BackendServerID]time.Time // of the last change of inFlight
	busy     map[entity.BackendServerID]float64   // integral of inFlight over seconds
}

const testPrompt = 3000 // tokens

func newSpeedFleet(daemons, servers int, perSecond float64, factors ...float64) *speedFleet {
	f := &speedFleet{rng: rand.New(rand.NewPCG(5, 5)), now: start, factors: map[entity.BackendServerID]float64{}}
	f.interval = max(100*time.Millisecond, time.Duration(daemons)*10*time.Millisecond)
	f.inFlight, f.since = map[entity.BackendServerID]int{}, map[entity.BackendServerID]time.Time{}
	f.resetArrivals()
	for d := range daemons {
		p := New(rand.New(rand.NewPCG(uint64(d), 1)))
		p.EnableServerSpeeds(entity.InstanceID(fmt.Sprint(d)))
		p.SetUpdateInterval(f.interval)
		f.placers = append(f.placers, p)
		f.after(time.Duration(f.rng.Int64N(int64(f.interval))), func() { f.broadcast(d) })
	}
	for i := range servers {
		id := entity.BackendServerID(fmt.Sprint("engine-", i))
		f.factors[id] = factors[i%len(factors)]
		f.setServer(id, 1)
	}
	f.arrive(perSecond)
	return f
}

func (f *speedFleet) setServer(id entity.BackendServerID, born int64) {
	for _, p := range f.placers {
		p.SetServer(Server{ID: id, Born: born, Service: "m", DataCentre: "a", Slots: 16, Memory: 10_000_000})
	}
}

func (f *speedFleet) after(d time.Duration, call func()) { f.queue.Schedule(f.now.Add(d), call) }

func (f *speedFleet) run(d time.Duration) { f.queue.RunUntil(f.now.Add(d), &f.now) }

func (f *speedFleet) resetArrivals() {
	f.arrivals, f.highest, f.busy = map[entity.BackendServerID]int{}, map[entity.BackendServerID]int{}, map[entity.BackendServerID]float64{}
	for id := range f.since {
		f.since[id] = f.now
	}
}

func (f *speedFleet) change(id entity.BackendServerID, n int) {
	f.busy[id] += float64(f.inFlight[id]) * f.now.Sub(f.since[id]).Seconds()
	f.inFlight[id], f.since[id] = f.inFlight[id]+n, f.now
	f.highest[id] = max(f.highest[id], f.inFlight[id])
}

// broadcast sends a daemon's state update to all others.
func (f *speedFleet) broadcast(d int) {
	from, loads, speeds := entity.InstanceID(fmt.Sprint(d)), f.placers[d].ServerLoads(), f.placers[d].SpeedSamples(f.now)
	for i, p := range f.placers {
		if i != d && f.rng.Float64() > 0.02 {
			p.ReceiveLoads(f.now, from, loads, 5*f.interval)
			p.ReceiveSpeedSamples(f.now, speeds)
		}
	}
	f.after(f.interval, func() { f.broadcast(d) })
}

// arrive lets requests arrive at random daemons.
func (f *speedFleet) arrive(perSecond float64) {
	f.after(time.Duration(f.rng.ExpFloat64()/perSecond*float64(time.Second)), func() {
		f.place(f.placers[f.rng.IntN(len(f.placers))])
		f.arrive(perSecond)
	})
}

func (f *speedFleet) place(p *Placer) {
	c, ok := p.Choose(f.now, query(testPrompt), allUsable)
	if !ok {
		return
	}
	r := p.Reserve(f.now, c, nil)
	f.arrivals[r.Server]++
	f.change(r.Server, 1)
	times := f.factors[r.Server] * (0.7 + 0.6*f.rng.Float64()) * float64(time.Millisecond)
	f.after(time.Duration(100*times), func() { p.RecordFirstEvent(f.now, r) })
	f.after(time.Duration(600*times), func() {
		f.change(r.Server, -1)
		p.Release(f.now, r, true)
	})
}

// extremes returns the lowest and the highest ratio that any daemon has learned of a server.
func (f *speedFleet) extremes(id entity.BackendServerID) (low, high float64) {
	low = maxSpeedRatio
	for _, p := range f.placers {
		ratio := p.servers.Get(id).speed.factor
		low, high = min(low, ratio), max(high, ratio)
	}
	return low, high
}

// TestServerSpeed_SlowServerIsFoundAndForgiven guards against a server that is slow for a
// while and goes on getting its share, or that gets none when it has recovered.
func TestServerSpeed_SlowServerIsFoundAndForgiven(t *testing.T) {
	for _, size := range []struct{ daemons, servers, perSecond int }{{9, 10, 100}, {70, 89, 700}, {195, 78, 700}} {
		f := newSpeedFleet(size.daemons, size.servers, float64(size.perSecond), 1)
		const slow = "engine-1"
		f.run(10 * time.Second)
		f.factors[slow] = 6
		f.run(600*time.Millisecond + 2*time.Second + 2*f.interval)
		f.resetArrivals()
		f.run(10 * time.Second)
		even := float64(size.perSecond) * 10 / float64(size.servers)
		if n := float64(f.arrivals[slow]); n < 3 || n > even/2 {
			t.Errorf("%d daemons: from 2 s after its first slow answers the server got %v requests in 10 s; even share %.0f", size.daemons, n, even)
		}
		f.factors[slow] = 1
		f.run(10 * time.Second)
		f.resetArrivals()
		f.run(10 * time.Second)
		if n := float64(f.arrivals[slow]); n < even/2 {
			t.Errorf("%d daemons: the server that has recovered got %v requests in 10 s; even share %.0f", size.daemons, n, even)
		}
	}
}

// maxWorkShare is the stated target for the work of a server, as a ratio of its even share.
const maxWorkShare = 1.3

// TestServerSpeed_EvenShareOfWork guards against daemons that choose the same server together:
// in steady load none has more than its share of the requests in progress, by its own speed.
func TestServerSpeed_EvenShareOfWork(t *testing.T) {
	for _, size := range []struct{ daemons, servers, perSecond int }{{9, 10, 100}, {89, 78, 800}, {195, 78, 800}} {
		for _, factors := range [][]float64{{1}, {1, 1.3, 1, 1.8, 1, 2.4}} {
			f := newSpeedFleet(size.daemons, size.servers, float64(size.perSecond), factors...)
			f.run(15 * time.Second)
			f.resetArrivals()
			f.run(20 * time.Second)
			total, highest := 0.0, 0.0
			for id := range f.factors {
				f.change(id, 0)
				total += f.busy[id]
				highest = max(highest, f.busy[id])
			}
			if share := highest / total * float64(size.servers); share > maxWorkShare {
				t.Errorf("%d daemons, time factors %v: one server has %.2f of its even share of work", size.daemons, factors, share)
			}
		}
	}
}

// TestServerSpeed_MessageIsBounded guards against state updates that grow with the fleet.
func TestServerSpeed_MessageIsBounded(t *testing.T) {
	p := New(rand.New(rand.NewPCG(1, 1)))
	p.EnableServerSpeeds("self")
	for i := range 100 {
		id := entity.BackendServerID(fmt.Sprint("a-rather-long-name-", i))
		p.SetServer(Server{ID: id, Born: 1_790_000_000_000, Service: "m", Slots: 16, Memory: 1})
		p.servers.Get(id).speed.unsent = logSum{sum: 30, weight: 20}
	}
	samples := p.SpeedSamples(start)
	encoded, err := codec.Encode(samples)
	if err != nil || len(samples) == 0 || len(samples) > 8 || len(encoded) > 200 {
		t.Fatalf("%d samples in %d bytes, error %v", len(samples), len(encoded), err)
	}
	if second := p.SpeedSamples(start); len(second) == 0 || second[0].Server == samples[0].Server {
		t.Errorf("the next update says %v", second)
	}
}

// TestServerSpeed_ForgottenWithProcess guards against a new process that gets the ratio of its
// predecessor, also from updates that are under way.
func TestServerSpeed_ForgottenWithProcess(t *testing.T) {
	f := newSpeedFleet(2, 3, 50, 1, 6, 1)
	f.run(10 * time.Second)
	late := []SpeedSample{{Server: "engine-1", Process: processTag(1), Ratio: 90, Samples: 20}}
	for _, p := range f.placers {
		p.RemoveServer("engine-1")
	}
	f.setServer("engine-1", 2)
	f.placers[0].ReceiveSpeedSamples(f.now, late)
	if low, high := f.extremes("engine-1"); low != 1 || high != 1 {
		t.Errorf("ratios from %v to %v", low, high)
	}
}

// TestServerSpeed_WrongRatioLeavesExpectedTimesSensible guards against requests that are
// refused, or wait for ever, because of a wrong ratio.
func TestServerSpeed_WrongRatioLeavesExpectedTimesSensible(t *testing.T) {
	p := newPlacer(1)
	p.EnableServerSpeeds("self")
	_, usual := place(t, p, start, query(testPrompt))
	for range 1000 {
		p.ReceiveSpeedSamples(start, []SpeedSample{{Server: "s0", Ratio: 32767, Samples: 255}})
	}
	_, c := place(t, p, start, query(testPrompt))
	if factor := p.servers.Get("s0").speed.factor; factor != maxSpeedRatio || c.Cost > 3*usual.Cost {
		t.Errorf("ratio %v, expected time %v instead of %v", factor, c.Cost, usual.Cost)
	}
}

// TestServerSpeed_PlainServersAreChosenBySpeed guards against an idle slow server that gets as
// many requests as an idle fast one.
func TestServerSpeed_PlainServersAreChosenBySpeed(t *testing.T) {
	p := New(rand.New(rand.NewPCG(1, 1)))
	p.EnableServerSpeeds("self")
	millis := map[entity.BackendServerID]time.Duration{"fast": 20, "slow": 60}
	for id := range millis {
		p.SetServer(Server{ID: id, Service: "m", DataCentre: "a", Slots: 6})
	}
	got := map[entity.BackendServerID]int{}
	for i := range 400 {
		now := at(time.Duration(i) * 100 * time.Millisecond)
		r, _ := place(t, p, now, Query{Service: "m", DataCentre: "a"})
		got[r.Server]++
		end := now.Add(millis[r.Server] * time.Millisecond)
		p.RecordFirstEvent(end, r)
		p.Release(end, r, true)
	}
	if got["slow"] < 10 || got["slow"] > 100 {
		t.Errorf("requests %v", got)
	}
}

// TestServerSpeed_OffChangesNothing guards against deployments without the setting that are served
// otherwise: no random number more is drawn, and nothing is said or heard.
func TestServerSpeed_OffChangesNothing(t *testing.T) {
	rng, same := rand.New(rand.NewPCG(1, 1)), rand.New(rand.NewPCG(1, 1))
	p := New(rng)
	p.SetServer(Server{ID: "s0", Service: "m", Slots: 16, Memory: 200_000})
	for range 10 {
		r, c := place(t, p, start, query(testPrompt))
		same.Float64() // of the one choice
		p.RecordFirstEvent(at(3*time.Second), r)
		p.Release(at(4*time.Second), r, true)
		p.ReceiveSpeedSamples(start, []SpeedSample{{Server: "s0", Ratio: 100, Samples: 20}})
		if p.SpeedSamples(start) != nil || p.servers.Get("s0").speed.factor != 1 || c.Cost <= 0 {
			t.Fatal("a speed was learned")
		}
	}
	if rng.Uint64() != same.Uint64() {
		t.Error("random numbers were drawn")
	}
}
