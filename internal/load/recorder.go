package load

import (
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// Histograms record microseconds; values outside this range count as its nearest
// bound.
const (
	minRecordedMicros = 1
	maxRecordedMicros = 600_000_000
	significantDigits = 3 // decimal digits
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minRecordedMicros, maxRecordedMicros, significantDigits)
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minRecordedMicros), maxRecordedMicros))
}

// recorder collects the latencies, outcomes and violations of all executions of
// a run.
type recorder struct {
	mu                  sync.Mutex
	firstTokenTimes     *hdrhistogram.Histogram
	betweenTokenTimes   *hdrhistogram.Histogram
	completeAnswerTimes *hdrhistogram.Histogram
	byCaller            []callerTotals
	codeCounts          map[codeKey]int
	firstAnswers        map[string]string // by idempotency key
	violations          []Violation
	reportedOutcomes    []reportedOutcome
	resumes             int
	sendsElsewhere      int // submissions that one daemon refused and that were sent to another
	offered             int
	accepted            int
	outcomeCounts       [outcomeLost + 1]int
}

type callerTotals struct {
	offered, answered                    int
	firstTokenTimes, completeAnswerTimes *hdrhistogram.Histogram
}

type codeKey struct {
	code    verdict.Code
	verdict verdict.Verdict
}

func newRecorder(callers int) *recorder {
	r := &recorder{
		firstTokenTimes: newHistogram(), betweenTokenTimes: newHistogram(), completeAnswerTimes: newHistogram(),
		codeCounts: make(map[codeKey]int), firstAnswers: make(map[string]string),
	}
	for range callers {
		r.byCaller = append(r.byCaller, callerTotals{firstTokenTimes: newHistogram(), completeAnswerTimes: newHistogram()})
	}
	return r
}

func (r *recorder) recordFirstToken(caller int, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	recordDuration(r.firstTokenTimes, d)
	recordDuration(r.byCaller[caller].firstTokenTimes, d)
}

func (r *recorder) recordBetweenTokens(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	recordDuration(r.betweenTokenTimes, d)
}

func (r *recorder) addViolation(v Violation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, v)
}

func (r *recorder) countResume() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resumes++
}

func (r *recorder) countSentElsewhere(c verdict.Code) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sendsElsewhere++
	r.codeCounts[codeKey{c, verdict.NotRun}]++
}

// matchesFirstAnswer reports whether the answer is the first for its idempotency
// key or equals the first one.
func (r *recorder) matchesFirstAnswer(key, answer string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.firstAnswers[key]
	if !ok {
		r.firstAnswers[key] = answer
	}
	return !ok || known == answer
}

// recordOutcome counts the outcome of one execution. Only the primary execution
// of a request counts as an arrival; of a resend, only the error code counts.
func (r *recorder) recordOutcome(e *execution, o outcome, elapsed time.Duration, primary bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.code != "" {
		r.codeCounts[codeKey{o.code, o.verdict}]++
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
		recordDuration(r.completeAnswerTimes, elapsed)
		recordDuration(caller.completeAnswerTimes, elapsed)
	}
}

func (r *recorder) addReportedOutcome(o reportedOutcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reportedOutcomes = append(r.reportedOutcomes, o)
}

func (r *recorder) sortedCodeCounts() []CodeCount {
	out := make([]CodeCount, 0, len(r.codeCounts))
	for k, n := range r.codeCounts {
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
