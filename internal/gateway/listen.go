package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/gooseberryslip/gooseberryslip/internal/logging"
)

// endpoint is one HTTP socket of the daemon.
type endpoint struct {
	address     string
	handler     http.Handler
	connections int // at most
	sockets     int // of connections and of requests in progress together; 0: not limited
	headBytes   int // of the largest head
	listener    net.Listener
}

// listen opens the configured HTTP sockets and, once all are open, starts to serve them.
func (g *Gateway) listen() ([]*http.Server, error) {
	l := &g.Settings.Listen
	limits := newConnectionLimits(g.Settings.MaxDescriptors, g.Settings.MemoryBytes)
	endpoints := []*endpoint{
		{address: l.Callers, handler: http.HandlerFunc(g.serveExchange), connections: limits.callers, sockets: limits.sockets, headBytes: maxHeaderBytes},
		{address: l.Ready, handler: g.readyHandler(), connections: limits.operators, headBytes: maxOperatorHeaderBytes},
		{address: l.Addresses, handler: g.addressHandler(), connections: limits.addresses, headBytes: maxHeaderBytes},
		{address: l.Metrics, handler: g.metricsHandler(), connections: limits.operators, headBytes: maxOperatorHeaderBytes},
	}
	endpoints = slices.DeleteFunc(endpoints, func(e *endpoint) bool { return e.address == "" })
	if err := openListeners(endpoints); err != nil {
		return nil, err
	}
	var servers []*http.Server
	for _, e := range endpoints {
		servers = append(servers, g.serve(e))
	}
	return servers, nil
}

// openListeners opens the sockets of all endpoints, or of none if one cannot be opened.
func openListeners(endpoints []*endpoint) error {
	config := net.ListenConfig{Control: limitUnread}
	for i, e := range endpoints {
		var err error
		if e.listener, err = config.Listen(context.Background(), "tcp", e.address); err != nil {
			for _, opened := range endpoints[:i] {
				_ = opened.listener.Close() // an error changes nothing: the process ends
			}
			return err
		}
	}
	return nil
}

// unreadBytes is the size of the kernel's buffer for what a caller has sent and this daemon has not read. The
// kernel takes as much again for its own structures.
const unreadBytes = 32 << 10

// limitUnread sets the buffer of a listener, from which its connections have it. A buffer that is set later is
// smaller than the window that the caller knows, and segments that do not fit wait for a timeout.
func limitUnread(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		// An error changes nothing: the kernel's default stays.
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, unreadBytes)
	})
}

// serve starts to serve an endpoint.
func (g *Gateway) serve(e *endpoint) *http.Server {
	server := newServer(e.handler, g.Log)
	server.MaxHeaderBytes = e.headBytes
	table := newConnectionTable(e.connections, g.heads, g.meter)
	table.sockets = e.sockets
	listener := &trackingListener{e.listener, table}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			g.Log.Logger().WithError(err).Error("an HTTP listener failed")
		}
	}()
	return server
}

const (
	// headerTimeout bounds the time in which a caller sends a request's header.
	headerTimeout = 10 * time.Second
	// callerIdleTimeout is how long an idle connection of a caller is kept open.
	callerIdleTimeout = 120 * time.Second
	// maxHeaderBytes is the largest header of a caller's request.
	maxHeaderBytes = 64 << 10
	// maxOperatorHeaderBytes is the largest header of a request to an endpoint for operators.
	maxOperatorHeaderBytes = 16 << 10
)

func newServer(h http.Handler, log *logging.Log) *http.Server {
	return &http.Server{
		Handler: trackHeads(h), ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: debugLogger(log), DisableGeneralOptionsHandler: true,
		ConnContext: withCallerConn, ConnState: noteConnState,
	}
}
