package peer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// BenchmarkTransport_ManyPeers measures a message of the stream there and back
// between a hub and one of many peers in turn, as many a second as a daemon of
// the full size has. Each connection is quiet for seconds between.
func BenchmarkTransport_ManyPeers(b *testing.B) {
	const (
		peers    = 100
		pause    = 16 * time.Millisecond
		askBytes = 120
	)
	authority := newAuthority(b)
	hub := newEndpoint(b, authority, "hub", nil)
	var others []*endpoint
	for i := range peers {
		others = append(others, newEndpoint(b, authority, entity.InstanceID(fmt.Sprint("peer", i)), nil))
	}
	rng := rand.New(rand.NewPCG(1, 1))
	body := make([]byte, askBytes)
	trip := func(o *endpoint) {
		hub.Send(o.address(), body)
		o.await(b)
		o.Send(hub.address(), body)
		hub.await(b)
	}
	for _, o := range others {
		trip(o)
	}
	time.Sleep(time.Second)
	used := processorTime(b)
	for b.Loop() {
		trip(others[rng.IntN(peers)])
		time.Sleep(pause)
	}
	used = processorTime(b) - used
	b.ReportMetric(float64(used.Nanoseconds())/1e3/float64(b.N)/ends, "cpu-µs/end")
}
