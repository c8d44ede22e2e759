package journal

import (
	"errors"
	"fmt"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

// evaluate starts a takeover of the shard if it is due, and else sets a timer
// for when it may be.
func (j *Journal) evaluate(now time.Time, s *shard) {
	s.noteOwner(now, j.alive(s.row.Owner))
	if s.state != stateForeign || j.leaving || !j.alive(j.cfg.Self) {
		return
	}
	due, ok := j.takeoverDue(now, s)
	if !ok {
		return
	}
	if due.After(now) {
		if s.evaluateAt.Equal(due) {
			return
		}
		s.evaluateAt = due
		j.later(now, s, due.Sub(now), func(now time.Time) {
			s.evaluateAt = time.Time{}
			j.evaluate(now, s)
		})
		j.poll(now)
		return
	}
	j.take(now, s)
}

// noteOwner keeps track of whether the row's owner is, and was, a member.
func (s *shard) noteOwner(now time.Time, alive bool) {
	switch {
	case alive:
		s.ownerSeen = true
		s.absentSince = time.Time{}
	case s.absentSince.IsZero():
		s.absentSince = now
	}
}

// takeoverDue returns when the shard may be taken over, and false if it may
// not as things are.
func (j *Journal) takeoverDue(now time.Time, s *shard) (time.Time, bool) {
	owner := s.row.Owner
	given := owner != j.cfg.Self || s.row.Released
	if given && s.wanted != j.cfg.Self {
		return time.Time{}, false
	}
	due := s.notBefore
	if owner == "" || owner == j.cfg.Self || s.row.Released {
		return due, true
	}
	s.noteOwner(now, j.alive(owner))
	if s.absentSince.IsZero() {
		return time.Time{}, false
	}
	grace := j.cfg.UnseenGrace
	if s.ownerSeen {
		grace = j.cfg.TakeoverDelay
	}
	if t := s.absentSince.Add(grace); t.After(due) {
		due = t
	}
	return due, true
}

// backOff puts the next takeover of the shard off, for longer each time.
func (j *Journal) backOff(now time.Time, s *shard) {
	s.losses++
	s.notBefore = now.Add(j.backoff(j.cfg.TakeoverDelay, j.cfg.TakeoverMax, s.losses))
}

// take starts a takeover: it reads the row, and if the owner is still gone
// replaces it by one with the next epoch.
func (j *Journal) take(now time.Time, s *shard) {
	s.enter(stateTaking)
	j.readForTake(now, s)
}

func (j *Journal) readForTake(_ time.Time, s *shard) {
	op := provider.Operation{Kind: provider.GetRow, Partition: shardPartition, Sort: shardSort(s.index), Consistent: true}
	j.callTable(op, j.whileIn(s, func(now time.Time, r provider.Result) {
		if errors.Is(r.Err, provider.ErrNotFound) {
			j.writeTake(now, s, shardRow{}, 0)
			return
		}
		row, ok := shardRow{}, false
		if r.Err == nil {
			row, ok = j.decodeShard(now, r.Row)
		}
		if !ok {
			j.abandonTake(now, s)
			return
		}
		s.setRow(row, r.Row.Version)
		due, may := j.takeoverDue(now, s)
		if !may || due.After(now) {
			s.enter(stateForeign)
			j.rerouteWaiting(now, s)
			j.evaluate(now, s)
			return
		}
		j.writeTake(now, s, row, r.Row.Version)
	}))
}

// abandonTake goes back to not owning the shard and tries again later. Should
// the transaction take effect all the same, the row will show it.
func (j *Journal) abandonTake(now time.Time, s *shard) {
	j.backOff(now, s)
	s.enter(stateForeign)
	j.evaluate(now, s)
}

func (j *Journal) writeTake(now time.Time, s *shard, old shardRow, version uint64) {
	row := old
	row.Epoch++
	row.Owner = j.cfg.Self
	row.Released = false
	row.Operation = j.newOperation()
	j.spendWrite(now)
	op := provider.Operation{Kind: provider.TransactRows, Token: row.Operation, Writes: []provider.Write{
		{Partition: shardPartition, Sort: shardSort(s.index), IfVersion: version, Value: mustEncode(row)},
	}}
	j.callTable(op, j.whileIn(s, func(now time.Time, r provider.Result) {
		switch {
		case r.Err == nil:
			j.taken(now, s, row, version+1)
		case errors.Is(r.Err, provider.ErrUnavailable):
			j.abandonTake(now, s)
		default:
			j.rereadTake(now, s, row.Operation)
		}
	}))
}

// rereadTake looks whether a takeover whose reply is lost has taken effect.
func (j *Journal) rereadTake(_ time.Time, s *shard, operation string) {
	op := provider.Operation{Kind: provider.GetRow, Partition: shardPartition, Sort: shardSort(s.index), Consistent: true}
	j.callTable(op, j.whileIn(s, func(now time.Time, r provider.Result) {
		if r.Err != nil {
			j.abandonTake(now, s)
			return
		}
		row, ok := j.decodeShard(now, r.Row)
		if ok && row.Operation == operation {
			j.taken(now, s, row, r.Row.Version)
			return
		}
		if ok {
			s.setRow(row, r.Row.Version)
		}
		j.abandonTake(now, s)
		j.rerouteWaiting(now, s)
	}))
}

// taken begins to load the shard that is owned now.
func (j *Journal) taken(now time.Time, s *shard, row shardRow, version uint64) {
	s.setRow(row, version)
	s.sequence = 0
	s.named = 0
	s.enter(stateLoading)
	j.emit(now, event.JournalShardTaken, fmt.Sprintf("shard %d epoch %d", s.index, row.Epoch))
	j.load(now, s)
}

// loaded starts the owner's work.
func (j *Journal) loaded(now time.Time, s *shard) {
	s.enter(stateOwned)
	s.ownedSince = now
	s.lastWrite = time.Time{}
	if j.leaving {
		j.release(now, s)
		return
	}
	j.admitWaiting(now, s)
	j.sweep(now, s, 0)
	j.maySeal(now, s)
}

// rerouteWaiting sends requests on that wait for a shard which another owns.
func (j *Journal) rerouteWaiting(now time.Time, s *shard) {
	held := s.waiting
	s.waiting = nil
	for _, id := range held {
		if r := j.requests[id]; r != nil && r.phase == phaseWaiting {
			j.route(now, s, r)
		}
	}
}
