package daemon

import (
	"context"
	"sync"

	"github.com/gooseberryslip/gooseberryslip/internal/core"
)

// mailbox holds the replies that a caller has not read yet. The core bounds
// them: a request has at most as many tokens as it asked for.
type mailbox struct {
	id    core.CallerID
	owner *callers

	mu      sync.Mutex
	replies []core.Reply
	ready   chan struct{} // holds a value while there may be replies
}

// put adds a reply. It never blocks.
func (m *mailbox) put(r core.Reply) {
	m.mu.Lock()
	m.replies = append(m.replies, r)
	m.mu.Unlock()
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

// Next returns the next reply.
func (m *mailbox) Next(ctx context.Context) (core.Reply, error) {
	for {
		if r, ok := m.take(); ok {
			return r, nil
		}
		select {
		case <-m.ready:
		case <-ctx.Done():
			return core.Reply{}, ctx.Err()
		}
	}
}

// take returns the oldest reply, if there is one.
func (m *mailbox) take() (core.Reply, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.replies) == 0 {
		return core.Reply{}, false
	}
	r := m.replies[0]
	m.replies = m.replies[1:]
	return r, true
}

// Close detaches the caller.
func (m *mailbox) Close() { m.owner.close(m.id) }

// callers holds the mailboxes of the waiting callers.
type callers struct {
	gone func(core.CallerID)

	mu   sync.Mutex
	last core.CallerID
	open map[core.CallerID]*mailbox
}

// newCallers returns an empty set. It calls gone for each closed mailbox.
func newCallers(gone func(core.CallerID)) *callers {
	return &callers{gone: gone, open: make(map[core.CallerID]*mailbox)}
}

// add opens a mailbox.
func (c *callers) add() *mailbox {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last++
	m := &mailbox{id: c.last, owner: c, ready: make(chan struct{}, 1)}
	c.open[m.id] = m
	return m
}

// put delivers a reply, unless its caller has gone.
func (c *callers) put(r core.Reply) {
	c.mu.Lock()
	m := c.open[r.Caller]
	c.mu.Unlock()
	if m != nil {
		m.put(r)
	}
}

// close forgets a mailbox.
func (c *callers) close(id core.CallerID) {
	c.mu.Lock()
	delete(c.open, id)
	c.mu.Unlock()
	c.gone(id)
}
