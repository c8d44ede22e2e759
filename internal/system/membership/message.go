package membership

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// MessageKind is the purpose of a message.
type MessageKind uint8

const (
	// Ping requests an Ack with the same sequence number.
	Ping MessageKind = iota + 1
	// Ack answers a Ping.
	Ack
	// PingRequest asks a member to ping Target and to forward the answer.
	PingRequest
	// IndirectAck reports to the sender of a PingRequest that Target has
	// answered.
	IndirectAck
	// Gossip carries changed members and records.
	Gossip
	// Sync carries the sender's digest for comparison. Daemons also join with
	// it.
	Sync
	// SyncReply answers a Sync with the entries that its sender may lack.
	SyncReply
	// SyncPush answers a SyncReply with the entries that its sender lacks.
	SyncPush
)

// Message is a membership message between daemons. Only the fields of its kind
// are set; Incarnation, Leaving and Digest describe the sender in every
// message.
type Message struct {
	Kind             MessageKind    `cbor:"1,keyasint"`
	Sequence         uint32         `cbor:"2,keyasint,omitempty"`
	Incarnation      uint32         `cbor:"3,keyasint,omitempty"`
	Leaving          bool           `cbor:"4,keyasint,omitempty"`
	Digest           uint64         `cbor:"5,keyasint,omitempty"`
	ReceiverUnknown  bool           `cbor:"6,keyasint,omitempty"` // Ack: its sender does not know the receiver as a member
	Target           Target         `cbor:"7,keyasint,omitzero"`
	Updates          []Update       `cbor:"8,keyasint,omitempty"`
	Records          []GossipRecord `cbor:"9,keyasint,omitempty"`
	Buckets          []uint64       `cbor:"10,keyasint,omitempty"` // Sync: digest of each bucket
	DifferingBuckets []uint8        `cbor:"11,keyasint,omitempty"` // SyncReply: indices of the buckets whose digests differ
}

// Target is the member that a PingRequest or an IndirectAck refers to.
type Target struct {
	ID   entity.InstanceID `cbor:"1,keyasint"`
	Addr string            `cbor:"2,keyasint,omitempty"`
}

// Update is the sender's view of one member. Of two updates of a member, the
// one with the higher incarnation takes precedence; at the same incarnation,
// the one with the suspicion does.
type Update struct {
	ID          entity.InstanceID `cbor:"1,keyasint"`
	Incarnation uint32            `cbor:"2,keyasint,omitempty"`
	Leaving     bool              `cbor:"3,keyasint,omitempty"`
	Suspected   bool              `cbor:"4,keyasint,omitempty"`
	Detail      *Detail           `cbor:"5,keyasint,omitempty"` // nil if the receiver is expected to know it
}

// Detail holds the properties of a member that never change.
type Detail struct {
	Addr       string          `cbor:"1,keyasint"`
	CallerAddr string          `cbor:"2,keyasint,omitempty"`
	Location   entity.Location `cbor:"3,keyasint,omitzero"`
	AdminAddr  string          `cbor:"4,keyasint,omitempty"`
}

// GossipRecord is a Record in a message. It carries an age instead of a
// timestamp, so that clocks of different daemons are never compared.
type GossipRecord struct {
	Topic     Topic  `cbor:"1,keyasint"`
	Key       string `cbor:"2,keyasint"`
	Version   uint64 `cbor:"3,keyasint"`
	Body      []byte `cbor:"4,keyasint,omitempty"`
	AgeMillis uint32 `cbor:"5,keyasint,omitempty"`
}

func (r *row) update(withDetail bool) Update {
	u := Update{ID: r.ID, Incarnation: r.Incarnation, Leaving: r.leaving, Suspected: r.suspected}
	if withDetail {
		u.Detail = &Detail{Addr: r.Addr, CallerAddr: r.CallerAddr, Location: r.Location, AdminAddr: r.AdminAddr}
	}
	return u
}

// Approximate encoded sizes without the variable-length fields, used for
// filling packets.
const (
	updateOverheadBytes = 12
	detailOverheadBytes = 16
	recordOverheadBytes = 24
)

func (u *Update) size() int {
	n := updateOverheadBytes + len(u.ID)
	if d := u.Detail; d != nil {
		n += detailOverheadBytes + len(d.Addr) + len(d.CallerAddr) + len(d.AdminAddr) + len(d.Location.Region) + len(d.Location.DataCentre)
	}
	return n
}

func (r *GossipRecord) size() int { return recordOverheadBytes + len(r.Key) + len(r.Body) }

// valid reports whether a message from a peer keeps to the limits. Its updates
// and records are checked one by one when they are merged.
func (msg *Message) valid() bool {
	if msg.Kind < Ping || msg.Kind > SyncPush || msg.Incarnation >= maxIncarnation {
		return false
	}
	if len(msg.Updates) > maxUpdatesPerMessage || len(msg.Records) > maxRecordsPerMessage {
		return false
	}
	if msg.Kind == Sync && len(msg.Buckets) != bucketCount {
		return false
	}
	if len(msg.DifferingBuckets) > bucketCount {
		return false
	}
	return len(msg.Target.ID) <= maxIDBytes && len(msg.Target.Addr) <= maxAddrBytes
}

func (u *Update) valid() bool {
	if u.ID == "" || len(u.ID) > maxIDBytes || u.Incarnation >= maxIncarnation {
		return false
	}
	return u.Detail == nil || u.Detail.valid()
}

func (d *Detail) valid() bool {
	return d.Addr != "" && len(d.Addr) <= maxAddrBytes && len(d.CallerAddr) <= maxAddrBytes && len(d.AdminAddr) <= maxAddrBytes &&
		len(d.Location.Region) <= maxLocationBytes && len(d.Location.DataCentre) <= maxLocationBytes
}

func (r *GossipRecord) valid() bool {
	return r.Topic != 0 && len(r.Key) <= maxRecordKeyBytes && len(r.Body) <= maxRecordBodyBytes
}

func (r *GossipRecord) age() time.Duration { return time.Duration(r.AgeMillis) * time.Millisecond }
