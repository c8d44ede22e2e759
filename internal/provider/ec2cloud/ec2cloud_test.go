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

// stopServer closes the server's port and replaces the client with one that has
// no open connection. On a connection opened before, the bytes of a call may
// still be written, so the outcome of the call would be unknown.
func (f *fixture) stopServer() {
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
	clientConfig := Config{
		Endpoint: server.URL(), Region: "west", AccessKey: "a", SecretKey: "s", ImageID: "ami-1",
		OnDemandPrices: []provider.Price{{DataCentre: "a", Class: "big", Market: provider.OnDemand, PerHour: 1}},
		Timeout:        5 * time.Second,
	}
	return fixture{Cloud: New(clientConfig), fake: fake, server: server, cfg: clientConfig}
}

func launchRequest(token string) provider.LaunchRequest {
	return provider.LaunchRequest{
		Token: token, DataCentre: "a", Class: "big", Market: provider.Reclaimable,
		Tags: map[string]string{"gooseberryslip-service": "s", "other": "x"},
	}
}

func TestCloud_StartsAndListsInstances(t *testing.T) {
	f := newFixture(t, standin.CloudConfig{})
	ctx := context.Background()
	started, err := f.Start(ctx, launchRequest("t"))
	if err != nil || started.DataCentre != "a" || started.Class != "big" || started.Market != provider.Reclaimable {
		t.Fatalf("Start returned %+v, error %v, want an instance as requested", started, err)
	}
	f.fake.AddForeignInstance(standin.CloudInstance{ID: "i-script", DataCentre: "a"})
	mine, err := f.Instances(ctx, map[string]string{"gooseberryslip-service": "s"})
	if err != nil || len(mine) != 1 || mine[0].ID != started.ID || mine[0].Tags["other"] != "x" {
		t.Fatalf("Instances with the service's tag returned %+v, error %v, want the started instance", mine, err)
	}
	if all, err := f.Instances(ctx, nil); err != nil || len(all) != 2 {
		t.Fatalf("Instances without tags returned %+v, error %v, want both instances", all, err)
	}
	if err := f.Stop(ctx, started.ID); err != nil {
		t.Fatal(err)
	}
	if mine, _ := f.Instances(ctx, map[string]string{"gooseberryslip-service": "s"}); mine[0].State != provider.Stopped {
		t.Fatalf("%+v", mine)
	}
	if err := f.Stop(ctx, "i-none"); !errors.Is(err, provider.ErrNotFound) {
		t.Fatalf("Stop of an unknown instance: error %v, want ErrNotFound", err)
	}
}

func TestCloud_LostReplyNeverStartsTwo(t *testing.T) {
	f := newFixture(t, standin.CloudConfig{})
	ctx := context.Background()
	f.fake.Faults.Set(standin.FaultSettings{DropNextReplies: 1})
	if _, err := f.Start(ctx, launchRequest("t")); !errors.Is(err, provider.ErrUnknownOutcome) {
		t.Fatalf("Start whose reply is lost: error %v, want ErrUnknownOutcome", err)
	}
	if _, err := f.Start(ctx, launchRequest("t")); err != nil {
		t.Fatal(err)
	}
	if c := f.fake.Counts(); c.StartedInstances != 1 || c.RunCalls != 2 {
		t.Fatalf("counts %+v after two calls, want 2 runs and 1 instance started", c)
	}
	other := launchRequest("t")
	other.Class = "small"
	if _, err := f.Start(ctx, other); !errors.Is(err, provider.ErrUnavailable) {
		t.Fatalf("another launch request with a used token: error %v, want ErrUnavailable", err)
	}
}

func TestCloud_MapsFailures(t *testing.T) {
	f := newFixture(t, standin.CloudConfig{})
	ctx := context.Background()
	f.fake.SetNoCapacity("a", true)
	if _, err := f.Start(ctx, launchRequest("t")); !errors.Is(err, provider.ErrRefused) {
		t.Fatalf("Start without capacity: error %v, want ErrRefused", err)
	}
	f.fake.SetNoCapacity("a", false)
	if _, err := f.Start(ctx, launchRequest(strings.Repeat("x", 65))); !errors.Is(err, provider.ErrUnavailable) {
		t.Fatalf("Start with a token that is too long: error %v, want ErrUnavailable", err)
	}
	f.stopServer()
	if _, err := f.Start(ctx, launchRequest("t")); !errors.Is(err, provider.ErrUnavailable) {
		t.Fatalf("Start on a closed port: error %v, want ErrUnavailable", err)
	}
}

func TestCloud_ListLags(t *testing.T) {
	f := newFixture(t, standin.CloudConfig{ListLag: time.Hour})
	ctx := context.Background()
	if _, err := f.Start(ctx, launchRequest("t")); err != nil {
		t.Fatal(err)
	}
	if all, err := f.Instances(ctx, nil); err != nil || len(all) != 0 {
		t.Fatalf("Instances returned %+v, error %v, want none before the lag is over", all, err)
	}
}

func TestCloud_ListsPricesOfBothMarkets(t *testing.T) {
	f := newFixture(t, standin.CloudConfig{Prices: []standin.CloudPrice{{DataCentre: "a", Class: "big", PerHour: 0.3}}})
	prices, err := f.Prices(context.Background())
	if err != nil || len(prices) != 2 || prices[0].PerHour != 0.3 || prices[0].Market != provider.Reclaimable {
		t.Fatalf("Prices returned %+v, error %v, want the reclaimable price first of two", prices, err)
	}
	if prices[1].Market != provider.OnDemand {
		t.Fatalf("%+v", prices)
	}
}
