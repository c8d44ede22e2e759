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

// figuresPath is the file that the figures are written to. If it is empty, only
// small fleets run and nothing is written.
var figuresPath = flag.String("capacity", "", "run all fleet sizes and write the measured figures to this file")

// Targets of a fleet of fullDaemonCount daemons.
const (
	maxControlBytesPerSecond      = 11_000           // control bytes to peers, per second and daemon
	maxChangeDelay                = 14 * time.Second // from the acceptance of a change until all daemons have it
	maxTableTransactionsPerSecond = 300              // of the fleet
	maxTableReadsPerSecond        = 2000             // of the fleet
	messageLossRatio              = 0.05             // of peer messages, while documents change
	changesPerDay                 = 260
)

// figure is one measured value: a row of the CSV file.
type figure struct {
	daemons int
	phase   string
	name    string
	value   float64
	unit    string
}

// figures holds the figures of this run, in the order of their measurement.
var figures []figure

func TestMain(m *testing.M) {
	flag.Parse()
	code := m.Run()
	if *figuresPath != "" {
		if err := writeFigures(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			code = 1
		}
	}
	os.Exit(code)
}

// writeFigures writes the figures of this run as CSV.
func writeFigures() error {
	file, err := os.Create(*figuresPath)
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

// recordFigure logs a figure and adds it to those of this run.
func (f *fleet) recordFigure(phase, name string, value float64, unit string) {
	f.t.Logf("%d %s: %s = %.3f %s", len(f.nodes), phase, name, value, unit)
	figures = append(figures, figure{len(f.nodes), phase, name, value, unit})
}

// fleetSizes returns the numbers of daemons that a test without failures runs
// with.
func fleetSizes() []int {
	if *figuresPath != "" {
		return []int{9, 30, 100, 200, fullDaemonCount}
	}
	return []int{9, 30}
}

// rates are the figures of one phase that the targets bound.
type rates struct {
	control float64 // bytes per second and daemon
	writes  float64 // transactions per second of the fleet
	reads   float64 // per second of the fleet
}

// measurePhase runs the fleet for d, counts its traffic and records the figures of
// the phase.
func (f *fleet) measurePhase(phase string, d time.Duration) rates {
	f.resetTraffic()
	pprof.Do(context.Background(), pprof.Labels("phase", phase), func(context.Context) { f.runFor(d) })
	var sum traffic
	maxControl, maxAll, maxPlatform, worstSecond, peers, maxPeers := 0, 0, 0, 0, 0, 0
	var owners, nonOwners daemonGroup
	for _, n := range f.nodes {
		t := &n.traffic
		all := 0
		for k := range kindCount {
			sum.messages[k] += t.messages[k]
			sum.bytes[k] += t.bytes[k]
			all += t.bytes[k]
		}
		sum.reads, sum.writes, sum.objectCalls = sum.reads+t.reads, sum.writes+t.writes, sum.objectCalls+t.objectCalls
		sum.instanceLists += t.instanceLists
		sum.platformBytes, sum.ticks, sum.cpuTime = sum.platformBytes+t.platformBytes, sum.ticks+t.ticks, sum.cpuTime+t.cpuTime
		maxControl, maxAll = max(maxControl, t.totalControlBytes()), max(maxAll, all)
		peers, maxPeers = peers+len(t.peers), max(maxPeers, len(t.peers))
		if t.writes > 0 {
			owners.addDaemon(t, all)
		} else {
			nonOwners.addDaemon(t, all)
		}
		maxPlatform, worstSecond = max(maxPlatform, t.platformBytes), max(worstSecond, t.worstSecondControlBytes())
	}
	seconds := d.Seconds()
	daemonSeconds := seconds * float64(len(f.nodes))
	for k := range kindCount {
		f.recordFigure(phase, kindNames[k]+" messages", float64(sum.messages[k])/daemonSeconds, "1/s and daemon")
		f.recordFigure(phase, kindNames[k]+" bytes", float64(sum.bytes[k])/daemonSeconds, "B/s and daemon")
	}
	r := rates{control: float64(sum.totalControlBytes()) / daemonSeconds, writes: float64(sum.writes) / seconds, reads: float64(sum.reads) / seconds}
	f.recordFigure(phase, "control bytes", r.control, "B/s and daemon")
	f.recordFigure(phase, "control bytes, most of a daemon", float64(maxControl)/seconds, "B/s")
	f.recordFigure(phase, "control bytes, worst second of a daemon", float64(worstSecond), "B/s")
	f.recordFigure(phase, "peer bytes, most of a daemon", float64(maxAll)/seconds, "B/s")
	f.recordFigure(phase, "peers spoken to meanwhile", float64(peers)/float64(len(f.nodes)), "daemons")
	f.recordFigure(phase, "peers spoken to meanwhile, most of a daemon", float64(maxPeers), "daemons")
	owners.recordFigures(f, phase, "owners of shards", seconds)
	nonOwners.recordFigures(f, phase, "other daemons", seconds)
	f.recordFigure(phase, "platform bytes", float64(sum.platformBytes)/daemonSeconds, "B/s and daemon")
	f.recordFigure(phase, "platform bytes, most of a daemon", float64(maxPlatform)/seconds, "B/s")
	f.recordFigure(phase, "table reads", r.reads, "1/s")
	f.recordFigure(phase, "table transactions", r.writes, "1/s")
	f.recordFigure(phase, "object calls", float64(sum.objectCalls)/seconds, "1/s")
	f.recordFigure(phase, "list readings", float64(sum.instanceLists)/seconds, "1/s")
	f.recordFigure(phase, "ticks", float64(sum.ticks)/daemonSeconds, "1/s and daemon")
	f.recordFigure(phase, "processor time", 100*sum.cpuTime.Seconds()/daemonSeconds, "% of a core and daemon")
	return r
}

// daemonGroup sums the traffic of the daemons that own journal shards, or of those
// that do not. The fields control and all are bytes to peers.
type daemonGroup struct {
	count, control, maxControl, all, maxAll int
	cpuTime                                 time.Duration
}

// addDaemon adds the traffic of a daemon; all is its number of bytes to peers.
func (g *daemonGroup) addDaemon(t *traffic, all int) {
	g.count++
	g.control, g.maxControl = g.control+t.totalControlBytes(), max(g.maxControl, t.totalControlBytes())
	g.all, g.maxAll = g.all+all, max(g.maxAll, all)
	g.cpuTime += t.cpuTime
}

// recordFigures records the figures of a group unless it is empty.
func (g *daemonGroup) recordFigures(f *fleet, phase, name string, seconds float64) {
	if g.count == 0 {
		return
	}
	daemonSeconds := seconds * float64(g.count)
	f.recordFigure(phase, name, float64(g.count), "daemons")
	f.recordFigure(phase, name+": control bytes", float64(g.control)/daemonSeconds, "B/s and daemon")
	f.recordFigure(phase, name+": control bytes, most", float64(g.maxControl)/seconds, "B/s")
	f.recordFigure(phase, name+": peer bytes", float64(g.all)/daemonSeconds, "B/s and daemon")
	f.recordFigure(phase, name+": peer bytes, most", float64(g.maxAll)/seconds, "B/s")
	f.recordFigure(phase, name+": processor time", 100*g.cpuTime.Seconds()/daemonSeconds, "% of a core and daemon")
}

// recordHeap records the heap per daemon. It includes the simulated callers,
// backend servers and platform, which are in the same process.
func (f *fleet) recordHeap(phase string) {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	f.recordFigure(phase, "heap", float64(stats.HeapAlloc)/float64(len(f.nodes))/1e6, "MB and daemon, fakes included")
}

// checkTargets compares the rates of a phase with the targets.
func (f *fleet) checkTargets(phase string, r rates) {
	if r.control > maxControlBytesPerSecond {
		f.t.Errorf("phase %s: %.0f control bytes per second and daemon, want at most %d", phase, r.control, maxControlBytesPerSecond)
	}
	if r.writes > maxTableTransactionsPerSecond {
		f.t.Errorf("phase %s: %.0f table transactions per second, want at most %d", phase, r.writes, maxTableTransactionsPerSecond)
	}
	if r.reads > maxTableReadsPerSecond {
		f.t.Errorf("phase %s: %.0f table reads per second, want at most %d", phase, r.reads, maxTableReadsPerSecond)
	}
}

// TestFleet_RatesWithinTargets compares the rates of an idle fleet and of a fleet
// under load with the targets. The load is in proportion to 5,000 requests and a
// million tokens per second at 410 daemons.
func TestFleet_RatesWithinTargets(t *testing.T) {
	for _, size := range fleetSizes() {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			f := newFleet(t, 1, size)
			f.checkTargets("idle", f.measurePhase("idle", 20*time.Second))
			f.recordHeap("idle")
			const (
				tokensPerInput = 20
				loadDuration   = 10 * time.Second
			)
			f.startLoad(tokensPerInput)
			f.runFor(10 * time.Second)
			before := f.load.answered
			f.checkTargets("load", f.measurePhase("load", loadDuration))
			f.recordFigure("load", "answers", float64(f.load.answered-before)/loadDuration.Seconds(), "1/s")
			f.recordHeap("load")
			if len(f.load.failed) > 0 {
				t.Errorf("requests failed under load, by reason: %v", f.load.failed)
			}
			if size == 100 {
				f.measureOverload()
			}
		})
	}
}

// measureOverload records the figures at one and a half times the load, which
// exceeds the capacity of the backend servers.
func (f *fleet) measureOverload() {
	f.load.loadRatio = 1.5
	f.runFor(10 * time.Second)
	f.measurePhase("overload", 5*time.Second)
	for reason, count := range f.load.failed { // the order of these figures in the file does not matter
		f.recordFigure("overload", "refused: "+reason, float64(count), "requests")
	}
}
