package membership

import (
	"encoding/csv"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"
)

var figuresFile = flag.String("membership.csv", "", "compare the approaches to failure detection and write the figures to this file")

// approach is one of the compared approaches to failure detection.
type approach struct {
	name  string
	build func(n int, seed uint64) *simulation
}

// simulation is a network of nodes that all use one approach.
type simulation struct {
	*network
	table *heartbeatTable // only if heartbeats go through the table
	fleet *fleet          // only for the approaches that use Membership
}

var approaches = []approach{
	{"all-to-all heartbeats", buildAllToAll},
	{"heartbeats through the table", buildThroughTable},
	{"random partial probing", buildRandom},
	{"ring successors", buildRings},
}

func buildAllToAll(n int, seed uint64) *simulation {
	w := newNetwork(seed)
	var all []Member
	for i := range n {
		all = append(all, memberOf(i, n))
	}
	for i, m := range all {
		w.add(m, newAllToAll(m, all, rand.New(rand.NewPCG(seed, uint64(i))), w.now))
	}
	return &simulation{network: w}
}

func buildThroughTable(n int, seed uint64) *simulation {
	w := newNetwork(seed)
	table := newHeartbeatTable()
	for i := range n {
		m := memberOf(i, n)
		w.add(m, newThroughTable(m, table, rand.New(rand.NewPCG(seed, uint64(i))), w.now))
	}
	return &simulation{network: w, table: table}
}

func buildRandom(n int, seed uint64) *simulation {
	f := newFleet(n, seed, nil)
	for _, m := range f.members {
		o := newRandomOverlay(m.cfg)
		o.insert(m.self)
		m.overlay = o
	}
	return &simulation{network: f.network, fleet: f}
}

func buildRings(n int, seed uint64) *simulation {
	f := newFleet(n, seed, nil)
	return &simulation{network: f.network, fleet: f}
}

// figure is one line of the data file.
type figure struct {
	approach string
	members  int
	seed     uint64
	measure  string
	value    float64
}

const measureSeed = 1

