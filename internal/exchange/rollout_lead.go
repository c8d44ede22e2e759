package exchange

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/system/rollout"
)

// judgeInterval is the least time between two looks at the samples of a roll-out.
const judgeInterval = 100 * time.Millisecond

// tickRollouts runs the periodic tasks of the roll-outs.
func (c *Core) tickRollouts(now time.Time) {
	if !c.cfg.Bounds.Rollout.Enabled() {
		return
	}
	c.settleVersions(now)
	c.hearOwnStage(now)
	c.settleFailures(now)
	c.judgeRollouts(now)
	c.rollouts.rows.All(func(_ entity.ServiceName, row *rolloutRow) bool {
		c.noteLeaderHeard(now, row)
		return true
	})
}

// noteLeaderHeard logs when the leader's statement of the stage becomes too old to count, and
// when a new one has arrived.
func (c *Core) noteLeaderHeard(now time.Time, row *rolloutRow) {
	unheard := !row.state.Stage.Ended() && !row.heardAt.IsZero() && !c.leaderHeard(now, row)
	if unheard == row.unheard {
		return
	}
	row.unheard = unheard
	number := event.RolloutLeaderHeard
	if unheard {
		number = event.RolloutLeaderUnheard
	}
	c.logRollout(now, number, row, event.A("heard_ago_ms", now.Sub(row.heardAt).Milliseconds()), event.A("epoch", row.epoch))
}

// judgeRollouts compares the versions of the roll-outs that have not ended.
func (c *Core) judgeRollouts(now time.Time) {
	c.rollouts.rows.All(func(_ entity.ServiceName, row *rolloutRow) bool {
		if now.Sub(row.judgedAt) >= judgeInterval {
			c.judgeRollout(now, row)
		}
		return true
	})
}

// judgeRollout compares the versions of a roll-out by all that is known now.
func (c *Core) judgeRollout(now time.Time, row *rolloutRow) {
	if row.stopped() || row.state.Stage.Ended() {
		return
	}
	row.judgedAt = now
	if f := row.judge.Find(); f != nil && c.stopRollout(now, row, describeFinding(f)) {
		c.rollouts.found.add(BadRollout{Service: row.state.Service, Order: row.state.Order, To: row.state.To, Reason: describeFinding(f)})
	}
}

// describeFinding returns the inputs of a finding for the log.
func describeFinding(f *rollout.Finding) string {
	return fmt.Sprintf("%s on route %s, score %.1f, old %s, new %s", f.Kind, f.Route, f.Score, describeSamples(&f.Old), describeSamples(&f.New))
}

func describeSamples(s *rollout.Samples) string {
	return fmt.Sprintf("%d failures of %d, %d slow first events of %d, %d slow answers of %d",
		s.Failures, s.Answers, s.First.Slow, s.First.Count, s.Rest.Slow, s.Rest.Count)
}

// leadersShare returns the share of the new version that this daemon states as the leader.
func (c *Core) leadersShare(now time.Time, row *rolloutRow) float64 {
	switch row.state.Stage {
	case rollout.Canary:
		return rollout.CanaryShare(c.cfg.Bounds.Rollout.Share)
	case rollout.Completed:
		return 1
	case rollout.Promoting:
		view := c.rolloutView(now, row)
		if !view.EnoughReady() {
			return row.share
		}
		return view.Schedule.RampShare(now.Sub(row.promotingAt))
	default:
		return 0
	}
}

// rolloutView returns what this daemon knows of a roll-out as the leader.
func (c *Core) rolloutView(now time.Time, row *rolloutRow) *rollout.View {
	old, ordered := c.readyServers(now, row)
	return &rollout.View{
		Now: c.rolloutTime(now), OldReady: old, NewReady: ordered, Bad: row.bad != "", Sampled: row.judge.Sampled(),
		ServesAlone: old == 0 && ordered > 0 && c.servesAlone(now, row),
		Drained:     c.rolloutDrained(now, row),
		Schedule:    rollout.ScheduleOf(&row.state, row.longestRun, c.updateInterval()),
	}
}

