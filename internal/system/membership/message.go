package membership

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// MessageKind says what a message is for.
type MessageKind uint8

const (
	// Ping asks for an Ack with the same sequence number.
	Ping MessageKind = iota + 1
	// Ack answers a Ping.
	Ack
	// PingRequest asks a member to ping Target and to pass the answer on.
	PingRequest
	// IndirectAck passes on that Target has answered.
	IndirectAck
	// Gossip carries changes.
	Gossip
	// Sync compares digests; it is also how a daemon joins.
	Sync
	// SyncReply carries what the sender of a Sync may lack.
	SyncReply
	// SyncPush carries what the sender of a SyncReply lacks.
	SyncPush
)

// Message is what daemons exchange. Only the fields of its kind are set;
// Incarnation, Leaving and Digest describe the sender in every message.
type Message struct {
	Kind        MessageKind  `cbor:"1,keyasint"`
	Sequence    uint32       `cbor:"2,keyasint,omitempty"`
	Incarnation uint32       `cbor:"3,keyasint,omitempty"`
	Leaving     bool         `cbor:"4,keyasint,omitempty"`
	Digest      uint64       `cbor:"5,keyasint,omitempty"`
	Stranger    bool         `cbor:"6,keyasint,omitempty"` // Ack: the receiver is not known to the sender
	Target      Target       `cbor:"7,keyasint,omitzero"`
	Updates     []Update     `cbor:"8,keyasint,omitempty"`
	News        []NewsRecord `cbor:"9,keyasint,omitempty"`
	Buckets     []uint64     `cbor:"10,keyasint,omitempty"` // Sync: digest of each bucket
	Want        []uint8      `cbor:"11,keyasint,omitempty"` // SyncReply: buckets that differ
}

// Target is the member that a PingRequest or IndirectAck is about.
type Target struct {
	ID   entity.InstanceID `cbor:"1,keyasint"`
	Addr string            `cbor:"2,keyasint,omitempty"`
}

// Update is what the sender holds of one member. Of two updates of a member,
// the one with the higher incarnation counts; of equal ones, the suspicion.
type Update struct {
	ID          entity.InstanceID `cbor:"1,keyasint"`
	Incarnation uint32            `cbor:"2,keyasint,omitempty"`
	Leaving     bool              `cbor:"3,keyasint,omitempty"`
	Suspected   bool              `cbor:"4,keyasint,omitempty"`
	Detail      *Detail           `cbor:"5,keyasint,omitempty"` // nil where the receiver should know it
}

// Detail is what never changes of a member.
type Detail struct {
	Addr       string       `cbor:"1,keyasint"`
	CallerAddr string       `cbor:"2,keyasint,omitempty"`
	Place      entity.Place `cbor:"3,keyasint,omitzero"`
	AdminAddr  string       `cbor:"4,keyasint,omitempty"`
}

// NewsRecord is a piece of news on its way. Its age is relative, so that no
// clock is compared with another.
type NewsRecord struct {
	Topic     Topic  `cbor:"1,keyasint"`
	Key       string `cbor:"2,keyasint"`
	Version   uint64 `cbor:"3,keyasint"`
	Body      []byte `cbor:"4,keyasint,omitempty"`
	AgeMillis uint32 `cbor:"5,keyasint,omitempty"`
}

func (r *row) update(full bool) Update {
	u := Update{ID: r.ID, Incarnation: r.Incarnation, Leaving: r.leaving, Suspected: r.suspected}
	if full {
		u.Detail = &Detail{Addr: r.Addr, CallerAddr: r.CallerAddr, Place: r.Place, AdminAddr: r.AdminAddr}
	}
	return u
}

// Rough sizes of encodings, for filling packets.
const (
	updateBytes = 12
	detailBytes = 16
	recordBytes = 24
)

func (u *Update) size() int {
	n := updateBytes + len(u.ID)
	if d := u.Detail; d != nil {
		n += detailBytes + len(d.Addr) + len(d.CallerAddr) + len(d.AdminAddr) + len(d.Place.Region) + len(d.Place.DataCentre)
	}
	return n
}

func (r *NewsRecord) size() int { return recordBytes + len(r.Key) + len(r.Body) }

// valid says whether a message from a peer keeps to the limits. The contents
// are checked one by one when they are taken in.
func (msg *Message) valid() bool {
	if msg.Kind < Ping || msg.Kind > SyncPush || msg.Incarnation >= maxIncarnation {
		return false
	}
	if len(msg.Updates) > maxUpdates || len(msg.News) > maxNewsRecords {
		return false
	}
	if msg.Kind == Sync && len(msg.Buckets) != bucketCount {
		return false
	}
	if len(msg.Want) > bucketCount {
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
		len(d.Place.Region) <= maxPlaceBytes && len(d.Place.DataCentre) <= maxPlaceBytes
}

func (r *NewsRecord) valid() bool {
	return r.Topic != 0 && len(r.Key) <= maxNewsKeyBytes && len(r.Body) <= maxNewsBody
}

func (r *NewsRecord) age() time.Duration { return time.Duration(r.AgeMillis) * time.Millisecond }
