package journal

import (
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// recordKind is what a record states about its key.
type recordKind uint8

const (
	recordNone recordKind = iota
	// recordClaimed: the request may have been dispatched under Claim.
	recordClaimed
	// recordUndispatched: Claim was given up before dispatch by the daemon that
	// made it.
	recordUndispatched
	// recordAnswered: Answer is final.
	recordAnswered
)

// record is the complete durable state of a key. A later record replaces an
// earlier one, except that the first answer stays.
type record struct {
	Hash       keyHash       `cbor:"1,keyasint"`
	Digest     entity.Digest `cbor:"2,keyasint"`
	Kind       recordKind    `cbor:"3,keyasint"`
	Repeatable bool          `cbor:"4,keyasint,omitempty"`
	Claim      *Claim        `cbor:"5,keyasint,omitempty"`
	Answer     *Answer       `cbor:"6,keyasint,omitempty"`
	At         int64         `cbor:"7,keyasint"` // when the record was made, Unix microseconds
}

const recordOverheadBytes = 160 // estimated size of a record without its answer's body

func (r *record) size() int {
	n := recordOverheadBytes
	if r.Answer != nil {
		n += len(r.Answer.Body)
	}
	return n
}

// batchRow is the value of one row of a shard's journal: records that were
// appended together.
type batchRow struct {
	WriteID string   `cbor:"1,keyasint"`
	Records []record `cbor:"2,keyasint"`
}

// shardRow is the value of a shard's row. Every change raises the row's
// version, which every append checks.
type shardRow struct {
	Epoch    uint64            `cbor:"1,keyasint"`
	Owner    entity.InstanceID `cbor:"2,keyasint"`
	WriteID  string            `cbor:"3,keyasint"` // ID of the write that last changed the row
	Released bool              `cbor:"4,keyasint,omitempty"`
	Sequence uint64            `cbor:"5,keyasint"` // sequence number of the last batch row when this was written
}

// manifest is the value of the row that lists the segments with a shard's older
// records. It is only written in one transaction with the shard's row.
type manifest struct {
	Sealed   string       `cbor:"1,keyasint"` // batch rows up to this sort key are in segments
	Segments []segmentRef `cbor:"2,keyasint"` // oldest first
}

// segmentRef describes a segment in the manifest.
type segmentRef struct {
	Name  string `cbor:"1,keyasint"`
	Keys  int    `cbor:"2,keyasint"`
	Bits  int    `cbor:"3,keyasint"` // the segment has 1<<Bits parts
	Level int    `cbor:"4,keyasint,omitempty"`
	Until int64  `cbor:"5,keyasint"` // time of the newest record, Unix microseconds
}
