package placement

import (
	"slices"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

const (
	// minSample is the lowest number of backend servers of which the cheapest is chosen.
	minSample = 2
	// minCachedRatio is the ratio of a prompt that a backend server must have cached to be
	// considered whether or not it is drawn.
	minCachedRatio = 0.4
)

// sample is the backend servers of which a request gets the cheapest; nil: all of them.
type sample []entity.BackendServerID

func (s sample) contains(id entity.BackendServerID) bool { return s == nil || slices.Contains(s, id) }

// drawSample draws the backend servers that a request may get if q.SampleLoad is set. All
// daemons know the same cheapest server from the same old updates. If each request considers
// a random few, that server gets no more requests than it has slots before the daemons learn
// of them.
func (p *Placer) drawSample(q *Query, usable func(entity.BackendServerID) bool) sample {
	if q.SampleLoad <= 0 {
		return nil
	}
	var rows []*serverRow
	slots := 0
	p.servers.All(func(id entity.BackendServerID, r *serverRow) bool {
		if r.Service == q.Service && usable(id) && !slices.Contains(q.Exclude, id) {
			rows = append(rows, r)
			slots += r.Slots
		}
		return true
	})
	size := max(int(float64(slots)/q.SampleLoad), minSample)
	if size >= len(rows) {
		return nil
	}
	out := make(sample, 0, size)
	for i, n := range p.rng.Perm(len(rows)) {
		r := rows[n]
		if i >= size && !p.mostlyCached(r, q) {
			continue
		}
		out = append(out, r.ID)
	}
	return out
}

// mostlyCached reports whether a backend server has much of the prompt cached.
func (p *Placer) mostlyCached(r *serverRow, q *Query) bool {
	uncached, _ := p.uncached(r, q)
	return float64(uncached) <= (1-minCachedRatio)*float64(q.Prompt)
}
