// Package fairshare orders waiting requests: by priority class, and within a
// class by start-time fair queueing between organisations (Goyal, Vin and
// Cheng, 1996). An organisation is charged the cost of its requests in tokens,
// divided by its weight. A share that is not used is lent to the others and
// taken back with the next request of its owner.
package fairshare

import (
	"container/heap"
	"slices"
	"strings"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

const defaultWeight = 1

// Entry is a waiting request.
type Entry[K comparable] struct {
	Key          K
	Organisation entity.OrganisationID
	Priority     entity.Priority
	Cost         entity.Tokens
	Latest       time.Time // a start after this misses the deadline; zero: none
}

// Queue holds waiting requests. It is not safe for concurrent use.
type Queue[K comparable] struct {
	weights []weight // by organisation
	classes [entity.PriorityCount]class[K]
	items   map[K]*item[K] // looked up only, never ranged over
	latest  latestHeap[K]
}

type weight struct {
	organisation entity.OrganisationID
	value        float64
}

type class[K comparable] struct {
	virtual float64    // start tag of the request taken last
	flows   []*flow[K] // by organisation
	backlog entity.Tokens
	length  int
}

type flow[K comparable] struct {
	organisation entity.OrganisationID
	weight       float64
	finish       float64 // finish tag of the request taken last
	items        []*item[K]
	backlog      entity.Tokens
}

type item[K comparable] struct {
	Entry[K]
	index int // in the heap of latest starts; -1 without one
}

// New returns an empty queue in which all organisations weigh the same.
func New[K comparable]() *Queue[K] {
	return &Queue[K]{items: make(map[K]*item[K])}
}

// SetShares takes the organisations' weights.
func (q *Queue[K]) SetShares(shares []entity.OrganisationShare) {
	q.weights = q.weights[:0]
	for i := range shares {
		w := weight{shares[i].ID, float64(max(shares[i].Weight, defaultWeight))}
		q.weights = append(q.weights, w)
	}
	slices.SortFunc(q.weights, func(a, b weight) int {
		return strings.Compare(string(a.organisation), string(b.organisation))
	})
	for c := range q.classes {
		for _, f := range q.classes[c].flows {
			f.weight = q.weight(f.organisation)
		}
	}
}

// Len returns the number of waiting requests.
func (q *Queue[K]) Len() int { return len(q.items) }

// Contains reports whether the request waits.
func (q *Queue[K]) Contains(k K) bool { return q.items[k] != nil }

// Push adds a request. A key that waits already is left as it is.
func (q *Queue[K]) Push(e Entry[K]) {
	if q.items[e.Key] != nil {
		return
	}
	e.Cost = max(e.Cost, 1)
	e.Priority = min(e.Priority, entity.PriorityCount-1)
	it := &item[K]{Entry: e, index: -1}
	q.items[e.Key] = it
	c := &q.classes[e.Priority]
	f := q.flow(c, e.Organisation)
	if len(f.items) == 0 {
		f.finish = max(f.finish, c.virtual)
	}
	f.items = append(f.items, it)
	f.backlog += e.Cost
	c.backlog += e.Cost
	c.length++
	if !e.Latest.IsZero() {
		heap.Push(&q.latest, it)
	}
}

// Pop takes the next request of the classes up to the lowest given and charges
// its organisation.
func (q *Queue[K]) Pop(lowest entity.Priority) (Entry[K], bool) {
	for p := range q.classes {
		if p > int(lowest) {
			break
		}
		c := &q.classes[p]
		if c.length == 0 {
			continue
		}
		f := c.next()
		it := f.items[0]
		c.virtual = f.finish
		f.finish += float64(it.Cost) / f.weight
		q.unlink(c, f, 0)
		if c.length == 0 {
			c.rest()
		}
		return it.Entry, true
	}
	return Entry[K]{}, false
}

// Remove takes a request out without charge.
func (q *Queue[K]) Remove(k K) bool {
	it := q.items[k]
	if it == nil {
		return false
	}
	c := &q.classes[it.Priority]
	f := q.flow(c, it.Organisation)
	q.unlink(c, f, slices.Index(f.items, it))
	return true
}

// Correct replaces the estimate that an organisation was charged by the
// actual cost.
func (q *Queue[K]) Correct(org entity.OrganisationID, p entity.Priority, charged, actual entity.Tokens) {
	c := &q.classes[min(p, entity.PriorityCount-1)]
	i, found := c.find(org)
	if !found {
		return
	}
	f := c.flows[i]
	f.finish += float64(actual-charged) / f.weight
}

// Expire takes out the requests whose latest start has come.
func (q *Queue[K]) Expire(now time.Time) []K {
	var out []K
	for len(q.latest) > 0 && !q.latest[0].Latest.After(now) {
		k := q.latest[0].Key
		q.Remove(k)
		out = append(out, k)
	}
	return out
}

// NextExpiry returns when the next request expires; zero: none will.
func (q *Queue[K]) NextExpiry() time.Time {
	if len(q.latest) == 0 {
		return time.Time{}
	}
	return q.latest[0].Latest
}

// Drain takes out all requests, in the order in which Pop would.
func (q *Queue[K]) Drain() []K {
	var out []K
	for {
		e, ok := q.Pop(entity.PriorityCount - 1)
		if !ok {
			return out
		}
		out = append(out, e.Key)
	}
}

// Ahead returns the cost of the work that would be taken before a new request
// of the organisation, if nothing else arrives.
func (q *Queue[K]) Ahead(org entity.OrganisationID, p entity.Priority, cost entity.Tokens) entity.Tokens {
	p = min(p, entity.PriorityCount-1)
	var ahead entity.Tokens
	for i := range int(p) {
		ahead += q.classes[i].backlog
	}
	c := &q.classes[p]
	start, backlog := c.virtual, entity.Tokens(0)
	if i, found := c.find(org); found {
		backlog = c.flows[i].backlog
		start = max(c.flows[i].finish, start)
		if backlog > 0 {
			start = c.flows[i].finish
		}
	}
	start += float64(backlog) / q.weight(org)
	for _, f := range c.flows {
		if f.organisation == org {
			continue
		}
		before := max(0, (start-f.finish)*f.weight)
		ahead += min(f.backlog, entity.Tokens(before))
	}
	return ahead + backlog
}

func (q *Queue[K]) weight(org entity.OrganisationID) float64 {
	i, found := slices.BinarySearchFunc(q.weights, org, func(w weight, o entity.OrganisationID) int {
		return strings.Compare(string(w.organisation), string(o))
	})
	if !found {
		return defaultWeight
	}
	return q.weights[i].value
}

func (q *Queue[K]) flow(c *class[K], org entity.OrganisationID) *flow[K] {
	i, found := c.find(org)
	if !found {
		f := &flow[K]{organisation: org, weight: q.weight(org)}
		c.flows = slices.Insert(c.flows, i, f)
	}
	return c.flows[i]
}

func (q *Queue[K]) unlink(c *class[K], f *flow[K], i int) {
	it := f.items[i]
	f.items = slices.Delete(f.items, i, i+1)
	f.backlog -= it.Cost
	c.backlog -= it.Cost
	c.length--
	delete(q.items, it.Key)
	if it.index >= 0 {
		heap.Remove(&q.latest, it.index)
	}
}

func (c *class[K]) find(org entity.OrganisationID) (int, bool) {
	return slices.BinarySearchFunc(c.flows, org, func(f *flow[K], o entity.OrganisationID) int {
		return strings.Compare(string(f.organisation), string(o))
	})
}

// next returns the waiting flow with the lowest start tag.
func (c *class[K]) next() *flow[K] {
	var best *flow[K]
	for _, f := range c.flows {
		if len(f.items) == 0 {
			continue
		}
		if best == nil || f.finish < best.finish {
			best = f
		}
	}
	return best
}

// rest ends a busy period: nobody owes anything for a share that was lent
// while its owner had no work.
func (c *class[K]) rest() {
	for _, f := range c.flows {
		c.virtual = max(c.virtual, f.finish)
	}
}
