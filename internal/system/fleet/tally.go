package fleet

import "github.com/gooseberryslip/gooseberryslip/internal/entity"

// tally counts the servers that serve, by data centre.
type tally struct {
	total int
	by    map[entity.DataCentreID]int
}

func newTally(s State) *tally {
	t := &tally{by: make(map[entity.DataCentreID]int)}
	for _, server := range s.Servers {
		if server.State == Serving {
			t.total++
			t.by[server.Choice.DataCentre]++
		}
	}
	return t
}

func (t *tally) remove(dc entity.DataCentreID) {
	t.total--
	t.by[dc]--
}

func (t *tally) restore(dc entity.DataCentreID) {
	t.total++
	t.by[dc]++
}

// keep returns the servers that are left when the fullest data centre is lost.
func (t *tally) keep() int {
	most := 0
	for _, n := range t.by {
		most = max(most, n)
	}
	return t.total - most
}

// allowsLoss says whether one server of a data centre may go: the rest carries
// the load, and keeps the minimum over the loss of a data centre or is no
// worse at it than the allocation.
func (t *tally) allowsLoss(dc entity.DataCentreID, s State, a allocation) bool {
	need, _ := s.bounds()
	t.remove(dc)
	defer t.restore(dc)
	return t.total >= need && t.keep() >= min(s.Policy.MinServers, a.keep())
}
