package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/gooseberryslip/gooseberryslip/internal/codec"
)

// Authority is a certificate authority that lives in memory, for quick starts
// and tests. In production, certificates come from the operators' authority.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	lifetime    time.Duration
}

// clockSkew is how far the clocks of daemons may lag behind the issuer's.
const clockSkew = 5 * time.Minute

// SelfSigned returns a new authority whose certificates are valid for the
// given time from now.
func SelfSigned(lifetime time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := newTemplate("gooseberryslip authority", lifetime)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	return &Authority{certificate: certificate, key: key, lifetime: lifetime}, nil
}

func newTemplate(name string, lifetime time.Duration) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(lifetime),
	}
}

// Issue returns a new certificate and its key for a daemon.
func (a *Authority) Issue() (*tls.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := newTemplate("gooseberryslip daemon", a.lifetime)
	template.DNSNames = []string{CertificateName}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		return nil, err
	}
	return &tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, nil
}

// TLS returns settings for a transport, with a certificate of its own.
func (a *Authority) TLS() (*tls.Config, error) {
	certificate, err := a.Issue()
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	pool.AddCert(a.certificate)
	fixed := credentials{certificate: certificate, authorities: pool}
	return newTLSConfig(func() credentials { return fixed }), nil
}

const (
	publicMode  = 0o644
	privateMode = 0o600
)

// WriteFiles issues a certificate and writes it, its key and the authority's
// certificate into a directory.
func (a *Authority) WriteFiles(dir string) (TLSFiles, error) {
	certificate, err := a.Issue()
	if err != nil {
		return TLSFiles{}, err
	}
	key, err := x509.MarshalPKCS8PrivateKey(certificate.PrivateKey)
	if err != nil {
		return TLSFiles{}, err
	}
	files := TLSFiles{
		Certificate: filepath.Join(dir, "peer.pem"),
		Key:         filepath.Join(dir, "peer.key"),
		Authority:   filepath.Join(dir, "authority.pem"),
	}
	if err := writePEM(files.Certificate, "CERTIFICATE", certificate.Certificate[0], publicMode); err != nil {
		return TLSFiles{}, err
	}
	if err := writePEM(files.Key, "PRIVATE KEY", key, privateMode); err != nil {
		return TLSFiles{}, err
	}
	return files, writePEM(files.Authority, "CERTIFICATE", a.certificate.Raw, publicMode)
}

func writePEM(name, kind string, der []byte, mode os.FileMode) error {
	return os.WriteFile(name, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), mode)
}

// authorityFile is the stored form of an authority.
type authorityFile struct {
	Certificate []byte        `cbor:"1,keyasint"`
	Key         []byte        `cbor:"2,keyasint"`
	Lifetime    time.Duration `cbor:"3,keyasint"`
}

// Marshal returns the authority with its private key, to be kept where only
// the fleet's daemons can read it.
func (a *Authority) Marshal() ([]byte, error) {
	key, err := x509.MarshalPKCS8PrivateKey(a.key)
	if err != nil {
		return nil, err
	}
	return codec.Encode(authorityFile{Certificate: a.certificate.Raw, Key: key, Lifetime: a.lifetime})
}

// ParseAuthority is the inverse of Marshal.
func ParseAuthority(b []byte) (*Authority, error) {
	var f authorityFile
	if err := codec.Decode(b, &f); err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(f.Certificate)
	if err != nil {
		return nil, err
	}
	key, err := x509.ParsePKCS8PrivateKey(f.Key)
	if err != nil {
		return nil, err
	}
	ec, ok := key.(*ecdsa.PrivateKey)
	if !ok {
		return nil, merry.New("peer: the authority's key is of another kind")
	}
	return &Authority{certificate: certificate, key: ec, lifetime: f.Lifetime}, nil
}
