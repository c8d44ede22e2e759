package peer

import (
	"context"
	"errors"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// maxExchangesPerConnection bounds the exchanges that one daemon may have open with another.
const maxExchangesPerConnection = 256

func (c Config) maxIncomingExchanges() int64 {
	if c.ExchangeHandler == nil {
		return -1
	}
	return maxExchangesPerConnection
}

// codeCancelled is the application error code of an exchange that one side has given up.
const codeCancelled quic.StreamErrorCode = 1

// ErrNotConnected is the error of an exchange that could not be opened. The other daemon has
// got nothing of it.
var ErrNotConnected = errors.New("peer: no connection to the daemon")

// Exchange is a stream of frames in both directions between two daemons, apart from all other
// messages. When the connection is lost, so is the exchange.
type Exchange struct {
	stream   *quic.Stream
	maxBytes int
}

// OpenExchange opens an exchange with a daemon to which there is a connection.
func (t *Transport) OpenExchange(to Address) (*Exchange, error) {
	l := t.link(to.Addr)
	if l == nil {
		return nil, ErrNotConnected
	}
	c := l.connectionTo(to.ID)
	if c == nil {
		return nil, ErrNotConnected
	}
	stream, err := c.quic.OpenStream()
	if err != nil {
		return nil, errors.Join(ErrNotConnected, err)
	}
	return &Exchange{stream: stream, maxBytes: t.cfg.MaxMessageBytes}, nil
}

// connectionTo returns the connection on which messages are sent if it leads to the given daemon,
// else nil. Without any connection it dials one, for a later call.
func (l *link) connectionTo(id entity.InstanceID) *connection {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.retired {
		return nil
	}
	if len(l.conns) == 0 {
		l.startDial()
		return nil
	}
	if c := l.conns[0]; c.remote == id {
		return c
	}
	return nil
}

// acceptExchanges serves the exchanges that the peer opens until the connection ends.
func (c *connection) acceptExchanges() {
	for {
		stream, err := c.quic.AcceptStream(c.t.ctx)
		if err != nil {
			return
		}
		x := &Exchange{stream: stream, maxBytes: c.t.cfg.MaxMessageBytes}
		c.t.goroutines.Go(func() {
			defer x.Cancel()
			c.t.cfg.ExchangeHandler(c.remote, x)
		})
	}
}

// Context ends when this side has closed its direction, the other one has cancelled the
// exchange, or the connection is lost.
func (x *Exchange) Context() context.Context { return x.stream.Context() }

// WriteFrame sends a frame. It blocks while the other side does not read. After an error the
// other side has not got the whole frame.
func (x *Exchange) WriteFrame(body []byte) error {
	if len(body) > x.maxBytes {
		return ErrFrame
	}
	n, err := x.stream.Write(appendFrame(nil, frameMessage, body))
	if err == nil {
		countSent(Stream, n)
	}
	return err
}

// ReadFrame returns the next frame of the other side, or io.EOF if it has closed its direction.
// It fails when there is none within the timeout.
func (x *Exchange) ReadFrame(timeout time.Duration) ([]byte, error) {
	if err := x.stream.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	_, body, err := readFrame(x.stream, x.maxBytes)
	if err == nil {
		countReceived(Stream, len(body))
	}
	return body, err
}

// CloseWrite tells the other side that no further frame follows.
func (x *Exchange) CloseWrite() error { return x.stream.Close() }

// Cancel ends the exchange in both directions. What CloseWrite has completed before is still
// delivered.
func (x *Exchange) Cancel() {
	x.stream.CancelRead(codeCancelled)
	select {
	case <-x.stream.Context().Done():
	default:
		x.stream.CancelWrite(codeCancelled)
	}
}