// servesAlone reports whether the ordered version, of which there are servers and of no other
// version any, has served before the order. A daemon that started with the order waits for
// servers of other versions to be listed.
func (c *Core) servesAlone(now time.Time, row *rolloutRow) bool {
	v := c.rolloutVersions(row.state.Service)
	if len(v.serving) > 0 {
		return v.serving[row.state.To] && len(v.serving) == 1
	}
	return len(row.state.From) == 0 && now.Sub(c.cfg.Started) > onlyVersionDelay && !c.otherVersionUsable(now, row)
}

// otherVersionUsable reports whether there are usable servers of any other version than the ordered
// one.
func (c *Core) otherVersionUsable(now time.Time, row *rolloutRow) bool {
	found := false
	c.servers.All(func(id entity.BackendServerID, r *serverRow) bool {
		found = r.Service == row.state.Service && r.Version != row.state.To && c.usable(now, id)
		return !found
	})
	return found
}

// readyServers returns the numbers of usable servers of both groups.
func (c *Core) readyServers(now time.Time, row *rolloutRow) (old, ordered int) {
	c.servers.All(func(id entity.BackendServerID, r *serverRow) bool {
		switch {
		case r.Service != row.state.Service || !c.usable(now, id):
		case r.Version == row.state.To:
			ordered++
		case c.isOld(row, r.Version):
			old++
		}
		return true
	})
	return old, ordered
}

// rolloutDrained reports whether all daemons send new requests to the new version only and have
// none at an old server.
func (c *Core) rolloutDrained(now time.Time, row *rolloutRow) bool {
	if row.state.Stage != rollout.Promoting || percent(c.appliedShare(now, row)) < allPercent || c.oldRunning(row) > 0 {
		return false
	}
	drained := true
	c.peers.All(func(name entity.InstanceID, r *peerRow) bool {
		report := row.reports.Get(name)
		reported := report != nil && report.applied >= allPercent && report.oldRunning == 0 && c.recentlySeen(now, r)
		drained = reported || !c.mayServe(now, r)
		return drained
	})
	return drained
}

// RolloutsToCommit returns the states that should be written now. The daemon must hold the lease.
// A write that fails because the row has changed is followed by a read and RestoreRollout.
func (c *Core) RolloutsToCommit(now time.Time) []rollout.State {
	if _, held := c.lease.Epoch(); !held || !c.trueTimeKnown {
		return nil
	}
	c.hearOwnStage(now)
	var out []rollout.State
	c.rollouts.rows.All(func(_ entity.ServiceName, row *rolloutRow) bool {
		if s, due := c.stateToCommit(now, row); due {
			out = append(out, s)
		}
		return true
	})
	return out
}

// stateToCommit returns the state that the row of a roll-out should have, if it has not.
func (c *Core) stateToCommit(now time.Time, row *rolloutRow) (rollout.State, bool) {
	s := row.state
	if s.Stage == rollout.Unknown && !row.ordered {
		return s, false
	}
	if s.OrderedAt == 0 {
		s.OrderedAt = c.sinceUnixEpoch(row.learnedAt)
		row.state.OrderedAt = s.OrderedAt
	}
	c.judgeRollout(now, row)
	view := c.rolloutView(now, row)
	view.Doubtful = c.doubtRollout(now, row)
	view.Observed = row.observed(view.Drained)
	next, reason := s.Next(view)
	if next == s.Stage {
		return s, row.rowStage != s.Stage // the row was lost, or is not known
	}
	if row.proposed != next {
		row.proposed = next
		c.logDecision(now, row, view, next, reason)
	}
	if len(s.From) == 0 {
		s.From = c.presentVersions(s.Service, s.To)
	}
	s.Stage, s.Sequence = next, s.Sequence+1
	return s, true
}

// doubtRollout reports whether the leader doubts that the new version is good.
func (c *Core) doubtRollout(now time.Time, row *rolloutRow) bool {
	if row.state.Stage.Ended() {
		return false
	}
	f := row.judge.Doubt()
	if f != nil && !row.doubted {
		c.logRollout(now, event.RolloutDoubted, row, event.A("finding", describeFinding(f)))
	}
	row.doubted = f != nil
	return f != nil
}

// wholeAnswersWanted is the number of answers to requests of all daemons that should have come from
// the new version before it is completed, if there is time.
const wholeAnswersWanted = 20

