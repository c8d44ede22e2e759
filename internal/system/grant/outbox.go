package grant

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/duetime"
)

// outbox assembles one message for each daemon.
type outbox struct {
	localMessage *Message // from this daemon to itself; nil: empty
	peers        *entity.Table[entity.InstanceID, pendingMessage]
	flushAt      time.Time // when the next message is due; zero: none waits
}

type pendingMessage struct {
	message Message
	due     time.Time
}

func newOutbox() outbox {
	return outbox{peers: entity.NewTable[entity.InstanceID, pendingMessage]()}
}

func (o *outbox) messageToSelf() *Message {
	if o.localMessage == nil {
		o.localMessage = &Message{}
	}
	return o.localMessage
}

func (o *outbox) popLocal() *Message {
	m := o.localMessage
	o.localMessage = nil
	return m
}

// messageToPeer returns the message being assembled for another daemon, to
// append to. It is due after the delay, or now if urgent.
func (o *outbox) messageToPeer(id entity.InstanceID, now time.Time, urgent bool, delay time.Duration) *Message {
	p := o.peers.Get(id)
	if p == nil {
		p = &pendingMessage{due: now.Add(delay)}
		o.peers.Put(id, p)
	}
	if urgent {
		p.due = now
	}
	o.flushAt = duetime.EarliestNonZero(o.flushAt, p.due)
	return &p.message
}

// flush appends the messages that are due to out.
func (o *outbox) flush(now time.Time, out []Envelope) []Envelope {
	if o.flushAt.IsZero() || now.Before(o.flushAt) {
		return out
	}
	o.flushAt = time.Time{}
	for _, id := range o.peers.Keys() {
		p := o.peers.Get(id)
		if now.Before(p.due) {
			o.flushAt = duetime.EarliestNonZero(o.flushAt, p.due)
			continue
		}
		out = append(out, Envelope{To: id, Message: p.message})
		o.peers.Delete(id)
	}
	return out
}
