package peer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// patience bounds waits for what must happen; no test measures time with it.
const patience = 20 * time.Second

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
	case <-time.After(patience):
		t.Fatal("nothing received")
		return delivery{}
	}
}

func newAuthority(t testing.TB) *Authority {
	t.Helper()
	a, err := SelfSigned(time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func newEndpoint(t testing.TB, a *Authority, id entity.InstanceID, change func(*Config)) *endpoint {
	t.Helper()
	tlsConfig, err := a.TLS()
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
	if change != nil {
		change(&cfg)
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
		t.Fatalf("got %v", got)
	}
	b.Datagram(a.address(), []byte("two"))
	if got := a.receive(t); got != (delivery{"b", b.Addr(), Datagrams, "two"}) {
		t.Fatalf("got %v", got)
	}
	b.Datagram(a.address(), []byte(large))
	if got := a.receive(t); got != (delivery{"b", b.Addr(), Datagrams, large}) {
		t.Fatalf("got %d bytes on %v", len(got.body), got.channel)
	}
	if a.Connections() != 1 || b.Connections() != 1 {
		t.Fatalf("%d and %d connections, want 1", a.Connections(), b.Connections())
	}
}

func TestTransport_SendKeepsOrderAndCloseDelivers(t *testing.T) {
	const messages = 300
	authority := newAuthority(t)
	a := newEndpoint(t, authority, "a", nil)
	b := newEndpoint(t, authority, "b", func(c *Config) {
		handle := c.Handler
		c.Handler = func(from entity.InstanceID, addr string, ch Channel, body []byte) {
			time.Sleep(time.Millisecond) // the reader lags behind what has arrived
			handle(from, addr, ch, body)
		}
	})
	for i := range messages {
		a.Send(b.address(), fmt.Appendf(nil, "%04000d", i))
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if err := a.Close(ctx); err != nil {
		t.Fatal(err)
	}
	for i := range messages {
		if got := b.receive(t); got.body != fmt.Sprintf("%04000d", i) {
			t.Fatalf("message %d is %q", i, got.body)
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

// An unused connection is dropped on both sides, and made anew on use.
func TestTransport_IdleConnectionIsDropped(t *testing.T) {
	authority := newAuthority(t)
	soon := func(c *Config) { c.IdleTimeout = 200 * time.Millisecond }
	a, b := newEndpoint(t, authority, "a", soon), newEndpoint(t, authority, "b", soon)
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
		t.Fatal("a peer of another authority was let in")
	}
}

func TestTransport_WrongPeerGetsNothing(t *testing.T) {
	authority := newAuthority(t)
	a, b := newEndpoint(t, authority, "a", nil), newEndpoint(t, authority, "b", nil)
	before := dropped.wrongPeer.Get()
	a.Send(Address{ID: "former", Addr: b.Addr()}, []byte("not for b"))
	a.Send(Address{Addr: b.Addr()}, []byte("for anyone"))
	if got := b.receive(t); got.body != "for anyone" {
		t.Fatalf("got %q", got.body)
	}
	if dropped.wrongPeer.Get() != before+1 {
		t.Fatal("the message was not counted")
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
	before := dropped.overflow.Get()
	body := make([]byte, 1<<20)
	for range 64 {
		a.Send(b.address(), body)
	}
	if dropped.overflow.Get() == before {
		t.Fatal("nothing was dropped")
	}
}

func TestTransport_PeerRestartsOnSameEndpoint(t *testing.T) {
	authority := newAuthority(t)
	a, b := newEndpoint(t, authority, "a", nil), newEndpoint(t, authority, "b", nil)
	addr := b.Addr()
	a.Send(Address{Addr: addr}, []byte("x"))
	b.receive(t)
	tlsConfig := b.tls
	// The socket is closed without a word to the peers, as by a crash.
	_ = b.socket.Close()
	next := newEndpoint(t, authority, "b2", func(c *Config) { c.Listen, c.TLS = addr, tlsConfig })
	eventually(t, func() bool {
		a.Send(Address{ID: "b2", Addr: addr}, make([]byte, 100))
		return len(next.inbox) > 0
	})
}

func eventually(t *testing.T, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); {
		if done() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("did not happen")
}
