package gateway

import (
	"bytes"
	"context"
	"sync"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/peer"
)

// authorityState is the fleet's certificate authority as this daemon uses it.
type authorityState struct {
	mu      sync.Mutex
	encoded []byte             // content of its row; nil: not known yet
	cancel  context.CancelFunc // ends the context of replaced; nil: none is in use
}

// set replaces the authority and ends the context of replaced, if it is another one.
func (s *authorityState) set(encoded []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if bytes.Equal(encoded, s.encoded) {
		return
	}
	s.encoded = encoded
	if s.cancel != nil {
		s.cancel()
		s.cancel = nil
	}
}

func (s *authorityState) get() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.encoded
}

// replaced returns a context that ends when the authority is another one than the given.
func (s *authorityState) replaced(ctx context.Context, encoded []byte) context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	ctx, s.cancel = context.WithCancel(ctx)
	if !bytes.Equal(encoded, s.encoded) {
		s.cancel()
	}
	return ctx
}

// loadOrCreateAuthority reads the fleet's certificate authority from the table service.
// The first daemon creates it.
func (g *Gateway) loadOrCreateAuthority(ctx context.Context) error {
	if g.authority.get() != nil {
		return nil
	}
	return g.agreeAuthority(ctx, newAuthority)
}

func newAuthority() ([]byte, error) {
	created, err := peer.NewSelfSignedAuthority(authorityValidity)
	if err != nil {
		return nil, err
	}
	return created.Marshal()
}

// repairAuthority writes the certificate authority again if a restore of the table
// service has lost it. If another daemon has written a new one before, all change to
// that one.
func (g *Gateway) repairAuthority(ctx context.Context) error {
	known := g.authority.get()
	if known == nil {
		return nil // runPeers is still trying
	}
	return g.agreeAuthority(ctx, func() ([]byte, error) { return known, nil })
}

// agreeAuthority adopts the authority in the table. If there is none, it writes the one
// that propose returns.
func (g *Gateway) agreeAuthority(ctx context.Context, propose func() ([]byte, error)) error {
	encoded, err := g.agreeRow(ctx, peerPartition, authorityRow, propose)
	if err != nil {
		return err
	}
	if _, err := peer.ParseAuthority(encoded); err != nil {
		return err
	}
	g.authority.set(encoded)
	return nil
}

// openTransport opens the transport to the other daemons under an encoded authority.
func (g *Gateway) openTransport(encoded []byte) (*peer.Transport, error) {
	authority, err := peer.ParseAuthority(encoded)
	if err != nil {
		return nil, err
	}
	config, err := authority.TLSConfig()
	if err != nil {
		return nil, err
	}
	var t *peer.Transport
	opened := make(chan struct{})
	t, err = peer.New(peer.Config{
		Self: g.self.Name, Listen: g.Settings.Listen.Peers, TLS: config, IdleTimeout: peerIdleTimeout,
		Handler: func(from entity.InstanceID, addr string, _ peer.Channel, body []byte) {
			<-opened
			g.receive(from, addr, func(to peer.Address, m message) { g.sendMessage(t.Send, to, m) }, body)
		},
		ExchangeHandler: g.serveForwarded,
	})
	close(opened)
	return t, err
}
