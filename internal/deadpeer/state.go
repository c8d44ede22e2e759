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
	Unheard     time.Duration // since the last segment from the other side
}

// ErrNoState: the connection is not one of the kernel's.
var ErrNoState = errors.New("the connection has no state in the kernel")

// StateOf returns the state of a connection.
func StateOf(conn net.Conn) (State, error) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return State{}, ErrNoState
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return State{}, err
	}
	var info *unix.TCPInfo
	var infoErr error
	if err := raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	}); err != nil {
		return State{}, err
	}
	if infoErr != nil {
		return State{}, fmt.Errorf("TCP_INFO: %w", infoErr)
	}
	unheard := min(info.Last_data_recv, info.Last_ack_recv)
	return State{Established: info.State == unix.BPF_TCP_ESTABLISHED, Unheard: time.Duration(unheard) * time.Millisecond}, nil
}
