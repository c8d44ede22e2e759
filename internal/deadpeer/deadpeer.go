// Package deadpeer bounds how long a TCP connection stays open after its peer has
// stopped acknowledging data, for example because the network to it has failed, tells
// whether the peer has closed it, and keeps a reset from being taken for an ordinary end.
package deadpeer

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Control returns a function for the field Control of net.Dialer. It makes the
// kernel close a connection on which sent data has been unacknowledged for the
// timeout (TCP_USER_TIMEOUT).
func Control(timeout time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var optionErr error
		err := c.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout/time.Millisecond))
		})
		return errors.Join(err, optionErr)
	}
}
