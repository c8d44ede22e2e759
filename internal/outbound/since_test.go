package outbound

import (
	"bufio"
	"net"
	"testing"
	"time"
)

// TestMaySend_SinceWhenTheProcessIsReached: a connection that is opened beside one that is still open
// reaches the same process, also when that one is in use; one that is opened after the end of all is
// taken for another's.
func TestMaySend_SinceWhenTheProcessIsReached(t *testing.T) {
	hold := make(chan struct{})
	address := startServer(t, func(n int, c net.Conn, r *bufio.Reader) {
		for range 2 {
			_, body, err := readRequest(r)
			if err != nil {
				return
			}
			if body == "wait" {
				<-hold
			}
			writeResponse(c, "1", "ok")
		}
		// It closes a connection after two responses, as the end of its process does.
	})
	p := NewPool()
	sendSince := func(body string) (since time.Time) {
		r := newRequest(address, body)
		r.MaySend = func(s time.Time) bool {
			since = s
			return true
		}
		if status, _, err := send(t, p, r); err != nil || status != 200 {
			t.Fatalf("%d %v", status, err)
		}
		return since
	}
	first := sendSince("")
	if again := sendSince(""); !again.Equal(first) {
		t.Error("the same connection reaches the process since another time")
	}
	time.Sleep(20 * time.Millisecond) // the server has closed it
	next := sendSince("")
	if !next.After(first) {
		t.Error("a connection that was opened after the end of all others passes for one of the same process")
	}
	done := make(chan time.Time)
	go func() { done <- sendSince("wait") }()
	time.Sleep(20 * time.Millisecond)
	if beside := sendSince(""); !beside.Equal(next) {
		t.Errorf("a connection beside one in use reaches the process since %v, the other one since %v", beside, next)
	}
	close(hold)
	if since := <-done; !since.Equal(next) {
		t.Errorf("since %v, want %v", since, next)
	}
}

// TestMaySend_ServerThatHasClosedAConnectionInUse: nobody reads an answer to its end, so that it is
// not noticed that its server has closed the connection. The next connection may reach another process.
func TestMaySend_ServerThatHasClosedAConnectionInUse(t *testing.T) {
	address := startServer(t, func(n int, c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err != nil {
			return
		}
		if n == 0 {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 100\r\n\r\nhalf"))
			return
		}
		writeResponse(c, "1", "ok")
	})
	p := NewPool()
	var first, next time.Time
	note := func(to *time.Time) func(time.Time) bool {
		return func(since time.Time) bool {
			*to = since
			return true
		}
	}
	r := newRequest(address, "")
	r.MaySend = note(&first)
	unread, err := p.Send(t.Context(), r)
	if err != nil {
		t.Fatal(err)
	}
	defer unread.Close()
	time.Sleep(20 * time.Millisecond) // the server has closed its connection
	r = newRequest(address, "")
	r.MaySend = note(&next)
	if status, _, err := send(t, p, r); err != nil || status != 200 {
		t.Fatalf("%d %v", status, err)
	}
	if !next.After(first) {
		t.Error("a connection is taken for one of the same process beside one that the server has closed")
	}
}
