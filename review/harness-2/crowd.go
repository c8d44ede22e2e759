package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// memoryMb is the limit of a process in the settings.
	memoryMb = 284
	// crowdWaiting is the number of connections to each daemon on which the crowd sends a head and no body, and
	// crowdRepeating that of those on which it sends one request after the other. All of them fit into maxFds.
	crowdWaiting   = 2400
	crowdRepeating = 400
	// waitingParts and repeatedParts are the numbers of parts in the heads.
	waitingParts  = 2561
	repeatedParts = 3585
	// crowdRounds is how often the crowd comes, and crowdStay how long it stays.
	crowdRounds = 4
	crowdStay   = 8 * time.Second
)

// crowdHead returns the head of a request of the crowd with this many parts. It stays below the 16,384 bytes of
// maxHeaderBytes, and has no key.
func crowdHead(id string, parts, bodyBytes int) string {
	return fmt.Sprintf("POST /lookup/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\nRequest-Deadline-Ms: 2500\r\nToken-Count: %d,5\r\nPrompt-Prefix: 1:1%s\r\nContent-Length: %d\r\n\r\n",
		id, parts, strings.Repeat(",1:1", parts-1), bodyBytes)
}

// residentKb returns the memory of a process.
func residentKb(pid int) int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb
		}
	}
	return 0
}

// crowdAt opens the crowd's connections to a daemon and returns what closes them.
func crowdAt(w *world, d *daemon) (leave func()) {
	var mu sync.Mutex
	var open []net.Conn
	var opening sync.WaitGroup
	places := make(chan struct{}, 64)
	for n := range crowdWaiting + crowdRepeating {
		opening.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			conn, err := net.DialTimeout("tcp", d.front, time.Second)
			if err != nil {
				return
			}
			mu.Lock()
			open = append(open, conn)
			mu.Unlock()
			if n >= crowdWaiting {
				go repeat(conn, n)
				return
			}
			_, _ = conn.Write([]byte(crowdHead(fmt.Sprintf("crowd-%d", n), waitingParts, 100)))
		})
	}
	opening.Wait()
	w.note("%d connections of the crowd to %s", len(open), d.name)
	return func() {
		for _, c := range open {
			_ = c.Close()
		}
	}
}

// repeat sends a request again whenever the one before has been answered, until its connection ends.
func repeat(conn net.Conn, n int) {
	answers := bufio.NewReader(conn)
	for i := 0; ; i++ {
		if _, err := conn.Write([]byte(crowdHead(fmt.Sprintf("crowd-%d-%d", n, i), repeatedParts, 0))); err != nil {
			return
		}
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}

// watchMemory does what the platform does: it kills a process that exceeds memoryMb, and starts it again a second later.
func watchMemory(w *world, d *daemon, kills *int, highest *int, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		kb := residentKb(d.cmd.Process.Pid)
		*highest = max(*highest, kb)
		if kb <= memoryMb<<10 {
			continue
		}
		w.note("%s has %d kB, more than its %d MB: the platform kills it", d.name, kb, memoryMb)
		_ = d.cmd.Process.Kill()
		<-d.ended
		*kills++
		time.Sleep(time.Second)
		if err := w.relaunch(d); err != nil {
			w.note("%s could not be started again: %v", d.name, err)
			return
		}
	}
}

// playCrowd has many clients from outside send heads with many parts, and no body.
func playCrowd(w *world, trouble bool) (int, error) {
	for range 3 {
		if err := w.addWorker("app", 0, 20*time.Millisecond); err != nil {
			return failed, err
		}
	}
	w.store.put("op", "config", configuration())
	if err := w.startDaemons(3); err != nil {
		return failed, err
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return failed, err
	}
	time.Sleep(3 * time.Second)
	kills, highest := make([]int, len(w.daemons)), make([]int, len(w.daemons))
	stop := make(chan struct{})
	var watching sync.WaitGroup
	for i, d := range w.daemons {
		watching.Go(func() { watchMemory(w, d, &kills[i], &highest[i], stop) })
	}
	var ordinary results
	var sending sync.WaitGroup
	sending.Go(func() {
		sendSteadily(w, newClient(w, "key-small"), &ordinary, "lookup", "/lookup/x", 50*time.Millisecond, lookupDeadline, crowdRounds*(crowdStay+8*time.Second))
	})
	for range crowdRounds {
		if trouble {
			var coming sync.WaitGroup
			leave := make([]func(), len(w.daemons))
			for i, d := range w.daemons {
				coming.Go(func() { leave[i] = crowdAt(w, d) })
			}
			coming.Wait()
			time.Sleep(crowdStay)
			for _, f := range leave {
				f()
			}
		}
		time.Sleep(3 * time.Second)
	}
	sending.Wait()
	close(stop)
	watching.Wait()
	return judgeMemory(w, ordinary.calls, kills, highest), nil
}

// judgeMemory checks the rule Fault: on a tenth of the machines, two at least, processes may not end by themselves three
// times, as by memory over the limit.
func judgeMemory(w *world, calls []call, kills, highest []int) int {
	ok, machines := 0, 0
	for _, c := range calls {
		if c.status == 200 {
			ok++
		}
	}
	for _, n := range kills {
		if n >= 3 {
			machines++
		}
	}
	text := fmt.Sprintf("%d lookups sent, %d answered with 200; kills for memory %v, highest memory %v kB", len(calls), ok, kills, highest)
	w.note("%s", text)
	fmt.Println(text)
	if machines >= 2 {
		return broken
	}
	return held
}
