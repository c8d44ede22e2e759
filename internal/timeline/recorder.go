package timeline

import (
	"sync"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

// DefaultCapacity is the number of events that a Recorder retains by default.
const DefaultCapacity = 4096

// Entry is an event as one process recorded it.
type Entry struct {
	Stamp    Stamp             `json:"stamp"`
	Process  entity.InstanceID `json:"process"`
	Sequence uint64            `json:"sequence"` // number of the event within the process, from 1
	Event    event.Event       `json:"event"`
}

// Export holds the events of one process that a filter has selected.
type Export struct {
	Process    entity.InstanceID   `json:"process"`
	DataCentre entity.DataCentreID `json:"data_centre"`
	Forgotten  uint64              `json:"forgotten"` // how many of the oldest events newer ones have overwritten
	Entries    []Entry             `json:"entries"`   // oldest first
}

// Recorder retains the latest events of a process in a ring buffer. It is safe for
// concurrent use.
type Recorder struct {
	process    entity.InstanceID
	dataCentre entity.DataCentreID

	mu    sync.Mutex // guards the fields below
	clock hybridClock
	ring  []Entry
	count uint64 // events recorded, also those that are no longer in ring
}

// NewRecorder returns a recorder that retains at most capacity events; 0 means
// DefaultCapacity.
func NewRecorder(process entity.InstanceID, dataCentre entity.DataCentreID, capacity int) *Recorder {
	if capacity <= 0 {
		capacity = DefaultCapacity
	}
	return &Recorder{process: process, dataCentre: dataCentre, ring: make([]Entry, 0, capacity)}
}

// Record adds an event and overwrites the oldest one if the ring buffer is full.
// now becomes the time of an event without one.
func (r *Recorder) Record(now time.Time, e event.Event) {
	if e.At.IsZero() {
		e.At = now
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count++
	entry := Entry{Stamp: r.clock.next(now), Process: r.process, Sequence: r.count, Event: e}
	if len(r.ring) < cap(r.ring) {
		r.ring = append(r.ring, entry)
		return
	}
	r.ring[(r.count-1)%uint64(cap(r.ring))] = entry
}

// Stamp returns a timestamp to send with a message to another process, which
// passes it to Observe.
func (r *Recorder) Stamp(now time.Time) Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.next(now)
}

// Observe advances the clock to the timestamp received with a message. It reports
// false if the timestamp is more than MaxSkew ahead and has been ignored.
func (r *Recorder) Observe(now time.Time, s Stamp) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.observe(now, s)
}

// Export returns the events that the filter selects, oldest first.
func (r *Recorder) Export(f Filter) Export {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := Export{Process: r.process, DataCentre: r.dataCentre, Forgotten: r.count - uint64(len(r.ring))}
	for i := range r.ring {
		entry := r.ring[(out.Forgotten+uint64(i))%uint64(cap(r.ring))]
		if f.Matches(entry) {
			out.Entries = append(out.Entries, entry)
		}
	}
	if f.Limit > 0 && len(out.Entries) > f.Limit {
		out.Entries = out.Entries[len(out.Entries)-f.Limit:]
	}
	return out
}
