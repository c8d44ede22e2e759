package quickstart

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/fstest"
	"time"

	"github.com/gooseberryslip/gooseberryslip/examples"
	"github.com/gooseberryslip/gooseberryslip/internal/standin"
)

// managedFleetSection is the section of a service document that states which
// instances a managed service may start.
const managedFleetSection = `
[fleet]
min_servers = 1
max_servers = 4
slots_per_host = 8
classes = ["gpu"]
data_centres = ["local-a", "local-b", "local-c"]
max_hourly_cost = 0
model = "m"
port = 9000
checks_fences = true
`

// managedDocument returns the example document of the service "forecast" in manage
// mode, without its backend servers.
func managedDocument(t *testing.T) string {
	t.Helper()
	text, err := examples.Quickstart.ReadFile("quickstart/forecast.toml")
	if err != nil {
		t.Fatal(err)
	}
	head, _, _ := strings.Cut(string(text), "[[backend_servers]]")
	return strings.Replace(head, `mode = "route"`, `mode = "manage"`, 1) + managedFleetSection
}

// startManagedCluster starts a cluster whose only service is managed and has no
// backend servers yet.
func startManagedCluster(t *testing.T) *Cluster {
	t.Helper()
	var prices []standin.CloudPrice
	for _, dc := range []string{"local-a", "local-b", "local-c"} {
		prices = append(prices, standin.CloudPrice{DataCentre: dc, Class: "gpu", PerHour: 0.3})
	}
	c, err := StartCluster(context.Background(), Options{
		Daemons: 3, Log: io.Discard, StopGrace: 10 * time.Second,
		Documents: fstest.MapFS{"forecast.toml": {Data: []byte(managedDocument(t))}},
		Engine:    standin.EngineConfig{FirstTokenDelay: time.Millisecond, TokenInterval: time.Millisecond},
		Cloud:     standin.CloudConfig{Prices: prices, StartDelay: time.Second, ListLag: time.Second},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// awaitCondition polls until the condition holds, and fails the test after the
// timeout.
func awaitCondition(t *testing.T, timeout time.Duration, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(timeout); !cond(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited %v for %s", timeout, what)
		}
	}
}

// minServerCount returns the smallest number of backend servers that any daemon
// knows for a service, or -1 if no daemon knows a service.
func (c *Cluster) minServerCount() int {
	minCount := -1
	for _, n := range c.Nodes {
		for _, s := range n.Daemon().View().Services {
			if minCount < 0 || len(s.BackendServers) < minCount {
				minCount = len(s.BackendServers)
			}
		}
	}
	return minCount
}

func TestCluster_ManagedServiceAnswersFromStartedInstances(t *testing.T) {
	c := startManagedCluster(t)
	awaitCondition(t, 90*time.Second, "all daemons to know two started backend servers", func() bool { return c.minServerCount() >= 2 })
	want := standin.ExpectedText("tram line 1", 7, 12)
	for _, n := range c.Nodes {
		resp := submitRequest(t, t.Context(), n.CallerAddress(), `{"prompt":"tram line 1","max_tokens":12,"seed":7}`, "")
		if got := completeText(t, resp); got != want {
			t.Fatalf("answer from a started instance: got %q, want %q", got, want)
		}
	}
	for _, i := range c.Platform.Cloud.Instances() {
		if i.Tags["gooseberryslip-service"] != "forecast" {
			t.Errorf("instance %s is not tagged with service forecast; its tags are %v", i.ID, i.Tags)
		}
	}
	awaitCondition(t, 30*time.Second, "each daemon to know a planner", func() bool {
		for _, n := range c.Nodes {
			if len(n.Daemon().View().Planners) == 0 {
				return false
			}
		}
		return true
	})
}
