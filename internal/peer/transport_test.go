package peer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// maxWait is how long a test waits for an expected event. No test measures time
// with it.
const maxWait = 20 * time.Second

type delivery struct {
	from    entity.InstanceID
	addr    string
	channel Channel
	body    string
}

type endpoint struct {
	*Transport
	inbox chan delivery
}

func (e *endpoint) address() Address { return Address{ID: e.cfg.Self, Addr: e.Addr()} }

func (e *endpoint) receive(t *testing.T) delivery {
	t.Helper()
	select {
	case d := <-e.inbox:
		return d
	case <-time.After(maxWait):
		t.Fatal("no message received in time")
		return delivery{}
	}
}

func newAuthority(t testing.TB) *Authority {
	t.Helper()
	a, err := NewSelfSignedAuthority(time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func newEndpoint(t testing.TB, a *Authority, id entity.InstanceID, modify func(*Config)) *endpoint {
	t.Helper()
	tlsConfig, err := a.TLSConfig()
	if err != nil {
		t.Fatal(err)
	}
	inbox := make(chan delivery, 4096)
	cfg := Config{
		Self: id, Listen: "127.0.0.1:0", TLS: tlsConfig,
		Handler: func(from entity.InstanceID, addr string, ch Channel, body []byte) {
			inbox <- delivery{from, addr, ch, string(body)}
		},
	}
	if modify != nil {
		modify(&cfg)
	}
	transport, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = transport.Close(ctx)
	})
	return &endpoint{Transport: transport, inbox: inbox}
}

func TestTransport_BothChannelsBothWays(t *testing.T) {
	authority := newAuthority(t)
	a, b := newEndpoint(t, authority, "a", nil), newEndpoint(t, authority, "b", nil)
	large := string(make([]byte, 100_000))
	a.Send(b.address(), []byte("one"))
	if got := b.receive(t); got != (delivery{"a", a.Addr(), Stream, "one"}) {
		t.Fatalf("b received %v", got)
	}
	b.SendDatagram(a.address(), []byte("two"))
	if got := a.receive(t); got != (delivery{"b", b.Addr(), Datagrams, "two"}) {
		t.Fatalf("a received %v", got)
	}
	b.SendDatagram(a.address(), []byte(large))
	if got := a.receive(t); got != (delivery{"b", b.Addr(), Datagrams, large}) {
		t.Fatalf("large datagram: a received %d bytes on channel %v", len(got.body), got.channel)
	}
	if a.Connections() != 1 || b.Connections() != 1 {
		t.Fatalf("a has %d connections and b has %d, want 1 each", a.Connections(), b.Connections())
	}
}

func TestTransport_SendKeepsOrderAndCloseDelivers(t *testing.T) {
	const messages = 300
	authority := newAuthority(t)
	a := newEndpoint(t, authority, "a", nil)
	b := newEndpoint(t, authority, "b", func(c *Config) {
		handle := c.Handler
		c.Handler = func(from entity.InstanceID, addr string, ch Channel, body []byte) {
			time.Sleep(time.Millisecond) // messages are handled more slowly than they arrive
			handle(from, addr, ch, body)
		}
	})
	for i := range messages {
		a.Send(b.address(), fmt.Appendf(nil, "%04000d", i))
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxWait)
	defer cancel()
	if err := a.Close(ctx); err != nil {
		t.Fatal(err)
	}
	for i := range messages {
		if got := b.receive(t); got.body != fmt.Sprintf("%04000d", i) {
			t.Fatalf("received message %d is %q", i, got.body)
		}
	}
}

func TestTransport_SimultaneousDials(t *testing.T) {
	authority := newAuthority(t)
	a, b := newEndpoint(t, authority, "a", nil), newEndpoint(t, authority, "b", nil)
	for i := range 200 {
		a.Send(b.address(), fmt.Append(nil, i))
		b.Send(a.address(), fmt.Append(nil, i))
	}
	for range 200 {
		a.receive(t)
		b.receive(t)
	}
}

// TestTransport_IdleConnectionIsDropped checks that an unused connection is closed
// on both sides and opened again on the next message.
func TestTransport_IdleConnectionIsDropped(t *testing.T) {
	authority := newAuthority(t)
	shortIdleTimeout := func(c *Config) { c.IdleTimeout = 200 * time.Millisecond }
	a, b := newEndpoint(t, authority, "a", shortIdleTimeout), newEndpoint(t, authority, "b", shortIdleTimeout)
	for range 2 {
		eventually(t, func() bool {
			a.Send(b.address(), []byte("x"))
			return len(b.inbox) > 0
		})
		eventually(t, func() bool { return a.Connections() == 0 && b.Connections() == 0 })
		for len(b.inbox) > 0 {
			<-b.inbox
		}
	}
}

func TestTransport_WrongCertificateRefused(t *testing.T) {
	a, b := newEndpoint(t, newAuthority(t), "a", nil), newEndpoint(t, newAuthority(t), "b", nil)
	before := dialFailures.Get()
	a.Send(b.address(), []byte("x"))
	eventually(t, func() bool { return dialFailures.Get() > before })
	if len(b.inbox) != 0 || b.Connections() != 0 {
		t.Fatal("a peer with a certificate of another authority was accepted")
	}
}

func TestTransport_WrongPeerGetsNothing(t *testing.T) {
	authority := newAuthority(t)
	a, b := newEndpoint(t, authority, "a", nil), newEndpoint(t, authority, "b", nil)
	before := messagesDropped.wrongPeer.Get()
	a.Send(Address{ID: "former", Addr: b.Addr()}, []byte("not for b"))
	a.Send(Address{Addr: b.Addr()}, []byte("for anyone"))
	if got := b.receive(t); got.body != "for anyone" {
		t.Fatalf("b received %q, want only the message without an ID", got.body)
	}
	if messagesDropped.wrongPeer.Get() != before+1 {
		t.Fatal("the message for another daemon was not counted as dropped")
	}
}

func TestTransport_SlowPeerNeverBlocksSender(t *testing.T) {
	authority := newAuthority(t)
	release := make(chan struct{})
	a := newEndpoint(t, authority, "a", nil)
	b := newEndpoint(t, authority, "b", func(c *Config) {
		c.Handler = func(entity.InstanceID, string, Channel, []byte) { <-release }
	})
	defer close(release)
	before := messagesDropped.overflow.Get()
	body := make([]byte, 1<<20)
	for range 64 {
		a.Send(b.address(), body)
	}
	if messagesDropped.overflow.Get() == before {
		t.Fatal("no message was dropped although the receiver reads none")
	}
}

func TestTransport_PeerRestartsOnSameEndpoint(t *testing.T) {
	authority := newAuthority(t)
	a, b := newEndpoint(t, authority, "a", nil), newEndpoint(t, authority, "b", nil)
	addr := b.Addr()
	a.Send(Address{Addr: addr}, []byte("x"))
	b.receive(t)
	tlsConfig := b.tls
	// Close the socket without notifying the peers, as a crash does.
	_ = b.socket.Close()
	restarted := newEndpoint(t, authority, "b2", func(c *Config) { c.Listen, c.TLS = addr, tlsConfig })
	eventually(t, func() bool {
		a.Send(Address{ID: "b2", Addr: addr}, make([]byte, 100))
		return len(restarted.inbox) > 0
	})
}

func eventually(t *testing.T, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(maxWait); time.Now().Before(deadline); {
		if done() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("the condition has not become true in time")
}
