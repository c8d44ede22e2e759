package peer

import (
	"bytes"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"testing"
	"time"
)

func TestTLSFiles_KeyMayNotBeReadByOthers(t *testing.T) {
	files, err := newAuthority(t).WriteFiles(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := files.loadTLSConfig(); err != nil {
		t.Fatal(err)
	}
	if err := os.Chmod(files.Key, 0o640); err != nil {
		t.Fatal(err)
	}
	if _, err := files.loadTLSConfig(); !errors.Is(err, ErrKeyPermissions) {
		t.Fatalf("key file with mode 0640: got error %v, want ErrKeyPermissions", err)
	}
}

func TestTLSFiles_RenewalIsNoticed(t *testing.T) {
	dir, authority := t.TempDir(), newAuthority(t)
	files, err := authority.WriteFiles(dir)
	if err != nil {
		t.Fatal(err)
	}
	source := &fileCredentials{files: files}
	if err := source.reload(); err != nil {
		t.Fatal(err)
	}
	before := source.current().certificate.Certificate[0]
	if _, err := authority.WriteFiles(dir); err != nil {
		t.Fatal(err)
	}
	renewedAt := time.Now().Add(time.Minute)
	if err := os.Chtimes(files.Certificate, renewedAt, renewedAt); err != nil {
		t.Fatal(err)
	}
	source.checkedAt = time.Time{}
	if bytes.Equal(before, source.current().certificate.Certificate[0]) {
		t.Fatal("the previous certificate is still in use")
	}
}

func TestTLS_NoResumption(t *testing.T) {
	c, err := newAuthority(t).TLSConfig()
	if err != nil {
		t.Fatal(err)
	}
	if !c.SessionTicketsDisabled || c.ClientSessionCache != nil || c.MinVersion != tls.VersionTLS13 {
		t.Fatal("session resumption or a TLS version before 1.3 is allowed")
	}
}

// certificateFor returns a certificate of the authority for a DNS name. A
// negative lifetime makes it an expired one.
func certificateFor(t *testing.T, a *Authority, name string, lifetime time.Duration) *x509.Certificate {
	t.Helper()
	template := newTemplate("test", lifetime)
	template.DNSNames = []string{name}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, a.key.Public(), a.key)
	if err != nil {
		t.Fatal(err)
	}
	c, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestVerify_OnlyDaemonsOfTheAuthority(t *testing.T) {
	trusted, untrusted := newAuthority(t), newAuthority(t)
	pool := x509.NewCertPool()
	pool.AddCert(trusted.certificate)
	cases := []struct {
		name  string
		chain []*x509.Certificate
		ok    bool
	}{
		{"a daemon", []*x509.Certificate{certificateFor(t, trusted, CertificateName, time.Hour)}, true},
		{"another service", []*x509.Certificate{certificateFor(t, trusted, "web.internal", time.Hour)}, false},
		{"expired", []*x509.Certificate{certificateFor(t, trusted, CertificateName, -time.Minute)}, false},
		{"another authority", []*x509.Certificate{certificateFor(t, untrusted, CertificateName, time.Hour)}, false},
		{"none", nil, false},
	}
	for _, c := range cases {
		if err := verifyChain(c.chain, pool); (err == nil) != c.ok {
			t.Errorf("certificate chain %q: got error %v", c.name, err)
		}
	}
}
