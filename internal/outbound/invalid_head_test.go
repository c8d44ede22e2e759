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

// TestSend_InvalidStatus: a server in trouble writes an invalid status code. Neither the head nor what follows it is an answer.
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

// TestSend_InvalidStatusLine: a server in trouble writes the version of another protocol, by which the body would end elsewhere, or
// control bytes.
func TestSend_InvalidStatusLine(t *testing.T) {
	t.Parallel()
	const rest = "\r\nId: 1\r\nContent-Length: 5\r\n\r\nhello"
	expectBroken(t, map[string]string{
		"HTTP/0.9":                   "HTTP/0.9 200 OK" + rest,
		"HTTP/2.0":                   "HTTP/2.0 200 OK" + rest,
		"HTTP/3.7":                   "HTTP/3.7 200 OK" + rest,
		"HTTP/2.0 of an interim":     "HTTP/2.0 103 Early Hints\r\n\r\n" + soundAnswer,
		"no minor version":           "HTTP/1 200 OK" + rest,
		"other protocol":             "ICY 200 OK" + rest,
		"small letters":              "http/1.1 200 OK" + rest,
		"control byte in the reason": "HTTP/1.1 200 O\x01K" + rest,
		"NUL in the reason":          "HTTP/1.1 200 O\x00K" + rest,
		"DEL in the reason":          "HTTP/1.1 200 O\x7fK" + rest,
		"return in the reason":       "HTTP/1.1 200 O\rK" + rest,
		"control byte in an interim": "HTTP/1.1 103 Early\x01Hints\r\n\r\n" + soundAnswer,
	})
}

// TestSend_InvalidFieldName: a server in trouble writes an invalid field name. With a blank before its colon a length or an encoding
// is not seen, and other bytes than the body's would be taken for it.
func TestSend_InvalidFieldName(t *testing.T) {
	t.Parallel()
	const chunkedHead = soundHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n"
	expectBroken(t, map[string]string{
		"blank before the colon of a length":    soundHead + "Content-Length : 5\r\n\r\nhellorest",
		"blank before the colon of an encoding": soundHead + "Transfer-Encoding : chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"blank before the colon":                soundHead + "X-Odd : y\r\nContent-Length: 5\r\n\r\nhello",
		"blank within":                          soundHead + "X Odd: y\r\nContent-Length: 5\r\n\r\nhello",
		"blank within the first":                "HTTP/1.1 200 OK\r\nX Odd: y\r\nId: 1\r\nContent-Length: 5\r\n\r\nhello",
		"blank within, of another request":      "HTTP/1.1 200 OK\r\nX Odd: y\r\nId: 0\r\nContent-Length: 4\r\n\r\nlate" + soundAnswer,
		"blank in an interim head":              "HTTP/1.1 103 Early Hints\r\nX Odd: y\r\n\r\n" + soundAnswer,
		"blank before the colon, in an interim": "HTTP/1.1 103 Early Hints\r\nX-Odd : y\r\n\r\n" + soundAnswer,
		"blank in a trailer":                    chunkedHead + "X Odd: y\r\n\r\n",
		"blank before the colon, in a trailer":  chunkedHead + "X-Odd : y\r\n\r\n",
		"blank ahead of the first":              "HTTP/1.1 200 OK\r\n Id: 1\r\nId: 1\r\nContent-Length: 5\r\n\r\nhello",
		"tab before the colon":                  soundHead + "X-Odd\t: y\r\nContent-Length: 5\r\n\r\nhello",
		"tab before the colon of a length":      soundHead + "Content-Length\t: 5\r\n\r\nhellorest",
		"control byte":                          soundHead + "X\x01Odd: y\r\nContent-Length: 5\r\n\r\nhello",
		"NUL":                                   soundHead + "X\x00Odd: y\r\nContent-Length: 5\r\n\r\nhello",
		"DEL":                                   soundHead + "X\x7fOdd: y\r\nContent-Length: 5\r\n\r\nhello",
		"carriage return":                       soundHead + "X\rOdd: y\r\nContent-Length: 5\r\n\r\nhello",
		"high byte":                             soundHead + "X\xe9Odd: y\r\nContent-Length: 5\r\n\r\nhello",
		"separator":                             soundHead + "X(Odd): y\r\nContent-Length: 5\r\n\r\nhello",
		"no name":                               soundHead + ": y\r\nContent-Length: 5\r\n\r\nhello",
		"no colon":                              soundHead + "Content-Length 5\r\n\r\nhello",
		"control byte in an interim head":       "HTTP/1.1 103 Early Hints\r\nX\x01Odd: y\r\n\r\n" + soundAnswer,
		"control byte in a trailer":             chunkedHead + "X\x01Odd: y\r\n\r\n",
		"control byte in a value":               soundHead + "X-Odd: \x01\r\nContent-Length: 5\r\n\r\nhello",
		"NUL in a value":                        soundHead + "X-Odd: \x00\r\nContent-Length: 5\r\n\r\nhello",
		"carriage return in a value":            soundHead + "X-Odd: a\rb\r\nContent-Length: 5\r\n\r\nhello",
		"control byte in a value of a trailer":  chunkedHead + "X-Odd: \x01\r\n\r\n",
		"control byte in a value of an interim": "HTTP/1.1 103 Early Hints\r\nX-Odd: \x01\r\n\r\n" + soundAnswer,
		"length that is no number":              soundHead + "Content-Length: 5 \x0b\r\n\r\nhello",
	})
}

// TestSend_UnusualHead: what looks odd and is allowed goes on being an answer.
func TestSend_UnusualHead(t *testing.T) {
	t.Parallel()
	for name, answer := range map[string]string{
		"all marks of a name":  soundHead + "!#$%&'*+-.^_`|~09az: y\r\nContent-Length: 5\r\n\r\nhello",
		"high byte in a value": soundHead + "X-Odd: caf\xe9\r\nContent-Length: 5\r\n\r\nhello",
		"tab in a value":       soundHead + "X-Odd: a\tb\r\nContent-Length: 5\r\n\r\nhello",
		"no value":             soundHead + "X-Odd:\r\nContent-Length: 5\r\n\r\nhello",
		"no blank":             soundHead + "X-Odd:y\r\nContent-Length:5\r\n\r\nhello",
		"no reason":            "HTTP/1.1 200\r\nId: 1\r\nContent-Length: 5\r\n\r\nhello",
		"high byte in reason":  "HTTP/1.1 200 caf\xe9\r\nId: 1\r\nContent-Length: 5\r\n\r\nhello",
		"HTTP/1.0":             "HTTP/1.0 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nhello",
		"trailer":              soundHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-Odd: y\r\n\r\n",
		"interim head":         "HTTP/1.1 199 Unknown\r\nX-Odd: y\r\n\r\n" + soundAnswer,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if status, body, err := sendToWriter(t, answer); err != nil || status != 200 || body != "hello" {
				t.Errorf("%q: got status %d, body %q, error %v", answer, status, body, err)
			}
		})
	}
}
