package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

// Choice is a data centre, machine class and market in which an instance can be
// started.
type Choice struct {
	DataCentre entity.DataCentreID `cbor:"1,keyasint,omitempty"`
	Class      string              `cbor:"2,keyasint,omitempty"`
	Market     provider.Market     `cbor:"3,keyasint,omitempty"`
}

// ServerState is the state of a server in the input of a plan.
type ServerState uint8

const (
	// Starting servers have been requested from the cloud and do not serve yet.
	Starting ServerState = iota
	// Serving servers process requests.
	Serving
	// Draining servers are being drained or stopped.
	Draining
)

// Server is one instance of the service.
type Server struct {
	Token  string
	Choice Choice
	State  ServerState
}

// State is the input of MakePlan.
type State struct {
	Service  entity.ServiceName
	Policy   entity.FleetPolicy
	Need     int // number of servers that the load needs
	Servers  []Server
	Prices   []provider.Price
	Rates    []ReclaimRate // observed reclaims
	Refused  []Choice      // choices that are not to be tried now
	WarmUp   time.Duration
	MayStart int // launches that may be requested now
	MayDrain int // drains that may be started now
}

// Plan is the next step towards the target.
type Plan struct {
	Target int // number of servers that should serve
	// ServersAfterLoss is the number of servers that would be left after the
	// loss of the data centre with most of them, once the plan is carried out.
	ServersAfterLoss int
	Cost             float64 // per hour, once the plan is carried out
	TargetUnmet      bool    // the offers or the cost limit do not allow the target
	Start            []Start
	Drain            []string // tokens of the servers to drain
	Reasons          []Reason
}

// Start is one instance to launch.
type Start struct {
	Choice  Choice
	PerHour float64 // price
}

// priceMargin is the fraction by which a new server must be cheaper to replace
// an existing one.
const priceMargin = 0.25

// candidate is a server that exists, or any number of new servers of one offer,
// from which an allocation can be made.
type candidate struct {
	dataCentre int     // index into the sorted list of data centres
	server     int     // index into State.Servers; -1: new servers
	offer      offer   // set for new servers
	weight     float64 // price per hour and server that the allocation minimises
}

// allocation sums up a set of servers chosen from the candidates.
type allocation struct {
	dataCentreLimit int     // most servers allowed in one data centre
	target          int     // number of servers needed
	total           int     // number of servers chosen
	fullest         int     // number of servers in the data centre with most of them
	needDeficit     int     // servers missing for the load
	lossDeficit     int     // servers missing for the minimum after the loss of a data centre
	weight          float64 // sum of the candidates' weights
}

// afterLoss returns the number of servers that remain when the data centre with
// most servers is lost.
func (a allocation) afterLoss() int { return a.total - a.fullest }

// MakePlan compares the existing servers with the cheapest set of servers that
// carries the load and, with any one data centre lost, still has the policy's
// minimum. It is a pure function.
//
// For each limit on the servers of one data centre, the cheapest set is found
// by choosing the cheapest candidates first; the best of these sets is used. A
// server that exists counts as cheaper by priceMargin than a new one, so that
// small price changes replace no servers.
func MakePlan(s State) Plan {
	m := newPriceTable(s)
	f := newAllocator(s, m)
	best := f.best()
	p := Plan{Target: best.target, ServersAfterLoss: best.afterLoss(), TargetUnmet: best.needDeficit > 0 || best.lossDeficit > 0}
	p.explainAllocation(s, m, best)
	chosen := f.selectCandidates(best)
	p.chooseStarts(s, m, chosen)
	p.chooseDrains(s, m, chosen, best)
	p.computeCost(s, m)
	return p
}

// serverRange returns the smallest number of servers that carries the load and
// meets the policy's minimum, and the largest number that the policy allows.
func (s State) serverRange() (minimum, maximum int) {
	maximum = max(s.Policy.MaxServers, s.Policy.MinServers)
	return min(max(s.Need, s.Policy.MinServers), maximum), maximum
}

// dataCentresOf returns the policy's data centres, sorted. Servers in other
// data centres are no candidates, and so are drained once others serve.
func dataCentresOf(s State) []entity.DataCentreID {
	out := slices.Clone(s.Policy.DataCentres)
	slices.Sort(out)
	return slices.Compact(out)
}

// allocator finds the cheapest allocation.
type allocator struct {
	state      State
	candidates []candidate // cheapest first
	counts     []int       // servers in each data centre, of the allocation being filled
}

func newAllocator(s State, m priceTable) *allocator {
	dataCentres := dataCentresOf(s)
	f := &allocator{state: s, counts: make([]int, len(dataCentres))}
	for n, server := range s.Servers {
		dc, inPolicy := slices.BinarySearch(dataCentres, server.Choice.DataCentre)
		if server.State == Draining || !inPolicy || !slices.Contains(s.Policy.Classes, server.Choice.Class) {
			continue
		}
		weight := m.offerOf(server.Choice).effectivePerHour * (1 - priceMargin)
		f.candidates = append(f.candidates, candidate{dataCentre: dc, server: n, weight: weight})
	}
	for i, dc := range dataCentres {
		if o, ok := m.cheapestIn(dc); ok {
			f.candidates = append(f.candidates, candidate{dataCentre: i, server: -1, offer: o, weight: o.effectivePerHour})
		}
	}
	slices.SortStableFunc(f.candidates, func(a, b candidate) int { return cmp.Compare(a.weight, b.weight) })
	return f
}

