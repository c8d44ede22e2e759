package command

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/gooseberryslip/gooseberryslip/examples"
	"github.com/gooseberryslip/gooseberryslip/internal/quickstart"
	"github.com/gooseberryslip/gooseberryslip/internal/standin"
)

// demoToken is the credential of the organisation "demo" in the examples.
const demoToken = "example-token-demo"

type quickstartCommand struct {
	Documents string        `arg:"positional" placeholder:"DIRECTORY" help:"service documents; default: the built-in examples/quickstart"`
	Daemons   int           `arg:"--daemons" default:"3" help:"number of daemons"`
	LogLevel  string        `arg:"--log-level" default:"warn" help:"lowest level that is logged: debug, info, warn or error"`
	Duration  time.Duration `arg:"--duration" help:"stop after this time; default: on SIGINT"`
}

// quickstartReport is the JSON output of the quickstart subcommand: the addresses
// and credentials of the running system.
type quickstartReport struct {
	Callers   []string          `json:"callers"` // host:port of the callers' API
	Admin     []string          `json:"admin"`   // host:port of the administration API
	TokenFile string            `json:"token_file"`
	Token     string            `json:"token"` // of the organisation "demo"
	Platform  standin.Addresses `json:"platform"`
}

// singleOperator authenticates the only operator of the system, by token.
type singleOperator struct{ token string }

// Name implements adminapi.Operators.
func (o singleOperator) Name(token string) (string, bool) { return "quickstart", token == o.token }

func (q *quickstartCommand) run(ctx context.Context, e *environment) error {
	docs, err := q.documents()
	if err != nil {
		return err
	}
	token := rand.Text()
	dir, err := os.MkdirTemp("", "gooseberryslip-quickstart-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	tokenFile := filepath.Join(dir, "operator-token")
	const secretFileMode = 0o600
	if err := os.WriteFile(tokenFile, []byte(token), secretFileMode); err != nil {
		return err
	}
	fmt.Fprintln(e.stderr, "starting stand-ins and daemons …")
	c, err := quickstart.StartCluster(context.WithoutCancel(ctx), quickstart.Options{
		Daemons: q.Daemons, Documents: docs, Log: e.stderr, LogLevel: q.LogLevel, Operators: singleOperator{token},
		Engine:    standin.EngineConfig{FirstTokenDelay: 30 * time.Millisecond, TokenInterval: 10 * time.Millisecond},
		StopGrace: 10 * time.Second,
	})
	if err != nil {
		return err
	}
	defer c.Close()
	report := newQuickstartReport(c, tokenFile)
	e.printResult(report, func(w io.Writer) { printQuickstart(w, report) })
	q.waitForEnd(ctx)
	fmt.Fprintln(e.stderr, "stopping …")
	return nil
}

// documents returns the service documents to serve.
func (q *quickstartCommand) documents() (fs.FS, error) {
	if q.Documents != "" {
		return os.DirFS(q.Documents), nil
	}
	return fs.Sub(examples.Quickstart, "quickstart")
}

// waitForEnd returns when the context ends or the duration given by flag has passed.
func (q *quickstartCommand) waitForEnd(ctx context.Context) {
	if q.Duration <= 0 {
		<-ctx.Done()
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(q.Duration):
	}
}

// newQuickstartReport returns the addresses and credentials of a running system.
func newQuickstartReport(c *quickstart.Cluster, tokenFile string) quickstartReport {
	r := quickstartReport{TokenFile: tokenFile, Token: demoToken, Platform: c.Platform.Addresses()}
	for _, n := range c.Nodes {
		r.Callers = append(r.Callers, n.CallerAddress())
		r.Admin = append(r.Admin, n.AdminAddress())
	}
	return r
}

// printQuickstart prints example commands for the running system.
func printQuickstart(w io.Writer, r quickstartReport) {
	base := "http://" + r.Callers[0]
	auth := "-H 'Authorization: Bearer " + r.Token + "'"
	fmt.Fprintf(w, `serving on %v

addresses:        curl %s/v1/addresses
a whole answer:   curl %s %s/v1/services/forecast/requests -d '{"prompt":"tram line 1","max_tokens":12}'
a stream:         curl -N %s %s/v1/services/forecast/requests -d '{"prompt":"tram line 1","max_tokens":40,"stream":true}'
with a key:       curl %s -H 'Idempotency-Key: k1' %s/v1/services/forecast/requests -d '{"prompt":"ferry","max_tokens":12}'
a plain service:  curl %s %s/v1/services/prices/call/items/42

operators:        export GOOSEBERRYSLIP_ADMIN=%s GOOSEBERRYSLIP_TOKEN_FILE=%s
                  gooseberryslip status
load:             gooseberryslip load --address %s --organisation demo=%s --rate 50 --duration 10s --check-text
`, r.Callers, base, auth, base, auth, base, auth, base, auth, base, r.Admin[0], r.TokenFile, r.Callers[0], r.Token)
}
