package gateway

import (
	"os"
	"regexp"
	"testing"
)

// TestMetrics_AllAreDescribed checks that every metric name in the code is in
// docs/METRICS.md.
func TestMetrics_AllAreDescribed(t *testing.T) {
	page, err := os.ReadFile("../../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	described := map[string]bool{}
	name := regexp.MustCompile(`gooseberryslip_[a-z_]+`)
	for _, n := range name.FindAllString(string(page), -1) {
		described[n] = true
	}
	found := 0
	for _, file := range []string{"metrics.go", "../outbound/metrics.go"} {
		code, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, n := range name.FindAllString(string(code), -1) {
			found++
			if !described[n] {
				t.Errorf("%s is not in docs/METRICS.md", n)
			}
		}
	}
	if found == 0 {
		t.Fatal("found no metric names in metrics.go and ../outbound/metrics.go")
	}
}
