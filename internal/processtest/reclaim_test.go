package processtest

import (
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/standin"
)

const (
	// noticePeriod is the time from the reclaim notice of a daemon's instance until
	// the instance ends.
	noticePeriod = 6 * time.Second
	// warmUp is how long a load runs before the first fault.
	warmUp = 1500 * time.Millisecond
	// reclaimLoadDuration is how long requests arrive when a daemon is reclaimed.
	reclaimLoadDuration = 7 * time.Second
	// backendNoticePeriod is the notice for the instance of a backend server. It is
	// longer than noticePeriod, since daemons learn of this notice only when they
	// next read the list of instances, and runs must complete after that.
	backendNoticePeriod = 11 * time.Second
	// backendLoadDuration is how long requests arrive when a backend server is
	// reclaimed; they still arrive after its end.
	backendLoadDuration = 14 * time.Second
)

// reclaimCluster starts a cluster whose runs take about two seconds, so that many
// are in progress when an instance is reclaimed.
func reclaimCluster(t *testing.T) *cluster {
	t.Helper()
	t.Parallel()
	return startCluster(t, options{daemons: 4, engines: 4, tokenInterval: 20 * time.Millisecond})
}

// startReclaimLoad starts a load with long runs.
func (c *cluster) startReclaimLoad(d time.Duration) *runningLoad {
	cfg := c.loadConfig(15, d)
	cfg.MaxTokens = 100
	cfg.NotRepeatableShare = 0.4 // these cannot be retried on another backend server once sent
	return c.startLoad(cfg)
}

// reclaimDaemon announces the reclaim of a daemon's instance and kills the
// daemon after killAfter.
func (c *cluster) reclaimDaemon(i int, killAfter time.Duration) {
	c.announceReclaim(c.daemons[i].report.Instance, noticePeriod)
	time.AfterFunc(killAfter, c.daemons[i].kill)
}

func TestReclaim_OfADaemon(t *testing.T) {
	c := reclaimCluster(t)
	l := c.startReclaimLoad(reclaimLoadDuration)
	time.Sleep(warmUp)
	c.reclaimDaemon(0, noticePeriod)
	l.waitAndCheckConnections()
}

func TestReclaim_DaemonDiesPartwayThroughItsNotice(t *testing.T) {
	c := reclaimCluster(t)
	l := c.startReclaimLoad(reclaimLoadDuration)
	time.Sleep(warmUp)
	c.reclaimDaemon(0, noticePeriod/2)
	l.waitAndCheckAnswered()
}

func TestReclaim_OfAWorker(t *testing.T) {
	c := reclaimCluster(t)
	host := c.startHost(c.addresses.Engines[0])
	l := c.startReclaimLoad(backendLoadDuration)
	time.Sleep(warmUp)
	restarted := c.reclaimBackendServer(host, c.addresses.Engines[0], backendNoticePeriod)
	l.waitAndCheckConnections()
	<-restarted
}

func TestReclaim_OfDaemonAndWorkerOfOneDataCentre(t *testing.T) {
	c := reclaimCluster(t)
	host := c.startHost(c.addresses.Engines[0])
	l := c.startReclaimLoad(backendLoadDuration)
	time.Sleep(warmUp)
	restarted := c.reclaimBackendServer(host, c.addresses.Engines[0], backendNoticePeriod)
	time.Sleep(backendNoticePeriod - noticePeriod)
	c.reclaimDaemon(0, noticePeriod)
	l.waitAndCheckConnections()
	<-restarted
}

func TestReclaim_SecondDuringTheFirst(t *testing.T) {
	c := reclaimCluster(t)
	l := c.startReclaimLoad(reclaimLoadDuration)
	time.Sleep(warmUp)
	c.reclaimDaemon(0, noticePeriod)
	time.Sleep(noticePeriod / 3)
	c.reclaimDaemon(1, noticePeriod)
	l.waitAndCheckConnections()
}

// reclaimBackendServer announces the reclaim of a backend server's instance and
// kills the server at the end of the notice period. It then restarts the server,
// since the run records are read at the end of the test. The returned channel is
// closed after the restart.
func (c *cluster) reclaimBackendServer(host string, e standin.BackendEndpoint, noticePeriod time.Duration) <-chan struct{} {
	c.announceReclaim(host, noticePeriod)
	restarted := make(chan struct{})
	time.AfterFunc(noticePeriod, func() {
		defer close(restarted)
		c.controlBackendServer("/_kill", e.ID)
		c.controlBackendServer("/_restart", e.ID)
	})
	return restarted
}
