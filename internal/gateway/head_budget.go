package gateway

import (
	"bytes"
	"net/http"
	"sync"
)

const (
	// headMemoryRatio is the ratio of the process's memory for heads that are being read.
	headMemoryRatio = 1.0 / 8
	// headLineBytes is the memory that a line of a head takes once it is parsed, at most: a map grows by doubling.
	headLineBytes = 256
	// freeHeadBytes of a head count as a part of its connection. Ordinary heads take less.
	freeHeadBytes = 8 << 10
	// headCopies are the request's own head and that of an attempt.
	headCopies = 2
	// defaultHeadMemoryBytes is used where the settings do not limit the memory.
	defaultHeadMemoryBytes = 32 << 20
)

// headSize is the size of what has been read of a head.
type headSize struct {
	bytes, lines int64
}

func (s *headSize) add(b []byte) {
	s.bytes += int64(len(b))
	s.lines += int64(bytes.Count(b, []byte("\n")))
}

// headSizeOf returns the size of a request's head. What was counted while it was read may hold a part of the body.
func headSizeOf(r *http.Request) headSize {
	s := headSize{bytes: int64(len(r.RequestURI) + len(r.Host))}
	for name, values := range r.Header {
		for _, value := range values {
			s.bytes += int64(len(name) + len(value))
			s.lines++
		}
	}
	return s
}

// cost returns the memory of the head, raw and parsed, beyond that of an ordinary one.
func (s *headSize) cost() int64 {
	return max(2*s.bytes+headLineBytes*s.lines-freeHeadBytes, 0)
}

// headBudget bounds the memory of all heads that are being read. When it is used up, the connection that has waited
// longest for the rest of a long head is ended.
type headBudget struct {
	limitBytes int64
	meter      *meter

	mu          sync.Mutex
	changed     sync.Cond // of the fields below
	usedBytes   int64
	endingBytes int64 // of usedBytes, of connections that this budget has ended
	held        map[*trackedConn]*heldHead
}

// heldHead is what a connection holds of the budget.
type heldHead struct {
	bytes  int64
	ending bool // it counts in endingBytes
}

func newHeadBudget(memoryBytes int64, m *meter) *headBudget {
	limit := int64(defaultHeadMemoryBytes)
	if memoryBytes > 0 {
		limit = int64(headMemoryRatio * float64(memoryBytes))
	}
	b := &headBudget{limitBytes: limit, meter: m, held: map[*trackedConn]*heldHead{}}
	b.changed.L = &b.mu
	return b
}

// resize changes what a connection holds to n bytes. It waits until other connections that it has ended have
// given back theirs, and reports false if this one has been ended.
func (b *headBudget) resize(c *trackedConn, n int64) bool {
	if n == 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.held[c]
	if h == nil {
		h = &heldHead{}
		b.held[c] = h
	}
	for more := n - h.bytes; !c.ended.Load(); {
		switch {
		case b.usedBytes+more <= b.limitBytes:
			b.usedBytes += more
			h.bytes = n
			return true
		case b.usedBytes-b.endingBytes+more > b.limitBytes:
			b.endLongestWaiting()
		default:
			b.changed.Wait()
		}
	}
	return false
}

// endLongestWaiting ends one of the connections that hold memory, or ask for it.
func (b *headBudget) endLongestWaiting() {
	var longest *trackedConn
	for c := range b.held {
		if !c.ended.Load() && (longest == nil || c.wait().before(longest.wait())) {
			longest = c
		}
	}
	if longest == nil {
		return // all have been ended meanwhile for want of connections
	}
	h := b.held[longest]
	h.ending = true
	b.endingBytes += h.bytes
	longest.end()
	b.meter.countEndedConnection("heads")
	b.changed.Broadcast()
}

// release gives back what a connection holds.
func (b *headBudget) release(c *trackedConn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.held[c]
	if h == nil {
		return
	}
	delete(b.held, c)
	b.usedBytes -= h.bytes
	if h.ending {
		b.endingBytes -= h.bytes
	}
	b.changed.Broadcast()
}

// holdHead moves the memory of the request's head to the budget for requests in flight, and reports false if there
// is no room.
func (x *forwarding) holdHead() bool {
	c := trackedConnOf(x.r)
	if c == nil {
		return true
	}
	size := headSizeOf(x.r)
	n := headCopies * size.cost()
	if n > 0 && !x.g.bodyMemory.reserve(n) {
		return false
	}
	x.headBytes = n
	c.table.heads.release(c)
	return true
}
