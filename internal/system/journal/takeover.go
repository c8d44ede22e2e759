package journal

import (
	"errors"
	"fmt"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

// evaluateTakeover starts a takeover of the shard if it is due, and otherwise
// sets a timer for when it may be due.
func (j *Journal) evaluateTakeover(now time.Time, s *shard) {
	s.trackOwner(now, j.alive(s.row.Owner))
	if s.state != stateNotOwned || j.leaving || !j.alive(j.cfg.Self) {
		return
	}
	due, ok := j.takeoverDue(now, s)
	if !ok {
		return
	}
	if due.After(now) {
		if s.takeoverTimerAt.Equal(due) {
			return
		}
		s.takeoverTimerAt = due
		j.scheduleForShard(now, s, due.Sub(now), func(now time.Time) {
			s.takeoverTimerAt = time.Time{}
			j.evaluateTakeover(now, s)
		})
		j.pollShardRows(now)
		return
	}
	j.startTakeover(now, s)
}

// trackOwner records whether the row's owner is a member, and since when it is
// not.
func (s *shard) trackOwner(now time.Time, alive bool) {
	switch {
	case alive:
		s.ownerSeen = true
		s.ownerAbsentSince = time.Time{}
	case s.ownerAbsentSince.IsZero():
		s.ownerAbsentSince = now
	}
}

// takeoverDue returns when the shard may be taken over, and false if a takeover
// is not allowed in the present state.
func (j *Journal) takeoverDue(now time.Time, s *shard) (time.Time, bool) {
	owner := s.row.Owner
	notOwnedHere := owner != j.cfg.Self || s.row.Released
	if notOwnedHere && s.preferredOwner != j.cfg.Self {
		return time.Time{}, false
	}
	due := s.takeoverNotBefore
	if owner == "" || owner == j.cfg.Self || s.row.Released {
		return due, true
	}
	s.trackOwner(now, j.alive(owner))
	if s.ownerAbsentSince.IsZero() {
		return time.Time{}, false
	}
	delay := j.cfg.UnseenOwnerDelay
	if s.ownerSeen {
		delay = j.cfg.TakeoverDelay
	}
	if t := s.ownerAbsentSince.Add(delay); t.After(due) {
		due = t
	}
	return due, true
}

// delayTakeover postpones the next takeover of the shard, longer after each
// loss.
func (j *Journal) delayTakeover(now time.Time, s *shard) {
	s.recentLosses++
	s.takeoverNotBefore = now.Add(j.backoff(j.cfg.TakeoverDelay, j.cfg.MaxTakeoverDelay, s.recentLosses))
}

// startTakeover reads the shard's row and, if the owner is still gone, writes
// this daemon as owner under the next epoch.
func (j *Journal) startTakeover(now time.Time, s *shard) {
	s.setState(stateTakingOver)
	j.readRowForTakeover(now, s)
}

func (j *Journal) readRowForTakeover(_ time.Time, s *shard) {
	op := provider.Operation{Kind: provider.GetRow, Partition: shardPartition, Sort: shardSortKey(s.index), Consistent: true}
	j.issueTableOperation(op, j.ifStateUnchanged(s, func(now time.Time, r provider.Result) {
		if errors.Is(r.Err, provider.ErrNotFound) {
			j.writeTakeover(now, s, shardRow{}, 0)
			return
		}
		row, ok := shardRow{}, false
		if r.Err == nil {
			row, ok = j.decodeShardRow(now, r.Row)
		}
		if !ok {
			j.abandonTakeover(now, s)
			return
		}
		s.setRow(row, r.Row.Version)
		due, allowed := j.takeoverDue(now, s)
		if !allowed || due.After(now) {
			s.setState(stateNotOwned)
			j.rerouteWaiting(now, s)
			j.evaluateTakeover(now, s)
			return
		}
		j.writeTakeover(now, s, row, r.Row.Version)
	}))
}

// abandonTakeover returns to not owning the shard and tries again after a
// delay. If the transaction takes effect all the same, the row shows it when it
// is read next.
func (j *Journal) abandonTakeover(now time.Time, s *shard) {
	j.delayTakeover(now, s)
	s.setState(stateNotOwned)
	j.evaluateTakeover(now, s)
}

func (j *Journal) writeTakeover(now time.Time, s *shard, old shardRow, version uint64) {
	row := old
	row.Epoch++
	row.Owner = j.cfg.Self
	row.Released = false
	row.WriteID = j.newWriteID()
	j.spendWriteBudget(now)
	op := provider.Operation{Kind: provider.TransactRows, Token: row.WriteID, Writes: []provider.Write{
		{Partition: shardPartition, Sort: shardSortKey(s.index), IfVersion: version, Value: mustEncode(row)},
	}}
	j.issueTableOperation(op, j.ifStateUnchanged(s, func(now time.Time, r provider.Result) {
		switch {
		case r.Err == nil:
			j.startLoading(now, s, row, version+1)
		case errors.Is(r.Err, provider.ErrUnavailable):
			j.abandonTakeover(now, s)
		default:
			j.confirmTakeover(now, s, row.WriteID)
		}
	}))
}

// confirmTakeover reads the row to find out whether a takeover whose reply was
// lost has taken effect.
func (j *Journal) confirmTakeover(_ time.Time, s *shard, writeID string) {
	op := provider.Operation{Kind: provider.GetRow, Partition: shardPartition, Sort: shardSortKey(s.index), Consistent: true}
	j.issueTableOperation(op, j.ifStateUnchanged(s, func(now time.Time, r provider.Result) {
		if r.Err != nil {
			j.abandonTakeover(now, s)
			return
		}
		row, ok := j.decodeShardRow(now, r.Row)
		if ok && row.WriteID == writeID {
			j.startLoading(now, s, row, r.Row.Version)
			return
		}
		if ok {
			s.setRow(row, r.Row.Version)
		}
		j.abandonTakeover(now, s)
		j.rerouteWaiting(now, s)
	}))
}

// startLoading starts to load the shard, which this daemon owns now.
func (j *Journal) startLoading(now time.Time, s *shard, row shardRow, version uint64) {
	s.setRow(row, version)
	s.sequence = 0
	s.segmentCount = 0
	s.setState(stateLoading)
	j.emitEvent(now, event.JournalShardAcquired, fmt.Sprintf("shard %d epoch %d", s.index, row.Epoch))
	j.loadShard(now, s)
}

// startOwning starts the owner's work on a loaded shard.
func (j *Journal) startOwning(now time.Time, s *shard) {
	s.setState(stateOwned)
	s.ownedSince = now
	s.lastWrite = time.Time{}
	if j.leaving {
		j.releaseShard(now, s)
		return
	}
	j.admitWaiting(now, s)
	j.deleteSealedRows(now, s, 0)
	j.sealIfFull(now, s)
}

// rerouteWaiting routes the queued requests again after the shard's owner or
// state may have changed.
func (j *Journal) rerouteWaiting(now time.Time, s *shard) {
	waiting := s.waiting
	s.waiting = nil
	for _, id := range waiting {
		if r := j.requests[id]; r != nil && r.phase == phaseWaiting {
			j.route(now, s, r)
		}
	}
}
