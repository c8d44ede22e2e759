package reclaimnotice

import (
	"context"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/standin"
)

func TestWatch_ReportsEachNoticeOnce(t *testing.T) {
	cloud := standin.NewCloud(standin.CloudConfig{})
	server, err := standin.StartServer(cloud)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Kill)
	ctx, cancel := context.WithCancel(context.Background())
	notices := make(chan provider.ReclaimNotice, 10)
	done := make(chan struct{})
	go func() {
		defer close(done)
		Watch(ctx, server.URL()+"/imds/i-1", time.Millisecond, func(n provider.ReclaimNotice) { notices <- n })
	}()
	cloud.Reclaim("i-2", time.Hour)
	cloud.Reclaim("i-1", 2*time.Hour)
	first := <-notices
	cloud.Reclaim("i-1", time.Hour)
	second := <-notices
	if !second.ReclaimAt.Before(first.ReclaimAt) {
		t.Fatalf("first notice %v, second %v; want the second to be earlier", first, second)
	}
	time.Sleep(20 * time.Millisecond) // long enough for some more polls
	cancel()
	<-done
	if len(notices) != 0 {
		t.Fatalf("%d notices after the second, want none: a notice must be reported once", len(notices))
	}
}
