package gateway

import (
	"os"
	"regexp"
	"strings"
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

// TestMetrics_NameTheBuild: during an upgrade operators count the daemons of each build.
func TestMetrics_NameTheBuild(t *testing.T) {
	var page strings.Builder
	writeBuild(&page)
	want := regexp.MustCompile(`^gooseberryslip_build_info\{version="[^"]+",revision="[^"]*",go="go[^"]+"\} 1\n$`)
	if !want.MatchString(page.String()) {
		t.Errorf("got %q", page.String())
	}
}
