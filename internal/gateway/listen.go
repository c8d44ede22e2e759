package gateway

import (
	"errors"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/logging"
)

// endpoint is one HTTP socket of the daemon.
type endpoint struct {
	address     string
	handler     http.Handler
	connections int // at most
	headBytes   int // of the largest head
	listener    net.Listener
}

// listen opens the configured HTTP sockets and, once all are open, starts to serve them.
func (g *Gateway) listen() ([]*http.Server, error) {
	l := &g.Settings.Listen
	limits := newConnectionLimits(g.Settings.MaxDescriptors, g.Settings.MemoryBytes)
	endpoints := []*endpoint{
		{address: l.Callers, handler: http.HandlerFunc(g.serveExchange), connections: limits.callers, headBytes: maxHeaderBytes},
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
	for i, e := range endpoints {
		var err error
		if e.listener, err = net.Listen("tcp", e.address); err != nil {
			for _, opened := range endpoints[:i] {
				_ = opened.listener.Close() // an error changes nothing: the process ends
			}
			return err
		}
	}
	return nil
}

// serve starts to serve an endpoint.
func (g *Gateway) serve(e *endpoint) *http.Server {
	server := newServer(e.handler, g.Log)
	server.MaxHeaderBytes = e.headBytes
	listener := &trackingListener{e.listener, newConnectionTable(e.connections, g.heads, g.meter)}
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
