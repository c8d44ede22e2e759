package outbound

import (
	"bufio"
	"fmt"
	"net"
	"testing"
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
		{"a", "0"}, {"b", "0"}, {"a", "1"}, {"b", "1"}, {"c", "1"}, {"a", "2"}, {"c", "2"}, {"d", "2"}, {"c", "0"}, {"", "0"}, {"", "0"},
	} {
		if got := sendID(t, p, address, step.id); got != step.connection {
			t.Fatalf("step %d: request %q went over connection %s, want %s", i, step.id, got, step.connection)
		}
	}
}

// TestSend_FullConnectionIsReplaced: what a connection has carried is remembered whole, in bounded memory.
func TestSend_FullConnectionIsReplaced(t *testing.T) {
	p, address := NewPool(), countRequests(t)
	for i := range maxCarriedRequests + 1 {
		want := fmt.Sprint(i / maxCarriedRequests)
		if got := sendID(t, p, address, fmt.Sprint("id-", i)); got != want {
			t.Fatalf("request %d went over connection %s, want %s", i, got, want)
		}
	}
	if open := len(p.open[address]); open != 1 {
		t.Fatalf("%d connections are open, want 1", open)
	}
}
