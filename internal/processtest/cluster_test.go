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
	operatorToken      = "processtest-operator"
	callerToken        = "processtest-caller"
	callerOrganisation = entity.OrganisationID("org")
	modelService       = entity.ServiceName("forecast")
	plainService       = entity.ServiceName("prices")
	// convergenceTimeout bounds the time until every daemon sees all others alive,
	// and the time until the service documents are in force on all daemons.
	convergenceTimeout = 40 * time.Second
	// pollInterval is the pause between two checks of an awaited condition.
	pollInterval = 50 * time.Millisecond
	// stopGrace is the longest time that a planned stop of a daemon may take.
	stopGrace = 12 * time.Second
)

// options configures a cluster. Zero fields get the defaults that withDefaults
// sets; field comments name them.
type options struct {
	daemons         int           // default 3
	engines         int           // default 3
	firstTokenDelay time.Duration // default 5 ms
	tokenInterval   time.Duration // default 5 ms
	plainDelay      time.Duration // how long a plain call takes
	distinctAnswers bool          // each backend server gives different answers
	tokenTimeout    time.Duration // default 2 s
}

func (o options) withDefaults() options {
	if o.daemons == 0 {
		o.daemons = 3
	}
	if o.engines == 0 {
		o.engines = 3
	}
	if o.firstTokenDelay == 0 {
		o.firstTokenDelay = 5 * time.Millisecond
	}
	if o.tokenInterval == 0 {
		o.tokenInterval = 5 * time.Millisecond
	}
	if o.tokenTimeout == 0 {
		o.tokenTimeout = 2 * time.Second
	}
	return o
}

// cluster is the stand-in process and the daemons of one test.
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

// daemonProcess is one daemon, with a relay for the datagrams that peers send to
// it and a relay for its connections to the table service.
type daemonProcess struct {
	*process
	index        int
	relay        *udpRelay
	table        *tcpRelay
	settingsFile string // path of the settings file
	report       struct{ Instance, Callers, Peers, Admin string }
}

// startCluster starts the stand-ins and the daemons and waits until the
// documents of both services are in force on all daemons.
func startCluster(t testing.TB, o options) *cluster {
	t.Helper()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
	c := &cluster{t: t, options: o.withDefaults(), dir: t.TempDir(), network: newNetwork(t)}
	var err error
	if c.authority, err = peer.NewSelfSignedAuthority(time.Hour); err != nil {
		t.Fatal(err)
	}
	c.startStandIn()
	for i := range c.options.daemons {
		c.daemons = append(c.daemons, &daemonProcess{
			index: i, relay: c.network.newRelay(t, i),
			table: newTCPRelay(t, strings.TrimPrefix(c.addresses.Table, "http://")),
		})
	}
	for _, d := range c.daemons {
		c.writeSettings(d)
		c.startDaemon(d)
	}
	c.await(convergenceTimeout, "the daemons to know each other", c.allPeersAlive)
	c.mustApplyDocument(0, modelService, c.modelDocument(c.addresses.Engines, 1))
	c.mustApplyDocument(0, plainService, c.plainDocument())
	c.await(convergenceTimeout, "the services to be in force", func() bool { return c.revisionInForce(2) })
	t.Cleanup(func() {
		if t.Failed() {
			c.logDaemonOutput()
		}
	})
	return c
}

func (c *cluster) startStandIn() {
	o := c.options
	args := []string{
		"--output", "json", "standin", "--engines", fmt.Sprint(o.engines), "--plains", "2", "--slots", "16",
		"--first-token", o.firstTokenDelay.String(), "--between-tokens", o.tokenInterval.String(),
		"--plain-delay", o.plainDelay.String(),
	}
	if o.distinctAnswers {
		args = append(args, "--variants")
	}
	c.standin = startProcess(c.t, &c.addresses, args...)
}

// startDaemon starts a daemon on free ports, unless extraArgs set other ones.
func (c *cluster) startDaemon(d *daemonProcess, extraArgs ...string) {
	c.t.Helper()
	args := append([]string{"--output", "json", "daemon", d.settingsFile}, extraArgs...)
	d.process = startProcess(c.t, &d.report, args...)
	d.relay.setTarget(d.report.Peers)
}

// restartDaemon starts a daemon again after its process has exited, on the same
// ports, as on a real instance.
func (c *cluster) restartDaemon(d *daemonProcess) {
	c.t.Helper()
	c.startDaemon(d, "--set", "listen.callers="+d.report.Callers,
		"--set", "listen.peers="+d.report.Peers, "--set", "listen.admin="+d.report.Admin)
}

// writeFile writes a file that only its owner may read, and returns its path.
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

