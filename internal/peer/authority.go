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

// Authority is a certificate authority whose private key this process holds.
// Gateways share one through their table; quick starts and tests create one
// each. All other daemons use certificates of the operators' authority, which
// they load from TLSFiles.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	lifetime    time.Duration
}

// maxClockSkew is how far a daemon's clock may lag behind the issuer's:
// certificates are valid from this long before they are issued.
const maxClockSkew = 5 * time.Minute

// NewSelfSignedAuthority returns a new authority with a self-signed certificate. This and
// every certificate that it issues are valid for lifetime from their creation.
func NewSelfSignedAuthority(lifetime time.Duration) (*Authority, error) {
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
		NotBefore:    now.Add(-maxClockSkew),
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

// TLSConfig returns a configuration for a transport, with a newly issued certificate.
func (a *Authority) TLSConfig() (*tls.Config, error) {
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
	publicFileMode  = 0o644
	privateFileMode = 0o600
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
	if err := writePEM(files.Certificate, "CERTIFICATE", certificate.Certificate[0], publicFileMode); err != nil {
		return TLSFiles{}, err
	}
	if err := writePEM(files.Key, "PRIVATE KEY", key, privateFileMode); err != nil {
		return TLSFiles{}, err
	}
	return files, writePEM(files.Authority, "CERTIFICATE", a.certificate.Raw, publicFileMode)
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

// Marshal encodes the authority with its private key. The result must be stored
// where only the fleet's daemons can read it.
func (a *Authority) Marshal() ([]byte, error) {
	key, err := x509.MarshalPKCS8PrivateKey(a.key)
	if err != nil {
		return nil, err
	}
	return codec.Encode(authorityFile{Certificate: a.certificate.Raw, Key: key, Lifetime: a.lifetime})
}

// ParseAuthority decodes an authority that Marshal encoded.
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
	ecdsaKey, ok := key.(*ecdsa.PrivateKey)
	if !ok {
		return nil, merry.New("peer: the authority's private key is not an ECDSA key")
	}
	return &Authority{certificate: certificate, key: ecdsaKey, lifetime: f.Lifetime}, nil
}
