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

// Failure is the error in the body of a reply.
type Failure struct {
	Code     Code             `json:"code"`
	Message  string           `json:"message"`
	Revision uint64           `json:"revision,omitempty"` // with CodeDeleted: the revision of the deletion
	Problems tomldoc.Problems `json:"problems,omitempty"` // with CodeRefused: what is wrong with the document
	// Theirs and Yours are the stored document and the one that was sent, with
	// CodeConflict.
	Theirs configuration.Document `json:"theirs,omitzero"`
	Yours  string                 `json:"yours,omitempty"`
	// MayHaveTakenEffect means that the outcome of the change is not known; the
	// client should repeat the call with the same operation id.
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

// writeResult writes v, or, if err is not nil, the reply that the daemon is
// unavailable.
func writeResult(w http.ResponseWriter, v any, err error) {
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, Failure{Code: CodeUnavailable, Message: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, v)
}

// formatETag formats a revision as an entity tag.
func formatETag(revision uint64) string { return `"` + strconv.FormatUint(revision, 10) + `"` }

// parseETag parses a revision, with or without quotes.
func parseETag(s string) (uint64, error) {
	return strconv.ParseUint(strings.Trim(s, `"`), 10, 64)
}
