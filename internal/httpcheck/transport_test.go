package httpcheck

import (
	"bufio"
	"errors"
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

const (
	// soundHead is the head of a response without its last, empty line.
	soundHead   = "HTTP/1.1 200 OK\r\n"
	chunkedHead = soundHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n"
)

// TestTransport_InvalidResponse: none of these passes for a response.
func TestTransport_InvalidResponse(t *testing.T) {
	t.Parallel()
	for name, text := range map[string]string{
		"status 000":                            "HTTP/1.1 000 Unknown\r\nContent-Length: 5\r\n\r\nhello",
		"status 099":                            "HTTP/1.1 099 Unknown\r\nContent-Length: 5\r\n\r\nhello",
		"status 600":                            "HTTP/1.1 600 Unknown\r\nContent-Length: 5\r\n\r\nhello",
		"status 000 before a sound head":        "HTTP/1.1 000 Unknown\r\n\r\n" + soundHead + "Content-Length: 5\r\n\r\nhello",
		"blank before the colon of a length":    soundHead + "Content-Length : 5\r\n\r\nhellorest",
		"blank before the colon of an encoding": soundHead + "Transfer-Encoding : chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"blank before the colon":                soundHead + "X-Odd : y\r\nContent-Length: 5\r\n\r\nhello",
		"blank within a name":                   soundHead + "X Odd: y\r\nContent-Length: 5\r\n\r\nhello",
		"blank within a name, empty body":       soundHead + "X Odd: y\r\nContent-Length: 0\r\n\r\n",
		"control byte in a name":                soundHead + "X\x01Odd: y\r\nContent-Length: 5\r\n\r\nhello",
		"blank within a name of a trailer":      chunkedHead + "X Odd: y\r\n\r\n",
		"control byte in a name of a trailer":   chunkedHead + "X\x01Odd: y\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			url := startServer(t, func(c *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(c, text) })
			if status, body, err := post(newTestTransport(), url, ""); err == nil {
				t.Errorf("%q passed for a response with status %d and body %q", text, status, body)
			}
		})
	}
}

func TestTransport_SoundResponse(t *testing.T) {
	t.Parallel()
	for name, text := range map[string]string{
		"length":             soundHead + "Content-Length: 5\r\n\r\nhello",
		"connection's end":   soundHead + "\r\nhello",
		"chunks":             chunkedHead + "\r\n",
		"trailer":            chunkedHead + "X-Odd: y\r\n\r\n",
		"announced trailer":  soundHead + "Trailer: X-Odd\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-Odd: y\r\n\r\n",
		"trailer left out":   soundHead + "Trailer: X-Odd\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"all marks of names": soundHead + "!#$%&'*+-.^_`|~09az: y\r\nContent-Length: 5\r\n\r\nhello",
		"interim head":       "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + soundHead + "Content-Length: 5\r\n\r\nhello",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			url := startServer(t, func(c *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(c, text) })
			if status, body, err := post(newTestTransport(), url, ""); err != nil || status != 200 || body != "hello" {
				t.Errorf("got status %d, body %q, error %v", status, body, err)
			}
		})
	}
}

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

// TestHead_NamesWhatIsInvalid: the error says what broke the protocol, and not all of it.
func TestHead_NamesWhatIsInvalid(t *testing.T) {
	t.Parallel()
	long := strings.Repeat("X ", 1000)
	err := Head(&http.Response{StatusCode: 200, ProtoMajor: 1, Header: http.Header{long: {"y"}}})
	if !errors.Is(err, ErrInvalidHead) || !strings.Contains(err.Error(), "X X") || len(err.Error()) > 200 {
		t.Errorf("got %.300v", err)
	}
}
