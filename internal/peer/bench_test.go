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

// ends is the number of connection ends that one process of a benchmark holds
// for each connection.
const ends = 2

// processorTime returns what this process has used, user and system.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// liveMemory returns the bytes of heap objects and stacks in use.
func liveMemory() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

func (e *endpoint) await(b *testing.B) {
	b.Helper()
	select {
	case <-e.inbox:
	case <-time.After(patience):
		b.Fatal("nothing received")
	}
}

// BenchmarkTransport_Handshake measures a new connection with its hellos.
func BenchmarkTransport_Handshake(b *testing.B) {
	authority := newAuthority(b)
	hub := newEndpoint(b, authority, "hub", nil)
	dialler := newEndpoint(b, authority, "dialler", nil)
	var wire uint64
	before := processorTime(b)
	for b.Loop() {
		dialler.Send(hub.address(), []byte("x"))
		hub.await(b)
		c := dialler.links[hub.Addr()].conns[0]
		wire += wireBytes(c)
		c.closeWith(codeClosed)
		eventuallyB(b, func() bool { return dialler.Connections() == 0 && hub.Connections() == 0 })
	}
	used := processorTime(b) - before
	b.ReportMetric(float64(used.Microseconds())/float64(b.N)/ends, "cpu-µs/end")
	b.ReportMetric(float64(wire)/float64(b.N), "wire-B/handshake")
}

// wireBytes counts both directions, with the IP and UDP headers.
func wireBytes(c *connection) uint64 {
	const headers = 28
	s := c.quic.ConnectionStats()
	return s.BytesSent + s.BytesReceived + headers*(s.PacketsSent+s.PacketsReceived)
}

// BenchmarkTransport_DatagramRoundTrip measures a datagram there and back at
// a pace that leaves the connection idle between, as probes do.
func BenchmarkTransport_DatagramRoundTrip(b *testing.B) {
	for _, pause := range []time.Duration{0, 50 * time.Millisecond} {
		b.Run(fmt.Sprint("pause=", pause), func(b *testing.B) { benchmarkRoundTrip(b, pause) })
	}
}

const roundTripBody = 40 // bytes

func benchmarkRoundTrip(b *testing.B, pause time.Duration) {
	authority := newAuthority(b)
	x, y := newEndpoint(b, authority, "x", nil), newEndpoint(b, authority, "y", nil)
	body := make([]byte, roundTripBody)
	trip := func() {
		x.Datagram(y.address(), body)
		y.await(b)
		y.Datagram(x.address(), body)
		x.await(b)
	}
	trip()
	c := x.links[y.Addr()].conns[0]
	wire, used := wireBytes(c), processorTime(b)
	for b.Loop() {
		trip()
		time.Sleep(pause)
	}
	used, wire = processorTime(b)-used, wireBytes(c)-wire
	b.ReportMetric(float64(used.Nanoseconds())/1e3/float64(b.N)/ends, "cpu-µs/end")
	b.ReportMetric(float64(wire)/float64(b.N)/ends-roundTripBody, "overhead-B/message")
}

// BenchmarkTransport_IdleConnection measures the memory of connections that
// are open and unused, hub and diallers in one process.
func BenchmarkTransport_IdleConnection(b *testing.B) {
	const connections = 200
	authority := newAuthority(b)
	for b.Loop() {
		hub := newEndpoint(b, authority, "hub", nil)
		var diallers []*endpoint
		for i := range connections {
			diallers = append(diallers, newEndpoint(b, authority, entity.InstanceID(fmt.Sprint("dialler", i)), nil))
		}
		before, goroutines := liveMemory(), runtime.NumGoroutine()
		for _, d := range diallers {
			d.Send(hub.address(), []byte("x"))
			hub.await(b)
		}
		time.Sleep(time.Second) // until acknowledgements are through
		perEnd := float64(liveMemory()-before) / connections / ends
		b.ReportMetric(perEnd, "B/end")
		b.ReportMetric(float64(runtime.NumGoroutine()-goroutines)/connections/ends, "goroutines/end")
		closeAll(append(diallers, hub))
	}
}

func closeAll(all []*endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, e := range all {
		_ = e.Close(ctx)
	}
}

func eventuallyB(b *testing.B, done func() bool) {
	b.Helper()
	for deadline := time.Now().Add(patience); !done(); time.Sleep(100 * time.Microsecond) {
		if time.Now().After(deadline) {
			b.Fatal("did not happen")
		}
	}
}
