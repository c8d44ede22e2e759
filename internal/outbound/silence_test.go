package outbound

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

const (
	// usualPause is how long a sound server may fall silent.
	usualPause = 1500 * time.Millisecond
	// silenceBody is the size of a request that no buffers between two sockets hold.
	silenceBody = 32 << 20
)

// silentServer takes one connection and calls read with it.
func silentServer(t *testing.T, read func(net.Conn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		read(c)
	}()
	return l.Addr().String()
}

// TestDial_ServerThatPausesIsNotGivenUp: a server reads nothing for a while and then all. The
// connection must not be given up meanwhile.
func TestDial_ServerThatPausesIsNotGivenUp(t *testing.T) {
	t.Parallel()
	received := make(chan int64, 1)
	address := silentServer(t, func(c net.Conn) {
		time.Sleep(usualPause)
		n, _ := io.CopyN(io.Discard, c, silenceBody)
		received <- n
	})
	c, err := dialTCP(context.Background(), address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := c.Write(make([]byte, silenceBody)); err != nil {
		t.Fatalf("a server that paused for %v was given up: %v", usualPause, err)
	}
	if n := <-received; n != silenceBody {
		t.Errorf("the server got %d bytes of %d", n, silenceBody)
	}
}

// TestDial_ServerThatStaysSilentIsGivenUp: a server reads nothing any more. The write must end with
// the kernel's timeout, a while after unacknowledgedTimeout.
func TestDial_ServerThatStaysSilentIsGivenUp(t *testing.T) {
	t.Parallel()
	ended := make(chan struct{})
	defer close(ended)
	address := silentServer(t, func(net.Conn) { <-ended })
	c, err := dialTCP(context.Background(), address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	start := time.Now()
	_ = c.SetWriteDeadline(start.Add(5 * unacknowledgedTimeout))
	_, err = c.Write(make([]byte, silenceBody))
	took := time.Since(start)
	if !errors.Is(err, syscall.ETIMEDOUT) {
		t.Errorf("the write ended after %v with %v, want the kernel's timeout", took, err)
	}
	if took < unacknowledgedTimeout || took > 3*unacknowledgedTimeout {
		t.Errorf("the write ended after %v, want %v to %v", took, unacknowledgedTimeout, 3*unacknowledgedTimeout)
	}
}
