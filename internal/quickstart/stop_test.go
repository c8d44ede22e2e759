package quickstart

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/system/configuration"
)

const (
	// stopCallers is the number of callers that send requests during a planned stop.
	stopCallers = 16
	// refusalTimeout is the time within which a stopping daemon must answer or close the
	// connection.
	refusalTimeout = time.Second
)

// callUntilClosed sends one request after the other to a daemon until its address refuses
// connections. It returns how many requests got neither an answer nor a closed connection
// within refusalTimeout.
func callUntilClosed(ctx context.Context, address string) (unanswered int) {
	client := &http.Client{Timeout: refusalTimeout, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost,
			"http://"+address+"/v1/services/forecast/requests", strings.NewReader(`{"prompt":"ferry","max_tokens":2}`))
		if err != nil {
			return unanswered
		}
		req.Header.Set("Authorization", "Bearer "+demoToken)
		resp, err := client.Do(req)
		var timeout net.Error
		var refused *net.OpError
		switch {
		case err == nil:
			_ = resp.Body.Close()
		case errors.As(err, &timeout) && timeout.Timeout():
			unanswered++
		case errors.As(err, &refused) && refused.Op == "dial":
			return unanswered
		}
	}
	return unanswered
}

// TestCluster_StopAnswersRequestsThatStillCome: callers go on sending requests to a daemon
// until it has stopped. None may wait for an answer that never comes.
func TestCluster_StopAnswersRequestsThatStillCome(t *testing.T) {
	c := startCluster(t, 1)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	var callers sync.WaitGroup
	for range stopCallers {
		callers.Go(func() {
			if n := callUntilClosed(ctx, c.Nodes[0].CallerAddress()); n > 0 {
				t.Errorf("%d requests got no answer within %v", n, refusalTimeout)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	c.StopDaemon(0)
	callers.Wait()
}

// TestCluster_OperatorsCallAfterAStopFails: the outcome of a change that a stopped daemon
// gets is not known, and its caller must be told so at once.
func TestCluster_OperatorsCallAfterAStopFails(t *testing.T) {
	c := startCluster(t, 1)
	c.StopDaemon(0)
	ctx, cancel := context.WithTimeout(t.Context(), refusalTimeout)
	defer cancel()
	d := c.Nodes[0].Daemon()
	if _, err := d.Apply(ctx, configuration.Change{Operation: "o", Service: "forecast"}); err == nil || errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("change at a stopped daemon: %v, want an error at once", err)
	}
	if _, err := d.History(ctx, "forecast"); err == nil || errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("history at a stopped daemon: %v, want an error at once", err)
	}
}
