package ec2cloud

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/standin"
)

type fixture struct {
	*Cloud
	fake   *standin.Cloud
	server *standin.Server
	cfg    Config
}

// withoutServer returns a client that has no open connection, for a server
// whose port is closed: on an open connection a call's bytes may have left.
func (f *fixture) withoutServer() {
	f.server.Kill()
	f.Cloud = New(f.cfg)
}

func newFixture(t *testing.T, cfg standin.CloudConfig) fixture {
	t.Helper()
	fake := standin.NewCloud(cfg)
	server, err := standin.StartServer(fake)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Kill)
	settings := Config{
		Endpoint: server.URL(), Region: "west", AccessKey: "a", SecretKey: "s", ImageID: "ami-1",
		OnDemandPrices: []provider.Price{{DataCentre: "a", Class: "big", Market: provider.OnDemand, PerHour: 1}},
		Timeout:        5 * time.Second,
	}
	return fixture{Cloud: New(settings), fake: fake, server: server, cfg: settings}
}

func order(token string) provider.Order {
	return provider.Order{
		Token: token, DataCentre: "a", Class: "big", Market: provider.Reclaimable,
		Tags: map[string]string{"gooseberryslip-service": "s", "other": "x"},
	}
}

func TestCloud_OrdersAndLists(t *testing.T) {
	f := newFixture(t, standin.CloudConfig{})
	ctx := context.Background()
	started, err := f.Start(ctx, order("t"))
	if err != nil || started.DataCentre != "a" || started.Class != "big" || started.Market != provider.Reclaimable {
		t.Fatalf("%+v %v", started, err)
	}
	f.fake.Adopt(standin.CloudInstance{ID: "i-script", DataCentre: "a"})
	mine, err := f.Instances(ctx, map[string]string{"gooseberryslip-service": "s"})
	if err != nil || len(mine) != 1 || mine[0].ID != started.ID || mine[0].Tags["other"] != "x" {
		t.Fatalf("%+v %v", mine, err)
	}
	if all, err := f.Instances(ctx, nil); err != nil || len(all) != 2 {
		t.Fatalf("%+v %v", all, err)
	}
	if err := f.Stop(ctx, started.ID); err != nil {
		t.Fatal(err)
	}
	if mine, _ := f.Instances(ctx, map[string]string{"gooseberryslip-service": "s"}); mine[0].State != provider.Gone {
		t.Fatalf("%+v", mine)
	}
	if err := f.Stop(ctx, "i-none"); !errors.Is(err, provider.ErrNotFound) {
		t.Fatalf("unknown instance: %v", err)
	}
}

func TestCloud_LostReplyNeverStartsTwo(t *testing.T) {
	f := newFixture(t, standin.CloudConfig{})
	ctx := context.Background()
	f.fake.Faults.Set(standin.FaultSettings{LoseNext: 1})
	if _, err := f.Start(ctx, order("t")); !errors.Is(err, provider.ErrUnknownOutcome) {
		t.Fatalf("lost reply: %v", err)
	}
	if _, err := f.Start(ctx, order("t")); err != nil {
		t.Fatal(err)
	}
	if c := f.fake.Counts(); c.Started != 1 || c.Runs != 2 {
		t.Fatalf("%+v for two calls", c)
	}
	other := order("t")
	other.Class = "small"
	if _, err := f.Start(ctx, other); !errors.Is(err, provider.ErrUnavailable) {
		t.Fatalf("another order with the token: %v", err)
	}
}

func TestCloud_MapsFailures(t *testing.T) {
	f := newFixture(t, standin.CloudConfig{})
	ctx := context.Background()
	f.fake.RefuseIn("a", true)
	if _, err := f.Start(ctx, order("t")); !errors.Is(err, provider.ErrRefused) {
		t.Fatalf("no capacity: %v", err)
	}
	f.fake.RefuseIn("a", false)
	if _, err := f.Start(ctx, order(strings.Repeat("x", 65))); !errors.Is(err, provider.ErrUnavailable) {
		t.Fatalf("long token: %v", err)
	}
	f.withoutServer()
	if _, err := f.Start(ctx, order("t")); !errors.Is(err, provider.ErrUnavailable) {
		t.Fatalf("closed port: %v", err)
	}
}

func TestCloud_ListLags(t *testing.T) {
	f := newFixture(t, standin.CloudConfig{ListLag: time.Hour})
	ctx := context.Background()
	if _, err := f.Start(ctx, order("t")); err != nil {
		t.Fatal(err)
	}
	if all, err := f.Instances(ctx, nil); err != nil || len(all) != 0 {
		t.Fatalf("%+v %v", all, err)
	}
}

func TestCloud_TellsPricesOfBothMarkets(t *testing.T) {
	f := newFixture(t, standin.CloudConfig{Prices: []standin.CloudPrice{{DataCentre: "a", Class: "big", PerHour: 0.3}}})
	prices, err := f.Prices(context.Background())
	if err != nil || len(prices) != 2 || prices[0].PerHour != 0.3 || prices[0].Market != provider.Reclaimable {
		t.Fatalf("%+v %v", prices, err)
	}
	if prices[1].Market != provider.OnDemand {
		t.Fatalf("%+v", prices)
	}
}
