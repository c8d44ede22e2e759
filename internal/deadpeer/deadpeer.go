// Package deadpeer bounds how long a TCP connection is kept whose peer
// acknowledges nothing, for example behind a cut link.
package deadpeer

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Control returns a function for net.Dialer's field of that name. It makes the
// kernel give up a connection on which sent bytes stay unacknowledged for so
// long.
func Control(after time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var opt error
		err := c.Control(func(fd uintptr) {
			opt = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(after/time.Millisecond))
		})
		return errors.Join(err, opt)
	}
}
