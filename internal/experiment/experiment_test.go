package experiment

import (
	"os"
	"strings"
	"testing"
)

func exampleConfig(t *testing.T) *Config { return readConfig(t, "overload") }

func readConfig(t *testing.T, name string) *Config {
	t.Helper()
	content, err := os.ReadFile("../../examples/experiment/" + name + ".toml")
	if err != nil {
		t.Fatal(err)
	}
	c, err := Parse(content)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestRun_EveryRequestHasOneEnd checks that no request is lost or counted twice:
// each one ends as answered on time, answered late or refused.
func TestRun_EveryRequestHasOneEnd(t *testing.T) {
	c := exampleConfig(t)
	c.Seconds = 15
	for _, policy := range c.Policies {
		r := Run(c, policy, 7)
		for _, class := range r.Classes {
			if class.Requests != class.OnTime+class.Late+class.Refused || class.Requests == 0 {
				t.Errorf("%s %s: %d requests, %d on time, %d late, %d refused", policy, class.Name, class.Requests, class.OnTime, class.Late, class.Refused)
			}
		}
	}
}

func TestRun_IsRepeatable(t *testing.T) {
	c := exampleConfig(t)
	c.Seconds = 10
	if a, b := Run(c, Product, 3).Credit(), Run(c, Product, 3).Credit(); a != b {
		t.Fatalf("two runs with the same seed have different credits, %v and %v", a, b)
	}
}

// Each of the following tests replays a load that was handled badly before, and
// compares the product's credit with that of simpler policies under the same load.

// TestPlacement_SharedPromptsUnderLoad simulates many reports about few subjects.
// Placing requests where the shared prompt part is cached must earn more than
// spreading them evenly.
func TestPlacement_SharedPromptsUnderLoad(t *testing.T) {
	c := exampleConfig(t)
	c.Patterns, c.Seconds = nil, 30
	for i := range c.Classes {
		c.Classes[i].ArrivalsPerSecond *= 1.3
	}
	expectMoreCredit(t, c, Product, RoundRobin, 1.05)
	expectMoreCredit(t, c, Product, Random, 1.05)
	expectMoreCredit(t, c, Product, LeastOutstanding, 1.05)
}

// TestPlacement_HotSubject simulates a third of all reports being about one
// subject. They must not saturate the one engine that has the subject cached.
func TestPlacement_HotSubject(t *testing.T) {
	c := exampleConfig(t)
	c.Seconds = 30
	c.Patterns = []Pattern{{Kind: "hot_subject", StartS: 5, DurationS: 20, Share: 0.35, Class: "report"}}
	expectMoreCredit(t, c, Product, RoundRobin, 1.05)
}

// TestTurnAway_Burst simulates a burst beyond the capacity of the engines.
// Rejecting some requests at once must keep the others on time.
func TestTurnAway_Burst(t *testing.T) {
	c := exampleConfig(t)
	c.Seconds = 30
	c.Patterns = []Pattern{{Kind: "burst", StartS: 8, DurationS: 8, LoadFactor: 2.2}}
	expectMoreCredit(t, c, Product, LeastOutstanding, 1.05)
	expectMoreCredit(t, c, Product, NeverRejecting, 1.3)
}

// TestTurnAway_FewSlots simulates the same burst at engines with few slots, where
// requests wait for a slot rather than for other prompts to be read. The urgent
// class must not be rejected or late more than the other one.
func TestTurnAway_FewSlots(t *testing.T) {
	c := exampleConfig(t)
	c.Seconds, c.Engine.Slots = 30, 16
	c.Patterns = []Pattern{{Kind: "burst", StartS: 8, DurationS: 8, LoadFactor: 2.2}}
	expectMoreCredit(t, c, Product, NeverRejecting, 1.2)
	for _, seed := range c.Seeds {
		r := Run(c, Product, seed)
		note, report := r.Classes[0], r.Classes[1]
		if note.EarnedValue/note.TotalValue < report.EarnedValue/report.TotalValue {
			t.Errorf("seed %d: the urgent class earned the ratio %.2f of its value, less than the other class with %.2f", seed, note.EarnedValue/note.TotalValue, report.EarnedValue/report.TotalValue)
		}
	}
}

// TestPlacement_WaveOfReclaims simulates a third of the engines being reclaimed
// for 12 s.
func TestPlacement_WaveOfReclaims(t *testing.T) {
	c := exampleConfig(t)
	c.Seconds = 30
	c.Patterns = []Pattern{{Kind: "reclaim", StartS: 8, DurationS: 12, Share: 0.34}}
	expectMoreCredit(t, c, Product, RoundRobin, 1.05)
}

// expectMoreCredit checks that the policy's credit, summed over all seeds, is at
// least ratio times that of the baseline.
func expectMoreCredit(t *testing.T, c *Config, policy, baseline Policy, ratio float64) {
	t.Helper()
	credit, baselineCredit := 0.0, 0.0
	for _, seed := range c.Seeds {
		credit += Run(c, policy, seed).Credit()
		baselineCredit += Run(c, baseline, seed).Credit()
	}
	if credit < baselineCredit*ratio {
		t.Errorf("mean credit over all seeds: %s earned %.3f, %s %.3f; want at least %.2f times as much", policy, credit/float64(len(c.Seeds)), baseline, baselineCredit/float64(len(c.Seeds)), ratio)
	}
}

// TestPaced_UnevenEngines simulates engines of uneven speed, slow spells and engines that start
// empty. Their speeds must not be taken for equal.
func TestPaced_UnevenEngines(t *testing.T) {
	c := readConfig(t, "uneven")
	expectMoreCredit(t, c, Paced, Product, 1.05)
	c.Patterns, c.Seconds = nil, 20
	expectMoreCredit(t, c, Paced, Product, 1.02)
}

// TestPaced_EqualEngines checks that callers lose nothing under heavy load where all engines are
// equal.
func TestPaced_EqualEngines(t *testing.T) {
	expectMoreCredit(t, exampleConfig(t), Paced, Product, 1)
}

// TestPaced_EqualEnginesWithLittleLoad checks the same where there is little to gain.
func TestPaced_EqualEnginesWithLittleLoad(t *testing.T) {
	c := readConfig(t, "uneven")
	c.TimeFactors, c.Patterns = nil, nil
	expectMoreCredit(t, c, Paced, Product, 1)
}

func TestParse_NamesWhatIsWrong(t *testing.T) {
	content, err := os.ReadFile("../../examples/experiment/overload.toml")
	if err != nil {
		t.Fatal(err)
	}
	for change, want := range map[[2]string]string{
		{"daemons = 9", "daemons = 0"}:              "daemons",
		{"\"random\"", "\"best\""}:                  "best",
		{"output_tokens = 22", "output_tokens = 0"}: "note",
		{"seconds = 60", "secondz = 60"}:            "secondz",
		{"slots = 64", "slots = \"many\""}:          "slots",
		{"\"burst\"", "\"bursts\""}:                 "bursts",
	} {
		_, err := Parse([]byte(strings.Replace(string(content), change[0], change[1], 1)))
		if err == nil || !strings.Contains(strings.ToLower(errorDetails(err)), want) {
			t.Errorf("changed to %s: error %v does not name %s", change[1], err, want)
		}
	}
}

// errorDetails returns the text of an error, with the details of a strict TOML
// decoding error, which names the unknown keys.
func errorDetails(err error) string {
	if strict, ok := err.(interface{ String() string }); ok {
		return err.Error() + strict.String()
	}
	return err.Error()
}

func TestWrite_TableAndPlot(t *testing.T) {
	c := exampleConfig(t)
	c.Seconds = 5
	results := []*Result{Run(c, Product, 1), Run(c, Random, 1)}
	var table, plot strings.Builder
	if err := WriteTable(&table, results); err != nil || !strings.Contains(table.String(), "report") {
		t.Fatal(table.String(), err)
	}
	if err := WritePlot(&plot, results); err != nil || strings.Count(plot.String(), "<polyline") != 2 {
		t.Fatal(plot.String(), err)
	}
}

// TestBrittle_NoFallsAndMoreCredit: engines fall over when they have to turn too many requests away.
// Daemons that hear of it must let fewer fall than the users' contract allows, and earn more than
// those that do not. Each request must have one end, those that a fall ends included.
func TestBrittle_NoFallsAndMoreCredit(t *testing.T) {
	c := readConfig(t, "brittle")
	c.Seconds = 30
	expectMoreCredit(t, c, Product, Unaware, 1.1)
	expectMoreCredit(t, c, Product, LeastOutstanding, 1.2)
	for _, policy := range c.Policies {
		r := Run(c, policy, 1)
		if allowed := 2 + c.Engines/10; policy == Product && r.Falls > allowed {
			t.Errorf("%d falls, %d allowed", r.Falls, allowed)
		}
		if policy == Unaware && r.Falls == 0 {
			t.Error("no engine falls although daemons do not hear that they are brittle: the load is too low")
		}
		for _, class := range r.Classes {
			if class.Requests != class.OnTime+class.Late+class.Refused {
				t.Errorf("%s %s: %d requests, %d on time, %d late, %d refused", policy, class.Name, class.Requests, class.OnTime, class.Late, class.Refused)
			}
		}
	}
}

// TestStatements_MoreCredit: engines say that they leave, and later others that they want a rest.
// Daemons that hear of it must earn more than those that do not.
func TestStatements_MoreCredit(t *testing.T) {
	c := readConfig(t, "statements")
	expectMoreCredit(t, c, Product, Unaware, 1.0)
	for _, policy := range c.Policies {
		r := Run(c, policy, 1)
		for _, class := range r.Classes {
			if class.Requests != class.OnTime+class.Late+class.Refused {
				t.Errorf("%s %s: %d requests, %d on time, %d late, %d refused", policy, class.Name, class.Requests, class.OnTime, class.Late, class.Refused)
			}
		}
	}
}
