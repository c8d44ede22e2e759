package httpcheck

import (
	"context"
	"net"
	"net/http"

	"github.com/gooseberryslip/gooseberryslip/internal/deadpeer"
)

// Transport is an http.Transport for HTTP/1 that returns an error for a body that a reset has cut.
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
