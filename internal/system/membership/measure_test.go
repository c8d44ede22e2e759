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

var measureTo = flag.String("membership.csv", "", "measure the ways weighed and write the figures to this file")

// way is one of the ways weighed to keep a view of the others.
type way struct {
	name  string
	build func(n int, seed uint64) *trial
}

// trial is a network in which one way runs.
type trial struct {
	*network
	table *heartbeatTable // only where heartbeats go through the table
	fleet *fleet          // only for the ways that use Membership
}

var ways = []way{
	{"all-to-all heartbeats", buildAllToAll},
	{"heartbeats through the table", buildThroughTable},
	{"random partial probing", buildRandom},
	{"ring successors", buildRings},
}

func buildAllToAll(n int, seed uint64) *trial {
	w := newNetwork(seed)
	var all []Member
	for i := range n {
		all = append(all, memberOf(i, n))
	}
	for i, m := range all {
		w.add(m, newAllToAll(m, all, rand.New(rand.NewPCG(seed, uint64(i))), w.now))
	}
	return &trial{network: w}
}

func buildThroughTable(n int, seed uint64) *trial {
	w := newNetwork(seed)
	table := newHeartbeatTable()
	for i := range n {
		m := memberOf(i, n)
		w.add(m, newThroughTable(m, table, rand.New(rand.NewPCG(seed, uint64(i))), w.now))
	}
	return &trial{network: w, table: table}
}

func buildRandom(n int, seed uint64) *trial {
	f := newFleet(n, seed, nil)
	for _, m := range f.members {
		o := newRandomOverlay(m.cfg)
		o.insert(m.self)
		m.overlay = o
	}
	return &trial{network: f.network, fleet: f}
}

func buildRings(n int, seed uint64) *trial {
	f := newFleet(n, seed, nil)
	return &trial{network: f.network, fleet: f}
}

// figure is one line of the data file.
type figure struct {
	way     string
	members int
	seed    uint64
	measure string
	value   float64
}

const measureSeed = 1

