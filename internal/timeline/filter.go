package timeline

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

// Filter selects entries. Zero fields select everything.
type Filter struct {
	Request  entity.RequestID
	Service  entity.ServiceName
	Instance string // a process, a peer or a backend server
	Since    time.Time
	Level    event.Level // at least
	Limit    int         // the latest ones of a process
}

// Passes reports whether the filter selects an entry; it leaves Limit aside.
func (f Filter) Passes(e Entry) bool {
	ev := &e.Event
	switch {
	case f.Request != "" && ev.Request != f.Request:
		return false
	case f.Service != "" && ev.Service != f.Service:
		return false
	case f.Instance != "" && !concerns(e, f.Instance):
		return false
	case !f.Since.IsZero() && e.Stamp.Micros < f.Since.UnixMicro():
		return false
	}
	if f.Level == event.Debug {
		return true
	}
	kind, known := event.KindOf(ev.Number)
	return !known || kind.Level >= f.Level
}

func concerns(e Entry, instance string) bool {
	return string(e.Process) == instance || string(e.Event.Peer) == instance || string(e.Event.Backend) == instance
}
