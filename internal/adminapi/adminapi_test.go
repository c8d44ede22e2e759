package adminapi

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/system/configuration"
	"github.com/gooseberryslip/gooseberryslip/internal/timeline"
	"github.com/gooseberryslip/gooseberryslip/internal/tomldoc"
)

// fakeDaemon answers every change with outcome and records the changes. All its
// methods that can fail return err.
type fakeDaemon struct {
	outcome  configuration.ApplyOutcome
	document configuration.Document
	changes  []configuration.Change
	filter   timeline.Filter
	drained  bool
	notReady string
	err      error
}

func (d *fakeDaemon) Apply(_ context.Context, c configuration.Change) (configuration.ApplyOutcome, error) {
	d.changes = append(d.changes, c)
	return d.outcome, d.err
}

func (d *fakeDaemon) Documents(context.Context) ([]configuration.Document, error) {
	return []configuration.Document{d.document}, d.err
}

func (d *fakeDaemon) Document(_ context.Context, s entity.ServiceName) (configuration.Document, bool, error) {
	return d.document, d.document.Service == s, d.err
}

func (d *fakeDaemon) History(context.Context, entity.ServiceName) ([]configuration.Document, error) {
	return nil, d.err
}

func (d *fakeDaemon) Status(context.Context) (Status, error) {
	return Status{Daemon: DaemonStatus{Instance: "d1", Revision: 7}}, d.err
}

func (d *fakeDaemon) Plan(_ context.Context, s entity.ServiceName) (Plan, bool, error) {
	return Plan{Service: s, Planner: "d2", AdminAddress: "10.0.0.2:7201"}, s == "prices", d.err
}

func (d *fakeDaemon) Drain(context.Context) error { d.drained = true; return d.err }

func (d *fakeDaemon) Events(_ context.Context, f timeline.Filter) (timeline.Export, error) {
	d.filter = f
	return timeline.Export{Process: "d1"}, d.err
}

func (d *fakeDaemon) NotReady() string         { return d.notReady }
func (d *fakeDaemon) WriteMetrics(w io.Writer) { _, _ = io.WriteString(w, "up 1\n") }

type singleOperator struct{}

func (singleOperator) Name(token string) (string, bool) { return "anna", token == "secret" }

// startServer serves the API of the daemon and returns a client for it.
func startServer(t *testing.T, daemon Daemon) *Client {
	t.Helper()
	s := httptest.NewServer(NewHandler(daemon, singleOperator{}))
	t.Cleanup(s.Close)
	return &Client{Address: s.URL, Token: "secret", HTTP: s.Client()}
}

var ctx = context.Background()

func TestHandler_NeedsOperator(t *testing.T) {
	daemon := &fakeDaemon{}
	c := startServer(t, daemon)
	for path, want := range map[string]int{
		"/healthz": 200, "/readyz": 200, "/metrics": 200,
		"/v1/admin/status": 401, "/v1/admin/services": 401, "/v1/admin/services/x": 401,
		"/v1/admin/events": 401, "/debug/pprof/": 401, "/debug/pprof/heap": 401, "/debug/pprof/cmdline": 401,
	} {
		for _, token := range []string{"", "Bearer wrong", "secret"} {
			r, _ := http.NewRequest(http.MethodGet, c.Address+path, nil)
			r.Header.Set("Authorization", token)
			reply, err := c.HTTP.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			reply.Body.Close()
			if reply.StatusCode != want {
				t.Errorf("%s with Authorization %q: status %d, want %d", path, token, reply.StatusCode, want)
			}
		}
	}
	r, _ := http.NewRequest(http.MethodPost, c.Address+"/v1/admin/drain", nil)
	if reply, err := c.HTTP.Do(r); err != nil || reply.StatusCode != 401 || daemon.drained {
		t.Fatalf("drain without a credential was not rejected: %v", err)
	}
	if err := c.Drain(ctx); err != nil || !daemon.drained {
		t.Fatalf("drain with a credential: %v", err)
	}
}

func TestClient_ApplyCarriesChange(t *testing.T) {
	daemon := &fakeDaemon{outcome: configuration.ApplyOutcome{Status: configuration.Applied, Revision: 8}}
	c := startServer(t, daemon)
	sent := configuration.Change{Operation: "op1", Service: "prices", Text: "name = 1", ReadRevision: 7}
	o, err := c.Apply(ctx, sent)
	if err != nil || o.Revision != 8 {
		t.Fatalf("apply: got outcome %+v and error %v, want revision 8", o, err)
	}
	deletion := configuration.Change{Operation: "op2", Service: "prices", ReadRevision: 8}
	if _, err := c.Apply(ctx, deletion); err != nil {
		t.Fatal(err)
	}
	sent.Author, deletion.Author = "anna", "anna"
	if len(daemon.changes) != 2 || daemon.changes[0] != sent || daemon.changes[1] != deletion {
		t.Fatalf("%+v", daemon.changes)
	}
}

