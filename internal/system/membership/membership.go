// Package membership maintains each daemon's view of its peers and spreads
// small records to all daemons by gossip.
//
// Every daemon probes its successors on a few rings. A ring holds daemons in
// the order of a hash of their IDs: some rings hold the daemons of one data
// centre, some hold all daemons. A daemon that does not answer, neither
// directly nor through other members, is suspected. The suspicion spreads, and
// each daemon that receives it waits for a refutation before it considers the
// suspect dead. Changes are gossiped to neighbours on the same rings; digests
// in the probe answers reveal missed changes. Each daemon thus exchanges
// messages with few peers and needs few connections. Views may differ for a
// while: no other code may rely on their agreement.
//
// The rings whose successors are probed, the timers that each daemon runs by
// itself and the refutation by a higher incarnation number follow the
// membership layer in chapter 4 of J. F. Mikalsen, "FireChain: An Efficient
// Blockchain Protocol using Secure Gossip" (2018), which builds on Fireflies.
// Its signatures and masks against lying members are left out: any daemon that
// holds a certificate is trusted.
package membership

import (
	"sort"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

// State is the state of a member in the view of one daemon.
type State uint8

const (
	// Alive members answer probes.
	Alive State = iota + 1
	// Suspect members do not answer probes and have not yet refuted the
	// suspicion.
	Suspect
	// Leaving members have announced that they will stop; they still answer.
	Leaving
	// Dead members did not refute a suspicion in time.
	Dead
)

// String returns the state in lower case.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	case Dead:
		return "dead"
	default:
		return "unknown"
	}
}

// Member is one daemon in the view of another.
type Member struct {
	ID          entity.InstanceID `cbor:"1,keyasint"`
	Addr        string            `cbor:"2,keyasint"` // of the peer transport, IP address and port
	CallerAddr  string            `cbor:"3,keyasint"` // of the HTTP server for callers, host and port
	Location    entity.Location   `cbor:"4,keyasint"`
	Incarnation uint32            `cbor:"5,keyasint"` // raised by the member to refute a suspicion
	State       State             `cbor:"6,keyasint"`
	AdminAddr   string            `cbor:"7,keyasint,omitempty"` // of the operators' API, host and port
}

// row is a member together with what only this daemon knows about it.
type row struct {
	Member
	leaving          bool      // announced by the member, for this incarnation
	suspected        bool      // somebody suspects the member, for this incarnation
	suspectedAt      time.Time // when this daemon raised or received the suspicion
	suspectedLocally bool      // this daemon raised the suspicion from its own probes
	diedAt           time.Time
}

// refreshState sets the state of a member that is not dead from the leaving and
// suspected flags.
func (r *row) refreshState() {
	switch {
	case r.leaving:
		r.State = Leaving
	case r.suspected:
		r.State = Suspect
	default:
		r.State = Alive
	}
}

// Change is a change of a member's state.
type Change struct {
	Member Member
	Old    State // zero for a member that was unknown
}

// Envelope is a message to be sent to a peer; it may be lost.
type Envelope struct {
	To      entity.InstanceID // empty: any daemon that listens on Addr
	Addr    string
	Message Message
}

// Ready is the output that the caller has to process.
type Ready struct {
	Send    []Envelope
	Changes []Change
	Records []Record // received from peers, each version once
	Events  []event.Event
}

// Membership is one daemon's view of its peers. It is not safe for concurrent
// use.
type Membership struct {
	cfg     Config
	self    *row
	rows    *entity.Table[entity.InstanceID, row]
	overlay overlay
	digest  digest
	records recordStore
	seeds   []string
	ready   Ready

	suspects    []*row // members suspected but not dead
	dead        []*row // by time of death, oldest first
	sorted      []Member
	sortedStale bool // sorted is out of date

	prober prober
	gossip gossiper
	syncer syncer

	started       bool
	lastRunAt     time.Time
	lastContact   time.Time
	cutOff        bool // no peer has answered for cutOffProbeTimeouts probe timeouts
	leaveRepeatAt []time.Time
	nextRejoinAt  time.Time
	nextSweepAt   time.Time
}

// New returns the view of a daemon that knows no peers yet.
func New(cfg Config) *Membership {
	cfg = cfg.Defaults()
	m := &Membership{
		cfg:         cfg,
		rows:        entity.NewTable[entity.InstanceID, row](),
		records:     newRecordStore(),
		sortedStale: true,
	}
	m.overlay = newRings(cfg)
	m.self = &row{Member: cfg.Self}
	m.self.State = Alive
	m.rows.Put(m.self.ID, m.self)
	m.overlay.insert(m.self)
	m.digest.xorMember(m.self)
	m.prober.sequence = cfg.Rand.Uint32()
	m.gossip.init()
	m.addSeeds(cfg.Seeds)
	return m
}

// Members returns all members that are not dead, this daemon included, sorted
// by ID. The caller must not modify the slice; later changes of members do not
// modify it either.
func (m *Membership) Members() []Member {
	if !m.sortedStale {
		return m.sorted
	}
	m.sorted = make([]Member, 0, m.rows.Len()-len(m.dead))
	m.rows.All(func(_ entity.InstanceID, r *row) bool {
		if r.State != Dead {
			m.sorted = append(m.sorted, r.Member)
		}
		return true
	})
	sort.Slice(m.sorted, func(i, j int) bool { return m.sorted[i].ID < m.sorted[j].ID })
	m.sortedStale = false
	return m.sorted
}

// Get returns a member. Dead members are found until they are forgotten.
func (m *Membership) Get(id entity.InstanceID) (Member, bool) {
	r := m.rows.Get(id)
	if r == nil {
		return Member{}, false
	}
	return r.Member, true
}

// LastContact returns when a peer last answered this daemon. For a daemon that
// has no live peers and no seeds, it is the time of the last Tick, unless a
// peer died without announcing that it leaves.
func (m *Membership) LastContact() time.Time { return m.lastContact }

// Ready returns the output since the last call.
func (m *Membership) Ready() Ready {
	r := m.ready
	m.ready = Ready{}
	return r
}

func (m *Membership) send(to entity.InstanceID, addr string, msg Message) {
	msg.Incarnation = m.self.Incarnation
	msg.Leaving = m.self.leaving
	msg.Digest = m.digest.root()
	m.ready.Send = append(m.ready.Send, Envelope{To: to, Addr: addr, Message: msg})
}

func (m *Membership) emit(now time.Time, n event.Number, peer entity.InstanceID, detail string) {
	m.ready.Events = append(m.ready.Events, event.Event{Number: n, At: now, Peer: peer, Detail: detail})
}

// peerCount returns the number of members that are not dead, without this
// daemon.
func (m *Membership) peerCount() int { return m.rows.Len() - len(m.dead) - 1 }

// randomPeer returns a random peer that is not suspected and that the function
// accepts, or nil if a few tries find none.
func (m *Membership) randomPeer(accepts func(*row) bool) *row {
	const tries = 16
	all := m.overlay.all()
	for range tries {
		r := all[m.cfg.Rand.IntN(len(all))].row
		if r != m.self && !r.suspected && accepts(r) {
			return r
		}
	}
	return nil
}
