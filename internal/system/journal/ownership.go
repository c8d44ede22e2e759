package journal

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	rendezvous "github.com/dgryski/go-rendezvous"

	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

// minRefreshInterval is the minimum time between two early reads of the shard
// rows.
const minRefreshInterval = 200 * time.Millisecond

// SetMembers sets the live daemons that may own shards, without those that are
// leaving.
func (j *Journal) SetMembers(now time.Time, members []entity.InstanceID) {
	sorted := slices.Sorted(slices.Values(members))
	if j.membersKnown && slices.Equal(sorted, j.members) {
		return
	}
	j.members = sorted
	j.membersChangedAt = now
	j.assignOwners()
	if !j.membersKnown {
		j.membersKnown = true
		j.pollShardRows(now)
	}
	for _, s := range j.shards {
		j.evaluateTakeover(now, s)
		if s.state == stateNotOwned || s.state == stateResolving {
			j.rerouteWaiting(now, s)
		}
	}
}

// SetLeaving sets the daemons that are about to leave. They keep the shards
// that they own until they release them or disappear, and get no others. It
// must be called before SetMembers.
func (j *Journal) SetLeaving(daemons []entity.InstanceID) { j.leavingDaemons = daemons }

// alive reports whether a daemon can own shards. A member can own any, a leaving
// daemon only those that it already has.
func (j *Journal) alive(id entity.InstanceID) bool {
	_, found := slices.BinarySearch(j.members, id)
	return found || slices.Contains(j.leavingDaemons, id)
}

// RefreshShards reads the shard rows before the next poll is due, because another
// daemon has reported that it does not own a shard that it was believed to own.
// It does nothing if a read is in progress or was started less than
// minRefreshInterval ago.
func (j *Journal) RefreshShards(now time.Time) {
	if j.polling || now.Sub(j.lastRefresh) < minRefreshInterval {
		return
	}
	j.lastRefresh = now
	j.pollShardRows(now)
}

// Owner returns the daemon that owns the key's shard, as far as this daemon
// knows; the preferred owner if none does.
func (j *Journal) Owner(k Key) entity.InstanceID { return j.owner(j.shards[j.ShardOf(k)]) }

func (j *Journal) owner(s *shard) entity.InstanceID {
	self := j.cfg.Self
	switch {
	case s.state == stateOwned && !j.leaving:
		return self
	case s.row.Owner != "" && s.row.Owner != self && !s.row.Released && j.alive(s.row.Owner):
		return s.row.Owner
	default:
		return s.preferredOwner
	}
}

// assignOwners chooses the preferred owner of each shard by rendezvous hashing.
func (j *Journal) assignOwners() {
	nodes := make([]string, 0, len(j.members))
	for _, m := range j.members {
		if !j.leaving || m != j.cfg.Self {
			nodes = append(nodes, string(m))
		}
	}
	ring := rendezvous.New(nodes, xxhash.Sum64String)
	for _, s := range j.shards {
		s.preferredOwner = ""
		if len(nodes) > 0 {
			s.preferredOwner = entity.InstanceID(ring.Lookup(shardSortKey(s.index)))
		}
	}
}

// schedulePoll sets the time of the next poll, replacing the one set before.
func (j *Journal) schedulePoll(now time.Time, d time.Duration) {
	j.pollTimerSeq++
	seq := j.pollTimerSeq
	j.schedule(now.Add(j.jitter(d)), func(now time.Time) {
		if j.pollTimerSeq == seq {
			j.pollShardRows(now)
		}
	})
}

// pollShardRows reads all shard rows. The read may be stale: it only determines
// which daemon to ask and whether a takeover is worth trying.
func (j *Journal) pollShardRows(time.Time) {
	if j.polling {
		return
	}
	j.polling = true
	op := provider.Operation{Kind: provider.QueryRows, Partition: shardPartition, Limit: j.cfg.Shards}
	j.issueTableOperation(op, func(now time.Time, r provider.Result) {
		j.polling = false
		j.schedulePoll(now, j.nextPollDelay(r.Err != nil))
		for _, row := range r.Rows {
			j.applyPolledRow(now, row)
		}
		if r.Err == nil {
			j.rebalance(now)
		}
	})
}

// nextPollDelay returns the time to the next poll: a short one while the table
// service does not answer, or while a takeover is scheduled, since the absent
// owner may release the shard before.
func (j *Journal) nextPollDelay(failed bool) time.Duration {
	if failed {
		return min(j.cfg.RefreshInterval, tableDownPollInterval)
	}
	for _, s := range j.shards {
		if !s.takeoverTimerAt.IsZero() {
			return min(j.cfg.RefreshInterval, j.cfg.TakeoverDelay/2)
		}
	}
	return j.cfg.RefreshInterval
}

func (j *Journal) applyPolledRow(now time.Time, row provider.Row) {
	var index int
	if n, err := fmt.Sscanf(row.Sort, "shard/%d", &index); n != 1 || err != nil || index >= len(j.shards) || index < 0 {
		return
	}
	if value, ok := j.decodeShardRow(now, row); ok {
		j.applyShardRow(now, j.shards[index], value, row.Version)
	}
}

func (j *Journal) decodeShardRow(now time.Time, row provider.Row) (shardRow, bool) {
	var value shardRow
	if err := codec.Decode(row.Value, &value); err != nil {
		j.emitEvent(now, event.JournalRowUnreadable, row.Partition+" "+row.Sort)
		return shardRow{}, false
	}
	return value, true
}

// applyShardRow applies a shard's row that was read. The epoch and the row's
// version only rise, so an older row is recognised and ignored.
func (j *Journal) applyShardRow(now time.Time, s *shard, row shardRow, version uint64) {
	switch s.state {
	case stateLoading, stateOwned:
		if row.Epoch > s.row.Epoch {
			j.loseShard(now, s, row, version)
		}
	case stateNotOwned:
		if version > s.version {
			s.setRow(row, version)
		}
		j.evaluateTakeover(now, s)
	}
}

func (s *shard) setRow(row shardRow, version uint64) {
	if row.Owner != s.row.Owner {
		s.ownerSeen = false
		s.ownerAbsentSince = time.Time{}
	}
	s.row, s.version = row, version
}

// setState changes the shard's state. Results of operations that were issued in
// the previous state are ignored.
func (s *shard) setState(state shardState) {
	s.state = state
	s.generation++
	s.takeoverTimerAt = time.Time{}
}

// ifStateUnchanged returns a result handler that calls f only if the shard's
// state has not changed since the operation was issued.
func (j *Journal) ifStateUnchanged(s *shard, f func(time.Time, provider.Result)) func(time.Time, provider.Result) {
	generation := s.generation
	return func(now time.Time, r provider.Result) {
		if s.generation == generation {
			f(now, r)
		}
	}
}

// scheduleForShard calls f after the delay d unless the shard's state changes
// before.
func (j *Journal) scheduleForShard(now time.Time, s *shard, d time.Duration, f func(time.Time)) {
	generation := s.generation
	j.schedule(now.Add(d), func(now time.Time) {
		if s.generation == generation {
			f(now)
		}
	})
}
