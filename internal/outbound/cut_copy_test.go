package outbound

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// copiedAnswers are answers to a request with the ID 1, of which a server may write a part once more.
var copiedAnswers = map[string]string{
	"503":          "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nId: 1\r\nContent-Length: 0\r\n\r\n",
	"503 to leave": "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nLeaves: 1\r\nMax-Rate: 3\r\nRetry-After: 1\r\nNot-Run: 1\r\nId: 1\r\n\r\n",
	"421":          "HTTP/1.1 421 Misdirected Request\r\nId: 1\r\nContent-Length: 0\r\n\r\n",
	"200":          "HTTP/1.1 200 OK\r\nId: 1\r\nSignature: s\r\nContent-Length: 5\r\n\r\nwrong",
	"chunked":      "HTTP/1.1 200 OK\r\nId: 1\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n",
	"interim":      "HTTP/1.1 103 Early Hints\r\nNot-Run: 1\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nwrong",
	"bare LF":      "HTTP/1.1 503 Service Unavailable\nNot-Run: 1\nId: 1\nContent-Length: 0\n\n",
}

// rightAnswers are answers to a request with the ID 2.
var rightAnswers = map[string]string{
	"200": "HTTP/1.1 200 OK\r\nId: 2\r\nSignature: s\r\nContent-Length: 5\r\n\r\nright",
	"500": "HTTP/1.0 500 Internal Server Error\r\nSignature: s\r\nId: 2\r\nContent-Length: 5\r\n\r\nright",
}

// sendAfterCutCopy sends a request with the ID 2 on a connection that has brought an answer to the ID 1, of which
// the server writes the first bytes once more before the right answer.
func sendAfterCutCopy(t *testing.T, copied, right string, cut int) (head *http.Response, body string, err error) {
	t.Helper()
	address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for _, answer := range []string{copied, copied[:cut] + right} {
			if _, _, err := readRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, answer)
		}
		_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		_, _ = r.ReadByte()
	})
	p := NewPool()
	if _, _, err := send(t, p, newRequest(address, "")); err != nil {
		t.Fatal(err)
	}
	r := newRequest(address, "")
	r.Matches = func(resp *http.Response) bool { return resp.Header.Get("Id") == "2" }
	reply, err := p.Send(t.Context(), r)
	if err != nil {
		return nil, "", err
	}
	defer reply.Close()
	read, err := io.ReadAll(reply)
	return reply.Response, string(read), err
}

// TestSend_CutCopyIsNotJoinedToTheAnswer: an answer that is written once more and breaks off must not make one head
// with the right answer, whose status or fields would be those of both.
func TestSend_CutCopyIsNotJoinedToTheAnswer(t *testing.T) {
	t.Parallel()
	for copyName, copied := range copiedAnswers {
		for rightName, right := range rightAnswers {
			t.Run(copyName+" before "+rightName, func(t *testing.T) {
				t.Parallel()
				for cut := range len(copied) {
					head, body, err := sendAfterCutCopy(t, copied, right, cut)
					if err != nil {
						continue
					}
					wrongField := ""
					for _, name := range []string{"Not-Run", "Leaves", "Max-Rate", "Retry-After"} {
						if head.Header.Get(name) != "" {
							wrongField = name
						}
					}
					if head.Status[:3] != rightName || body != "right" || wrongField != "" || head.Header.Get("Signature") != "s" {
						t.Errorf("cut after %d bytes: status %q, fields %v, body %q", cut, head.Status, head.Header, body)
					}
				}
			})
		}
	}
}
