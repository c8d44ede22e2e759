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

// completeAnswer is the body of a reply that carries the complete answer of a model
// service at once, without a stream.
type completeAnswer struct {
	ID           entity.RequestID `json:"id"`
	Text         string           `json:"text"`
	FinishReason string           `json:"finish_reason"`
	Usage        core.Usage       `json:"usage"`
}

// tokenEvent is the data of a server-sent event "token".
type tokenEvent struct {
	Text string `json:"text"`
}

// doneEvent is the data of a server-sent event "done", which ends a stream.
type doneEvent struct {
	FinishReason string     `json:"finish_reason"`
	Usage        core.Usage `json:"usage"`
}

// movedEvent is the data of a server-sent event "moved": the caller has to continue
// the stream at another daemon.
type movedEvent struct {
	Address string           `json:"address"`
	Request entity.RequestID `json:"request"`
}

// writeReplies writes the daemon's replies to the caller, up to and including the
// final one. It returns early when the caller closes the connection.
func (s *server) writeReplies(w http.ResponseWriter, r *http.Request, replies Replies, stream bool) {
	rw := &replyWriter{server: s, w: w, r: r, stream: stream}
	for {
		reply, err := replies.Next(r.Context())
		if err != nil {
			return
		}
		if rw.writeReply(reply) {
			return
		}
	}
}

// replyWriter writes the replies to one caller.
type replyWriter struct {
	server        *server
	w             http.ResponseWriter
	r             *http.Request
	stream        bool
	requestID     entity.RequestID
	streamStarted bool // the headers of the event stream have been written
}

// writeReply writes one reply to the caller and reports whether it was the final
// one.
func (rw *replyWriter) writeReply(reply core.Reply) bool {
	switch {
	case reply.Accepted != nil:
		rw.writeAccepted(reply.Accepted.Request)
		return false
	case len(reply.Tokens) > 0:
		rw.writeTokens(reply)
		return false
	case reply.Moved != nil:
		rw.writeMoved(reply.Moved)
	case reply.Failed != nil:
		rw.writeFinalError(reply.Failed)
	case reply.Done != nil:
		rw.writeDone(reply.Done)
	}
	return true
}

// writeAccepted sends the request's id as soon as the request is accepted: in the
// headers of the stream, or, for an answer sent at once, in a preceding 103 Early
// Hints response (RFC 8297).
func (rw *replyWriter) writeAccepted(id entity.RequestID) {
	rw.requestID = id
	rw.w.Header().Set(headerRequest, string(id))
	if rw.stream {
		rw.startStream()
		return
	}
	if rw.r.ProtoAtLeast(1, 1) {
		rw.w.WriteHeader(http.StatusEarlyHints)
	}
}

// startStream writes the status and headers of the event stream.
func (rw *replyWriter) startStream() {
	rw.streamStarted = true
	rw.w.Header().Set("Content-Type", "text/event-stream")
	rw.w.Header().Set("Cache-Control", "no-store")
	rw.w.WriteHeader(http.StatusOK)
	rw.flush()
}

// flush sends buffered data to the caller.
func (rw *replyWriter) flush() {
	_ = http.NewResponseController(rw.w).Flush()
}

// writeEvent writes one server-sent event. If id is empty, the event has no id.
func (rw *replyWriter) writeEvent(name, id string, data any) {
	body, err := json.Marshal(data)
	if err != nil {
		return
	}
	if id != "" {
		_, _ = fmt.Fprintf(rw.w, "id: %s\n", id)
	}
	_, _ = fmt.Fprintf(rw.w, "event: %s\ndata: %s\n\n", name, body)
}

// writeTokens writes one event for each token of a reply, if the caller reads a
// stream.
func (rw *replyWriter) writeTokens(reply core.Reply) {
	if !rw.streamStarted {
		return
	}
	for i, t := range reply.Tokens {
		id := eventID{tokenIndex: reply.First + i, checksum: reply.Sums[i]}
		rw.writeEvent("token", id.String(), tokenEvent{Text: t})
	}
	rw.flush()
}

// writeMoved redirects the caller to another daemon: by an event in a stream, or
// otherwise by the status 303.
func (rw *replyWriter) writeMoved(m *core.Moved) {
	if rw.streamStarted {
		rw.writeEvent("moved", "", movedEvent{Address: m.Address, Request: m.Request})
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

// writeFinalError writes the error that ends the request: as an event in a stream,
// or otherwise as an error reply.
func (rw *replyWriter) writeFinalError(err error) {
	if rw.streamStarted {
		rw.writeEvent("error", "", errorBody{Error: rw.server.newErrorDetail(err)})
		rw.flush()
		return
	}
	rw.server.writeFailure(rw.w, err)
}

// writeDone writes the end of the stream, or otherwise the complete answer.
func (rw *replyWriter) writeDone(a *core.Answer) {
	if rw.streamStarted {
		rw.writeEvent("done", "", doneEvent{FinishReason: a.FinishReason, Usage: a.Usage})
		rw.flush()
		return
	}
	if a.Status != 0 {
		rw.writePlainReply(a)
		return
	}
	writeJSON(rw.w, http.StatusOK, completeAnswer{
		ID: rw.requestID, Text: strings.Join(a.Tokens, ""), FinishReason: a.FinishReason, Usage: a.Usage,
	})
}

// writePlainReply forwards the reply of a plain service to the caller.
func (rw *replyWriter) writePlainReply(a *core.Answer) {
	for _, h := range a.Header {
		if !strings.EqualFold(h.Name, headerRequest) {
			rw.w.Header().Add(h.Name, h.Value)
		}
	}
	rw.w.WriteHeader(a.Status)
	_, _ = io.Writer(rw.w).Write(a.Body)
}
