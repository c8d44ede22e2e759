package processtest

import (
	"syscall"
	"testing"
	"time"
)

// TestDaemon_SettingsSignalStopsNoDaemon: SIGHUP tells a daemon that its settings file has
// changed.
func TestDaemon_SettingsSignalStopsNoDaemon(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{})
	before, ok := c.daemonStatus(0)
	if !ok {
		t.Fatal("the daemon does not answer the status request")
	}
	c.daemons[0].signal(syscall.SIGHUP)
	time.Sleep(time.Second)
	after, ok := c.daemonStatus(0)
	if !ok || after.Daemon.NotReady != "" || !after.Daemon.StartedAt.Equal(before.Daemon.StartedAt) {
		t.Errorf("after SIGHUP the daemon answers: %v, ready: %q, started %v before %v", ok, after.Daemon.NotReady, after.Daemon.StartedAt, before.Daemon.StartedAt)
	}
}
