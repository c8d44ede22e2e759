package outbound

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
)

// maxHeadBytes bounds the bytes that are read for the head of one response, with the
// interim responses before it.
const maxHeadBytes = 32 << 10

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
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("backend server switched protocols without being asked")
		}
	}
}
