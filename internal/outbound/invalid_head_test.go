package outbound

import (
	"bufio"
	"io"
	"net"
	"testing"

	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

const (
	// soundHead is the head of an answer without its last, empty line.
	soundHead = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	// soundAnswer is a whole answer.
	soundAnswer = soundHead + "Content-Length: 5\r\n\r\nhello"
)

// sendToWriter sends a request to a server that answers with the given bytes and closes the connection.
func sendToWriter(t *testing.T, answer string) (status int, body string, err error) {
	t.Helper()
	address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err == nil {
			_, _ = io.WriteString(c, answer)
		}
	})
	return send(t, NewPool(), newRequest(address, "x"))
}

// expectBroken checks that none of the answers passes for one, and that the request may have run.
func expectBroken(t *testing.T, answers map[string]string) {
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			status, body, err := sendToWriter(t, answer)
			if err == nil {
				t.Errorf("%q passed for an answer with status %d and body %q", answer, status, body)
			} else if v := verdict.Of(err); v != verdict.MayHaveRun {
				t.Errorf("%q: verdict %v", answer, v)
			}
		})
	}
}

// TestSend_InvalidStatus: a server in trouble writes a status that is none. Neither the head nor what follows it is an answer.
func TestSend_InvalidStatus(t *testing.T) {
	t.Parallel()
	expectBroken(t, map[string]string{
		"000 before an answer":         "HTTP/1.1 000 Unknown\r\nId: 1\r\nContent-Length: 0\r\n\r\n" + soundAnswer,
		"099 before an answer":         "HTTP/1.1 099 Unknown\r\nId: 1\r\nContent-Length: 0\r\n\r\n" + soundAnswer,
		"000, body like an answer":     "HTTP/1.1 000 Unknown\r\nId: 1\r\nContent-Length: 46\r\n\r\n" + soundAnswer,
		"000 without fields":           "HTTP/1.1 000\r\n\r\n" + soundAnswer,
		"000 behind an interim head":   "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 Unknown\r\n\r\n" + soundAnswer,
		"000 alone":                    "HTTP/1.1 000 Unknown\r\nId: 1\r\nContent-Length: 5\r\n\r\nhello",
		"600":                          "HTTP/1.1 600 Unknown\r\nId: 1\r\nContent-Length: 5\r\n\r\nhello",
		"999":                          "HTTP/1.1 999 Unknown\r\nId: 1\r\nContent-Length: 5\r\n\r\nhello",
		"plus sign":                    "HTTP/1.1 +20 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nhello",
		"minus sign":                   "HTTP/1.1 -20 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nhello",
		"two digits":                   "HTTP/1.1 20 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nhello",
		"four digits":                  "HTTP/1.1 2000 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nhello",
		"no digits":                    "HTTP/1.1 abc OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nhello",
		"000 of another request":       "HTTP/1.1 000 Unknown\r\nId: 0\r\nContent-Length: 0\r\n\r\n" + soundAnswer,
		"000, end with the connection": "HTTP/1.1 000 Unknown\r\nId: 1\r\n\r\nhello",
	})
}
