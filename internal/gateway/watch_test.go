package gateway

import (
	"io"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
	"github.com/gooseberryslip/gooseberryslip/internal/logging"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

// TestApplyServers_WholeListAtOnce: no request may see a part of a list, as its service
// may be in the other part.
func TestApplyServers_WholeListAtOnce(t *testing.T) {
	log, err := logging.New(io.Discard, logging.Options{Level: "error", Format: "json"})
	if err != nil {
		t.Fatal(err)
	}
	g := New(Config{Log: log})
	const servers = 3000
	var list []provider.Change[exchange.BackendServer]
	for i := range servers {
		id := strconv.Itoa(i)
		list = append(list, provider.Change[exchange.BackendServer]{
			ID: id, Value: exchange.BackendServer{ID: entity.BackendServerID(id), Service: "s", State: exchange.Ready},
		})
	}
	var observer sync.WaitGroup
	done := make(chan struct{})
	observer.Go(func() {
		for {
			select {
			case <-done:
				return
			default:
			}
			g.withCore(func(c *exchange.Core, now time.Time) {
				if n := len(c.ListedServers()); n != 0 && c.ListedServers()[0].Count != servers {
					t.Errorf("%d of %d servers of a list are known", c.ListedServers()[0].Count, servers)
				}
			})
		}
	})
	g.applyServers(true, list, time.Time{})
	close(done)
	observer.Wait()
}
