package journal

import (
	"fmt"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

// loseShard ends ownership after another daemon has taken the shard over.
func (j *Journal) loseShard(now time.Time, s *shard, row shardRow, version uint64) {
	owned := s.state == stateOwned
	if owned && now.Sub(s.ownedSince) > j.cfg.MaxTakeoverDelay {
		s.recentLosses = 0
	}
	j.delayTakeover(now, s)
	s.setRow(row, version)
	j.emitEvent(now, event.JournalShardLost, fmt.Sprintf("shard %d epoch %d to %s", s.index, row.Epoch, row.Owner))
	j.stopOwning(now, s)
}

// stopOwning ends the owner's work on a shard that has another owner or none.
// Requests that wait to be admitted are refused, requests that read a committed
// answer's body continue, and all others are resolved by reading the new
// owner's journal.
func (j *Journal) stopOwning(now time.Time, s *shard) {
	j.markJoinedMayRun(s)
	s.clearOwnerState()
	s.setState(stateResolving)
	for _, id := range s.requests.Keys() {
		r := s.requests.Get(id)
		switch r.phase {
		case phaseFetching:
		case phaseWaiting:
			j.refuseNotOwner(s, r)
		default:
			r.phase = phaseResolving
			j.startWaitTimer(now, r)
		}
	}
	j.readNewOwnersJournal(now, s)
}

// markJoinedMayRun marks the requests that may have run, among them those that
// have joined a leader that may have run.
func (j *Journal) markJoinedMayRun(s *shard) {
	for _, id := range s.requests.Keys() {
		r := s.requests.Get(id)
		r.mayRun = r.dispatchable() || r.phase == phaseAwaitingCommit
	}
	for _, id := range s.requests.Keys() {
		r := s.requests.Get(id)
		if r.phase != phaseJoined {
			continue
		}
		e := s.entries[r.hash]
		if leader := j.requests[e.leader]; leader != nil {
			r.mayRun = r.mayRun || leader.mayRun
		}
	}
}

// clearOwnerState drops all state that only an owner has.
func (s *shard) clearOwnerState() {
	s.entries = nil
	s.waiting = nil
	s.pendingRecords = nil
	s.unwrittenBytes = 0
	s.currentWrite = nil
	s.pendingChange = nil
	s.manifest = manifest{}
	s.rowOrder = nil
	s.hotBytes = 0
	s.cachedKeys = nil
	s.segments = nil
	s.sealing = false
	s.releasing = false
}

// releaseShard releases the shard once no request needs it, or after
// ReleaseTimeout.
func (j *Journal) releaseShard(now time.Time, s *shard) {
	if s.state == stateNotOwned || s.state == stateTakingOver {
		j.rerouteWaiting(now, s)
		return
	}
	if s.state != stateOwned {
		return
	}
	s.releasing = true
	j.rerouteWaiting(now, s)
	j.scheduleForShard(now, s, j.cfg.ReleaseTimeout, func(now time.Time) { j.writeRelease(now, s) })
	j.releaseIfUnused(now, s)
}

// releaseIfUnused releases the shard if it is to be released and no request
// needs it any more.
func (j *Journal) releaseIfUnused(now time.Time, s *shard) {
	if !s.releasing || s.currentWrite != nil || len(s.pendingRecords) > 0 || s.hasRunningRequests() {
		return
	}
	j.writeRelease(now, s)
}

// hasRunningRequests reports whether a request still needs the shard's owner.
func (s *shard) hasRunningRequests() bool {
	busy := false
	s.requests.All(func(_ entity.RequestID, r *request) bool {
		busy = r.phase != phaseFetching
		return !busy
	})
	return busy
}

func (j *Journal) writeRelease(now time.Time, s *shard) {
	if s.state != stateOwned {
		return
	}
	s.pendingChange = &rowChange{
		apply: func(row *shardRow, _ *manifest) { row.Released = true },
		done: func(now time.Time) {
			j.emitEvent(now, event.JournalShardReleased, fmt.Sprintf("shard %d epoch %d", s.index, s.row.Epoch))
			j.stopOwning(now, s)
		},
	}
	j.startWrite(now, s)
}

// ReleaseShards starts the graceful release of all shards. No new request is admitted;
// running ones have ReleaseTimeout to finish.
func (j *Journal) ReleaseShards(now time.Time) {
	if j.leaving {
		return
	}
	j.leaving = true
	j.assignOwners()
	for _, s := range j.shards {
		j.releaseShard(now, s)
	}
}

// ShardsReleased reports whether all shards were released on request and no work on
// them is left.
func (j *Journal) ShardsReleased() bool {
	for _, s := range j.shards {
		if s.state != stateNotOwned {
			return false
		}
	}
	return j.leaving
}
