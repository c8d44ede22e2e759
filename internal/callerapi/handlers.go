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

// handler serves a call of a known organisation.
type handler func(w http.ResponseWriter, r *http.Request, org entity.OrganisationID)

// authenticated checks the credential before a handler.
func (s *server) authenticated(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		org, known := s.daemon.Authenticate(token)
		if !ok || !known {
			s.fail(w, verdict.New(verdict.NotRun, "unauthorised", "no organisation has this credential"))
			return
		}
		h(w, r, org)
	}
}

// service reads the service from the path.
func service(r *http.Request) entity.ServiceName {
	name, err := url.PathUnescape(mux.Vars(r)["service"])
	if err != nil {
		return ""
	}
	return entity.ServiceName(name)
}

// submit serves POST /v1/services/{service}/requests.
func (s *server) submit(w http.ResponseWriter, r *http.Request, org entity.OrganisationID) {
	body, err := s.readBody(w, r)
	if err != nil {
		s.fail(w, err)
		return
	}
	sub, err := decodeSubmission(body)
	if err != nil {
		s.fail(w, err)
		return
	}
	work, err := completionWork(sub)
	if err != nil {
		s.fail(w, err)
		return
	}
	s.run(w, r, org, work, sub.DeadlineMS)
}

// call serves /v1/services/{service}/call/{path}.
func (s *server) call(w http.ResponseWriter, r *http.Request, org entity.OrganisationID) {
	body, err := s.readBody(w, r)
	if err != nil {
		s.fail(w, err)
		return
	}
	n, err := headerNumber(r, "X-Priority")
	if err != nil {
		s.fail(w, err)
		return
	}
	priority, err := checkPriority(int(orDefault(n, defaultPriority)))
	if err != nil {
		s.fail(w, err)
		return
	}
	deadline, err := headerNumber(r, "X-Deadline-Ms")
	if err != nil {
		s.fail(w, err)
		return
	}
	s.run(w, r, org, core.Work{Call: plainCall(r, body), Priority: priority}, deadline)
}

// plainCall converts an HTTP request for a plain service.
func plainCall(r *http.Request, body []byte) *core.PlainCall {
	_, path, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/v1/services/"), "/call")
	c := &core.PlainCall{Method: r.Method, Path: path, Query: r.URL.RawQuery, Body: body}
	for name, values := range r.Header {
		if !forwarded(name) {
			continue
		}
		for _, v := range values {
			c.Header = append(c.Header, core.HeaderField{Name: name, Value: v})
		}
	}
	return c
}

// forwarded reports whether a caller's header goes to the backend server.
func forwarded(name string) bool {
	switch strings.ToLower(name) {
	case "content-type", "accept", "accept-language", "user-agent", "if-match", "if-none-match":
		return true
	default:
		return strings.HasPrefix(name, "X-App-")
	}
}

// run submits work and writes the replies.
func (s *server) run(w http.ResponseWriter, r *http.Request, org entity.OrganisationID, work core.Work, deadlineMS *int64) {
	key, err := idempotencyKey(r)
	if err != nil {
		s.fail(w, err)
		return
	}
	timeout, err := s.timeout(deadlineMS)
	if err != nil {
		s.fail(w, err)
		return
	}
	work.Service = service(r)
	work.Organisation = org
	work.Key = key
	replies := s.daemon.Submit(work, timeout)
	defer replies.Close()
	s.write(w, r, replies, work.Stream)
}

// fetch serves GET /v1/requests/{id}.
func (s *server) fetch(w http.ResponseWriter, r *http.Request, org entity.OrganisationID) {
	last, err := lastEventID(r)
	if err != nil {
		s.fail(w, err)
		return
	}
	stream := strings.Contains(r.Header.Get("Accept"), "text/event-stream")
	replies := s.daemon.Fetch(core.Fetch{
		Request: requestID(r), Organisation: org, Stream: stream, After: last.after, Sum: last.sum,
	})
	defer replies.Close()
	s.write(w, r, replies, stream)
}

// requestID reads the request id from the path.
func requestID(r *http.Request) entity.RequestID {
	id, err := url.PathUnescape(mux.Vars(r)["id"])
	if err != nil {
		return ""
	}
	return entity.RequestID(id)
}

// cancel serves DELETE /v1/requests/{id}.
func (s *server) cancel(w http.ResponseWriter, r *http.Request, org entity.OrganisationID) {
	replies := s.daemon.Cancel(requestID(r), org)
	defer replies.Close()
	reply, err := replies.Next(r.Context())
	if err != nil {
		return
	}
	if reply.Failed != nil {
		s.fail(w, reply.Failed)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