// TestMeasure_Ways writes the figures of docs/design/membership.md. It runs
// only with the flag -membership.csv.
func TestMeasure_Ways(t *testing.T) {
	if *figuresFile == "" {
		t.Skip("no file given with -membership.csv")
	}
	file, err := os.Create(*figuresFile)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	lines := csv.NewWriter(file)
	defer lines.Flush()
	if err := lines.Write([]string{"way", "members", "seed", "measure", "value"}); err != nil {
		t.Fatal(err)
	}
	for _, approach := range approaches {
		for _, n := range []int{9, 100, 410} {
			for _, f := range measure(t, approach, n, measureSeed) {
				if err := lines.Write(f.record()); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
}

func (f figure) record() []string {
	return []string{
		f.approach, strconv.Itoa(f.members), strconv.FormatUint(f.seed, 10), f.measure,
		strconv.FormatFloat(f.value, 'f', 3, 64),
	}
}

func measure(t *testing.T, approach approach, n int, seed uint64) []figure {
	sim := approach.build(n, seed)
	var out []figure
	add := func(measure string, value float64) {
		out = append(out, figure{approach.name, n, seed, measure, value})
	}
	if _, ok := sim.runUntil(2*time.Minute, sim.converged); !ok {
		t.Fatalf("%s: %d members have not found each other", approach.name, n)
	}
	sim.runFor(connectionIdleTimeout)
	sim.measureSteady(add)
	sim.measureLoss(add)
	sim.measurePauses(add)
	sim.measureDetection(add)
	sim.measureRecordSpread(add)
	sim.measureHealing(add)
	return out
}

type addFigure func(measure string, value float64)

func (sim *simulation) converged() bool { return (&fleet{network: sim.network}).converged() }

// measureSteady reports bytes, messages, dials and table operations without
// faults.
func (sim *simulation) measureSteady(add addFigure) {
	const seconds = 30
	sim.resetTraffic()
	if sim.table != nil {
		sim.table.reads, sim.table.writes = 0, 0
	}
	sim.runFor(seconds * time.Second)
	var sum traffic
	for _, n := range sim.nodes {
		sum.bytes += n.sent.bytes
		sum.messages += n.sent.messages
		sum.dials += n.sent.dials
	}
	per := float64(len(sim.nodes) * seconds)
	add("bytes sent per second and member", float64(sum.bytes)/per)
	add("messages sent per second and member", float64(sum.messages)/per)
	add("handshakes per second and member, both ends", 2*float64(sum.dials)/per)
	if sim.table != nil {
		add("table writes per second, fleet", float64(sim.table.writes)/seconds)
		add("table queries per second, fleet", float64(sim.table.reads)/seconds)
	}
}

// falselyDead counts the pairs of running members of which the first considers
// the second dead.
func (sim *simulation) falselyDead() int {
	running := (&fleet{network: sim.network}).running()
	count := 0
	for _, n := range running {
		count += len(running) - 1 - n.detector.livePeerCount()
	}
	return count
}

// measureLoss reports false deaths and suspicions under the message loss of the
// design target.
func (sim *simulation) measureLoss(add addFigure) {
	sim.resetChanges()
	sim.loss = targetLossRatio
	worst := 0
	for range 60 {
		sim.runFor(time.Second)
		worst = max(worst, sim.falselyDead())
	}
	sim.loss = 0
	add("5% loss for 60 s: most pairs with a false death at once", float64(worst))
	if sim.fleet != nil {
		add("5% loss for 60 s: members falsely suspected", float64(sim.fleet.suspectedMembers()))
	}
	sim.runFor(10 * time.Second)
}

func (sim *simulation) resetChanges() {
	if sim.fleet != nil {
		sim.fleet.resetChanges()
	}
}

// suspectedMembers counts the members, once for each incarnation, that anyone
// has suspected.
func (f *fleet) suspectedMembers() int {
	suspected := make(map[string]bool)
	for _, m := range f.members {
		for _, c := range m.changes {
			if c.Member.State == Suspect {
				suspected[fmt.Sprint(c.Member.ID, c.Member.Incarnation)] = true
			}
		}
	}
	return len(suspected)
}

// measurePauses freezes members for three seconds each, one after another, and
// reports false deaths.
func (sim *simulation) measurePauses(add addFigure) {
	const pause = 3 * time.Second
	sim.resetChanges()
	worst := 0
	for i := range 10 {
		n := sim.nodes[i*len(sim.nodes)/10]
		sim.freeze(n)
		sim.runFor(pause)
		worst = max(worst, sim.falselyDead())
		sim.thaw(n)
		sim.runFor(pause)
		worst = max(worst, sim.falselyDead())
	}
	add("pauses of 3 s: most pairs with a false death at once", float64(worst))
	sim.runFor(10 * time.Second)
}

// measureDetection crashes members one by one and reports how long their
// detection takes.
func (sim *simulation) measureDetection(add addFigure) {
	var sum, worst time.Duration
	const crashes = 3
	for i := range crashes {
		sim.nodes[len(sim.nodes)/2+i].crashed = true
		took, _ := sim.runUntil(2*time.Minute, sim.converged)
		sum, worst = sum+took, max(worst, took)
		sim.runFor(2 * time.Second)
	}
	add("one crash: seconds until dead on all, mean", sum.Seconds()/crashes)
	add("one crash: seconds until dead on all, worst", worst.Seconds())
}

// measureRecordSpread reports how long a record takes to reach all members
// under message loss.
func (sim *simulation) measureRecordSpread(add addFigure) {
	if sim.fleet == nil {
		return
	}
	f := sim.fleet
	sim.loss = targetLossRatio
	record := Record{Topic: TopicConfigHead, Key: "service", Version: 1, Body: []byte("revision 1")}
	f.members[0].Announce(f.now, record)
	f.processOutput(f.nodes[0])
	everywhere := len(f.running())
	took, _ := f.runUntil(time.Minute, func() bool { return f.holderCount(record) >= everywhere })
	add("news under 5% loss: seconds until on all", took.Seconds())
	add("news: rounds of the gossip interval until on all", float64(took)/float64(defaultGossipInterval))
	sim.loss = 0
	sim.runFor(5 * time.Second)
}

// measureHealing splits the network in two for three minutes and reports how
// long healing takes. Then it crashes three quarters of the members at once and
// reports how long their detection takes and how many bytes each survivor
// sends.
func (sim *simulation) measureHealing(add addFigure) {
	half := make(map[*node]bool)
	for i, n := range sim.nodes {
		half[n] = i%7 >= 4
		if len(sim.nodes) <= 9 {
			half[n] = i%3 == 2
		}
	}
	sim.cut = func(a, b *node) bool { return half[a] != half[b] }
	if sim.table == nil {
		sim.runFor(3 * time.Minute)
	}
	sim.cut = nil
	sim.resetTraffic()
	took, _ := sim.runUntil(5*time.Minute, sim.converged)
	add("split healed: seconds until whole", took.Seconds())
	sim.runFor(40 * time.Second)
	sim.resetTraffic()
	for i, n := range sim.nodes {
		n.crashed = n.crashed || i%4 != 0
	}
	took, _ = sim.runUntil(5*time.Minute, sim.converged)
	add("three quarters crash: seconds until dead on all", took.Seconds())
	bytes := 0
	survivors := (&fleet{network: sim.network}).running()
	for _, n := range survivors {
		bytes += n.sent.bytes
	}
	add("three quarters crash: bytes sent per survivor meanwhile", float64(bytes)/float64(len(survivors)))
}