// best returns the best allocation over all limits on one data centre.
func (f *allocator) best() allocation {
	need, maxServers := f.state.serverRange()
	var best allocation
	first := max(1, need/max(len(f.counts), 1))
	for dataCentreLimit := first; dataCentreLimit <= max(maxServers, first); dataCentreLimit++ {
		a := f.fill(dataCentreLimit, nil)
		if dataCentreLimit == first || a.betterThan(best) {
			best = a
		}
		if a.fullest < dataCentreLimit {
			break // the limit has no effect any more; a higher one only raises the target
		}
	}
	return best
}

// target returns the number of servers that are needed when the data centre
// with most servers has dataCentreLimit of them.
func (f *allocator) target(dataCentreLimit int) int {
	need, maxServers := f.state.serverRange()
	if f.state.Policy.MinServers == 0 {
		return need
	}
	return min(maxServers, max(need, f.state.Policy.MinServers+dataCentreLimit))
}

// fill chooses the cheapest servers, at most dataCentreLimit in one data centre,
// and calls visit, if set, for each candidate with the number of servers chosen
// from it.
func (f *allocator) fill(dataCentreLimit int, visit func(u candidate, n int)) allocation {
	a := allocation{dataCentreLimit: dataCentreLimit, target: f.target(dataCentreLimit)}
	clear(f.counts)
	for _, c := range f.candidates {
		n := min(a.target-a.total, dataCentreLimit-f.counts[c.dataCentre])
		if c.server >= 0 {
			n = min(n, 1)
		}
		if n <= 0 {
			continue
		}
		a.total += n
		a.weight += float64(n) * c.weight
		f.counts[c.dataCentre] += n
		a.fullest = max(a.fullest, f.counts[c.dataCentre])
		if visit != nil {
			visit(c, n)
		}
	}
	need, _ := f.state.serverRange()
	a.needDeficit = max(0, need-a.total)
	a.lossDeficit = max(0, f.state.Policy.MinServers-a.afterLoss())
	return a
}

// selection lists the servers of an allocation.
type selection struct {
	kept   map[string]bool // tokens of existing servers
	starts []offer         // cheapest first
}

func (f *allocator) selectCandidates(a allocation) selection {
	out := selection{kept: make(map[string]bool)}
	f.fill(a.dataCentreLimit, func(u candidate, n int) {
		if u.server >= 0 {
			out.kept[f.state.Servers[u.server].Token] = true
			return
		}
		for range n {
			out.starts = append(out.starts, u.offer)
		}
	})
	return out
}

// betterThan compares two allocations by the servers missing for the load, then
// by those missing after the loss of a data centre, then by cost.
func (a allocation) betterThan(b allocation) bool {
	return cmp.Or(
		cmp.Compare(a.needDeficit, b.needDeficit),
		cmp.Compare(a.lossDeficit, b.lossDeficit),
		cmp.Compare(a.weight, b.weight),
	) < 0
}

// chooseStarts adds the new servers of the selection to the plan, as far as the
// limits allow.
func (p *Plan) chooseStarts(s State, m priceTable, chosen selection) {
	_, maxServers := s.serverRange()
	live, cost := m.liveServers(s)
	for _, o := range chosen.starts {
		switch {
		case len(p.Start) >= s.MayStart:
			p.addReason("more starts wait for those under way")
			return
		case live+len(p.Start) >= maxServers:
			p.addReason("more starts wait: %d servers are the most allowed", maxServers)
			return
		case s.Policy.MaxHourlyCost > 0 && cost+o.perHour > s.Policy.MaxHourlyCost:
			p.TargetUnmet = true
			p.addReason("no start in %s: %.2f an hour would exceed %.2f", o.choice.DataCentre, cost+o.perHour, s.Policy.MaxHourlyCost)
			continue
		}
		cost += o.perHour
		p.Start = append(p.Start, Start{Choice: o.choice, PerHour: o.perHour})
		p.addReason("start %s at %.3f an hour", o.choice, o.perHour)
	}
}

// chooseDrains drains servers that are not in the selection, the most expensive
// first, as long as the remaining serving servers carry the load.
func (p *Plan) chooseDrains(s State, m priceTable, chosen selection, a allocation) {
	serving := newTally(s)
	for _, server := range m.mostExpensiveFirst(s.Servers) {
		if server.State != Serving || chosen.kept[server.Token] {
			continue
		}
		if len(p.Drain) >= s.MayDrain {
			p.addReason("more drains wait for those under way")
			return
		}
		if !serving.allowsRemoval(server.Choice.DataCentre, s, a) {
			p.addReason("%s stays until others serve", server.Choice)
			continue
		}
		serving.remove(server.Choice.DataCentre)
		p.Drain = append(p.Drain, server.Token)
		p.addReason("drain %s: %s", server.Token, server.Choice)
	}
}

// computeCost computes the hourly cost of the servers that exist and those that
// the plan starts, without those that are draining.
func (p *Plan) computeCost(s State, m priceTable) {
	for _, server := range s.Servers {
		if server.State != Draining && !slices.Contains(p.Drain, server.Token) {
			p.Cost += m.offerOf(server.Choice).perHour
		}
	}
	for _, start := range p.Start {
		p.Cost += start.PerHour
	}
}
