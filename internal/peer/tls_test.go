package peer

import (
	"bytes"
	"crypto/tls"
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
