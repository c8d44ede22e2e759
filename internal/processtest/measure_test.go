package processtest

import (
	"bytes"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/standin"
)

// BenchmarkCluster_DataCentreReclaimedAndTableDown measures two minutes of load
// on six daemons and six engines in three data centres. After 30 s one data
// centre is reclaimed with a notice of 10 s, and replaced 20 s later; the table
// is down from 75 s to 95 s.
func BenchmarkCluster_DataCentreReclaimedAndTableDown(b *testing.B) {
	for b.Loop() {
		measureReclaimAndOutage(b)
	}
}

func measureReclaimAndOutage(b *testing.B) {
	const notice = 10 * time.Second
	c := startCluster(b, options{daemons: 6, engines: 6, firstToken: 20 * time.Millisecond, betweenTokens: 10 * time.Millisecond})
	lost := []int{0, 3} // daemons and engines of the first data centre
	var hosts []string
	for _, i := range lost {
		hosts = append(hosts, c.hostOf(c.addresses.Engines[i]))
	}
	start := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(start.Add(d))) }
	l := c.startLoad(c.loadConfig(40, 2*time.Minute))
	at(30 * time.Second)
	for n, i := range lost {
		c.reclaim(hosts[n], notice)
		c.reclaim(c.daemons[i].report.Instance, notice)
	}
	at(40 * time.Second)
	for _, i := range lost {
		c.daemons[i].kill()
		c.backend("/_kill", c.addresses.Engines[i].ID)
	}
	at(60 * time.Second)
	for _, i := range lost {
		c.backend("/_restart", c.addresses.Engines[i].ID)
	}
	at(75 * time.Second)
	c.tableFaults(standin.FaultSettings{Down: true})
	at(95 * time.Second)
	c.tableFaults(standin.FaultSettings{})
	r := <-l.done
	var text bytes.Buffer
	_ = r.WriteText(&text)
	b.Log("\n" + text.String())
	for _, v := range r.Violations() {
		b.Errorf("%s: request %s: %s", v.Kind, v.Request, v.Detail)
	}
}
