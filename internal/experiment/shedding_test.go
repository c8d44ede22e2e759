package experiment

import (
	"os"
	"testing"
)

// shortageConfig returns the example of a shortage with 30 of its 90 engines, for a number of
// daemons that send their state updates at the intervals of a fleet of that size.
func shortageConfig(t *testing.T, daemons int) *Config {
	t.Helper()
	content, err := os.ReadFile("../../examples/experiment/shortage.toml")
	if err != nil {
		t.Fatal(err)
	}
	c, err := Parse(content)
	if err != nil {
		t.Fatal(err)
	}
	c.Daemons, c.Engines, c.Seeds = daemons, c.Engines/3, c.Seeds[:1]
	c.UpdateIntervalMs = max(100, 10*float64(daemons))
	for i := range c.Classes {
		c.Classes[i].ArrivalsPerSecond /= 3
	}
	return c
}

// patterns are the loads under which a service is short of room. Bursts last as long as the
// run, so that the classes have the same part of their requests in the shortage.
var patterns = map[string][]Pattern{
	"rush on one route while a third of the engines is reclaimed": {
		{Kind: "reclaim", StartS: 2, DurationS: 6, Share: 0.34}, {Kind: "burst", StartS: 0, DurationS: 8, LoadFactor: 5, Class: "short"},
	},
	"hot key and burst of long streams while a third of the engines is reclaimed": {
		{Kind: "reclaim", StartS: 2, DurationS: 6, Share: 0.34},
		{Kind: "burst", StartS: 0, DurationS: 8, LoadFactor: 4, Class: "long"},
		{Kind: "hot_subject", StartS: 3, DurationS: 5, Share: 0.35, Class: "long"},
	},
	"overload that outlasts deadlines": {{Kind: "burst", StartS: 0, DurationS: 8, LoadFactor: 3}},
}

// TestShedding_MoreInTimeUrgentFirst guards against daemons that together send more than fits,
// so that what is accepted is late, and against shedding that serves a class less often than a
// less urgent one, or that starves one.
func TestShedding_MoreInTimeUrgentFirst(t *testing.T) {
	for name, p := range patterns {
		for _, daemons := range []int{9, 89, 195} {
			c := shortageConfig(t, daemons)
			c.Seconds, c.Patterns = 8, p
			before, after := Run(c, Product, c.Seeds[0]), Run(c, Shedding, c.Seeds[0])
			if after.Credit() < 1.05*before.Credit() {
				t.Errorf("%s, %d daemons: credit %.3f, without shedding %.3f", name, daemons, after.Credit(), before.Credit())
			}
			expectOrder(t, name, daemons, after)
		}
	}
}

// expectOrder checks the served ratios of the classes, which are in order of urgency.
func expectOrder(t *testing.T, name string, daemons int, r *Result) {
	t.Helper()
	requests, served := 0, 0
	for _, class := range r.Classes {
		requests += class.Requests
		served += class.Requests - class.Refused
	}
	overall := float64(served) / float64(requests)
	before := 1.0
	for _, class := range r.Classes {
		ratio := 1 - float64(class.Refused)/float64(class.Requests)
		if ratio > before || ratio < overall/4 {
			t.Errorf("%s, %d daemons: %.3f of class %s served, %.3f of the more urgent one, %.3f overall", name, daemons, ratio, class.Name, before, overall)
		}
		before = ratio
	}
}
