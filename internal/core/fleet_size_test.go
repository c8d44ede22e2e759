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
	// controlBudgetBytesPerSecond is the target for the control traffic of one
	// daemon in a system of 410 daemons.
	controlBudgetBytesPerSecond = 11_000
	// listBudgetPerSecond is the target for the list reads of all daemons
	// together.
	listBudgetPerSecond = 10
)

// newSizedCore returns a core that knows n daemons and plans nothing.
func newSizedCore(n int) *Core {
	rng := rand.New(rand.NewPCG(1, uint64(n)))
	c := New(Config{Rand: rng, Fleet: fleet.New(fleet.Config{Self: "d0", Rand: rng})})
	c.members = make([]membership.Member, n)
	return c
}

func TestCore_RoundsFitTheControlBudget(t *testing.T) {
	request := Message{FleetRequest: &FleetRequest{Round: 1000, Services: []entity.ServiceName{"forecast"}}}
	response := Message{FleetResponse: &FleetResponse{Round: 1000, Loads: []ServiceLoad{{Service: "forecast", Busy: 30, Slots: 48, Queued: 5}}}}
	for i := range 4 {
		b := entity.BackendServerID(fmt.Sprintf("i-0123456789abcdef%d", i))
		request.FleetRequest.Draining = append(request.FleetRequest.Draining, b)
		response.FleetResponse.Idle = append(response.FleetResponse.Idle, b)
	}
	requestBody, err := EncodeMessage(&request)
	if err != nil {
		t.Fatal(err)
	}
	responseBody, err := EncodeMessage(&response)
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range []int{9, 100, 410} {
		bytes := float64(n * (len(requestBody) + len(responseBody)))
		rate := bytes / newSizedCore(n).currentRoundInterval().Seconds()
		t.Logf("%d daemons: %.0f B/s at the planner of a service that drains 4 servers", n, rate)
		if rate > controlBudgetBytesPerSecond {
			t.Errorf("%d daemons: rounds take %.0f B/s, more than the control budget", n, rate)
		}
	}
}

func TestCore_ListReadingsDoNotGrowWithTheDaemons(t *testing.T) {
	const draws = 1000
	for _, n := range []int{9, 100, 410} {
		c := newSizedCore(n)
		var sum time.Duration
		for range draws {
			sum += c.randomInterval(c.listInterval())
		}
		rate := float64(n) * draws / sum.Seconds()
		t.Logf("%d daemons: %.1f list reads/s in all, one per daemon every %v on average", n, rate, sum/draws)
		if rate > listBudgetPerSecond {
			t.Errorf("%d daemons: %.1f list reads/s, more than the budget", n, rate)
		}
	}
}
