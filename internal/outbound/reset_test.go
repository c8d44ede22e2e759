package outbound

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// TestSend_ResetFoundByTheWrite: a server answers a request before it comes, without a length, and resets the connection. The
// write finds the reset, and the part of the answer that came must not pass for all of it.
func TestSend_ResetFoundByTheWrite(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	for name, answer := range map[string]string{
		"part":          head + "\r\npart",
		"no bytes":      head + "\r\n",
		"after another": "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 4\r\n\r\nlate" + head + "\r\npart",
		"closing":       head + "Connection: close\r\n\r\npart",
	} {
		for _, size := range []int{1, maxInlineBodyBytes + 1} {
			t.Run(name, func(t *testing.T) {
				connected := make(chan struct{})
				address := startServer(t, func(_ int, c net.Conn, _ *bufio.Reader) {
					<-connected
					_, _ = io.WriteString(c, answer)
					_ = c.(*net.TCPConn).SetLinger(0)
				})
				r := newRequest(address, strings.Repeat("x", size))
				r.MaySend = func(time.Time) bool {
					close(connected)
					time.Sleep(50 * time.Millisecond) // until the reset has come
					return true
				}
				status, body, err := send(t, NewPool(), r)
				if err == nil {
					t.Errorf("body of %d bytes: got status %d and %q as a whole answer", size, status, body)
				} else if v := verdict.Of(err); v == verdict.NotRun {
					t.Errorf("body of %d bytes: verdict %v of %v", size, v, err)
				}
			})
		}
	}
}
