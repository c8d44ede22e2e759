package load

import (
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

const (
	shortestMicros = 1
	longestMicros  = 600_000_000
	precision      = 3 // significant figures
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(shortestMicros, longestMicros, precision)
}

func recordTime(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), shortestMicros), longestMicros))
}

// recorder collects what executions report.
type recorder struct {
	mu            sync.Mutex
	first         *hdrhistogram.Histogram
	between       *hdrhistogram.Histogram
	whole         *hdrhistogram.Histogram
	byCaller      []callerRecord
	codes         map[codeKey]int
	answers       map[string]string // by key
	violations    []Violation
	told          []told
	resumes       int
	elsewhere     int
	offered       int
	accepted      int
	outcomeCounts [outcomeLost + 1]int
}

type callerRecord struct {
	offered, answered int
	first, whole      *hdrhistogram.Histogram
}

type codeKey struct {
	code    verdict.Code
	verdict verdict.Verdict
}

func newRecorder(callers int) *recorder {
	r := &recorder{
		first: newHistogram(), between: newHistogram(), whole: newHistogram(),
		codes: make(map[codeKey]int), answers: make(map[string]string),
	}
	for range callers {
		r.byCaller = append(r.byCaller, callerRecord{first: newHistogram(), whole: newHistogram()})
	}
	return r
}

func (r *recorder) firstToken(caller int, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	recordTime(r.first, d)
	recordTime(r.byCaller[caller].first, d)
}

func (r *recorder) betweenTokens(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	recordTime(r.between, d)
}

func (r *recorder) violation(v Violation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, v)
}

func (r *recorder) resumed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resumes++
}

func (r *recorder) sentElsewhere(c verdict.Code) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.elsewhere++
	r.codes[codeKey{c, verdict.NotRun}]++
}

// agrees says whether the answer is the first for its key or equals it.
func (r *recorder) agrees(key, answer string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.answers[key]
	if !ok {
		r.answers[key] = answer
	}
	return !ok || known == answer
}

// finish takes the outcome of one execution. Only the first execution of a
// request counts as an arrival.
func (r *recorder) finish(e *execution, o outcome, took time.Duration, primary bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.code != "" {
		r.codes[codeKey{o.code, o.verdict}]++
	}
	if !primary {
		return
	}
	caller := &r.byCaller[e.plan.caller]
	caller.offered++
	r.offered++
	if o.accepted {
		r.accepted++
	}
	r.outcomeCounts[o.kind]++
	if o.kind == outcomeAnswered {
		caller.answered++
		recordTime(r.whole, took)
		recordTime(caller.whole, took)
	}
}

func (r *recorder) tell(t told) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.told = append(r.told, t)
}

func (r *recorder) sortedCodes() []CodeCount {
	out := make([]CodeCount, 0, len(r.codes))
	for k, n := range r.codes {
		out = append(out, CodeCount{Code: k.code, Verdict: k.verdict.String(), Count: n})
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Code != out[j].Code {
			return out[i].Code < out[j].Code
		}
		return out[i].Verdict < out[j].Verdict
	})
	return out
}
