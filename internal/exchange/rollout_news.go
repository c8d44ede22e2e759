package exchange

import (
	"math"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/rendezvous"
	"github.com/gooseberryslip/gooseberryslip/internal/system/rollout"
)

// RolloutNews is what a state update says of a roll-out: what the leader has stated, which all
// daemons pass on, and what the sender has counted.
type RolloutNews struct {
	State rollout.State `cbor:"1,keyasint"`
	Share uint8         `cbor:"2,keyasint,omitempty"` // of the new version by the leader's statement, percent
	Epoch uint64        `cbor:"3,keyasint,omitempty"` // of the lease's holder that made the statement; 0: there is none
	Ago   time.Duration `cbor:"4,keyasint,omitempty"` // from the statement to the sending of the message

	Bad        bool                  `cbor:"5,keyasint,omitempty"` // the sender sends nothing to the new version
	Applied    uint8                 `cbor:"6,keyasint,omitempty"` // share that the sender applies, percent
	OldRunning int                   `cbor:"7,keyasint,omitempty"` // requests of the sender at old servers
	LongestRun time.Duration         `cbor:"8,keyasint,omitempty"` // of an answer of an old server, from its send to its end
	Samples    []RolloutRouteSamples `cbor:"9,keyasint,omitempty"`
}

// RolloutRouteSamples are the sender's samples of a route since it learned of the order.
type RolloutRouteSamples struct {
	Route string          `cbor:"1,keyasint"`
	Old   rollout.Samples `cbor:"2,keyasint,omitempty"`
	New   rollout.Samples `cbor:"3,keyasint,omitempty"`
}

// BadRollout says that the sender has found the version of an order bad.
type BadRollout struct {
	Service entity.ServiceName `cbor:"1,keyasint"`
	Order   uint64             `cbor:"2,keyasint"`
	To      string             `cbor:"3,keyasint"`
	Reason  string             `cbor:"4,keyasint"`
}

// rolloutReport is what another daemon last reported of a roll-out.
type rolloutReport struct {
	applied    uint8
	oldRunning int
}

const (
	// endedNewsTime is how long each state update includes a roll-out that has ended. After
	// that the leader's full updates do.
	endedNewsTime = 30 * time.Second
	// allPercent is the share of all requests.
	allPercent = 100
)

// rolloutNews returns what the next state update says of the roll-outs.
func (c *Core) rolloutNews(now time.Time) []RolloutNews {
	if c.rollouts.rows.Len() == 0 {
		return nil
	}
	c.hearOwnStage(now)
	_, held := c.lease.Epoch()
	full := held && c.sequence%updatesPerFullUpdate == 0
	var out []RolloutNews
	c.rollouts.rows.All(func(_ entity.ServiceName, row *rolloutRow) bool {
		if !row.state.Stage.Ended() || now.Sub(row.endedAt) < endedNewsTime || full {
			out = append(out, c.newsOf(now, row))
		}
		return true
	})
	return out
}

// newsOf returns what a state update says of a roll-out.
func (c *Core) newsOf(now time.Time, row *rolloutRow) RolloutNews {
	news := RolloutNews{State: row.state, Bad: row.stopped(), Epoch: row.epoch}
	if row.epoch > 0 {
		news.Ago, news.Share = now.Sub(row.heardAt), percent(row.share)
	}
	if row.state.Stage.Ended() {
		return news
	}
	news.Applied, news.OldRunning = percent(c.appliedShare(now, row)), c.oldRunning(row)
	if !c.reportsSamples(row) {
		news.State = rollout.State{Service: news.State.Service, Order: news.State.Order, Stage: news.State.Stage}
		return news
	}
	news.LongestRun = row.longestRun
	row.own.All(func(route string, s *routeSamples) bool {
		news.Samples = append(news.Samples, RolloutRouteSamples{Route: route, Old: s.old, New: s.ordered})
		return true
	})
	return news
}

// maxSampleReporters bounds the daemons that report their samples and the whole state of a
// roll-out, so that the reports take no more of a large fleet's bandwidth than of a smaller one's.
// Daemons of a large fleet together have more answers than the judgement needs.
const maxSampleReporters = 96

