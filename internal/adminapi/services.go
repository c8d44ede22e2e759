package adminapi

import (
	"io"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/servicedoc"
	"github.com/gooseberryslip/gooseberryslip/internal/system/configuration"
)

// OperationHeader carries the id of a change, so that a call whose reply was
// lost can be repeated.
const OperationHeader = "X-Operation-Id"

func serviceOf(r *http.Request) entity.ServiceName {
	return entity.ServiceName(mux.Vars(r)["name"])
}

func (h *handler) listServices(w http.ResponseWriter, r *http.Request) {
	documents, err := h.backend.Documents(r.Context())
	if documents == nil {
		documents = []configuration.Document{}
	}
	respond(w, documents, err)
}

func (h *handler) getService(w http.ResponseWriter, r *http.Request) {
	d, found, err := h.backend.Document(r.Context(), serviceOf(r))
	switch {
	case err != nil:
		respond(w, nil, err)
	case !found:
		writeError(w, http.StatusNotFound, Failure{Code: CodeNotFound, Message: "there is no such service"})
	case d.Deleted:
		w.Header().Set("ETag", etag(d.Revision))
		writeError(w, http.StatusNotFound, Failure{
			Code: CodeDeleted, Message: "the service was deleted by " + d.Author, Revision: d.Revision,
		})
	default:
		w.Header().Set("ETag", etag(d.Revision))
		writeJSON(w, http.StatusOK, d)
	}
}

func (h *handler) history(w http.ResponseWriter, r *http.Request) {
	documents, err := h.backend.History(r.Context(), serviceOf(r))
	if documents == nil {
		documents = []configuration.Document{}
	}
	respond(w, documents, err)
}

func (h *handler) changeService(w http.ResponseWriter, r *http.Request) {
	change, ok := readChange(w, r)
	if !ok {
		return
	}
	o, err := h.backend.Apply(r.Context(), change)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, Failure{
			Code: CodeUnavailable, Message: err.Error(), MayHaveTakenEffect: true,
		})
		return
	}
	writeOutcome(w, o)
}

// readChange reads a PUT or DELETE. It answers the request itself when that is
// faulty.
func readChange(w http.ResponseWriter, r *http.Request) (configuration.Change, bool) {
	c := configuration.Change{
		Operation: r.Header.Get(OperationHeader),
		Service:   serviceOf(r),
		Author:    operatorOf(r),
	}
	refuse := func(message string) (configuration.Change, bool) {
		writeError(w, http.StatusBadRequest, Failure{Code: CodeBadRequest, Message: message})
		return c, false
	}
	if c.Operation == "" {
		return refuse(OperationHeader + " is required: a new id for each change, the same one when a call is repeated")
	}
	if match := r.Header.Get("If-Match"); match != "" {
		revision, err := parseETag(match)
		if err != nil {
			return refuse("If-Match must be the revision of the document that was edited")
		}
		c.ReadRevision = revision
	}
	if r.Method == http.MethodDelete {
		return c, true
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, servicedoc.MaxBytes))
	if err != nil {
		return refuse("the document cannot be read: " + err.Error())
	}
	if len(text) == 0 {
		return refuse("the document is empty; use DELETE to delete a service")
	}
	c.Text = string(text)
	return c, true
}

func writeOutcome(w http.ResponseWriter, o configuration.ApplyOutcome) {
	switch o.Status {
	case configuration.Applied:
		w.Header().Set("ETag", etag(o.Revision))
		writeJSON(w, http.StatusOK, o)
	case configuration.Conflict:
		writeError(w, http.StatusConflict, Failure{
			Code:    CodeConflict,
			Message: "the document is not the one that was edited; nothing was written",
			Theirs:  o.Theirs, Yours: o.Yours,
		})
	case configuration.Refused:
		writeError(w, http.StatusUnprocessableEntity, Failure{
			Code: CodeRefused, Message: o.Problems.Error(), Problems: o.Problems,
		})
	default:
		writeError(w, http.StatusServiceUnavailable, Failure{
			Code:               CodeUnavailable,
			Message:            "the table service did not answer in time",
			MayHaveTakenEffect: o.MayHaveTakenEffect,
		})
	}
}
