package capacity

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/core"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/admission"
	"github.com/gooseberryslip/gooseberryslip/internal/system/configuration"
	planner "github.com/gooseberryslip/gooseberryslip/internal/system/fleet"
	"github.com/gooseberryslip/gooseberryslip/internal/system/grant"
	"github.com/gooseberryslip/gooseberryslip/internal/system/journal"
	"github.com/gooseberryslip/gooseberryslip/internal/system/membership"
	"github.com/gooseberryslip/gooseberryslip/internal/system/retry"
	"github.com/gooseberryslip/gooseberryslip/internal/virtualtime"
)

const (
	dataCentreCount             = 7 // four in region r0, the others in r1
	journalShards               = 16
	transactionsPerSecondBudget = 300 // of the journal of the whole fleet
	fullDaemonCount             = 410
	fullServerCount             = 600
	serversPerService           = 100              // maximum; the last service may have fewer
	slotsPerServer              = 64               // 8 accelerators with 8 slots each
	linkDelay                   = time.Millisecond // minimum; a message takes up to twice as long
)

// fleet runs the cores of several daemons in virtual time, together with simulated
// callers, backend servers, links and platform.
type fleet struct {
	t            testing.TB
	rng          *rand.Rand
	now          time.Time
	events       virtualtime.Queue // scheduled, not run yet
	sequence     int               // number of the last document change
	nodes        []*node
	byAddr       map[string]*node
	table        *table
	load         load
	tableCalls   callCounts
	lossRatio    float64 // fraction of peer messages that are lost
	regionsSplit bool    // messages between the regions are lost
	// appliedAt is when the operator of the latest change got the answer applied.
	appliedAt time.Time
}

// node is the core of one daemon with its pending inputs and its counted traffic.
type node struct {
	fleet   *fleet
	id      entity.InstanceID
	core    *core.Core
	dead    bool
	inbox   []core.Input
	due     time.Time // of the next tick; zero: none is scheduled
	traffic traffic
}

// newFleet starts daemons, applies the service documents and waits until every
// daemon knows the others and has the documents.
func newFleet(t testing.TB, seed uint64, daemons int) *fleet {
	f := &fleet{
		t: t, rng: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1_700_000_000, 0),
		byAddr: map[string]*node{}, table: newTable(),
		tableCalls: callCounts{reads: map[int64]int{}, writes: map[int64]int{}},
	}
	for i := range daemons {
		f.addNode(i)
	}
	f.runFor(5 * time.Second)
	for i := range f.serviceCount() {
		f.applyDocument(f.nodes[0], i, 0)
		f.runFor(time.Second)
	}
	const convergenceTimeout = 2 * time.Minute
	if !f.runUntil(convergenceTimeout, f.converged) {
		t.Fatalf("the fleet of %d daemons has not converged after %s", daemons, convergenceTimeout)
	}
	f.runFor(30 * time.Second) // until the journal shards have owners and gossip has subsided
	return f
}

// addNode starts daemon i. The daemons 0, 1 and 4 are the seeds of all daemons.
func (f *fleet) addNode(i int) {
	n := &node{fleet: f, id: entity.InstanceID(fmt.Sprintf("daemon-%03d", i))}
	n.traffic = newTraffic()
	dc := i % dataCentreCount
	self := membership.Member{
		ID: n.id, Addr: fmt.Sprintf("10.%d.0.%d:7400", dc, i), CallerAddr: fmt.Sprintf("10.%d.0.%d:7000", dc, i),
		AdminAddr: fmt.Sprintf("10.%d.0.%d:7800", dc, i), Location: location(dc),
	}
	seeds := []string{"10.0.0.0:7400", "10.1.0.1:7400", "10.4.0.4:7400"}
	n.core = core.New(core.Config{
		Self:          self,
		Membership:    membership.New(membership.Config{Self: self, Seeds: seeds, Rand: f.newRand()}),
		Configuration: configuration.New(configuration.Config{Self: n.id, Rand: f.newRand()}),
		Journal:       journal.New(journal.Config{Self: n.id, Shards: journalShards, Rand: f.newRand(), WriteBudget: transactionsPerSecondBudget}),
		Fleet:         planner.New(planner.Config{Self: n.id, Rand: f.newRand()}),
		Grants:        grant.New(grant.Config{Self: n.id, Location: self.Location, Rand: f.newRand()}),
		Admission:     admission.New(admission.Config{Rand: f.newRand()}),
		Retry:         retry.New(retry.Config{Rand: f.newRand()}),
		Rand:          f.newRand(),
		Limits:        core.DefaultLimits(),
	})
	f.nodes = append(f.nodes, n)
	f.byAddr[self.Addr] = n
	n.wakeAt(f.now)
}

