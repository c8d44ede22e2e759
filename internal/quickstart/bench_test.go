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
	benchFirstToken    = 10 * time.Millisecond
	benchBetweenTokens = time.Millisecond
	percentile         = 95
)

// benchCluster runs daemons before stand-ins with a steady first token.
func benchCluster(b *testing.B, daemons int) *Cluster {
	b.Helper()
	docs, err := fs.Sub(examples.Quickstart, "quickstart")
	if err != nil {
		b.Fatal(err)
	}
	c, err := Start(context.Background(), Options{
		Daemons: daemons, Documents: docs, Log: io.Discard, Grace: time.Second, LogLevel: "error",
		Engine: standin.EngineConfig{FirstToken: benchFirstToken, BetweenTokens: benchBetweenTokens},
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(c.Close)
	return c
}

// usage is what this process has used.
type usage struct {
	cpu     time.Duration
	mallocs uint64
}

func usageNow(b *testing.B) usage {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return usage{time.Duration(u.Utime.Nano() + u.Stime.Nano()), m.Mallocs}
}

// path is a way to a model engine and what was seen on it.
type path struct {
	post  func(prompt string, tokens int) *http.Request
	first []time.Duration
	used  usage
}

// call sends one streamed request and reads it to its end.
func (p *path) call(b *testing.B, prompt string, tokens int) {
	b.Helper()
	before := usageNow(b)
	start := time.Now()
	resp, err := http.DefaultClient.Do(p.post(prompt, tokens))
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		b.Fatalf("status %s", resp.Status)
	}
	lines := bufio.NewScanner(resp.Body)
	seen := 0
	for lines.Scan() {
		if !strings.HasPrefix(lines.Text(), "data:") {
			continue
		}
		if seen == 0 {
			p.first = append(p.first, time.Since(start))
		}
		seen++
	}
	if seen <= tokens {
		b.Fatalf("%d events for %d tokens", seen, tokens)
	}
	after := usageNow(b)
	p.used.cpu += after.cpu - before.cpu
	p.used.mallocs += after.mallocs - before.mallocs
}

// percentile95 returns the 95th percentile of the time to the first token.
func (p *path) percentile95() time.Duration {
	slices.Sort(p.first)
	return p.first[(len(p.first)-1)*percentile/100]
}

// paths returns the way through a daemon and the direct one.
func paths(b *testing.B, c *Cluster) (through, direct *path) {
	engine := c.Services[0].BackendServers[0].Address
	daemon := c.Nodes[len(c.Nodes)-1].CallerAddress()
	serial := 0
	through = &path{post: func(prompt string, tokens int) *http.Request {
		body := fmt.Sprintf(`{"prompt":%q,"max_tokens":%d,"stream":true}`, prompt, tokens)
		r := newPost(b, "http://"+daemon+"/v1/services/forecast/requests", body)
		r.Header.Set("Authorization", "Bearer "+demoToken)
		return r
	}}
	direct = &path{post: func(prompt string, tokens int) *http.Request {
		serial++
		body := fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":%d,"stream":true,"request_id":"direct-%d","attempt":1}`, prompt, tokens, serial)
		return newPost(b, "http://"+engine+"/v1/completions", body)
	}}
	return through, direct
}

func newPost(b *testing.B, url, body string) *http.Request {
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
// the difference of the 95th percentiles; processor time and allocations are
// the differences of the whole process, the bench's client included on both
// sides, and so what the daemons add.
func BenchmarkCluster_Overhead(b *testing.B) {
	for _, daemons := range []int{1, 3} {
		for _, tokens := range []int{1, 51} {
			b.Run(fmt.Sprintf("daemons=%d/tokens=%d", daemons, tokens), func(b *testing.B) {
				benchOverhead(b, daemons, tokens)
			})
		}
	}
}

func benchOverhead(b *testing.B, daemons, tokens int) {
	c := benchCluster(b, daemons)
	through, direct := paths(b, c)
	for i := range 20 { // connections and buffers of the first calls
		through.call(b, fmt.Sprint("warm-up ", i), tokens)
		direct.call(b, fmt.Sprint("warm-up ", i), tokens)
	}
	through.first, direct.first, through.used, direct.used = nil, nil, usage{}, usage{}
	i := 0
	for b.Loop() {
		i++
		prompt := fmt.Sprintf("%d %s", i, strings.Repeat("word ", 100))
		through.call(b, prompt, tokens)
		direct.call(b, prompt, tokens)
	}
	added := through.percentile95() - direct.percentile95()
	b.ReportMetric(float64(added.Microseconds())/1000, "added-ms-p95")
	b.ReportMetric(through.percentile95().Seconds()/direct.percentile95().Seconds(), "ratio-p95")
	b.ReportMetric(float64((through.used.cpu-direct.used.cpu).Microseconds())/float64(b.N), "added-cpu-µs/request")
	b.ReportMetric((float64(through.used.mallocs)-float64(direct.used.mallocs))/float64(b.N), "added-allocs/request")
}
