package gateway

import (
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

// TestScaling_RollOutLowersNoNumber: while a service is rolled out, a lower number could make the
// platform stop servers that carry the traffic; a higher one must still be requested.
func TestScaling_RollOutLowersNoNumber(t *testing.T) {
	count := func(n int) []exchange.ServerCount {
		return []exchange.ServerCount{{Service: "app", DataCentre: "z1", Count: n}}
	}
	now := time.Unix(1000, 0)
	keep := map[entity.ServiceName]bool{"app": true}
	s := newScalingState()
	if due := s.due(now, count(3), count(4), keep); len(due) != 0 {
		t.Errorf("requested %v with 4 servers listed", due)
	}
	due := s.due(now, count(6), count(4), keep)
	if len(due) != 1 || due[0].Count != 6 {
		t.Fatalf("requested %v, want 6 servers", due)
	}
	s.record(now, provider.ScalingRequest{Service: "app", DataCentre: "z1", Market: provider.OnDemand, Count: 6}, nil)
	if due := s.due(now, count(5), count(4), keep); len(due) != 0 {
		t.Errorf("requested %v after 6 servers", due)
	}
	if due := s.due(now, count(5), count(4), nil); len(due) != 1 {
		t.Errorf("requested %v after the roll-out, want 5 servers", due)
	}
}