// location returns the region and the ID of a data centre.
func location(dc int) entity.Location {
	const firstRegionSize = 4 // data centres in region r0
	return entity.Location{
		Region:     entity.RegionID(fmt.Sprintf("r%d", min(dc/firstRegionSize, 1))),
		DataCentre: entity.DataCentreID(fmt.Sprintf("dc%d", dc)),
	}
}

func (f *fleet) newRand() *rand.Rand { return rand.New(rand.NewPCG(f.rng.Uint64(), f.rng.Uint64())) }

// serverCount returns the number of backend servers; it is in proportion to
// fullServerCount at fullDaemonCount daemons.
func (f *fleet) serverCount() int {
	return (len(f.nodes)*fullServerCount + fullDaemonCount - 1) / fullDaemonCount
}

func (f *fleet) serviceCount() int {
	return (f.serverCount() + serversPerService - 1) / serversPerService
}

func serviceName(i int) entity.ServiceName { return entity.ServiceName(fmt.Sprintf("model-%d", i)) }

// applyDocument has daemon n replace the document of a service.
func (f *fleet) applyDocument(n *node, service int, readRevision uint64) {
	f.sequence++
	n.postInput(core.ApplyChange{Change: configuration.Change{
		Operation: fmt.Sprintf("change-%d", f.sequence), Service: serviceName(service),
		Text: f.documentText(service), ReadRevision: readRevision, Author: "capacity",
	}})
}

// documentText returns the text of a service's document.
func (f *fleet) documentText(service int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\nmode = \"route\"\nkind = \"model\"\n# change %d\n", serviceName(service), f.sequence)
	b.WriteString("[latency]\nfirst_token = \"420ms\"\nbetween_tokens = \"32ms\"\nfirst_timeout = \"5s\"\ntoken_timeout = \"5s\"\n")
	for i := range organisationCount {
		fmt.Fprintf(&b, "[[organisations]]\nid = \"org-%d\"\ncredential_sha256 = %q\nweight = 1\nrequests_per_second = 100000\nrequest_burst = 100000\ntop_priority = 0\n",
			i, strings.Repeat(fmt.Sprint(i), 64))
	}
	for i := service * serversPerService; i < min((service+1)*serversPerService, f.serverCount()); i++ {
		l := location(i % dataCentreCount)
		fmt.Fprintf(&b, "[[backend_servers]]\nid = \"server-%03d\"\naddress = \"10.%d.1.%d:9000\"\nregion = %q\ndata_centre = %q\nslots = %d\n",
			i, i%dataCentreCount, i/dataCentreCount, l.Region, l.DataCentre, slotsPerServer)
	}
	return b.String()
}

// converged reports whether every live daemon knows all others and has all
// documents.
func (f *fleet) converged() bool {
	for _, n := range f.nodes {
		if n.dead {
			continue
		}
		if len(n.core.Configuration.Services()) < f.serviceCount() || !n.core.Configuration.Current(f.now) || !f.knowsLiveMembers(n) {
			return false
		}
	}
	return true
}

// knowsLiveMembers reports whether the members that daemon n knows are exactly the
// live daemons, none of them suspected.
func (f *fleet) knowsLiveMembers(n *node) bool {
	members := n.core.Membership.Members()
	live := 0
	for _, o := range f.nodes {
		if !o.dead {
			live++
		}
	}
	if len(members) != live {
		return false
	}
	for _, m := range members {
		if m.State == membership.Suspect || f.byAddr[m.Addr].dead {
			return false
		}
	}
	return true
}

// schedule has a function run after d in virtual time.
func (f *fleet) schedule(d time.Duration, run func()) {
	f.events.Schedule(f.now.Add(d), run)
}

// runFor advances virtual time by d and runs the events that are due.
func (f *fleet) runFor(d time.Duration) {
	f.events.RunUntil(f.now.Add(d), &f.now)
}

