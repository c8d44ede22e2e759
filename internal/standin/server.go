package standin

import (
	"io"
	"log"
	"net"
	"net/http"
	"sync"
)

// Server serves a handler on a loopback port. The port stays the same when the server
// is killed and started again.
type Server struct {
	handler http.Handler

	mu         sync.Mutex
	address    string
	httpServer *http.Server // nil while killed
}

// StartServer opens a free loopback port and serves the handler on it.
func StartServer(h http.Handler) (*Server, error) {
	s := newServer(h)
	return s, s.Start()
}

func newServer(h http.Handler) *Server {
	return &Server{handler: h, address: "127.0.0.1:0"}
}

// Address returns the server's host:port.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// URL returns the server's base URL.
func (s *Server) URL() string { return "http://" + s.Address() }

// Start opens the port again after Kill. It does nothing while the server is running.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.httpServer != nil {
		return nil
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.address = listener.Addr().String()
	s.httpServer = &http.Server{Handler: s.handler, ErrorLog: log.New(io.Discard, "", 0)}
	go func(h *http.Server) { _ = h.Serve(listener) }(s.httpServer)
	return nil
}

// Kill closes the port and aborts all connections. Start opens the port again.
func (s *Server) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.httpServer == nil {
		return
	}
	_ = s.httpServer.Close()
	s.httpServer = nil
}
