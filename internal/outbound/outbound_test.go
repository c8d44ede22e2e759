package outbound

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// server accepts connections and hands each, with its number, to serve.
func server(t *testing.T, serve func(n int, c net.Conn, r *bufio.Reader)) string {
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

func request(address, body string) *Request {
	return &Request{
		Address: address, Method: "POST", Target: "/a%20b?q=1", Host: "h",
		Header: http.Header{"Id": {"1"}}, Body: []byte(body), HasBody: true,
		Mine: func(r *http.Response) bool { return r.Header.Get("Id") == "1" },
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

func answer(c net.Conn, id, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func TestSend_PassesBytesOnAndReusesTheConnection(t *testing.T) {
	var connections atomic.Int32
	address := server(t, func(_ int, c net.Conn, r *bufio.Reader) {
		connections.Add(1)
		for {
			req, body, err := readRequest(r)
			if err != nil {
				return
			}
			answer(c, "1", req.RequestURI+" "+req.Host+" "+body)
		}
	})
	p := NewPool()
	for range 5 {
		status, body, err := send(t, p, request(address, "hello"))
		if err != nil || status != 200 || body != "/a%20b?q=1 h hello" {
			t.Fatalf("got %d %q %v", status, body, err)
		}
	}
	if n := connections.Load(); n != 1 {
		t.Fatalf("%d connections for 5 requests in a row", n)
	}
}

// TestSend_WritesOnce: a connection that breaks after the request was written
// must not lead to a second send, whatever the method.
func TestSend_WritesOnce(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		var requests atomic.Int32
		address := server(t, func(_ int, c net.Conn, r *bufio.Reader) {
			for {
				if _, _, err := readRequest(r); err != nil {
					return
				}
				if requests.Add(1) > 1 {
					return // the second request on a reused connection finds it closed
				}
				answer(c, "1", "ok")
			}
		})
		p := NewPool()
		r := request(address, "")
		r.Method, r.HasBody = method, false
		if _, _, err := send(t, p, r); err != nil {
			t.Fatal(err)
		}
		_, _, err := send(t, p, r)
		if err == nil || verdict.Of(err) != verdict.MayHaveRun {
			t.Errorf("%s: %v, want may-have-run", method, err)
		}
		if n := requests.Load(); n != 2 {
			t.Errorf("%s: %d requests arrived, two were sent", method, n)
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
	if _, _, err := send(t, NewPool(), request(address, "")); verdict.Of(err) != verdict.NotRun {
		t.Fatalf("%v, want not-run", err)
	}
}

func TestSend_ClosedIdleConnectionIsNotUsed(t *testing.T) {
	address := server(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err == nil {
			answer(c, "1", "ok") // and close, without saying so
		}
	})
	p := NewPool()
	for range 3 {
		if _, _, err := send(t, p, request(address, "x")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func TestSend_SkipsAnswersToOthers(t *testing.T) {
	address := server(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err == nil {
			answer(c, "0", "late")
			answer(c, "1", "mine")
		}
	})
	if _, body, err := send(t, NewPool(), request(address, "")); err != nil || body != "mine" {
		t.Fatalf("got %q %v", body, err)
	}
}

func TestSend_OnlyAnswersToOthersIsAFailure(t *testing.T) {
	address := server(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err == nil {
			answer(c, "0", "late")
		}
	})
	if _, body, err := send(t, NewPool(), request(address, "")); err == nil {
		t.Fatalf("another request's answer %q was taken", body)
	}
}

func TestSend_BytesAfterAnAnswerBelongToNobody(t *testing.T) {
	var connections atomic.Int32
	address := server(t, func(_ int, c net.Conn, r *bufio.Reader) {
		connections.Add(1)
		for {
			if _, _, err := readRequest(r); err != nil {
				return
			}
			answer(c, "1", "mine")
			answer(c, "1", "again")
		}
	})
	p := NewPool()
	for range 2 {
		if _, body, err := send(t, p, request(address, "")); err != nil || body != "mine" {
			t.Fatalf("got %q %v", body, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if connections.Load() != 2 {
		t.Fatal("a connection with unasked bytes was used again")
	}
}

func TestSend_CutBodyIsAnError(t *testing.T) {
	heads := map[string]string{
		"length":  "Content-Length: 100\r\n\r\nhalf",
		"chunked": "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	}
	for name, rest := range heads {
		address := server(t, func(_ int, c net.Conn, r *bufio.Reader) {
			if _, _, err := readRequest(r); err == nil {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n"+rest)
			}
		})
		if _, body, err := send(t, NewPool(), request(address, "")); err == nil {
			t.Errorf("%s: the cut body %q looks complete", name, body)
		}
	}
}

func TestSend_ResetOfAnUnframedBodyIsAnError(t *testing.T) {
	address := server(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhalf")
			time.Sleep(30 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	})
	if _, body, err := send(t, NewPool(), request(address, "")); err == nil {
		t.Fatalf("the reset body %q looks complete", body)
	}
}

// TestSend_EarlyAnswer: an answer before the request is whole is taken, and the
// connection, on which the rest would be read as a request, is not used again.
func TestSend_EarlyAnswer(t *testing.T) {
	var connections atomic.Int32
	address := server(t, func(_ int, c net.Conn, _ *bufio.Reader) {
		connections.Add(1)
		time.Sleep(20 * time.Millisecond)
		answer(c, "1", "too long")
		time.Sleep(200 * time.Millisecond)
	})
	p := NewPool()
	for range 2 {
		if _, body, err := send(t, p, request(address, strings.Repeat("x", 8<<20))); err != nil || body != "too long" {
			t.Fatalf("got %q %v", body, err)
		}
	}
	if connections.Load() != 2 {
		t.Fatal("a connection in the middle of a request was used again")
	}
}

func TestSend_InterimAnswersArePassedOver(t *testing.T) {
	address := server(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
			answer(c, "1", "ok")
		}
	})
	if _, body, err := send(t, NewPool(), request(address, "")); err != nil || body != "ok" {
		t.Fatalf("got %q %v", body, err)
	}
}

func TestSend_CancelClosesTheConnection(t *testing.T) {
	gone := make(chan struct{})
	address := server(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err == nil {
			_, _ = r.ReadByte() // returns when the connection is closed
			close(gone)
		}
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	if _, err := NewPool().Send(ctx, request(address, "")); err == nil {
		t.Fatal("no error after the cancel")
	}
	select {
	case <-gone:
	case <-time.After(5 * time.Second):
		t.Fatal("the backend server still works on a request whose caller has gone")
	}
}

func TestKeepAlive_ServersWordGoes(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"":                   defaultIdle,
		"timeout=5":          5*time.Second - idleMargin,
		"max=3, timeout=1":   time.Second - idleMargin,
		"timeout=0":          -idleMargin,
		"timeout=never":      defaultIdle,
		"Timeout = 2, max=1": defaultIdle,
	} {
		if got := keepAlive(http.Header{"Keep-Alive": {value}}); got != want {
			t.Errorf("Keep-Alive %q: %v, want %v", value, got, want)
		}
	}
}
