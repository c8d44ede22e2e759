package outbound

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// startServer listens on a local port and calls serve for each connection with the
// number of the connection, from 0.
func startServer(t *testing.T, serve func(n int, c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

// readRequest reads one request with its body.
func readRequest(r *bufio.Reader) (*http.Request, string, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(req.Body)
	return req, string(body), err
}

func newRequest(address, body string) *Request {
	return &Request{
		Address: address, Method: "POST", Target: "/a%20b?q=1", Host: "h",
		Header: http.Header{"Id": {"1"}}, Body: []byte(body), HasBody: true,
		Matches: func(r *http.Response) bool { return r.Header.Get("Id") == "1" },
	}
}

func send(t *testing.T, p *Pool, r *Request) (int, string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	reply, err := p.Send(ctx, r)
	if err != nil {
		return 0, "", err
	}
	defer reply.Close()
	body, err := io.ReadAll(reply)
	return reply.StatusCode, string(body), err
}

func writeResponse(c net.Conn, id, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func TestSend_PassesBytesOnAndReusesTheConnection(t *testing.T) {
	var connections atomic.Int32
	address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		connections.Add(1)
		for {
			req, body, err := readRequest(r)
			if err != nil {
				return
			}
			writeResponse(c, "1", req.RequestURI+" "+req.Host+" "+body)
		}
	})
	p := NewPool()
	for range 5 {
		status, body, err := send(t, p, newRequest(address, "hello"))
		if err != nil || status != 200 || body != "/a%20b?q=1 h hello" {
			t.Fatalf("got status %d, body %q, error %v", status, body, err)
		}
	}
	if n := connections.Load(); n != 1 {
		t.Fatalf("%d connections for 5 consecutive requests, want 1", n)
	}
}

// TestSend_WritesOnce checks that a request is not sent again if its connection
// breaks after the request was written, whatever its method.
func TestSend_WritesOnce(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		var requests atomic.Int32
		address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
			for {
				if _, _, err := readRequest(r); err != nil {
					return
				}
				if requests.Add(1) > 1 {
					return // closes the reused connection without a response
				}
				writeResponse(c, "1", "ok")
			}
		})
		p := NewPool()
		r := newRequest(address, "")
		r.Method, r.HasBody = method, false
		if _, _, err := send(t, p, r); err != nil {
			t.Fatal(err)
		}
		_, _, err := send(t, p, r)
		if err == nil || verdict.Of(err) != verdict.MayHaveRun {
			t.Errorf("%s: error %v, want verdict may-have-run", method, err)
		}
		if n := requests.Load(); n != 2 {
			t.Errorf("%s: the server received %d requests, want the 2 that were sent", method, n)
		}
	}
}

func TestSend_RefusedConnectionHasNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	if _, _, err := send(t, NewPool(), newRequest(address, "")); verdict.Of(err) != verdict.NotRun {
		t.Fatalf("error %v, want verdict not-run", err)
	}
}

func TestSend_ClosedIdleConnectionIsNotUsed(t *testing.T) {
	address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err == nil {
			writeResponse(c, "1", "ok") // then close the connection without announcing it
		}
	})
	p := NewPool()
	for range 3 {
		if _, _, err := send(t, p, newRequest(address, "x")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// TestCloseUnusable_TellsWhichServersClosedConnections: one server closes its idle connection,
// the other keeps it open.
func TestCloseUnusable_TellsWhichServersClosedConnections(t *testing.T) {
	closing := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err == nil {
			writeResponse(c, "1", "ok")
		}
	})
	var dialled atomic.Int32
	staying := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		dialled.Add(1)
		for {
			if _, _, err := readRequest(r); err != nil {
				return
			}
			writeResponse(c, "1", "ok")
		}
	})
	p := NewPool()
	for _, address := range []string{closing, staying} {
		if _, _, err := send(t, p, newRequest(address, "x")); err != nil {
			t.Fatal(err)
		}
	}
	var lost []string
	for deadline := time.Now().Add(5 * time.Second); len(lost) == 0 && time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		lost = p.CloseUnusable()
	}
	if len(lost) != 1 || lost[0] != closing {
		t.Errorf("got lost connections to %v, want %s alone", lost, closing)
	}
	if again := p.CloseUnusable(); len(again) != 0 {
		t.Errorf("got %v a second time", again)
	}
	if _, _, err := send(t, p, newRequest(staying, "x")); err != nil || dialled.Load() != 1 {
		t.Errorf("error %v, %d connections to the server that keeps them open, want 1", err, dialled.Load())
	}
}

func TestSend_SkipsAnswersToOthers(t *testing.T) {
	address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err == nil {
			writeResponse(c, "0", "late")
			writeResponse(c, "1", "mine")
		}
	})
	if _, body, err := send(t, NewPool(), newRequest(address, "")); err != nil || body != "mine" {
		t.Fatalf("got body %q, error %v", body, err)
	}
}

func TestSend_OnlyAnswersToOthersIsAFailure(t *testing.T) {
	address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err == nil {
			writeResponse(c, "0", "late")
		}
	})
	if _, body, err := send(t, NewPool(), newRequest(address, "")); err == nil {
		t.Fatalf("the response %q to another request was accepted", body)
	}
}

