package dynamo

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/standin"
)

type fixture struct {
	*Table
	fake   *standin.Table
	server *standin.Server
	cfg    Config
}

// stopServer closes the server's port and replaces the client with one that has
// no open connection. On a connection opened before, the bytes of a call may
// still be written, so the outcome of the call would be unknown.
func (f *fixture) stopServer() {
	f.server.Kill()
	f.Table = New(f.cfg)
}

func newFixture(t *testing.T) fixture {
	t.Helper()
	fake := standin.NewTable()
	server, err := standin.StartServer(fake)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Kill)
	cfg := Config{
		Endpoint: server.URL(), Region: "west", AccessKey: "a", SecretKey: "s",
		TableName: "t", Timeout: 5 * time.Second,
	}
	return fixture{Table: New(cfg), fake: fake, server: server, cfg: cfg}
}

func (f fixture) put(sort, value string, version uint64) error {
	w := provider.Write{Partition: "p", Sort: sort, Value: []byte(value), IfVersion: version}
	return f.Transact(context.Background(), "", []provider.Write{w})
}

func TestTable_ReadsWhatItWrote(t *testing.T) {
	f := newFixture(t)
	if err := f.put("a", "one", 0); err != nil {
		t.Fatal(err)
	}
	if err := f.put("a", "two", 1); err != nil {
		t.Fatal(err)
	}
	row, err := f.Get(context.Background(), "p", "a", true)
	if err != nil {
		t.Fatal(err)
	}
	want := provider.Row{Partition: "p", Sort: "a", Version: 2, Value: []byte("two")}
	if fmt.Sprint(row) != fmt.Sprint(want) {
		t.Fatalf("got %v, want %v", row, want)
	}
	if _, err := f.Get(context.Background(), "p", "b", true); !errors.Is(err, provider.ErrNotFound) {
		t.Fatalf("Get of an absent row: error %v, want ErrNotFound", err)
	}
}

func TestTable_ConditionsCoverTheWholeTransaction(t *testing.T) {
	f := newFixture(t)
	if err := f.put("a", "one", 0); err != nil {
		t.Fatal(err)
	}
	for name, w := range map[string]provider.Write{
		"put exists":  {Partition: "p", Sort: "a"},
		"put old":     {Partition: "p", Sort: "a", IfVersion: 7},
		"delete old":  {Partition: "p", Sort: "a", IfVersion: 7, Delete: true},
		"check only":  {Partition: "p", Sort: "a", IfVersion: 7, CheckOnly: true},
		"check empty": {Partition: "p", Sort: "a", CheckOnly: true},
	} {
		other := provider.Write{Partition: "p", Sort: "b", Unconditional: true}
		err := f.Transact(context.Background(), "", []provider.Write{other, w})
		if !errors.Is(err, provider.ErrConditionFailed) {
			t.Errorf("%s: error %v, want ErrConditionFailed", name, err)
		}
	}
	if _, err := f.Get(context.Background(), "p", "b", true); !errors.Is(err, provider.ErrNotFound) {
		t.Fatalf("Get after cancelled transactions: error %v, want ErrNotFound: they must write nothing", err)
	}
}

func TestTable_UnconditionalWritesRaiseTheVersion(t *testing.T) {
	f := newFixture(t)
	for want := uint64(1); want <= 3; want++ {
		w := provider.Write{Partition: "p", Sort: "a", Unconditional: true}
		if err := f.Transact(context.Background(), "", []provider.Write{w}); err != nil {
			t.Fatal(err)
		}
		if row, err := f.Get(context.Background(), "p", "a", true); err != nil || row.Version != want {
			t.Fatalf("version %d, want %d (%v)", row.Version, want, err)
		}
	}
}

func TestTable_QueryReturnsRowsAbove(t *testing.T) {
	f := newFixture(t)
	for i := range 9 {
		if err := f.put(fmt.Sprint(i), "v", 0); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		after string
		limit int
		want  string
	}{{"", 0, "012345678"}, {"3", 0, "45678"}, {"3", 2, "45"}, {"8", 5, ""}} {
		rows, err := f.Query(context.Background(), "p", c.after, c.limit, true)
		if err != nil {
			t.Fatal(err)
		}
		var got strings.Builder
		for _, r := range rows {
			got.WriteString(r.Sort)
		}
		if got.String() != c.want {
			t.Errorf("after %q limit %d: %q, want %q", c.after, c.limit, got.String(), c.want)
		}
	}
}

