package journal

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// shardState is what this daemon is to a shard.
type shardState uint8

const (
	// stateForeign: not the owner.
	stateForeign shardState = iota
	// stateTaking: the takeover's transaction is under way.
	stateTaking
	// stateLoading: the owner, reading what its predecessors wrote.
	stateLoading
	// stateOwned: the owner.
	stateOwned
	// stateFollowing: ownership is lost; the winner's journal is being read.
	stateFollowing
)

// shard is one shard as this daemon sees it.
type shard struct {
	index int
	state shardState
	// generation rises with every change of state that makes results of
	// earlier operations void.
	generation uint64

	wanted   entity.InstanceID // who should own the shard if nobody does
	row      shardRow
	version  uint64   // of the row; 0: not known or not there
	manifest manifest // as long as entries are held

	ownerSeen   bool      // the row's owner was seen among the members
	absentSince time.Time // the row's owner is not among the members since
	notBefore   time.Time // no takeover before
	evaluateAt  time.Time // a timer is set to look whether a takeover is due
	losses      int       // ownership lost in short succession
	ownedSince  time.Time
	releasing   bool

	entries  map[keyHash]*entry
	requests *entity.Table[entity.RequestID, request]
	waiting  []entity.RequestID

	pending   []pendingRecord
	heldBytes int
	write     *write
	sequence  uint64
	lastWrite time.Time
	armed     bool // a timer will start the next write
	change    *rowChange

	order    []ordered // committed entries by the row of their record
	hotBytes int       // their size
	cached   []keyHash // entries read back from segments
	segments []*segment
	named    uint64 // segments named under this epoch so far
	sealing  bool
}

func newShard(index int) *shard {
	return &shard{index: index, requests: entity.NewTable[entity.RequestID, request]()}
}

// ordered is an entry's place in the order of rows.
type ordered struct {
	hash keyHash
	row  string
	size int // bytes
}

// entry is what the owner knows of one key.
type entry struct {
	digest     entity.Digest
	repeatable bool
	record     record // last durable state; Kind is recordNone if there is none
	row        string // row of the record; empty if a segment holds it

	leader  entity.RequestID // request that runs here, if any
	joined  []entity.RequestID
	answer  *Answer // finished, not durable yet
	givenUp *Claim  // given up undispatched, not recorded yet
	holds   int     // records not durable yet
}

// idle tells that the entry holds nothing that is not durable.
func (e *entry) idle() bool {
	return e.leader == "" && len(e.joined) == 0 && e.answer == nil && e.givenUp == nil && e.holds == 0
}

// standing tells whether the entry's durable claim may have been dispatched.
func (e *entry) standing() bool {
	if e.record.Kind != recordClaimed {
		return false
	}
	c := e.record.Claim
	return e.givenUp == nil || e.givenUp.Request != c.Request || e.givenUp.Attempt != c.Attempt
}

// drop removes the entry if nothing is known of its key.
func (s *shard) drop(h keyHash, e *entry) {
	if e.idle() && e.record.Kind == recordNone {
		delete(s.entries, h)
	}
}

// apply takes over a durable record.
func (s *shard) apply(rec record, row string) *entry {
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
	s.order = append(s.order, ordered{hash: rec.Hash, row: row, size: rec.size()})
	s.hotBytes += rec.size()
	return e
}

// blocked tells whether the shard's writes do not get through.
func (j *Journal) blocked(now time.Time, s *shard) bool {
	if j.down {
		return true
	}
	w := s.write
	return w != nil && (w.failures > 0 || now.Sub(w.started) > j.cfg.TryFor/2)
}
