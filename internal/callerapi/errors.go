package callerapi

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// Header names of replies.
const (
	headerRequest = "X-Request-Id"
	headerVerdict = "X-Verdict"
)

// errorBody is the body of every failure.
type errorBody struct {
	Error errorDetail `json:"error"`
}

// errorDetail tells what failed, whether the request may have run, and when
// and where to try again.
type errorDetail struct {
	Code         verdict.Code `json:"code"`
	Message      string       `json:"message"`
	Verdict      string       `json:"verdict"`
	RetryAfterMS int64        `json:"retry_after_ms,omitempty"`
	Addresses    []string     `json:"addresses,omitempty"`
}

// statuses maps codes to HTTP statuses; see docs/API.md.
var statuses = map[verdict.Code]int{
	"bad-request":        http.StatusBadRequest,
	"unauthorised":       http.StatusUnauthorized,
	"forbidden":          http.StatusForbidden,
	"unknown-service":    http.StatusNotFound,
	"unknown-request":    http.StatusNotFound,
	"not-found":          http.StatusNotFound,
	"not-allowed":        http.StatusMethodNotAllowed,
	"key-reused":         http.StatusConflict,
	"restarted":          http.StatusConflict,
	"too-large":          http.StatusRequestEntityTooLarge,
	"convicted":          http.StatusUnprocessableEntity,
	"over-limit":         http.StatusTooManyRequests,
	"cancelled":          statusCancelled,
	"backend-failed":     http.StatusBadGateway,
	"outcome-unknown":    http.StatusBadGateway,
	"leaving":            http.StatusServiceUnavailable,
	"isolated":           http.StatusServiceUnavailable,
	"no-capacity":        http.StatusServiceUnavailable,
	"store-unavailable":  http.StatusServiceUnavailable,
	"not-owner":          http.StatusServiceUnavailable,
	"deadline":           http.StatusGatewayTimeout,
	"deadline-too-short": http.StatusGatewayTimeout,
}

// statusCancelled is the usual status of a request that its client withdrew.
const statusCancelled = 499

// elsewhere lists the codes with which another daemon may do better.
var elsewhere = map[verdict.Code]bool{"leaving": true, "isolated": true, "no-capacity": true, "not-owner": true}

// detail converts an error.
func (s *server) detail(err error) errorDetail {
	d := errorDetail{
		Code:    verdict.CodeOf(err),
		Message: err.Error(),
		Verdict: verdict.Of(err).String(),
	}
	if after, ok := verdict.RetryAfter(err); ok {
		d.RetryAfterMS = after.Milliseconds()
	}
	if elsewhere[d.Code] {
		for _, a := range s.daemon.Addresses().Addresses {
			d.Addresses = append(d.Addresses, a.Address)
		}
	}
	return d
}

// fail writes an error reply.
func (s *server) fail(w http.ResponseWriter, err error) {
	writeError(w, s.detail(err))
}

// writeError writes an error with its status and headers.
func writeError(w http.ResponseWriter, d errorDetail) {
	status, ok := statuses[d.Code]
	if !ok {
		status = http.StatusInternalServerError
	}
	w.Header().Set(headerVerdict, d.Verdict)
	if d.RetryAfterMS > 0 {
		seconds := (time.Duration(d.RetryAfterMS)*time.Millisecond + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	writeJSON(w, status, errorBody{Error: d})
}

// writeJSON writes a JSON reply.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// badRequest is the error of a call that breaks the API's rules.
func badRequest(msg string) error { return verdict.New(verdict.NotRun, "bad-request", msg) }

// notFound answers calls of unknown paths.
func notFound(w http.ResponseWriter, _ *http.Request) {
	writeError(w, errorDetail{Code: "not-found", Message: "no such path", Verdict: verdict.NotRun.String()})
}

// notAllowed answers calls with the wrong method.
func notAllowed(w http.ResponseWriter, _ *http.Request) {
	writeError(w, errorDetail{Code: "not-allowed", Message: "method not allowed", Verdict: verdict.NotRun.String()})
}
