package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// protocolName is negotiated in the TLS handshake (ALPN).
const protocolName = "gooseberryslip-peer"

// CertificateName is the DNS name that the certificate of every daemon must
// carry, so that other certificates of the same authority are refused.
const CertificateName = "peer.gooseberryslip.internal"

// ErrKeyPermissions is wrapped when others than the owner may read a key file.
var ErrKeyPermissions = merry.Sentinel("key file may be read by others than its owner")

// TLSFiles names PEM files. They are read anew when they change.
type TLSFiles struct {
	Certificate string // this daemon's certificate and any intermediates
	Key         string // its private key; mode 0600 or stricter
	Authority   string // certificates of the authorities that sign daemons
}

// reloadInterval is how long changed files may stay unnoticed.
const reloadInterval = 10 * time.Second

func (f TLSFiles) load() (*tls.Config, error) {
	s := &fileSource{files: f}
	if err := s.reload(); err != nil {
		return nil, err
	}
	return newTLSConfig(s.current), nil
}

// credentials are what a daemon proves itself with and checks others by.
type credentials struct {
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// newTLSConfig returns settings for both sides of a connection. Each
// handshake takes the credentials of that moment. Sessions are never resumed,
// so that every connection checks certificates.
func newTLSConfig(current func() credentials) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{protocolName},
		ServerName:             CertificateName,
		SessionTicketsDisabled: true,
		ClientAuth:             tls.RequireAnyClientCert,
		// VerifyConnection does all checks on both sides, against the
		// authorities of the moment rather than a fixed pool.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			return verify(s.PeerCertificates, current().authorities)
		},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return current().certificate, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return current().certificate, nil
		},
	}
}

func verify(chain []*x509.Certificate, authorities *x509.CertPool) error {
	if len(chain) == 0 {
		return merry.New("peer has sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range chain[1:] {
		intermediates.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		DNSName:       CertificateName,
		Roots:         authorities,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}

// fileSource keeps the credentials of files. A renewal that cannot be read
// keeps the former credentials in use.
type fileSource struct {
	files TLSFiles

	mu      sync.Mutex // guards what follows
	checked time.Time
	seen    [3]time.Time // when each file was last modified
	loaded  credentials
}

func (s *fileSource) current() credentials {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.checked) < reloadInterval {
		return s.loaded
	}
	if err := s.reload(); err != nil {
		reloadFailures.Inc()
	}
	return s.loaded
}

// reload reads the files if any has changed. The caller holds s.mu or is the
// only user.
func (s *fileSource) reload() error {
	s.checked = time.Now()
	seen, err := s.modified()
	if err != nil {
		return err
	}
	if s.loaded.certificate != nil && seen == s.seen {
		return nil
	}
	loaded, err := s.files.read()
	if err != nil {
		return err
	}
	s.seen, s.loaded = seen, loaded
	return nil
}

func (s *fileSource) modified() ([3]time.Time, error) {
	var seen [3]time.Time
	for i, name := range []string{s.files.Certificate, s.files.Key, s.files.Authority} {
		info, err := os.Stat(name)
		if err != nil {
			return seen, err
		}
		seen[i] = info.ModTime()
	}
	return seen, nil
}

func (f TLSFiles) read() (credentials, error) {
	if err := checkKeyMode(f.Key); err != nil {
		return credentials{}, err
	}
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return credentials{}, err
	}
	pem, err := os.ReadFile(f.Authority)
	if err != nil {
		return credentials{}, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return credentials{}, merry.Errorf("%s holds no certificate", f.Authority)
	}
	return credentials{certificate: &certificate, authorities: pool}, nil
}

const othersMayRead = 0o077

func checkKeyMode(name string) error {
	info, err := os.Stat(name)
	if err != nil {
		return err
	}
	if info.Mode().Perm()&othersMayRead != 0 {
		return merry.Appendf(ErrKeyPermissions, "%s has mode %04o", name, info.Mode().Perm())
	}
	return nil
}

// privateKeyBytes returns the encoding of the key that c proves itself with.
func privateKeyBytes(c *tls.Config) ([]byte, error) {
	if c.GetCertificate == nil {
		return nil, merry.New("no certificate source")
	}
	certificate, err := c.GetCertificate(&tls.ClientHelloInfo{})
	if err != nil {
		return nil, err
	}
	return x509.MarshalPKCS8PrivateKey(certificate.PrivateKey)
}
