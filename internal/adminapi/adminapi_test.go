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

// fakeBackend answers changes with outcome and records them.
type fakeBackend struct {
	outcome  configuration.ApplyOutcome
	document configuration.Document
	changes  []configuration.Change
	filter   timeline.Filter
	drained  bool
	notReady string
	broken   error
}

func (b *fakeBackend) Apply(_ context.Context, c configuration.Change) (configuration.ApplyOutcome, error) {
	b.changes = append(b.changes, c)
	return b.outcome, b.broken
}

func (b *fakeBackend) Documents(context.Context) ([]configuration.Document, error) {
	return []configuration.Document{b.document}, b.broken
}

func (b *fakeBackend) Document(_ context.Context, s entity.ServiceName) (configuration.Document, bool, error) {
	return b.document, b.document.Service == s, b.broken
}

func (b *fakeBackend) History(context.Context, entity.ServiceName) ([]configuration.Document, error) {
	return nil, b.broken
}

func (b *fakeBackend) Status(context.Context) (Status, error) {
	return Status{Daemon: DaemonStatus{Instance: "d1", Revision: 7}}, b.broken
}

func (b *fakeBackend) Plan(_ context.Context, s entity.ServiceName) (Plan, bool, error) {
	return Plan{Service: s, Planner: "d2", Admin: "10.0.0.2:7201"}, s == "prices", b.broken
}

func (b *fakeBackend) Drain(context.Context) error { b.drained = true; return b.broken }

func (b *fakeBackend) Events(_ context.Context, f timeline.Filter) (timeline.Export, error) {
	b.filter = f
	return timeline.Export{Process: "d1"}, b.broken
}

func (b *fakeBackend) NotReady() string         { return b.notReady }
func (b *fakeBackend) WriteMetrics(w io.Writer) { _, _ = io.WriteString(w, "up 1\n") }

type oneOperator struct{}

func (oneOperator) Name(token string) (string, bool) { return "anna", token == "secret" }

// serve starts the API and returns a client of it.
func serve(t *testing.T, b Backend) *Client {
	t.Helper()
	s := httptest.NewServer(NewHandler(b, oneOperator{}))
	t.Cleanup(s.Close)
	return &Client{Address: s.URL, Token: "secret", HTTP: s.Client()}
}

var ctx = context.Background()

func TestHandler_NeedsOperator(t *testing.T) {
	b := &fakeBackend{}
	c := serve(t, b)
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
				t.Errorf("%s with %q: %d, want %d", path, token, reply.StatusCode, want)
			}
		}
	}
	r, _ := http.NewRequest(http.MethodPost, c.Address+"/v1/admin/drain", nil)
	if reply, err := c.HTTP.Do(r); err != nil || reply.StatusCode != 401 || b.drained {
		t.Fatalf("drained without a credential: %v", err)
	}
	if err := c.Drain(ctx); err != nil || !b.drained {
		t.Fatalf("drain: %v", err)
	}
}

func TestClient_ApplyCarriesChange(t *testing.T) {
	b := &fakeBackend{outcome: configuration.ApplyOutcome{Status: configuration.Applied, Revision: 8}}
	c := serve(t, b)
	sent := configuration.Change{Operation: "op1", Service: "prices", Text: "name = 1", ReadRevision: 7}
	o, err := c.Apply(ctx, sent)
	if err != nil || o.Revision != 8 {
		t.Fatalf("%+v %v", o, err)
	}
	deletion := configuration.Change{Operation: "op2", Service: "prices", ReadRevision: 8}
	if _, err := c.Apply(ctx, deletion); err != nil {
		t.Fatal(err)
	}
	sent.Author, deletion.Author = "anna", "anna"
	if len(b.changes) != 2 || b.changes[0] != sent || b.changes[1] != deletion {
		t.Fatalf("%+v", b.changes)
	}
}

