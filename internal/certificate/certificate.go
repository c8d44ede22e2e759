// Package certificate keeps TLS certificates current while a process runs:
// files that a renewal has replaced are read again.
package certificate

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/settings"
)

// CheckInterval is how often the files are looked at, at most.
const CheckInterval = 10 * time.Second

// Reloader holds a key pair. Its methods fit the fields of tls.Config. It is
// safe for concurrent use.
type Reloader struct {
	certFile, keyFile string
	now               func() time.Time

	mu        sync.Mutex
	pair      *tls.Certificate
	checkedAt time.Time
	version   fileVersion
	lastError error
}

// fileVersion tells whether one of the files has been replaced.
type fileVersion struct {
	cert, key time.Time
}

// NewReloader reads a key pair. The key's file may be readable by its owner
// only.
func NewReloader(certFile, keyFile string) (*Reloader, error) {
	r := &Reloader{certFile: certFile, keyFile: keyFile, now: time.Now}
	r.refresh()
	if r.pair == nil {
		return nil, r.lastError
	}
	return r, nil
}

// GetCertificate is for servers.
func (r *Reloader) GetCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return r.current(), nil
}

// GetClientCertificate is for clients.
func (r *Reloader) GetClientCertificate(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return r.current(), nil
}

// Err returns why the files as they are now cannot be used, or nil. The pair
// read before stays in use meanwhile.
func (r *Reloader) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastError
}

func (r *Reloader) current() *tls.Certificate {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.now().Sub(r.checkedAt) >= CheckInterval {
		r.refresh()
	}
	return r.pair
}

// refresh reads the files if they have changed. A pair that does not fit, as
// in the middle of a renewal, is tried again at the next check.
func (r *Reloader) refresh() {
	r.checkedAt = r.now()
	v, err := r.look()
	if err != nil {
		r.lastError = err
		return
	}
	if v == r.version {
		return
	}
	pair, err := r.read()
	r.lastError = err
	if err == nil {
		r.pair, r.version = &pair, v
	}
}

func (r *Reloader) look() (fileVersion, error) {
	cert, err := os.Stat(r.certFile)
	if err != nil {
		return fileVersion{}, err
	}
	key, err := os.Stat(r.keyFile)
	if err != nil {
		return fileVersion{}, err
	}
	return fileVersion{cert: cert.ModTime(), key: key.ModTime()}, nil
}

func (r *Reloader) read() (tls.Certificate, error) {
	cert, err := os.ReadFile(r.certFile)
	if err != nil {
		return tls.Certificate{}, err
	}
	key, err := settings.ReadSecret(r.keyFile)
	if err != nil {
		return tls.Certificate{}, err
	}
	return tls.X509KeyPair(cert, key)
}
