package peer

import (
	"context"
	"sync"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/clock"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// outgoing is a message that waits to be sent.
type outgoing struct {
	to   entity.InstanceID // empty: whoever holds the endpoint
	kind frameKind         // of the frame, if it goes over the stream
	body []byte
}

// queue holds the messages of one channel to one peer.
type queue struct {
	waiting []outgoing
	bytes   int
	// draining is true while a goroutine sends from the queue; there is at
	// most one, which keeps the order.
	draining bool
}

// link is the state kept for one endpoint: its connections and what waits to
// be sent. Goroutines exist only while there is something to send.
type link struct {
	t    *Transport
	addr string

	mu      sync.Mutex // guards what follows
	conns   []*connection
	dialing bool
	retired bool      // removed from the transport; takes no messages
	retryAt time.Time // no dial before this
	queues  [2]queue
}

func (l *link) queue(ch Channel) *queue { return &l.queues[ch-Datagrams] }

// enqueue adds a message and sees to it that it is sent.
func (l *link) enqueue(ch Channel, m outgoing) {
	m.kind = frameMessage
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.retired {
		dropped.closed.Inc()
		return
	}
	l.push(ch, m)
	if len(l.conns) == 0 {
		l.startDial()
		return
	}
	l.startDrain(ch)
}

func (l *link) push(ch Channel, m outgoing) {
	q := l.queue(ch)
	cfg := &l.t.cfg
	if len(q.waiting) >= cfg.QueueMessages || q.bytes+len(m.body) > cfg.QueueBytes {
		dropped.overflow.Inc()
		return
	}
	q.waiting = append(q.waiting, m)
	q.bytes += len(m.body)
}

// startDial dials unless a dial is under way or has failed a moment ago. The
// caller holds l.mu.
func (l *link) startDial() {
	if l.dialing {
		return
	}
	if time.Now().Before(l.retryAt) {
		l.dropQueued()
		return
	}
	l.dialing = true
	l.t.running.Go(func() { l.t.dial(l) })
}

func (l *link) dialFailed(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dialing = false
	l.retryAt = now.Add(l.t.cfg.RedialDelay)
	if len(l.conns) == 0 {
		l.dropQueued()
	}
}

func (l *link) dropQueued() {
	for i := range l.queues {
		dropped.unreachable.Add(len(l.queues[i].waiting))
		l.queues[i].waiting, l.queues[i].bytes = nil, 0
	}
}

// startDrain starts sending from a queue. The caller holds l.mu.
func (l *link) startDrain(ch Channel) {
	q := l.queue(ch)
	if q.draining || len(q.waiting) == 0 {
		return
	}
	q.draining = true
	l.t.running.Go(func() { l.drain(ch) })
}

// drain sends until the queue is empty or the link has no connection.
func (l *link) drain(ch Channel) {
	for {
		c, m, ok := l.next(ch)
		if !ok {
			return
		}
		if m.to != "" && m.to != c.remote {
			dropped.wrongPeer.Inc()
			c.check()
			continue
		}
		if ch == Stream {
			c.writeFrame(m.kind, m.body)
			continue
		}
		if !c.writeDatagram(m.body) {
			l.divert(m)
		}
	}
}

// divert moves a message that is too large for a datagram to the stream.
func (l *link) divert(m outgoing) {
	m.kind = frameDatagram
	l.mu.Lock()
	defer l.mu.Unlock()
	l.push(Stream, m)
	l.startDrain(Stream)
}

func (l *link) next(ch Channel) (*connection, outgoing, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.queue(ch)
	if len(l.conns) == 0 || len(q.waiting) == 0 {
		q.draining = false
		return nil, outgoing{}, false
	}
	m := q.waiting[0]
	q.waiting[0] = outgoing{}
	q.waiting = q.waiting[1:]
	q.bytes -= len(m.body)
	if len(q.waiting) == 0 {
		q.waiting = nil
	}
	return l.conns[0], m, true
}

// add makes a connection known. The first of l.conns is the one to send on.
func (l *link) add(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.dialled {
		l.dialing = false
	}
	if l.retired {
		c.closeWith(codeClosed)
		return
	}
	l.conns = append(l.conns, c)
	last := len(l.conns) - 1
	if last > 0 && c.preferredOver(l.conns[0], l.t.cfg.Self) {
		l.conns[0], l.conns[last] = l.conns[last], l.conns[0]
	}
	l.startDrain(Datagrams)
	l.startDrain(Stream)
}

func (l *link) remove(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.conns {
		if l.conns[i] == c {
			l.conns = append(l.conns[:i], l.conns[i+1:]...)
			break
		}
	}
	// What was queued for the lost connection is dropped with it: to send it
	// on another one would break the order of the stream unnoticed.
	if len(l.conns) == 0 {
		l.dropQueued()
	}
}

func (l *link) size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// retireIfUnused marks the link as removed if nothing would be lost by it.
func (l *link) retireIfUnused(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	unused := len(l.conns) == 0 && !l.dialing && now.After(l.retryAt)
	l.retired = unused
	return unused
}

const finishPoll = 5 * time.Millisecond

// finish sends what is queued, ends the streams and waits until the peers
// have closed the connections or ctx ends.
func (l *link) finish(ctx context.Context) {
	for l.busy() && clock.Wait(ctx, finishPoll) {
	}
	l.mu.Lock()
	l.retired = true
	conns := append([]*connection(nil), l.conns...)
	l.mu.Unlock()
	for _, c := range conns {
		c.finish(ctx)
	}
}

func (l *link) busy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dialing || l.queues[0].draining || l.queues[1].draining
}
