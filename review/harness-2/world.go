package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// world is a small deployment: daemons as processes of their own, and stand-ins of all else in this process.
type world struct {
	start   time.Time
	folder  string
	store   *store
	cloud   *cloud
	workers []*worker
	daemons []*daemon
	quiet   bool // what the daemons write is not kept
	// storeHandler serves the store's address; nil: the store does.
	storeHandler http.Handler

	mu     sync.Mutex
	record *os.File
	held   []io.Closer // servers to close
}

// daemon is one process of the system.
type daemon struct {
	name, front, ready, settings string
	cmd                          *exec.Cmd
	ended                        chan struct{} // replaced with the process
}

func newWorld(recordPath string) (*world, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	return &world{start: time.Now(), folder: folder, record: record, store: newStore(), cloud: &cloud{highest: map[string]uint64{}}}, nil
}

// note writes a line into the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f "+format+"\n", append([]any{time.Since(w.start).Seconds()}, args...)...)
}

// serve serves a handler on a free loopback port.
func (w *world) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h}
	w.held = append(w.held, server)
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// addWorker starts a worker and has it write its entry.
func (w *world) addWorker(service string, events int, gap time.Duration) error {
	k := &worker{id: fmt.Sprintf("i-%s-%d", service, len(w.workers)), service: service, events: events, gap: gap, world: w, runs: map[string]int{}}
	address, err := w.serve(k)
	if err != nil {
		return err
	}
	k.address = address
	w.workers = append(w.workers, k)
	w.store.put("servers", k.id, k.entry())
	return nil
}

// freePorts returns the first of n consecutive ports of an address that were free just now, over TCP and UDP.
func freePorts(ip string, n int) (int, error) {
	for first := 20000 + os.Getpid()%20000; first < 60000; first += n {
		if portsFree(ip, first, n) {
			return first, nil
		}
	}
	return 0, errors.New("no free ports")
}

func portsFree(ip string, first, n int) bool {
	for port := first; port < first+n; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = l.Close()
		p, err := net.ListenPacket("udp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = p.Close()
	}
	return true
}

const settings = `node = "edge-z1-%[1]d"
role = "gateway"
machineClass = "edge"
serves = ["edge","directory"]
ip = "%[2]s"
zone = "z1"
region = "r1"
portRange = [%[3]d,%[4]d]
seeds = []
bootstrap = true
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
[zones]
z1 = "r1"
[listen]
front = "%[2]s:%[5]d"
ready = "%[2]s:%[6]d"
directory = "%[2]s:%[7]d"
[limits]
cpuShare = 1.0
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
[bounds]
contactMs = 3000
drainMs = 2000
graceS = 8
lostMs = 200
configMs = 2000
strictRevoke = true
revokeMs = 5000
budgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 58
quotaWindowS = 8
quotaOver = 0.1
quotaSlack = 140000
requireFencing = true
leaseMs = 3000
windowS = 5
usageTolerance = 0.05
usageLateS = 10
recoverS = 12
passMs = 120
ttl_max_s = 5
[provider]
address = "%[8]s"
form = "table"
[cloud]
address = "%[9]s"
duties = ["usage_report","autoscale"]
`

// startDaemons starts the store, the platform's API and n daemons.
func (w *world) startDaemons(n int) error {
	handler := http.Handler(w.store)
	if w.storeHandler != nil {
		handler = w.storeHandler
	}
	storeAddress, err := w.serve(handler)
	if err != nil {
		return err
	}
	cloudAddress, err := w.serve(w.cloud)
	if err != nil {
		return err
	}
	for i := range n {
		ip := fmt.Sprintf("127.0.0.%d", 11+i)
		port, err := freePorts(ip, 6)
		if err != nil {
			return err
		}
		text := fmt.Sprintf(settings, i, ip, port, port+2, port+3, port+4, port+5, storeAddress, cloudAddress)
		path := filepath.Join(w.folder, fmt.Sprintf("node-%d.toml", i))
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
		d := &daemon{name: fmt.Sprintf("edge-z1-%d", i), front: fmt.Sprintf("%s:%d", ip, port+3), ready: fmt.Sprintf("%s:%d", ip, port+4), settings: path}
		if err := w.relaunch(d); err != nil {
			return err
		}
		w.daemons = append(w.daemons, d)
	}
	return nil
}

// relaunch starts a daemon's process, as the deploy file does.
func (w *world) relaunch(d *daemon) error {
	path := filepath.Join(w.folder, d.name+".log")
	if w.quiet {
		path = os.DevNull
	}
	log, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	d.cmd = exec.Command("target/gooseberryslip", "gateway", "--load-shedding")
	d.cmd.Env = append(os.Environ(), "GOOSEBERRYSLIP_CONFIG="+d.settings)
	d.cmd.Stdout, d.cmd.Stderr = log, log
	if err := d.cmd.Start(); err != nil {
		return err
	}
	cmd, ended := d.cmd, make(chan struct{})
	d.ended = ended
	go func() {
		err := cmd.Wait()
		w.note("process of %s has ended: %v", d.name, err)
		_ = log.Close()
		close(ended)
	}()
	return nil
}

func (d *daemon) running() bool {
	select {
	case <-d.ended:
		return false
	default:
		return true
	}
}

// isReady asks a daemon's ready address as the platform does.
func (d *daemon) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.ready+"/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all daemons are ready.
func (w *world) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, d := range w.daemons {
			if d.isReady() {
				ready++
			}
		}
		if ready == len(w.daemons) {
			w.note("all %d daemons are ready", ready)
			return nil
		}
	}
	return errors.New("the daemons did not become ready")
}

// close ends all processes that were started, and the stand-ins.
func (w *world) close() {
	for _, d := range w.daemons {
		if d.running() {
			_ = d.cmd.Process.Kill()
			<-d.ended
		}
	}
	for _, c := range w.held {
		_ = c.Close()
	}
	if keep := os.Getenv("KEEP"); keep == "" {
		_ = os.RemoveAll(w.folder)
	}
	_ = w.record.Close()
}

// configuration returns the operator's configuration: a route of plain answers, one of streams and two tenants.
func configuration() string {
	const (
		routes = `{"name":"lookup","host":"h","prefix":"/lookup/","kind":"idempotent","timeoutMs":1200,"sloMs":150,"priority":2,"service":"app","attempts":2,"public":false},
{"name":"alert","host":"h","prefix":"/alert/","kind":"streaming","timeoutMs":3000,"sloMs":500,"priority":0,"service":"pool","attempts":2,"public":false,"sticky":true,"canResume":true,"gapAimMs":250}`
		services = `{"name":"app","healthPath":"/healthz","maxConns":110},
{"name":"pool","healthPath":"/healthz","maxConns":370,"engine":{"slots":64,"kvTokens":909650,"kvBytes":35136,"linkMbps":350000.0,"moves":true,"backups":true,"stride":5,"handleS":5.0,"models":[{"name":"m"}]}}`
		limits  = `{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerMs":3000,"idleMs":15000}`
		tenants = `{"name":"small","apiKeys":["key-small"],"priority":1,"unit":"token_stream","plainTokens":200,"ratePerS":306610,"burst":306610},
{"name":"other","apiKeys":["key-other"],"priority":1,"unit":"token_stream","plainTokens":200,"ratePerS":306610,"burst":306610}`
	)
	return strings.Join([]string{`{"version":7,"routes":[`, routes, `],"services":[`, services, `],"limits":`, limits, `,"tenants":[`, tenants, `]}`}, "")
}
