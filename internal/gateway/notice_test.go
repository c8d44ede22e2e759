package gateway

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
	"github.com/gooseberryslip/gooseberryslip/internal/logging"
)

// TestNotice_DeathReachesALargeFleetAheadOfUpdates: in a fleet of 89 daemons the next state
// update is up to 0.88 s away; in one of 9 it comes soon enough.
func TestNotice_DeathReachesALargeFleetAheadOfUpdates(t *testing.T) {
	log, err := logging.New(io.Discard, logging.Options{Level: "error", Format: "json"})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ peers, deaths int }{{8, 0}, {88, 1}} {
		sender, receiver := newPollingGateway(c.peers, 0), newPollingGateway(0, 0)
		sender.Log, receiver.Log = log, log
		sender.withCore(func(c *exchange.Core, now time.Time) {
			c.PutServer(now, exchange.BackendServer{ID: "s", Service: "x", State: exchange.Ready, Born: 1})
			c.PutServer(now, exchange.BackendServer{ID: "s", Service: "x", State: exchange.Ready, Born: 2})
		})
		select {
		case <-sender.notices:
		default:
			t.Fatal("a death wakes no sender of notices")
		}
		notice, _ := sender.nextNotice()
		body, err := codec.Encode(message{Notice: &notice})
		if err != nil {
			t.Fatal(err)
		}
		receiver.receive("sender", "", nil, body)
		var metrics bytes.Buffer
		receiver.meter.set.WritePrometheus(&metrics)
		if known := strings.Count(metrics.String(), `{number="6140"} 1`); known != c.deaths {
			t.Errorf("%d peers: the receiver of a notice knows %d deaths, want %d", c.peers, known, c.deaths)
		}
		if again, _ := sender.nextNotice(); c.deaths > 0 && len(again.DeadProcesses) > 0 {
			t.Errorf("%d peers: a death is in two notices", c.peers)
		}
	}
}