// observed reports whether the new version has given enough answers since all daemons send all new
// requests to it, as they do now or not.
func (r *rolloutRow) observed(drained bool) bool {
	answers := r.judge.NewAnswers()
	switch {
	case !drained:
		r.wholeAnswers = -1
		return false
	case r.wholeAnswers < 0:
		r.wholeAnswers = answers
	}
	return answers-r.wholeAnswers >= wholeAnswersWanted
}

// logDecision logs that the next stage was decided, with the inputs.
func (c *Core) logDecision(now time.Time, row *rolloutRow, v *rollout.View, next rollout.Stage, reason rollout.Reason) {
	var routes []string
	for _, name := range row.judge.Routes() {
		old, ordered := row.judge.Total(name)
		routes = append(routes, fmt.Sprintf("%s: old %s, new %s", name, describeSamples(&old), describeSamples(&ordered)))
	}
	slices.Sort(routes)
	c.logRollout(now, event.RolloutDecided, row, event.A("next", next), event.A("reason", reason),
		event.A("old_ready", v.OldReady), event.A("new_ready", v.NewReady), event.A("drained", v.Drained), event.A("share", row.share),
		event.A("sampled", v.Sampled), event.A("longest_run_ms", row.longestRun.Milliseconds()), event.A("bad", row.bad), event.A("doubtful", v.Doubtful), event.A("observed", v.Observed),
		event.A("samples", strings.Join(routes, "; ")))
}

// RolloutCommitted records that a state has been written.
func (c *Core) RolloutCommitted(now time.Time, s rollout.State) {
	if row := c.mergeRollout(now, s, "written"); row != nil && row.state.Order == s.Order {
		row.rowStage = s.Stage
		row.state.Sequence = max(row.state.Sequence, s.Sequence)
		c.hearOwnStage(now)
	}
}

// forgetRolloutRows records that the table service may show older states than the known ones.
func (c *Core) forgetRolloutRows() {
	c.rollouts.rows.All(func(_ entity.ServiceName, row *rolloutRow) bool {
		row.rowStage = rollout.Unknown
		return true
	})
}

// countsForCapacity reports whether a server is one of those for which the number of servers is
// planned: the old ones until the roll-out is completed, then the new ones.
func (c *Core) countsForCapacity(r *serverRow) bool {
	row := c.rollouts.rows.Get(r.Service)
	if row == nil {
		return true
	}
	return (r.Version == row.state.To) == (row.state.Stage == rollout.Completed)
}

// keepServerCounts raises target numbers of servers to the highest ones since the order while a
// roll-out is under way, in which no scaling request may lower a number.
func (c *Core) keepServerCounts(targets []ServerCount) {
	for i := range targets {
		t := &targets[i]
		row := c.rollouts.rows.Get(t.Service)
		if row == nil || row.state.Stage.Ended() {
			continue
		}
		key := ServerCount{Service: t.Service, DataCentre: t.DataCentre, Reclaimable: t.Reclaimable}
		floor := row.floor.Get(key)
		if floor == nil {
			floor = new(int)
			row.floor.Put(key, floor)
			*floor = c.listedCount(key)
		}
		*floor = max(*floor, t.Count)
		t.Count = *floor
	}
}

// Rollouts returns the roll-outs that this daemon knows, by service.
func (c *Core) Rollouts(now time.Time) []RolloutStatus {
	var out []RolloutStatus
	c.rollouts.rows.All(func(_ entity.ServiceName, row *rolloutRow) bool {
		out = append(out, c.rolloutStatus(now, row))
		return true
	})
	slices.SortFunc(out, func(a, b RolloutStatus) int { return strings.Compare(string(a.Service), string(b.Service)) })
	return out
}

func (c *Core) rolloutStatus(now time.Time, row *rolloutRow) RolloutStatus {
	old, ordered := c.readyServers(now, row)
	s := RolloutStatus{
		State: row.state, LeaderHeard: c.leaderHeard(now, row), Left: row.state.Deadline() - c.rolloutTime(now),
		Share: c.appliedShare(now, row), Sends: row.split.Sends, Reached: row.split.Reached, OldRunning: c.oldRunning(row),
		OldReady: old, NewReady: ordered, Bad: row.bad,
	}
	for _, name := range row.judge.Routes() {
		oldSamples, newSamples := row.judge.Total(name)
		s.Routes = append(s.Routes, RolloutRoute{name, oldSamples, newSamples})
	}
	return s
}
