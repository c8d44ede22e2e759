package membership

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"
)

var benchmarkSizes = []int{9, 100, 410, 1000}

// newWithPeers returns a Membership that knows n-1 peers, all alive.
func newWithPeers(n int) *Membership {
	m := New(Config{Self: memberOf(0, n)})
	from := memberOf(1, n)
	for i := 1; i < n; i++ {
		x := memberOf(i, n)
		m.Step(epoch, from.ID, from.Addr, Message{Kind: Gossip, Updates: []Update{{
			ID: x.ID, Detail: &Detail{Addr: x.Addr, CallerAddr: x.CallerAddr, Location: x.Location},
		}}})
	}
	m.Tick(epoch)
	m.gossip = gossiper{}
	m.gossip.init()
	m.Ready()
	return m
}

// BenchmarkMembership_State measures the memory that one daemon uses for its
// view of the fleet.
func BenchmarkMembership_State(b *testing.B) {
	for _, n := range benchmarkSizes {
		b.Run(fmt.Sprint("members=", n), func(b *testing.B) {
			const copies = 20
			for b.Loop() {
				var all [copies]*Membership
				before := liveBytes()
				for i := range all {
					all[i] = newWithPeers(n)
				}
				b.ReportMetric(float64(liveBytes()-before)/copies, "B/daemon")
				runtime.KeepAlive(all)
			}
		})
	}
}

func liveBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkMembership_Ping measures processing a ping and answering it.
func BenchmarkMembership_Ping(b *testing.B) {
	for _, n := range benchmarkSizes {
		b.Run(fmt.Sprint("members=", n), func(b *testing.B) {
			m, from := newWithPeers(n), memberOf(1, n)
			b.ReportAllocs()
			for b.Loop() {
				m.Step(epoch, from.ID, from.Addr, Message{Kind: Ping, Sequence: 1, Digest: m.digest.root()})
				m.Ready()
			}
		})
	}
}

// BenchmarkMembership_IdleTick measures a Tick when nothing is due.
func BenchmarkMembership_IdleTick(b *testing.B) {
	for _, n := range benchmarkSizes {
		b.Run(fmt.Sprint("members=", n), func(b *testing.B) {
			m := newWithPeers(n)
			b.ReportAllocs()
			for b.Loop() {
				m.Tick(epoch)
				m.Deadline()
			}
		})
	}
}

// BenchmarkMembership_SteadySecond measures the processor time that one second
// of a fleet without faults costs each member, including encoding and the fake
// network.
func BenchmarkMembership_SteadySecond(b *testing.B) {
	for _, n := range []int{9, 100, fleetSize} {
		b.Run(fmt.Sprint("members=", n), func(b *testing.B) {
			f := newFleet(n, 1, nil)
			f.runUntil(time.Minute, f.converged)
			f.runFor(10 * time.Second)
			before, seconds := processorTime(b), 0
			for b.Loop() {
				f.runFor(time.Second)
				seconds++
			}
			used := processorTime(b) - before
			b.ReportMetric(float64(used.Nanoseconds())/1e3/float64(n*seconds), "cpu-µs/member-s")
		})
	}
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
