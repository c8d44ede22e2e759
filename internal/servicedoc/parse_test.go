package servicedoc

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/tomldoc"
)

func readFile(t *testing.T, path string) []byte {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func problemsOf(t *testing.T, err error) tomldoc.Problems {
	t.Helper()
	var problems tomldoc.Problems
	if !errors.As(err, &problems) {
		t.Fatalf("the error is a %T, not tomldoc.Problems: %v", err, err)
	}
	return problems
}

func TestParse_GoodFixtures(t *testing.T) {
	files, _ := filepath.Glob("testdata/good/*.toml")
	for _, path := range files {
		if _, err := Parse(path, readFile(t, path)); err != nil {
			t.Error(err)
		}
	}
	if len(files) == 0 {
		t.Fatal("testdata has no fixtures")
	}
}

func TestParse_ReadsDurationsAndDefaults(t *testing.T) {
	path := "testdata/good/model_route.toml"
	s, err := Parse(path, readFile(t, path))
	if err != nil {
		t.Fatal(err)
	}
	if s.Latency.FirstToken != 420*time.Millisecond || s.Retry.MaxAttempts != 3 {
		t.Errorf("latency %+v, retry %+v", s.Latency, s.Retry)
	}
	if o := s.Organisation("izilo"); o == nil || o.RequestsPerSecond != 50 || o.TokensPerSecond != 20000 {
		t.Errorf("organisation %+v", o)
	}
	if b := s.BackendServers[0]; b.Service != "forecast" || b.Location.DataCentre != "west-a" {
		t.Errorf("backend server %+v", b)
	}
}

// TestParse_BadFixtures checks that Parse finds exactly the problems that the
// comments "# problem: reason" in the fixtures announce, each at its line.
func TestParse_BadFixtures(t *testing.T) {
	files, _ := filepath.Glob("testdata/bad/*.toml")
	for _, path := range files {
		if strings.HasSuffix(path, "syntax.toml") {
			continue
		}
		data := readFile(t, path)
		_, err := Parse(path, data)
		found := map[int]string{}
		for _, p := range problemsOf(t, err) {
			if p.File != path || p.Key == "" {
				t.Errorf("problem without its file or key: %+v", p)
			}
			found[p.Line] += p.Reason
		}
		for i, line := range strings.Split(string(data), "\n") {
			_, want, _ := strings.Cut(line, "# problem: ")
			got := found[i+1]
			if (want == "") != (got == "") || !strings.Contains(got, want) {
				t.Errorf("%s:%d: found %q, want %q", path, i+1, got, want)
			}
		}
	}
	if len(files) == 0 {
		t.Fatal("testdata has no fixtures")
	}
}

func TestParse_SyntaxErrorNamesLine(t *testing.T) {
	path := "testdata/bad/syntax.toml"
	_, err := Parse(path, readFile(t, path))
	if p := problemsOf(t, err); len(p) != 1 || p[0].Line != 2 {
		t.Fatalf("problems %v, want one in line 2", p)
	}
}

func TestParse_RefusesLargeDocument(t *testing.T) {
	_, err := Parse("large", make([]byte, MaxBytes+1))
	if p := problemsOf(t, err); len(p) != 1 {
		t.Fatalf("problems %v, want one", p)
	}
}

func FuzzParse(f *testing.F) {
	files, _ := filepath.Glob("testdata/*/*.toml")
	for _, path := range files {
		data, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("fuzz", data)
		if (s == nil) == (err == nil) {
			t.Fatal("Parse returned neither or both of service and error")
		}
		if err == nil {
			again, _ := Parse("fuzz", data)
			if !reflect.DeepEqual(s, again) {
				t.Fatal("two calls with the same data returned different services")
			}
			return
		}
		lines := strings.Count(string(data), "\n") + 1
		for _, p := range problemsOf(t, err) {
			if p.Line < 0 || p.Line > lines || p.Reason == "" {
				t.Fatalf("problem without a reason or with a line outside the document: %+v", p)
			}
		}
	})
}
