package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// TestChoose_SampleSpreadsOverServers guards against many daemons that send all requests to the
// one server that is the cheapest in their views, before they learn of each other's.
func TestChoose_SampleSpreadsOverServers(t *testing.T) {
	const servers, slots, daemons = 40, 12, 195
	now := time.Unix(0, 0)
	counts := map[entity.BackendServerID]int{}
	for d := range daemons {
		p := New(rand.New(rand.NewPCG(uint64(d), 1)))
		for i := range servers {
			p.SetServer(Server{ID: entity.BackendServerID(fmt.Sprint("e", i)), Service: "s", Slots: slots, Memory: 100_000})
			load := ServerLoad{Server: entity.BackendServerID(fmt.Sprint("e", i)), Running: min(i, slots)}
			p.ReceiveLoads(now, entity.InstanceID(fmt.Sprint("d", i)), []ServerLoad{load}, time.Minute)
		}
		choice, ok := p.Choose(now, Query{Service: "s", Prompt: 2000, SampleLoad: daemons}, func(entity.BackendServerID) bool { return true })
		if !ok {
			t.Fatal("no server chosen")
		}
		counts[choice.Server]++
	}
	for id, n := range counts {
		if n > 3*slots {
			t.Errorf("%d of %d requests went to %s", n, daemons, id)
		}
	}
}