// runUntil advances virtual time until the condition holds, at most by d, and
// reports whether it holds.
func (f *fleet) runUntil(d time.Duration, cond func() bool) bool {
	const step = 100 * time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); {
		if cond() {
			return true
		}
		f.runFor(step)
	}
	return cond()
}

// resetTraffic sets all traffic counters to zero.
func (f *fleet) resetTraffic() {
	for _, n := range f.nodes {
		n.traffic = newTraffic()
	}
	f.tableCalls = callCounts{reads: map[int64]int{}, writes: map[int64]int{}}
}

// postInput adds an input to the daemon's next tick, which runs at once.
func (n *node) postInput(in core.Input) {
	if n.dead {
		return
	}
	n.inbox = append(n.inbox, in)
	n.wakeAt(n.fleet.now)
}

// wakeAt schedules a tick of the daemon at this time, unless one is already
// scheduled by then. The zero time schedules none.
func (n *node) wakeAt(at time.Time) {
	if at.IsZero() || (!n.due.IsZero() && !at.Before(n.due)) {
		return
	}
	n.due = at
	n.fleet.schedule(max(at.Sub(n.fleet.now), 0), func() {
		if n.due.Equal(at) {
			n.due = time.Time{}
			n.tick()
		}
	})
}

// tick runs the core once and carries out the actions in its outbox.
func (n *node) tick() {
	if n.dead {
		return
	}
	f := n.fleet
	inputs := n.inbox
	n.inbox = nil
	start := time.Now()
	out := n.core.Tick(f.now, inputs)
	n.traffic.cpuTime += time.Since(start)
	n.traffic.ticks++
	for _, s := range out.Stops {
		f.load.recordCancel(s)
	}
	for i := range out.Dispatches {
		f.simulateRun(n, &out.Dispatches[i])
	}
	for _, a := range out.ApplyOutcomes {
		if a.Status == configuration.Applied {
			f.appliedAt = f.now
		}
	}
	if out.ReadList {
		n.traffic.instanceLists++
	}
	for _, op := range out.Operations {
		f.table.performOperation(n, op)
	}
	n.sendMessages(out.Sends)
	for _, r := range out.Replies {
		f.load.countReply(r)
	}
	if out.Finished {
		n.dead = true
		return
	}
	if at := n.core.Deadline(); !at.IsZero() {
		n.wakeAt(at.Add(time.Millisecond))
	}
}

// peerAndKind identifies the messages of one kind to one peer.
type peerAndKind struct {
	addr string
	kind messageKind
}

// sendMessages delivers the messages of one tick and counts their packets.
// Messages of one kind to one peer share packets on the stream; each datagram is
// a packet of its own.
func (n *node) sendMessages(sends []core.Envelope) {
	stream := map[peerAndKind]int{}
	for i := range sends {
		e := &sends[i]
		start := time.Now()
		body, err := core.EncodeMessage(&e.Message)
		n.traffic.cpuTime += time.Since(start)
		if err != nil {
			n.fleet.t.Fatal(err)
		}
		k := kindOf(&e.Message)
		n.traffic.messages[k]++
		if e.Datagram {
			n.traffic.countPayload(k, len(body), n.fleet.now)
		} else {
			stream[peerAndKind{e.Addr, k}] += len(body) + frameHeader
		}
		n.traffic.peers[e.Addr] = true
		n.deliver(e, body)
	}
	for p, size := range stream { // the counters are sums, so the order does not matter
		n.traffic.countPayload(p.kind, size, n.fleet.now)
	}
}

// deliver has the receiver get a message after the link delay, unless the message
// is lost.
func (n *node) deliver(e *core.Envelope, body []byte) {
	f := n.fleet
	to := f.byAddr[e.Addr]
	if to == nil || (e.To != "" && e.To != to.id) || f.rng.Float64() < f.lossRatio {
		return
	}
	delay := linkDelay + time.Duration(f.rng.Int64N(int64(linkDelay)))
	f.schedule(delay, func() {
		if to.dead || (f.regionsSplit && n.core.Self.Location.Region != to.core.Self.Location.Region) {
			return
		}
		start := time.Now()
		m, err := core.DecodeMessage(body)
		to.traffic.cpuTime += time.Since(start)
		if err != nil {
			f.t.Fatal(err)
		}
		to.traffic.peers[n.core.Self.Addr] = true
		to.postInput(core.PeerMessage{From: n.id, Addr: n.core.Self.Addr, Message: m})
	})
}
