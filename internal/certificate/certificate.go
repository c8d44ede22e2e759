// Package certificate loads TLS certificates from files and reloads them while the
// process runs, when a renewal has replaced the files.
package certificate

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/settings"
)

// CheckInterval is the shortest interval between two checks of the files for
// changes.
const CheckInterval = 10 * time.Second

// Reloader holds a certificate and its private key. GetCertificate and
// GetClientCertificate are meant for the fields of tls.Config with these names. It
// is safe for concurrent use.
type Reloader struct {
	certFile, keyFile string
	now               func() time.Time

	mu        sync.Mutex       // guards the fields below
	pair      *tls.Certificate // loaded last; nil before the first success
	checkedAt time.Time
	loaded    modTimes // of the files when pair was loaded
	lastError error    // of the last check
}

// modTimes holds the modification times of the two files. They differ when one of
// the files has been replaced.
type modTimes struct {
	cert, key time.Time
}

// NewReloader loads a certificate and its private key from PEM files. Only the
// owner of the key file may have access to it.
func NewReloader(certFile, keyFile string) (*Reloader, error) {
	r := &Reloader{certFile: certFile, keyFile: keyFile, now: time.Now}
	r.reloadChanged()
	if r.pair == nil {
		return nil, r.lastError
	}
	return r, nil
}

// GetCertificate returns the current certificate to a TLS server.
func (r *Reloader) GetCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return r.current(), nil
}

// GetClientCertificate returns the current certificate to a TLS client.
func (r *Reloader) GetClientCertificate(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return r.current(), nil
}

// Err returns why the last check could not load the files, or nil if it could. The
// certificate loaded before stays in use until a check succeeds.
func (r *Reloader) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastError
}

// current returns the certificate, after a check of the files if one is due.
func (r *Reloader) current() *tls.Certificate {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.now().Sub(r.checkedAt) >= CheckInterval {
		r.reloadChanged()
	}
	return r.pair
}

// reloadChanged loads the files if they have changed. If it fails, for example
// because a renewal has replaced only one of the files so far, the next check tries
// again.
func (r *Reloader) reloadChanged() {
	r.checkedAt = r.now()
	times, err := r.readModTimes()
	if err != nil {
		r.lastError = err
		return
	}
	if times == r.loaded {
		return
	}
	pair, err := r.loadPair()
	r.lastError = err
	if err == nil {
		r.pair, r.loaded = &pair, times
	}
}

func (r *Reloader) readModTimes() (modTimes, error) {
	cert, err := os.Stat(r.certFile)
	if err != nil {
		return modTimes{}, err
	}
	key, err := os.Stat(r.keyFile)
	if err != nil {
		return modTimes{}, err
	}
	return modTimes{cert: cert.ModTime(), key: key.ModTime()}, nil
}

func (r *Reloader) loadPair() (tls.Certificate, error) {
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
