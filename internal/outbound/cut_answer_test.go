package outbound

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// cutAnswers are answers of servers that may end after any of their bytes. The key says how the body's end is marked.
var cutAnswers = map[string]string{
	"length":                    "HTTP/1.1 200 OK\r\nId: 1\r\nServer: s\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nhello",
	"length, named first":       "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nId: 1\r\n\r\nhello",
	"no bytes":                  "HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n",
	"chunks":                    "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n",
	"interim, length":           "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nhello",
	"connection's end, closing": "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\nhello",
	"bare line feeds, length":   "HTTP/1.1 200 OK\nId: 1\nContent-Length: 5\n\nhello",
}

// sendToCut sends a request to a server that writes an answer and ends the connection.
func sendToCut(t *testing.T, answer string, reset bool) (string, error) {
	address := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, answer) // the test sees what arrives
		if reset {
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	})
	_, body, err := send(t, NewPool(), newRequest(address, "x"))
	return body, err
}

// TestSend_AnswerCutAfterEachByte: a server stops in the middle of its answer's head or body. No part of an answer may
// pass for a whole one, and the request may have run.
func TestSend_AnswerCutAfterEachByte(t *testing.T) {
	for framing, answer := range cutAnswers {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s,reset=%v", framing, reset), func(t *testing.T) {
				var sends sync.WaitGroup
				for n := range len(answer) {
					sends.Go(func() {
						_, err := sendToCut(t, answer[:n], reset)
						headEnd := strings.Index(answer, "\r\n\r\n") + len("\r\n\r\n")
						if endMarksIt := strings.HasPrefix(framing, "connection's end") && n >= headEnd && !reset; endMarksIt {
							return // as long as any other
						}
						if err == nil {
							t.Errorf("the first %d bytes, %q, passed for a whole answer", n, answer[:n])
						} else if v := verdict.Of(err); n < headEnd && v != verdict.MayHaveRun {
							t.Errorf("after %d bytes the verdict is %v", n, v)
						}
					})
				}
				sends.Wait()
				if _, err := sendToCut(t, answer, false); err != nil {
					t.Errorf("the whole answer: %v", err)
				}
			})
		}
	}
}

// FuzzSend_CutAnswer: whatever a server has written, an answer with a length or chunks is whole only if all of it came.
func FuzzSend_CutAnswer(f *testing.F) {
	for _, answer := range cutAnswers {
		f.Add(answer, uint16(len(answer)/2), uint16(len(answer)-1))
	}
	f.Fuzz(func(t *testing.T, answer string, from, to uint16) {
		cut := answer[:min(int(to), len(answer))]
		conn, server := net.Pipe()
		go func() {
			_, _ = io.CopyN(io.Discard, server, 1)
			go func() { _, _ = io.Copy(io.Discard, server) }()
			_, _ = io.WriteString(server, cut[:min(int(from), len(cut))])
			_, _ = io.WriteString(server, cut[min(int(from), len(cut)):])
			_ = server.Close()
		}()
		p := NewPoolWithDial(func(context.Context, string) (net.Conn, error) { return conn, nil })
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		reply, err := p.Send(ctx, newRequest("a", ""))
		if err != nil {
			return
		}
		defer reply.Close()
		body, err := io.ReadAll(reply)
		if err == nil && reply.ContentLength > 0 && int64(len(body)) != reply.ContentLength {
			t.Errorf("a body of %d bytes, %d stated, passed for a whole one", len(body), reply.ContentLength)
		}
		if !strings.Contains(cut, "\n\r\n") && !strings.Contains(cut, "\n\n") {
			t.Errorf("a head without its end passed for a whole one: %q", cut)
		}
	})
}