// writeSettings writes a daemon's settings file, certificates and credentials.
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
	for _, seedDaemon := range c.daemons {
		seeds = append(seeds, fmt.Sprintf("%q", seedDaemon.relay.address()))
	}
	d.settingsFile = c.writeFile(fmt.Sprintf("daemon-%d.toml", d.index), fmt.Sprintf(`
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
		d.table.address(), platform, c.addresses.Objects, c.addresses.Cloud, stopGrace.String()))
}

// dataCentre returns the data centre of the daemon or backend server with this
// index; they are spread over three data centres.
func dataCentre(index int) string { return fmt.Sprintf("dc-%c", 'a'+index%3) }

// modelDocument returns the document of the model service with these engines and
// this weight of the organisation.
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
	writeBackendServers(&b, engines)
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
	writeBackendServers(&b, c.addresses.PlainServers)
	return b.String()
}

func writeOrganisation(b *strings.Builder, weight int) {
	fmt.Fprintf(b, "[[organisations]]\nid = %q\ncredential_sha256 = %q\nweight = %d\n"+
		"requests_per_second = 2000\nrequest_burst = 4000\ntokens_per_second = 2000000\ntop_priority = 0\n",
		callerOrganisation, sha256Hex(callerToken), weight)
}

func writeBackendServers(b *strings.Builder, backends []standin.BackendEndpoint) {
	for i, e := range backends {
		fmt.Fprintf(b, "[[backend_servers]]\nid = %q\naddress = %q\nregion = \"local\"\ndata_centre = %q\nslots = 16\n",
			e.ID, e.Address, dataCentre(i))
	}
}

// adminClient returns a client of a daemon's administration API.
func (c *cluster) adminClient(i int) *adminapi.Client {
	return &adminapi.Client{
		Address: c.daemons[i].report.Admin, Token: operatorToken,
		HTTP: &http.Client{Timeout: 15 * time.Second},
	}
}

// applyDocument replaces a service document through one daemon, provided that
// its revision is still readRevision.
func (c *cluster) applyDocument(i int, s entity.ServiceName, text string, readRevision uint64) (configuration.ApplyOutcome, error) {
	return c.adminClient(i).Apply(context.Background(), configuration.Change{
		Operation: uuid.NewString(), Service: s, Text: text, ReadRevision: readRevision,
	})
}

// mustApplyDocument replaces a service document whatever its revision is, and
// returns the new revision.
func (c *cluster) mustApplyDocument(i int, s entity.ServiceName, text string) uint64 {
	c.t.Helper()
	d, _, err := c.adminClient(i).Document(context.Background(), s)
	if err != nil {
		c.t.Fatal(err)
	}
	out, err := c.applyDocument(i, s, text, d.Revision)
	if err != nil || out.Status != configuration.Applied {
		c.t.Fatalf("document was not applied: error %v, outcome %+v", err, out)
	}
	return out.Revision
}

// daemonStatus reads the status of a daemon. The second result is false if the
// daemon does not answer within 2 s.
func (c *cluster) daemonStatus(i int) (adminapi.Status, bool) {
	client := c.adminClient(i)
	client.HTTP.Timeout = 2 * time.Second
	s, err := client.Status(context.Background())
	return s, err == nil
}

// allPeersAlive reports whether each daemon has a current configuration and sees
// all others alive.
func (c *cluster) allPeersAlive() bool {
	for i := range c.daemons {
		s, ok := c.daemonStatus(i)
		if !ok || !s.Daemon.ConfigurationCurrent {
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

// revisionInForce reports whether all daemons have reached a revision.
func (c *cluster) revisionInForce(revision uint64) bool {
	for i := range c.daemons {
		if s, ok := c.daemonStatus(i); !ok || s.Daemon.Revision < revision {
			return false
		}
	}
	return true
}

// await polls until a condition holds, and fails the test after the timeout.
func (c *cluster) await(timeout time.Duration, what string, cond func() bool) {
	c.t.Helper()
	end := time.Now().Add(timeout)
	for !cond() {
		if time.Now().After(end) {
			c.t.Fatalf("waited %s for %s", timeout, what)
		}
		time.Sleep(pollInterval)
	}
}

// postToStandIn sends a JSON body to a stand-in. It may be called from any
// goroutine of the test, as it never calls Fatal.
func (c *cluster) postToStandIn(url string, body any) {
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
		c.t.Errorf("POST to stand-in %s: got status %s", url, resp.Status)
	}
}

func (c *cluster) setTableFaults(f standin.FaultSettings) {
	c.postToStandIn(c.addresses.Table+"/_faults", f)
}

func (c *cluster) setEngineFaults(i int, f standin.EngineFaults) {
	c.postToStandIn("http://"+c.addresses.Engines[i].Address+"/_faults", f)
}

// controlBackendServer sends an action, /_kill or /_restart, for one backend
// server to the stand-ins.
func (c *cluster) controlBackendServer(action, id string) {
	c.postToStandIn(c.addresses.Control+action, map[string]string{"id": id})
}

// announceReclaim has the cloud stand-in give notice that it reclaims an
// instance.
func (c *cluster) announceReclaim(instance string, notice time.Duration) {
	c.postToStandIn(c.addresses.Cloud+"/_reclaim", standin.ReclaimRequest{Instance: instance, NoticeMS: int(notice.Milliseconds())})
}

// runRecords reads the records that a backend server keeps of its executions.
func (c *cluster) runRecords(b standin.BackendEndpoint) []standin.Run {
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

// countRuns counts the executions of a prompt or body on these backend servers.
func (c *cluster) countRuns(prompt string, backends []standin.BackendEndpoint) int {
	c.t.Helper()
	n := 0
	for _, b := range backends {
		for _, r := range c.runRecords(b) {
			if r.PromptDigest == standin.PromptDigest(prompt) {
				n++
			}
		}
	}
	return n
}

// recordedEvents returns the events that a daemon has recorded; none if it does
// not answer.
func (c *cluster) recordedEvents(i int, f timeline.Filter) []timeline.Entry {
	out, err := c.adminClient(i).Events(context.Background(), f)
	if err != nil {
		return nil
	}
	return out.Entries
}

// logDaemonOutput writes the last bytes of each daemon's log to the test log.
func (c *cluster) logDaemonOutput() {
	const tail = 3000 // bytes
	for _, d := range c.daemons {
		text := d.stderr.String()
		c.t.Logf("daemon-%d:\n%s", d.index, text[max(0, len(text)-tail):])
	}
}
