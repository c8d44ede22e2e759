package node

import (
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/adminapi"
	"github.com/gooseberryslip/gooseberryslip/internal/callerapi"
	"github.com/gooseberryslip/gooseberryslip/internal/certificate"
	"github.com/gooseberryslip/gooseberryslip/internal/settings"
)

const (
	maxHeaderBytes  = 16 << 10
	httpIdleTimeout = time.Minute
)

// newCallerServer returns the server of the callers' API with its limits.
func (n *Node) newCallerServer() *http.Server {
	limits := callerapi.DefaultLimits()
	limits.MaxBodyBytes = n.cfg.Settings.Limits.MaxBodyBytes
	return n.newHTTPServer(callerapi.NewHandler(n.daemon, limits))
}

// newAdminServer returns the server of the administration API.
func (n *Node) newAdminServer() *http.Server {
	return n.newHTTPServer(adminapi.NewHandler(&adminBackend{n: n}, n.cfg.Operators))
}

// newHTTPServer returns a server that limits the time for reading a request's
// header and the header's size, so that slow or large headers cannot block it.
func (n *Node) newHTTPServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: n.cfg.Settings.Limits.HeaderTimeout,
		IdleTimeout:       httpIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// startServing serves a listener in the background until its server is closed; a
// failure before that is sent to serveErrors. A renewed certificate is used from
// the next connection on.
func (n *Node) startServing(l net.Listener, s *http.Server, pair settings.KeyPair, serveErrors chan<- error) {
	n.httpServers = append(n.httpServers, s)
	go func() {
		if err := serveListener(l, s, pair); !errors.Is(err, http.ErrServerClosed) {
			serveErrors <- err
		}
	}()
}

// serveListener serves with TLS if a certificate is configured.
func serveListener(l net.Listener, s *http.Server, pair settings.KeyPair) error {
	if !pair.Configured() {
		return s.Serve(l)
	}
	c, err := certificate.NewReloader(pair.Cert, pair.Key)
	if err != nil {
		return err
	}
	s.TLSConfig = &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: c.GetCertificate}
	return s.ServeTLS(l, "", "")
}
