package processtest

import (
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/standin"
)

const (
	// notice is the time from an announcement to the reclaim.
	notice = 6 * time.Second
	// warmUp is the load's time before the first fault.
	warmUp = 1500 * time.Millisecond
	// reclaimLoad is how long requests arrive.
	reclaimLoad = 7 * time.Second
	// workerNotice leaves time for the platform's list and for the runs.
	workerNotice = 11 * time.Second
	// workerLoad goes on until after the worker has been taken.
	workerLoad = 14 * time.Second
)

// reclaimCluster has runs of about two seconds, so that a reclaim meets many.
func reclaimCluster(t *testing.T) *cluster {
	t.Helper()
	t.Parallel()
	return startCluster(t, options{daemons: 4, engines: 4, betweenTokens: 20 * time.Millisecond})
}

// reclaimLoad starts a load with long runs.
func (c *cluster) reclaimLoad(d time.Duration) *runningLoad {
	cfg := c.loadConfig(15, d)
	cfg.MaxTokens = 100
	cfg.NotRepeatableShare = 0.4 // what a lost worker cannot be replaced for
	return c.startLoad(cfg)
}

// reclaimDaemon announces a reclaim and kills the process after a while.
func (c *cluster) reclaimDaemon(i int, killAfter time.Duration) {
	c.reclaim(c.daemons[i].report.Instance, notice)
	time.AfterFunc(killAfter, c.daemons[i].kill)
}

func TestReclaim_OfADaemon(t *testing.T) {
	c := reclaimCluster(t)
	l := c.reclaimLoad(reclaimLoad)
	time.Sleep(warmUp)
	c.reclaimDaemon(0, notice)
	l.uncut()
}

func TestReclaim_DaemonDiesPartwayThroughItsNotice(t *testing.T) {
	c := reclaimCluster(t)
	l := c.reclaimLoad(reclaimLoad)
	time.Sleep(warmUp)
	c.reclaimDaemon(0, notice/2)
	l.kept()
}

func TestReclaim_OfAWorker(t *testing.T) {
	c := reclaimCluster(t)
	host := c.hostOf(c.addresses.Engines[0])
	l := c.reclaimLoad(workerLoad)
	time.Sleep(warmUp)
	gone := c.reclaimWorker(host, c.addresses.Engines[0], workerNotice)
	l.uncut()
	<-gone
}

func TestReclaim_OfDaemonAndWorkerOfOneDataCentre(t *testing.T) {
	c := reclaimCluster(t)
	host := c.hostOf(c.addresses.Engines[0])
	l := c.reclaimLoad(workerLoad)
	time.Sleep(warmUp)
	gone := c.reclaimWorker(host, c.addresses.Engines[0], workerNotice)
	time.Sleep(workerNotice - notice)
	c.reclaimDaemon(0, notice)
	l.uncut()
	<-gone
}

func TestReclaim_SecondDuringTheFirst(t *testing.T) {
	c := reclaimCluster(t)
	l := c.reclaimLoad(reclaimLoad)
	time.Sleep(warmUp)
	c.reclaimDaemon(0, notice)
	time.Sleep(notice / 3)
	c.reclaimDaemon(1, notice)
	l.uncut()
}

// reclaimWorker announces the reclaim of a backend server's instance, and
// takes the server away at its time. It is then started again, since its record
// of runs is read at the end. The channel is closed when that is done.
func (c *cluster) reclaimWorker(host string, e standin.BackendEndpoint, after time.Duration) <-chan struct{} {
	c.reclaim(host, after)
	gone := make(chan struct{})
	time.AfterFunc(after, func() {
		defer close(gone)
		c.backend("/_kill", e.ID)
		c.backend("/_restart", e.ID)
	})
	return gone
}
