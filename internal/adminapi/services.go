package adminapi

import (
	"io"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/servicedoc"
	"github.com/gooseberryslip/gooseberryslip/internal/system/configuration"
)

// OperationHeader is the request header with the id of a change. It lets a
// client repeat a call whose reply was lost without making the change twice.
const OperationHeader = "X-Operation-Id"

func serviceName(r *http.Request) entity.ServiceName {
	return entity.ServiceName(mux.Vars(r)["name"])
}

func (h *handler) listServices(w http.ResponseWriter, r *http.Request) {
	documents, err := h.daemon.Documents(r.Context())
	if documents == nil {
		documents = []configuration.Document{}
	}
	writeResult(w, documents, err)
}

func (h *handler) getService(w http.ResponseWriter, r *http.Request) {
	d, found, err := h.daemon.Document(r.Context(), serviceName(r))
	switch {
	case err != nil:
		writeResult(w, nil, err)
	case !found:
		writeError(w, http.StatusNotFound, Failure{Code: CodeNotFound, Message: "there is no such service"})
	case d.Deleted:
		w.Header().Set("ETag", formatETag(d.Revision))
		writeError(w, http.StatusNotFound, Failure{
			Code: CodeDeleted, Message: "the service was deleted by " + d.Author, Revision: d.Revision,
		})
	default:
		w.Header().Set("ETag", formatETag(d.Revision))
		writeJSON(w, http.StatusOK, d)
	}
}

func (h *handler) serveHistory(w http.ResponseWriter, r *http.Request) {
	documents, err := h.daemon.History(r.Context(), serviceName(r))
	if documents == nil {
		documents = []configuration.Document{}
	}
	writeResult(w, documents, err)
}

func (h *handler) changeService(w http.ResponseWriter, r *http.Request) {
	change, ok := readChange(w, r)
	if !ok {
		return
	}
	outcome, err := h.daemon.Apply(r.Context(), change)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, Failure{
			Code: CodeUnavailable, Message: err.Error(), MayHaveTakenEffect: true,
		})
		return
	}
	writeOutcome(w, outcome)
}

// readChange reads a change from a PUT or DELETE request. If the request is
// invalid, it writes the error reply and returns false.
func readChange(w http.ResponseWriter, r *http.Request) (configuration.Change, bool) {
	c := configuration.Change{
		Operation: r.Header.Get(OperationHeader),
		Service:   serviceName(r),
		Author:    operatorName(r),
	}
	reject := func(message string) (configuration.Change, bool) {
		writeError(w, http.StatusBadRequest, Failure{Code: CodeBadRequest, Message: message})
		return c, false
	}
	if c.Operation == "" {
		return reject(OperationHeader + " is required: a new id for each change, the same one when a call is repeated")
	}
	if match := r.Header.Get("If-Match"); match != "" {
		revision, err := parseETag(match)
		if err != nil {
			return reject("If-Match must be the revision of the document that was edited")
		}
		c.ReadRevision = revision
	}
	if r.Method == http.MethodDelete {
		return c, true
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, servicedoc.MaxBytes))
	if err != nil {
		return reject("the document cannot be read: " + err.Error())
	}
	if len(text) == 0 {
		return reject("the document is empty; use DELETE to delete a service")
	}
	c.Text = string(text)
	return c, true
}

func writeOutcome(w http.ResponseWriter, outcome configuration.ApplyOutcome) {
	switch outcome.Status {
	case configuration.Applied:
		w.Header().Set("ETag", formatETag(outcome.Revision))
		writeJSON(w, http.StatusOK, outcome)
	case configuration.Conflict:
		writeError(w, http.StatusConflict, Failure{
			Code:    CodeConflict,
			Message: "the document is not the one that was edited; nothing was written",
			Theirs:  outcome.CurrentDocument, Yours: outcome.SubmittedText,
		})
	case configuration.Refused:
		writeError(w, http.StatusUnprocessableEntity, Failure{
			Code: CodeRefused, Message: outcome.Problems.Error(), Problems: outcome.Problems,
		})
	default:
		writeError(w, http.StatusServiceUnavailable, Failure{
			Code:               CodeUnavailable,
			Message:            "the table service did not answer in time",
			MayHaveTakenEffect: outcome.MayHaveTakenEffect,
		})
	}
}
