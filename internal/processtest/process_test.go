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
	startTimeout = 30 * time.Second
	stopTimeout  = 40 * time.Second
	// maxClusters is the number of clusters that may run at the same time.
	maxClusters = 6
)

var (
	binaryPath   string
	clusterSlots = make(chan struct{}, maxClusters)
)

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// buildAndRun builds the binary once, runs all tests and returns the exit code.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "processtest-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binaryPath = filepath.Join(dir, "gooseberryslip")
	build := exec.Command("go", "build", "-o", binaryPath, "github.com/gooseberryslip/gooseberryslip/cmd/gooseberryslip")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is a running process of the binary. It is killed at the end of its
// test.
type process struct {
	t       testing.TB
	cmd     *exec.Cmd
	stderr  *lockedBuffer
	exited  chan struct{}
	exitErr error // of Wait; set before exited is closed
}

// startProcess starts the binary with these arguments and decodes the JSON report
// that it prints to standard output into report.
func startProcess(t testing.TB, report any, args ...string) *process {
	t.Helper()
	p := &process{t: t, stderr: &lockedBuffer{}, exited: make(chan struct{})}
	p.cmd = exec.Command(binaryPath, args...)
	p.cmd.Stderr = p.stderr
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
		p.exitErr = p.cmd.Wait()
		close(p.exited)
	}()
	select {
	case err = <-decoded:
	case <-time.After(startTimeout):
		err = fmt.Errorf("the process printed no report within %s", startTimeout)
	}
	if err != nil {
		t.Fatalf("start process with arguments %v: %v\n%s", args, err, p.stderr)
	}
	return p
}

// signal sends a signal to the process unless it has exited.
func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.exited:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// kill sends SIGKILL and waits for the exit; the process cannot clean up.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

func (p *process) freeze() { p.signal(syscall.SIGSTOP) }

func (p *process) unfreeze() { p.signal(syscall.SIGCONT) }

// terminate sends SIGTERM, which starts a planned stop, and waits for the exit.
func (p *process) terminate() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	p.awaitExit(stopTimeout)
}

// awaitExit checks that the process exits within the timeout and without an
// error.
func (p *process) awaitExit(timeout time.Duration) {
	p.t.Helper()
	select {
	case <-p.exited:
		if p.exitErr != nil {
			p.t.Errorf("the process exited with %v\n%s", p.exitErr, p.stderr)
		}
	case <-time.After(timeout):
		p.t.Errorf("the process did not exit within %s after SIGTERM\n%s", timeout, p.stderr)
	}
}

// lockedBuffer is a buffer for concurrent use. It collects what a process writes
// to standard error.
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
