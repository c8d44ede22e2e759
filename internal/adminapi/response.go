package adminapi

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/gooseberryslip/gooseberryslip/internal/system/configuration"
	"github.com/gooseberryslip/gooseberryslip/internal/tomldoc"
)

// Code is a stable, machine-readable reason of a failure.
type Code string

// Codes of failures.
const (
	CodeBadRequest   Code = "bad-request"
	CodeUnauthorised Code = "unauthorised"
	CodeNotFound     Code = "not-found"
	CodeDeleted      Code = "deleted"
	CodeConflict     Code = "conflict"
	CodeRefused      Code = "refused"
	CodeUnavailable  Code = "unavailable"
)

// Failure is the content of an error's reply.
type Failure struct {
	Code     Code             `json:"code"`
	Message  string           `json:"message"`
	Revision uint64           `json:"revision,omitempty"` // deleted: of the deletion
	Problems tomldoc.Problems `json:"problems,omitempty"` // refused
	// Theirs and Yours are both sides of a conflict.
	Theirs configuration.Document `json:"theirs,omitzero"`
	Yours  string                 `json:"yours,omitempty"`
	// MayHaveTakenEffect: a change whose outcome is not known. Repeat it with
	// the same operation id.
	MayHaveTakenEffect bool `json:"may_have_taken_effect,omitempty"`
}

// Error returns the message.
func (f *Failure) Error() string { return f.Message }

type failureBody struct {
	Error Failure `json:"error"`
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(v)
}

func writeError(w http.ResponseWriter, status int, f Failure) {
	writeJSON(w, status, failureBody{Error: f})
}

// respond writes v, or an error of the daemon.
func respond(w http.ResponseWriter, v any, err error) {
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, Failure{Code: CodeUnavailable, Message: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, v)
}

// etag returns a revision in the form of an entity tag.
func etag(revision uint64) string { return `"` + strconv.FormatUint(revision, 10) + `"` }

// parseETag reads a revision with or without quotes.
func parseETag(s string) (uint64, error) {
	return strconv.ParseUint(strings.Trim(s, `"`), 10, 64)
}
