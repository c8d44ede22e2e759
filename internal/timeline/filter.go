package timeline

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

// Filter selects entries. A zero field does not restrict the selection.
type Filter struct {
	Request  entity.RequestID
	Service  entity.ServiceName
	Instance string // the recording process, the peer or the backend server of the event
	Since    time.Time
	Level    event.Level // lowest level selected
	Limit    int         // maximum number of entries per process, of which the latest are selected; 0: no limit
}

// Matches reports whether the filter selects an entry. It does not apply Limit.
func (f Filter) Matches(e Entry) bool {
	ev := &e.Event
	switch {
	case f.Request != "" && ev.Request != f.Request:
		return false
	case f.Service != "" && ev.Service != f.Service:
		return false
	case f.Instance != "" && !involvesInstance(e, f.Instance):
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

// involvesInstance reports whether the instance recorded the entry, or is the
// peer or the backend server of its event.
func involvesInstance(e Entry, instance string) bool {
	return string(e.Process) == instance || string(e.Event.Peer) == instance || string(e.Event.Backend) == instance
}
