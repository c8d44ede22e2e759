package daemon

import "github.com/gooseberryslip/gooseberryslip/internal/event"

// Recorder takes the daemon's events, for the time line and the log.
type Recorder interface {
	Record(e event.Event)
}

// record passes events on.
func (d *Daemon) record(events []event.Event) {
	for _, e := range events {
		d.Recorder.Record(e)
	}
}
