package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// bodyBytes is the largest body that the configuration allows.
	bodyBytes = 4 << 20
	// uploadTime is how long a client takes to send it, in chunks.
	uploadTime = 1500 * time.Millisecond
	// usual is the number of uploads at a daemon at once, and burst the number while many users
	// come at once (1.7 times the usual).
	usual = 25
	burst = 42
	// waves is the number of bursts, with waveGap from one to the next.
	waves   = 8
	waveGap = 8 * time.Second
	// memoryMB is memoryMb of the settings. The platform kills a process that exceeds it.
	memoryMB = 284
)

// uploadBurst has many clients at once send bodies in chunks (burst).
func uploadBurst(w *world) error {
	w.store.set("op", "config", configuration(1, ""))
	for i, zone := range []string{"z1", "z2", "z3"} {
		s := w.newWorker(fmt.Sprintf("i-%03d", i+1), "app", zone, 64)
		s.plainWork = 30 * time.Millisecond
		if err := s.start(true); err != nil {
			return err
		}
	}
	for _, zone := range []string{"z1", "z2", "z3"} {
		d, err := w.addDaemon(fmt.Sprintf("edge-%s-1", zone), zone, true)
		if err != nil {
			return err
		}
		if err := d.start(); err != nil {
			return err
		}
	}
	if err := w.waitReady(20 * time.Second); err != nil {
		return err
	}
	kills := make([]int, len(w.daemons))
	stop := make(chan struct{})
	var watching, clients sync.WaitGroup
	for i, d := range w.daemons {
		watching.Go(func() { kills[i] = limitMemory(w, d, stop) })
	}
	n := usual
	if w.trouble {
		n = burst
	}
	for wave := range waves {
		w.note("wave %d: %d uploads at once at each daemon", wave+1, n)
		for _, d := range w.daemons {
			for range n {
				clients.Go(func() {
					answer := upload(d.front())
					w.note("client at %s: %s", d.name, answer)
				})
			}
		}
		time.Sleep(waveGap)
	}
	clients.Wait()
	close(stop)
	watching.Wait()
	often := 0
	for i, d := range w.daemons {
		w.note("%s exceeded its memory %d times", d.name, kills[i])
		if kills[i] >= 3 {
			often++
		}
	}
	if often >= 2 {
		w.fail("Fault: processes of %d machines ended three times or more as they exceeded their memory: %v", often, kills)
	}
	return nil
}

// limitMemory kills the process of a daemon whenever it exceeds its memory, and returns how often
// it did.
func limitMemory(w *world, d *daemon, stop chan struct{}) (kills int) {
	highest, killed := 0, 0
	for {
		select {
		case <-stop:
			w.note("%s: highest memory seen %d MB", d.name, highest)
			return kills
		case <-time.After(10 * time.Millisecond):
		}
		d.mu.Lock()
		pid := d.cmd.Process.Pid
		d.mu.Unlock()
		used := residentMB(pid)
		highest = max(highest, used)
		if used > memoryMB && pid != killed {
			w.note("%s uses %d MB, its limit is %d MB", d.name, used, memoryMB)
			d.signal(syscall.SIGKILL)
			kills, killed = kills+1, pid
		}
	}
}

// residentMB returns the resident memory of a process.
func residentMB(pid int) int {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(f[1])
			return kb >> 10
		}
	}
	return 0
}

// upload sends a request with a body in chunks and returns the first line of the answer.
func upload(to string) string {
	c, err := net.Dial("tcp", to)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(9 * time.Second))
	_, err = fmt.Fprintf(c, "POST /order/x HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nX-Api-Key: k1\r\nRequest-Deadline-Ms: 9000\r\nTransfer-Encoding: chunked\r\n\r\n", host, newID())
	if err != nil {
		return err.Error()
	}
	const pieces = 64
	chunk := strings.Repeat("x", bodyBytes/pieces)
	for range pieces {
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(chunk), chunk); err != nil {
			return err.Error()
		}
		time.Sleep(uploadTime / pieces)
	}
	if _, err := fmt.Fprint(c, "0\r\n\r\n"); err != nil {
		return err.Error()
	}
	buf := make([]byte, 4096)
	n, err := c.Read(buf)
	if err != nil {
		return err.Error()
	}
	line, _, _ := strings.Cut(string(buf[:n]), "\r\n")
	return line
}
