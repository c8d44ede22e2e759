package peer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// BenchmarkTransport_ManyPeers measures round trips on the stream between a hub
// and peers chosen at random out of many, at the message rate of a daemon in a
// fleet of full size. Each connection is idle for seconds between its messages.
func BenchmarkTransport_ManyPeers(b *testing.B) {
	const (
		peerCount    = 100
		pause        = 16 * time.Millisecond
		messageBytes = 120
	)
	authority := newAuthority(b)
	hub := newEndpoint(b, authority, "hub", nil)
	var remotes []*endpoint
	for i := range peerCount {
		remotes = append(remotes, newEndpoint(b, authority, entity.InstanceID(fmt.Sprint("peer", i)), nil))
	}
	rng := rand.New(rand.NewPCG(1, 1))
	body := make([]byte, messageBytes)
	roundTrip := func(o *endpoint) {
		hub.Send(o.address(), body)
		o.awaitMessage(b)
		o.Send(hub.address(), body)
		hub.awaitMessage(b)
	}
	for _, o := range remotes {
		roundTrip(o)
	}
	time.Sleep(time.Second)
	cpuTime := processorTime(b)
	for b.Loop() {
		roundTrip(remotes[rng.IntN(peerCount)])
		time.Sleep(pause)
	}
	cpuTime = processorTime(b) - cpuTime
	b.ReportMetric(float64(cpuTime.Nanoseconds())/1e3/float64(b.N)/endsPerConnection, "cpu-µs/end")
}
