package backend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/gooseberryslip/gooseberryslip/internal/core"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// writingServer returns the address of a server that answers each request with the given bytes and closes the connection.
func writingServer(t *testing.T, answer string) string {
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
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, answer)
			}
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

// TestDispatch_InvalidHead: a backend server in trouble answers with an invalid head. It is no answer, and no refusal.
func TestDispatch_InvalidHead(t *testing.T) {
	t.Parallel()
	for name, answer := range map[string]string{
		"status 000":                         "HTTP/1.1 000 Unknown\r\nContent-Length: 5\r\n\r\nhello",
		"status 000, not run":                "HTTP/1.1 000 Unknown\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n",
		"blank before the colon of a length": "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\nhellorest",
		"blank within a name":                "HTTP/1.1 200 OK\r\nX Odd: y\r\nContent-Length: 5\r\n\r\nhello",
		"blank in a refusal":                 "HTTP/1.1 503 Service Unavailable\r\nX Odd: y\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n",
		"control byte in a name":             "HTTP/1.1 200 OK\r\nX\x01Odd: y\r\nContent-Length: 5\r\n\r\nhello",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sink := newEventSink()
			client := New(sink.record)
			defer client.Close()
			client.Dispatch(plainDispatch(writingServer(t, answer), http.MethodPost, []byte("b")))
			switch end := sink.next(t).(type) {
			case core.AttemptFailed:
				if end.Refused || verdict.Of(end.Err) != verdict.MayHaveRun {
					t.Errorf("%q: taken for a refusal: %+v", answer, end)
				}
			default:
				t.Errorf("%q passed for an answer: %+v", answer, end)
			}
		})
	}
}