// TestMeasure_Ways writes the figures of docs/design/membership.md. It runs
// only with its flag.
func TestMeasure_Ways(t *testing.T) {
	if *measureTo == "" {
		t.Skip("no file given")
	}
	file, err := os.Create(*measureTo)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	lines := csv.NewWriter(file)
	defer lines.Flush()
	if err := lines.Write([]string{"way", "members", "seed", "measure", "value"}); err != nil {
		t.Fatal(err)
	}
	for _, way := range ways {
		for _, n := range []int{9, 100, 410} {
			for _, f := range measure(t, way, n, measureSeed) {
				if err := lines.Write(f.record()); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
}

func (f figure) record() []string {
	return []string{
		f.way, strconv.Itoa(f.members), strconv.FormatUint(f.seed, 10), f.measure,
		strconv.FormatFloat(f.value, 'f', 3, 64),
	}
}

func measure(t *testing.T, way way, n int, seed uint64) []figure {
	tr := way.build(n, seed)
	var out []figure
	add := func(measure string, value float64) {
		out = append(out, figure{way.name, n, seed, measure, value})
	}
	if _, ok := tr.runUntil(2*time.Minute, tr.complete); !ok {
		t.Fatalf("%s: %d members have not found each other", way.name, n)
	}
	tr.run(connectionIdle)
	tr.measureSteady(add)
	tr.measureLoss(add)
	tr.measurePauses(add)
	tr.measureDetection(add)
	tr.measureNews(add)
	tr.measureHealing(add)
	return out
}

type adder func(measure string, value float64)

func (tr *trial) complete() bool { return (&fleet{network: tr.network}).complete() }

// measureSteady counts bytes, messages, dials and table operations without faults.
func (tr *trial) measureSteady(add adder) {
	const seconds = 30
	tr.resetTraffic()
	if tr.table != nil {
		tr.table.reads, tr.table.writes = 0, 0
	}
	tr.run(seconds * time.Second)
	var sum traffic
	for _, n := range tr.nodes {
		sum.bytes += n.sent.bytes
		sum.messages += n.sent.messages
		sum.dials += n.sent.dials
	}
	per := float64(len(tr.nodes) * seconds)
	add("bytes sent per second and member", float64(sum.bytes)/per)
	add("messages sent per second and member", float64(sum.messages)/per)
	add("handshakes per second and member, both ends", 2*float64(sum.dials)/per)
	if tr.table != nil {
		add("table writes per second, fleet", float64(tr.table.writes)/seconds)
		add("table queries per second, fleet", float64(tr.table.reads)/seconds)
	}
}

// falselyDead counts pairs of running members of which one holds the other dead.
func (tr *trial) falselyDead() int {
	running := (&fleet{network: tr.network}).running()
	count := 0
	for _, n := range running {
		count += len(running) - 1 - n.d.knownAlive()
	}
	return count
}

// measureLoss counts false verdicts under the loss of the target.
func (tr *trial) measureLoss(add adder) {
	tr.forgetChanges()
	tr.loss = targetLoss
	worst := 0
	for range 60 {
		tr.run(time.Second)
		worst = max(worst, tr.falselyDead())
	}
	tr.loss = 0
	add("5% loss for 60 s: most pairs with a false death at once", float64(worst))
	if tr.fleet != nil {
		add("5% loss for 60 s: members falsely suspected", float64(tr.fleet.suspectedMembers()))
	}
	tr.run(10 * time.Second)
}

func (tr *trial) forgetChanges() {
	if tr.fleet != nil {
		tr.fleet.forgetChanges()
	}
}

// suspectedMembers counts the members that anyone has suspected.
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

// measurePauses freezes members for three seconds, one after another.
func (tr *trial) measurePauses(add adder) {
	const pause = 3 * time.Second
	tr.forgetChanges()
	worst := 0
	for i := range 10 {
		n := tr.nodes[i*len(tr.nodes)/10]
		tr.freeze(n)
		tr.run(pause)
		worst = max(worst, tr.falselyDead())
		tr.thaw(n)
		tr.run(pause)
		worst = max(worst, tr.falselyDead())
	}
	add("pauses of 3 s: most pairs with a false death at once", float64(worst))
	tr.run(10 * time.Second)
}

// measureDetection crashes members one by one, then three quarters at once.
func (tr *trial) measureDetection(add adder) {
	var sum, worst time.Duration
	const crashes = 3
	for i := range crashes {
		tr.nodes[len(tr.nodes)/2+i].crashed = true
		took, _ := tr.runUntil(2*time.Minute, tr.complete)
		sum, worst = sum+took, max(worst, took)
		tr.run(2 * time.Second)
	}
	add("one crash: seconds until dead on all, mean", sum.Seconds()/crashes)
	add("one crash: seconds until dead on all, worst", worst.Seconds())
}

// measureNews counts the time and bytes until a piece of news is everywhere.
func (tr *trial) measureNews(add adder) {
	if tr.fleet == nil {
		return
	}
	f := tr.fleet
	tr.loss = targetLoss
	news := News{Topic: TopicConfigHead, Key: "service", Version: 1, Body: []byte("revision 1")}
	f.members[0].Announce(f.now, news)
	f.after(f.nodes[0])
	everywhere := len(f.running())
	took, _ := f.runUntil(time.Minute, func() bool { return f.holding(news) >= everywhere })
	add("news under 5% loss: seconds until on all", took.Seconds())
	add("news: rounds of the gossip interval until on all", float64(took)/float64(defaultGossipInterval))
	tr.loss = 0
	tr.run(5 * time.Second)
}

// measureHealing splits the network in two for three minutes and heals it;
// then three quarters crash at once.
func (tr *trial) measureHealing(add adder) {
	half := make(map[*node]bool)
	for i, n := range tr.nodes {
		half[n] = i%7 >= 4
		if len(tr.nodes) <= 9 {
			half[n] = i%3 == 2
		}
	}
	tr.cut = func(a, b *node) bool { return half[a] != half[b] }
	if tr.table == nil {
		tr.run(3 * time.Minute)
	}
	tr.cut = nil
	tr.resetTraffic()
	took, _ := tr.runUntil(5*time.Minute, tr.complete)
	add("split healed: seconds until whole", took.Seconds())
	tr.run(40 * time.Second)
	tr.resetTraffic()
	for i, n := range tr.nodes {
		n.crashed = n.crashed || i%4 != 0
	}
	took, _ = tr.runUntil(5*time.Minute, tr.complete)
	add("three quarters crash: seconds until dead on all", took.Seconds())
	bytes := 0
	survivors := (&fleet{network: tr.network}).running()
	for _, n := range survivors {
		bytes += n.sent.bytes
	}
	add("three quarters crash: bytes sent per survivor meanwhile", float64(bytes)/float64(len(survivors)))
}