func TestTable_QueryFollowsPages(t *testing.T) {
	f := newFixture(t)
	big := strings.Repeat("x", 300<<10)
	for i := range 8 {
		if err := f.put(fmt.Sprint(i), big, 0); err != nil {
			t.Fatal(err)
		}
	}
	rows, err := f.Query(context.Background(), "p", "", 7, true)
	if err != nil || len(rows) != 7 {
		t.Fatalf("Query returned %d rows, error %v, want 7 rows", len(rows), err)
	}
}

func TestTable_LostReplyIsUnknownAndResendHarmless(t *testing.T) {
	f := newFixture(t)
	writes := []provider.Write{
		{Partition: "p", Sort: "a", Value: []byte("v")},
		{Partition: "p", Sort: "b", Value: []byte("v")},
	}
	token := strings.Repeat("long token ", 9)
	f.fake.Faults.Set(standin.FaultSettings{DropNextReplies: 1})
	if err := f.Transact(context.Background(), token, writes); !errors.Is(err, provider.ErrUnknownOutcome) {
		t.Fatalf("Transact whose reply is lost: error %v, want ErrUnknownOutcome", err)
	}
	if n := f.fake.Counts().Calls; n != 1 {
		t.Fatalf("the service received %d requests for one call, want 1", n)
	}
	if err := f.Transact(context.Background(), token, writes); err != nil {
		t.Fatalf("resend with the same token: %v", err)
	}
	if row, err := f.Get(context.Background(), "p", "a", true); err != nil || row.Version != 1 {
		t.Fatalf("row version %d (error %v), want 1: the resend must not be applied again", row.Version, err)
	}
}

func TestTable_RefusalAndClosedPortHaveNoEffect(t *testing.T) {
	f := newFixture(t)
	f.fake.Faults.Set(standin.FaultSettings{Refuse: true})
	if err := f.put("a", "v", 0); !errors.Is(err, provider.ErrUnavailable) {
		t.Fatalf("Transact refused by the service: error %v, want ErrUnavailable", err)
	}
	f.stopServer()
	if err := f.put("a", "v", 0); !errors.Is(err, provider.ErrUnavailable) {
		t.Fatalf("Transact on a closed port: error %v, want ErrUnavailable", err)
	}
}

func TestTable_CutConnectionIsUnknown(t *testing.T) {
	f := newFixture(t)
	f.fake.Faults.Set(standin.FaultSettings{Down: true})
	if err := f.put("a", "v", 0); !errors.Is(err, provider.ErrUnknownOutcome) {
		t.Fatalf("Transact on a connection that breaks: error %v, want ErrUnknownOutcome", err)
	}
	if _, err := f.Get(context.Background(), "p", "a", true); !errors.Is(err, provider.ErrUnavailable) {
		t.Fatalf("Get on a connection that breaks: error %v, want ErrUnavailable", err)
	}
}

// TestTable_OneCallIsOneSendOnAReusedConnection guards against hidden retries: the
// transport of net/http sends a read again if a reused connection breaks before
// the reply.
func TestTable_OneCallIsOneSendOnAReusedConnection(t *testing.T) {
	f := newFixture(t)
	for range 3 {
		if _, err := f.Query(context.Background(), "p", "", 1, true); err != nil {
			t.Fatal(err)
		}
	}
	before := f.fake.Counts().Calls
	f.fake.Faults.Set(standin.FaultSettings{Down: true})
	_, _ = f.Get(context.Background(), "p", "a", true)
	_ = f.put("a", "v", 0)
	if sends := f.fake.Counts().Calls - before; sends != 2 {
		t.Fatalf("the service received %d requests for two calls, want 2", sends)
	}
}

func TestTable_StaleReadsAreOnlyInconsistentOnes(t *testing.T) {
	f := newFixture(t)
	_ = f.put("a", "one", 0)
	_ = f.put("a", "two", 1)
	f.fake.Faults.Set(standin.FaultSettings{StaleReads: true, Seed: 1})
	seen := map[uint64]bool{}
	for range 20 {
		row, err := f.Get(context.Background(), "p", "a", true)
		if err != nil || row.Version != 2 {
			t.Fatalf("consistent read: version %d (error %v), want 2", row.Version, err)
		}
		row, _ = f.Get(context.Background(), "p", "a", false)
		seen[row.Version] = true
	}
	if !seen[1] || !seen[2] {
		t.Fatalf("versions returned by inconsistent reads: %v, want 1 and 2", seen)
	}
}
