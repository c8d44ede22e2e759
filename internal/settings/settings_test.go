package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/tomldoc"
)

const minimal = `[instance]
id = "west-a-1"
region = "west"
data_centre = "west-a"
[tls.peers]
ca = "ca.pem"
cert = "peer.pem"
key = "peer.key"
[operators]
credentials = "operators.toml"
[table]
endpoint = "http://127.0.0.1:8000"
credentials = "platform.toml"
[object_store]
endpoint = "http://127.0.0.1:9000"
`

// writeFile writes a file with the mode into the directory and returns its path.
func writeFile(t *testing.T, dir, name, text string, mode os.FileMode) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, []byte(text), mode); err != nil {
		t.Fatal(err)
	}
	return path
}

// writeAll writes the settings file minimal and the files that it names, with
// keyMode for the peers' key, and returns the path of the settings file.
func writeAll(t *testing.T, keyMode os.FileMode) string {
	t.Helper()
	dir := t.TempDir()
	for _, name := range []string{"ca.pem", "peer.pem", "operators.toml", "platform.toml"} {
		writeFile(t, dir, name, "", 0o600)
	}
	writeFile(t, dir, "peer.key", "", keyMode)
	return writeFile(t, dir, "daemon.toml", minimal, 0o644)
}

func TestLoad_Minimal(t *testing.T) {
	path := writeAll(t, 0o600)
	s, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
	if s.Listen.AdvertisePeers != "127.0.0.1:7101" {
		t.Errorf("advertised peer address is %q", s.Listen.AdvertisePeers)
	}
	if want := filepath.Join(filepath.Dir(path), "peer.key"); s.TLS.Peers.Key != want {
		t.Errorf("file of the peers' key is %q, want %q", s.TLS.Peers.Key, want)
	}
}

func TestSettings_CheckRefusesKeyOthersMayRead(t *testing.T) {
	s, err := Load(writeAll(t, 0o640))
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Check(); err == nil || !strings.Contains(err.Error(), "tls.peers.key") {
		t.Fatalf("Check = %v, want a problem of tls.peers.key", err)
	}
}

func TestParse_ListsAllProblems(t *testing.T) {
	text := minimal + `[limits]
header_timeout = 5
max_bodies = 3
[log]
level = "loud"
`
	_, err := Parse("d.toml", []byte(text), nil)
	var problems tomldoc.Problems
	if !errors.As(err, &problems) {
		t.Fatal(err)
	}
	want := []string{
		"d.toml:17: limits.header_timeout: must be a duration",
		"d.toml:18: limits.max_bodies: unknown key",
		`d.toml:20: log.level: "loud" is not one of`,
	}
	if len(problems) != len(want) {
		t.Fatalf("%d problems:\n%v", len(problems), err)
	}
	for i := range want {
		if !strings.HasPrefix(problems[i].String(), want[i]) {
			t.Errorf("problem %d is %q, want prefix %q", i, problems[i], want[i])
		}
	}
}

func TestParse_FlagOverEnvironmentOverFile(t *testing.T) {
	env := []string{"GOOSEBERRYSLIP_LISTEN_CALLERS=127.0.0.1:1", "GOOSEBERRYSLIP_DRAIN_GRACE=5s", "PATH=/bin"}
	s, err := Parse("d.toml", []byte(minimal), env, Override{"listen.callers", "127.0.0.1:2"})
	if err != nil {
		t.Fatal(err)
	}
	if s.Listen.Callers != "127.0.0.1:2" || s.Drain.Grace != 5*time.Second {
		t.Fatalf("callers' address %q, drain grace %v", s.Listen.Callers, s.Drain.Grace)
	}
	for _, bad := range []string{"GOOSEBERRYSLIP_LISTEN_CALLER=x", "GOOSEBERRYSLIP_DRAIN_GRACE=5"} {
		if _, err := Parse("d.toml", []byte(minimal), []string{bad}); err == nil {
			t.Errorf("invalid variable %s accepted", bad)
		}
	}
}

func TestSettings_CheckValuesRefusesWildcardWithoutAdvertised(t *testing.T) {
	s, err := Parse("d.toml", []byte("[listen]\npeers = \"0.0.0.0:7101\"\n"+minimal), nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.CheckValues(); err == nil || !strings.Contains(err.Error(), "listen.advertise_peers") {
		t.Fatalf("CheckValues = %v, want a problem of listen.advertise_peers", err)
	}
}

func TestLoadOperators_FindsTokenOnly(t *testing.T) {
	text := "[[operators]]\nname = \"anna\"\ntoken_sha256 = \"" + HashToken("secret") + "\"\n"
	set, err := LoadOperators(writeFile(t, t.TempDir(), "o.toml", text, 0o600))
	if err != nil {
		t.Fatal(err)
	}
	if name, ok := set.Name("secret"); !ok || name != "anna" {
		t.Errorf("operator with the token is %q, %v; want anna, true", name, ok)
	}
	if _, ok := set.Name(HashToken("secret")); ok {
		t.Error("the hash of a token was accepted as a token")
	}
	if _, err := LoadOperators(writeFile(t, t.TempDir(), "o.toml", text, 0o644)); err == nil {
		t.Error("accepted a file that users other than its owner may read")
	}
}

// TestDefault_PageNamesEverySetting checks that docs/operations/settings.md has a
// table row for every setting.
func TestDefault_PageNamesEverySetting(t *testing.T) {
	page, err := os.ReadFile("../../docs/operations/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range tomldoc.Keys(Default()) {
		if !strings.Contains(string(page), "| `"+key+"` |") {
			t.Errorf("docs/operations/settings.md has no row for %s", key)
		}
	}
}

func TestParse_OnDemandPrices(t *testing.T) {
	const table = "[[cloud.on_demand]]\ndata_centre = \"a\"\nclass = \"gpu\"\nper_hour = "
	s, err := Parse("d.toml", []byte(minimal+table+"1.5\n"), nil)
	if err != nil || len(s.Cloud.OnDemand) != 1 || s.Cloud.OnDemand[0].PerHour != 1.5 {
		t.Fatalf("Parse = %+v, %v; want one price of 1.5", s, err)
	}
	if s, err = Parse("d.toml", []byte(minimal+table+"0.0\n"), nil); err != nil {
		t.Fatal(err)
	}
	if err := s.CheckValues(); err == nil || !strings.Contains(err.Error(), "cloud.on_demand[0].per_hour") {
		t.Fatalf("%v", err)
	}
}
