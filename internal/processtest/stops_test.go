package processtest

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/standin"
	"github.com/gooseberryslip/gooseberryslip/internal/timeline"
)

// drainingLimit is the time after which a draining backend server must get no
// new work from any daemon. It counts from when the first daemon has marked the
// server as draining, or from when the change that removes it is in force.
const drainingLimit = 3 * time.Second

// runsStartedAfter lists the executions that started on a backend server after a
// time.
func (c *cluster) runsStartedAfter(b standin.BackendEndpoint, at time.Time) []standin.Run {
	var out []standin.Run
	for _, r := range c.runRecords(b) {
		if r.StartedAt.After(at) {
			out = append(out, r)
		}
	}
	return out
}

// firstMarkedDraining returns when the first daemon marked a backend server as
// draining, or the zero time if none has.
func (c *cluster) firstMarkedDraining(b standin.BackendEndpoint) time.Time {
	var first time.Time
	for i := range c.daemons {
		for _, e := range c.recordedEvents(i, timeline.Filter{}) {
			draining := e.Event.Number == event.BackendDraining && string(e.Event.Backend) == b.ID
			if draining && (first.IsZero() || e.Event.At.Before(first)) {
				first = e.Event.At
			}
		}
	}
	return first
}

// checkDrainingEngine is called after the reclaim notice for the host of the
// first engine. It waits for the end of the load and checks that no run started on
// that engine more than drainingLimit after the first daemon had marked it as
// draining, while other engines still got work.
func (c *cluster) checkDrainingEngine(l *runningLoad) {
	c.t.Helper()
	engine := c.addresses.Engines[0]
	first := c.firstMarkedDraining(engine)
	if first.IsZero() {
		c.t.Fatal("no daemon has marked the reclaimed engine as draining")
	}
	l.waitAndCheckProperties()
	if runs := c.runsStartedAfter(engine, first.Add(drainingLimit)); len(runs) > 0 {
		c.t.Errorf("%d runs started on the draining engine more than %s after the first daemon had marked it as draining, the last one %s after that",
			len(runs), drainingLimit, runs[len(runs)-1].StartedAt.Sub(first).Round(time.Millisecond))
	}
	if len(c.runsStartedAfter(c.addresses.Engines[1], first.Add(drainingLimit))) == 0 {
		c.t.Error("no run started on another engine after the limit, so the check has no load to observe")
	}
}

func TestLeaving_NoNewWorkForALeavingEngine(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{})
	host := c.startHost(c.addresses.Engines[0])
	l := c.startLoad(c.loadConfig(40, 12*time.Second))
	time.Sleep(time.Second)
	c.announceReclaim(host, time.Minute)
	c.await(8*time.Second, "a daemon to mark the reclaimed engine as draining", func() bool { return !c.firstMarkedDraining(c.addresses.Engines[0]).IsZero() })
	c.checkDrainingEngine(l)
}

// TestLeaving_OneDaemonCutOffFromItsPeers: callers keep sending requests to a
// daemon that receives nothing from its peers and so must learn of the draining
// engine by itself. It is cut off 8 s before the reclaim notice, so that it
// already regards its peers as dead.
func TestLeaving_OneDaemonCutOffFromItsPeers(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{})
	host := c.startHost(c.addresses.Engines[0])
	c.network.setIsolated(0, len(c.daemons), true)
	time.Sleep(7 * time.Second)
	cutOff := c.startLoad(c.loadConfigForDaemon(0, 20, 12*time.Second))
	cfg := c.loadConfig(30, 12*time.Second)
	cfg.Addresses, cfg.Seed = cfg.Addresses[1:], 2
	l := c.startLoad(cfg)
	time.Sleep(time.Second)
	c.announceReclaim(host, time.Minute)
	c.await(8*time.Second, "a daemon to mark the reclaimed engine as draining", func() bool { return !c.firstMarkedDraining(c.addresses.Engines[0]).IsZero() })
	c.checkDrainingEngine(l)
	cutOff.waitAndCheckProperties()
}

// TestLeaving_CutOffDaemonThatReadsTheListLate: a daemon that is cut off from its
// peers reads the list of instances at another phase of the interval than they
// do, so that they learn of a reclaim notice seconds earlier.
func TestLeaving_CutOffDaemonThatReadsTheListLate(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{})
	host := c.startHost(c.addresses.Engines[0])
	const listInterval, phase = 5 * time.Second, 4300 * time.Millisecond
	c.daemons[0].kill()
	s, ok := c.daemonStatus(1)
	if !ok {
		t.Fatal("daemon 1 does not answer the status request")
	}
	started := s.Daemon.StartedAt
	next := started.Add((time.Since(started)/listInterval + 1) * listInterval)
	time.Sleep(time.Until(next.Add(phase)))
	c.restartDaemon(c.daemons[0])
	c.await(convergenceTimeout, "the daemons to know each other", c.allPeersAlive)
	c.network.setIsolated(0, len(c.daemons), true)
	l := c.startLoad(c.loadConfigForDaemon(0, 40, 13*time.Second))
	next = started.Add((time.Since(started)/listInterval + 2) * listInterval)
	time.Sleep(time.Until(next.Add(-500 * time.Millisecond)))
	c.announceReclaim(host, time.Minute)
	c.await(8*time.Second, "a daemon to mark the reclaimed engine as draining", func() bool { return !c.firstMarkedDraining(c.addresses.Engines[0]).IsZero() })
	first := c.firstMarkedDraining(c.addresses.Engines[0])
	l.waitAndCheckProperties()
	if runs := c.runsStartedAfter(c.addresses.Engines[0], first.Add(drainingLimit)); len(runs) > 0 {
		t.Errorf("%d runs started on the draining engine more than %s after the first daemon had marked it as draining, the last one %s after that",
			len(runs), drainingLimit, runs[len(runs)-1].StartedAt.Sub(first).Round(time.Millisecond))
	}
}

