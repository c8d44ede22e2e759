package processtest

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/gooseberryslip/gooseberryslip/internal/adminapi"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/peer"
	"github.com/gooseberryslip/gooseberryslip/internal/standin"
	"github.com/gooseberryslip/gooseberryslip/internal/system/configuration"
	"github.com/gooseberryslip/gooseberryslip/internal/timeline"
)

const (
	operatorToken = "processtest-operator"
	callerToken   = "processtest-caller"
	caller        = entity.OrganisationID("org")
	modelService  = entity.ServiceName("forecast")
	plainService  = entity.ServiceName("prices")
	// togetherLimit bounds the time until the daemons know each other.
	togetherLimit = 40 * time.Second
	// poll is the pause between two looks at something awaited.
	poll = 50 * time.Millisecond
	// quickGrace is the longest planned stop of the daemons.
	quickGrace = 12 * time.Second
)

// options describes a cluster; zero fields get defaults.
type options struct {
	daemons       int           // 3
	engines       int           // 3
	firstToken    time.Duration // 5 ms
	betweenTokens time.Duration // 5 ms
	plainDelay    time.Duration
	variants      bool // each backend server answers differently
	tokenTimeout  time.Duration
}

func (o options) withDefaults() options {
	if o.daemons == 0 {
		o.daemons = 3
	}
	if o.engines == 0 {
		o.engines = 3
	}
	if o.firstToken == 0 {
		o.firstToken = 5 * time.Millisecond
	}
	if o.betweenTokens == 0 {
		o.betweenTokens = 5 * time.Millisecond
	}
	if o.tokenTimeout == 0 {
		o.tokenTimeout = 2 * time.Second
	}
	return o
}

// cluster is a set of processes that belong together.
type cluster struct {
	t         testing.TB
	options   options
	dir       string
	authority *peer.Authority
	standin   *process
	addresses standin.Addresses
	network   *network
	daemons   []*daemonProcess
}

// daemonProcess is one daemon with the relays in front of it and behind it.
type daemonProcess struct {
	*process
	index  int
	relay  *udpRelay
	table  *tcpRelay
	file   string // settings
	report struct{ Instance, Callers, Peers, Admin string }
}

// startCluster runs the stand-ins and the daemons and waits until both
// services are in force everywhere.
func startCluster(t testing.TB, o options) *cluster {
	t.Helper()
	clusters <- struct{}{}
	t.Cleanup(func() { <-clusters })
	c := &cluster{t: t, options: o.withDefaults(), dir: t.TempDir(), network: newNetwork(t)}
	var err error
	if c.authority, err = peer.SelfSigned(time.Hour); err != nil {
		t.Fatal(err)
	}
	c.startStandIn()
	for i := range c.options.daemons {
		c.daemons = append(c.daemons, &daemonProcess{
			index: i, relay: c.network.relay(t, i),
			table: newTCPRelay(t, strings.TrimPrefix(c.addresses.Table, "http://")),
		})
	}
	for _, d := range c.daemons {
		c.writeSettings(d)
		c.startDaemon(d)
	}
	c.await(togetherLimit, "the daemons to know each other", c.together)
	c.mustApply(0, modelService, c.modelDocument(c.addresses.Engines, 1))
	c.mustApply(0, plainService, c.plainDocument())
	c.await(togetherLimit, "the services to be in force", func() bool { return c.inForce(2) })
	t.Cleanup(func() {
		if t.Failed() {
			c.dumpLogs()
		}
	})
	return c
}

func (c *cluster) startStandIn() {
	o := c.options
	args := []string{
		"--output", "json", "standin", "--engines", fmt.Sprint(o.engines), "--plains", "2", "--slots", "16",
		"--first-token", o.firstToken.String(), "--between-tokens", o.betweenTokens.String(),
		"--plain-delay", o.plainDelay.String(),
	}
	if o.variants {
		args = append(args, "--variants")
	}
	c.standin = startProcess(c.t, &c.addresses, args...)
}

// startDaemon starts a daemon on ports that are free.
func (c *cluster) startDaemon(d *daemonProcess, set ...string) {
	c.t.Helper()
	args := append([]string{"--output", "json", "daemon", d.file}, set...)
	d.process = startProcess(c.t, &d.report, args...)
	d.relay.setTarget(d.report.Peers)
}

// restartDaemon starts a daemon again after its process has ended. As on an
// instance, its ports stay the same.
func (c *cluster) restartDaemon(d *daemonProcess) {
	c.t.Helper()
	c.startDaemon(d, "--set", "listen.callers="+d.report.Callers,
		"--set", "listen.peers="+d.report.Peers, "--set", "listen.admin="+d.report.Admin)
}

