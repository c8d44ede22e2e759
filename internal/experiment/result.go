package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// histogramMax is the largest latency that is told apart, in microseconds.
const histogramMax = 60_000_000

// ClassResult is what became of the requests of a class.
type ClassResult struct {
	Name    string
	Asked   int
	OnTime  int
	Late    int
	Refused int
	Owed    float64 // worth of all
	Earned  float64
	First   *hdrhistogram.Histogram // microseconds to the first event
}

// Result is what one policy reached with one seed.
type Result struct {
	Policy  Policy
	Seed    uint64
	Classes []*ClassResult
	byClass map[*Class]*ClassResult
	firstAt map[*request]time.Duration
	Series  []Second
}

// Second sums up the requests that came in one second.
type Second struct {
	Owed   float64
	Earned float64
}

func newResult(cfg *Config, policy Policy, seed uint64) *Result {
	r := &Result{
		Policy: policy, Seed: seed, byClass: map[*Class]*ClassResult{}, firstAt: map[*request]time.Duration{},
		Series: make([]Second, int(cfg.Seconds)+1),
	}
	for i := range cfg.Classes {
		c := &ClassResult{Name: cfg.Classes[i].Name, First: hdrhistogram.New(1, histogramMax, 3)}
		r.Classes = append(r.Classes, c)
		r.byClass[&cfg.Classes[i]] = c
	}
	return r
}

func (r *Result) asked(q *request) *ClassResult {
	c := r.byClass[q.class]
	c.Asked++
	c.Owed += q.class.Worth
	r.Series[int(q.at.Seconds())].Owed += q.class.Worth
	return c
}

func (r *Result) refused(q *request) { r.asked(q).Refused++ }

func (r *Result) first(q *request, took time.Duration) {
	r.firstAt[q] = took
	// Latencies beyond the histogram's range count as its largest value.
	_ = r.byClass[q.class].First.RecordValue(min(took.Microseconds(), histogramMax))
}

// done takes a whole answer.
func (r *Result) done(j *job) {
	q := j.request
	c := r.asked(q)
	took := r.firstAt[q]
	delete(r.firstAt, q)
	earned := q.class.LateWorth
	switch {
	case took > milliseconds(q.class.DeadlineMs):
		earned = 0
		c.Late++
	case took > milliseconds(q.class.ObjectiveMs) || q.class.PauseMs > 0 && j.pause > milliseconds(q.class.PauseMs):
		c.Late++
	default:
		earned = q.class.Worth
		c.OnTime++
	}
	c.Earned += earned
	r.Series[int(q.at.Seconds())].Earned += earned
}

// Credit returns the part of the worth that was earned.
func (r *Result) Credit() float64 {
	owed, earned := 0.0, 0.0
	for _, c := range r.Classes {
		owed += c.Owed
		earned += c.Earned
	}
	if owed == 0 {
		return 1
	}
	return earned / owed
}

// Worst returns the lowest part of the worth earned in any two seconds.
func (r *Result) Worst() float64 {
	worst := 1.0
	for i := 0; i+1 < len(r.Series); i++ {
		owed := r.Series[i].Owed + r.Series[i+1].Owed
		if owed > 0 {
			worst = min(worst, (r.Series[i].Earned+r.Series[i+1].Earned)/owed)
		}
	}
	return worst
}
