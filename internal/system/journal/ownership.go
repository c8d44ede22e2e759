package journal

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	rendezvous "github.com/dgryski/go-rendezvous"

	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/platform"
)

// SetMembers tells which live daemons may own shards; leaving ones may not.
func (j *Journal) SetMembers(now time.Time, members []entity.InstanceID) {
	sorted := slices.Sorted(slices.Values(members))
	if j.joined && slices.Equal(sorted, j.members) {
		return
	}
	j.members = sorted
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

func (j *Journal) alive(id entity.InstanceID) bool {
	_, found := slices.BinarySearch(j.members, id)
	return found
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
	op := platform.Operation{Kind: platform.QueryRows, Partition: shardPartition, Limit: j.cfg.Shards}
	j.callTable(op, func(now time.Time, r platform.Result) {
		j.polling = false
		j.pollIn(now, j.nextPoll(r.Err != nil))
		for _, row := range r.Rows {
			j.polled(now, row)
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

func (j *Journal) polled(now time.Time, row platform.Row) {
	var index int
	if n, err := fmt.Sscanf(row.Sort, "shard/%d", &index); n != 1 || err != nil || index >= len(j.shards) || index < 0 {
		return
	}
	if value, ok := j.decodeShard(now, row); ok {
		j.learn(now, j.shards[index], value, row.Version)
	}
}

func (j *Journal) decodeShard(now time.Time, row platform.Row) (shardRow, bool) {
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

// evaluate starts a takeover of the shard if it is due, and else sets a timer
// for when it may be.
func (j *Journal) evaluate(now time.Time, s *shard) {
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

// takeoverDue returns when the shard may be taken over, and false if it may
// not as things are.
func (j *Journal) takeoverDue(now time.Time, s *shard) (time.Time, bool) {
	owner := s.row.Owner
	if owner != j.cfg.Self && s.wanted != j.cfg.Self {
		return time.Time{}, false
	}
	due := s.notBefore
	if owner == "" || owner == j.cfg.Self || s.row.Released {
		return due, true
	}
	if j.alive(owner) {
		s.ownerSeen = true
		s.absentSince = time.Time{}
		return time.Time{}, false
	}
	if s.absentSince.IsZero() {
		s.absentSince = now
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

// enter changes the shard's state; results of what was asked before are void.
func (s *shard) enter(state shardState) {
	s.state = state
	s.generation++
	s.evaluateAt = time.Time{}
}

// whileIn calls f only if the shard has not changed its state meanwhile.
func (j *Journal) whileIn(s *shard, f func(time.Time, platform.Result)) func(time.Time, platform.Result) {
	generation := s.generation
	return func(now time.Time, r platform.Result) {
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

// take starts a takeover: it reads the row, and if the owner is still gone
// replaces it by one with the next epoch.
func (j *Journal) take(now time.Time, s *shard) {
	s.enter(stateTaking)
	j.readForTake(now, s)
}

func (j *Journal) readForTake(_ time.Time, s *shard) {
	op := platform.Operation{Kind: platform.GetRow, Partition: shardPartition, Sort: shardSort(s.index), Consistent: true}
	j.callTable(op, j.whileIn(s, func(now time.Time, r platform.Result) {
		if errors.Is(r.Err, platform.ErrNotFound) {
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
	op := platform.Operation{Kind: platform.TransactRows, Token: row.Operation, Writes: []platform.Write{
		{Partition: shardPartition, Sort: shardSort(s.index), IfVersion: version, Value: mustEncode(row)},
	}}
	j.callTable(op, j.whileIn(s, func(now time.Time, r platform.Result) {
		switch {
		case r.Err == nil:
			j.taken(now, s, row, version+1)
		case errors.Is(r.Err, platform.ErrUnavailable):
			j.abandonTake(now, s)
		default:
			j.rereadTake(now, s, row.Operation)
		}
	}))
}

// rereadTake looks whether a takeover whose reply is lost has taken effect.
func (j *Journal) rereadTake(_ time.Time, s *shard, operation string) {
	op := platform.Operation{Kind: platform.GetRow, Partition: shardPartition, Sort: shardSort(s.index), Consistent: true}
	j.callTable(op, j.whileIn(s, func(now time.Time, r platform.Result) {
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
	s.named = row.Named
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
	s.manifest = nil
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
	s.manifest = &manifestChange{
		change: func(row *shardRow) { row.Released = true },
		done: func(now time.Time) {
			j.emit(now, event.JournalShardReleased, fmt.Sprintf("shard %d epoch %d", s.index, s.row.Epoch))
			j.vacate(now, s)
		},
	}
	j.startWrite(now, s)
}
