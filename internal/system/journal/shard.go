package journal

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// shardState is this daemon's relation to a shard.
type shardState uint8

const (
	// stateNotOwned: not the owner.
	stateNotOwned shardState = iota
	// stateTakingOver: the takeover's reads and transaction are in progress.
	stateTakingOver
	// stateLoading: the owner, reading what previous owners wrote.
	stateLoading
	// stateOwned: the owner, admitting requests.
	stateOwned
	// stateResolving: no longer the owner; the new owner's journal is being
	// read for requests that have not ended.
	stateResolving
)

// shard is one shard as this daemon sees it.
type shard struct {
	index int
	state shardState
	// generation rises with every change of state. Results of operations that
	// were issued in an earlier generation are ignored.
	generation uint64

	preferredOwner entity.InstanceID // daemon that should own the shard if none does
	row            shardRow
	version        uint64   // version of the row; 0: unknown, or the row does not exist
	manifest       manifest // valid only while entries is not nil

	ownerSeen         bool      // the row's owner was seen among the members
	ownerAbsentSince  time.Time // since when the row's owner is not among the members; zero: it is
	takeoverNotBefore time.Time // no takeover before this time
	takeoverTimerAt   time.Time // when a timer will check whether a takeover is due; zero: no timer
	recentLosses      int       // how often ownership was lost in short succession
	ownedSince        time.Time
	releasing         bool

	entries  map[keyHash]*entry
	requests *entity.Table[entity.RequestID, request]
	waiting  []entity.RequestID

	pendingRecords []pendingRecord
	unwrittenBytes int // of records and bodies that are not durable yet
	currentWrite   *write
	sequence       uint64    // number of the latest batch row in this epoch
	lastWrite      time.Time // when the latest write was started
	writeScheduled bool      // a timer will start the next write
	pendingChange  *rowChange

	rowOrder     []orderedRecord // committed records in the order of their rows
	hotBytes     int             // total size of the records in rowOrder
	cachedKeys   []keyHash       // keys in memory whose records are in segments too, oldest first
	segments     []*segment
	segmentCount uint64 // number of segments named in this epoch
	sealing      bool   // records are being sealed or segments merged
}

func newShard(index int) *shard {
	return &shard{index: index, requests: entity.NewTable[entity.RequestID, request]()}
}

// orderedRecord is the key, row and size of a committed record.
type orderedRecord struct {
	hash keyHash
	row  string
	size int // bytes
}

// entry is what the owner of a shard knows about one key.
type entry struct {
	digest     entity.Digest
	repeatable bool
	record     record // latest durable record; Kind is recordNone if there is none
	row        string // sort key of the record's row; empty if a segment contains the record

	leader            entity.RequestID // request that runs for the key here, if any
	joined            []entity.RequestID
	pendingAnswer     *Answer // finished, but not durable yet
	undispatchedClaim *Claim  // claim given up before dispatch, not recorded as such yet
	pendingCount      int     // number of the key's records that are not durable yet
}

// idle reports whether no request uses the entry and all its state is durable.
func (e *entry) idle() bool {
	return e.leader == "" && len(e.joined) == 0 && e.pendingAnswer == nil && e.undispatchedClaim == nil && e.pendingCount == 0
}

// hasOpenClaim reports whether the key's durable record is a claim that may
// have been dispatched.
func (e *entry) hasOpenClaim() bool {
	if e.record.Kind != recordClaimed {
		return false
	}
	c := e.record.Claim
	return e.undispatchedClaim == nil || e.undispatchedClaim.Request != c.Request || e.undispatchedClaim.Attempt != c.Attempt
}

// dropIfUnknown removes the entry if nothing is known about its key.
func (s *shard) dropIfUnknown(h keyHash, e *entry) {
	if e.idle() && e.record.Kind == recordNone {
		delete(s.entries, h)
	}
}

// applyRecord applies a durable record to its key's entry. An entry that has an
// answer keeps it.
func (s *shard) applyRecord(rec record, row string) *entry {
	e := s.entries[rec.Hash]
	if e == nil {
		e = &entry{}
		s.entries[rec.Hash] = e
	}
	if e.record.Kind == recordAnswered {
		return e
	}
	e.digest, e.repeatable = rec.Digest, rec.Repeatable
	e.record, e.row = rec, row
	s.rowOrder = append(s.rowOrder, orderedRecord{hash: rec.Hash, row: row, size: rec.size()})
	s.hotBytes += rec.size()
	return e
}

// writesBlocked reports whether the shard's writes fail or take too long.
func (j *Journal) writesBlocked(now time.Time, s *shard) bool {
	if j.tableDown {
		return true
	}
	w := s.currentWrite
	return w != nil && (w.failures > 0 || now.Sub(w.started) > j.cfg.StoreTimeout/2)
}
