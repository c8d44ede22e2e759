package daemon

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/core"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/timeline"
)

// Inbox holds the inputs for the next tick of a core. It is made before the
// daemon, so that sockets can be opened first.
type Inbox struct {
	inputs chan core.Input
	done   chan struct{}
}

// NewInbox returns an empty inbox.
func NewInbox() *Inbox {
	return &Inbox{inputs: make(chan core.Input, inboxSize), done: make(chan struct{})}
}

// Post gives an input to the next tick. It waits while the inbox is full;
// inputs after the end are dropped.
func (i *Inbox) Post(in core.Input) {
	select {
	case i.inputs <- in:
	case <-i.done:
	}
}

// PostMessage decodes a message of another daemon and posts it. The recorder's
// clock follows the sender's. A malformed message is dropped and reported.
func (i *Inbox) PostMessage(from entity.InstanceID, addr string, body []byte, clock *timeline.Recorder) error {
	m, err := core.DecodeMessage(body)
	if err != nil {
		return err
	}
	clock.Observe(time.Now(), m.Stamp)
	i.Post(core.PeerMessage{From: from, Addr: addr, Message: m})
	return nil
}

// batch takes the inputs that wait, up to the bound.
func (i *Inbox) batch(first core.Input) []core.Input {
	inputs := []core.Input{first}
	for len(inputs) < maxInputs {
		select {
		case in := <-i.inputs:
			inputs = append(inputs, in)
		default:
			return inputs
		}
	}
	return inputs
}
