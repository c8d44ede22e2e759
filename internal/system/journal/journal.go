// Package journal is the durable journal of keyed requests.
//
// Keys hash to a fixed number of shards. Each shard has a row with an epoch
// and an owner; a takeover raises the epoch. The owner appends rows of records
// in transactions that check the version of the shard's row, so that an owner
// that was paused over a takeover can commit nothing, whatever its clock says.
// Claims are committed before dispatch and answers before release.
//
// The package does no I/O: operations leave through Ready and come back
// through TableResult.
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
	cfg      Config
	shards   []*shard
	requests map[entity.RequestID]*request
	members  []entity.InstanceID
	leavers  []entity.InstanceID
	// membersSince is when the members changed last.
	membersSince time.Time
	leaving      bool
	joined       bool // SetMembers was called

	calls    map[provider.OperationID]func(now time.Time, r provider.Result)
	lastCall provider.OperationID
	lastOp   uint64
	opPrefix string

	timers    timers
	timerSeq  uint64
	nextWrite time.Time // when the write budget allows the next write
	down      bool
	polling   bool
	refreshed time.Time // when Refresh started a read last
	pollSeq   uint64

	ready Ready
}

// New returns a journal that owns no shard yet.
func New(cfg Config) *Journal {
	cfg = withDefaults(cfg)
	self := sha256.Sum256([]byte(cfg.Self))
	j := &Journal{
		cfg:      cfg,
		requests: make(map[entity.RequestID]*request),
		calls:    make(map[provider.OperationID]func(time.Time, provider.Result)),
		opPrefix: fmt.Sprintf("%x%08x", self[:4], cfg.Rand.Uint32()),
	}
	for i := range cfg.Shards {
		j.shards = append(j.shards, newShard(i))
	}
	return j
}

// ShardOf returns the key's shard.
func (j *Journal) ShardOf(k Key) int { return hashOf(k).shard(j.cfg.Shards) }

// TableResult takes the result of an operation.
func (j *Journal) TableResult(now time.Time, r provider.Result) {
	done, ok := j.calls[r.ID]
	if !ok {
		return
	}
	delete(j.calls, r.ID)
	done(now, r)
}

// Tick does what is due.
func (j *Journal) Tick(now time.Time) {
	for len(j.timers) > 0 && !j.timers[0].at.After(now) {
		heap.Pop(&j.timers).(timer).fire(now)
	}
}

// Deadline returns when Tick is due next; zero when nothing is.
func (j *Journal) Deadline() time.Time {
	if len(j.timers) == 0 {
		return time.Time{}
	}
	return j.timers[0].at
}

// Ready drains what the caller must carry out.
func (j *Journal) Ready() Ready {
	r := j.ready
	j.ready = Ready{}
	return r
}

// call issues an operation; done gets its result.
func (j *Journal) call(op provider.Operation, done func(now time.Time, r provider.Result)) {
	j.lastCall++
	op.ID = j.lastCall
	j.calls[op.ID] = done
	j.ready.Operations = append(j.ready.Operations, op)
}

// callTable is call for operations on the table; it notes whether the table answers.
func (j *Journal) callTable(op provider.Operation, done func(now time.Time, r provider.Result)) {
	j.call(op, func(now time.Time, r provider.Result) {
		j.noteTable(now, answered(r.Err))
		done(now, r)
	})
}

// answered tells whether the table service gave a definite answer.
func answered(err error) bool {
	return err == nil || errors.Is(err, provider.ErrNotFound) || errors.Is(err, provider.ErrConditionFailed)
}

// noteTable keeps track of whether the table answers.
func (j *Journal) noteTable(now time.Time, up bool) {
	if up == !j.down {
		return
	}
	j.down = !up
	if j.down {
		j.emit(now, event.JournalTableDown, "")
		j.pollIn(now, downPollEvery)
		return
	}
	j.emit(now, event.JournalTableUp, "")
	for _, s := range j.shards {
		j.admitWaiting(now, s)
	}
}

// newOperation returns an id that no other write of any daemon has.
func (j *Journal) newOperation() string {
	j.lastOp++
	return fmt.Sprintf("%s%016x", j.opPrefix, j.lastOp)
}

func (j *Journal) emit(now time.Time, n event.Number, detail string) {
	j.ready.Events = append(j.ready.Events, event.Event{Number: n, At: now, Detail: detail})
}

func (j *Journal) outcome(o Outcome) { j.ready.Outcomes = append(j.ready.Outcomes, o) }

// mustEncode encodes a value of this package's own types, which cannot fail.
func mustEncode(v any) []byte {
	data, err := codec.Encode(v)
	if err != nil {
		panic(err)
	}
	return data
}
