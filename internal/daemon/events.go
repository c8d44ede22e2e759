package daemon

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

// record puts events into the time line and the log.
func (d *Daemon) record(events []event.Event) {
	for _, e := range events {
		now := time.Now()
		d.Events.Record(now, e)
		d.Log.Event(now, e)
	}
}
