package journal

import "time"

// rebalance releases one idle shard that another daemon should own. The daemon
// that starts first takes all shards; without this it would keep them for as
// long as it lives. The wanted owner takes a released shard as it does on a
// graceful stop, under the next epoch.
func (j *Journal) rebalance(now time.Time) {
	if j.leaving || now.Sub(j.membersSince) < j.cfg.RebalanceAfter {
		return
	}
	for _, s := range j.shards {
		if j.misplaced(now, s) && s.idle() {
			j.release(now, s)
			return
		}
	}
}

// misplaced reports whether a shard has long been owned here although another
// live daemon should own it.
func (j *Journal) misplaced(now time.Time, s *shard) bool {
	if s.state != stateOwned || s.releasing || now.Sub(s.ownedSince) < j.cfg.RebalanceAfter {
		return false
	}
	return s.wanted != "" && s.wanted != j.cfg.Self
}

// idle reports whether nothing needs the shard's owner at present.
func (s *shard) idle() bool {
	return s.write == nil && s.change == nil && len(s.pending) == 0 && len(s.waiting) == 0 && !s.sealing && !s.running()
}
