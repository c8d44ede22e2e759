package exchange

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/system/placement"
)

// The speed of each backend server and the pace of those that start or recover are found by
// the placer. The daemons share what they learn in their state updates.

// enableServerPace has the placer learn speeds and limit paces, if that is configured.
func (c *Core) enableServerPace() {
	if c.cfg.ServerPace {
		c.placer.EnableServerSpeeds(c.cfg.Self.Name)
	}
}

// addServerPace adds the unsent samples of server speeds to a state update.
func (c *Core) addServerPace(now time.Time, update *StateUpdate) {
	if c.cfg.ServerPace {
		c.placer.RefreshPaces(now)
		update.Speeds = c.placer.SpeedSamples(now)
		c.logPaces()
	}
}

// applyServerPace applies the samples of server speeds in another daemon's state update.
func (c *Core) applyServerPace(now time.Time, update *StateUpdate) {
	if c.cfg.ServerPace {
		c.placer.ReceiveSpeedSamples(now, update.Speeds)
	}
}

// recentStart is the greatest age of a process that counts as one that has just started.
const recentStart = 10 * time.Second

// paceListed limits the pace of a server that has started, or is usable again. Old is its
// former entry, nil if this process is new. A daemon that starts knows only from the entry
// how old a process is.
func (c *Core) paceListed(now time.Time, old, row *serverRow) {
	if !c.cfg.ServerPace || row.State != Ready {
		return
	}
	again := old != nil && (old.State != Ready || !old.listed && !now.Before(old.goneAt))
	acquainted := now.Sub(c.cfg.Started) >= acquaintanceTime
	started := old == nil && acquainted
	if old == nil && c.trueTimeKnown && row.Born != 0 {
		started = now.Sub(c.startedAt(now, row.Born)) < recentStart
	}
	if again || started {
		c.placer.BeginPace(now, row.ID)
	}
}

// recordRejection lowers the pace of a server that has rejected a request.
func (c *Core) recordRejection(now time.Time, id entity.BackendServerID) {
	if c.cfg.ServerPace {
		c.placer.RecordRejection(now, id)
	}
}

// paceChangesPending reports whether this daemon has changed a limit and not sent the change.
func (c *Core) paceChangesPending() bool { return c.cfg.ServerPace && c.placer.PaceChangesPending() }

// paceChanges returns this daemon's unsent changes of limits, each one once.
func (c *Core) paceChanges(now time.Time) []placement.PaceChange {
	if !c.cfg.ServerPace {
		return nil
	}
	return c.placer.PaceChanges(now)
}

// paceEventNumbers are the events of the changes that do not begin a limit.
var paceEventNumbers = map[placement.PaceReason]event.Number{
	placement.PaceLate: event.ServerPaceLowered, placement.PaceRejected: event.ServerPaceLowered, placement.PaceOpen: event.ServerPaceOpen,
}

// logPaces logs the changes of limits.
func (c *Core) logPaces() {
	for _, e := range c.placer.TakePaceEvents() {
		number, ok := paceEventNumbers[e.Reason]
		if !ok {
			number = event.ServerPaceLimited
		}
		c.logEvent(event.Event{Number: number, Backend: e.Server, Detail: string(e.Reason), Attrs: []event.Attr{
			event.A("limit", e.Value), event.A("part", e.Part), event.A("speed_ratio", e.Speed),
		}})
	}
}

// addSpeedStatus adds a server's speed and pace to its status.
func (c *Core) addSpeedStatus(id entity.BackendServerID, s *ServerStatus) {
	if !c.cfg.ServerPace {
		return
	}
	ratio, limit := c.placer.Speed(id)
	s.SpeedRatio = &ratio
	if limit > 0 {
		s.PaceLimit = &limit
	}
}
