package gateway

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/clock"
	"github.com/gooseberryslip/gooseberryslip/internal/deadpeer"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

// callerConnKey is the key of the connection in the context of a caller's request.
type callerConnKey struct{}

// withCallerConn returns the context of the requests on a connection.
func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, conn)
}

// callerState returns what the kernel knows of the connection to the caller.
func (x *forwarding) callerState() (deadpeer.State, error) {
	conn, ok := x.r.Context().Value(callerConnKey{}).(net.Conn)
	if !ok {
		return deadpeer.State{}, deadpeer.ErrNoState
	}
	return deadpeer.StateOf(conn)
}

// errCallerLeft is the cause that cancels the context of a request whose caller has closed its connection.
var errCallerLeft = errors.New("the caller has closed its connection")

// hasLeft reports whether it is known that the caller has left.
func (x *forwarding) hasLeft() bool {
	return x.r.Context().Err() != nil || errors.Is(context.Cause(x.ctx), errCallerLeft)
}

// callerLeft reports whether the caller has left, and ends its request if so. It asks the kernel: net/http reads the
// connection in the background, and may learn of its end later.
func (x *forwarding) callerLeft() bool {
	if x.ctx.Err() != nil {
		return x.hasLeft()
	}
	state, err := x.callerState()
	ended := errors.Is(err, net.ErrClosed) // by this daemon
	if !ended && (err != nil || state.Established) {
		return false
	}
	x.cancel(errCallerLeft)
	return true
}

// callerCheckInterval is the time between two checks whether the caller of a request in progress has left.
const callerCheckInterval = 200 * time.Millisecond

// watchCaller ends the request when its caller leaves, until the request has ended. The background read of net/http ends
// with the first byte of the caller's next request, and does not see what follows.
func (x *forwarding) watchCaller() {
	for clock.Wait(x.ctx, callerCheckInterval) && !x.callerLeft() {
	}
}

// unheardOf returns the field of the log that says how long nothing has come from the caller; none if that is not known.
func (x *forwarding) unheardOf() []event.Attr {
	state, err := x.callerState()
	if err != nil {
		return nil
	}
	return []event.Attr{event.A("unheard_ms", state.Unheard.Milliseconds())}
}
