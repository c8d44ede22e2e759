package node

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/settings"
)

// certificate is a server's certificate that is read anew when its file has
// changed. A renewal that cannot be read leaves the old one in force.
type certificate struct {
	pair settings.KeyPair

	mu     sync.Mutex
	loaded *tls.Certificate
	seen   time.Time
}

// newCertificate reads a certificate for the first time.
func newCertificate(pair settings.KeyPair) (*certificate, error) {
	c := &certificate{pair: pair}
	_, err := c.get(nil)
	return c, err
}

// get returns the certificate in force; it is for tls.Config.GetCertificate.
func (c *certificate) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	info, err := os.Stat(c.pair.Cert)
	if err == nil && !info.ModTime().Equal(c.seen) {
		err = c.load(info.ModTime())
	}
	if c.loaded != nil {
		return c.loaded, nil
	}
	return nil, err
}

// load reads the files.
func (c *certificate) load(modified time.Time) error {
	loaded, err := tls.LoadX509KeyPair(c.pair.Cert, c.pair.Key)
	if err != nil {
		return err
	}
	c.loaded, c.seen = &loaded, modified
	return nil
}
