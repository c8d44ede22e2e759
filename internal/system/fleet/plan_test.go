package fleet

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

var testDataCentres = []entity.DataCentreID{"x", "y", "z"}

// lowestCost returns the lowest hourly cost of a fleet that carries need
// and has minimum servers left when the data centre with most servers is lost.
// It tries all numbers of servers per data centre.
func lowestCost(need, minimum, maxServers int, prices [3]float64) float64 {
	best := math.Inf(1)
	for a := range maxServers + 1 {
		for b := range maxServers + 1 - a {
			for c := range maxServers + 1 - a - b {
				total := a + b + c
				if total < max(need, minimum) || total-max(a, b, c) < minimum {
					continue
				}
				best = min(best, float64(a)*prices[0]+float64(b)*prices[1]+float64(c)*prices[2])
			}
		}
	}
	return best
}

func TestMakePlan_IsTheCheapestThatKeepsTheMinimum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var prices [3]float64
		s := State{Policy: entity.FleetPolicy{
			MinServers:  rapid.IntRange(0, 6).Draw(t, "minimum"),
			MaxServers:  rapid.IntRange(6, 12).Draw(t, "most"),
			Classes:     []string{someClass},
			DataCentres: testDataCentres,
		}, Need: rapid.IntRange(0, 12).Draw(t, "need"), MayStart: 99}
		for i, dc := range testDataCentres {
			prices[i] = float64(rapid.IntRange(1, 100).Draw(t, "price"))
			s.Prices = append(s.Prices, provider.Price{DataCentre: dc, Class: someClass, Market: provider.OnDemand, PerHour: prices[i]})
		}
		need := min(s.Need, s.Policy.MaxServers)
		cheapest := lowestCost(need, s.Policy.MinServers, s.Policy.MaxServers, prices)
		p := MakePlan(s)
		switch {
		case math.IsInf(cheapest, 1) && !p.TargetUnmet:
			t.Fatalf("plan %+v claims to meet a policy that cannot be met", p)
		case !math.IsInf(cheapest, 1) && (p.TargetUnmet || p.Cost != cheapest || p.ServersAfterLoss < s.Policy.MinServers):
			t.Fatalf("plan %+v, want cost %v", p, cheapest)
		}
	})
}

// planState returns the State of a fleet whose servers are all in data centre x
// and in the given state.
func planState(servers int, state ServerState) State {
	s := State{
		Service: "a", Need: servers, MayStart: 99, MayDrain: 99, WarmUp: time.Minute,
		Policy: testService(0, 30).Fleet, Prices: testPrices(0.3),
	}
	for n := range servers {
		s.Servers = append(s.Servers, Server{
			Token: fmt.Sprint(n), State: state,
			Choice: Choice{DataCentre: "x", Class: someClass, Market: provider.Reclaimable},
		})
	}
	return s
}

func TestMakePlan_DrainsOnlyWhatOthersCarry(t *testing.T) {
	s := planState(6, Serving)
	s.Need = 4
	if p := MakePlan(s); len(p.Drain) != 2 || len(p.Start) != 0 {
		t.Fatalf("%+v", p)
	}
	s.Policy.MinServers = 3 // all servers are in one data centre: servers in others must serve first
	if p := MakePlan(s); len(p.Drain) != 0 || len(p.Start) == 0 {
		t.Fatalf("%+v", p)
	}
}

func TestMakePlan_SmallPriceMovesMoveNothing(t *testing.T) {
	s := planState(6, Serving)
	s.Prices[0].PerHour = 0.35
	if p := MakePlan(s); len(p.Start)+len(p.Drain) != 0 {
		t.Fatalf("%+v", p)
	}
	s.Prices[0].PerHour = 0.6
	if p := MakePlan(s); len(p.Start) != 6 || len(p.Drain) != 0 {
		t.Fatalf("%+v", p)
	}
}

