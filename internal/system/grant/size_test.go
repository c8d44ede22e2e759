package grant

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// Limits of the design at full size: the control traffic of one daemon, all
// matters together, and the part of it that grants may take.
const (
	controlBytes = 11_000 // per daemon and second, sent
	grantPart    = 0.6
)

type size struct {
	daemons, workers, slots, rate, dataCentres int
}

// measure runs the size for some seconds and returns the messages for each
// request, and the bytes that a daemon sends in a second, packets included.
func (z size) measure(flush time.Duration) (perRequest, perDaemon float64) {
	w := newWorld(1, entity.Service{})
	place := func(i int) entity.Place {
		dc := i % z.dataCentres
		return entity.Place{Region: entity.RegionID(fmt.Sprint("r", dc*2/max(z.dataCentres, 6))), DataCentre: entity.DataCentreID(fmt.Sprint("dc", dc))}
	}
	w.doc = entity.Service{Name: "model", Organisations: testService(0, 0).Organisations}
	for i := range z.workers {
		b := testServer(i, z.slots)
		b.Place = place(i)
		w.addEngine(b)
		w.doc.BackendServers = append(w.doc.BackendServers, b)
	}
	for i := range z.daemons {
		w.addNode(place(i), func(c *Config) { c.FlushDelay = flush })
	}
	w.meet()
	w.measure = true
	const warm, length = 8 * time.Second, 14 * time.Second
	requests := 0
	w.arrivals(float64(z.rate), length, func(i int) *request {
		requests++
		r := testRequest(fmt.Sprintf("0123456789abcdef-%08d", i), 100+w.rng.IntN(200))
		r.want.Priority = entity.Priority(w.rng.IntN(4))
		r.want.Deadline = w.now.Add(30 * time.Second)
		r.want.Digest = digestOf(i)
		p := uint64(w.rng.IntN(5000))
		r.want.Prefix = []uint64{p / 100, p, p<<32 | uint64(i)}
		return r
	})
	w.run(warm)
	messages, bytes, before := w.messages, w.bytes, requests
	w.run(length)
	messages, bytes, requests = w.messages-messages, w.bytes-bytes, requests-before
	seconds := (length - warm).Seconds()
	total := float64(bytes + messages*packetOverhead)
	return float64(messages) / float64(requests), total / float64(z.daemons) / seconds
}

func TestGrants_TrafficAtFullSize(t *testing.T) {
	if testing.Short() {
		t.Skip("takes a while")
	}
	z := size{daemons: 410, workers: 600, slots: 64, rate: 5000, dataCentres: 7}
	messages, bytes := z.measure(0)
	t.Logf("%.2f messages for each request, %.0f B/s sent by each daemon", messages, bytes)
	if bytes > grantPart*controlBytes {
		t.Errorf("%.0f B/s for each daemon, want at most %.0f", bytes, grantPart*controlBytes)
	}
}

func BenchmarkGrants_Traffic(b *testing.B) {
	for _, z := range []size{
		{9, 12, 8, 15, 3},
		{9, 600, 64, 5000, 3},
		{100, 150, 64, 1250, 7},
		{410, 600, 64, 5000, 7},
	} {
		for _, flush := range []time.Duration{time.Nanosecond, defaultFlushDelay, 50 * time.Millisecond} {
			b.Run(fmt.Sprintf("daemons=%d/workers=%d/rate=%d/flush=%v", z.daemons, z.workers, z.rate, flush), func(b *testing.B) {
				for range b.N {
					messages, bytes := z.measure(flush)
					b.ReportMetric(messages, "messages/request")
					b.ReportMetric(bytes, "B/s/daemon")
				}
			})
		}
	}
}
