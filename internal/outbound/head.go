package outbound

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"strings"

	"github.com/gooseberryslip/gooseberryslip/internal/httpcheck"
)

// maxHeadBytes bounds the bytes that are read for the head of one response, with the
// interim responses before it.
const maxHeadBytes = 32 << 10

// errJoinedHeads is the error of a head with the status line of another one in it: an earlier answer
// that is written once more and breaks off is followed by the right one.
var errJoinedHeads = errors.New("head of the response has the status line of another one in it")

var errHeadTooLong = fmt.Errorf("head of the response is longer than %d bytes", maxHeadBytes)

// limitedReader reads from a connection and fails when its limit is used up.
type limitedReader struct {
	source    io.Reader
	leftBytes int64
}

// Read implements io.Reader.
func (r *limitedReader) Read(p []byte) (int, error) {
	if r.leftBytes <= 0 {
		return 0, errHeadTooLong
	}
	if int64(len(p)) > r.leftBytes {
		p = p[:r.leftBytes]
	}
	n, err := r.source.Read(p)
	r.leftBytes -= int64(n)
	return n, err
}

// readFinalHead reads the head of the final response and skips interim (1xx)
// responses. It reads maxHeadBytes at most.
func readFinalHead(conn *connection, method string) (*http.Response, error) {
	conn.source.leftBytes = maxHeadBytes
	resp, err := skipInterimResponses(conn, method)
	if conn.source.leftBytes <= 0 {
		// The parser may have taken the part of a line before the limit for a whole one.
		oversizedHeads.Inc()
		return nil, errHeadTooLong
	}
	conn.source.leftBytes = math.MaxInt64
	return resp, err
}

func skipInterimResponses(conn *connection, method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(conn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if hasStatusLineWithin(resp) {
			joinedHeads.Inc()
			return nil, errJoinedHeads
		}
		if err := httpcheck.Head(resp); err != nil {
			invalidHeads.Inc()
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("backend server switched protocols without being asked")
		}
	}
}

// hasStatusLineWithin reports whether a status line stands in the reason or in a field of a head. Where
// a line ends before it, the parser has found a line that is no field.
func hasStatusLineWithin(resp *http.Response) bool {
	if hasStatusLine(resp.Status) {
		return true
	}
	for _, values := range resp.Header {
		if slices.ContainsFunc(values, hasStatusLine) {
			return true
		}
	}
	return false
}

// hasStatusLine reports whether a text has the beginning of a status line in it, such as "HTTP/1.1 200".
func hasStatusLine(text string) bool {
	for {
		_, rest, found := strings.Cut(text, "HTTP/1.")
		if !found {
			return false
		}
		if hasDigits(rest, "0 000") {
			return true
		}
		text = rest
	}
}

// hasDigits reports whether a text begins with a shape, in which 0 stands for any digit.
func hasDigits(text, shape string) bool {
	if len(text) < len(shape) {
		return false
	}
	for i := range len(shape) {
		isDigit := text[i] >= '0' && text[i] <= '9'
		if shape[i] == '0' && !isDigit || shape[i] != '0' && text[i] != shape[i] {
			return false
		}
	}
	return true
}
