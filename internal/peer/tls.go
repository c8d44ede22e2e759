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

// ErrKeyPermissions is wrapped when users other than the owner have access to a
// key file.
var ErrKeyPermissions = merry.Sentinel("key file is accessible to users other than its owner")

// TLSFiles names PEM files. They are reloaded when they change.
type TLSFiles struct {
	Certificate string // this daemon's certificate and any intermediates
	Key         string // its private key; mode 0600 or stricter
	Authority   string // certificates of the authorities that sign daemons' certificates
}

// reloadInterval is the least time between two checks for changed files.
const reloadInterval = 10 * time.Second

func (f TLSFiles) loadTLSConfig() (*tls.Config, error) {
	s := &fileCredentials{files: f}
	if err := s.reload(); err != nil {
		return nil, err
	}
	return newTLSConfig(s.current), nil
}

// credentials holds a daemon's certificate and the authorities against which it
// verifies the certificates of its peers.
type credentials struct {
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// newTLSConfig returns a configuration for both sides of a connection. Each
// handshake calls current for its credentials. Sessions are never resumed, so
// that certificates are verified on every connection.
func newTLSConfig(current func() credentials) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{protocolName},
		ServerName:             CertificateName,
		SessionTicketsDisabled: true,
		ClientAuth:             tls.RequireAnyClientCert,
		// This turns off only the built-in verification. VerifyConnection
		// verifies the peer's certificate on both sides, against the current
		// authorities rather than a fixed pool.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			return verifyChain(s.PeerCertificates, current().authorities)
		},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return current().certificate, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return current().certificate, nil
		},
	}
}

func verifyChain(chain []*x509.Certificate, authorities *x509.CertPool) error {
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

// fileCredentials holds the credentials loaded from files. If changed files
// cannot be loaded, the previous credentials stay in use.
type fileCredentials struct {
	files TLSFiles

	mu        sync.Mutex // guards the fields below
	checkedAt time.Time
	modTimes  [3]time.Time // modification times of the files when last loaded
	loaded    credentials
}

func (s *fileCredentials) current() credentials {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.checkedAt) < reloadInterval {
		return s.loaded
	}
	if err := s.reload(); err != nil {
		reloadFailures.Inc()
	}
	return s.loaded
}

// reload reads the files if any has changed. The caller holds s.mu or is the
// only user.
func (s *fileCredentials) reload() error {
	s.checkedAt = time.Now()
	modTimes, err := s.readModTimes()
	if err != nil {
		return err
	}
	if s.loaded.certificate != nil && modTimes == s.modTimes {
		return nil
	}
	loaded, err := s.files.readCredentials()
	if err != nil {
		return err
	}
	s.modTimes, s.loaded = modTimes, loaded
	return nil
}

func (s *fileCredentials) readModTimes() ([3]time.Time, error) {
	var modTimes [3]time.Time
	for i, name := range []string{s.files.Certificate, s.files.Key, s.files.Authority} {
		info, err := os.Stat(name)
		if err != nil {
			return modTimes, err
		}
		modTimes[i] = info.ModTime()
	}
	return modTimes, nil
}

func (f TLSFiles) readCredentials() (credentials, error) {
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
		return credentials{}, merry.Errorf("%s contains no PEM certificate", f.Authority)
	}
	return credentials{certificate: &certificate, authorities: pool}, nil
}

const nonOwnerModeBits = 0o077

func checkKeyMode(name string) error {
	info, err := os.Stat(name)
	if err != nil {
		return err
	}
	if info.Mode().Perm()&nonOwnerModeBits != 0 {
		return merry.Appendf(ErrKeyPermissions, "%s has mode %04o, want 0600 or stricter", name, info.Mode().Perm())
	}
	return nil
}

// privateKeyBytes returns the PKCS #8 encoding of the private key that belongs
// to the certificate of c.
func privateKeyBytes(c *tls.Config) ([]byte, error) {
	if c.GetCertificate == nil {
		return nil, merry.New("TLS configuration has no GetCertificate function")
	}
	certificate, err := c.GetCertificate(&tls.ClientHelloInfo{})
	if err != nil {
		return nil, err
	}
	return x509.MarshalPKCS8PrivateKey(certificate.PrivateKey)
}
