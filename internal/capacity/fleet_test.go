package capacity

import (
	"container/heap"
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
)

const (
	dataCentres    = 7 // the first four in region r0, the others in r1
	journalShards  = 16
	writeBudget    = 300 // transactions a second of the whole fleet
	fullSize       = 410
	fullServers    = 600
	serversService = 100 // backend servers of one service
	serverSlots    = 64  // 8 accelerators with 8 slots each
	linkDelay      = time.Millisecond
)

// fleet runs several cores and the fakes round them in virtual time.
type fleet struct {
	t      testing.TB
	rng    *rand.Rand
	now    time.Time
	agenda agenda
	serial int
	nodes  []*node
	byAddr map[string]*node
	table  *table
	load   load
	calls  calls
	loss   float64 // share of peer messages lost
	split  bool    // the regions do not reach each other
	// appliedAt is when the latest change was answered as applied.
	appliedAt time.Time
}

// node is one core and its links.
type node struct {
	fleet   *fleet
	id      entity.InstanceID
	core    *core.Core
	dead    bool
	inbox   []core.Input
	due     time.Time
	traffic traffic
}

// happening is something that happens at a time.
type happening struct {
	at     time.Time
	serial int
	run    func()
}

// agenda is a heap of happenings, in order of time and then of their making.
type agenda []happening

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if a[i].at.Equal(a[j].at) {
		return a[i].serial < a[j].serial
	}
	return a[i].at.Before(a[j].at)
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(happening)) }
func (a *agenda) Pop() any {
	last := len(*a) - 1
	h := (*a)[last]
	(*a)[last] = happening{}
	*a = (*a)[:last]
	return h
}

// newFleet starts daemons, puts the service documents into force and waits
// until every daemon knows the others and has the documents.
func newFleet(t testing.TB, seed uint64, daemons int) *fleet {
	f := &fleet{
		t: t, rng: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1_700_000_000, 0),
		byAddr: map[string]*node{}, table: newTable(),
		calls: calls{reads: map[int64]int{}, writes: map[int64]int{}},
	}
	for i := range daemons {
		f.addNode(i)
	}
	f.runFor(5 * time.Second)
	for i := range f.services() {
		f.apply(f.nodes[0], i, 0)
		f.runFor(time.Second)
	}
	const together = 2 * time.Minute
	if !f.runUntil(together, f.settled) {
		t.Fatalf("%d daemons are not together after %s", daemons, together)
	}
	f.runFor(30 * time.Second) // until the shards have owners and gossip is quiet
	return f
}

// addNode starts a daemon. The first two are the seeds of the others.
func (f *fleet) addNode(i int) {
	n := &node{fleet: f, id: entity.InstanceID(fmt.Sprintf("daemon-%03d", i))}
	n.traffic = newTraffic()
	dc := i % dataCentres
	self := membership.Member{
		ID: n.id, Addr: fmt.Sprintf("10.%d.0.%d:7400", dc, i), CallerAddr: fmt.Sprintf("10.%d.0.%d:7000", dc, i),
		AdminAddr: fmt.Sprintf("10.%d.0.%d:7800", dc, i), Place: place(dc),
	}
	seeds := []string{"10.0.0.0:7400", "10.1.0.1:7400", "10.4.0.4:7400"}
	n.core = core.New(core.Config{
		Self:          self,
		Membership:    membership.New(membership.Config{Self: self, Seeds: seeds, Rand: f.newRand()}),
		Configuration: configuration.New(configuration.Config{Self: n.id, Rand: f.newRand()}),
		Journal:       journal.New(journal.Config{Self: n.id, Shards: journalShards, Rand: f.newRand(), WriteBudget: writeBudget}),
		Fleet:         planner.New(planner.Config{Self: n.id, Rand: f.newRand()}),
		Grants:        grant.New(grant.Config{Self: n.id, Place: self.Place, Rand: f.newRand()}),
		Admission:     admission.New(admission.Config{Rand: f.newRand()}),
		Retry:         retry.New(retry.Config{Rand: f.newRand()}),
		Rand:          f.newRand(),
		Limits:        core.DefaultLimits(),
	})
	f.nodes = append(f.nodes, n)
	f.byAddr[self.Addr] = n
	n.wake(f.now)
}

// place returns a data centre's place.
func place(dc int) entity.Place {
	const firstRegion = 4
	return entity.Place{
		Region:     entity.RegionID(fmt.Sprintf("r%d", min(dc/firstRegion, 1))),
		DataCentre: entity.DataCentreID(fmt.Sprintf("dc%d", dc)),
	}
}

func (f *fleet) newRand() *rand.Rand { return rand.New(rand.NewPCG(f.rng.Uint64(), f.rng.Uint64())) }

// servers is the number of backend servers, in proportion to the full size.
func (f *fleet) servers() int { return (len(f.nodes)*fullServers + fullSize - 1) / fullSize }

func (f *fleet) services() int { return (f.servers() + serversService - 1) / serversService }

func serviceName(i int) entity.ServiceName { return entity.ServiceName(fmt.Sprintf("model-%d", i)) }

// apply puts the document of a service into force through a daemon.
func (f *fleet) apply(n *node, service int, read uint64) {
	f.serial++
	n.post(core.ApplyChange{Change: configuration.Change{
		Operation: fmt.Sprintf("change-%d", f.serial), Service: serviceName(service),
		Text: f.document(service), ReadRevision: read, Author: "capacity",
	}})
}

