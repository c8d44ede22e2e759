package outbound

import (
	"bufio"
	"context"
	"io"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

const (
	// endlessBytes is what a server writes whose answer has no end, unless its
	// connection is closed before. It exceeds what the sockets' buffers hold.
	endlessBytes = 64 << 20
	// maxBytesPerRequest is the memory of a small instance, 284 MB, divided by the 64
	// requests that it has under way.
	maxBytesPerRequest = 284 << 20 / 64
)

// writeEndlessly writes head and then piece again and again. It returns whether the
// connection was closed before endlessBytes were written.
func writeEndlessly(c net.Conn, head, piece string) (closed bool) {
	if _, err := io.WriteString(c, head); err != nil {
		return true
	}
	block := []byte(strings.Repeat(piece, 1+(16<<10)/len(piece)))
	for written := 0; written < endlessBytes; written += len(block) {
		if _, err := c.Write(block); err != nil {
			return true
		}
	}
	return false
}

// startEndlessServer returns the address of a server that answers each request with
// head and then piece without end, and a count of the connections that stayed open.
func startEndlessServer(t *testing.T, head, piece string) (address string, stayedOpen *atomic.Int32) {
	stayedOpen = &atomic.Int32{}
	address = startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err != nil {
			return
		}
		if !writeEndlessly(c, head, piece) {
			stayedOpen.Add(1)
			_, _ = r.ReadByte() // returns when the connection is closed
		}
	})
	return address, stayedOpen
}

// allocatedBytes returns the bytes that f allocates.
func allocatedBytes(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// sendEndless sends a request to a server whose answer has no end, and checks that it
// costs a bounded amount of memory and ends before the request's context.
func sendEndless(t *testing.T, head, piece string) {
	t.Helper()
	address, stayedOpen := startEndlessServer(t, head, piece)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var err error
	allocated := allocatedBytes(func() { err = sendAndDiscard(ctx, newRequest(address, "")) })
	switch {
	case ctx.Err() != nil:
		t.Errorf("the answer was read until the request's context ended, %d bytes allocated", allocated)
	case err == nil:
		t.Error("no error for an answer without end")
	case verdict.Of(err) != verdict.MayHaveRun:
		t.Errorf("error %v, want verdict may-have-run", err)
	case allocated > maxBytesPerRequest:
		t.Errorf("%d bytes allocated, %d allowed", allocated, maxBytesPerRequest)
	case stayedOpen.Load() > 0:
		t.Error("the connection was not closed")
	}
}

// sendAndDiscard sends a request and reads the body of its response.
func sendAndDiscard(ctx context.Context, r *Request) error {
	reply, err := NewPool().Send(ctx, r)
	if err != nil {
		return err
	}
	defer reply.Close()
	_, err = io.Copy(io.Discard, reply)
	return err
}

func TestSend_HeadWithoutEnd(t *testing.T) {
	const statusLine = "HTTP/1.1 200 OK\r\n"
	for name, answer := range map[string]struct{ head, piece string }{
		"no HTTP":                 {"", "\x00\xff\x01"},
		"no HTTP in lines":        {"", "gibberish\r\n"},
		"status line":             {"HTTP/1.1 200 ", "OK"},
		"field's name":            {statusLine, "A"},
		"field's value":           {statusLine + "A: ", "b"},
		"folded field":            {statusLine + "A: b\r\n", " c\r\n"},
		"fields":                  {statusLine, "A: b\r\n"},
		"interim responses":       {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"fields of an interim":    {"HTTP/1.1 103 Early Hints\r\n", "A: b\r\n"},
		"head after another's":    {"HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 4\r\n\r\nlate" + statusLine, "A: b\r\n"},
		"interim after another's": {"HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 4\r\n\r\nlate", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) { sendEndless(t, answer.head, answer.piece) })
	}
}

func TestSend_ResponseToAnotherWithoutEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 0\r\n"
	for name, answer := range map[string]struct{ head, piece string }{
		"no length":       {head + "\r\n", "late"},
		"large length":    {head + "Content-Length: 1000000000000\r\n\r\n", "late"},
		"chunks":          {head + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nlate\r\n"},
		"chunk's size":    {head + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		"trailer's value": {head + "Transfer-Encoding: chunked\r\n\r\n4\r\nlate\r\n0\r\nA: ", "b"},
		"trailer":         {head + "Transfer-Encoding: chunked\r\n\r\n4\r\nlate\r\n0\r\n", "A: b\r\n"},
	} {
		t.Run(name, func(t *testing.T) { sendEndless(t, answer.head, answer.piece) })
	}
}

func TestSend_FramingWithoutEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nmine\r\n"
	for name, answer := range map[string]struct{ head, piece string }{
		"chunk's size":      {head, "0"},
		"chunk's extension": {head + "4;", "x"},
		"trailer's value":   {head + "0\r\nA: ", "b"},
		"trailer":           {head + "0\r\n", "A: b\r\n"},
	} {
		t.Run(name, func(t *testing.T) { sendEndlessFraming(t, answer.head, answer.piece) })
	}
}

// sendEndlessFraming is sendEndless for an answer whose head is complete. The error comes
// from reading the body and carries no verdict.
func sendEndlessFraming(t *testing.T, head, piece string) {
	t.Helper()
	address, stayedOpen := startEndlessServer(t, head, piece)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var err error
	allocated := allocatedBytes(func() { err = sendAndDiscard(ctx, newRequest(address, "")) })
	if err == nil || ctx.Err() != nil || allocated > maxBytesPerRequest || stayedOpen.Load() > 0 {
		t.Errorf("error %v, context's %v, %d bytes allocated, %d connections left open", err, ctx.Err(), allocated, stayedOpen.Load())
	}
}

// TestSend_BodyAfterALongHead checks that the limit of a head does not apply to what
// follows it, on a connection's first request and on later ones.
func TestSend_BodyAfterALongHead(t *testing.T) {
	fields := "A: " + strings.Repeat("b", 12<<10) + "\r\n"
	body := strings.Repeat("x", 1<<20)
	address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			if _, _, err := readRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 0\r\n"+fields+"Content-Length: 4\r\n\r\nlate")
			_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n"+fields+"Content-Length: 1048576\r\n\r\n"+body)
		}
	})
	p := NewPool()
	for range 3 {
		if _, got, err := send(t, p, newRequest(address, "")); err != nil || got != body {
			t.Fatalf("got %d bytes, error %v", len(got), err)
		}
	}
}

// TestProbe_ServerThatWritesUnasked checks that a connection on which a server writes
// without having been asked is not used for a request, nor read from.
func TestProbe_ServerThatWritesUnasked(t *testing.T) {
	address := startServer(t, func(n int, c net.Conn, r *bufio.Reader) {
		if n == 0 {
			writeEndlessly(c, "", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nwrong")
			return
		}
		if _, _, err := readRequest(r); err == nil {
			writeResponse(c, "1", "right")
		}
	})
	p := NewPool()
	allocated := allocatedBytes(func() {
		if err := p.Probe(t.Context(), address); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
	})
	if _, body, err := send(t, p, newRequest(address, "")); err != nil || body != "right" || allocated > maxBytesPerRequest {
		t.Fatalf("got body %q, error %v, %d bytes allocated by the probe", body, err, allocated)
	}
}