func TestMakePlan_ReclaimsMakeAChoiceMoreExpensive(t *testing.T) {
	s := planState(0, Serving)
	s.Need = 6
	s.Rates = []ReclaimRate{{DataCentre: "x", Class: someClass, Reclaims: 40, InstanceHours: 10}}
	for _, start := range MakePlan(s).Start {
		if start.Choice.DataCentre == "x" {
			t.Fatalf("%+v", start)
		}
	}
}

func TestMakePlan_CostLimitHolds(t *testing.T) {
	s := planState(0, Serving)
	s.Need = 10
	s.Policy.MaxHourlyCost = 2
	p := MakePlan(s)
	if p.Cost > 2 || len(p.Start) != 6 || !p.TargetUnmet {
		t.Fatalf("%+v", p)
	}
}

func TestMakePlan_ServersOutsideThePolicyAreReplaced(t *testing.T) {
	s := planState(3, Serving)
	s.Policy.Classes = []string{otherClass}
	for i := range s.Prices {
		s.Prices[i].Class = otherClass
	}
	if p := MakePlan(s); len(p.Start) != 3 || len(p.Drain) != 0 {
		t.Fatalf("%+v", p)
	}
}

func TestPlan_ExplainsItself(t *testing.T) {
	s := planState(2, Serving)
	s.Need = 4
	s.Refused = []Choice{{DataCentre: "y", Class: someClass, Market: provider.Reclaimable}}
	text := MakePlan(s).Explain()
	for _, line := range []string{"the load needs 4 servers; 2 serve", "start reclaimable big in x", "no capacity now: reclaimable big in y", "an hour"} {
		if !strings.Contains(text, line) {
			t.Errorf("%q is missing in:\n%s", line, text)
		}
	}
}

// BenchmarkMakePlan plans a fleet of 600 servers in 7 data centres.
func BenchmarkMakePlan(b *testing.B) {
	s := State{Need: 560, MayStart: 8, MayDrain: 4, WarmUp: time.Minute, Policy: entity.FleetPolicy{
		MinServers: 400, MaxServers: 700, Classes: []string{"big", "small", "old"},
	}}
	for n := range 7 {
		dc := entity.DataCentreID(fmt.Sprint("dc", n))
		s.Policy.DataCentres = append(s.Policy.DataCentres, dc)
		for k, class := range s.Policy.Classes {
			s.Prices = append(s.Prices,
				provider.Price{DataCentre: dc, Class: class, Market: provider.Reclaimable, PerHour: 0.3 + float64(n+k)/100},
				provider.Price{DataCentre: dc, Class: class, Market: provider.OnDemand, PerHour: 1})
		}
	}
	for n := range 600 {
		s.Servers = append(s.Servers, Server{Token: fmt.Sprint(n), State: Serving, Choice: Choice{
			DataCentre: s.Policy.DataCentres[n%7], Class: "big", Market: provider.Reclaimable,
		}})
	}
	for b.Loop() {
		MakePlan(s)
	}
}

func TestBackendServers_AreOurRunningInstances(t *testing.T) {
	svc := testService(0, 3)
	svc.Fleet.Port = 80
	tags := map[string]string{ServiceTag: string(serviceA)}
	list := []provider.Instance{
		{ID: "i-1", State: provider.Running, Address: "10.0.0.1", Tags: tags, DataCentre: "x"},
		{ID: "i-2", State: provider.Leaving, Address: "10.0.0.2", Tags: tags},
		{ID: "i-3", State: provider.Running, Address: "10.0.0.3", Tags: map[string]string{ServiceTag: "b"}},
		{ID: "i-4", State: provider.Running, Tags: map[string]string{ServiceTag: string(serviceA), AddressTag: "127.0.0.1:9"}},
	}
	got := BackendServers(svc, list)
	if len(got) != 2 || got[0].Address != "10.0.0.1:80" || got[0].ID != "i-1" || got[1].Address != "127.0.0.1:9" {
		t.Fatalf("%+v", got)
	}
	svc.Mode = entity.ModeRoute
	if got := BackendServers(svc, list); got != nil {
		t.Fatalf("%+v", got)
	}
}
