package daemon

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/core"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/timeline"
)

// Inbox holds the inputs for the next tick of a core. It is created before
// the daemon, so that sockets can be opened first.
type Inbox struct {
	inputs chan core.Input
	done   chan struct{}
}

// NewInbox returns an empty inbox.
func NewInbox() *Inbox {
	return &Inbox{inputs: make(chan core.Input, inboxCapacity), done: make(chan struct{})}
}

// Post queues an input for the next tick. It blocks while the inbox is full. When
// the daemon has stopped, inputs are dropped.
func (i *Inbox) Post(in core.Input) {
	select {
	case i.inputs <- in:
	case <-i.done:
	}
}

// PostMessage decodes a peer's message and posts it. It advances the clock of the
// event recorder to the message's timestamp. A malformed message is dropped and
// its error returned.
func (i *Inbox) PostMessage(from entity.InstanceID, addr string, body []byte, events *timeline.Recorder) error {
	m, err := core.DecodeMessage(body)
	if err != nil {
		return err
	}
	events.Observe(time.Now(), m.Stamp)
	i.Post(core.PeerMessage{From: from, Addr: addr, Message: m})
	return nil
}

// collectBatch returns first and the inputs that wait in the inbox, at most
// maxInputsPerTick in all.
func (i *Inbox) collectBatch(first core.Input) []core.Input {
	inputs := []core.Input{first}
	for len(inputs) < maxInputsPerTick {
		select {
		case in := <-i.inputs:
			inputs = append(inputs, in)
		default:
			return inputs
		}
	}
	return inputs
}
