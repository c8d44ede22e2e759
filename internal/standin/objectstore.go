package standin

import (
	"encoding/xml"
	"io"
	"net/http"
	"strconv"
	"sync"
)

const maxObjectBytes = 64 << 20

// ObjectCounts counts the calls of each kind.
type ObjectCounts struct {
	Puts    int `json:"puts"`
	Gets    int `json:"gets"`
	Deletes int `json:"deletes"`
}

// ObjectStore simulates an object store: PUT, GET and DELETE of objects, addressed in
// S3's path style. Objects are kept in memory.
type ObjectStore struct {
	Faults Faults

	mu      sync.Mutex
	objects map[string][]byte // by URL path
	counts  ObjectCounts
}

type objectError struct {
	XMLName xml.Name `xml:"Error"`
	Code    string
	Message string
}

// NewObjectStore returns an empty object store.
func NewObjectStore() *ObjectStore {
	return &ObjectStore{objects: make(map[string][]byte)}
}

// Counts returns the calls received so far, including those that faults made fail.
func (s *ObjectStore) Counts() ObjectCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// ServeHTTP serves S3's protocol and the control paths POST /_faults and
// GET /_counts.
func (s *ObjectStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/_faults":
		s.Faults.serveFaults(w, r)
		return
	case "/_counts":
		writeJSON(w, http.StatusOK, s.Counts())
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
	if err != nil {
		writeObjectError(w, http.StatusBadRequest, "EntityTooLarge")
		return
	}
	s.countCall(r.Method)
	if s.Faults.applyBefore(r) {
		writeObjectError(w, http.StatusServiceUnavailable, "SlowDown")
		return
	}
	s.serveObject(w, r, body)
}

func (s *ObjectStore) serveObject(w http.ResponseWriter, r *http.Request, body []byte) {
	switch r.Method {
	case http.MethodPut:
		s.put(r.URL.Path, body)
		s.Faults.applyAfter()
		w.WriteHeader(http.StatusOK)
	case http.MethodGet:
		value, ok := s.get(r.URL.Path)
		s.Faults.applyAfter()
		if !ok {
			writeObjectError(w, http.StatusNotFound, "NoSuchKey")
			return
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(value)))
		_, _ = w.Write(value)
	case http.MethodDelete:
		s.delete(r.URL.Path)
		s.Faults.applyAfter()
		w.WriteHeader(http.StatusNoContent)
	default:
		writeObjectError(w, http.StatusMethodNotAllowed, "MethodNotAllowed")
	}
}

func (s *ObjectStore) countCall(method string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch method {
	case http.MethodPut:
		s.counts.Puts++
	case http.MethodGet:
		s.counts.Gets++
	case http.MethodDelete:
		s.counts.Deletes++
	}
}

func (s *ObjectStore) put(path string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[path] = value
}

func (s *ObjectStore) get(path string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	value, ok := s.objects[path]
	return value, ok
}

func (s *ObjectStore) delete(path string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, path)
}

func writeObjectError(w http.ResponseWriter, status int, code string) {
	w.Header().Set("Content-Type", "application/xml")
	w.WriteHeader(status)
	_ = xml.NewEncoder(w).Encode(objectError{Code: code, Message: code})
}
