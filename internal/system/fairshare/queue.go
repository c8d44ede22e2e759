// Package fairshare orders waiting requests: by priority class, and within a
// class by start-time fair queueing between organisations (Goyal, Vin and
// Cheng, 1996). An organisation is charged the cost of its requests in tokens,
// divided by its weight. The others may use the share of an organisation without
// waiting requests; it has its share again from its next request on.
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
	Cost         entity.Tokens // estimated
	LatestStart  time.Time     // a later start misses the deadline; zero: no deadline
}

// Queue holds waiting requests. It is not safe for concurrent use.
type Queue[K comparable] struct {
	weights       []weight // sorted by organisation
	classes       [entity.PriorityCount]class[K]
	items         map[K]*item[K] // looked up only, never ranged over
	byLatestStart latestStartHeap[K]
}

type weight struct {
	organisation entity.OrganisationID
	value        float64
}

// class holds the waiting requests of one priority.
type class[K comparable] struct {
	virtualTime float64       // start tag of the request popped last
	flows       []*flow[K]    // sorted by organisation
	backlog     entity.Tokens // cost of the waiting requests
	length      int           // number of waiting requests
}

// flow holds the waiting requests of one organisation in one class.
type flow[K comparable] struct {
	organisation entity.OrganisationID
	weight       float64
	finishTag    float64 // finish tag of the request popped last
	items        []*item[K]
	backlog      entity.Tokens // cost of items
}

type item[K comparable] struct {
	Entry[K]
	index int // in Queue.byLatestStart; -1: not there
}

// New returns an empty queue in which all organisations have the same weight.
func New[K comparable]() *Queue[K] {
	return &Queue[K]{items: make(map[K]*item[K])}
}

// SetWeights replaces the organisations' weights.
func (q *Queue[K]) SetWeights(shares []entity.OrganisationShare) {
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
			f.weight = q.weightOf(f.organisation)
		}
	}
}

// Len returns the number of waiting requests.
func (q *Queue[K]) Len() int { return len(q.items) }

// Contains reports whether the request is waiting.
func (q *Queue[K]) Contains(k K) bool { return q.items[k] != nil }

// Push adds a request. If a request with this key is already waiting, it does nothing.
func (q *Queue[K]) Push(e Entry[K]) {
	if q.items[e.Key] != nil {
		return
	}
	e.Cost = max(e.Cost, 1)
	e.Priority = min(e.Priority, entity.PriorityCount-1)
	it := &item[K]{Entry: e, index: -1}
	q.items[e.Key] = it
	c := &q.classes[e.Priority]
	f := q.flowOf(c, e.Organisation)
	if len(f.items) == 0 {
		f.finishTag = max(f.finishTag, c.virtualTime)
	}
	f.items = append(f.items, it)
	f.backlog += e.Cost
	c.backlog += e.Cost
	c.length++
	if !e.LatestStart.IsZero() {
		heap.Push(&q.byLatestStart, it)
	}
}

// Pop removes and returns the next request and charges its organisation. It considers
// the classes from the highest priority, 0, to the lowest one given.
func (q *Queue[K]) Pop(lowest entity.Priority) (Entry[K], bool) {
	for p := range q.classes {
		if p > int(lowest) {
			break
		}
		c := &q.classes[p]
		if c.length == 0 {
			continue
		}
		f := c.nextFlow()
		it := f.items[0]
		c.virtualTime = f.finishTag
		f.finishTag += float64(it.Cost) / f.weight
		q.unlink(c, f, 0)
		if c.length == 0 {
			c.endBusyPeriod()
		}
		return it.Entry, true
	}
	return Entry[K]{}, false
}

// Remove removes a request without charging its organisation. It reports whether the
// request was waiting.
func (q *Queue[K]) Remove(k K) bool {
	it := q.items[k]
	if it == nil {
		return false
	}
	c := &q.classes[it.Priority]
	f := q.flowOf(c, it.Organisation)
	q.unlink(c, f, slices.Index(f.items, it))
	return true
}

