package daemon

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

// recordEvents adds events to the timeline and the log.
func (d *Daemon) recordEvents(events []event.Event) {
	for _, e := range events {
		now := time.Now()
		d.Events.Record(now, e)
		d.Log.Event(now, e)
	}
}
