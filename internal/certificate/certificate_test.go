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

// pair returns a new key pair with a serial number.
func pair(t *testing.T, serial int64) (cert, key []byte) {
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

type files struct {
	t    *testing.T
	mod  time.Time
	cert string
	key  string
}

func (f *files) write(path string, data []byte, mode os.FileMode) {
	f.t.Helper()
	f.mod = f.mod.Add(time.Second)
	if err := os.WriteFile(path, data, mode); err != nil {
		f.t.Fatal(err)
	}
	if err := os.Chtimes(path, f.mod, f.mod); err != nil {
		f.t.Fatal(err)
	}
}

func newFiles(t *testing.T) *files {
	dir := t.TempDir()
	return &files{t: t, mod: time.Unix(1_700_000_000, 0), cert: filepath.Join(dir, "c.pem"), key: filepath.Join(dir, "k.pem")}
}

func TestReloader_TakesRenewalAndKeepsOldPairMeanwhile(t *testing.T) {
	f := newFiles(t)
	cert, key := pair(t, 1)
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
		t.Fatalf("serial %d", got)
	}
	cert, key = pair(t, 2)
	f.write(f.cert, cert, 0o600)
	if got := serial(); got != 1 || r.Err() == nil {
		t.Fatalf("serial %d in the middle of a renewal, %v", got, r.Err())
	}
	f.write(f.key, key, 0o600)
	if got := serial(); got != 2 || r.Err() != nil {
		t.Fatalf("serial %d after a renewal, %v", got, r.Err())
	}
}

func TestNewReloader_RefusesKeyOthersMayRead(t *testing.T) {
	f := newFiles(t)
	cert, key := pair(t, 1)
	f.write(f.cert, cert, 0o600)
	f.write(f.key, key, 0o644)
	if _, err := NewReloader(f.cert, f.key); err == nil {
		t.Fatal("accepted")
	}
	if _, err := NewReloader(f.cert, f.key+"x"); err == nil {
		t.Fatal("missing file accepted")
	}
}
