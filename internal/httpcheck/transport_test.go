package httpcheck

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// startServer returns the URL of a server that calls serve once it has read the head of a request on a new connection.
func startServer(t *testing.T, serve func(c *net.TCPConn, r *http.Request)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // the test has ended
			}
			go func() {
				defer func() { _ = c.Close() }()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					serve(c.(*net.TCPConn), r)
				}
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// post sends a body to a URL and reads the response.
func post(transport http.RoundTripper, url, body string) (status int, got string, err error) {
	client := http.Client{Transport: transport, Timeout: 10 * time.Second}
	resp, err := client.Post(url, "text/plain", strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

func newTestTransport() http.RoundTripper {
	return NewTransport(&http.Transport{DisableKeepAlives: true})
}

// soundHead is the head of a response without its last, empty line.
const soundHead = "HTTP/1.1 200 OK\r\n"

const (
	// resetRequests is how often a request is sent whose server resets the connection at once: whether the writing or the
	// reading side learns of the reset differs from one time to the next.
	resetRequests = 800
	// resetSenders is how many of these are under way at a time.
	resetSenders = 8
	// uploadBytes is the size of a body that takes the sender some time, as the server does not read it.
	uploadBytes = 1 << 20
	// smallReceiveBuffer is the receive buffer of that server, in bytes.
	smallReceiveBuffer = 4 << 10
)

// TestTransport_ResetWhileTheRequestIsSent: a server responds before it has read the request, states no length, and resets the
// connection after a part of the body. That part must not pass for the whole body.
func TestTransport_ResetWhileTheRequestIsSent(t *testing.T) {
	t.Parallel()
	url := startServer(t, func(c *net.TCPConn, _ *http.Request) {
		_ = c.SetReadBuffer(smallReceiveBuffer)
		_, _ = io.WriteString(c, soundHead+"\r\npart")
		_ = c.SetLinger(0)
	})
	upload := strings.Repeat("u", uploadBytes)
	transport := newTestTransport()
	var whole atomic.Int64
	var senders sync.WaitGroup
	for range resetSenders {
		senders.Go(func() {
			for range resetRequests / resetSenders {
				if _, _, err := post(transport, url, upload); err == nil {
					whole.Add(1)
				}
			}
		})
	}
	senders.Wait()
	if n := whole.Load(); n > 0 {
		t.Errorf("%d of %d responses that broke off passed for whole ones", n, resetRequests)
	}
}

// TestTransport_ResponseEndsBeforeTheRequestIsRead: a server ends its sending side behind a body without a length and then reads
// the request. The body is whole.
func TestTransport_ResponseEndsBeforeTheRequestIsRead(t *testing.T) {
	t.Parallel()
	url := startServer(t, func(c *net.TCPConn, r *http.Request) {
		_, _ = io.WriteString(c, soundHead+"\r\nhello")
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, r.Body)
	})
	for _, size := range []int{0, 1, uploadBytes} {
		if status, body, err := post(newTestTransport(), url, strings.Repeat("u", size)); err != nil || status != 200 || body != "hello" {
			t.Errorf("request of %d bytes: got status %d, body %q, error %v", size, status, body, err)
		}
	}
}
