package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	scenarios["pause-beside-answers"] = pauseBesideAnswers
}

const (
	// slowTokens is the prompt of the requests that the workers take long to read.
	slowTokens = 54600
	// slowFirst is how long they take until the first event of such a request.
	slowFirst = 1900 * time.Millisecond
	// workerVariable names a worker that this process is to be, with the file for its runs.
	workerVariable = "REVIEW_WORKER"
)

// runWorker is the main function of a process that is a worker. The listener is its first extra file.
func runWorker(id, file string) int {
	l, err := net.FileListener(os.NewFile(3, "listener"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	out, err := os.Create(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	var mu sync.Mutex
	note := func(what, request string) {
		mu.Lock()
		defer mu.Unlock()
		_, _ = fmt.Fprintf(out, "%d %s %s\n", time.Now().UnixMilli(), what, request)
	}
	w := &worker{id: id, service: "llm", gap: 20 * time.Millisecond, events: 5, runs: map[string]int{}, heads: map[string]http.Header{}, forgets: true}
	w.handler = func(rw http.ResponseWriter, r *http.Request) bool {
		request := r.Header.Get("Attempt-Id")
		note("begins", request)
		defer note("ends", request)
		first := 50 * time.Millisecond
		if tokensOf(r.Header) > slowTokens {
			first = slowFirst
		}
		select {
		case <-time.After(first):
			w.stream(rw, r)
		case <-r.Context().Done():
			note("left", request)
		}
		return true
	}
	if err := http.Serve(l, w); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return 2
}

// workerProcess is a worker that is a process of its own.
type workerProcess struct {
	id, file string
	command  *exec.Cmd
}

func (c *rig) startWorkerProcess(id string) (*workerProcess, error) {
	l, err := net.Listen("tcp", c.ip+":0")
	if err != nil {
		return nil, err
	}
	defer func() { _ = l.Close() }()
	f, err := l.(*net.TCPListener).File()
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &workerProcess{id: id, file: filepath.Join(c.folder, id+".runs")}
	p.command = exec.Command(program, "worker")
	p.command.Env = []string{workerVariable + "=" + id + "," + p.file}
	p.command.Stderr = os.Stderr
	p.command.ExtraFiles = []*os.File{f}
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	c.workers = append(c.workers, p)
	c.store.put("servers", id, fmt.Sprintf(`{"service":"llm","address":%q,"zone":"z1","version":"v1","slots":64,"state":"ready","coldMs":0,"seq":1,"born":%d}`, l.Addr().String(), c.started.UnixMilli()))
	return p, nil
}

func (p *workerProcess) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

func (p *workerProcess) end() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	_ = p.command.Wait()
}

// workerRun is a run of a request at a worker.
type workerRun struct {
	worker       string
	begins, ends int64 // Unix milliseconds
}

func (p *workerProcess) readRuns(runs map[string][]workerRun) error {
	f, err := os.Open(p.file)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	open := map[string]int64{}
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		at, err := strconv.ParseInt(fields[0], 10, 64)
		if err != nil {
			return err
		}
		switch fields[1] {
		case "begins":
			open[fields[2]] = at
		case "ends":
			runs[fields[2]] = append(runs[fields[2]], workerRun{p.id, open[fields[2]], at})
		}
	}
	return lines.Err()
}

// pauseBesideAnswers has one worker of three after the other fall silent for a second or so and go on. Some
// requests have long prompts, which the workers read for longer than twice the objective.
func pauseBesideAnswers(c *rig) error {
	c.store.put("op", "config", configuration(1, usualTenants))
	if _, err := c.addWorker("app-1", "app"); err != nil {
		return err
	}
	for n := range 3 {
		if _, err := c.startWorkerProcess(fmt.Sprintf("llm-%d", n+1)); err != nil {
			return err
		}
	}
	if err := c.startFleet(2); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	const (
		length   = 30 * time.Second
		pace     = 20 * time.Millisecond
		oneSlow  = 7 // of so many requests
		pause    = 1200 * time.Millisecond
		interval = 3 * time.Second
		overlap  = 400 // ms
	)
	end := time.Now().Add(length)
	var all sync.WaitGroup
	var mu sync.Mutex
	sent, whole := 0, 0
	type silence struct {
		worker   string
		from, to int64
	}
	var pauses []silence
	if c.trouble {
		all.Go(func() {
			for n := 0; time.Now().Before(end.Add(-interval)); n++ {
				time.Sleep(interval - pause)
				p := c.workers[n%len(c.workers)]
				from := time.Now()
				p.signal(syscall.SIGSTOP)
				time.Sleep(pause)
				p.signal(syscall.SIGCONT)
				pauses = append(pauses, silence{p.id, from.UnixMilli(), time.Now().UnixMilli()})
			}
		})
	}
	for n := 0; time.Now().Before(end); n++ {
		all.Go(func() {
			q := call{gateway: c.gateways[n%2], id: c.nextID("s"), path: "/alert/x", key: "k1", deadline: 3 * time.Second, body: "hi", header: map[string]string{"Token-Count": "1800,25", "Model": "m", "Prompt-Prefix": fmt.Sprintf("a1:500,%x:1300", 0x100000+n)}}
			if n%oneSlow == 0 {
				q.header["Token-Count"], q.header["Prompt-Prefix"] = fmt.Sprintf("%d,25", slowTokens), fmt.Sprintf("a1:500,%x:%d", 0x100000+n, slowTokens-500)
			}
			r := q.send(context.Background())
			mu.Lock()
			defer mu.Unlock()
			sent++
			if r.status == http.StatusOK && r.complete {
				whole++
			}
		})
		time.Sleep(pace/2 + rand.N(pace))
	}
	all.Wait()
	time.Sleep(time.Second)
	runs := map[string][]workerRun{}
	for _, p := range c.workers {
		if err := p.readRuns(runs); err != nil {
			return err
		}
	}
	twice, beside := 0, 0
	for id, list := range runs {
		if len(list) < 2 {
			continue
		}
		twice++
		first, next := list[0], list[1]
		if next.begins < first.begins {
			first, next = next, first
		}
		if first.ends-next.begins <= overlap {
			continue
		}
		beside++
		for _, s := range pauses {
			if s.worker == first.worker && s.from < first.ends && s.to > next.begins {
				c.logf("%s: begins at %s; begins at %s %d ms later, %s ends %d ms after that; %s stood still from %d to %d ms after it began", id, first.worker, next.worker, next.begins-first.begins, first.worker, first.ends-next.begins, first.worker, s.from-first.begins, s.to-first.begins)
			}
		}
		c.breakf("TWICE: %s went on at %s while %s still worked on it %d ms later", id, next.worker, first.worker, first.ends-next.begins)
	}
	c.logf("%d requests sent, %d whole; %d were sent to a second worker, %d of them ran on beside it for more than %d ms; %d pauses", sent, whole, twice, beside, overlap, len(pauses))
	return nil
}
