package command

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/adminapi"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/settings"
	"github.com/gooseberryslip/gooseberryslip/internal/system/configuration"
	"github.com/gooseberryslip/gooseberryslip/internal/timeline"
)

// fakeDaemon serves the administration API from memory. It applies a change only if
// the document still has the revision that was edited.
type fakeDaemon struct {
	mu        sync.Mutex
	name      entity.InstanceID
	documents []configuration.Document // all changes, oldest first
	peers     []adminapi.PeerStatus
	tableDown bool           // the table service does not answer
	inFlight  int            // requests on the backend server app-1
	plan      *adminapi.Plan // nil: the daemon knows of no planner
	onDrain   func()         // called by Drain
	recorder  *timeline.Recorder
}

func (d *fakeDaemon) latest(s entity.ServiceName) (configuration.Document, bool) {
	for i := len(d.documents) - 1; i >= 0; i-- {
		if d.documents[i].Service == s {
			return d.documents[i], true
		}
	}
	return configuration.Document{}, false
}

func (d *fakeDaemon) Apply(_ context.Context, c configuration.Change) (configuration.ApplyOutcome, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	inForce, _ := d.latest(c.Service)
	switch {
	case d.tableDown:
		return configuration.ApplyOutcome{Status: configuration.Unavailable}, nil
	case inForce.Revision != c.ReadRevision:
		return configuration.ApplyOutcome{Status: configuration.Conflict, CurrentDocument: inForce, SubmittedText: c.Text}, nil
	}
	doc := configuration.Document{
		Service: c.Service, Revision: uint64(len(d.documents)) + 1, Author: c.Author, Operation: c.Operation,
		Text: c.Text, Deleted: c.Text == "",
	}
	d.documents = append(d.documents, doc)
	return configuration.ApplyOutcome{Service: c.Service, Status: configuration.Applied, Revision: doc.Revision}, nil
}

func (d *fakeDaemon) Documents(context.Context) ([]configuration.Document, error) {
	return d.documents, nil
}

func (d *fakeDaemon) Document(_ context.Context, s entity.ServiceName) (configuration.Document, bool, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	doc, found := d.latest(s)
	return doc, found, nil
}

func (d *fakeDaemon) History(_ context.Context, s entity.ServiceName) ([]configuration.Document, error) {
	return d.documents, nil
}

func (d *fakeDaemon) Status(context.Context) (adminapi.Status, error) {
	return adminapi.Status{
		Daemon: adminapi.DaemonStatus{Instance: d.name, Revision: uint64(len(d.documents)), ConfigurationCurrent: true},
		Peers:  d.peers,
		Services: []adminapi.ServiceStatus{{
			Service: "prices", BackendServers: []adminapi.BackendServerStatus{{ID: "app-1", InFlight: d.inFlight}},
		}},
	}, nil
}

func (d *fakeDaemon) Plan(context.Context, entity.ServiceName) (adminapi.Plan, bool, error) {
	if d.plan == nil {
		return adminapi.Plan{}, false, nil
	}
	return *d.plan, true, nil
}

func (d *fakeDaemon) Drain(context.Context) error { go d.onDrain(); return nil }

func (d *fakeDaemon) Events(_ context.Context, f timeline.Filter) (timeline.Export, error) {
	return d.recorder.Export(f), nil
}

func (d *fakeDaemon) NotReady() string       { return "" }
func (d *fakeDaemon) WriteMetrics(io.Writer) {}

// annaOperator authenticates the operator anna by the token "secret".
type annaOperator struct{}

func (annaOperator) Name(token string) (string, bool) { return "anna", token == "secret" }

// testCLI runs subcommands against a fake daemon and records their output.
type testCLI struct {
	t      *testing.T
	daemon *fakeDaemon
	server *httptest.Server
	dir    string
	stdout string
	stderr string
}

func newTestCLI(t *testing.T) *testCLI {
	t.Helper()
	c := &testCLI{t: t, dir: t.TempDir()}
	c.daemon, c.server = startDaemon(t, "d1")
	c.writeFile("token", "secret\n")
	t.Setenv("GOOSEBERRYSLIP_ADMIN", c.server.URL)
	t.Setenv("GOOSEBERRYSLIP_TOKEN_FILE", c.filePath("token"))
	return c
}