// writeFile writes a file that only its owner may read.
func (c *cluster) writeFile(name, text string) string {
	c.t.Helper()
	const secretMode = 0o600
	file := filepath.Join(c.dir, name)
	if err := os.WriteFile(file, []byte(text), secretMode); err != nil {
		c.t.Fatal(err)
	}
	return file
}

func sha256Hex(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:])
}

// writeSettings generates a daemon's settings, certificates and credentials.
func (c *cluster) writeSettings(d *daemonProcess) {
	c.t.Helper()
	dir := filepath.Join(c.dir, fmt.Sprint("daemon-", d.index))
	if err := os.Mkdir(dir, 0o700); err != nil {
		c.t.Fatal(err)
	}
	files, err := c.authority.WriteFiles(dir)
	if err != nil {
		c.t.Fatal(err)
	}
	operators := c.writeFile("operators.toml", fmt.Sprintf(
		"[[operators]]\nname = \"tester\"\ntoken_sha256 = %q\n", sha256Hex(operatorToken)))
	platform := c.writeFile("platform.toml", "access_key_id = \"test\"\nsecret_access_key = \"test\"\n")
	var seeds []string
	for _, other := range c.daemons {
		seeds = append(seeds, fmt.Sprintf("%q", other.relay.address()))
	}
	d.file = c.writeFile(fmt.Sprintf("daemon-%d.toml", d.index), fmt.Sprintf(`
[instance]
id = "daemon-%[1]d"
region = "local"
data_centre = %[2]q
[listen]
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
admin = "127.0.0.1:0"
advertise_peers = %[3]q
[peers]
seeds = [%[4]s]
[tls.peers]
ca = %[5]q
cert = %[6]q
key = %[7]q
[operators]
credentials = %[8]q
[table]
endpoint = "http://%[9]s"
credentials = %[10]q
[object_store]
endpoint = %[11]q
[cloud]
endpoint = %[12]q
credentials = %[10]q
[metadata]
url = "%[12]s/imds/daemon-%[1]d"
[log]
level = "info"
[limits]
address_ttl = "1s"
[drain]
grace = %[13]q
`, d.index, dataCentre(d.index), d.relay.address(), strings.Join(seeds, ", "),
		files.Authority, files.Certificate, files.Key, operators,
		d.table.address(), platform, c.addresses.Objects, c.addresses.Cloud, quickGrace.String()))
}

// dataCentre spreads daemons and backend servers over three data centres.
func dataCentre(index int) string { return fmt.Sprintf("dc-%c", 'a'+index%3) }

// modelDocument returns the document of the model service for some engines.
func (c *cluster) modelDocument(engines []standin.BackendEndpoint, weight int) string {
	var b strings.Builder
	fmt.Fprintf(&b, `name = %q
mode = "route"
kind = "model"
[latency]
first_timeout = "2s"
token_timeout = %q
[retry]
max_attempts = 6
budget_ratio = 1.0
`, modelService, c.options.tokenTimeout.String())
	writeOrganisation(&b, weight)
	writeBackends(&b, engines)
	return b.String()
}

// plainDocument returns the document of the plain service.
func (c *cluster) plainDocument() string {
	var b strings.Builder
	fmt.Fprintf(&b, `name = %q
mode = "route"
kind = "plain"
[latency]
first_timeout = "3s"
token_timeout = "3s"
[retry]
max_attempts = 6
budget_ratio = 1.0
[[calls]]
method = "GET"
path_prefix = "/"
repeatable = true
[[calls]]
method = "POST"
path_prefix = "/write-downs"
repeatable = false
`, plainService)
	writeOrganisation(&b, 1)
	writeBackends(&b, c.addresses.Plains)
	return b.String()
}

func writeOrganisation(b *strings.Builder, weight int) {
	fmt.Fprintf(b, "[[organisations]]\nid = %q\ncredential_sha256 = %q\nweight = %d\n"+
		"requests_per_second = 2000\nrequest_burst = 4000\ntokens_per_second = 2000000\ntop_priority = 0\n",
		caller, sha256Hex(callerToken), weight)
}

func writeBackends(b *strings.Builder, backends []standin.BackendEndpoint) {
	for i, e := range backends {
		fmt.Fprintf(b, "[[backend_servers]]\nid = %q\naddress = %q\nregion = \"local\"\ndata_centre = %q\nslots = 16\n",
			e.ID, e.Address, dataCentre(i))
	}
}

// admin returns the client of a daemon's administration API.
func (c *cluster) admin(i int) *adminapi.Client {
	return &adminapi.Client{
		Address: c.daemons[i].report.Admin, Token: operatorToken,
		HTTP: &http.Client{Timeout: 15 * time.Second},
	}
}

