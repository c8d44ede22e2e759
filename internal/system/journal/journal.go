// Package journal is the durable journal of keyed requests.
//
// Keys hash to a fixed number of shards. Each shard has a row in the table
// service with an epoch and an owner; a takeover by another daemon raises the
// epoch. The owner appends rows of records in transactions that check the
// version of the shard's row. So an owner that was paused during a takeover
// cannot commit anything afterwards, whatever its clock says. A claim is
// committed before the request is dispatched, and an answer before it is
// released to callers.
//
// The package does no I/O: the caller receives operations from Ready and passes
// their results to TableResult.
package journal

import (
	"container/heap"
	"crypto/sha256"
	"errors"
	"fmt"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

// Journal is the journal of keyed requests as one daemon sees it. It is not
// safe for concurrent use.
type Journal struct {
	cfg            Config
	shards         []*shard
	requests       map[entity.RequestID]*request
	members        []entity.InstanceID
	leavingDaemons []entity.InstanceID
	// membersChangedAt is when members last changed.
	membersChangedAt time.Time
	leaving          bool // this daemon hands over all its shards
	membersKnown     bool // SetMembers was called at least once

	resultHandlers  map[provider.OperationID]func(now time.Time, r provider.Result)
	lastOperationID provider.OperationID
	writeIDCount    uint64
	writeIDPrefix   string

	timers       timers
	timerSeq     uint64
	nextWriteAt  time.Time // earliest time at which the write budget allows a write
	tableDown    bool
	polling      bool
	lastRefresh  time.Time // when an early read of the shard rows was last started
	pollTimerSeq uint64

	ready Ready
}

// New returns a journal that owns no shard yet.
func New(cfg Config) *Journal {
	cfg = withDefaults(cfg)
	self := sha256.Sum256([]byte(cfg.Self))
	j := &Journal{
		cfg:            cfg,
		requests:       make(map[entity.RequestID]*request),
		resultHandlers: make(map[provider.OperationID]func(time.Time, provider.Result)),
		writeIDPrefix:  fmt.Sprintf("%x%08x", self[:4], cfg.Rand.Uint32()),
	}
	for i := range cfg.Shards {
		j.shards = append(j.shards, newShard(i))
	}
	return j
}

// ShardOf returns the number of the key's shard.
func (j *Journal) ShardOf(k Key) int { return hashKey(k).shard(j.cfg.Shards) }

// TableResult receives the result of an operation that Ready returned.
func (j *Journal) TableResult(now time.Time, r provider.Result) {
	done, ok := j.resultHandlers[r.ID]
	if !ok {
		return
	}
	delete(j.resultHandlers, r.ID)
	done(now, r)
}

// Tick fires the timers that are due.
func (j *Journal) Tick(now time.Time) {
	for len(j.timers) > 0 && !j.timers[0].at.After(now) {
		heap.Pop(&j.timers).(timer).fire(now)
	}
}

// Deadline returns when Tick is due next; the zero time if no timer is set.
func (j *Journal) Deadline() time.Time {
	if len(j.timers) == 0 {
		return time.Time{}
	}
	return j.timers[0].at
}

// Ready returns what the caller must carry out, and clears it.
func (j *Journal) Ready() Ready {
	r := j.ready
	j.ready = Ready{}
	return r
}

// issueOperation issues an operation; done is called with its result.
func (j *Journal) issueOperation(op provider.Operation, done func(now time.Time, r provider.Result)) {
	j.lastOperationID++
	op.ID = j.lastOperationID
	j.resultHandlers[op.ID] = done
	j.ready.Operations = append(j.ready.Operations, op)
}

// issueTableOperation is issueOperation for the table service; it also records
// whether the table service answers.
func (j *Journal) issueTableOperation(op provider.Operation, done func(now time.Time, r provider.Result)) {
	j.issueOperation(op, func(now time.Time, r provider.Result) {
		j.setTableUp(now, isTableResponse(r.Err))
		done(now, r)
	})
}

// isTableResponse reports whether err is a definite response of the table
// service rather than a failure to get one.
func isTableResponse(err error) bool {
	return err == nil || errors.Is(err, provider.ErrNotFound) || errors.Is(err, provider.ErrConditionFailed)
}

// setTableUp records whether the table service answers. When it answers again,
// the waiting requests are admitted.
func (j *Journal) setTableUp(now time.Time, up bool) {
	if up == !j.tableDown {
		return
	}
	j.tableDown = !up
	if j.tableDown {
		j.emitEvent(now, event.JournalTableDown, "")
		j.schedulePoll(now, tableDownPollInterval)
		return
	}
	j.emitEvent(now, event.JournalTableUp, "")
	for _, s := range j.shards {
		j.admitWaiting(now, s)
	}
}

// newWriteID returns an ID that no other write of any daemon has.
func (j *Journal) newWriteID() string {
	j.writeIDCount++
	return fmt.Sprintf("%s%016x", j.writeIDPrefix, j.writeIDCount)
}

func (j *Journal) emitEvent(now time.Time, n event.Number, detail string) {
	j.ready.Events = append(j.ready.Events, event.Event{Number: n, At: now, Detail: detail})
}

func (j *Journal) emitOutcome(o Outcome) { j.ready.Outcomes = append(j.ready.Outcomes, o) }

// mustEncode encodes a value of one of this package's types, which cannot fail.
func mustEncode(v any) []byte {
	data, err := codec.Encode(v)
	if err != nil {
		panic(err)
	}
	return data
}
