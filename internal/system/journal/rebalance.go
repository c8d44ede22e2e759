package journal

import "time"

// rebalance releases one idle shard that another daemon should own. The daemon
// that starts first takes over all shards; without this it would keep them
// until it stops. The preferred owner takes a released shard over as after a
// graceful stop, under the next epoch.
func (j *Journal) rebalance(now time.Time) {
	if j.leaving || now.Sub(j.membersChangedAt) < j.cfg.RebalanceDelay {
		return
	}
	for _, s := range j.shards {
		if j.misplaced(now, s) && s.idle() {
			j.releaseShard(now, s)
			return
		}
	}
}

// misplaced reports whether this daemon has owned the shard for a while
// although another live daemon should own it.
func (j *Journal) misplaced(now time.Time, s *shard) bool {
	if s.state != stateOwned || s.releasing || now.Sub(s.ownedSince) < j.cfg.RebalanceDelay {
		return false
	}
	return s.preferredOwner != "" && s.preferredOwner != j.cfg.Self
}

// idle reports whether no request or write needs the shard's owner at present.
func (s *shard) idle() bool {
	return s.currentWrite == nil && s.pendingChange == nil && len(s.pendingRecords) == 0 && len(s.waiting) == 0 && !s.sealing && !s.hasRunningRequests()
}
