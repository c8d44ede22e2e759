package processtest

import (
	"bytes"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/standin"
)

// BenchmarkCluster_DataCentreReclaimedAndTableDown measures two minutes of load
// on six daemons and six engines in three data centres. At 30 s the daemons and
// engines of one data centre get a reclaim notice of 10 s. They are killed at
// 40 s, and the engines start again at 60 s. The table service is down from 75 s
// to 95 s.
func BenchmarkCluster_DataCentreReclaimedAndTableDown(b *testing.B) {
	for b.Loop() {
		measureReclaimAndOutage(b)
	}
}

func measureReclaimAndOutage(b *testing.B) {
	const noticePeriod = 10 * time.Second
	c := startCluster(b, options{daemons: 6, engines: 6, firstTokenDelay: 20 * time.Millisecond, tokenInterval: 10 * time.Millisecond})
	reclaimed := []int{0, 3} // indices of the daemons and engines in the first data centre
	var hosts []string
	for _, i := range reclaimed {
		hosts = append(hosts, c.startHost(c.addresses.Engines[i]))
	}
	start := time.Now()
	waitUntil := func(d time.Duration) { time.Sleep(time.Until(start.Add(d))) }
	l := c.startLoad(c.loadConfig(40, 2*time.Minute))
	waitUntil(30 * time.Second)
	for n, i := range reclaimed {
		c.announceReclaim(hosts[n], noticePeriod)
		c.announceReclaim(c.daemons[i].report.Instance, noticePeriod)
	}
	waitUntil(40 * time.Second)
	for _, i := range reclaimed {
		c.daemons[i].kill()
		c.controlBackendServer("/_kill", c.addresses.Engines[i].ID)
	}
	waitUntil(60 * time.Second)
	for _, i := range reclaimed {
		c.controlBackendServer("/_restart", c.addresses.Engines[i].ID)
	}
	waitUntil(75 * time.Second)
	c.setTableFaults(standin.FaultSettings{Down: true})
	waitUntil(95 * time.Second)
	c.setTableFaults(standin.FaultSettings{})
	r := <-l.finished
	var text bytes.Buffer
	_ = r.WriteText(&text)
	b.Log("\n" + text.String())
	for _, v := range r.Violations() {
		b.Errorf("violation %s: request %s: %s", v.Kind, v.Request, v.Detail)
	}
}
