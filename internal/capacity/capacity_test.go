package capacity

import (
	"context"
	"encoding/csv"
	"flag"
	"fmt"
	"os"
	"runtime"
	"runtime/pprof"
	"strconv"
	"testing"
	"time"
)

// figuresFile is where the figures go; empty: only the small sizes run.
var figuresFile = flag.String("capacity", "", "run all sizes and write the figures to this file")

// Targets of the whole system at the full size.
const (
	controlBytes  = 11_000           // a second and daemon
	inForce       = 14 * time.Second // a change, everywhere
	tableWrites   = 300              // transactions a second
	tableReads    = 2000             // a second
	targetLoss    = 0.05
	changesPerDay = 260
)

// figure is one measured number.
type figure struct {
	daemons int
	phase   string
	name    string
	value   float64
	unit    string
}

// figures are those of this run, in order.
var figures []figure

func TestMain(m *testing.M) {
	flag.Parse()
	code := m.Run()
	if *figuresFile != "" {
		if err := writeFigures(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			code = 1
		}
	}
	os.Exit(code)
}

// writeFigures writes the figures of this run as CSV.
func writeFigures() error {
	file, err := os.Create(*figuresFile)
	if err != nil {
		return err
	}
	w := csv.NewWriter(file)
	rows := [][]string{{"daemons", "phase", "figure", "value", "unit"}}
	for _, f := range figures {
		rows = append(rows, []string{strconv.Itoa(f.daemons), f.phase, f.name, strconv.FormatFloat(f.value, 'f', 3, 64), f.unit})
	}
	if err := w.WriteAll(rows); err != nil {
		return err
	}
	return file.Close()
}

// note keeps a figure.
func (f *fleet) note(phase, name string, value float64, unit string) {
	f.t.Logf("%d %s: %s = %.3f %s", len(f.nodes), phase, name, value, unit)
	figures = append(figures, figure{len(f.nodes), phase, name, value, unit})
}

// sizes are the numbers of daemons of this run.
func sizes() []int {
	if *figuresFile != "" {
		return []int{9, 30, 100, 200, fullSize}
	}
	return []int{9, 30}
}

// rates are the figures of one phase that have bounds.
type rates struct {
	control float64 // bytes a second and daemon
	writes  float64 // transactions a second, whole fleet
	reads   float64 // a second, whole fleet
}

// measure counts for a while and notes the figures of the phase.
func (f *fleet) measure(phase string, d time.Duration) rates {
	f.reset()
	pprof.Do(context.Background(), pprof.Labels("phase", phase), func(context.Context) { f.runFor(d) })
	var sum traffic
	mostControl, mostAll, mostPlatform, worst, peers, mostPeers := 0, 0, 0, 0, 0, 0
	var owners, others group
	for _, n := range f.nodes {
		t := &n.traffic
		all := 0
		for k := range kindCount {
			sum.messages[k] += t.messages[k]
			sum.bytes[k] += t.bytes[k]
			all += t.bytes[k]
		}
		sum.reads, sum.writes, sum.objects = sum.reads+t.reads, sum.writes+t.writes, sum.objects+t.objects
		sum.lists += t.lists
		sum.platform, sum.ticks, sum.cpu = sum.platform+t.platform, sum.ticks+t.ticks, sum.cpu+t.cpu
		mostControl, mostAll = max(mostControl, t.control()), max(mostAll, all)
		peers, mostPeers = peers+len(t.peers), max(mostPeers, len(t.peers))
		if t.writes > 0 {
			owners.add(t, all)
		} else {
			others.add(t, all)
		}
		mostPlatform, worst = max(mostPlatform, t.platform), max(worst, t.worst())
	}
	seconds := d.Seconds()
	each := seconds * float64(len(f.nodes))
	for k := range kindCount {
		f.note(phase, kindNames[k]+" messages", float64(sum.messages[k])/each, "1/s and daemon")
		f.note(phase, kindNames[k]+" bytes", float64(sum.bytes[k])/each, "B/s and daemon")
	}
	r := rates{control: float64(sum.control()) / each, writes: float64(sum.writes) / seconds, reads: float64(sum.reads) / seconds}
	f.note(phase, "control bytes", r.control, "B/s and daemon")
	f.note(phase, "control bytes, most of a daemon", float64(mostControl)/seconds, "B/s")
	f.note(phase, "control bytes, worst second of a daemon", float64(worst), "B/s")
	f.note(phase, "peer bytes, most of a daemon", float64(mostAll)/seconds, "B/s")
	f.note(phase, "peers spoken to meanwhile", float64(peers)/float64(len(f.nodes)), "daemons")
	f.note(phase, "peers spoken to meanwhile, most of a daemon", float64(mostPeers), "daemons")
	owners.note(f, phase, "owners of shards", seconds)
	others.note(f, phase, "other daemons", seconds)
	f.note(phase, "platform bytes", float64(sum.platform)/each, "B/s and daemon")
	f.note(phase, "platform bytes, most of a daemon", float64(mostPlatform)/seconds, "B/s")
	f.note(phase, "table reads", r.reads, "1/s")
	f.note(phase, "table transactions", r.writes, "1/s")
	f.note(phase, "object calls", float64(sum.objects)/seconds, "1/s")
	f.note(phase, "list readings", float64(sum.lists)/seconds, "1/s")
	f.note(phase, "ticks", float64(sum.ticks)/each, "1/s and daemon")
	f.note(phase, "processor time", 100*sum.cpu.Seconds()/each, "% of a core and daemon")
	return r
}

