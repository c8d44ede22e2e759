// Package membership keeps each daemon's view of the others and spreads small
// news between them.
//
// Every daemon watches its successors on a few rings, each ring being the
// daemons in the order of a hash of their IDs: some rings hold the daemons of
// one data centre, some hold all. A daemon that does not answer, neither
// directly nor through others, is suspected; the suspicion spreads, and who
// hears of it waits for a refutation before holding the daemon dead. What
// changes is passed on along the same rings; digests in the probes find what
// was missed. So a daemon talks with few others, which keeps its connections
// few. Views may differ for a while: nothing may depend on their agreement.
//
// Rings whose successors are watched, timers that each daemon runs for itself
// and refutation by a higher number follow the membership layer in chapter 4
// of J. F. Mikalsen, "FireChain: An Efficient Blockchain Protocol using Secure
// Gossip" (2018), which builds on Fireflies. Its signatures and masks against
// lying members are left out: who holds a certificate is trusted.
package membership

import (
	"sort"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

// State is what a daemon holds of a member.
type State uint8

const (
	// Alive members answer.
	Alive State = iota + 1
	// Suspect members do not answer and have not yet refuted it.
	Suspect
	// Leaving members have said that they will stop; they still answer.
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

// Member is one daemon as seen by another.
type Member struct {
	ID          entity.InstanceID `cbor:"1,keyasint"`
	Addr        string            `cbor:"2,keyasint"` // peer transport, IP number and port
	CallerAddr  string            `cbor:"3,keyasint"` // HTTP, host and port
	Place       entity.Place      `cbor:"4,keyasint"`
	Incarnation uint32            `cbor:"5,keyasint"` // raised by the member to refute a suspicion
	State       State             `cbor:"6,keyasint"`
	AdminAddr   string            `cbor:"7,keyasint,omitempty"` // operators' API, host and port
}

// row is a member with what only this daemon knows of it.
type row struct {
	Member
	leaving     bool      // declared by the member, for this incarnation
	suspected   bool      // at this incarnation
	suspectedAt time.Time // when we raised or heard the suspicion
	bySelf      bool      // the suspicion is ours
	diedAt      time.Time
}

// refreshState derives the state from the row's flags, unless it is dead.
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

// Change says that a member's state has changed.
type Change struct {
	Member Member
	Old    State // zero for a member that was not known
}

// Envelope is a message to be sent to a peer, best effort.
type Envelope struct {
	To      entity.InstanceID // empty: whoever holds the address
	Addr    string
	Message Message
}

// Ready is what the caller has to perform.
type Ready struct {
	Send    []Envelope
	Changes []Change
	News    []News // learned from others, each version once
	Events  []event.Event
}

// Membership is the view of one daemon. It is not safe for concurrent use.
type Membership struct {
	cfg     Config
	self    *row
	rows    *entity.Table[entity.InstanceID, row]
	overlay overlay
	digest  digest
	news    newsStore
	seeds   []string
	ready   Ready

	suspects []*row // not dead yet
	dead     []*row // oldest first
	sorted   []Member
	stale    bool // sorted must be made anew

	prober prober
	gossip gossiper
	syncer syncer

	started     bool
	lastRun     time.Time
	lastContact time.Time
	cutOff      bool // no peer has answered for a while
	leaveAgain  []time.Time
	nextRejoin  time.Time
	nextSweep   time.Time
}

// New returns the view of a daemon that knows nobody yet.
func New(cfg Config) *Membership {
	cfg = cfg.Defaults()
	m := &Membership{
		cfg:   cfg,
		rows:  entity.NewTable[entity.InstanceID, row](),
		news:  newNewsStore(),
		stale: true,
	}
	m.overlay = newRings(cfg)
	m.self = &row{Member: cfg.Self}
	m.self.State = Alive
	m.rows.Put(m.self.ID, m.self)
	m.overlay.insert(m.self)
	m.digest.toggle(m.self)
	m.prober.sequence = cfg.Rand.Uint32()
	m.gossip.init()
	m.addSeeds(cfg.Seeds)
	return m
}

// Members returns all members that are not dead, by ID, this daemon included.
// The slice must not be changed; it stays as it is when members change.
func (m *Membership) Members() []Member {
	if !m.stale {
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
	m.stale = false
	return m.sorted
}

// Get returns a member, dead ones included while they are remembered.
func (m *Membership) Get(id entity.InstanceID) (Member, bool) {
	r := m.rows.Get(id)
	if r == nil {
		return Member{}, false
	}
	return r.Member, true
}

// LastContact returns when a peer last answered this daemon. A daemon that is
// alone and was given no seeds is its own contact, also after all others have
// left as planned.
func (m *Membership) LastContact() time.Time { return m.lastContact }

// Ready returns what is to be done since the last call.
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

// others returns the number of members that are not dead, without this one.
func (m *Membership) others() int { return m.rows.Len() - len(m.dead) - 1 }

// randomPeer returns a member that is alive and fits, or nil if a few tries
// find none.
func (m *Membership) randomPeer(fits func(*row) bool) *row {
	const tries = 16
	all := m.overlay.all()
	for range tries {
		r := all[m.cfg.Rand.IntN(len(all))].row
		if r != m.self && !r.suspected && fits(r) {
			return r
		}
	}
	return nil
}
