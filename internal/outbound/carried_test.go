package outbound

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"
)

// countRequests starts a server that answers with the number of the connection.
func countRequests(t *testing.T) (address string) {
	return startServer(t, func(n int, c net.Conn, r *bufio.Reader) {
		for {
			if _, _, err := readRequest(r); err != nil {
				return
			}
			writeResponse(c, "1", fmt.Sprint(n))
		}
	})
}

// sendID sends a request with an ID and returns the number of its connection.
func sendID(t *testing.T, p *Pool, address, id string) string {
	t.Helper()
	r := newRequest(address, "")
	r.ID = id
	_, connection, err := send(t, p, r)
	if err != nil {
		t.Fatal(err)
	}
	return connection
}

// TestSend_ConnectionCarriesAnIDOnce: a request that comes again under its ID must not meet an answer to
// its first send on the same connection. Others go on using the kept connections.
func TestSend_ConnectionCarriesAnIDOnce(t *testing.T) {
	p, address := NewPool(), countRequests(t)
	for i, step := range []struct{ id, connection string }{
		{"a", "0"}, {"b", "0"}, {"a", "1"}, {"b", "1"}, {"c", "1"}, {"a", "2"}, {"c", "2"}, {"d", "2"}, {"c", "3"}, {"", "3"}, {"", "3"},
	} {
		if got := sendID(t, p, address, step.id); got != step.connection {
			t.Fatalf("step %d: request %q went over connection %s, want %s", i, step.id, got, step.connection)
		}
	}
}

// TestSend_FullConnectionIsReplaced: what a connection has carried is remembered whole, in bounded memory. The
// next one is known to reach the same process.
func TestSend_FullConnectionIsReplaced(t *testing.T) {
	p, address := NewPool(), countRequests(t)
	var first, since time.Time
	for i := range maxCarriedIDs + 1 {
		r := newRequest(address, "")
		r.ID = fmt.Sprint("id-", i)
		r.MaySend = func(at time.Time) bool {
			since = at
			return true
		}
		_, connection, err := send(t, p, r)
		if want := fmt.Sprint(i / maxCarriedIDs); err != nil || connection != want {
			t.Fatalf("request %d went over connection %s, want %s (%v)", i, connection, want, err)
		}
		if i == 0 {
			first = since
		}
	}
	if !since.Equal(first) {
		t.Error("the new connection is not known to reach the same process")
	}
	if open := len(p.open[address]); open != 1 {
		t.Errorf("%d connections are open, want 1", open)
	}
}

// TestSend_OneIDForAllRequests: a caller that sends the same ID again and again does not take the kept
// connections from others.
func TestSend_OneIDForAllRequests(t *testing.T) {
	p, address := NewPool(), countRequests(t)
	for range 3 * maxIdlePerAddress {
		sendID(t, p, address, "same")
	}
	if open := len(p.open[address]); open != 1 {
		t.Errorf("%d connections are open, want 1", open)
	}
}
