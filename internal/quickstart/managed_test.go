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

// managedFleet is what the managed service may start.
const managedFleet = `
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

// managedDocument is the example without its backend servers, in manage mode.
func managedDocument(t *testing.T) string {
	t.Helper()
	text, err := examples.Quickstart.ReadFile("quickstart/forecast.toml")
	if err != nil {
		t.Fatal(err)
	}
	head, _, _ := strings.Cut(string(text), "[[backend_servers]]")
	return strings.Replace(head, `mode = "route"`, `mode = "manage"`, 1) + managedFleet
}

// startManaged runs a small system whose one service has no servers yet.
func startManaged(t *testing.T) *Cluster {
	t.Helper()
	var prices []standin.CloudPrice
	for _, dc := range []string{"local-a", "local-b", "local-c"} {
		prices = append(prices, standin.CloudPrice{DataCentre: dc, Class: "gpu", PerHour: 0.3})
	}
	c, err := Start(context.Background(), Options{
		Daemons: 3, Log: io.Discard, Grace: 10 * time.Second,
		Documents: fstest.MapFS{"forecast.toml": {Data: []byte(managedDocument(t))}},
		Engine:    standin.EngineConfig{FirstToken: time.Millisecond, BetweenTokens: time.Millisecond},
		Cloud:     standin.CloudConfig{Prices: prices, StartDelay: time.Second, ListLag: time.Second},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// await waits until the condition holds.
func await(t *testing.T, limit time.Duration, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !cond(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited %v for %s", limit, what)
		}
	}
}

// servers returns the fewest backend servers that any daemon knows.
func (c *Cluster) servers() int {
	fewest := -1
	for _, n := range c.Nodes {
		for _, s := range n.Daemon().View().Services {
			if fewest < 0 || len(s.BackendServers) < fewest {
				fewest = len(s.BackendServers)
			}
		}
	}
	return fewest
}

func TestCluster_ManagedServiceAnswersFromStartedInstances(t *testing.T) {
	c := startManaged(t)
	await(t, 90*time.Second, "started instances on all daemons", func() bool { return c.servers() >= 2 })
	want := standin.ExpectedText("tram line 1", 7, 12)
	for _, n := range c.Nodes {
		resp := submit(t, t.Context(), n.CallerAddress(), `{"prompt":"tram line 1","max_tokens":12,"seed":7}`, "")
		if got := wholeText(t, resp); got != want {
			t.Fatalf("got %q, want %q", got, want)
		}
	}
	for _, i := range c.Platform.Cloud.Instances() {
		if i.Tags["gooseberryslip-service"] != "forecast" {
			t.Errorf("%s has the tags %v", i.ID, i.Tags)
		}
	}
	await(t, 30*time.Second, "each daemon to know the planner", func() bool {
		for _, n := range c.Nodes {
			if len(n.Daemon().View().Planners) == 0 {
				return false
			}
		}
		return true
	})
}
