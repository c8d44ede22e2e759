package deadpeer

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// State is what the kernel knows of a TCP connection, whether or not the process has read it.
type State struct {
	Established bool          // neither side has closed or reset the connection
	HalfClosed  bool          // the other side has ended what it sends, and nothing else has happened
	Unheard     time.Duration // since the last segment from the other side
}

// ErrNoState: the connection is not one of the kernel's.
var ErrNoState = errors.New("the connection has no state in the kernel")

// StateOf returns the state of a connection.
func StateOf(conn net.Conn) (State, error) {
	var info *unix.TCPInfo
	err := withSocket(conn, func(fd int) (err error) {
		info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		return err
	})
	if err != nil {
		return State{}, fmt.Errorf("TCP_INFO: %w", err)
	}
	unheard := min(info.Last_data_recv, info.Last_ack_recv)
	return State{
		Established: info.State == unix.BPF_TCP_ESTABLISHED,
		HalfClosed:  info.State == unix.BPF_TCP_CLOSE_WAIT,
		Unheard:     time.Duration(unheard) * time.Millisecond,
	}, nil
}

// Unacknowledged returns the number of bytes that were written to a connection and that the other side has not
// acknowledged; 0 if that is not known.
func Unacknowledged(conn net.Conn) int {
	bytes := 0
	err := withSocket(conn, func(fd int) (err error) {
		bytes, err = unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		return err
	})
	if err != nil {
		return 0
	}
	return bytes
}

// withSocket calls f with the socket of a connection.
func withSocket(conn net.Conn, f func(fd int) error) error {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return ErrNoState
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	var callErr error
	err = raw.Control(func(fd uintptr) { callErr = f(int(fd)) })
	return errors.Join(err, callErr)
}
