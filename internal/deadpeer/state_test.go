package deadpeer

import (
	"io"
	"net"
	"testing"
	"time"
)

// The end of a connection is known before what came ahead of it has been read.
func TestStateOf_EndBehindUnreadBytes(t *testing.T) {
	for name, linger := range map[string]int{"closed": -1, "reset": 0} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			other, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			conn, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if _, err := io.WriteString(other, "unread"); err != nil {
				t.Fatal(err)
			}
			if s, err := StateOf(conn); err != nil || !s.Established {
				t.Fatalf("%+v, error %v; want an established connection", s, err)
			}
			if err := other.(*net.TCPConn).SetLinger(linger); err != nil {
				t.Fatal(err)
			}
			if err := other.Close(); err != nil {
				t.Fatal(err)
			}
			time.Sleep(50 * time.Millisecond)
			if s, err := StateOf(conn); err != nil || s.Established || s.Unheard > time.Second {
				t.Fatalf("%+v, error %v; want one that the other side has ended a moment ago", s, err)
			}
		})
	}
}

func TestStateOf_OtherConnection(t *testing.T) {
	a, b := net.Pipe()
	defer func() { _, _ = a.Close(), b.Close() }()
	if _, err := StateOf(a); err == nil {
		t.Fatal("a pipe has a state in the kernel")
	}
}
