package callerapi

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// Names of headers in replies.
const (
	headerRequest = "X-Request-Id"
	headerVerdict = "X-Verdict"
)

// errorBody is the JSON body of every error reply.
type errorBody struct {
	Error errorDetail `json:"error"`
}

// errorDetail states what failed, whether the request may have run, and when
// and at which daemons to retry it.
type errorDetail struct {
	Code         verdict.Code `json:"code"`
	Message      string       `json:"message"`
	Verdict      string       `json:"verdict"`
	RetryAfterMS int64        `json:"retry_after_ms,omitempty"` // 0: not known
	Addresses    []string     `json:"addresses,omitempty"`      // daemons to retry at, as host:port
}

// httpStatuses maps error codes to HTTP statuses, as documented in docs/API.md.
var httpStatuses = map[verdict.Code]int{
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

// statusCancelled is the non-standard status commonly used for a request that its
// client has cancelled.
const statusCancelled = 499

// retryElsewhereCodes is the set of error codes after which another daemon may be
// able to serve the request.
var retryElsewhereCodes = map[verdict.Code]bool{"leaving": true, "isolated": true, "no-capacity": true, "not-owner": true}

// newErrorDetail describes err to a caller. If another daemon may be able to serve
// the request, it adds the daemons' addresses.
func (s *server) newErrorDetail(err error) errorDetail {
	d := errorDetail{
		Code:    verdict.CodeOf(err),
		Message: err.Error(),
		Verdict: verdict.Of(err).String(),
	}
	if after, ok := verdict.RetryAfter(err); ok {
		d.RetryAfterMS = after.Milliseconds()
	}
	if retryElsewhereCodes[d.Code] {
		for _, a := range s.daemon.Addresses().Addresses {
			d.Addresses = append(d.Addresses, a.Address)
		}
	}
	return d
}

// writeFailure writes the error reply for err.
func (s *server) writeFailure(w http.ResponseWriter, err error) {
	writeError(w, s.newErrorDetail(err))
}

// writeError writes an error reply with the status and headers that belong to it.
func writeError(w http.ResponseWriter, d errorDetail) {
	status, ok := httpStatuses[d.Code]
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

// badRequest returns the error for a call that violates the rules of the API.
func badRequest(msg string) error { return verdict.New(verdict.NotRun, "bad-request", msg) }

// serveNotFound answers calls of unknown paths.
func serveNotFound(w http.ResponseWriter, _ *http.Request) {
	writeError(w, errorDetail{Code: "not-found", Message: "no such path", Verdict: verdict.NotRun.String()})
}

// serveMethodNotAllowed answers calls with a method that the path does not support.
func serveMethodNotAllowed(w http.ResponseWriter, _ *http.Request) {
	writeError(w, errorDetail{Code: "not-allowed", Message: "method not allowed", Verdict: verdict.NotRun.String()})
}
