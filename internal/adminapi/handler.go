package adminapi

import (
	"context"
	"net/http"
	"net/http/pprof"
	"strings"

	"github.com/gorilla/mux"
)

// Operators finds the name of the operator with a bearer token.
type Operators interface {
	Name(token string) (string, bool)
}

type contextKey int

const operatorKey contextKey = iota

// handler serves the API.
type handler struct {
	backend   Backend
	operators Operators
}

// NewHandler returns the API of a daemon. Everything but /healthz, /readyz and
// /metrics needs an operator's credential.
func NewHandler(b Backend, o Operators) http.Handler {
	h := &handler{backend: b, operators: o}
	r := mux.NewRouter()
	r.HandleFunc("/healthz", h.health).Methods(http.MethodGet)
	r.HandleFunc("/readyz", h.ready).Methods(http.MethodGet)
	r.HandleFunc("/metrics", h.metrics).Methods(http.MethodGet)

	admin := r.PathPrefix("/v1/admin").Subrouter()
	admin.Use(h.authenticate)
	admin.HandleFunc("/services", h.listServices).Methods(http.MethodGet)
	admin.HandleFunc("/services/{name}", h.getService).Methods(http.MethodGet)
	admin.HandleFunc("/services/{name}", h.changeService).Methods(http.MethodPut, http.MethodDelete)
	admin.HandleFunc("/services/{name}/history", h.history).Methods(http.MethodGet)
	admin.HandleFunc("/plan/{name}", h.plan).Methods(http.MethodGet)
	admin.HandleFunc("/status", h.status).Methods(http.MethodGet)
	admin.HandleFunc("/drain", h.drain).Methods(http.MethodPost)
	admin.HandleFunc("/events", h.events).Methods(http.MethodGet)

	profile := r.PathPrefix("/debug/pprof").Subrouter()
	profile.Use(h.authenticate)
	profile.HandleFunc("/cmdline", pprof.Cmdline)
	profile.HandleFunc("/profile", pprof.Profile)
	profile.HandleFunc("/symbol", pprof.Symbol)
	profile.HandleFunc("/trace", pprof.Trace)
	profile.PathPrefix("/").HandlerFunc(pprof.Index)
	return r
}

// authenticate lets operators pass and puts their name into the context.
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

// operatorOf returns the name of the operator who made the request.
func operatorOf(r *http.Request) string {
	name, _ := r.Context().Value(operatorKey).(string)
	return name
}

func (h *handler) health(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

func (h *handler) ready(w http.ResponseWriter, _ *http.Request) {
	if reason := h.backend.NotReady(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (h *handler) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	h.backend.WriteMetrics(w)
}

func (h *handler) status(w http.ResponseWriter, r *http.Request) {
	s, err := h.backend.Status(r.Context())
	respond(w, s, err)
}

func (h *handler) drain(w http.ResponseWriter, r *http.Request) {
	if err := h.backend.Drain(r.Context()); err != nil {
		respond(w, nil, err)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

func (h *handler) events(w http.ResponseWriter, r *http.Request) {
	f, err := parseFilter(r.URL.Query())
	if err != nil {
		writeError(w, http.StatusBadRequest, Failure{Code: CodeBadRequest, Message: err.Error()})
		return
	}
	e, err := h.backend.Events(r.Context(), f)
	respond(w, e, err)
}
