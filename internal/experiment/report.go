package experiment

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// WriteTable writes the results as a human-readable table.
func WriteTable(w io.Writer, results []*Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "policy\tseed\tclass\tasked\ton time\tlate\trefused\tlarge on time\tcredit\tworst 2 s\tfirst p50 ms\tp95 ms\tp99 ms\tbusiest\tpeak\tfalls\t")
	for _, r := range results {
		fmt.Fprintf(t, "%s\t%d\tall\t\t\t\t\t\t%.3f\t%.3f\t\t\t\t%.2f\t%.2f\t%d\t\n", r.Policy, r.Seed, r.Credit(), r.WorstCredit(), r.shares.Busiest(), r.shares.Peak(), r.Falls)
		for _, c := range r.Classes {
			ms := func(q float64) float64 { return float64(c.FirstEventMicros.ValueAtQuantile(q)) / 1000 }
			fmt.Fprintf(t, "\t\t%s\t%d\t%d\t%d\t%d\t%.2f\t%.3f\t\t%.0f\t%.0f\t%.0f\t\t\t\t\n",
				c.Name, c.Requests, c.OnTime, c.Late, c.Refused, float64(c.LargeOnTime)/float64(max(c.Large, 1)), c.EarnedValue/max(c.TotalValue, 1e-9), ms(50), ms(95), ms(99))
		}
	}
	return t.Flush()
}

// Sizes of the plot, in pixels.
const (
	plotWidth  = 900
	plotHeight = 300
	plotMargin = 45
)

var plotColours = []string{"#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad"}

// WritePlot writes an SVG plot of each policy's credit, by second of arrival and
// over all seeds.
func WritePlot(w io.Writer, results []*Result) error {
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`, plotWidth, plotHeight+40)
	b.WriteString(`<rect width="100%" height="100%" fill="white"/>`)
	for _, credit := range []float64{0, 0.5, 1} {
		y := plotY(credit)
		fmt.Fprintf(&b, `<line x1="%d" x2="%d" y1="%.0f" y2="%.0f" stroke="#ccc"/><text x="8" y="%.0f">%.1f</text>`, plotMargin, plotWidth-10, y, y, y+4, credit)
	}
	for i, policy := range distinctPolicies(results) {
		colour := plotColours[i%len(plotColours)]
		fmt.Fprintf(&b, `<polyline fill="none" stroke="%s" stroke-width="2" points="%s"/>`, colour, plotPoints(results, policy))
		fmt.Fprintf(&b, `<text x="%d" y="%d" fill="%s">%s</text>`, plotMargin+150*i, plotHeight+30, colour, policy)
	}
	fmt.Fprintf(&b, `<text x="%d" y="14">part of the worth earned, by second of arrival</text></svg>`, plotMargin)
	_, err := io.WriteString(w, b.String())
	return err
}

// plotY returns the vertical position of a credit from 0 to 1.
func plotY(credit float64) float64 { return plotHeight - credit*(plotHeight-30) }

// distinctPolicies returns the policies of the results in their first order.
func distinctPolicies(results []*Result) []Policy {
	var out []Policy
	seen := map[Policy]bool{}
	for _, r := range results {
		if !seen[r.Policy] {
			seen[r.Policy] = true
			out = append(out, r.Policy)
		}
	}
	return out
}

// plotPoints returns the points of a policy's line, in the form of an SVG
// polyline. Seconds without arrivals have no point.
func plotPoints(results []*Result, policy Policy) string {
	var sums []Second
	for _, r := range results {
		if r.Policy != policy {
			continue
		}
		if sums == nil {
			sums = make([]Second, len(r.BySecond))
		}
		for i, s := range r.BySecond {
			sums[i].TotalValue += s.TotalValue
			sums[i].EarnedValue += s.EarnedValue
		}
	}
	var points []string
	for i, s := range sums {
		if s.TotalValue > 0 {
			x := plotMargin + float64(i)/float64(max(len(sums)-1, 1))*(plotWidth-plotMargin-10)
			points = append(points, fmt.Sprintf("%.1f,%.1f", x, plotY(s.EarnedValue/s.TotalValue)))
		}
	}
	return strings.Join(points, " ")
}
