package command

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const explainLog = `  12.1 edge-1 {"level":"info","msg":"dependency lost","number":6120,"process":"edge-1","time":"2026-01-01T10:00:00.5Z","dependency":"configuration"}
{"level":"info","msg":"backend server listed or changed","number":6110,"process":"edge-1","time":"2026-01-01T10:00:01Z","backend_server":"i-1","state":2}
{"level":"info","msg":"backend server listed or changed","number":6110,"process":"edge-1","time":"2026-01-01T10:00:01Z","backend_server":"i-9","state":2}
{"level":"info","msg":"exchange refused or failed","number":6001,"process":"edge-1","time":"2026-01-01T10:00:02Z","request":"r1","ms":400,"tried":"i-1 broken 399ms EOF","status":502}
{"level":"info","msg":"exchange answered","number":6000,"process":"edge-1","time":"2026-01-01T10:00:02Z","request":"r2","tried":"i-1 answered"}
{"level":"info","msg":"dependency lost","number":6120,"process":"edge-1","time":"2026-01-01T11:00:00Z","dependency":"late"}
{"level":"info","msg":"cut li
`

func explainOutput(t *testing.T, log string, args ...string) (int, string, string) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "log")
	if err := os.WriteFile(file, []byte(log), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errs strings.Builder
	code := Run(t.Context(), append(append([]string{"explain"}, args...), file), &out, &errs)
	return code, out.String(), errs.String()
}

func TestExplain_LinesOfOneRequest(t *testing.T) {
	code, out, errs := explainOutput(t, explainLog, "r1")
	if code != ExitOK || !strings.Contains(errs, "1 lines are cut") {
		t.Fatalf("exit code %d, standard error %q", code, errs)
	}
	for _, want := range []string{"dependency=configuration", "backend_server=i-1", "i-1 broken 399ms EOF"} {
		if !strings.Contains(out, want) {
			t.Errorf("the output lacks %q:\n%s", want, out)
		}
	}
	for _, unrelated := range []string{"i-9", "r2", "dependency=late"} {
		if strings.Contains(out, unrelated) {
			t.Errorf("%q is unrelated to the request, but in the output:\n%s", unrelated, out)
		}
	}
	if strings.Index(out, "dependency") > strings.Index(out, "i-1 broken") {
		t.Error("the lines are not in order of time")
	}
}

func TestExplain_UnknownRequest(t *testing.T) {
	if code, _, errs := explainOutput(t, explainLog, "r7"); code != ExitFailed || !strings.Contains(errs, "r7") {
		t.Fatalf("exit code %d, standard error %q", code, errs)
	}
}
