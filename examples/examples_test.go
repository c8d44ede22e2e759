// Package examples holds example settings, service documents and an experiment.
package examples

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/gooseberryslip/gooseberryslip/internal/experiment"
	"github.com/gooseberryslip/gooseberryslip/internal/servicedoc"
	"github.com/gooseberryslip/gooseberryslip/internal/settings"
)

// isDaemonSettings reports whether a file holds a daemon's settings, by its name.
func isDaemonSettings(path string) bool { return strings.HasPrefix(filepath.Base(path), "daemon") }

func TestExamples_AreValid(t *testing.T) {
	files, _ := filepath.Glob("*/*.toml")
	daemons, services, experiments := 0, 0, 0
	for _, path := range files {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if isDaemonSettings(path) {
			daemons++
			checkSettings(t, path, data)
			continue
		}
		if filepath.Dir(path) == "experiment" {
			experiments++
			if _, err := experiment.Parse(data); err != nil {
				t.Errorf("%s: %v", path, err)
			}
			continue
		}
		services++
		s, err := servicedoc.Parse(path, data)
		if err != nil {
			t.Error(err)
			continue
		}
		if want := strings.TrimSuffix(filepath.Base(path), ".toml"); string(s.Name) != want {
			t.Errorf("%s: the file name must be that of its service, %s", path, s.Name)
		}
	}
	if daemons != 6 || services != 6 || experiments != 6 {
		t.Fatalf("found settings of %d daemons, %d services and %d experiments; want 6, 6 and 6", daemons, services, experiments)
	}
}

func checkSettings(t *testing.T, path string, data []byte) {
	t.Helper()
	s, err := settings.Parse(path, data, nil)
	if err != nil {
		t.Error(err)
		return
	}
	if err := s.CheckValues(); err != nil {
		t.Error(err)
	}
}