func TestSend_UnrequestedBytesPreventReuse(t *testing.T) {
	var connections atomic.Int32
	address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		connections.Add(1)
		for {
			if _, _, err := readRequest(r); err != nil {
				return
			}
			writeResponse(c, "1", "mine")
			writeResponse(c, "1", "again")
		}
	})
	p := NewPool()
	for range 2 {
		if _, body, err := send(t, p, newRequest(address, "")); err != nil || body != "mine" {
			t.Fatalf("got body %q, error %v", body, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if connections.Load() != 2 {
		t.Fatal("a connection with unrequested bytes was reused")
	}
}

func TestSend_TruncatedBodyIsAnError(t *testing.T) {
	heads := map[string]string{
		"length":  "Content-Length: 100\r\n\r\nhalf",
		"chunked": "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	}
	for name, rest := range heads {
		address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
			if _, _, err := readRequest(r); err == nil {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n"+rest)
			}
		})
		if _, body, err := send(t, NewPool(), newRequest(address, "")); err == nil {
			t.Errorf("%s: no error for the truncated body %q", name, body)
		}
	}
}

func TestSend_ResetOfAnUnframedBodyIsAnError(t *testing.T) {
	address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhalf")
			time.Sleep(30 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	})
	if _, body, err := send(t, NewPool(), newRequest(address, "")); err == nil {
		t.Fatalf("no error for the body %q of a connection that was reset", body)
	}
}

// TestSend_EarlyAnswer checks that a response is accepted that arrives before the
// request is written completely, and that its connection is not reused: the server
// would read the next request as the rest of this one.
func TestSend_EarlyAnswer(t *testing.T) {
	var connections atomic.Int32
	address := startServer(t, func(_ int, c net.Conn, _ *bufio.Reader) {
		connections.Add(1)
		time.Sleep(20 * time.Millisecond)
		writeResponse(c, "1", "too long")
		time.Sleep(200 * time.Millisecond)
	})
	p := NewPool()
	for range 2 {
		if _, body, err := send(t, p, newRequest(address, strings.Repeat("x", 8<<20))); err != nil || body != "too long" {
			t.Fatalf("got body %q, error %v", body, err)
		}
	}
	if connections.Load() != 2 {
		t.Fatal("a connection on which a request was only partly written was reused")
	}
}

func TestSend_SkipsInterimResponses(t *testing.T) {
	address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
			writeResponse(c, "1", "ok")
		}
	})
	if _, body, err := send(t, NewPool(), newRequest(address, "")); err != nil || body != "ok" {
		t.Fatalf("got body %q, error %v", body, err)
	}
}

func TestSend_CancelClosesTheConnection(t *testing.T) {
	gone := make(chan struct{})
	address := startServer(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err == nil {
			_, _ = r.ReadByte() // returns when the connection is closed
			close(gone)
		}
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	if _, err := NewPool().Send(ctx, newRequest(address, "")); err == nil {
		t.Fatal("Send returned no error after its context was cancelled")
	}
	select {
	case <-gone:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection of a cancelled request was not closed")
	}
}

func TestIdleTimeoutFrom_FollowsTheKeepAliveHeader(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"":                   defaultIdleTimeout,
		"timeout=5":          5*time.Second - idleTimeoutMargin,
		"max=3, timeout=1":   time.Second - idleTimeoutMargin,
		"timeout=0":          -idleTimeoutMargin,
		"timeout=never":      defaultIdleTimeout,
		"Timeout = 2, max=1": defaultIdleTimeout,
	} {
		if got := idleTimeoutFrom(http.Header{"Keep-Alive": {value}}); got != want {
			t.Errorf("Keep-Alive %q: %v, want %v", value, got, want)
		}
	}
}

// TestSend_LargeBodyIsNotCopied: the body of a request is in memory already, and counted there. Sending it
// must not take as much again.
func TestSend_LargeBodyIsNotCopied(t *testing.T) {
	const size = 16 << 20
	address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		n, _ := io.Copy(io.Discard, req.Body)
		writeResponse(c, "1", fmt.Sprint(n))
	})
	r := newRequest(address, "")
	r.Body = make([]byte, size)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, body, err := send(t, NewPool(), r)
	runtime.ReadMemStats(&after)
	if err != nil || body != fmt.Sprint(size) {
		t.Fatalf("the server got %s bytes of %d, error %v", body, size, err)
	}
	if taken := after.TotalAlloc - before.TotalAlloc; taken > size/4 {
		t.Errorf("sending a body of %d bytes took %d bytes of memory", size, taken)
	}
}

// TestSend_CancelledRequestIsNotDeliveredLater: a server does not read while its caller leaves. What lies unsent must not
// reach it afterwards, as it would begin to work for nobody.
func TestSend_CancelledRequestIsNotDeliveredLater(t *testing.T) {
	const serverPause, bodySize = 700 * time.Millisecond, 400 << 10
	got := make(chan error, 1)
	address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if err := c.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
			t.Error(err)
		}
		time.Sleep(serverPause)
		_, _, err := readRequest(r)
		got <- err
	})
	ctx, cancel := context.WithTimeout(t.Context(), serverPause/4)
	defer cancel()
	if _, err := NewPool().Send(ctx, newRequest(address, strings.Repeat("x", bodySize))); err == nil {
		t.Fatal("a request to a server that does not read was answered")
	}
	if err := <-got; err == nil {
		t.Errorf("the whole request reached the server %v after it had been cancelled", serverPause-serverPause/4)
	}
}
