package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

// Choice says where and what to start.
type Choice struct {
	DataCentre entity.DataCentreID `cbor:"1,keyasint,omitempty"`
	Class      string              `cbor:"2,keyasint,omitempty"`
	Market     provider.Market     `cbor:"3,keyasint,omitempty"`
}

// ServerState is the state of a server as the plan sees it.
type ServerState uint8

const (
	// Starting servers are ordered and do not serve yet.
	Starting ServerState = iota
	// Serving servers take work.
	Serving
	// Leaving servers are drained or stopped.
	Leaving
)

// Server is one instance of the service.
type Server struct {
	Token  string
	Choice Choice
	State  ServerState
}

// State is all that a plan depends on.
type State struct {
	Service  entity.ServiceName
	Policy   entity.FleetPolicy
	Need     int // servers that the load needs
	Servers  []Server
	Prices   []provider.Price
	Rates    []Rate   // observed reclaims
	Refused  []Choice // not to be tried now
	WarmUp   time.Duration
	MayStart int // start orders that may be added now
	MayDrain int // drains that may be added now
}

// Plan says what to do next.
type Plan struct {
	Target int // servers that shall serve
	// Keep is the least number of servers that are left when any one data
	// centre is lost, once the plan is carried out.
	Keep  int
	Cost  float64 // per hour, once the plan is carried out
	Short bool    // the offers do not allow for the target
	Start []Start
	Drain []string // tokens
	Why   []Reason
}

// Start is one instance to order.
type Start struct {
	Choice  Choice
	PerHour float64
}

// priceMargin is how much cheaper a new server must be before it takes the
// place of one that serves.
const priceMargin = 0.25

// unit is what the fleet could consist of: one server that exists, or any
// number of new ones of an offer.
type unit struct {
	dataCentre int     // index into the sorted list of data centres
	server     int     // index into State.Servers; -1: new ones
	offer      offer   // of new ones
	weight     float64 // what the allocation minimises, per hour and server
}

// allocation is a set of units.
type allocation struct {
	bound       int // on the servers of one data centre
	target      int
	total       int
	most        int // servers in the fullest data centre
	needDeficit int
	keepDeficit int
	weight      float64
}

// keep returns the servers that are left when the fullest data centre is lost.
func (a allocation) keep() int { return a.total - a.most }

// MakePlan compares what exists with the cheapest set of servers that carries
// the load and, with any one data centre lost, still has the policy's minimum.
// It is a pure function.
//
// For each bound on the servers of one data centre the cheapest set is found
// by taking the cheapest units first; the best bound wins. A server that
// exists counts as cheaper than a new one by priceMargin, so that small moves
// of the prices move no servers.
func MakePlan(s State) Plan {
	m := newMarket(s)
	f := newFiller(s, m)
	best := f.best()
	p := Plan{Target: best.target, Keep: best.keep(), Short: best.needDeficit > 0 || best.keepDeficit > 0}
	p.explainAllocation(s, m, best)
	chosen := f.units(best)
	p.chooseStarts(s, m, chosen)
	p.chooseDrains(s, m, chosen, best)
	p.price(s, m)
	return p
}

// bounds returns the least number of servers that carry the load, and the most
// that the policy allows.
func (s State) bounds() (need, most int) {
	most = max(s.Policy.MaxServers, s.Policy.MinServers)
	return min(max(s.Need, s.Policy.MinServers), most), most
}

// dataCentresOf returns the policy's data centres, in order. Servers elsewhere
// are no units, and so are drained when others serve.
func dataCentresOf(s State) []entity.DataCentreID {
	out := slices.Clone(s.Policy.DataCentres)
	slices.Sort(out)
	return slices.Compact(out)
}

// filler finds allocations.
type filler struct {
	state  State
	all    []unit // cheapest first
	counts []int  // by data centre, of the allocation being filled
}

func newFiller(s State, m market) *filler {
	dataCentres := dataCentresOf(s)
	f := &filler{state: s, counts: make([]int, len(dataCentres))}
	for n, server := range s.Servers {
		dc, inPolicy := slices.BinarySearch(dataCentres, server.Choice.DataCentre)
		if server.State == Leaving || !inPolicy || !slices.Contains(s.Policy.Classes, server.Choice.Class) {
			continue
		}
		weight := m.of(server.Choice).effective * (1 - priceMargin)
		f.all = append(f.all, unit{dataCentre: dc, server: n, weight: weight})
	}
	for i, dc := range dataCentres {
		if o, ok := m.cheapestIn(dc); ok {
			f.all = append(f.all, unit{dataCentre: i, server: -1, offer: o, weight: o.effective})
		}
	}
	slices.SortStableFunc(f.all, func(a, b unit) int { return cmp.Compare(a.weight, b.weight) })
	return f
}

