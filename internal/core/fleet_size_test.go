package core

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/fleet"
	"github.com/gooseberryslip/gooseberryslip/internal/system/membership"
)

const (
	// controlBudget is the target for all control traffic of a daemon at 410
	// daemons, bytes per second.
	controlBudget = 11_000
	// listBudget is the target for the readings of the platform's list of all
	// daemons together, per second.
	listBudget = 10
)

// sizedCore returns a core that knows n daemons and plans nothing.
func sizedCore(n int) *Core {
	rng := rand.New(rand.NewPCG(1, uint64(n)))
	c := New(Config{Rand: rng, Fleet: fleet.New(fleet.Config{Self: "d0", Rand: rng})})
	c.members = make([]membership.Member, n)
	return c
}

func TestCore_RoundsFitTheControlBudget(t *testing.T) {
	ask := Message{FleetAsk: &FleetAsk{Round: 1000, Services: []entity.ServiceName{"forecast"}}}
	have := Message{FleetHave: &FleetHave{Round: 1000, Loads: []ServiceLoad{{Service: "forecast", Busy: 30, Slots: 48, Queued: 5}}}}
	for i := range 4 {
		b := entity.BackendServerID(fmt.Sprintf("i-0123456789abcdef%d", i))
		ask.FleetAsk.Draining = append(ask.FleetAsk.Draining, b)
		have.FleetHave.Idle = append(have.FleetHave.Idle, b)
	}
	question, err := EncodeMessage(&ask)
	if err != nil {
		t.Fatal(err)
	}
	answer, err := EncodeMessage(&have)
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range []int{9, 100, 410} {
		bytes := float64(n * (len(question) + len(answer)))
		rate := bytes / sizedCore(n).roundEvery().Seconds()
		t.Logf("%d daemons: %.0f B/s at the planner of a service that drains 4 servers", n, rate)
		if rate > controlBudget {
			t.Errorf("%d daemons: %.0f B/s", n, rate)
		}
	}
}

func TestCore_ListReadingsDoNotGrowWithTheDaemons(t *testing.T) {
	const draws = 1000
	for _, n := range []int{9, 100, 410} {
		c := sizedCore(n)
		var sum time.Duration
		for range draws {
			sum += c.pause(c.listEvery())
		}
		rate := float64(n) * draws / sum.Seconds()
		t.Logf("%d daemons: %.1f readings/s in all, each every %v on average", n, rate, sum/draws)
		if rate > listBudget {
			t.Errorf("%d daemons: %.1f readings/s", n, rate)
		}
	}
}
