package httpcheck

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"

	"github.com/gooseberryslip/gooseberryslip/internal/deadpeer"
)

// Transport is an http.Transport for HTTP/1 that returns an error for a response with an invalid head or trailer,
// and for a body that a reset has cut. The fields of interim responses are not checked.
type Transport struct {
	*http.Transport
}

var _ http.RoundTripper = Transport{}

// NewTransport returns a Transport that works as configured in t, which it changes and owns from now on.
func NewTransport(t *http.Transport) Transport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return deadpeer.NewConn(c), nil
	}
	t.Protocols = new(http.Protocols)
	t.Protocols.SetHTTP1(true)
	return Transport{t}
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := Head(resp); err != nil {
		_ = resp.Body.Close() // the body of an invalid response is not needed
		return nil, err
	}
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &chunkedBody{ReadCloser: resp.Body, response: resp}
	}
	return resp, nil
}

// chunkedBody checks the trailer that may follow a body in chunks.
type chunkedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if invalid := Fields(b.response.Trailer); invalid != nil {
		return n, invalid
	}
	return n, err
}
