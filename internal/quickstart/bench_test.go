package quickstart

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"io/fs"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/examples"
	"github.com/gooseberryslip/gooseberryslip/internal/standin"
)

const (
	benchFirstTokenDelay = 10 * time.Millisecond
	benchTokenInterval   = time.Millisecond
	latencyPercentile    = 95
)

// benchCluster starts daemons whose engines are stand-ins with a constant delay
// before the first token.
func benchCluster(b *testing.B, daemons int) *Cluster {
	b.Helper()
	docs, err := fs.Sub(examples.Quickstart, "quickstart")
	if err != nil {
		b.Fatal(err)
	}
	c, err := StartCluster(context.Background(), Options{
		Daemons: daemons, Documents: docs, Log: io.Discard, StopGrace: time.Second, LogLevel: "error",
		Engine: standin.EngineConfig{FirstTokenDelay: benchFirstTokenDelay, TokenInterval: benchTokenInterval},
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(c.Close)
	return c
}

// processUsage is the processor time and the number of heap allocations that this
// process has used since its start.
type processUsage struct {
	cpu     time.Duration
	mallocs uint64
}

func currentUsage(b *testing.B) processUsage {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return processUsage{time.Duration(u.Utime.Nano() + u.Stime.Nano()), m.Mallocs}
}

// requestPath is one way to reach a model engine, through a daemon or directly,
// with the measurements of the requests sent that way.
type requestPath struct {
	newRequest       func(prompt string, tokens int) *http.Request
	firstTokenDelays []time.Duration
	usage            processUsage
}

// sendRequest sends one streamed request, reads the complete response and adds
// the measurements.
func (p *requestPath) sendRequest(b *testing.B, prompt string, tokens int) {
	b.Helper()
	before := currentUsage(b)
	start := time.Now()
	resp, err := http.DefaultClient.Do(p.newRequest(prompt, tokens))
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		b.Fatalf("streamed request: got status %s, want 200", resp.Status)
	}
	lines := bufio.NewScanner(resp.Body)
	events := 0
	for lines.Scan() {
		if !strings.HasPrefix(lines.Text(), "data:") {
			continue
		}
		if events == 0 {
			p.firstTokenDelays = append(p.firstTokenDelays, time.Since(start))
		}
		events++
	}
	if events <= tokens {
		b.Fatalf("stream has %d events for %d tokens, want at least one more than tokens", events, tokens)
	}
	after := currentUsage(b)
	p.usage.cpu += after.cpu - before.cpu
	p.usage.mallocs += after.mallocs - before.mallocs
}

// firstTokenPercentile returns the 95th percentile of the time to the first token.
func (p *requestPath) firstTokenPercentile() time.Duration {
	slices.Sort(p.firstTokenDelays)
	return p.firstTokenDelays[(len(p.firstTokenDelays)-1)*latencyPercentile/100]
}

// requestPaths returns the path through a daemon and the direct one to an engine.
func requestPaths(b *testing.B, c *Cluster) (viaDaemon, direct *requestPath) {
	engine := c.Services[0].BackendServers[0].Address
	daemon := c.Nodes[len(c.Nodes)-1].CallerAddress()
	requestNumber := 0
	viaDaemon = &requestPath{newRequest: func(prompt string, tokens int) *http.Request {
		body := fmt.Sprintf(`{"prompt":%q,"max_tokens":%d,"stream":true}`, prompt, tokens)
		r := newPostRequest(b, "http://"+daemon+"/v1/services/forecast/requests", body)
		r.Header.Set("Authorization", "Bearer "+demoToken)
		return r
	}}
	direct = &requestPath{newRequest: func(prompt string, tokens int) *http.Request {
		requestNumber++
		body := fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":%d,"stream":true,"request_id":"direct-%d","attempt":1}`, prompt, tokens, requestNumber)
		return newPostRequest(b, "http://"+engine+"/v1/completions", body)
	}}
	return viaDaemon, direct
}

func newPostRequest(b *testing.B, url, body string) *http.Request {
	b.Helper()
	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	r.Header.Set("Content-Type", "application/json")
	return r
}

// BenchmarkCluster_Overhead sends the same streamed requests in turn through a
// daemon and directly to a model engine. The time added to the first token is
// the difference of the 95th percentiles. Processor time and allocations are
// measured over the whole process, which includes the client of the benchmark on
// both paths, so that their difference is what the daemons add.
func BenchmarkCluster_Overhead(b *testing.B) {
	for _, daemons := range []int{1, 3} {
		for _, tokens := range []int{1, 51} {
			b.Run(fmt.Sprintf("daemons=%d/tokens=%d", daemons, tokens), func(b *testing.B) {
				measureOverhead(b, daemons, tokens)
			})
		}
	}
}

func measureOverhead(b *testing.B, daemons, tokens int) {
	c := benchCluster(b, daemons)
	viaDaemon, direct := requestPaths(b, c)
	for i := range 20 { // so that the first calls, which open connections and grow buffers, are not measured
		viaDaemon.sendRequest(b, fmt.Sprint("warm-up ", i), tokens)
		direct.sendRequest(b, fmt.Sprint("warm-up ", i), tokens)
	}
	viaDaemon.firstTokenDelays, direct.firstTokenDelays, viaDaemon.usage, direct.usage = nil, nil, processUsage{}, processUsage{}
	i := 0
	for b.Loop() {
		i++
		prompt := fmt.Sprintf("%d %s", i, strings.Repeat("word ", 100))
		viaDaemon.sendRequest(b, prompt, tokens)
		direct.sendRequest(b, prompt, tokens)
	}
	added := viaDaemon.firstTokenPercentile() - direct.firstTokenPercentile()
	b.ReportMetric(float64(added.Microseconds())/1000, "added-ms-p95")
	b.ReportMetric(viaDaemon.firstTokenPercentile().Seconds()/direct.firstTokenPercentile().Seconds(), "ratio-p95")
	b.ReportMetric(float64((viaDaemon.usage.cpu-direct.usage.cpu).Microseconds())/float64(b.N), "added-cpu-µs/request")
	b.ReportMetric((float64(viaDaemon.usage.mallocs)-float64(direct.usage.mallocs))/float64(b.N), "added-allocs/request")
}
