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

// withoutServer returns a client that has no open connection, for a server
// whose port is closed: on an open connection a call's bytes may have left.
func (f *fixture) withoutServer() {
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
	settings := Config{
		Endpoint: server.URL(), Region: "west", AccessKey: "a", SecretKey: "s",
		Bucket: "bucket", Timeout: 5 * time.Second,
	}
	return fixture{Store: New(settings), fake: fake, server: server, cfg: settings}
}

func TestStore_ReadsWhatItWrote(t *testing.T) {
	f := newFixture(t)
	ctx := context.Background()
	for _, value := range [][]byte{{}, bytes.Repeat([]byte("x"), 1<<20)} {
		if err := f.Put(ctx, "a/b c", value); err != nil {
			t.Fatal(err)
		}
		if got, err := f.Get(ctx, "a/b c"); err != nil || !bytes.Equal(got, value) {
			t.Fatalf("%d bytes, %v", len(got), err)
		}
	}
	if err := f.Delete(ctx, "a/b c"); err != nil {
		t.Fatal(err)
	}
	if _, err := f.Get(ctx, "a/b c"); !errors.Is(err, provider.ErrNotFound) {
		t.Fatalf("deleted object: %v", err)
	}
}

func TestStore_MapsFailures(t *testing.T) {
	f := newFixture(t)
	ctx := context.Background()
	f.fake.Faults.Set(standin.FaultSettings{LoseNext: 1})
	if err := f.Put(ctx, "a", []byte("v")); !errors.Is(err, provider.ErrUnknownOutcome) {
		t.Fatalf("lost reply: %v", err)
	}
	if got, err := f.Get(ctx, "a"); err != nil || string(got) != "v" {
		t.Fatalf("the write whose reply was lost: %q, %v", got, err)
	}
	f.fake.Faults.Set(standin.FaultSettings{Refuse: true})
	if err := f.Put(ctx, "a", []byte("v")); !errors.Is(err, provider.ErrUnavailable) {
		t.Fatalf("refused: %v", err)
	}
	f.withoutServer()
	if err := f.Put(ctx, "a", []byte("v")); !errors.Is(err, provider.ErrUnavailable) {
		t.Fatalf("closed port: %v", err)
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
		t.Fatalf("read: %v", err)
	}
	f.fake.Faults.Set(standin.FaultSettings{})
	_ = f.Put(ctx, "a", []byte("v"))
	f.fake.Faults.Set(standin.FaultSettings{Down: true})
	_ = f.Delete(ctx, "a")
	after := f.fake.Counts()
	if after.Gets-before.Gets != 1 || after.Deletes-before.Deletes != 1 {
		t.Fatalf("before %+v, after %+v", before, after)
	}
}
