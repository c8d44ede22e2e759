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
	to   entity.InstanceID // empty: any daemon at the endpoint
	kind frameKind         // of the frame, if the message is sent over the stream
	body []byte
}

// queue holds the waiting messages of one channel to one endpoint.
type queue struct {
	waiting []outgoing
	bytes   int // total size of the bodies
	// sending is true while a goroutine sends from the queue. At most one
	// does, so that messages stay in order.
	sending bool
}

// link holds the connections to one endpoint and the messages that wait to be
// sent to it. Sending goroutines exist only while messages are queued.
type link struct {
	t    *Transport
	addr string

	mu       sync.Mutex // guards the fields below
	conns    []*connection
	dialling bool
	retired  bool      // removed from the transport; accepts no messages
	retryAt  time.Time // no dial before this
	queues   [2]queue
}

func (l *link) queue(ch Channel) *queue { return &l.queues[ch-Datagrams] }

// enqueue queues a message and starts sending, or dialling if there is no
// connection.
func (l *link) enqueue(ch Channel, m outgoing) {
	m.kind = frameMessage
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.retired {
		messagesDropped.closed.Inc()
		return
	}
	l.push(ch, m)
	if len(l.conns) == 0 {
		l.startDial()
		return
	}
	l.startSending(ch)
}

// push appends a message to its queue, or drops it if the queue is full. The
// caller holds l.mu.
func (l *link) push(ch Channel, m outgoing) {
	q := l.queue(ch)
	cfg := &l.t.cfg
	if len(q.waiting) >= cfg.MaxQueuedMessages || q.bytes+len(m.body) > cfg.MaxQueuedBytes {
		messagesDropped.overflow.Inc()
		return
	}
	q.waiting = append(q.waiting, m)
	q.bytes += len(m.body)
}

// startDial dials the endpoint unless a dial is in progress. Before l.retryAt, it
// drops the queued messages instead. The caller holds l.mu.
func (l *link) startDial() {
	if l.dialling {
		return
	}
	if time.Now().Before(l.retryAt) {
		l.dropQueued()
		return
	}
	l.dialling = true
	l.t.goroutines.Go(func() { l.t.dial(l) })
}

func (l *link) dialFailed(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dialling = false
	l.retryAt = now.Add(l.t.cfg.RedialDelay)
	if len(l.conns) == 0 {
		l.dropQueued()
	}
}

// dropQueued drops all queued messages. The caller holds l.mu.
func (l *link) dropQueued() {
	for i := range l.queues {
		messagesDropped.unreachable.Add(len(l.queues[i].waiting))
		l.queues[i].waiting, l.queues[i].bytes = nil, 0
	}
}

// startSending starts a goroutine that sends the messages of a queue, unless it
// is empty or one is already running. The caller holds l.mu.
func (l *link) startSending(ch Channel) {
	q := l.queue(ch)
	if q.sending || len(q.waiting) == 0 {
		return
	}
	q.sending = true
	l.t.goroutines.Go(func() { l.sendQueued(ch) })
}

// sendQueued sends until the queue is empty or the link has no connection.
func (l *link) sendQueued(ch Channel) {
	for {
		c, m, ok := l.nextMessage(ch)
		if !ok {
			return
		}
		if m.to != "" && m.to != c.remote {
			messagesDropped.wrongPeer.Inc()
			c.sendCheck()
			continue
		}
		if ch == Stream {
			c.writeFrame(m.kind, m.body)
			continue
		}
		if !c.writeDatagram(m.body) {
			l.requeueOnStream(m)
		}
	}
}

// requeueOnStream moves a message that is too large for a datagram to the stream.
func (l *link) requeueOnStream(m outgoing) {
	m.kind = frameDatagram
	l.mu.Lock()
	defer l.mu.Unlock()
	l.push(Stream, m)
	l.startSending(Stream)
}

// nextMessage removes the first message from a queue and returns it with the
// connection to send it on. It returns false, and marks the sender as ended, if
// there is no message or no connection.
func (l *link) nextMessage(ch Channel) (*connection, outgoing, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.queue(ch)
	if len(l.conns) == 0 || len(q.waiting) == 0 {
		q.sending = false
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

// addConnection adds an open connection. Messages are sent on l.conns[0].
func (l *link) addConnection(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.dialled {
		l.dialling = false
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
	l.startSending(Datagrams)
	l.startSending(Stream)
}

func (l *link) removeConnection(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.conns {
		if l.conns[i] == c {
			l.conns = append(l.conns[:i], l.conns[i+1:]...)
			break
		}
	}
	// Messages queued for the lost connection are dropped with it: sending them
	// on another connection could break the order of the stream without the
	// peer noticing.
	if len(l.conns) == 0 {
		l.dropQueued()
	}
}

func (l *link) connectionCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// retireIfUnused retires the link if it has no connection, no dial in progress
// and no redial delay left, and reports whether it did.
func (l *link) retireIfUnused(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	unused := len(l.conns) == 0 && !l.dialling && now.After(l.retryAt)
	l.retired = unused
	return unused
}

const closePollInterval = 5 * time.Millisecond

// closeGracefully sends what is queued, closes the streams and waits until the
// peers have closed the connections or ctx ends.
func (l *link) closeGracefully(ctx context.Context) {
	for l.busy() && clock.Wait(ctx, closePollInterval) {
	}
	l.mu.Lock()
	l.retired = true
	conns := append([]*connection(nil), l.conns...)
	l.mu.Unlock()
	for _, c := range conns {
		c.closeGracefully(ctx)
	}
}

// busy reports whether a dial or a sending goroutine is in progress.
func (l *link) busy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dialling || l.queues[0].sending || l.queues[1].sending
}
