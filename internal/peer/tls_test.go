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
	if _, err := files.load(); err != nil {
		t.Fatal(err)
	}
	if err := os.Chmod(files.Key, 0o640); err != nil {
		t.Fatal(err)
	}
	if _, err := files.load(); !errors.Is(err, ErrKeyPermissions) {
		t.Fatalf("got %v", err)
	}
}

func TestTLSFiles_RenewalIsNoticed(t *testing.T) {
	dir, authority := t.TempDir(), newAuthority(t)
	files, err := authority.WriteFiles(dir)
	if err != nil {
		t.Fatal(err)
	}
	source := &fileSource{files: files}
	if err := source.reload(); err != nil {
		t.Fatal(err)
	}
	before := source.current().certificate.Certificate[0]
	if _, err := authority.WriteFiles(dir); err != nil {
		t.Fatal(err)
	}
	later := time.Now().Add(time.Minute)
	if err := os.Chtimes(files.Certificate, later, later); err != nil {
		t.Fatal(err)
	}
	source.checked = time.Time{}
	if bytes.Equal(before, source.current().certificate.Certificate[0]) {
		t.Fatal("the former certificate is still in use")
	}
}

func TestTLS_NoResumption(t *testing.T) {
	c, err := newAuthority(t).TLS()
	if err != nil {
		t.Fatal(err)
	}
	if !c.SessionTicketsDisabled || c.ClientSessionCache != nil || c.MinVersion != tls.VersionTLS13 {
		t.Fatal("sessions may be resumed")
	}
}

// certificateFor returns a certificate of the authority with a name and end.
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
	ours, other := newAuthority(t), newAuthority(t)
	pool := x509.NewCertPool()
	pool.AddCert(ours.certificate)
	cases := []struct {
		name  string
		chain []*x509.Certificate
		ok    bool
	}{
		{"a daemon", []*x509.Certificate{certificateFor(t, ours, CertificateName, time.Hour)}, true},
		{"another service", []*x509.Certificate{certificateFor(t, ours, "web.internal", time.Hour)}, false},
		{"expired", []*x509.Certificate{certificateFor(t, ours, CertificateName, -time.Minute)}, false},
		{"another authority", []*x509.Certificate{certificateFor(t, other, CertificateName, time.Hour)}, false},
		{"none", nil, false},
	}
	for _, c := range cases {
		if err := verify(c.chain, pool); (err == nil) != c.ok {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}
