package processtest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	startLimit = 30 * time.Second
	stopLimit  = 40 * time.Second
	// clusterLimit is the number of clusters at once.
	clusterLimit = 6
)

var (
	binary   string
	clusters = make(chan struct{}, clusterLimit)
)

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// buildAndRun builds the binary once for all tests.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "processtest-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "gooseberryslip")
	build := exec.Command("go", "build", "-o", binary, "github.com/gooseberryslip/gooseberryslip/cmd/gooseberryslip")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is one process of the binary. It is killed when its test ends.
type process struct {
	t      testing.TB
	cmd    *exec.Cmd
	output *lockedBuffer
	ended  chan struct{}
	err    error // set once ended
}

// startProcess starts the binary and decodes the report that it prints.
func startProcess(t testing.TB, report any, args ...string) *process {
	t.Helper()
	p := &process{t: t, output: &lockedBuffer{}, ended: make(chan struct{})}
	p.cmd = exec.Command(binary, args...)
	p.cmd.Stderr = p.output
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.kill)
	decoded := make(chan error, 1)
	go func() {
		decoded <- json.NewDecoder(out).Decode(report)
		p.err = p.cmd.Wait()
		close(p.ended)
	}()
	select {
	case err = <-decoded:
	case <-time.After(startLimit):
		err = fmt.Errorf("no report within %s", startLimit)
	}
	if err != nil {
		t.Fatalf("%v: %v\n%s", args, err, p.output)
	}
	return p
}

// signal sends a signal to this process alone.
func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.ended:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// kill ends the process as a crash does.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

func (p *process) freeze() { p.signal(syscall.SIGSTOP) }

func (p *process) thaw() { p.signal(syscall.SIGCONT) }

// terminate asks for a planned stop and waits for its end.
func (p *process) terminate() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	p.awaitEnd(stopLimit)
}

// awaitEnd waits for the process to end by itself, without an error.
func (p *process) awaitEnd(limit time.Duration) {
	p.t.Helper()
	select {
	case <-p.ended:
		if p.err != nil {
			p.t.Errorf("the process ended with %v\n%s", p.err, p.output)
		}
	case <-time.After(limit):
		p.t.Errorf("the process still runs %s after it was asked to stop\n%s", limit, p.output)
	}
}

// lockedBuffer collects what a process writes to standard error.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}
