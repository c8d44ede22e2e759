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

// Percentiles summarises times, in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// CodeCount says how often a code was answered with a verdict.
type CodeCount struct {
	Code    verdict.Code `json:"code"`
	Verdict string       `json:"verdict"`
	Count   int          `json:"count"`
}

// OrganisationReport is the view of one caller.
type OrganisationReport struct {
	Organisation entity.OrganisationID `json:"organisation"`
	Offered      int                   `json:"offered"`
	Answered     int                   `json:"answered"`
	FirstToken   Percentiles           `json:"first_token"`
	Whole        Percentiles           `json:"whole"`
}

// Report is the result of a run. Times count from the planned arrival, so that
// a driver that falls behind does not hide waiting.
type Report struct {
	Seed          uint64               `json:"seed"`
	Seconds       float64              `json:"seconds"`
	Offered       int                  `json:"offered"`
	Accepted      int                  `json:"accepted"`
	Answered      int                  `json:"answered"`
	Refused       int                  `json:"refused"` // told as not run
	Failed        int                  `json:"failed"`  // told as may have run, or ran
	Unknown       int                  `json:"unknown"` // connection broke before acceptance
	Lost          int                  `json:"lost"`
	Resumes       int                  `json:"resumes"`
	SentElsewhere int                  `json:"sent_elsewhere"`
	FirstToken    Percentiles          `json:"first_token"`
	BetweenTokens Percentiles          `json:"between_tokens"`
	Whole         Percentiles          `json:"whole"`
	Codes         []CodeCount          `json:"codes"`
	Organisations []OrganisationReport `json:"organisations"`
	MissingRuns   []string             `json:"missing_runs,omitempty"` // backend servers whose record was not readable
	Broken        []Violation          `json:"violations"`
}

// Violations returns the cases in which a property did not hold.
func (r Report) Violations() []Violation { return r.Broken }

// WriteJSON writes the report as JSON.
func (r Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

// WriteText writes the report for people.
func (r Report) WriteText(w io.Writer) error {
	p := &printer{w: w}
	p.printf("seed %d, %.1f s: %d offered, %d accepted, %d answered\n", r.Seed, r.Seconds, r.Offered, r.Accepted, r.Answered)
	p.printf("refused %d, failed %d, unknown %d, lost %d; resumed %d, sent elsewhere %d\n",
		r.Refused, r.Failed, r.Unknown, r.Lost, r.Resumes, r.SentElsewhere)
	p.times("first token", r.FirstToken)
	p.times("between tokens", r.BetweenTokens)
	p.times("whole", r.Whole)
	for _, c := range r.Codes {
		p.printf("code %s (%s): %d\n", c.Code, c.Verdict, c.Count)
	}
	for _, o := range r.Organisations {
		p.printf("organisation %s: %d offered, %d answered\n", o.Organisation, o.Offered, o.Answered)
		p.times("  first token", o.FirstToken)
		p.times("  whole", o.Whole)
	}
	for _, u := range r.MissingRuns {
		p.printf("no record of runs from %s\n", u)
	}
	for _, v := range r.Broken {
		p.printf("VIOLATION %s: request %s: %s\n", v.Kind, v.Request, v.Detail)
	}
	p.printf("%d violations\n", len(r.Broken))
	return p.err
}

// printer keeps the first error.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

func (p *printer) times(name string, t Percentiles) {
	if t.Count > 0 {
		p.printf("%s: 50%% %.2f ms, 95%% %.2f ms, 99%% %.2f ms, max %.2f ms (%d)\n", name, t.P50, t.P95, t.P99, t.Max, t.Count)
	}
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	const microsPerMilli = 1000
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / microsPerMilli }
	return Percentiles{
		Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99),
		Max: float64(h.Max()) / microsPerMilli,
	}
}

// report sums up. No execution runs any more.
func (r *recorder) report(c Config, took time.Duration) Report {
	out := Report{
		Seed: c.Seed, Seconds: took.Seconds(), Offered: r.offered, Accepted: r.accepted,
		Answered: r.outcomeCounts[outcomeAnswered], Refused: r.outcomeCounts[outcomeRefused],
		Failed: r.outcomeCounts[outcomeFailed], Unknown: r.outcomeCounts[outcomeUnknown],
		Lost: r.outcomeCounts[outcomeLost], Resumes: r.resumes, SentElsewhere: r.elsewhere,
		FirstToken: percentiles(r.first), BetweenTokens: percentiles(r.between), Whole: percentiles(r.whole),
		Codes: r.sortedCodes(), Broken: append([]Violation{}, r.violations...),
	}
	for i, caller := range r.byCaller {
		out.Organisations = append(out.Organisations, OrganisationReport{
			Organisation: c.Callers[i].Organisation, Offered: caller.offered, Answered: caller.answered,
			FirstToken: percentiles(caller.first), Whole: percentiles(caller.whole),
		})
	}
	return out
}
