package grant

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/duetime"
)

// outbox gathers the parts of one message for each daemon.
type outbox struct {
	own     *Message // to this daemon itself
	peers   *entity.Table[entity.InstanceID, parcel]
	flushAt time.Time // when the oldest part has waited long enough
}

type parcel struct {
	message Message
	due     time.Time
}

func newOutbox() outbox {
	return outbox{peers: entity.NewTable[entity.InstanceID, parcel]()}
}

func (o *outbox) local() *Message {
	if o.own == nil {
		o.own = &Message{}
	}
	return o.own
}

func (o *outbox) takeLocal() *Message {
	m := o.own
	o.own = nil
	return m
}

func (o *outbox) to(id entity.InstanceID, now time.Time, urgent bool, delay time.Duration) *Message {
	p := o.peers.Get(id)
	if p == nil {
		p = &parcel{due: now.Add(delay)}
		o.peers.Put(id, p)
	}
	if urgent {
		p.due = now
	}
	o.flushAt = duetime.Earliest(o.flushAt, p.due)
	return &p.message
}

// flush appends the messages that are due.
func (o *outbox) flush(now time.Time, out []Envelope) []Envelope {
	if o.flushAt.IsZero() || now.Before(o.flushAt) {
		return out
	}
	o.flushAt = time.Time{}
	for _, id := range o.peers.Keys() {
		p := o.peers.Get(id)
		if now.Before(p.due) {
			o.flushAt = duetime.Earliest(o.flushAt, p.due)
			continue
		}
		out = append(out, Envelope{To: id, Message: p.message})
		o.peers.Delete(id)
	}
	return out
}