// document writes the document of a service.
func (f *fleet) document(service int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\nmode = \"route\"\nkind = \"model\"\n# change %d\n", serviceName(service), f.serial)
	b.WriteString("[latency]\nfirst_token = \"420ms\"\nbetween_tokens = \"32ms\"\nfirst_timeout = \"5s\"\ntoken_timeout = \"5s\"\n")
	for i := range organisations {
		fmt.Fprintf(&b, "[[organisations]]\nid = \"org-%d\"\ncredential_sha256 = %q\nweight = 1\nrequests_per_second = 100000\nrequest_burst = 100000\ntop_priority = 0\n",
			i, strings.Repeat(fmt.Sprint(i), 64))
	}
	for i := service * serversService; i < min((service+1)*serversService, f.servers()); i++ {
		p := place(i % dataCentres)
		fmt.Fprintf(&b, "[[backend_servers]]\nid = \"server-%03d\"\naddress = \"10.%d.1.%d:9000\"\nregion = %q\ndata_centre = %q\nslots = %d\n",
			i, i%dataCentres, i/dataCentres, p.Region, p.DataCentre, serverSlots)
	}
	return b.String()
}

// settled reports whether every live daemon knows all others and has all
// documents.
func (f *fleet) settled() bool {
	for _, n := range f.nodes {
		if n.dead {
			continue
		}
		if len(n.core.Configuration.Services()) < f.services() || !n.core.Configuration.Current(f.now) || !f.knowsExactly(n) {
			return false
		}
	}
	return true
}

// knowsExactly reports whether a daemon holds the live ones, and only those,
// for alive or leaving.
func (f *fleet) knowsExactly(n *node) bool {
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

// after puts a happening on the agenda.
func (f *fleet) after(d time.Duration, run func()) {
	f.serial++
	heap.Push(&f.agenda, happening{at: f.now.Add(d), serial: f.serial, run: run})
}

// runFor lets virtual time pass.
func (f *fleet) runFor(d time.Duration) {
	end := f.now.Add(d)
	for len(f.agenda) > 0 && !f.agenda[0].at.After(end) {
		h := heap.Pop(&f.agenda).(happening)
		f.now = h.at
		h.run()
	}
	f.now = end
}

// runUntil lets time pass until the condition holds, at most for d.
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

// reset starts the count of traffic anew.
func (f *fleet) reset() {
	for _, n := range f.nodes {
		n.traffic = newTraffic()
	}
	f.calls = calls{reads: map[int64]int{}, writes: map[int64]int{}}
}

// post gives an input to a daemon's next tick.
func (n *node) post(in core.Input) {
	if n.dead {
		return
	}
	n.inbox = append(n.inbox, in)
	n.wake(n.fleet.now)
}

// wake makes sure that the daemon ticks at the time.
func (n *node) wake(at time.Time) {
	if at.IsZero() || (!n.due.IsZero() && !at.Before(n.due)) {
		return
	}
	n.due = at
	n.fleet.after(max(at.Sub(n.fleet.now), 0), func() {
		if n.due.Equal(at) {
			n.due = time.Time{}
			n.tick()
		}
	})
}

// tick runs the core once and performs its outbox.
func (n *node) tick() {
	if n.dead {
		return
	}
	f := n.fleet
	inputs := n.inbox
	n.inbox = nil
	start := time.Now()
	out := n.core.Tick(f.now, inputs)
	n.traffic.cpu += time.Since(start)
	n.traffic.ticks++
	for _, s := range out.Stops {
		f.load.stop(s)
	}
	for i := range out.Dispatches {
		f.dispatch(n, &out.Dispatches[i])
	}
	for _, a := range out.Applied {
		if a.Status == configuration.Applied {
			f.appliedAt = f.now
		}
	}
	if out.ReadList {
		n.traffic.lists++
	}
	for _, op := range out.Operations {
		f.table.perform(n, op)
	}
	n.sendAll(out.Sends)
	for _, r := range out.Replies {
		f.load.reply(r)
	}
	if out.Finished {
		n.dead = true
		return
	}
	if at := n.core.Deadline(); !at.IsZero() {
		n.wake(at.Add(time.Millisecond))
	}
}

// peerKind names the messages of one kind that go to one peer.
type peerKind struct {
	addr string
	kind kind
}

// sendAll carries the messages of a tick. Messages of one kind to one peer
// share packets on the stream; each datagram is a packet.
func (n *node) sendAll(sends []core.Envelope) {
	stream := map[peerKind]int{}
	for i := range sends {
		e := &sends[i]
		start := time.Now()
		body, err := core.EncodeMessage(&e.Message)
		n.traffic.cpu += time.Since(start)
		if err != nil {
			n.fleet.t.Fatal(err)
		}
		k := kindOf(&e.Message)
		n.traffic.messages[k]++
		if e.Datagram {
			n.traffic.packet(k, len(body), n.fleet.now)
		} else {
			stream[peerKind{e.Addr, k}] += len(body) + frameHeader
		}
		n.traffic.peers[e.Addr] = true
		n.carry(e, body)
	}
	for p, size := range stream { // sums only: the order does not matter
		n.traffic.packet(p.kind, size, n.fleet.now)
	}
}

// carry brings a message to its receiver, unless it is lost.
func (n *node) carry(e *core.Envelope, body []byte) {
	f := n.fleet
	to := f.byAddr[e.Addr]
	if to == nil || (e.To != "" && e.To != to.id) || f.rng.Float64() < f.loss {
		return
	}
	delay := linkDelay + time.Duration(f.rng.Int64N(int64(linkDelay)))
	f.after(delay, func() {
		if to.dead || (f.split && n.core.Self.Place.Region != to.core.Self.Place.Region) {
			return
		}
		start := time.Now()
		m, err := core.DecodeMessage(body)
		to.traffic.cpu += time.Since(start)
		if err != nil {
			f.t.Fatal(err)
		}
		to.traffic.peers[n.core.Self.Addr] = true
		to.post(core.PeerMessage{From: n.id, Addr: n.core.Self.Addr, Message: m})
	})
}
