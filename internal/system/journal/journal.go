// Package journal is the durable journal of keyed requests.
package journal

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/platform"
)

// Journal is the journal as one daemon sees it.
type Journal struct {
	cfg   Config
	ready Ready
}

// New returns a journal that owns no shard yet.
func New(cfg Config) *Journal { return &Journal{cfg: cfg} }

// SetMembers tells which live daemons may own shards; leaving ones may not.
func (j *Journal) SetMembers(now time.Time, members []entity.InstanceID) {}

// Owner returns whom this daemon believes to own the key's shard.
func (j *Journal) Owner(k Key) entity.InstanceID { return j.cfg.Self }

// ShardOf returns the key's shard.
func (j *Journal) ShardOf(k Key) int { return 0 }

// Begin asks whether a request is to be run.
func (j *Journal) Begin(now time.Time, b Begin) {
	j.ready.Outcomes = append(j.ready.Outcomes, Outcome{Request: b.Request, Kind: Started})
}

// Claim makes a claim durable before dispatch.
func (j *Journal) Claim(now time.Time, id entity.RequestID, c Claim) {
	j.ready.Outcomes = append(j.ready.Outcomes, Outcome{Request: id, Kind: Claimed, Claim: &c})
}

// GiveUp ends a request without an answer.
func (j *Journal) GiveUp(now time.Time, id entity.RequestID, undispatched bool) {}

// Finish commits an answer.
func (j *Journal) Finish(now time.Time, id entity.RequestID, a Answer) {
	j.ready.Outcomes = append(j.ready.Outcomes, Outcome{Request: id, Kind: Committed, Answer: &a})
}

// Disown hands the shards over.
func (j *Journal) Disown(now time.Time) {}

// TableResult takes the result of an operation.
func (j *Journal) TableResult(now time.Time, r platform.Result) {}

// Tick does what is due.
func (j *Journal) Tick(now time.Time) {}

// Deadline returns when Tick is due next; zero when nothing is.
func (j *Journal) Deadline() time.Time { return time.Time{} }

// Ready drains what the caller must carry out.
func (j *Journal) Ready() Ready {
	r := j.ready
	j.ready = Ready{}
	return r
}
