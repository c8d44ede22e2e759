package fleet

import "github.com/gooseberryslip/gooseberryslip/internal/entity"

// tally counts the servers that serve, in total and by data centre.
type tally struct {
	total        int
	byDataCentre map[entity.DataCentreID]int
}

func newTally(s State) *tally {
	t := &tally{byDataCentre: make(map[entity.DataCentreID]int)}
	for _, server := range s.Servers {
		if server.State == Serving {
			t.total++
			t.byDataCentre[server.Choice.DataCentre]++
		}
	}
	return t
}

func (t *tally) remove(dc entity.DataCentreID) {
	t.total--
	t.byDataCentre[dc]--
}

func (t *tally) restore(dc entity.DataCentreID) {
	t.total++
	t.byDataCentre[dc]++
}

// afterLoss returns the number of servers that remain when the data centre with
// most servers is lost.
func (t *tally) afterLoss() int {
	fullest := 0
	for _, n := range t.byDataCentre {
		fullest = max(fullest, n)
	}
	return t.total - fullest
}

// allowsRemoval reports whether one server of a data centre may be drained: the
// others carry the load, and after the loss of a data centre at least the
// policy's minimum remains, or as many as the allocation would leave.
func (t *tally) allowsRemoval(dc entity.DataCentreID, s State, a allocation) bool {
	need, _ := s.serverRange()
	t.remove(dc)
	defer t.restore(dc)
	return t.total >= need && t.afterLoss() >= min(s.Policy.MinServers, a.afterLoss())
}