// best returns the best allocation over all bounds on one data centre.
func (f *filler) best() allocation {
	need, most := f.state.bounds()
	var best allocation
	first := max(1, need/max(len(f.counts), 1))
	for bound := first; bound <= max(most, first); bound++ {
		a := f.fill(bound, nil)
		if bound == first || a.better(best) {
			best = a
		}
		if a.most < bound {
			break // the bound does not bind; a higher one only raises the target
		}
	}
	return best
}

// target returns how many servers are wanted when the fullest data centre has
// bound of them.
func (f *filler) target(bound int) int {
	need, most := f.state.bounds()
	if f.state.Policy.MinServers == 0 {
		return need
	}
	return min(most, max(need, f.state.Policy.MinServers+bound))
}

// fill takes the cheapest servers, at most bound of one data centre, and calls
// take for each unit with the number taken.
func (f *filler) fill(bound int, take func(u unit, n int)) allocation {
	a := allocation{bound: bound, target: f.target(bound)}
	clear(f.counts)
	for _, u := range f.all {
		n := min(a.target-a.total, bound-f.counts[u.dataCentre])
		if u.server >= 0 {
			n = min(n, 1)
		}
		if n <= 0 {
			continue
		}
		a.total += n
		a.weight += float64(n) * u.weight
		f.counts[u.dataCentre] += n
		a.most = max(a.most, f.counts[u.dataCentre])
		if take != nil {
			take(u, n)
		}
	}
	need, _ := f.state.bounds()
	a.needDeficit = max(0, need-a.total)
	a.keepDeficit = max(0, f.state.Policy.MinServers-a.keep())
	return a
}

// selection is an allocation in full.
type selection struct {
	kept   map[string]bool // tokens of servers that exist
	starts []offer         // cheapest first
}

func (f *filler) units(a allocation) selection {
	out := selection{kept: make(map[string]bool)}
	f.fill(a.bound, func(u unit, n int) {
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

// better compares by what is missing under load, then by what is missing after
// the loss of a data centre, then by cost.
func (a allocation) better(b allocation) bool {
	return cmp.Or(
		cmp.Compare(a.needDeficit, b.needDeficit),
		cmp.Compare(a.keepDeficit, b.keepDeficit),
		cmp.Compare(a.weight, b.weight),
	) < 0
}

// chooseStarts orders the new servers of the selection, as far as the limits
// allow.
func (p *Plan) chooseStarts(s State, m market, chosen selection) {
	_, most := s.bounds()
	live, cost := m.live(s)
	for _, o := range chosen.starts {
		switch {
		case len(p.Start) >= s.MayStart:
			p.because("more starts wait for those under way")
			return
		case live+len(p.Start) >= most:
			p.because("more starts wait: %d servers are the most allowed", most)
			return
		case s.Policy.MaxHourlyCost > 0 && cost+o.perHour > s.Policy.MaxHourlyCost:
			p.Short = true
			p.because("no start in %s: %.2f an hour would exceed %.2f", o.choice.DataCentre, cost+o.perHour, s.Policy.MaxHourlyCost)
			continue
		}
		cost += o.perHour
		p.Start = append(p.Start, Start{Choice: o.choice, PerHour: o.perHour})
		p.because("start %s at %.3f an hour", o.choice, o.perHour)
	}
}

// chooseDrains takes away servers that the selection leaves out, dearest
// first, while those that serve already carry the load without them.
func (p *Plan) chooseDrains(s State, m market, chosen selection, a allocation) {
	serving := newTally(s)
	for _, server := range m.dearestFirst(s.Servers) {
		if server.State != Serving || chosen.kept[server.Token] {
			continue
		}
		if len(p.Drain) >= s.MayDrain {
			p.because("more drains wait for those under way")
			return
		}
		if !serving.allowsLoss(server.Choice.DataCentre, s, a) {
			p.because("%s stays until others serve", server.Choice)
			continue
		}
		serving.remove(server.Choice.DataCentre)
		p.Drain = append(p.Drain, server.Token)
		p.because("drain %s: %s", server.Token, server.Choice)
	}
}

// price works out the cost of what is there and what the plan starts, without
// what it drains.
func (p *Plan) price(s State, m market) {
	for _, server := range s.Servers {
		if server.State != Leaving && !slices.Contains(p.Drain, server.Token) {
			p.Cost += m.of(server.Choice).perHour
		}
	}
	for _, start := range p.Start {
		p.Cost += start.PerHour
	}
}
