package certificate

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// newPair returns a new self-signed certificate with the serial number, and its
// private key, in PEM.
func newPair(t *testing.T, serial int64) (cert, key []byte) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "d"}}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := x509.MarshalECPrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: encoded})
}

// files writes a certificate file and a key file, each time with a later
// modification time.
type files struct {
	t       *testing.T
	modTime time.Time // of the file written last
	cert    string    // path
	key     string    // path
}

func (f *files) write(path string, data []byte, mode os.FileMode) {
	f.t.Helper()
	f.modTime = f.modTime.Add(time.Second)
	if err := os.WriteFile(path, data, mode); err != nil {
		f.t.Fatal(err)
	}
	if err := os.Chtimes(path, f.modTime, f.modTime); err != nil {
		f.t.Fatal(err)
	}
}

func newFiles(t *testing.T) *files {
	dir := t.TempDir()
	return &files{t: t, modTime: time.Unix(1_700_000_000, 0), cert: filepath.Join(dir, "c.pem"), key: filepath.Join(dir, "k.pem")}
}

// TestReloader_LoadsRenewalAndKeepsOldPairMeanwhile replaces the certificate first
// and the key afterwards. While they do not match, the old pair stays in use.
func TestReloader_LoadsRenewalAndKeepsOldPairMeanwhile(t *testing.T) {
	f := newFiles(t)
	cert, key := newPair(t, 1)
	f.write(f.cert, cert, 0o600)
	f.write(f.key, key, 0o600)
	r, err := NewReloader(f.cert, f.key)
	if err != nil {
		t.Fatal(err)
	}
	now := r.checkedAt
	r.now = func() time.Time { return now }
	serial := func() int64 {
		now = now.Add(CheckInterval)
		c, _ := r.GetCertificate(nil)
		leaf, err := x509.ParseCertificate(c.Certificate[0])
		if err != nil {
			t.Fatal(err)
		}
		return leaf.SerialNumber.Int64()
	}
	now = now.Add(time.Hour)
	if got := serial(); got != 1 {
		t.Fatalf("serial number %d before the renewal, want 1", got)
	}
	cert, key = newPair(t, 2)
	f.write(f.cert, cert, 0o600)
	if got := serial(); got != 1 || r.Err() == nil {
		t.Fatalf("serial number %d after half of the renewal, want 1; error %v", got, r.Err())
	}
	f.write(f.key, key, 0o600)
	if got := serial(); got != 2 || r.Err() != nil {
		t.Fatalf("serial number %d after the renewal, want 2; error %v", got, r.Err())
	}
}

func TestNewReloader_RefusesKeyOthersMayRead(t *testing.T) {
	f := newFiles(t)
	cert, key := newPair(t, 1)
	f.write(f.cert, cert, 0o600)
	f.write(f.key, key, 0o644)
	if _, err := NewReloader(f.cert, f.key); err == nil {
		t.Fatal("accepted")
	}
	if _, err := NewReloader(f.cert, f.key+"x"); err == nil {
		t.Fatal("accepted a missing key file")
	}
}