func TestClient_FailuresKeepTheirParts(t *testing.T) {
	theirs := configuration.Document{Service: "prices", Revision: 9, Text: "theirs"}
	for _, o := range []configuration.ApplyOutcome{
		{Status: configuration.Conflict, CurrentDocument: theirs, SubmittedText: "yours"},
		{Status: configuration.Refused, Problems: tomldoc.Problems{{File: "f", Line: 3, Key: "k", Reason: "r"}}},
		{Status: configuration.Unavailable, MayHaveTakenEffect: true},
	} {
		c := startServer(t, &fakeDaemon{outcome: o})
		_, err := c.Apply(ctx, configuration.Change{Operation: "op1", Service: "prices", Text: "yours"})
		var f *Failure
		if !errors.As(err, &f) {
			t.Fatalf("%v: error %v is no *Failure", o.Status, err)
		}
		if string(f.Code) != string(o.Status) || f.Theirs != o.CurrentDocument || f.Yours != o.SubmittedText ||
			len(f.Problems) != len(o.Problems) || f.MayHaveTakenEffect != o.MayHaveTakenEffect {
			t.Errorf("%v: failure %+v differs from the outcome", o.Status, f)
		}
	}
}

func TestClient_DeletedServiceHasRevision(t *testing.T) {
	c := startServer(t, &fakeDaemon{document: configuration.Document{Service: "prices", Revision: 5, Deleted: true}})
	d, found, err := c.Document(ctx, "prices")
	if err != nil || found || d.Revision != 5 {
		t.Fatalf("deleted service: got document %+v, found %v, error %v; want revision 5, not found", d, found, err)
	}
	if d, found, err = c.Document(ctx, "other"); err != nil || found || d.Revision != 0 {
		t.Fatalf("unknown service: got document %+v, found %v, error %v; want revision 0, not found", d, found, err)
	}
}

// TestClient_RepeatsLostReplyUnderSameOperation closes the connection after the
// change was made and before its reply was sent. The client must repeat the call
// with the same operation id.
func TestClient_RepeatsLostReplyUnderSameOperation(t *testing.T) {
	daemon := &fakeDaemon{outcome: configuration.ApplyOutcome{Status: configuration.Applied, Revision: 8}}
	inner := NewHandler(daemon, singleOperator{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		inner.ServeHTTP(httptest.NewRecorder(), r)
		if len(daemon.changes) == 1 {
			panic(http.ErrAbortHandler)
		}
		inner.ServeHTTP(w, r)
	}))
	defer s.Close()
	c := &Client{Address: s.URL, Token: "secret"}
	o, err := c.Apply(ctx, configuration.Change{Operation: "op1", Service: "prices"})
	if err != nil || o.Revision != 8 {
		t.Fatalf("apply: got outcome %+v and error %v, want revision 8", o, err)
	}
	for _, ch := range daemon.changes {
		if ch.Operation != "op1" {
			t.Fatalf("%+v", ch)
		}
	}
}

func TestHandler_RefusesFaultyCalls(t *testing.T) {
	daemon := &fakeDaemon{}
	c := startServer(t, daemon)
	for name, edit := range map[string]func(r *http.Request){
		"no operation": func(r *http.Request) { r.Header.Del(OperationHeader) },
		"bad If-Match": func(r *http.Request) { r.Header.Set("If-Match", "latest") },
		"empty":        func(r *http.Request) { r.Body, r.ContentLength = http.NoBody, 0 },
		"too large": func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 1<<20))), 1<<20
		},
	} {
		r, _ := c.newRequest(ctx, http.MethodPut, "/v1/admin/services/prices", strings.NewReader("name = 1"))
		r.Header.Set(OperationHeader, "op1")
		edit(r)
		var f *Failure
		if err := c.sendRequest(r, nil); !errors.As(err, &f) || f.Code != CodeBadRequest {
			t.Errorf("%s: error %v, want a bad-request failure", name, err)
		}
	}
	if len(daemon.changes) > 0 {
		t.Errorf("%+v", daemon.changes)
	}
}

func TestClient_EventsCarryFilter(t *testing.T) {
	daemon := &fakeDaemon{}
	want := timeline.Filter{
		Request: "r 1", Service: "prices", Instance: "d1", Level: event.Warn, Limit: 5,
		Since: time.Unix(1_700_000_000, 0).UTC(),
	}
	if _, err := startServer(t, daemon).Events(ctx, want); err != nil || daemon.filter != want {
		t.Fatalf("events: the daemon received the filter %+v, error %v", daemon.filter, err)
	}
}

func TestClient_UnreachableIsReported(t *testing.T) {
	c := startServer(t, &fakeDaemon{err: errors.New("stopping")})
	var f *Failure
	if _, err := c.Status(ctx); !errors.As(err, &f) || f.Code != CodeUnavailable {
		t.Fatalf("%v", err)
	}
	c.Address = "127.0.0.1:1"
	if _, err := c.Status(ctx); !errors.Is(err, ErrUnreachable) {
		t.Fatalf("%v", err)
	}
}

func TestClient_Plan(t *testing.T) {
	c := startServer(t, &fakeDaemon{})
	p, err := c.Plan(ctx, "prices")
	if err != nil || p.Planner != "d2" || p.LastPlan != nil {
		t.Errorf("plan of a planned service: got %+v, error %v", p, err)
	}
	var f *Failure
	if _, err := c.Plan(ctx, "none"); !errors.As(err, &f) || f.Code != CodeNotFound {
		t.Errorf("%v", err)
	}
}
