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
	maxHeaderBytes = 16 << 10
	idleTimeout    = time.Minute
)

// callerServer returns the server of the callers' API with its limits.
func (n *Node) callerServer() *http.Server {
	limits := callerapi.DefaultLimits()
	limits.MaxBody = n.cfg.Settings.Limits.MaxBodyBytes
	return n.httpServer(callerapi.New(n.daemon, limits))
}

// adminServer returns the server of the operators' API.
func (n *Node) adminServer() *http.Server {
	return n.httpServer(adminapi.NewHandler(&operatorsBackend{n: n}, n.cfg.Operators))
}

// httpServer returns a server that a slow or large head cannot hold up.
func (n *Node) httpServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: n.cfg.Settings.Limits.HeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// serve serves a listener until its server is closed. Certificates that are
// renewed come into force with the next connection.
func (n *Node) serve(l net.Listener, s *http.Server, pair settings.KeyPair, failed chan<- error) {
	n.servers = append(n.servers, s)
	go func() {
		if err := serveListener(l, s, pair); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	}()
}

// serveListener serves with TLS if there is a certificate.
func serveListener(l net.Listener, s *http.Server, pair settings.KeyPair) error {
	if !pair.Set() {
		return s.Serve(l)
	}
	c, err := certificate.NewReloader(pair.Cert, pair.Key)
	if err != nil {
		return err
	}
	s.TLSConfig = &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: c.GetCertificate}
	return s.ServeTLS(l, "", "")
}
