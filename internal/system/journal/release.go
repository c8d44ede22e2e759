package journal

import (
	"fmt"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

// lose gives up ownership after another daemon took the shard over. What has
// not been dispatched is refused as not run; all else is resolved by reading
// the winner's journal.
func (j *Journal) lose(now time.Time, s *shard, row shardRow, version uint64) {
	owned := s.state == stateOwned
	if owned && now.Sub(s.ownedSince) > j.cfg.TakeoverMax {
		s.losses = 0
	}
	j.backOff(now, s)
	s.setRow(row, version)
	j.emit(now, event.JournalShardLost, fmt.Sprintf("shard %d epoch %d to %s", s.index, row.Epoch, row.Owner))
	j.vacate(now, s)
}

// vacate ends the owner's work on a shard that has another owner or none.
func (j *Journal) vacate(now time.Time, s *shard) {
	j.markJoined(s)
	s.clear()
	s.enter(stateFollowing)
	for _, id := range s.requests.Keys() {
		r := s.requests.Get(id)
		switch r.phase {
		case phaseFetching:
		case phaseWaiting:
			j.refuseNotOwner(s, r)
		default:
			r.phase = phaseResolving
			j.arm(now, r)
		}
	}
	j.follow(now, s)
}

// markJoined carries over to joined requests that their leader may have run.
func (j *Journal) markJoined(s *shard) {
	for _, id := range s.requests.Keys() {
		r := s.requests.Get(id)
		r.mayRun = r.dispatchable() || r.phase == phaseAwaiting
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

// clear drops everything that only an owner holds.
func (s *shard) clear() {
	s.entries = nil
	s.waiting = nil
	s.pending = nil
	s.heldBytes = 0
	s.write = nil
	s.change = nil
	s.manifest = manifest{}
	s.order = nil
	s.hotBytes = 0
	s.cached = nil
	s.segments = nil
	s.sealing = false
	s.releasing = false
}

// release hands the shard over as soon as nothing runs, or after ReleaseGrace.
func (j *Journal) release(now time.Time, s *shard) {
	if s.state == stateForeign || s.state == stateTaking {
		j.rerouteWaiting(now, s)
		return
	}
	if s.state != stateOwned {
		return
	}
	s.releasing = true
	j.rerouteWaiting(now, s)
	j.later(now, s, j.cfg.ReleaseGrace, func(now time.Time) { j.writeRelease(now, s) })
	j.mayRelease(now, s)
}

// mayRelease writes the release once no request needs the shard any more.
func (j *Journal) mayRelease(now time.Time, s *shard) {
	if !s.releasing || s.write != nil || len(s.pending) > 0 || s.running() {
		return
	}
	j.writeRelease(now, s)
}

// running tells whether a request still needs the owner.
func (s *shard) running() bool {
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
	s.change = &rowChange{
		change: func(row *shardRow, _ *manifest) { row.Released = true },
		done: func(now time.Time) {
			j.emit(now, event.JournalShardReleased, fmt.Sprintf("shard %d epoch %d", s.index, s.row.Epoch))
			j.vacate(now, s)
		},
	}
	j.startWrite(now, s)
}

// Disown starts the graceful hand-over of all shards. No new request is
// admitted; running ones have ReleaseGrace to finish.
func (j *Journal) Disown(now time.Time) {
	if j.leaving {
		return
	}
	j.leaving = true
	j.place()
	for _, s := range j.shards {
		j.release(now, s)
	}
}

// Disowned tells whether the hand-over that Disown has started is over.
func (j *Journal) Disowned() bool {
	for _, s := range j.shards {
		if s.state != stateForeign {
			return false
		}
	}
	return j.leaving
}