// reportsSamples reports whether this daemon is one of those that report their samples.
func (c *Core) reportsSamples(row *rolloutRow) bool {
	if c.peers.Len() < maxSampleReporters {
		return true
	}
	key, self, before := row.state.To, string(c.cfg.Self.Name), 0
	c.peers.All(func(name entity.InstanceID, _ *peerRow) bool {
		if rendezvous.Compare(string(name), self, key) < 0 {
			before++
		}
		return before < maxSampleReporters
	})
	return before < maxSampleReporters
}

func percent(share float64) uint8 { return uint8(math.Round(allPercent * min(max(share, 0), 1))) }

// appliedShare returns the new version's share of the new requests of this daemon.
func (c *Core) appliedShare(now time.Time, row *rolloutRow) float64 {
	switch c.permission(now, row) {
	case rollout.NewOnly:
		return 1
	case rollout.Rising:
		return row.share
	case rollout.CanaryOnly:
		return rollout.CanaryShare(c.cfg.Bounds.Rollout.Share)
	default:
		return 0
	}
}

// oldRunning returns the number of this daemon's requests at old servers.
func (c *Core) oldRunning(row *rolloutRow) int {
	n := 0
	for _, load := range c.placer.ServerLoads() {
		if s := c.servers.Get(load.Server); s != nil && s.Service == row.state.Service && c.isOld(row, s.Version) {
			n += load.Requests()
		}
	}
	return n
}

// receiveRollouts applies what another daemon's state update says of the roll-outs.
func (c *Core) receiveRollouts(now time.Time, from *peerRow, list []RolloutNews) {
	if !c.cfg.Bounds.Rollout.Enabled() {
		return
	}
	for i := range list {
		news := &list[i]
		if c.missesState(&news.State) {
			continue
		}
		row := c.mergeRollout(now, news.State, string(from.Name))
		if row == nil || row.state.Order != news.State.Order {
			continue
		}
		row.hear(now, news)
		row.reports.Put(from.Name, &rolloutReport{news.Applied, news.OldRunning})
		row.longestRun = max(row.longestRun, news.LongestRun)
		c.receiveSamples(now, row, from.process(), news.Samples)
		if news.Bad {
			c.stopRollout(now, row, "stopped at "+string(from.Name))
		}
	}
	c.judgeRollouts(now)
}

// missesState reports whether a message names an order that this daemon does not know, without
// its details.
func (c *Core) missesState(s *rollout.State) bool {
	row := c.rollouts.rows.Get(s.Service)
	return s.To == "" && (row == nil || row.state.Order != s.Order)
}

// hear applies a statement of the leader, unless a newer one is known.
func (r *rolloutRow) hear(now time.Time, news *RolloutNews) {
	at := now.Add(-news.Ago)
	if news.Epoch == 0 || news.Epoch < r.epoch || news.Epoch == r.epoch && !at.After(r.heardAt) {
		return
	}
	if news.State.Stage < r.state.Stage {
		return // stated before the leader knew of the present stage
	}
	r.epoch, r.heardAt, r.share = news.Epoch, at, float64(news.Share)/allPercent
}

// receiveSamples adds what a process has counted since its last report.
func (c *Core) receiveSamples(now time.Time, row *rolloutRow, process entity.InstanceID, list []RolloutRouteSamples) {
	for i := range list {
		s := &list[i]
		key := reportKey{process, s.Route}
		last := row.received.Get(key)
		if last == nil {
			last = &routeSamples{}
			row.received.Put(key, last)
		}
		row.judge.Add(now, s.Route, rollout.Old, s.Old.Since(last.old))
		row.judge.Add(now, s.Route, rollout.New, s.New.Since(last.ordered))
		last.old, last.ordered = s.Old, s.New
	}
}

// receiveBadRollout applies another daemon's finding.
func (c *Core) receiveBadRollout(now time.Time, from entity.InstanceID, b *BadRollout) {
	row := c.rollouts.rows.Get(b.Service)
	if row != nil && row.state.Order == b.Order {
		c.stopRollout(now, row, b.Reason+" at "+string(from))
	}
}

// stopRollout has this daemon send nothing more to the version, and reports whether it still did.
func (c *Core) stopRollout(now time.Time, row *rolloutRow, reason string) bool {
	if row.bad != "" || row.state.Stage.Ended() {
		return false
	}
	row.bad = reason
	c.logRollout(now, event.RolloutFoundBad, row, event.A("reason", reason), event.A("sends", row.split.Sends), event.A("reached", row.split.Reached))
	return true
}
