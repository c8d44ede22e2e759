package peer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/quic-go/quic-go"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// Application error codes of closed connections.
const (
	codeClosed   quic.ApplicationErrorCode = iota // orderly close
	codeProtocol                                  // malformed frame or hello
	codeVersion                                   // no common protocol version
)

// connection is an open QUIC connection over which hellos have been exchanged.
type connection struct {
	t        *Transport
	quic     *quic.Conn
	remote   entity.InstanceID
	dialled  bool // by this daemon rather than by the peer
	openedAt time.Time
	in       *bufio.Reader

	mu  sync.Mutex // guards out: one frame is written at a time, none after the stream is closed
	out *quic.SendStream
}

const readBufferBytes = 512

// exchangeHellos opens a stream to the peer of a new connection, sends the local
// hello on it and reads the peer's hello from the stream that the peer opens.
func (t *Transport) exchangeHellos(conn *quic.Conn, dialled bool) (*connection, error) {
	ctx, cancel := context.WithTimeout(t.ctx, t.cfg.HandshakeTimeout)
	defer cancel()
	out, err := conn.OpenUniStreamSync(ctx)
	if err != nil {
		return nil, merry.Prepend(err, "peer: open stream")
	}
	_, err = out.Write(appendFrame(nil, frameHello, encodeHello(localHello(t.cfg.Self))))
	if err != nil {
		return nil, merry.Prepend(err, "peer: send hello")
	}
	in, err := conn.AcceptUniStream(ctx)
	if err != nil {
		return nil, merry.Prepend(err, "peer: accept stream")
	}
	if err := in.SetReadDeadline(time.Now().Add(t.cfg.HandshakeTimeout)); err != nil {
		return nil, merry.Prepend(err, "peer: set read deadline")
	}
	reader := bufio.NewReaderSize(in, readBufferBytes)
	h, err := readHello(reader)
	if err != nil {
		return nil, err
	}
	if err := in.SetReadDeadline(time.Time{}); err != nil {
		return nil, merry.Prepend(err, "peer: clear read deadline")
	}
	return &connection{
		t: t, quic: conn, remote: h.ID, dialled: dialled,
		openedAt: time.Now(), in: reader, out: out,
	}, nil
}

// refuseConnection closes a connection whose exchange of hellos has failed.
func refuseConnection(conn *quic.Conn, err error) {
	code := codeProtocol
	if errors.Is(err, ErrVersion) {
		code = codeVersion
	}
	connectionsRefused.Inc()
	_ = conn.CloseWithError(code, err.Error())
}

func (c *connection) closeWith(code quic.ApplicationErrorCode) {
	_ = c.quic.CloseWithError(code, "")
}

// preferredOver reports whether to send on c rather than on an older connection
// to the same endpoint. The newer one is preferred, since the peer may have
// lost the older. If both sides have dialled at the same time, both prefer the
// connection dialled by the daemon with the lower ID; the other one is left
// idle until it times out.
func (c *connection) preferredOver(older *connection, self entity.InstanceID) bool {
	if c.remote != older.remote || c.dialled == older.dialled {
		return true
	}
	if c.openedAt.Sub(older.openedAt) > c.t.cfg.HandshakeTimeout {
		return true
	}
	return c.dialled == (self < c.remote)
}

// readAll passes received messages to the handler until the connection ends.
func (c *connection) readAll() {
	c.t.goroutines.Go(c.readDatagrams)
	err := c.readFrames()
	if err == io.EOF {
		// The peer has sent all its messages and waits until this side closes
		// the connection.
		c.closeWith(codeClosed)
		return
	}
	c.closeWith(codeProtocol)
}

func (c *connection) readDatagrams() {
	for {
		body, err := c.quic.ReceiveDatagram(c.t.ctx)
		if err != nil {
			return
		}
		c.deliver(Datagrams, body)
	}
}

// readFrames passes the stream's messages to the handler until reading fails. It
// returns io.EOF when the peer has closed its stream between two frames.
func (c *connection) readFrames() error {
	for {
		kind, body, err := readFrame(c.in, c.t.cfg.MaxMessageBytes)
		if err != nil {
			return err
		}
		switch kind {
		case frameMessage:
			c.deliver(Stream, body)
		case frameDatagram:
			c.deliver(Datagrams, body)
		case frameCheck:
		default:
			// Newer releases may add frame kinds; unknown ones are skipped.
			messagesDropped.unknownKind.Inc()
		}
	}
}

func (c *connection) deliver(ch Channel, body []byte) {
	countReceived(ch, len(body))
	c.t.cfg.Handler(c.remote, c.quic.RemoteAddr().String(), ch, body)
}

// writeFrame sends a frame over the stream. A failure means that the connection
// is lost; readAll detects this and ends the connection.
func (c *connection) writeFrame(kind frameKind, body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, err := c.out.Write(appendFrame(nil, kind, body)); err != nil {
		messagesDropped.lost.Inc()
		return
	}
	countSent(Stream, len(body))
}

// checkBodyBytes is the size of the body of a check frame. QUIC does not answer
// packets that are too small with a stateless reset.
const checkBodyBytes = 32

// sendCheck sends padding to find out whether the peer still has the connection:
// a daemon that has restarted on the same endpoint answers with a stateless
// reset, which closes the connection.
func (c *connection) sendCheck() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.out.Write(appendFrame(nil, frameCheck, make([]byte, checkBodyBytes)))
}

// writeDatagram sends a datagram. It returns false if the body is too large for
// one.
func (c *connection) writeDatagram(body []byte) bool {
	err := c.quic.SendDatagram(body)
	var tooLarge *quic.DatagramTooLargeError
	if errors.As(err, &tooLarge) {
		return false
	}
	if err != nil {
		messagesDropped.lost.Inc()
		return true
	}
	countSent(Datagrams, len(body))
	return true
}

// closeGracefully closes the stream and waits until the peer, having read all of
// it, closes the connection. When ctx ends first, the connection is closed at
// once, which also makes a blocked write return.
func (c *connection) closeGracefully(ctx context.Context) {
	defer context.AfterFunc(ctx, func() { c.closeWith(codeClosed) })()
	c.mu.Lock()
	err := c.out.Close()
	c.mu.Unlock()
	if err == nil {
		<-c.quic.Context().Done()
	}
	c.closeWith(codeClosed)
}
