package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/clock"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
	"github.com/gooseberryslip/gooseberryslip/internal/outbound"
)

// maxEventBytes is the size of the longest event that is relayed. All of an event is held
// until it is complete.
const maxEventBytes = 256 << 10

// smallEventBytes is the size up to which an incomplete event takes nothing of the budget for bodies.
const smallEventBytes = copyBufferBytes

// relayStream sends the events of a response to the caller as they arrive. It sends
// complete events only, so that another backend server can continue after the last one.
func (x *forwarding) relayStream(ctx context.Context, reply *outbound.Reply, silenceTimer *time.Timer) (exchange.Outcome, string) {
	var events eventSplitter
	flusher := http.NewResponseController(x.w)
	buf := make([]byte, copyBufferBytes)
	first := true
	held := int64(0) // of the budget, for an incomplete event
	defer func() { x.g.bodyMemory.release(held) }()
	x.eventsNoted = false
	for {
		n, err := reply.Read(buf)
		x.silence.end(clock.Now())
		complete := events.push(buf[:n])
		if len(complete) > 0 {
			if first {
				first = false
				silenceTimer.Stop()
				x.noteStarted()
			} else {
				x.noteEvents(events.completed)
			}
			if !x.headSent {
				x.sendHead(reply)
			}
			x.recordEventID(&events)
			if werr := x.writeAndFlush(flusher, complete); werr != nil {
				return exchange.Abandoned, "caller: " + werr.Error()
			}
		}
		if len(events.tail) > maxEventBytes {
			x.g.meter.countOversizedEvent()
			return exchange.Broken, "event longer than " + strconv.Itoa(maxEventBytes) + " bytes"
		}
		if !x.g.bodyMemory.resize(&held, events.heldBytes()) {
			return exchange.Broken, "no memory for an event of " + strconv.Itoa(len(events.tail)) + " bytes or more"
		}
		if errors.Is(err, io.EOF) {
			return x.endStream(reply, &events)
		}
		if err != nil {
			return x.failureOutcome(ctx, err), err.Error()
		}
	}
}

// streamSilence is the longest time in which nothing came of a stream.
type streamSilence struct {
	since   time.Time
	longest time.Duration
}

// begin records that what follows belongs to a new attempt.
func (s *streamSilence) begin(now time.Time) { s.since = now }

// end records that a part of the stream, or its end, has come.
func (s *streamSilence) end(now time.Time) {
	s.longest = max(s.longest, now.Sub(s.since))
	s.since = now
}

// noteEvents tells the core of further events while it wants to know.
func (x *forwarding) noteEvents(events int) {
	if x.eventsNoted {
		return
	}
	x.g.withCore(func(c *exchange.Core, now time.Time) { x.eventsNoted = !c.RecordEvents(now, x.ticket, events) })
}

// recordEventID records the ID of the newest event that is sent to the caller.
func (x *forwarding) recordEventID(events *eventSplitter) {
	if events.lastEventID != "" {
		x.lastEventID = events.lastEventID
	}
}

// writeAndFlush sends bytes to the caller without delay.
func (x *forwarding) writeAndFlush(flusher *http.ResponseController, p []byte) error {
	if _, err := x.w.Write(p); err != nil {
		return err
	}
	return flusher.Flush()
}

// endStream completes a response that the backend server has ended. Bytes after the last
// complete event are sent only if the framing (a length or chunks) proves that the
// response is complete.
func (x *forwarding) endStream(reply *outbound.Reply, events *eventSplitter) (exchange.Outcome, string) {
	if reason := x.brokenOff(reply, events); reason != "" {
		return exchange.Broken, reason
	}
	if !x.headSent {
		x.sendHead(reply)
	}
	if _, err := x.w.Write(events.tail); err != nil {
		return exchange.Abandoned, "caller: " + err.Error()
	}
	return exchange.Answered, ""
}

// brokenOff returns why an ended stream is not complete, or "" if it is. Without framing
// it must have ended after an event. A stream that resumes another one may have none.
func (x *forwarding) brokenOff(reply *outbound.Reply, events *eventSplitter) string {
	resumed := x.headSent || x.request.After != ""
	switch {
	case reply.Framed():
		return ""
	case events.withinEvent():
		return "stream ended in the middle of an event"
	case !resumed:
		return "stream ended before its first event"
	default:
		return ""
	}
}

// eventSplitter splits a stream of server-sent events after complete events. An event
// ends with an empty line.
type eventSplitter struct {
	tail        []byte // bytes after the last complete event
	lastEventID string // ID of the newest complete event that has one
	completed   int    // events that the last push has completed
}

var idField = []byte("id:")

// maxEventEndBytes is the length of the longer of the two ways to end an event, with its
// last line's end.
const maxEventEndBytes = len("\r\n\r\n")

// push adds bytes and returns the events that are complete with them.
func (s *eventSplitter) push(p []byte) []byte {
	// The tail has no event's end, but may have its beginning.
	searchFrom := max(len(s.tail)-(maxEventEndBytes-1), 0)
	s.tail = append(s.tail, p...)
	end := lastEventEnd(s.tail[searchFrom:])
	if end == 0 {
		return nil
	}
	end += searchFrom
	complete := s.tail[:end:end]
	s.completed = countEvents(complete)
	s.tail = append([]byte(nil), s.tail[end:]...)
	for line := range bytes.Lines(complete) {
		if id, ok := bytes.CutPrefix(line, idField); ok {
			s.lastEventID = string(bytes.TrimSpace(id))
		}
	}
	return complete
}

// heldBytes returns the memory for an incomplete event that counts in the budget for bodies.
func (s *eventSplitter) heldBytes() int64 {
	if cap(s.tail) <= smallEventBytes {
		return 0
	}
	return int64(cap(s.tail))
}

// countEvents returns the number of empty lines, each of which ends an event.
func countEvents(p []byte) int {
	return max(bytes.Count(p, []byte("\n\n"))+bytes.Count(p, []byte("\r\n\r\n")), 1)
}

// withinEvent reports whether an event has begun and is not complete. Empty lines between
// two events belong to none.
func (s *eventSplitter) withinEvent() bool {
	return len(bytes.Trim(s.tail, "\r\n")) > 0
}

// lastEventEnd returns the offset behind the last empty line, or 0 if there is none.
func lastEventEnd(p []byte) int {
	lf := bytes.LastIndex(p, []byte("\n\n"))
	crlf := bytes.LastIndex(p, []byte("\r\n\r\n"))
	switch {
	case lf < 0 && crlf < 0:
		return 0
	case crlf > lf:
		return crlf + len("\r\n\r\n")
	default:
		return lf + len("\n\n")
	}
}
