package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"
)

// lateWriteTime is how long a caller may take, after the request's deadline, to read what has been written.
const lateWriteTime = 2 * time.Second

// lateWrites bounds the time of writes to a caller after the request's deadline. A write to a caller who does not
// read is not ended by the request's context.
type lateWrites struct {
	mu       sync.Mutex
	finished bool
	stop     func() bool
}

// boundLateWrites bounds the writes of a request from the end of its context on, if its deadline is the cause.
func (x *forwarding) boundLateWrites() *lateWrites {
	l := &lateWrites{}
	l.stop = context.AfterFunc(x.ctx, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if !l.finished && errors.Is(context.Cause(x.ctx), errDeadline) {
			// An error: the connection has ended.
			_ = http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(lateWriteTime))
		}
	})
	return l
}

// finish is called when the request has ended, before the connection is used for another one.
func (l *lateWrites) finish() {
	l.stop()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finished = true
}
