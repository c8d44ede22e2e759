package adminapi

import (
	"context"
	"net/http"
	"net/http/pprof"
	"strings"

	"github.com/gorilla/mux"
)

// Operators looks up operators by their bearer token.
type Operators interface {
	// Name returns the name of the operator with a bearer token, and whether
	// there is one.
	Name(token string) (string, bool)
}

type contextKey int

const operatorKey contextKey = iota

// handler serves the API.
type handler struct {
	daemon    Daemon
	operators Operators
}

// NewHandler returns the handler of the administration API. Every path except
// /healthz, /readyz and /metrics requires an operator's credential.
func NewHandler(daemon Daemon, operators Operators) http.Handler {
	h := &handler{daemon: daemon, operators: operators}
	router := mux.NewRouter()
	router.HandleFunc("/healthz", h.serveHealth).Methods(http.MethodGet)
	router.HandleFunc("/readyz", h.serveReady).Methods(http.MethodGet)
	router.HandleFunc("/metrics", h.serveMetrics).Methods(http.MethodGet)

	admin := router.PathPrefix("/v1/admin").Subrouter()
	admin.Use(h.authenticate)
	admin.HandleFunc("/services", h.listServices).Methods(http.MethodGet)
	admin.HandleFunc("/services/{name}", h.getService).Methods(http.MethodGet)
	admin.HandleFunc("/services/{name}", h.changeService).Methods(http.MethodPut, http.MethodDelete)
	admin.HandleFunc("/services/{name}/history", h.serveHistory).Methods(http.MethodGet)
	admin.HandleFunc("/plan/{name}", h.servePlan).Methods(http.MethodGet)
	admin.HandleFunc("/status", h.serveStatus).Methods(http.MethodGet)
	admin.HandleFunc("/drain", h.serveDrain).Methods(http.MethodPost)
	admin.HandleFunc("/events", h.serveEvents).Methods(http.MethodGet)

	profiling := router.PathPrefix("/debug/pprof").Subrouter()
	profiling.Use(h.authenticate)
	profiling.HandleFunc("/cmdline", pprof.Cmdline)
	profiling.HandleFunc("/profile", pprof.Profile)
	profiling.HandleFunc("/symbol", pprof.Symbol)
	profiling.HandleFunc("/trace", pprof.Trace)
	profiling.PathPrefix("/").HandlerFunc(pprof.Index)
	return router
}

// authenticate rejects requests without an operator's bearer token. For others,
// it stores the operator's name in the request's context.
func (h *handler) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		name, known := h.operators.Name(token)
		if !ok || !known {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeError(w, http.StatusUnauthorized, Failure{
				Code: CodeUnauthorised, Message: "an operator's bearer token is required",
			})
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey, name)))
	})
}

// operatorName returns the name of the operator who made the request.
func operatorName(r *http.Request) string {
	name, _ := r.Context().Value(operatorKey).(string)
	return name
}

func (h *handler) serveHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

func (h *handler) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := h.daemon.NotReady(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (h *handler) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	h.daemon.WriteMetrics(w)
}

func (h *handler) serveStatus(w http.ResponseWriter, r *http.Request) {
	s, err := h.daemon.Status(r.Context())
	writeResult(w, s, err)
}

func (h *handler) serveDrain(w http.ResponseWriter, r *http.Request) {
	if err := h.daemon.Drain(r.Context()); err != nil {
		writeResult(w, nil, err)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

func (h *handler) serveEvents(w http.ResponseWriter, r *http.Request) {
	f, err := parseFilter(r.URL.Query())
	if err != nil {
		writeError(w, http.StatusBadRequest, Failure{Code: CodeBadRequest, Message: err.Error()})
		return
	}
	e, err := h.daemon.Events(r.Context(), f)
	writeResult(w, e, err)
}