// group sums the daemons that own shards, or those that do not.
type group struct {
	count, control, mostControl, all, mostAll int
	cpu                                       time.Duration
}

// add counts a daemon with its bytes to peers.
func (g *group) add(t *traffic, all int) {
	g.count++
	g.control, g.mostControl = g.control+t.control(), max(g.mostControl, t.control())
	g.all, g.mostAll = g.all+all, max(g.mostAll, all)
	g.cpu += t.cpu
}

// note notes the figures of a group that is not empty.
func (g *group) note(f *fleet, phase, name string, seconds float64) {
	if g.count == 0 {
		return
	}
	each := seconds * float64(g.count)
	f.note(phase, name, float64(g.count), "daemons")
	f.note(phase, name+": control bytes", float64(g.control)/each, "B/s and daemon")
	f.note(phase, name+": control bytes, most", float64(g.mostControl)/seconds, "B/s")
	f.note(phase, name+": peer bytes", float64(g.all)/each, "B/s and daemon")
	f.note(phase, name+": peer bytes, most", float64(g.mostAll)/seconds, "B/s")
	f.note(phase, name+": processor time", 100*g.cpu.Seconds()/each, "% of a core and daemon")
}

// noteHeap notes the heap of a daemon, its share of the fakes included.
func (f *fleet) noteHeap(phase string) {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	f.note(phase, "heap", float64(stats.HeapAlloc)/float64(len(f.nodes))/1e6, "MB and daemon, fakes included")
}

// check holds a phase against the targets of the whole system.
func (f *fleet) check(phase string, r rates) {
	if r.control > controlBytes {
		f.t.Errorf("%s: %.0f control bytes a second and daemon, at most %d", phase, r.control, controlBytes)
	}
	if r.writes > tableWrites {
		f.t.Errorf("%s: %.0f transactions a second, at most %d", phase, r.writes, tableWrites)
	}
	if r.reads > tableReads {
		f.t.Errorf("%s: %.0f reads a second, at most %d", phase, r.reads, tableReads)
	}
}

// Idle, and under load in proportion to 5,000 requests and a million tokens a
// second at 410.
func TestFleet_RatesWithinTargets(t *testing.T) {
	for _, size := range sizes() {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			f := newFleet(t, 1, size)
			f.check("idle", f.measure("idle", 20*time.Second))
			f.noteHeap("idle")
			const (
				batch    = 20
				loadTime = 10 * time.Second
			)
			f.startLoad(batch)
			f.runFor(10 * time.Second)
			before := f.load.done
			f.check("load", f.measure("load", loadTime))
			f.note("load", "answers", float64(f.load.done-before)/loadTime.Seconds(), "1/s")
			f.noteHeap("load")
			if len(f.load.failed) > 0 {
				t.Errorf("requests failed: %v", f.load.failed)
			}
			if size == 100 {
				f.overload()
			}
		})
	}
}

// overload notes the figures at one and a half times the load, more than the
// backend servers can take.
func (f *fleet) overload() {
	f.load.rate = 1.5
	f.runFor(10 * time.Second)
	f.measure("overload", 5*time.Second)
	for reason, count := range f.load.failed { // the order in the file does not matter
		f.note("overload", "refused: "+reason, float64(count), "requests")
	}
}
