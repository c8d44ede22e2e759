package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
	"github.com/gooseberryslip/gooseberryslip/internal/logging"
)

// heldListener accepts connections whose writes wait until release is closed, as those to
// a caller that does not read.
type heldListener struct {
	net.Listener
	release chan struct{}
}

type heldConn struct {
	net.Conn
	release chan struct{}
}

func (l *heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConn{c, l.release}, nil
}

func (c *heldConn) Write(p []byte) (int, error) {
	<-c.release
	return c.Conn.Write(p)
}

// plainDialect parses requests; the refusals in these tests need no more.
type plainDialect struct{ Dialect }

func (plainDialect) ParseRequest(*http.Request) exchange.Request { return exchange.Request{ID: "r"} }

// newStoppingGateway returns a gateway without a configuration, which refuses all requests.
func newStoppingGateway(t *testing.T, grace time.Duration) *Gateway {
	t.Helper()
	log, err := logging.New(io.Discard, logging.Options{Level: "error", Format: "json"})
	if err != nil {
		t.Fatal(err)
	}
	return New(Config{
		Settings: Settings{Name: "z", StopGrace: grace, KeyRevocationLimit: 5 * time.Second},
		Dialect:  plainDialect{}, Log: log,
	})
}

// TestGateway_StopAwaitsTheEndOfAnAnswer: a request has ended, but its answer is still
// being written when the last request in flight has ended.
func TestGateway_StopAwaitsTheEndOfAnAnswer(t *testing.T) {
	t.Parallel()
	g := newStoppingGateway(t, 4*time.Second)
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	held := &heldListener{tcp, make(chan struct{})}
	server := newServer(http.HandlerFunc(g.serveExchange), g.Log)
	go func() { _ = server.Serve(held) }() // ends with the stop
	caller, err := net.Dial("tcp", tcp.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = caller.Close() }()
	if _, err := fmt.Fprint(caller, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	const acceptDuration = time.Second // with an AddressTTL of 0
	time.AfterFunc(acceptDuration+500*time.Millisecond, func() { close(held.release) })
	startedAt := time.Now()
	g.stop([]*http.Server{server})
	if d := time.Since(startedAt); d > g.Settings.StopGrace {
		t.Errorf("the stop took %v, want at most %v", d, g.Settings.StopGrace)
	}
	resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
	if err != nil {
		t.Fatalf("no answer to a request that had ended before the stop closed its connection: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || len(body) == 0 {
		t.Errorf("answer cut off in a planned stop: %q, %v", body, err)
	}
}

// freeAddress returns a loopback address at which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// TestGateway_NoCallerIsServedWhenAnotherAddressIsInUse: a daemon that cannot listen at all
// of its addresses ends, and must not have taken requests until then.
func TestGateway_NoCallerIsServedWhenAnotherAddressIsInUse(t *testing.T) {
	t.Parallel()
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = taken.Close() }()
	g := newStoppingGateway(t, time.Second)
	g.Settings.Listen = ListenAddresses{Callers: freeAddress(t), Metrics: taken.Addr().String()}
	if err := g.Run(t.Context()); err == nil {
		t.Fatal("Run returned no error although an address is in use")
	}
	resp, err := http.Get("http://" + g.Settings.Listen.Callers + "/x")
	if err == nil {
		_ = resp.Body.Close()
		t.Fatalf("a caller got status %d from a daemon that could not start", resp.StatusCode)
	}
}