func TestClient_FailuresKeepTheirParts(t *testing.T) {
	theirs := configuration.Document{Service: "prices", Revision: 9, Text: "theirs"}
	for _, o := range []configuration.ApplyOutcome{
		{Status: configuration.Conflict, Theirs: theirs, Yours: "yours"},
		{Status: configuration.Refused, Problems: tomldoc.Problems{{File: "f", Line: 3, Key: "k", Reason: "r"}}},
		{Status: configuration.Unavailable, MayHaveTakenEffect: true},
	} {
		c := serve(t, &fakeBackend{outcome: o})
		_, err := c.Apply(ctx, configuration.Change{Operation: "op1", Service: "prices", Text: "yours"})
		var f *Failure
		if !errors.As(err, &f) {
			t.Fatalf("%v: %v", o.Status, err)
		}
		if string(f.Code) != string(o.Status) || f.Theirs != o.Theirs || f.Yours != o.Yours ||
			len(f.Problems) != len(o.Problems) || f.MayHaveTakenEffect != o.MayHaveTakenEffect {
			t.Errorf("%v: %+v", o.Status, f)
		}
	}
}

func TestClient_DeletedServiceTellsRevision(t *testing.T) {
	c := serve(t, &fakeBackend{document: configuration.Document{Service: "prices", Revision: 5, Deleted: true}})
	d, found, err := c.Document(ctx, "prices")
	if err != nil || found || d.Revision != 5 {
		t.Fatalf("%+v %v %v", d, found, err)
	}
	if d, found, err = c.Document(ctx, "other"); err != nil || found || d.Revision != 0 {
		t.Fatalf("%+v %v %v", d, found, err)
	}
}

// TestClient_RepeatsLostReplyUnderSameOperation cuts the connection after the
// change has been made.
func TestClient_RepeatsLostReplyUnderSameOperation(t *testing.T) {
	b := &fakeBackend{outcome: configuration.ApplyOutcome{Status: configuration.Applied, Revision: 8}}
	inner := NewHandler(b, oneOperator{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		inner.ServeHTTP(httptest.NewRecorder(), r)
		if len(b.changes) == 1 {
			panic(http.ErrAbortHandler)
		}
		inner.ServeHTTP(w, r)
	}))
	defer s.Close()
	c := &Client{Address: s.URL, Token: "secret"}
	o, err := c.Apply(ctx, configuration.Change{Operation: "op1", Service: "prices"})
	if err != nil || o.Revision != 8 {
		t.Fatalf("%+v %v", o, err)
	}
	for _, ch := range b.changes {
		if ch.Operation != "op1" {
			t.Fatalf("%+v", ch)
		}
	}
}

func TestHandler_RefusesFaultyCalls(t *testing.T) {
	b := &fakeBackend{}
	c := serve(t, b)
	for name, edit := range map[string]func(r *http.Request){
		"no operation": func(r *http.Request) { r.Header.Del(OperationHeader) },
		"bad If-Match": func(r *http.Request) { r.Header.Set("If-Match", "latest") },
		"empty":        func(r *http.Request) { r.Body, r.ContentLength = http.NoBody, 0 },
		"too large": func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 1<<20))), 1<<20
		},
	} {
		r, _ := c.request(ctx, http.MethodPut, "/v1/admin/services/prices", strings.NewReader("name = 1"))
		r.Header.Set(OperationHeader, "op1")
		edit(r)
		var f *Failure
		if err := c.do(r, nil); !errors.As(err, &f) || f.Code != CodeBadRequest {
			t.Errorf("%s: %v", name, err)
		}
	}
	if len(b.changes) > 0 {
		t.Errorf("%+v", b.changes)
	}
}

func TestClient_EventsCarryFilter(t *testing.T) {
	b := &fakeBackend{}
	want := timeline.Filter{
		Request: "r 1", Service: "prices", Instance: "d1", Level: event.Warn, Limit: 5,
		Since: time.Unix(1_700_000_000, 0).UTC(),
	}
	if _, err := serve(t, b).Events(ctx, want); err != nil || b.filter != want {
		t.Fatalf("%+v %v", b.filter, err)
	}
}

func TestClient_UnreachableIsTold(t *testing.T) {
	c := serve(t, &fakeBackend{broken: errors.New("stopping")})
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
	c := serve(t, &fakeBackend{})
	p, err := c.Plan(ctx, "prices")
	if err != nil || p.Planner != "d2" || p.Last != nil {
		t.Errorf("%+v, %v", p, err)
	}
	var f *Failure
	if _, err := c.Plan(ctx, "none"); !errors.As(err, &f) || f.Code != CodeNotFound {
		t.Errorf("%v", err)
	}
}
