package gateway

import (
	"errors"
	"net"
	"sync"
)

const (
	// defaultMaxDescriptors is used where the settings do not limit the process's descriptors.
	defaultMaxDescriptors = 4096
	// fileDescriptors of the limit cannot be used by sockets.
	fileDescriptors = 200
	// connectionBytes is the memory of a connection without a request: its buffers and its goroutine.
	connectionBytes = 24 << 10
	// callerSocketRatio is the ratio of the sockets that callers' connections may take. The others are
	// for backend servers, the table service and the other endpoints.
	callerSocketRatio = 0.75
	// requestSocketRatio is the ratio of the sockets for callers' connections together with those to backend servers
	// for requests in progress.
	requestSocketRatio = 0.8
	// addressSocketRatio is the ratio of the sockets for connections to the endpoint with the daemons' addresses.
	addressSocketRatio = 1.0 / 16
	// connectionMemoryRatio is the ratio of the process's memory that callers' connections may take.
	connectionMemoryRatio = 1.0 / 3
	// operatorConnections is the number of connections to each of the endpoints for operators.
	operatorConnections = 16
)

// connectionLimits are the numbers of connections to each kind of endpoint.
type connectionLimits struct {
	callers   int
	sockets   int // of callers and, for each request in progress, of a backend server
	addresses int
	operators int // to each endpoint
}

// newConnectionLimits derives the limits from the descriptors and the memory of the process; 0: not limited.
func newConnectionLimits(maxDescriptors int, memoryBytes int64) connectionLimits {
	if maxDescriptors == 0 {
		maxDescriptors = defaultMaxDescriptors
	}
	sockets := float64(max(maxDescriptors-fileDescriptors, 1))
	callers := callerSocketRatio * sockets
	if memoryBytes > 0 {
		callers = min(callers, connectionMemoryRatio*float64(memoryBytes)/connectionBytes)
	}
	return connectionLimits{
		callers:   max(int(callers), 1),
		sockets:   max(int(requestSocketRatio*sockets), 2),
		addresses: max(int(addressSocketRatio*sockets), 1),
		operators: operatorConnections,
	}
}

// connectionTable holds the open connections to one endpoint, and bounds their number.
type connectionTable struct {
	limit   int
	sockets int // that connections and requests may take together; 0: requests are not counted
	heads   *headBudget
	meter   *meter

	mu       sync.Mutex
	open     map[*trackedConn]struct{}
	requests int // in progress
}

func newConnectionTable(limit int, heads *headBudget, m *meter) *connectionTable {
	return &connectionTable{limit: limit, heads: heads, meter: m, open: map[*trackedConn]struct{}{}}
}

// add tracks a new connection. If there are too many, it ends the one that is least missed, which is the new one
// if all others have requests in progress.
func (t *connectionTable) add(tcp *net.TCPConn) (c *trackedConn, ok bool) {
	c = newTrackedConn(tcp, t)
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.open) >= t.limit || t.socketsUsed() {
		t.meter.countEndedConnection("connections")
		if !t.endLeastMissed() {
			_ = tcp.Close() // an error changes nothing: the connection is not used
			return nil, false
		}
	}
	t.open[c] = struct{}{}
	return c, true
}

var (
	// errConnectionEnded: the request's connection was ended while the request was being read.
	errConnectionEnded = errors.New("the request's connection has been ended")
	// errNoSocket: there is no socket for a request.
	errNoSocket = errors.New("no socket for the request")
)

// beginRequest counts a request that has been read and is about to be sent to a backend server. Its connection is not
// ended from then on. Others are ended to have a socket for the request.
func (t *connectionTable) beginRequest(c *trackedConn) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, open := t.open[c]; !open || c.ended.Load() {
		return errConnectionEnded
	}
	c.await(busy)
	for t.socketsUsed() {
		if !t.endLeastMissed() {
			return errNoSocket
		}
		t.meter.countEndedConnection("connections")
	}
	t.requests++
	return nil
}

func (t *connectionTable) endRequest() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests--
}

func (t *connectionTable) socketsUsed() bool {
	return t.sockets > 0 && len(t.open)+t.requests >= t.sockets
}

func (t *connectionTable) endLeastMissed() bool {
	victim := t.leastMissed()
	if victim == nil {
		return false
	}
	victim.end()
	delete(t.open, victim)
	return true
}

// leastMissed returns the connection to end first, nil if there is none. One that has waited for a head for long goes
// before an idle one, then come new ones, bodies and callers who do not read; of each the one that has waited
// longest.
func (t *connectionTable) leastMissed() *trackedConn {
	var found *trackedConn
	for c := range t.open {
		if c.wait().kind != busy && (found == nil || c.wait().before(found.wait())) {
			found = c
		}
	}
	return found
}

func (t *connectionTable) remove(c *trackedConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, c)
}

// trackingListener accepts connections into a table.
type trackingListener struct {
	net.Listener
	table *connectionTable
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c, ok := l.table.add(conn.(*net.TCPConn)); ok { // all listeners are of TCP
			return c, nil
		}
	}
}
