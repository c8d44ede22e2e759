package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxLatencyMicros is the largest latency that the histograms can record, in
// microseconds. Larger ones are recorded as this value.
const maxLatencyMicros = 60_000_000

// ClassResult counts the outcomes of a class's requests and the value earned.
type ClassResult struct {
	Name             string
	Requests         int
	OnTime           int
	Late             int
	Refused          int
	Large            int // requests among the largest tenth
	LargeOnTime      int
	TotalValue       float64 // of all requests if answered on time
	EarnedValue      float64
	FirstEventMicros *hdrhistogram.Histogram // latencies of the first events
}

// Result holds the outcome of one run with one policy and one seed.
type Result struct {
	Policy            Policy
	Seed              uint64
	Classes           []*ClassResult
	Falls             int // of brittle engines
	byClass           map[*Class]*ClassResult
	firstEventLatency map[*request]time.Duration
	BySecond          []Second // by second of arrival
	shares            workShares
}

// Second sums up the value of the requests that arrived in one second.
type Second struct {
	TotalValue  float64
	EarnedValue float64
}

func newResult(cfg *Config, policy Policy, seed uint64) *Result {
	r := &Result{
		Policy: policy, Seed: seed, byClass: map[*Class]*ClassResult{}, firstEventLatency: map[*request]time.Duration{},
		BySecond: make([]Second, int(cfg.Seconds)+1), shares: newWorkShares(cfg.Engines),
	}
	for i := range cfg.Classes {
		c := &ClassResult{Name: cfg.Classes[i].Name, FirstEventMicros: hdrhistogram.New(1, maxLatencyMicros, 3)}
		r.Classes = append(r.Classes, c)
		r.byClass[&cfg.Classes[i]] = c
	}
	return r
}

// countRequest counts a request that has ended, and its value if answered on
// time.
func (r *Result) countRequest(q *request) *ClassResult {
	c := r.byClass[q.class]
	c.Requests++
	if q.large {
		c.Large++
	}
	c.TotalValue += q.class.Value
	r.BySecond[int(q.arrival.Seconds())].TotalValue += q.class.Value
	return c
}

func (r *Result) recordRefusal(q *request) { r.countRequest(q).Refused++ }

func (r *Result) recordFirstEvent(q *request, latency time.Duration) {
	r.firstEventLatency[q] = latency
	// Latencies beyond the histogram's range count as its largest value.
	_ = r.byClass[q.class].FirstEventMicros.RecordValue(min(latency.Microseconds(), maxLatencyMicros))
}

// recordAnswer counts a complete answer as on time or late and adds the value
// earned. The deadline and the objective apply to the first event.
func (r *Result) recordAnswer(j *job) {
	q := j.request
	c := r.countRequest(q)
	latency := r.firstEventLatency[q]
	delete(r.firstEventLatency, q)
	earned := q.class.LateValue
	switch {
	case latency > milliseconds(q.class.DeadlineMs):
		earned = 0
		c.Late++
	case latency > milliseconds(q.class.ObjectiveMs) || q.class.MaxPauseMs > 0 && j.longestPause > milliseconds(q.class.MaxPauseMs):
		c.Late++
	default:
		earned = q.class.Value
		c.OnTime++
		if q.large {
			c.LargeOnTime++
		}
	}
	c.EarnedValue += earned
	r.BySecond[int(q.arrival.Seconds())].EarnedValue += earned
}

// Credit returns the ratio of the value that was earned, from 0 to 1.
func (r *Result) Credit() float64 {
	total, earned := 0.0, 0.0
	for _, c := range r.Classes {
		total += c.TotalValue
		earned += c.EarnedValue
	}
	if total == 0 {
		return 1
	}
	return earned / total
}

// WorstCredit returns the lowest ratio of the value that was earned over any two
// consecutive seconds of arrivals.
func (r *Result) WorstCredit() float64 {
	worst := 1.0
	for i := 0; i+1 < len(r.BySecond); i++ {
		total := r.BySecond[i].TotalValue + r.BySecond[i+1].TotalValue
		if total > 0 {
			worst = min(worst, (r.BySecond[i].EarnedValue+r.BySecond[i+1].EarnedValue)/total)
		}
	}
	return worst
}
