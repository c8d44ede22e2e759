package exchange

import (
	"time"
)

// The speed of each backend server and the pace of those that start or recover are found by
// the placer. The daemons share what they learn in their state updates.

// enableServerPace switches this on where the settings say so.
func (c *Core) enableServerPace() {
	if c.cfg.ServerPace {
		c.placer.EnableServerSpeeds()
	}
}

// addServerPace adds to a state update what the other daemons should know.
func (c *Core) addServerPace(now time.Time, update *StateUpdate) {
	if c.cfg.ServerPace {
		update.Speeds = c.placer.SpeedSamples(now)
	}
}

// applyServerPace applies what another daemon has learned.
func (c *Core) applyServerPace(now time.Time, update *StateUpdate) {
	if c.cfg.ServerPace {
		c.placer.ReceiveSpeedSamples(now, update.Speeds)
	}
}
