package daemon

import (
	"context"
	"sync"

	"github.com/gooseberryslip/gooseberryslip/internal/core"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// mailbox holds the replies that a caller has not read yet. The core bounds their
// number: a request gets at most as many tokens as it has asked for.
type mailbox struct {
	id    core.CallerID
	owner *mailboxes
	// ifStopped is the verdict on the caller's request if the core stops now. The owner's mu
	// guards it.
	ifStopped verdict.Verdict

	mu      sync.Mutex
	replies []core.Reply
	ready   chan struct{} // holds a value while there may be replies
}

// add appends a reply. It never blocks.
func (m *mailbox) add(r core.Reply) {
	m.mu.Lock()
	m.replies = append(m.replies, r)
	m.mu.Unlock()
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

// Next waits for the next reply and returns it. It fails when the context ends.
func (m *mailbox) Next(ctx context.Context) (core.Reply, error) {
	for {
		if r, ok := m.removeFirst(); ok {
			return r, nil
		}
		select {
		case <-m.ready:
		case <-ctx.Done():
			return core.Reply{}, ctx.Err()
		}
	}
}

// removeFirst removes and returns the oldest reply, if there is one.
func (m *mailbox) removeFirst() (core.Reply, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.replies) == 0 {
		return core.Reply{}, false
	}
	r := m.replies[0]
	m.replies = m.replies[1:]
	return r, true
}

// Close closes the mailbox of a caller that reads no more replies.
func (m *mailbox) Close() { m.owner.closeMailbox(m.id) }

// mailboxes holds the open mailboxes of all callers.
type mailboxes struct {
	onClose func(core.CallerID)

	mu       sync.Mutex
	stopped  bool // the core sends no more replies
	lastID   core.CallerID
	byCaller map[core.CallerID]*mailbox
}

// newMailboxes returns an empty set. It calls onClose for each closed mailbox.
func newMailboxes(onClose func(core.CallerID)) *mailboxes {
	return &mailboxes{onClose: onClose, byCaller: make(map[core.CallerID]*mailbox)}
}

// openMailbox opens a mailbox with a new caller ID, for a request on which the verdict is
// untaken as long as the core has not got it. After stop, it holds the reply that this
// daemon is leaving.
func (c *mailboxes) openMailbox(untaken verdict.Verdict) *mailbox {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	m := &mailbox{id: c.lastID, owner: c, ifStopped: untaken, ready: make(chan struct{}, 1)}
	c.byCaller[m.id] = m
	if c.stopped {
		m.add(m.finalReply())
	}
	return m
}

// stop ends the delivery: each caller that waits for a reply gets the final one that this
// daemon is leaving.
func (c *mailboxes) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	for _, m := range c.byCaller {
		m.add(m.finalReply())
	}
}

// finalReply returns the reply to a caller whose request the core does not complete.
func (m *mailbox) finalReply() core.Reply {
	return core.Reply{Caller: m.id, Failed: core.LeavingError(m.ifStopped)}
}

// deliver adds a reply to its caller's mailbox, or drops it if that is closed.
func (c *mailboxes) deliver(r core.Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.byCaller[r.Caller]; m != nil {
		m.ifStopped = verdict.MayHaveRun
		m.add(r)
	}
}

// closeMailbox removes a mailbox and calls onClose.
func (c *mailboxes) closeMailbox(id core.CallerID) {
	c.mu.Lock()
	delete(c.byCaller, id)
	c.mu.Unlock()
	c.onClose(id)
}
