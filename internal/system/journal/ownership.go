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

// refreshPause is the least time between two reads that Refresh starts.
const refreshPause = 200 * time.Millisecond

// SetMembers tells which live daemons may own shards; leaving ones may not.
func (j *Journal) SetMembers(now time.Time, members []entity.InstanceID) {
	sorted := slices.Sorted(slices.Values(members))
	if j.joined && slices.Equal(sorted, j.members) {
		return
	}
	j.members = sorted
	j.membersSince = now
	j.place()
	if !j.joined {
		j.joined = true
		j.poll(now)
	}
	for _, s := range j.shards {
		j.evaluate(now, s)
		if s.state == stateForeign || s.state == stateFollowing {
			j.rerouteWaiting(now, s)
		}
	}
}

// SetLeaving tells which daemons are about to leave. They keep the shards that
// they own until they release them or vanish, and get no others. It must be
// called before SetMembers.
func (j *Journal) SetLeaving(daemons []entity.InstanceID) { j.leavers = daemons }

// alive reports whether a daemon can own shards, be it only those that it has.
func (j *Journal) alive(id entity.InstanceID) bool {
	_, found := slices.BinarySearch(j.members, id)
	return found || slices.Contains(j.leavers, id)
}

// Refresh reads the shard rows soon, because another daemon has said that it
// does not own what it was taken to own.
func (j *Journal) Refresh(now time.Time) {
	if j.polling || now.Sub(j.refreshed) < refreshPause {
		return
	}
	j.refreshed = now
	j.poll(now)
}

// Owner returns whom this daemon believes to own the key's shard.
func (j *Journal) Owner(k Key) entity.InstanceID { return j.owner(j.shards[j.ShardOf(k)]) }

func (j *Journal) owner(s *shard) entity.InstanceID {
	self := j.cfg.Self
	switch {
	case s.state == stateOwned && !j.leaving:
		return self
	case s.row.Owner != "" && s.row.Owner != self && !s.row.Released && j.alive(s.row.Owner):
		return s.row.Owner
	default:
		return s.wanted
	}
}

// place chooses the wanted owner of each shard by rendezvous hashing.
func (j *Journal) place() {
	nodes := make([]string, 0, len(j.members))
	for _, m := range j.members {
		if !j.leaving || m != j.cfg.Self {
			nodes = append(nodes, string(m))
		}
	}
	ring := rendezvous.New(nodes, xxhash.Sum64String)
	for _, s := range j.shards {
		s.wanted = ""
		if len(nodes) > 0 {
			s.wanted = entity.InstanceID(ring.Lookup(shardSort(s.index)))
		}
	}
}

// pollIn sets the time of the next poll anew.
func (j *Journal) pollIn(now time.Time, d time.Duration) {
	j.pollSeq++
	seq := j.pollSeq
	j.at(now.Add(j.jitter(d)), func(now time.Time) {
		if j.pollSeq == seq {
			j.poll(now)
		}
	})
}

// poll reads all shard rows. The read may be stale: it only tells whom to
// ask and whether a takeover is worth trying.
func (j *Journal) poll(time.Time) {
	if j.polling {
		return
	}
	j.polling = true
	op := provider.Operation{Kind: provider.QueryRows, Partition: shardPartition, Limit: j.cfg.Shards}
	j.callTable(op, func(now time.Time, r provider.Result) {
		j.polling = false
		j.pollIn(now, j.nextPoll(r.Err != nil))
		for _, row := range r.Rows {
			j.polled(now, row)
		}
		if r.Err == nil {
			j.rebalance(now)
		}
	})
}

// nextPoll returns the time to the next poll: a short one while the table does
// not answer, or while a shard whose owner is gone may be released.
func (j *Journal) nextPoll(failed bool) time.Duration {
	if failed {
		return min(j.cfg.RefreshEvery, downPollEvery)
	}
	for _, s := range j.shards {
		if !s.evaluateAt.IsZero() {
			return min(j.cfg.RefreshEvery, j.cfg.TakeoverDelay/2)
		}
	}
	return j.cfg.RefreshEvery
}

func (j *Journal) polled(now time.Time, row provider.Row) {
	var index int
	if n, err := fmt.Sscanf(row.Sort, "shard/%d", &index); n != 1 || err != nil || index >= len(j.shards) || index < 0 {
		return
	}
	if value, ok := j.decodeShard(now, row); ok {
		j.learn(now, j.shards[index], value, row.Version)
	}
}

func (j *Journal) decodeShard(now time.Time, row provider.Row) (shardRow, bool) {
	var value shardRow
	if err := codec.Decode(row.Value, &value); err != nil {
		j.emit(now, event.JournalRowUnreadable, row.Partition+" "+row.Sort)
		return shardRow{}, false
	}
	return value, true
}

// learn takes news of a shard's row. The epoch only rises, so that older news
// is known by it.
func (j *Journal) learn(now time.Time, s *shard, row shardRow, version uint64) {
	switch s.state {
	case stateLoading, stateOwned:
		if row.Epoch > s.row.Epoch {
			j.lose(now, s, row, version)
		}
	case stateForeign:
		if version > s.version {
			s.setRow(row, version)
		}
		j.evaluate(now, s)
	}
}

func (s *shard) setRow(row shardRow, version uint64) {
	if row.Owner != s.row.Owner {
		s.ownerSeen = false
		s.absentSince = time.Time{}
	}
	s.row, s.version = row, version
}

// enter changes the shard's state; results of what was asked before are void.
func (s *shard) enter(state shardState) {
	s.state = state
	s.generation++
	s.evaluateAt = time.Time{}
}

// whileIn calls f only if the shard has not changed its state meanwhile.
func (j *Journal) whileIn(s *shard, f func(time.Time, provider.Result)) func(time.Time, provider.Result) {
	generation := s.generation
	return func(now time.Time, r provider.Result) {
		if s.generation == generation {
			f(now, r)
		}
	}
}

// later calls f after a wait if the shard has not changed its state meanwhile.
func (j *Journal) later(now time.Time, s *shard, d time.Duration, f func(time.Time)) {
	generation := s.generation
	j.at(now.Add(d), func(now time.Time) {
		if s.generation == generation {
			f(now)
		}
	})
}
