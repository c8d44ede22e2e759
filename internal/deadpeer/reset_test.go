package deadpeer

import (
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

// connect returns the two ends of a connection.
func connect(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	dialled, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = dialled.Close(), accepted.Close() })
	return dialled.(*net.TCPConn), accepted.(*net.TCPConn)
}

// resetBehind has an end of a connection write a text and reset the connection, and waits until the other end has both.
func resetBehind(t *testing.T, far *net.TCPConn, text string) {
	t.Helper()
	if _, err := io.WriteString(far, text); err != nil {
		t.Fatal(err)
	}
	if err := far.SetLinger(0); err != nil {
		t.Fatal(err)
	}
	if err := far.Close(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
}

// TestConn_ResetThatAWriteHasFound: the read after it must not find an ordinary end.
func TestConn_ResetThatAWriteHasFound(t *testing.T) {
	near, far := connect(t)
	conn := NewConn(near)
	resetBehind(t, far, "part")
	if _, err := io.WriteString(conn, "x"); !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("the write returned %v, want a reset", err)
	}
	if got, err := io.ReadAll(conn); string(got) != "part" || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read %q, %v; want the bytes before the reset, and the reset", got, err)
	}
}

// TestConn_ResetDuringAWrite: whichever of the two sides learns of the reset, the reading side returns an error.
func TestConn_ResetDuringAWrite(t *testing.T) {
	for range 200 {
		near, far := connect(t)
		conn := NewConn(near)
		go func() { _, _ = io.WriteString(conn, strings.Repeat("x", 8<<20)) }() // it ends with the connection
		go func() {
			_, _ = io.WriteString(far, "part")
			_ = far.SetLinger(0)
			_ = far.Close()
		}()
		if got, err := io.ReadAll(conn); err == nil {
			t.Fatalf("read %q and an ordinary end", got)
		}
	}
}

// TestConn_ClosedDuringAWrite: the other end closes the connection in the ordinary way when it has read all that has come. More comes,
// which its kernel answers with a reset.
func TestConn_ClosedDuringAWrite(t *testing.T) {
	for range 20 {
		near, far := connect(t)
		conn := NewConn(near)
		go func() { _, _ = io.WriteString(conn, strings.Repeat("x", 64<<20)) }() // it ends with the connection
		go func() {
			_, _ = io.WriteString(far, "part")
			_, _ = io.CopyN(io.Discard, far, 1<<20)
			_ = far.Close()
		}()
		if got, err := io.ReadAll(conn); err == nil {
			t.Fatalf("read %q and an ordinary end", got)
		}
	}
}

// TestConn_EndBesideABlockedWrite: the other end closes its sending side and reads nothing, so that the write does not end.
func TestConn_EndBesideABlockedWrite(t *testing.T) {
	near, far := connect(t)
	conn := NewConn(near)
	go func() { _, _ = io.WriteString(conn, strings.Repeat("x", 64<<20)) }() // it ends with the connection
	time.Sleep(50 * time.Millisecond)                                        // until the buffers are full
	_, _ = io.WriteString(far, "whole")
	if err := far.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(conn); string(got) != "whole" || err != nil {
		t.Errorf("read %q, %v", got, err)
	}
}

// slowWriter is a connection whose writes return some time after they have failed.
type slowWriter struct{ *net.TCPConn }

func (c slowWriter) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if err != nil {
		time.Sleep(2 * resetTimeout)
	}
	return n, err
}

// TestConn_ResetDuringAWriteOfASlowProcess: the process goes on with the write long after the kernel has returned the reset.
func TestConn_ResetDuringAWriteOfASlowProcess(t *testing.T) {
	near, far := connect(t)
	conn := NewConn(slowWriter{near})
	resetBehind(t, far, "part")
	go func() { _, _ = io.WriteString(conn, "x") }() // it ends with the connection
	time.Sleep(50 * time.Millisecond)                // until the write has failed
	if got, err := io.ReadAll(conn); string(got) != "part" || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read %q, %v; want the bytes before the reset, and the reset", got, err)
	}
}

// TestConn_OrdinaryEnd: the other end closes its sending side, and has read what was written or reads it yet.
func TestConn_OrdinaryEnd(t *testing.T) {
	for _, bytes := range []int{0, 1, 8 << 20} {
		near, far := connect(t)
		conn := NewConn(near)
		written := make(chan error, 1)
		go func() {
			_, err := io.WriteString(conn, strings.Repeat("x", bytes))
			written <- err
		}()
		_, _ = io.WriteString(far, "whole")
		if err := far.CloseWrite(); err != nil {
			t.Fatal(err)
		}
		go func() { _, _ = io.Copy(io.Discard, far) }()
		if got, err := io.ReadAll(conn); string(got) != "whole" || err != nil {
			t.Errorf("%d bytes written: read %q, %v", bytes, got, err)
		}
		if err := <-written; err != nil {
			t.Error(err)
		}
	}
}
