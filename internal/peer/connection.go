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
	codeClosed   quic.ApplicationErrorCode = iota // planned
	codeProtocol                                  // malformed frame or hello
	codeVersion                                   // no common protocol version
)

// connection is an open connection whose peer has been greeted.
type connection struct {
	t       *Transport
	quic    *quic.Conn
	remote  entity.InstanceID
	dialled bool // by us
	since   time.Time
	in      *bufio.Reader

	mu  sync.Mutex // guards out: one frame at a time, none after its end
	out *quic.SendStream
}

const readBuffer = 512 // bytes

// greet exchanges hellos over a new connection, one stream in each direction.
func (t *Transport) greet(conn *quic.Conn, dialled bool) (*connection, error) {
	ctx, cancel := context.WithTimeout(t.life, t.cfg.HandshakeTimeout)
	defer cancel()
	out, err := conn.OpenUniStreamSync(ctx)
	if err != nil {
		return nil, merry.Prepend(err, "peer: open stream")
	}
	_, err = out.Write(appendFrame(nil, frameHello, encodeHello(ownHello(t.cfg.Self))))
	if err != nil {
		return nil, merry.Prepend(err, "peer: send hello")
	}
	in, err := conn.AcceptUniStream(ctx)
	if err != nil {
		return nil, merry.Prepend(err, "peer: accept stream")
	}
	if err := in.SetReadDeadline(time.Now().Add(t.cfg.HandshakeTimeout)); err != nil {
		return nil, merry.Prepend(err, "peer: read deadline")
	}
	reader := bufio.NewReaderSize(in, readBuffer)
	h, err := readHello(reader)
	if err != nil {
		return nil, err
	}
	if err := in.SetReadDeadline(time.Time{}); err != nil {
		return nil, merry.Prepend(err, "peer: read deadline")
	}
	return &connection{
		t: t, quic: conn, remote: h.ID, dialled: dialled,
		since: time.Now(), in: reader, out: out,
	}, nil
}

// refuse closes a connection that could not be greeted.
func refuse(conn *quic.Conn, err error) {
	code := codeProtocol
	if errors.Is(err, ErrVersion) {
		code = codeVersion
	}
	refused.Inc()
	_ = conn.CloseWithError(code, err.Error())
}

func (c *connection) closeWith(code quic.ApplicationErrorCode) {
	_ = c.quic.CloseWithError(code, "")
}

// preferredOver says whether to send on c rather than on an older connection
// to the same endpoint. A newer one is preferred, since its peer may have
// lost the older. Of two that were dialled at once by both sides, both sides
// prefer the one that the lower ID has dialled; the other falls idle.
func (c *connection) preferredOver(older *connection, self entity.InstanceID) bool {
	if c.remote != older.remote || c.dialled == older.dialled {
		return true
	}
	if c.since.Sub(older.since) > c.t.cfg.HandshakeTimeout {
		return true
	}
	return c.dialled == (self < c.remote)
}

// readAll hands messages over until the connection ends.
func (c *connection) readAll() {
	c.t.running.Go(c.readDatagrams)
	err := c.readFrames()
	if err == io.EOF {
		// The peer has sent all it had and waits for this close.
		c.closeWith(codeClosed)
		return
	}
	c.closeWith(codeProtocol)
}

func (c *connection) readDatagrams() {
	for {
		body, err := c.quic.ReceiveDatagram(c.t.life)
		if err != nil {
			return
		}
		c.deliver(Datagrams, body)
	}
}

// readFrames returns io.EOF when the peer has ended its stream properly.
func (c *connection) readFrames() error {
	for {
		kind, body, err := readFrame(c.in, c.t.cfg.MaxFrame)
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
			// A later release may add kinds; they are skipped.
			dropped.unknownKind.Inc()
		}
	}
}

func (c *connection) deliver(ch Channel, body []byte) {
	countReceived(ch, len(body))
	c.t.cfg.Handler(c.remote, c.quic.RemoteAddr().String(), ch, body)
}

// writeFrame sends a frame over the stream. A failure means that the
// connection is lost, which readAll notices.
func (c *connection) writeFrame(kind frameKind, body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, err := c.out.Write(appendFrame(nil, kind, body)); err != nil {
		dropped.lost.Inc()
		return
	}
	countSent(Stream, len(body))
}

// checkSize is the body of a check: packets that are too small are not
// answered with a stateless reset.
const checkSize = 32 // bytes

// check makes the peer show whether it still holds the connection: a daemon
// that has restarted on the same endpoint answers with a stateless reset.
func (c *connection) check() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.out.Write(appendFrame(nil, frameCheck, make([]byte, checkSize)))
}

// writeDatagram returns false if the body is too large for a datagram.
func (c *connection) writeDatagram(body []byte) bool {
	err := c.quic.SendDatagram(body)
	var tooLarge *quic.DatagramTooLargeError
	if errors.As(err, &tooLarge) {
		return false
	}
	if err != nil {
		dropped.lost.Inc()
		return true
	}
	countSent(Datagrams, len(body))
	return true
}

// finish ends the stream and waits until the peer, having read all of it,
// closes the connection. When ctx ends first, the connection is closed, which
// also ends a write that is held up.
func (c *connection) finish(ctx context.Context) {
	defer context.AfterFunc(ctx, func() { c.closeWith(codeClosed) })()
	c.mu.Lock()
	err := c.out.Close()
	c.mu.Unlock()
	if err == nil {
		<-c.quic.Context().Done()
	}
	c.closeWith(codeClosed)
}
