package processtest

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// BenchmarkDaemon_Idle measures idle daemon processes with two peers each.
func BenchmarkDaemon_Idle(b *testing.B) {
	const (
		settle = 5 * time.Second
		quiet  = 10 * time.Second
	)
	c := startCluster(b, options{})
	time.Sleep(settle)
	for b.Loop() {
		var before, used time.Duration
		for _, d := range c.daemons {
			before += processorTime(b, d.cmd.Process.Pid)
		}
		time.Sleep(quiet)
		resident := 0
		for _, d := range c.daemons {
			used += processorTime(b, d.cmd.Process.Pid)
			resident += anonymousMemory(b, d.cmd.Process.Pid)
		}
		count := float64(len(c.daemons))
		b.ReportMetric(100*(used-before).Seconds()/quiet.Seconds()/count, "%core/daemon")
		b.ReportMetric(float64(resident)/1000/count, "MB-anonymous/daemon")
	}
}

// processorTime returns what a process has used, from /proc.
func processorTime(t testing.TB, pid int) time.Duration {
	t.Helper()
	const (
		userField, systemField = 13, 14 // counted from 0
		tick                   = 10 * time.Millisecond
	)
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(string(text))
	var sum time.Duration
	for _, i := range []int{userField, systemField} {
		n, err := strconv.Atoi(fields[i])
		if err != nil {
			t.Fatal(err)
		}
		sum += time.Duration(n) * tick
	}
	return sum
}

// anonymousMemory returns the resident memory of a process that is not backed
// by files, in kB, from /proc.
func anonymousMemory(t testing.TB, pid int) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		var kB int
		if _, err := fmt.Sscanf(line, "RssAnon: %d kB", &kB); err == nil {
			return kB
		}
	}
	t.Fatal("no RssAnon")
	return 0
}
