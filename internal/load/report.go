package load

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// Percentiles summarises durations, in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// CodeCount is the number of error responses with one code and verdict.
type CodeCount struct {
	Code    verdict.Code `json:"code"`
	Verdict string       `json:"verdict"`
	Count   int          `json:"count"`
}

// OrganisationReport holds the results of one calling organisation.
type OrganisationReport struct {
	Organisation   entity.OrganisationID `json:"organisation"`
	Offered        int                   `json:"offered"`
	Answered       int                   `json:"answered"`
	FirstToken     Percentiles           `json:"first_token"`
	CompleteAnswer Percentiles           `json:"whole"`
}

// Report is the result of a run. The durations to the first token and to the
// complete answer count from the planned arrival, not from the actual sending:
// a load generator that falls behind its schedule must not hide waiting time.
type Report struct {
	Seed                 uint64               `json:"seed"`
	Seconds              float64              `json:"seconds"`
	Offered              int                  `json:"offered"`        // requests started; this count and those up to Lost leave out resends
	Accepted             int                  `json:"accepted"`       // given a request ID by a daemon
	Answered             int                  `json:"answered"`       // with the complete answer
	Refused              int                  `json:"refused"`        // reported as not run
	Failed               int                  `json:"failed"`         // reported as run, or as possibly run
	Unknown              int                  `json:"unknown"`        // the connection broke before acceptance
	Lost                 int                  `json:"lost"`           // accepted, but no final answer was received in time
	Resumes              int                  `json:"resumes"`        // calls for the remaining answer, those of resends included
	SentElsewhere        int                  `json:"sent_elsewhere"` // submissions that one daemon refused and that were sent to another, those of resends included
	FirstToken           Percentiles          `json:"first_token"`
	BetweenTokens        Percentiles          `json:"between_tokens"`
	CompleteAnswer       Percentiles          `json:"whole"`
	Codes                []CodeCount          `json:"codes"`
	Organisations        []OrganisationReport `json:"organisations"`
	UnreadableRunRecords []string             `json:"missing_runs,omitempty"` // URLs of backend servers whose run record could not be read
	ViolationList        []Violation          `json:"violations"`
}

// Violations returns the cases in which a guarantee did not hold.
func (r Report) Violations() []Violation { return r.ViolationList }

// WriteJSON writes the report as JSON.
func (r Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

// WriteText writes the report as human-readable text.
func (r Report) WriteText(w io.Writer) error {
	p := &printer{w: w}
	p.printf("seed %d, %.1f s: %d offered, %d accepted, %d answered\n", r.Seed, r.Seconds, r.Offered, r.Accepted, r.Answered)
	p.printf("refused %d, failed %d, unknown %d, lost %d; resumed %d, sent elsewhere %d\n",
		r.Refused, r.Failed, r.Unknown, r.Lost, r.Resumes, r.SentElsewhere)
	p.printTimes("first token", r.FirstToken)
	p.printTimes("between tokens", r.BetweenTokens)
	p.printTimes("whole", r.CompleteAnswer)
	for _, c := range r.Codes {
		p.printf("code %s (%s): %d\n", c.Code, c.Verdict, c.Count)
	}
	for _, o := range r.Organisations {
		p.printf("organisation %s: %d offered, %d answered\n", o.Organisation, o.Offered, o.Answered)
		p.printTimes("  first token", o.FirstToken)
		p.printTimes("  whole", o.CompleteAnswer)
	}
	for _, u := range r.UnreadableRunRecords {
		p.printf("no record of runs from %s\n", u)
	}
	for _, v := range r.ViolationList {
		p.printf("VIOLATION %s: request %s: %s\n", v.Kind, v.Request, v.Detail)
	}
	p.printf("%d violations\n", len(r.ViolationList))
	return p.err
}

// printer writes formatted text, keeps the first write error and writes nothing
// after it.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

func (p *printer) printTimes(name string, t Percentiles) {
	if t.Count > 0 {
		p.printf("%s: 50%% %.2f ms, 95%% %.2f ms, 99%% %.2f ms, max %.2f ms (%d)\n", name, t.P50, t.P95, t.P99, t.Max, t.Count)
	}
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	const microsPerMilli = 1000
	quantileMillis := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / microsPerMilli }
	return Percentiles{
		Count: h.TotalCount(), P50: quantileMillis(50), P95: quantileMillis(95), P99: quantileMillis(99),
		Max: float64(h.Max()) / microsPerMilli,
	}
}

// buildReport creates the report from the collected data. All executions must
// have ended.
func (r *recorder) buildReport(c Config, elapsed time.Duration) Report {
	out := Report{
		Seed: c.Seed, Seconds: elapsed.Seconds(), Offered: r.offered, Accepted: r.accepted,
		Answered: r.outcomeCounts[outcomeAnswered], Refused: r.outcomeCounts[outcomeRefused],
		Failed: r.outcomeCounts[outcomeFailed], Unknown: r.outcomeCounts[outcomeUnknown],
		Lost: r.outcomeCounts[outcomeLost], Resumes: r.resumes, SentElsewhere: r.sendsElsewhere,
		FirstToken: percentiles(r.firstTokenTimes), BetweenTokens: percentiles(r.betweenTokenTimes), CompleteAnswer: percentiles(r.completeAnswerTimes),
		Codes: r.sortedCodeCounts(), ViolationList: append([]Violation{}, r.violations...),
	}
	for i, caller := range r.byCaller {
		out.Organisations = append(out.Organisations, OrganisationReport{
			Organisation: c.Callers[i].Organisation, Offered: caller.offered, Answered: caller.answered,
			FirstToken: percentiles(caller.firstTokenTimes), CompleteAnswer: percentiles(caller.completeAnswerTimes),
		})
	}
	return out
}
