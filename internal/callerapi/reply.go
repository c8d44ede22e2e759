package callerapi

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/gooseberryslip/gooseberryslip/internal/core"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// whole is the body of a whole answer of a model service.
type whole struct {
	ID           entity.RequestID `json:"id"`
	Text         string           `json:"text"`
	FinishReason string           `json:"finish_reason"`
	Usage        core.Usage       `json:"usage"`
}

// tokenEvent is the data of a token event.
type tokenEvent struct {
	Text string `json:"text"`
}

// doneEvent is the data of a done event.
type doneEvent struct {
	FinishReason string     `json:"finish_reason"`
	Usage        core.Usage `json:"usage"`
}

// movedEvent is the data of a moved event.
type movedEvent struct {
	Address string           `json:"address"`
	Request entity.RequestID `json:"request"`
}

// write passes the replies of the daemon on until the final one. A caller
// that goes away ends it.
func (s *server) write(w http.ResponseWriter, r *http.Request, replies Replies, stream bool) {
	rw := &replyWriter{s: s, w: w, r: r, stream: stream}
	for {
		reply, err := replies.Next(r.Context())
		if err != nil {
			return
		}
		if rw.write(reply) {
			return
		}
	}
}

// replyWriter writes the replies to one caller.
type replyWriter struct {
	s       *server
	w       http.ResponseWriter
	r       *http.Request
	stream  bool
	id      entity.RequestID
	started bool // the head of the event stream has been written
}

// write passes one reply on and reports whether it was the final one.
func (rw *replyWriter) write(reply core.Reply) bool {
	switch {
	case reply.Accepted != nil:
		rw.accepted(reply.Accepted.Request)
		return false
	case len(reply.Tokens) > 0:
		rw.tokens(reply)
		return false
	case reply.Moved != nil:
		rw.moved(reply.Moved)
	case reply.Failed != nil:
		rw.failed(reply.Failed)
	case reply.Done != nil:
		rw.done(reply.Done)
	}
	return true
}

// accepted tells the request's id at once: in the head of the stream, or in an
// informational response before a whole answer (RFC 8297).
func (rw *replyWriter) accepted(id entity.RequestID) {
	rw.id = id
	rw.w.Header().Set(headerRequest, string(id))
	if rw.stream {
		rw.start()
		return
	}
	if rw.r.ProtoAtLeast(1, 1) {
		rw.w.WriteHeader(http.StatusEarlyHints)
	}
}

// start writes the head of the event stream.
func (rw *replyWriter) start() {
	rw.started = true
	rw.w.Header().Set("Content-Type", "text/event-stream")
	rw.w.Header().Set("Cache-Control", "no-store")
	rw.w.WriteHeader(http.StatusOK)
	rw.flush()
}

// flush sends what has been written.
func (rw *replyWriter) flush() {
	_ = http.NewResponseController(rw.w).Flush()
}

// event writes one server-sent event. An empty id is left out.
func (rw *replyWriter) event(name, id string, data any) {
	body, err := json.Marshal(data)
	if err != nil {
		return
	}
	if id != "" {
		_, _ = fmt.Fprintf(rw.w, "id: %s\n", id)
	}
	_, _ = fmt.Fprintf(rw.w, "event: %s\ndata: %s\n\n", name, body)
}

// tokens writes new tokens.
func (rw *replyWriter) tokens(reply core.Reply) {
	if !rw.started {
		return
	}
	for i, t := range reply.Tokens {
		id := eventID{after: reply.First + i, sum: reply.Sums[i]}
		rw.event("token", id.String(), tokenEvent{Text: t})
	}
	rw.flush()
}

// moved sends the caller to another daemon.
func (rw *replyWriter) moved(m *core.Moved) {
	if rw.started {
		rw.event("moved", "", movedEvent{Address: m.Address, Request: m.Request})
		rw.flush()
		return
	}
	scheme := "http"
	if rw.r.TLS != nil {
		scheme = "https"
	}
	rw.w.Header().Set("Location", scheme+"://"+m.Address+"/v1/requests/"+url.PathEscape(string(m.Request)))
	rw.w.WriteHeader(http.StatusSeeOther)
}

// failed writes the final error.
func (rw *replyWriter) failed(err error) {
	if rw.started {
		rw.event("error", "", errorBody{Error: rw.s.detail(err)})
		rw.flush()
		return
	}
	rw.s.fail(rw.w, err)
}

// done writes the end of the answer.
func (rw *replyWriter) done(a *core.Answer) {
	if rw.started {
		rw.event("done", "", doneEvent{FinishReason: a.FinishReason, Usage: a.Usage})
		rw.flush()
		return
	}
	if a.Status != 0 {
		rw.plain(a)
		return
	}
	writeJSON(rw.w, http.StatusOK, whole{
		ID: rw.id, Text: strings.Join(a.Tokens, ""), FinishReason: a.FinishReason, Usage: a.Usage,
	})
}

// plain passes the reply of a plain service on.
func (rw *replyWriter) plain(a *core.Answer) {
	for _, h := range a.Header {
		if !strings.EqualFold(h.Name, headerRequest) {
			rw.w.Header().Add(h.Name, h.Value)
		}
	}
	rw.w.WriteHeader(a.Status)
	_, _ = io.Writer(rw.w).Write(a.Body)
}
