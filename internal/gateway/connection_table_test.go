package gateway

import (
	"errors"
	"io"
	"net"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/clock"
	"github.com/gooseberryslip/gooseberryslip/internal/deadpeer"
)

// The defaults must leave room for all connections of callers inside the limits, also on the smallest machines, and
// sockets for backend servers.
func TestConnectionLimits_FollowDescriptorsAndMemory(t *testing.T) {
	for _, c := range []struct {
		descriptors int
		memoryBytes int64
		want        connectionLimits
	}{
		{4100, 284 << 20, connectionLimits{2925, 3120, 243, operatorConnections}},
		{3075, 144 << 20, connectionLimits{2048, 2300, 179, operatorConnections}},
		{500, 100 << 20, connectionLimits{225, 240, 18, operatorConnections}},
		{0, 0, connectionLimits{2922, 3116, 243, operatorConnections}},
		{100, 1, connectionLimits{1, 2, 1, operatorConnections}},
	} {
		if got := newConnectionLimits(c.descriptors, c.memoryBytes); got != c.want {
			t.Errorf("%d descriptors, %d bytes: %+v, want %+v", c.descriptors, c.memoryBytes, got, c.want)
		}
	}
}

// openTracked returns a connection in the table, with the client's side.
func openTracked(t *testing.T, table *connectionTable) (c *trackedConn, client net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	if client, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c, _ = table.add(conn.(*net.TCPConn))
	return c, client
}

func newTestTable(limit int, headBytes int64) *connectionTable {
	m := newMeter()
	heads := newHeadBudget(1, m)
	heads.limitBytes = headBytes
	return newConnectionTable(limit, heads, m)
}

// A connection with a request in progress must not be ended for others, nor an idle one before those without a head.
func TestConnectionTable_EndsThoseThatAreLeastMissed(t *testing.T) {
	table := newTestTable(3, 1<<20)
	inProgress, _ := openTracked(t, table)
	inProgress.await(busy)
	unused, _ := openTracked(t, table)
	unused.await(idle)
	silent, _ := openTracked(t, table)
	silent.state.Store(&waiting{forHead, clock.Now().Add(-firstHeadTime).UnixNano()})
	last, _ := openTracked(t, table)
	if !silent.ended.Load() || unused.ended.Load() {
		t.Error("the connection that has waited for a head for long was not ended first")
	}
	last.await(busy)
	if another, _ := openTracked(t, table); another == nil || !unused.ended.Load() {
		t.Error("the idle connection did not make room")
	} else {
		another.await(busy)
	}
	if refused, _ := openTracked(t, table); refused != nil || inProgress.ended.Load() || last.ended.Load() {
		t.Error("a connection with a request in progress was ended, or one too many is open")
	}
	_ = last.Close()
	if another, _ := openTracked(t, table); another == nil {
		t.Error("no room after a connection was closed")
	}
}

// A crowd of idle connections must not shut out new callers, whose first head is on its way.
func TestConnectionTable_IdleConnectionsGoBeforeNewOnes(t *testing.T) {
	table := newTestTable(20, 1<<20)
	var crowd, callers []*trackedConn
	for range 20 {
		c, _ := openTracked(t, table)
		c.await(idle)
		crowd = append(crowd, c)
	}
	for range 10 {
		c, _ := openTracked(t, table)
		callers = append(callers, c)
	}
	for i, c := range callers {
		if c == nil || c.ended.Load() {
			t.Errorf("new connection %d was ended while idle ones were open", i)
		}
	}
	ended := 0
	for _, c := range crowd {
		if c.ended.Load() {
			ended++
		}
	}
	if ended != len(callers) {
		t.Errorf("%d idle connections were ended for %d new ones", ended, len(callers))
	}
}

// The end of an answer that is still on its way must reach the caller when its idle connection makes room.
func TestConnectionTable_AnswerOfAnIdleConnectionIsDelivered(t *testing.T) {
	const size = 200 << 10
	table := newTestTable(1, 1<<20)
	c, client := openTracked(t, table)
	_ = client.(*net.TCPConn).SetReadBuffer(4 << 10) // an error leaves the default
	if _, err := c.Write(make([]byte, size)); err != nil {
		t.Fatal(err)
	}
	c.await(idle)
	if another, _ := openTracked(t, table); another == nil || !c.ended.Load() {
		t.Fatal("the idle connection did not make room")
	}
	if n, err := io.Copy(io.Discard, client); n != size || err != nil {
		t.Errorf("%d of %d bytes arrived, error %v", n, size, err)
	}
}

