package journal

import (
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// recordKind says what a record states of its key.
type recordKind uint8

const (
	recordNone recordKind = iota
	// recordClaimed: the request may have been dispatched under Claim.
	recordClaimed
	// recordUndispatched: Claim was given up by its own owner before dispatch.
	recordUndispatched
	// recordAnswered: Answer is final.
	recordAnswered
)

// record is the whole durable state of a key; a later one replaces an earlier
// one, except that the first answer stays.
type record struct {
	Hash       keyHash       `cbor:"1,keyasint"`
	Digest     entity.Digest `cbor:"2,keyasint"`
	Kind       recordKind    `cbor:"3,keyasint"`
	Repeatable bool          `cbor:"4,keyasint,omitempty"`
	Claim      *Claim        `cbor:"5,keyasint,omitempty"`
	Answer     *Answer       `cbor:"6,keyasint,omitempty"`
	At         int64         `cbor:"7,keyasint"` // Unix microseconds
}

const recordOverhead = 160 // bytes of a record besides its body

func (r *record) size() int {
	n := recordOverhead
	if r.Answer != nil {
		n += len(r.Answer.Body)
	}
	return n
}

// batchRow is the value of one row of a shard: a group of records.
type batchRow struct {
	Operation string   `cbor:"1,keyasint"`
	Records   []record `cbor:"2,keyasint"`
}

// shardRow is the value of a shard's row. Every change of it raises the row's
// version, which every append checks.
type shardRow struct {
	Epoch     uint64            `cbor:"1,keyasint"`
	Owner     entity.InstanceID `cbor:"2,keyasint"`
	Operation string            `cbor:"3,keyasint"` // of the last writer
	Released  bool              `cbor:"4,keyasint,omitempty"`
	Sequence  uint64            `cbor:"5,keyasint"` // last row when this was written
}

// manifest is the value of the row that says where a shard's older records
// are. It is written together with the shard's row only.
type manifest struct {
	Sealed   string       `cbor:"1,keyasint"` // rows up to this sort key are in segments
	Segments []segmentRef `cbor:"2,keyasint"` // oldest first
}

// segmentRef describes one segment.
type segmentRef struct {
	Name  string `cbor:"1,keyasint"`
	Keys  int    `cbor:"2,keyasint"`
	Bits  int    `cbor:"3,keyasint"` // the segment has 1<<Bits parts
	Level int    `cbor:"4,keyasint,omitempty"`
	Until int64  `cbor:"5,keyasint"` // time of the newest record, Unix microseconds
}
