package callerapi

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/gorilla/mux"

	"github.com/gooseberryslip/gooseberryslip/internal/core"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// organisationHandler serves the call of an authenticated organisation.
type organisationHandler func(w http.ResponseWriter, r *http.Request, org entity.OrganisationID)

// authenticate wraps h so that it is called only for requests with the bearer token
// of an organisation.
func (s *server) authenticate(h organisationHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		org, known := s.daemon.Authenticate(token)
		if !ok || !known {
			s.writeFailure(w, verdict.New(verdict.NotRun, "unauthorised", "no organisation has this credential"))
			return
		}
		h(w, r, org)
	}
}

// serviceName returns the name of the service in the request's path, or "" if it is
// wrongly escaped.
func serviceName(r *http.Request) entity.ServiceName {
	name, err := url.PathUnescape(mux.Vars(r)["service"])
	if err != nil {
		return ""
	}
	return entity.ServiceName(name)
}

// serveSubmission serves POST /v1/services/{service}/requests.
func (s *server) serveSubmission(w http.ResponseWriter, r *http.Request, org entity.OrganisationID) {
	body, err := s.readBody(w, r)
	if err != nil {
		s.writeFailure(w, err)
		return
	}
	sub, err := decodeSubmission(body)
	if err != nil {
		s.writeFailure(w, err)
		return
	}
	work, err := completionWork(sub)
	if err != nil {
		s.writeFailure(w, err)
		return
	}
	s.submitWork(w, r, org, work, sub.DeadlineMS)
}

// servePlainCall serves /v1/services/{service}/call/{path}.
func (s *server) servePlainCall(w http.ResponseWriter, r *http.Request, org entity.OrganisationID) {
	body, err := s.readBody(w, r)
	if err != nil {
		s.writeFailure(w, err)
		return
	}
	n, err := parseHeaderInt(r, "X-Priority")
	if err != nil {
		s.writeFailure(w, err)
		return
	}
	priority, err := checkPriority(int(orDefault(n, defaultPriority)))
	if err != nil {
		s.writeFailure(w, err)
		return
	}
	deadline, err := parseHeaderInt(r, "X-Deadline-Ms")
	if err != nil {
		s.writeFailure(w, err)
		return
	}
	s.submitWork(w, r, org, core.Work{Call: newPlainCall(r, body), Priority: priority}, deadline)
}

// newPlainCall converts a caller's HTTP request into a call of a plain service.
func newPlainCall(r *http.Request, body []byte) *core.PlainCall {
	_, path, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/v1/services/"), "/call")
	c := &core.PlainCall{Method: r.Method, Path: path, Query: r.URL.RawQuery, Body: body}
	for name, values := range r.Header {
		if !isForwardedHeader(name) {
			continue
		}
		for _, v := range values {
			c.Header = append(c.Header, core.HeaderField{Name: name, Value: v})
		}
	}
	return c
}

// isForwardedHeader reports whether a caller's header is forwarded to the backend
// server.
func isForwardedHeader(name string) bool {
	switch strings.ToLower(name) {
	case "content-type", "accept", "accept-language", "user-agent", "if-match", "if-none-match":
		return true
	default:
		return strings.HasPrefix(name, "X-App-")
	}
}

// submitWork submits work to the daemon and writes the replies to the caller.
func (s *server) submitWork(w http.ResponseWriter, r *http.Request, org entity.OrganisationID, work core.Work, deadlineMS *int64) {
	key, err := parseIdempotencyKey(r)
	if err != nil {
		s.writeFailure(w, err)
		return
	}
	timeout, err := s.deadlineTimeout(deadlineMS)
	if err != nil {
		s.writeFailure(w, err)
		return
	}
	work.Service = serviceName(r)
	work.Organisation = org
	work.Key = key
	replies := s.daemon.Submit(work, timeout)
	defer replies.Close()
	s.writeReplies(w, r, replies, work.Stream)
}

// serveFetch serves GET /v1/requests/{id}.
func (s *server) serveFetch(w http.ResponseWriter, r *http.Request, org entity.OrganisationID) {
	last, err := parseLastEventID(r)
	if err != nil {
		s.writeFailure(w, err)
		return
	}
	stream := strings.Contains(r.Header.Get("Accept"), "text/event-stream")
	replies := s.daemon.Fetch(core.Fetch{
		Request: requestID(r), Organisation: org, Stream: stream, After: last.tokenIndex, Sum: last.checksum,
	})
	defer replies.Close()
	s.writeReplies(w, r, replies, stream)
}

// requestID returns the request id in the request's path, or "" if it is wrongly
// escaped.
func requestID(r *http.Request) entity.RequestID {
	id, err := url.PathUnescape(mux.Vars(r)["id"])
	if err != nil {
		return ""
	}
	return entity.RequestID(id)
}

// serveCancel serves DELETE /v1/requests/{id}.
func (s *server) serveCancel(w http.ResponseWriter, r *http.Request, org entity.OrganisationID) {
	replies := s.daemon.Cancel(requestID(r), org)
	defer replies.Close()
	reply, err := replies.Next(r.Context())
	if err != nil {
		return
	}
	if reply.Failed != nil {
		s.writeFailure(w, reply.Failed)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