// A request must not be sent without a socket for it: idle connections make room, requests in progress do not.
func TestConnectionTable_RequestsTakeSockets(t *testing.T) {
	table := newTestTable(10, 1<<20)
	table.sockets = 4
	first, _ := openTracked(t, table)
	first.await(busy)
	second, _ := openTracked(t, table)
	second.await(busy)
	unused, _ := openTracked(t, table)
	unused.await(idle)
	if err := table.beginRequest(first); err != nil || unused.ended.Load() {
		t.Fatalf("no socket for a request although one is left: %v", err)
	}
	if err := table.beginRequest(second); err != nil || !unused.ended.Load() {
		t.Errorf("the idle connection did not make room for a request: %v", err)
	}
	if err := table.beginRequest(first); !errors.Is(err, errNoSocket) {
		t.Errorf("a request has begun without a socket: %v", err)
	}
	table.endRequest()
	if err := table.beginRequest(first); err != nil {
		t.Errorf("no socket after a request has ended: %v", err)
	}
}

// A request whose connection was ended while it was read must not be sent: its caller can get no answer.
func TestConnectionTable_RequestsOfEndedConnectionsDoNotBegin(t *testing.T) {
	table := newTestTable(1, 1<<20)
	first, _ := openTracked(t, table)
	second, _ := openTracked(t, table)
	if err := table.beginRequest(first); !first.ended.Load() || !errors.Is(err, errConnectionEnded) {
		t.Errorf("the request of a connection that has been ended: %v", err)
	}
	if err := table.beginRequest(second); err != nil {
		t.Error(err)
	}
	if _, err := deadpeer.StateOf(first); !errors.Is(err, net.ErrClosed) {
		t.Errorf("the state of a connection that has been ended: %v", err)
	}
}

// What heads take must never exceed the budget, and the one that has waited longest must make room.
func TestHeadBudget_LongestWaitingHeadMakesRoom(t *testing.T) {
	table := newTestTable(10, 1000)
	first, _ := openTracked(t, table)
	second, _ := openTracked(t, table)
	if !table.heads.resize(first, 600) || !table.heads.resize(second, 300) {
		t.Fatal("no room in an empty budget")
	}
	result := make(chan bool)
	go func() { result <- table.heads.resize(second, 800) }()
	for end := time.Now().Add(5 * time.Second); !first.ended.Load() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	select {
	case <-result:
		t.Fatal("memory was taken before it was given back")
	case <-time.After(20 * time.Millisecond):
	}
	if !first.ended.Load() {
		t.Fatal("the one that has waited longest was not ended")
	}
	_ = first.Close()
	if !<-result || second.ended.Load() {
		t.Error("no room after the first one has ended")
	}
	if table.heads.usedBytes != 800 || table.heads.endingBytes != 0 {
		t.Errorf("%d bytes used, %d ending", table.heads.usedBytes, table.heads.endingBytes)
	}
	if table.heads.resize(second, 1001) || !second.ended.Load() {
		t.Error("a head larger than the budget was read")
	}
	_ = second.Close()
	if table.heads.usedBytes != 0 || len(table.heads.held) != 0 {
		t.Errorf("%d bytes used after all have ended", table.heads.usedBytes)
	}
}

// A head whose body came along must not take memory for the body's lines, nor an ordinary head any.
func TestHeadSizeOf_CountsTheHeadOnly(t *testing.T) {
	r := httptest.NewRequest("POST", "/once/x", strings.NewReader(strings.Repeat("\n", 4096)))
	for n := range 15 {
		r.Header.Set("X-Field-"+strconv.Itoa(n), strings.Repeat("v", 60))
	}
	if size := headSizeOf(r); size.lines != 15 || size.cost() != 0 {
		t.Errorf("an ordinary head: %+v, costs %d bytes", size, size.cost())
	}
	for n := range 1000 {
		r.Header.Set("X-"+strconv.Itoa(n), "")
	}
	if size := headSizeOf(r); size.cost() < 1000*headLineBytes {
		t.Errorf("1,000 lines more cost %d bytes", size.cost())
	}
}

// A connection that is ended for want of connections while it waits for memory must not be looked for among the others.
func TestHeadBudget_AllHaveBeenEnded(t *testing.T) {
	table := newTestTable(10, 1000)
	c, _ := openTracked(t, table)
	if !table.heads.resize(c, 600) {
		t.Fatal("no room in an empty budget")
	}
	c.end()
	table.heads.mu.Lock()
	table.heads.endLongestWaiting()
	table.heads.mu.Unlock()
	if table.heads.resize(c, 800) {
		t.Error("a connection that was ended got memory")
	}
}
