package deadpeer

import (
	"errors"
	"io"
	"net"
	"time"
)

// resetTimeout is how long a read waits at a connection's end for a write that is going on. If the other side has
// closed the connection, and not just its sending side, its kernel answers the bytes of the write with a reset at once.
const resetTimeout = 250 * time.Millisecond

// Conn is a connection whose reading side learns of a reset that the writing side has found. The kernel
// returns a reset, or another end with an error, to one call only: after a write that has failed with it,
// a read finds an ordinary end, as if the other side had sent all it wanted to send.
type Conn struct {
	net.Conn
	writing  chan struct{} // holds a token during a write and while a read looks at writeErr
	writeErr error         // of the first write that has failed
}

// NewConn returns a Conn that reads from and writes to a connection.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c, writing: make(chan struct{}, 1)} }

// NetConn returns the connection that c reads from and writes to, as that method of tls.Conn does.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn. At the connection's end it returns the error of a write that has failed, or that is going on
// and fails, instead of io.EOF. It does not wait for the write for longer than resetTimeout if the other side has ended
// its sending side only.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.endOrReset(err)
	}
	return n, err
}

// endOrReset returns the error of a write that has failed, or end if there is none.
func (c *Conn) endOrReset(end error) error {
	for {
		select {
		case c.writing <- struct{}{}:
			defer func() { <-c.writing }()
			if c.writeErr != nil {
				return c.writeErr
			}
			return end
		case <-time.After(resetTimeout):
			if state, err := StateOf(c.Conn); err == nil && state.HalfClosed {
				return end
			}
			// The write ends with the connection.
		}
	}
}
