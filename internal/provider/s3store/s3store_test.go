package s3store

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/standin"
)

type fixture struct {
	*Store
	fake   *standin.ObjectStore
	server *standin.Server
	cfg    Config
}

// stopServer closes the server's port and replaces the client with one that has
// no open connection. On a connection opened before, the bytes of a call may
// still be written, so the outcome of the call would be unknown.
func (f *fixture) stopServer() {
	f.server.Kill()
	f.Store = New(f.cfg)
}

func newFixture(t *testing.T) fixture {
	t.Helper()
	fake := standin.NewObjectStore()
	server, err := standin.StartServer(fake)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Kill)
	cfg := Config{
		Endpoint: server.URL(), Region: "west", AccessKey: "a", SecretKey: "s",
		Bucket: "bucket", Timeout: 5 * time.Second,
	}
	return fixture{Store: New(cfg), fake: fake, server: server, cfg: cfg}
}

func TestStore_ReadsWhatItWrote(t *testing.T) {
	f := newFixture(t)
	ctx := context.Background()
	for _, value := range [][]byte{{}, bytes.Repeat([]byte("x"), 1<<20)} {
		if err := f.Put(ctx, "a/b c", value); err != nil {
			t.Fatal(err)
		}
		if got, err := f.Get(ctx, "a/b c"); err != nil || !bytes.Equal(got, value) {
			t.Fatalf("Get returned %d bytes, error %v, want the stored object", len(got), err)
		}
	}
	if err := f.Delete(ctx, "a/b c"); err != nil {
		t.Fatal(err)
	}
	if _, err := f.Get(ctx, "a/b c"); !errors.Is(err, provider.ErrNotFound) {
		t.Fatalf("Get of a deleted object: error %v, want ErrNotFound", err)
	}
}

func TestStore_MapsFailures(t *testing.T) {
	f := newFixture(t)
	ctx := context.Background()
	f.fake.Faults.Set(standin.FaultSettings{DropNextReplies: 1})
	if err := f.Put(ctx, "a", []byte("v")); !errors.Is(err, provider.ErrUnknownOutcome) {
		t.Fatalf("Put whose reply is lost: error %v, want ErrUnknownOutcome", err)
	}
	if got, err := f.Get(ctx, "a"); err != nil || string(got) != "v" {
		t.Fatalf("Get after a Put whose reply was lost: %q, error %v, want the value written", got, err)
	}
	f.fake.Faults.Set(standin.FaultSettings{Refuse: true})
	if err := f.Put(ctx, "a", []byte("v")); !errors.Is(err, provider.ErrUnavailable) {
		t.Fatalf("Put refused by the service: error %v, want ErrUnavailable", err)
	}
	f.stopServer()
	if err := f.Put(ctx, "a", []byte("v")); !errors.Is(err, provider.ErrUnavailable) {
		t.Fatalf("Put to a closed port: error %v, want ErrUnavailable", err)
	}
}

func TestStore_OneCallIsOneSendOnAReusedConnection(t *testing.T) {
	f := newFixture(t)
	ctx := context.Background()
	for range 3 {
		if err := f.Put(ctx, "a", []byte("v")); err != nil {
			t.Fatal(err)
		}
	}
	before := f.fake.Counts()
	f.fake.Faults.Set(standin.FaultSettings{Down: true})
	if _, err := f.Get(ctx, "a"); !errors.Is(err, provider.ErrUnavailable) {
		t.Fatalf("Get on a connection that breaks: error %v, want ErrUnavailable", err)
	}
	f.fake.Faults.Set(standin.FaultSettings{})
	_ = f.Put(ctx, "a", []byte("v"))
	f.fake.Faults.Set(standin.FaultSettings{Down: true})
	_ = f.Delete(ctx, "a")
	after := f.fake.Counts()
	if after.Gets-before.Gets != 1 || after.Deletes-before.Deletes != 1 {
		t.Fatalf("counts before %+v, after %+v; want one Get and one Delete more", before, after)
	}
}
