package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/clock"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
	"github.com/gooseberryslip/gooseberryslip/internal/peer"
	"github.com/gooseberryslip/gooseberryslip/internal/system/streamversion"
)

const (
	// streamNewsDelay is the time between two messages with records of streams to the same
	// daemon.
	streamNewsDelay = 40 * time.Millisecond
	// streamQueryTimeout bounds the time in which other daemons are asked which version began
	// a stream.
	streamQueryTimeout = 150 * time.Millisecond
)

// streamAnswer is the answer of a daemon that was asked for the record of a stream.
type streamAnswer struct {
	Request entity.RequestID      `cbor:"1,keyasint"`
	Record  *streamversion.Record `cbor:"2,keyasint,omitempty"` // nil: the stream is not known there
}

// streamQueries are the questions for records of streams that wait for answers.
type streamQueries struct {
	mu      sync.Mutex
	waiting map[entity.RequestID][]chan bool // each gets whether the record is known, once for each answer
}

func newStreamQueries() *streamQueries {
	return &streamQueries{waiting: make(map[entity.RequestID][]chan bool)}
}

// open returns a channel that gets up to the given number of answers.
func (q *streamQueries) open(id entity.RequestID, answers int) chan bool {
	ch := make(chan bool, answers)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting[id] = append(q.waiting[id], ch)
	return ch
}

func (q *streamQueries) close(id entity.RequestID, ch chan bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	var rest []chan bool
	for _, other := range q.waiting[id] {
		if other != ch {
			rest = append(rest, other)
		}
	}
	if len(rest) == 0 {
		delete(q.waiting, id)
		return
	}
	q.waiting[id] = rest
}

// answered passes an answer on to all that wait for it.
func (q *streamQueries) answered(id entity.RequestID, known bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, ch := range q.waiting[id] {
		select {
		case ch <- known:
		default: // more answers than daemons were asked
		}
	}
}

// findStreamVersion finds out which version began the stream that the request resumes, if it
// resumes one, and asks other daemons if need be.
func (x *forwarding) findStreamVersion() {
	var ask []exchange.Member
	find := func(c *exchange.Core, now time.Time) { ask = c.FindStreamVersion(now, x.ticket) }
	x.g.withCore(find)
	transport := x.g.transport.Load()
	if len(ask) == 0 || transport == nil {
		return
	}
	id := x.request.Resumes
	answers := x.g.streamQueries.open(id, len(ask))
	defer x.g.streamQueries.close(id, answers)
	for _, m := range ask {
		x.g.sendMessage(transport.Send, peer.Address{ID: m.Name, Addr: m.PeerAddr}, message{AskStream: id})
	}
	awaitKnown(x.ctx, answers, len(ask))
	x.g.withCore(find)
}

// awaitKnown waits until one answer says that the record is known, all have arrived, or the time
// for them is over.
func awaitKnown(ctx context.Context, answers <-chan bool, expected int) {
	ctx, cancel := context.WithTimeout(ctx, streamQueryTimeout)
	defer cancel()
	for range expected {
		select {
		case known := <-answers:
			if known {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// runStreamNews sends records of streams to the daemons that hold them until the context ends.
func (g *Gateway) runStreamNews(ctx context.Context, t *peer.Transport) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.streamNews:
		}
		if !clock.Wait(ctx, streamNewsDelay) {
			return
		}
		var news []exchange.StreamNews
		g.withCore(func(c *exchange.Core, _ time.Time) { news = c.TakeStreamNews() })
		for _, n := range news {
			g.sendMessage(t.Send, peer.Address{ID: n.To.Name, Addr: n.To.PeerAddr}, message{Streams: n.Records})
		}
	}
}

// receiveStreams handles what a message says and asks of streams.
func (g *Gateway) receiveStreams(m *message, reply func(message)) {
	if len(m.Streams) > 0 {
		g.withCore(func(c *exchange.Core, now time.Time) { c.ReceiveStreams(now, m.Streams) })
	}
	if m.AskStream != "" {
		answer := streamAnswer{Request: m.AskStream}
		g.withCore(func(c *exchange.Core, now time.Time) {
			if rec, known := c.StreamRecord(now, m.AskStream); known {
				answer.Record = &rec
			}
		})
		reply(message{StreamAnswer: &answer})
	}
	if a := m.StreamAnswer; a != nil {
		if a.Record != nil {
			g.withCore(func(c *exchange.Core, now time.Time) {
				c.ReceiveStreams(now, []streamversion.Record{*a.Record})
			})
		}
		g.streamQueries.answered(a.Request, a.Record != nil)
	}
}
