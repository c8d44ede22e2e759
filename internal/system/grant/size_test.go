package grant

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// Limits of the design at full size: the control traffic of one daemon over all
// systems, and the ratio of it that grants may use.
const (
	controlBytes  = 11_000 // sent by a daemon per second
	maxGrantShare = 0.6
)

type size struct {
	daemons, workers, slots, rate, dataCentres int // workers: backend servers; rate: requests per second
}

// run starts the size's load and returns the world after the warm-up.
func (z size) run(flush time.Duration) *world {
	w := newWorld(1, entity.Service{})
	location := func(i int) entity.Location {
		dc := i % z.dataCentres
		return entity.Location{Region: entity.RegionID(fmt.Sprint("r", dc*2/max(z.dataCentres, 6))), DataCentre: entity.DataCentreID(fmt.Sprint("dc", dc))}
	}
	w.doc = entity.Service{Name: "model", Organisations: testService(0, 0).Organisations}
	for i := range z.workers {
		b := testServer(i, z.slots)
		b.Location = location(i)
		w.addEngine(b)
		w.doc.BackendServers = append(w.doc.BackendServers, b)
	}
	for i := range z.daemons {
		w.addNode(location(i), func(c *Config) { c.FlushDelay = flush })
	}
	w.syncMembers()
	w.measure = true
	w.arrivals(float64(z.rate), sizeLength, func(i int) *request {
		r := testRequest(fmt.Sprintf("0123456789abcdef-%08d", i), 100+w.rng.IntN(200))
		r.acquisition.Priority = entity.Priority(w.rng.IntN(4))
		r.acquisition.Deadline = w.now.Add(30 * time.Second)
		r.acquisition.Digest = digestOf(i)
		p := uint64(w.rng.IntN(5000))
		r.acquisition.Prefix = []uint64{p / 100, p, p<<32 | uint64(i)}
		return r
	})
	w.run(sizeWarmUp)
	return w
}

const sizeWarmUp, sizeLength = 8 * time.Second, 14 * time.Second

// measure returns the messages per request, and the bytes per second that a
// daemon sends, including packet overhead.
func (z size) measure(flush time.Duration) (perRequest, perDaemon float64) {
	w := z.run(flush)
	messages, bytes := w.messages, w.bytes
	w.run(sizeLength)
	messages, bytes = w.messages-messages, w.bytes-bytes
	seconds := (sizeLength - sizeWarmUp).Seconds()
	total := float64(bytes + messages*packetOverhead)
	return float64(messages) / seconds / float64(z.rate), total / float64(z.daemons) / seconds
}

func TestGrants_TrafficAtFullSize(t *testing.T) {
	if testing.Short() {
		t.Skip("skipped in short mode: slow")
	}
	z := size{daemons: 410, workers: 600, slots: 64, rate: 5000, dataCentres: 7}
	messages, bytes := z.measure(0)
	t.Logf("%.2f messages per request, %.0f B/s sent by each daemon", messages, bytes)
	if bytes > maxGrantShare*controlBytes {
		t.Errorf("%.0f B/s sent by each daemon, want at most %.0f", bytes, maxGrantShare*controlBytes)
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

// BenchmarkGrants_Death reports how many more bytes each daemon sends in 6 s when
// one backend server, or all of one data centre, die suddenly.
func BenchmarkGrants_Death(b *testing.B) {
	z := size{daemons: 410, workers: 600, slots: 64, rate: 5000, dataCentres: 7}
	_, usual := z.measure(defaultFlushDelay)
	for _, all := range []bool{false, true} {
		b.Run(fmt.Sprintf("data-centre=%v", all), func(b *testing.B) {
			for range b.N {
				w := z.run(defaultFlushDelay)
				messages, bytes := w.messages, w.bytes
				first := w.engines[0].backend.Location
				for i, e := range w.engines {
					if i == 0 || all && e.backend.Location == first {
						e.die()
					}
				}
				w.run(sizeLength)
				total := float64(w.bytes - bytes + (w.messages-messages)*packetOverhead)
				b.ReportMetric(total/float64(z.daemons)-usual*(sizeLength-sizeWarmUp).Seconds(), "B/daemon")
			}
		})
	}
}