// CorrectCharge replaces the estimated cost that an organisation was charged for a request by
// the actual cost.
func (q *Queue[K]) CorrectCharge(org entity.OrganisationID, p entity.Priority, charged, actual entity.Tokens) {
	c := &q.classes[min(p, entity.PriorityCount-1)]
	i, found := c.findFlow(org)
	if !found {
		return
	}
	f := c.flows[i]
	f.finishTag += float64(actual-charged) / f.weight
}

// Expire removes the requests whose latest start has been reached and returns their keys.
func (q *Queue[K]) Expire(now time.Time) []K {
	var out []K
	for len(q.byLatestStart) > 0 && !q.byLatestStart[0].LatestStart.After(now) {
		k := q.byLatestStart[0].Key
		q.Remove(k)
		out = append(out, k)
	}
	return out
}

// NextExpiry returns when the next request expires; zero: none has a latest start.
func (q *Queue[K]) NextExpiry() time.Time {
	if len(q.byLatestStart) == 0 {
		return time.Time{}
	}
	return q.byLatestStart[0].LatestStart
}

// Drain removes all requests and returns their keys, in the order in which Pop returns
// them.
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

// CostAhead returns the estimated cost of the requests that would be popped before a new
// request of the organisation, if no others arrive.
func (q *Queue[K]) CostAhead(org entity.OrganisationID, p entity.Priority, cost entity.Tokens) entity.Tokens {
	p = min(p, entity.PriorityCount-1)
	var ahead entity.Tokens
	for i := range int(p) {
		ahead += q.classes[i].backlog
	}
	c := &q.classes[p]
	start, backlog := c.virtualTime, entity.Tokens(0)
	if i, found := c.findFlow(org); found {
		backlog = c.flows[i].backlog
		start = max(c.flows[i].finishTag, start)
		if backlog > 0 {
			start = c.flows[i].finishTag
		}
	}
	start += float64(backlog) / q.weightOf(org)
	for _, f := range c.flows {
		if f.organisation == org {
			continue
		}
		before := max(0, (start-f.finishTag)*f.weight)
		ahead += min(f.backlog, entity.Tokens(before))
	}
	return ahead + backlog
}

// weightOf returns an organisation's weight.
func (q *Queue[K]) weightOf(org entity.OrganisationID) float64 {
	i, found := slices.BinarySearchFunc(q.weights, org, func(w weight, o entity.OrganisationID) int {
		return strings.Compare(string(w.organisation), string(o))
	})
	if !found {
		return defaultWeight
	}
	return q.weights[i].value
}

// flowOf returns an organisation's flow in a class; it adds one if there is none.
func (q *Queue[K]) flowOf(c *class[K], org entity.OrganisationID) *flow[K] {
	i, found := c.findFlow(org)
	if !found {
		f := &flow[K]{organisation: org, weight: q.weightOf(org)}
		c.flows = slices.Insert(c.flows, i, f)
	}
	return c.flows[i]
}

// unlink removes the request at index i of a flow.
func (q *Queue[K]) unlink(c *class[K], f *flow[K], i int) {
	it := f.items[i]
	f.items = slices.Delete(f.items, i, i+1)
	f.backlog -= it.Cost
	c.backlog -= it.Cost
	c.length--
	delete(q.items, it.Key)
	if it.index >= 0 {
		heap.Remove(&q.byLatestStart, it.index)
	}
}

// findFlow returns the index of an organisation's flow, or where to insert one.
func (c *class[K]) findFlow(org entity.OrganisationID) (int, bool) {
	return slices.BinarySearchFunc(c.flows, org, func(f *flow[K], o entity.OrganisationID) int {
		return strings.Compare(string(f.organisation), string(o))
	})
}

// nextFlow returns the flow with waiting requests that has the lowest start tag.
func (c *class[K]) nextFlow() *flow[K] {
	var best *flow[K]
	for _, f := range c.flows {
		if len(f.items) == 0 {
			continue
		}
		if best == nil || f.finishTag < best.finishTag {
			best = f
		}
	}
	return best
}

// endBusyPeriod advances the virtual time to the highest finish tag when no request is
// waiting. So organisations that used the share of another one while it had no requests
// are not charged for that in the next busy period.
func (c *class[K]) endBusyPeriod() {
	for _, f := range c.flows {
		c.virtualTime = max(c.virtualTime, f.finishTag)
	}
}
