package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
	"github.com/gooseberryslip/gooseberryslip/internal/outbound"
)

// stream passes the events of an answer on as they arrive, whole events only, so
// that another backend server can go on after the last one.
func (x *run) stream(ctx context.Context, reply *outbound.Reply, silence *time.Timer) (exchange.Outcome, string) {
	var events splitter
	flusher := http.NewResponseController(x.w)
	buf := make([]byte, copyBuffer)
	first := true
	for {
		n, err := reply.Read(buf)
		whole := events.push(buf[:n])
		if len(whole) > 0 {
			if first {
				first = false
				silence.Stop()
				x.began()
			}
			if !x.started {
				x.head(reply)
			}
			x.note(&events)
			if werr := x.pass(flusher, whole); werr != nil {
				return exchange.Abandoned, "caller: " + werr.Error()
			}
		}
		if errors.Is(err, io.EOF) {
			return x.endStream(reply, &events)
		}
		if err != nil {
			return x.failure(ctx, err), err.Error()
		}
	}
}

// note remembers the newest event that is passed on.
func (x *run) note(events *splitter) {
	if events.lastID != "" {
		x.lastID = events.lastID
	}
}

func (x *run) pass(flusher *http.ResponseController, p []byte) error {
	if _, err := x.w.Write(p); err != nil {
		return err
	}
	return flusher.Flush()
}

// endStream ends an answer whose backend server has ended it. Bytes after the
// last whole event are passed on only if the end is marked.
func (x *run) endStream(reply *outbound.Reply, events *splitter) (exchange.Outcome, string) {
	if len(events.tail) > 0 && !reply.Framed() {
		return exchange.Broken, "the stream ends within an event"
	}
	if !x.started {
		x.head(reply)
	}
	if _, err := x.w.Write(events.tail); err != nil {
		return exchange.Abandoned, "caller: " + err.Error()
	}
	return exchange.Answered, ""
}

// splitter cuts a byte stream after whole events. Events end with an empty line.
type splitter struct {
	tail   []byte // the beginning of the next event
	lastID string // of the newest whole event that has one
}

var idField = []byte("id:")

// push takes bytes and returns the whole events that they complete.
func (s *splitter) push(p []byte) []byte {
	s.tail = append(s.tail, p...)
	end := lastEventEnd(s.tail)
	if end == 0 {
		return nil
	}
	whole := s.tail[:end:end]
	s.tail = append([]byte(nil), s.tail[end:]...)
	for line := range bytes.Lines(whole) {
		if id, ok := bytes.CutPrefix(line, idField); ok {
			s.lastID = string(bytes.TrimSpace(id))
		}
	}
	return whole
}

// lastEventEnd returns the offset after the last empty line, 0 if there is none.
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