func startDaemon(t *testing.T, name entity.InstanceID) (*fakeDaemon, *httptest.Server) {
	t.Helper()
	d := &fakeDaemon{name: name, recorder: timeline.NewRecorder(name, "west-a", 0)}
	s := httptest.NewServer(adminapi.NewHandler(d, annaOperator{}))
	t.Cleanup(s.Close)
	return d, s
}

func (c *testCLI) filePath(name string) string { return filepath.Join(c.dir, name) }

func (c *testCLI) writeFile(name, text string) string {
	c.t.Helper()
	if err := os.WriteFile(c.filePath(name), []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return c.filePath(name)
}

func (c *testCLI) readFile(name string) string {
	c.t.Helper()
	data, err := os.ReadFile(c.filePath(name))
	if err != nil {
		c.t.Fatal(err)
	}
	return string(data)
}

// run runs a command line, records its output and checks its exit code.
func (c *testCLI) run(want int, args ...string) {
	c.t.Helper()
	var stdout, stderr bytes.Buffer
	got := Run(context.Background(), args, &stdout, &stderr)
	c.stdout, c.stderr = stdout.String(), stderr.String()
	if got != want {
		c.t.Fatalf("%v: exit code %d, want %d\n%s%s", args, got, want, c.stdout, c.stderr)
	}
}

// requireContains checks that a text contains all parts.
func (c *testCLI) requireContains(text string, parts ...string) {
	c.t.Helper()
	for _, p := range parts {
		if !strings.Contains(text, p) {
			c.t.Fatalf("%q lacks %q", text, p)
		}
	}
}

const forecastFile = "../../examples/quickstart/forecast.toml"

func TestRun_ApplyGetEditApply(t *testing.T) {
	c := newTestCLI(t)
	c.run(ExitFailed, "diff", forecastFile)
	c.run(ExitOK, "apply", forecastFile)
	c.requireContains(c.stdout, "forecast: in force as revision 1")
	c.run(ExitOK, "diff", forecastFile)
	c.run(ExitOK, "get", "forecast")
	mine := c.writeFile("mine.toml", strings.Replace(c.stdout, "weight = 4", "weight = 5", 1))
	theirs := c.writeFile("theirs.toml", strings.Replace(c.stdout, "weight = 4", "weight = 6", 1))
	c.run(ExitOK, "apply", mine)
	c.requireContains(c.readFile("mine.toml"), "# revision 2\n")
	c.run(ExitConflict, "apply", theirs)
	c.requireContains(c.stderr, "changed to revision 2 by anna", "-weight = 5", "+weight = 6")
	c.requireContains(c.readFile("theirs.toml"), "# revision 1\n")
	c.run(ExitConflict, "--output", "json", "apply", theirs)
	var report errorReport
	if err := json.Unmarshal([]byte(c.stdout), &report); err != nil || report.Error.Theirs.Revision != 2 {
		t.Fatalf("the report must hold the other change, revision 2: error %v, output %s", err, c.stdout)
	}
	c.run(ExitOK, "history", "forecast", "--revision", "1")
	if c.stdout != c.daemon.documents[0].Text {
		t.Fatal("history does not print the text of revision 1")
	}
	c.run(ExitOK, "apply", "--delete", "forecast")
	c.run(ExitFailed, "get", "forecast")
	c.run(ExitOK, "apply", forecastFile)
	c.requireContains(c.stdout, "revision 4")
}

func TestRun_TableDownIsReported(t *testing.T) {
	c := newTestCLI(t)
	c.daemon.tableDown = true
	c.run(ExitUnavailable, "apply", forecastFile)
	c.requireContains(c.stderr, "did not answer in time", "Nothing was written")
}

func TestRun_MistakesAreAnswered(t *testing.T) {
	c := newTestCLI(t)
	c.run(ExitUsage, "deploy")
	c.run(ExitUsage)
	c.run(ExitUsage, "apply")
	c.run(ExitUsage, "status", "--output", "xml")
	c.run(ExitUsage, "check-settings", "d.toml", "--set", "listen")
	c.run(ExitFailed, "validate", "missing.toml")
	c.requireContains(c.stderr, "no such file")
	c.run(ExitFailed, "validate", "../servicedoc/testdata/bad/values.toml")
	c.requireContains(c.stderr, "values.toml:4: colour: unknown key")
	c.run(ExitFailed, "apply", "../servicedoc/testdata/bad/values.toml")
	c.run(ExitUnavailable, "get", "--admin", "127.0.0.1:1")
	c.requireContains(c.stderr, "Is the daemon running")
	c.run(ExitFailed, "get", "--token-file", c.writeFile("wrong", "guess"))
	c.requireContains(c.stderr, "Give --token-file")
	if err := os.Chmod(c.filePath("token"), 0o644); err != nil {
		t.Fatal(err)
	}
	c.run(ExitFailed, "get")
	c.requireContains(c.stderr, "chmod 600")
	t.Setenv("GOOSEBERRYSLIP_TOKEN_FILE", "")
	c.run(ExitUsage, "get")
}

func TestRun_StatusAsksPeers(t *testing.T) {
	c := newTestCLI(t)
	peer, other := startDaemon(t, "d2")
	c.daemon.inFlight, peer.inFlight = 3, 4
	c.run(ExitOK, "apply", forecastFile)
	c.daemon.peers = []adminapi.PeerStatus{
		{Instance: "d2", State: "alive", AdminAddress: strings.TrimPrefix(other.URL, "http://")},
		{Instance: "d3", State: "suspect", AdminAddress: "127.0.0.1:1"},
	}
	c.run(ExitOK, "status")
	c.requireContains(c.stdout, "d1", "d2", "d3", "daemon does not answer", "revision 1; 1 daemons behind it")
	c.run(ExitOK, "status", "--output", "json")
	var s fleetStatus
	if err := json.Unmarshal([]byte(c.stdout), &s); err != nil || len(s.Daemons) != 3 || s.Revision != 1 || s.Services[0].BackendServers[0].InFlight != 7 {
		t.Fatalf("want 3 daemons, revision 1 and 7 requests in flight: error %v, output %s", err, c.stdout)
	}
}

func TestRun_TimelineMergesPeers(t *testing.T) {
	c := newTestCLI(t)
	peer, other := startDaemon(t, "d2")
	c.daemon.peers = []adminapi.PeerStatus{
		{Instance: "d2", AdminAddress: strings.TrimPrefix(other.URL, "http://")}, {Instance: "d3", AdminAddress: "127.0.0.1:1"},
	}
	now := time.Now()
	c.daemon.recorder.Record(now, event.Event{Number: event.HandoffOffered, Request: "r1"})
	peer.recorder.Record(now.Add(time.Millisecond), event.Event{Number: event.HandoffAccepted, Request: "r1"})
	peer.recorder.Record(now, event.Event{Number: event.HandoffAccepted, Request: "r2"})
	c.run(ExitOK, "timeline", "--request", "r1")
	lines := strings.Split(strings.TrimSpace(c.stdout), "\n")
	if len(lines) != 2 || !strings.Contains(lines[0], "d1") || !strings.Contains(lines[1], "d2") {
		t.Fatal(c.stdout)
	}
	c.requireContains(c.stderr, "d3 is left out")
	c.run(ExitOK, "timeline", "--html", c.filePath("page.html"))
	c.requireContains(c.readFile("page.html"), "<title>Time line</title>", "r2")
}

func TestRun_DrainWaitsForStop(t *testing.T) {
	c := newTestCLI(t)
	stopped := make(chan struct{})
	c.daemon.onDrain = func() {
		c.server.Config.SetKeepAlivesEnabled(false)
		c.server.Listener.Close()
		close(stopped)
	}
	c.run(ExitOK, "drain", "--wait")
	<-stopped
	c.requireContains(c.stdout, "has stopped")
}

func TestRun_CheckSettingsNamesEveryProblem(t *testing.T) {
	c := newTestCLI(t)
	c.run(ExitFailed, "check-settings", "../../examples/kerlann/daemon-armor-a-1.toml", "--set", "log.level=info")
	c.requireContains(c.stderr, "tls.peers.key", "operators.credentials")
	if settings.VariableName("listen.callers") != "GOOSEBERRYSLIP_LISTEN_CALLERS" {
		t.Fatal("listen.callers is not overridden by GOOSEBERRYSLIP_LISTEN_CALLERS")
	}
	c.run(ExitOK, "version", "--output", "json")
	c.requireContains(c.stdout, `"version"`)
}

func TestLoad_NobodyAnswers(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	var out, errs bytes.Buffer
	args := []string{"load", "--address", address, "--organisation", "a=b", "--rate", "50", "--duration", "100ms"}
	if code := Run(t.Context(), args, &out, &errs); code != ExitUnavailable {
		t.Fatalf("exit code %d, want %d: %s%s", code, ExitUnavailable, out.String(), errs.String())
	}
}