// apply changes a document through one daemon.
func (c *cluster) apply(i int, s entity.ServiceName, text string, read uint64) (configuration.ApplyOutcome, error) {
	return c.admin(i).Apply(context.Background(), configuration.Change{
		Operation: uuid.NewString(), Service: s, Text: text, ReadRevision: read,
	})
}

// mustApply replaces a document whatever its revision is, and returns the new
// one.
func (c *cluster) mustApply(i int, s entity.ServiceName, text string) uint64 {
	c.t.Helper()
	d, _, err := c.admin(i).Document(context.Background(), s)
	if err != nil {
		c.t.Fatal(err)
	}
	out, err := c.apply(i, s, text, d.Revision)
	if err != nil || out.Status != configuration.Applied {
		c.t.Fatalf("apply: %v %+v", err, out)
	}
	return out.Revision
}

// status reads a daemon's view; ok is false if it does not answer.
func (c *cluster) status(i int) (adminapi.Status, bool) {
	client := c.admin(i)
	client.HTTP.Timeout = 2 * time.Second
	s, err := client.Status(context.Background())
	return s, err == nil
}

// together reports whether each daemon sees all others alive.
func (c *cluster) together() bool {
	for i := range c.daemons {
		s, ok := c.status(i)
		if !ok || !s.Daemon.Current {
			return false
		}
		alive := 0
		for _, p := range s.Peers {
			if p.State == "alive" && p.Instance != s.Daemon.Instance {
				alive++
			}
		}
		if alive != len(c.daemons)-1 {
			return false
		}
	}
	return true
}

// inForce reports whether a revision is in force on all daemons.
func (c *cluster) inForce(revision uint64) bool {
	for i := range c.daemons {
		if s, ok := c.status(i); !ok || s.Daemon.Revision < revision {
			return false
		}
	}
	return true
}

// await waits until a condition holds.
func (c *cluster) await(limit time.Duration, what string, f func() bool) {
	c.t.Helper()
	end := time.Now().Add(limit)
	for !f() {
		if time.Now().After(end) {
			c.t.Fatalf("waited %s for %s", limit, what)
		}
		time.Sleep(poll)
	}
}

// post sends a JSON body to a stand-in. It may be called from any goroutine of
// the test.
func (c *cluster) post(url string, body any) {
	c.t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		c.t.Error(err)
		return
	}
	resp, err := http.Post(url, "application/json", bytes.NewReader(data))
	if err != nil {
		c.t.Error(err)
		return
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		c.t.Errorf("%s answered %s", url, resp.Status)
	}
}

func (c *cluster) tableFaults(f standin.FaultSettings) { c.post(c.addresses.Table+"/_faults", f) }

func (c *cluster) engineFaults(i int, f standin.EngineFaults) {
	c.post("http://"+c.addresses.Engines[i].Address+"/_faults", f)
}

func (c *cluster) backend(action, id string) {
	c.post(c.addresses.Control+action, map[string]string{"id": id})
}

// reclaim announces the reclaim of an instance.
func (c *cluster) reclaim(instance string, notice time.Duration) {
	c.post(c.addresses.Cloud+"/_reclaim", standin.ReclaimRequest{Instance: instance, NoticeMS: int(notice.Milliseconds())})
}

// runs reads a backend server's own record of what it has executed.
func (c *cluster) runs(b standin.BackendEndpoint) []standin.Run {
	c.t.Helper()
	resp, err := http.Get("http://" + b.Address + "/_runs")
	if err != nil {
		c.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var out []standin.Run
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		c.t.Fatal(err)
	}
	return out
}

// runsOf counts the executions of a prompt or body over some backend servers.
func (c *cluster) runsOf(prompt string, backends []standin.BackendEndpoint) int {
	c.t.Helper()
	n := 0
	for _, b := range backends {
		for _, r := range c.runs(b) {
			if r.PromptDigest == standin.PromptDigest(prompt) {
				n++
			}
		}
	}
	return n
}

// events reads what a daemon has recorded.
func (c *cluster) events(i int, f timeline.Filter) []timeline.Entry {
	out, err := c.admin(i).Events(context.Background(), f)
	if err != nil {
		return nil
	}
	return out.Entries
}

// dumpLogs shows the ends of the daemons' logs.
func (c *cluster) dumpLogs() {
	const tail = 3000
	for _, d := range c.daemons {
		text := d.output.String()
		c.t.Logf("daemon-%d:\n%s", d.index, text[max(0, len(text)-tail):])
	}
}
