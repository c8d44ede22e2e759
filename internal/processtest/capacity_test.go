package processtest

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// BenchmarkDaemon_Idle measures the processor time and the memory of idle daemon
// processes with two peers each.
func BenchmarkDaemon_Idle(b *testing.B) {
	const (
		stabilisationDelay = 5 * time.Second
		measuredPeriod     = 10 * time.Second
	)
	c := startCluster(b, options{})
	time.Sleep(stabilisationDelay)
	for b.Loop() {
		var before, used time.Duration
		for _, d := range c.daemons {
			before += cpuTime(b, d.cmd.Process.Pid)
		}
		time.Sleep(measuredPeriod)
		residentKB := 0
		for _, d := range c.daemons {
			used += cpuTime(b, d.cmd.Process.Pid)
			residentKB += anonymousMemoryKB(b, d.cmd.Process.Pid)
		}
		count := float64(len(c.daemons))
		b.ReportMetric(100*(used-before).Seconds()/measuredPeriod.Seconds()/count, "%core/daemon")
		b.ReportMetric(float64(residentKB)/1000/count, "MB-anonymous/daemon")
	}
}

// cpuTime returns the user and system processor time that a process has used,
// from /proc/PID/stat.
func cpuTime(t testing.TB, pid int) time.Duration {
	t.Helper()
	const (
		userTimeField, systemTimeField = 13, 14 // 0-based fields of the line, if the process name has no space
		clockTick                      = 10 * time.Millisecond
	)
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(string(text))
	var sum time.Duration
	for _, i := range []int{userTimeField, systemTimeField} {
		n, err := strconv.Atoi(fields[i])
		if err != nil {
			t.Fatal(err)
		}
		sum += time.Duration(n) * clockTick
	}
	return sum
}

// anonymousMemoryKB returns the resident memory of a process that is not backed
// by files, from /proc/PID/status.
func anonymousMemoryKB(t testing.TB, pid int) int {
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
	t.Fatal("/proc/PID/status has no line RssAnon")
	return 0
}