// TestLeaving_EngineTakenOutOfTheDocument: an engine that is removed from the
// service document gets no new work once the change is in force on all daemons.
func TestLeaving_EngineTakenOutOfTheDocument(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{})
	l := c.startLoad(c.loadConfig(40, 8*time.Second))
	time.Sleep(time.Second)
	revision := c.mustApplyDocument(1, modelService, c.modelDocument(c.addresses.Engines[1:], 1))
	c.await(14*time.Second, "the change to be in force on all daemons", func() bool { return c.revisionInForce(revision) })
	inForceAt := time.Now()
	l.waitAndCheckProperties()
	if runs := c.runsStartedAfter(c.addresses.Engines[0], inForceAt.Add(drainingLimit)); len(runs) > 0 {
		t.Errorf("%d runs started on the removed engine more than %s after the change was in force", len(runs), drainingLimit)
	}
}

// TestPlannedStop_UnderStreamingLoad: during a planned stop of a daemon each of
// its streams ends with the event done or with the event moved; none is
// truncated.
func TestPlannedStop_UnderStreamingLoad(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{tokenInterval: 20 * time.Millisecond})
	const streams = 16
	replies := make([]reply, streams)
	var wg sync.WaitGroup
	for i := range streams {
		wg.Go(func() {
			a := callerRequest{prompt: fmt.Sprint("stream ", i), maxTokens: 100 + 60*(i%8), stream: true, deadline: 35 * time.Second}
			if i%2 == 1 {
				a.key = fmt.Sprint("stream-", i)
			}
			replies[i] = c.submitRequest(0, a)
		})
	}
	time.Sleep(time.Second)
	cfg := c.loadConfig(10, 6*time.Second)
	l := c.startLoad(cfg)
	c.daemons[0].terminate()
	wg.Wait()
	for i, r := range replies {
		if r.err != nil || r.code != "" || (r.lastEvent != "done" && r.lastEvent != "moved") {
			t.Errorf("stream %d: want the final event done or moved, got %s", i, r)
		}
	}
	l.waitAndCheckConnections()
}

// TestPlannedStop_RollingRestart: all daemons are restarted one after another
// under load.
func TestPlannedStop_RollingRestart(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{})
	cfg := c.loadConfig(20, 18*time.Second)
	cfg.MaxTokens = 100
	l := c.startLoad(cfg)
	time.Sleep(time.Second)
	for _, d := range c.daemons {
		d.terminate()
		c.restartDaemon(d)
		c.await(20*time.Second, "the restarted daemon to be ready", func() bool {
			s, ok := c.daemonStatus(d.index)
			return ok && s.Daemon.ConfigurationCurrent && s.Daemon.NotReady == ""
		})
		time.Sleep(time.Second)
	}
	l.waitAndCheckConnections()
}

// TestPlannedStop_PlainCallsEnd: calls of a plain service that are in progress
// when a planned stop of the daemon starts are answered or redirected by it, and
// are executed once.
func TestPlannedStop_PlainCallsEnd(t *testing.T) {
	t.Parallel()
	stopDuringPlainCalls(t, func(d *daemonProcess) { d.terminate() })
}

// TestPlannedStop_SettingsSignalCutsNoCall: the same, and the daemon gets SIGHUP before and
// during the stop.
func TestPlannedStop_SettingsSignalCutsNoCall(t *testing.T) {
	t.Parallel()
	stopDuringPlainCalls(t, func(d *daemonProcess) {
		for _, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
			d.signal(sig)
			time.Sleep(200 * time.Millisecond)
		}
		d.terminate()
	})
}

// stopDuringPlainCalls checks that calls in progress end well while stop stops their daemon.
func stopDuringPlainCalls(t *testing.T, stop func(*daemonProcess)) {
	t.Helper()
	c := startCluster(t, options{plainDelay: 2 * time.Second})
	const calls = 8
	replies := make([]reply, calls)
	var wg sync.WaitGroup
	for i := range calls {
		wg.Go(func() { replies[i] = c.callPlainService(0, fmt.Sprint("write-down ", i), fmt.Sprint("key-", i)) })
	}
	time.Sleep(time.Second)
	stop(c.daemons[0])
	wg.Wait()
	for i, r := range replies {
		redirected := r.status == 303
		if !r.answered() && !redirected {
			t.Errorf("write-down %d was neither answered nor redirected: %s", i, r)
		}
		if n := c.countRuns(fmt.Sprint("write-down ", i), c.addresses.PlainServers); n != 1 {
			t.Errorf("write-down %d was executed %d times, want once", i, n)
		}
	}
}

// TestPlannedStop_ComesBackOnOtherPorts: after a daemon has restarted with the
// same instance ID on other ports, its peers name its new address to callers.
func TestPlannedStop_ComesBackOnOtherPorts(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{})
	c.daemons[0].terminate()
	c.startDaemon(c.daemons[0])
	newAddress := c.daemons[0].report.Callers
	c.await(20*time.Second, "the other daemons to name the new address of the restarted one", func() bool {
		for i := 1; i < len(c.daemons); i++ {
			if !strings.Contains(c.sendHTTP(i, http.MethodGet, "/v1/addresses", nil, "").text, newAddress) {
				return false
			}
		}
		return true
	})
}
