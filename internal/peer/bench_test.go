package peer

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// endsPerConnection is 2 because the process of a benchmark holds both ends of
// each connection.
const endsPerConnection = 2

// processorTime returns the user and system processor time that this process
// has used.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// liveMemory collects garbage and returns the bytes of heap objects and stacks
// in use.
func liveMemory() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}

func (e *endpoint) awaitMessage(b *testing.B) {
	b.Helper()
	select {
	case <-e.inbox:
	case <-time.After(maxWait):
		b.Fatal("no message received in time")
	}
}

// BenchmarkTransport_Handshake measures the opening of a connection: the QUIC
// handshake and the exchange of hellos.
func BenchmarkTransport_Handshake(b *testing.B) {
	authority := newAuthority(b)
	hub := newEndpoint(b, authority, "hub", nil)
	dialler := newEndpoint(b, authority, "dialler", nil)
	var wire uint64
	cpuBefore := processorTime(b)
	for b.Loop() {
		dialler.Send(hub.address(), []byte("x"))
		hub.awaitMessage(b)
		c := dialler.links[hub.Addr()].conns[0]
		wire += wireBytes(c)
		c.closeWith(codeClosed)
		eventuallyB(b, func() bool { return dialler.Connections() == 0 && hub.Connections() == 0 })
	}
	cpuTime := processorTime(b) - cpuBefore
	b.ReportMetric(float64(cpuTime.Microseconds())/float64(b.N)/endsPerConnection, "cpu-µs/end")
	b.ReportMetric(float64(wire)/float64(b.N), "wire-B/handshake")
}

// wireBytes returns the bytes that a connection has sent and received, including
// IP and UDP headers.
func wireBytes(c *connection) uint64 {
	const headerBytes = 28 // IPv4 and UDP, per packet
	s := c.quic.ConnectionStats()
	return s.BytesSent + s.BytesReceived + headerBytes*(s.PacketsSent+s.PacketsReceived)
}

// BenchmarkTransport_DatagramRoundTrip measures round trips of datagrams,
// without a pause and with one that leaves the connection idle in between, as
// the probes of the membership do.
func BenchmarkTransport_DatagramRoundTrip(b *testing.B) {
	for _, pause := range []time.Duration{0, 50 * time.Millisecond} {
		b.Run(fmt.Sprint("pause=", pause), func(b *testing.B) { benchmarkRoundTrip(b, pause) })
	}
}

const roundTripBodyBytes = 40

func benchmarkRoundTrip(b *testing.B, pause time.Duration) {
	authority := newAuthority(b)
	x, y := newEndpoint(b, authority, "x", nil), newEndpoint(b, authority, "y", nil)
	body := make([]byte, roundTripBodyBytes)
	roundTrip := func() {
		x.SendDatagram(y.address(), body)
		y.awaitMessage(b)
		y.SendDatagram(x.address(), body)
		x.awaitMessage(b)
	}
	roundTrip()
	c := x.links[y.Addr()].conns[0]
	wire, cpuTime := wireBytes(c), processorTime(b)
	for b.Loop() {
		roundTrip()
		time.Sleep(pause)
	}
	cpuTime, wire = processorTime(b)-cpuTime, wireBytes(c)-wire
	b.ReportMetric(float64(cpuTime.Nanoseconds())/1e3/float64(b.N)/endsPerConnection, "cpu-µs/end")
	b.ReportMetric(float64(wire)/float64(b.N)/endsPerConnection-roundTripBodyBytes, "overhead-B/message")
}

// BenchmarkTransport_IdleConnection measures the memory of connections that
// are open but unused. The hub and the diallers run in one process.
func BenchmarkTransport_IdleConnection(b *testing.B) {
	const connections = 200
	authority := newAuthority(b)
	for b.Loop() {
		hub := newEndpoint(b, authority, "hub", nil)
		var diallers []*endpoint
		for i := range connections {
			diallers = append(diallers, newEndpoint(b, authority, entity.InstanceID(fmt.Sprint("dialler", i)), nil))
		}
		memoryBefore, goroutinesBefore := liveMemory(), runtime.NumGoroutine()
		for _, d := range diallers {
			d.Send(hub.address(), []byte("x"))
			hub.awaitMessage(b)
		}
		time.Sleep(time.Second) // until all acknowledgements have been sent
		perEnd := float64(liveMemory()-memoryBefore) / connections / endsPerConnection
		b.ReportMetric(perEnd, "B/end")
		b.ReportMetric(float64(runtime.NumGoroutine()-goroutinesBefore)/connections/endsPerConnection, "goroutines/end")
		closeAll(append(diallers, hub))
	}
}

func closeAll(endpoints []*endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, e := range endpoints {
		_ = e.Close(ctx)
	}
}

func eventuallyB(b *testing.B, done func() bool) {
	b.Helper()
	for deadline := time.Now().Add(maxWait); !done(); time.Sleep(100 * time.Microsecond) {
		if time.Now().After(deadline) {
			b.Fatal("the condition has not become true in time")
		}
	}
}
