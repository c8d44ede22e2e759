package command

import (
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestCheckSettings_Platform(t *testing.T) {
	file := filepath.Join(t.TempDir(), "node.toml")
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	good := "node='n'\nzone='z'\nip='10.0.0.1'\nportRange=[1,9]\n[listen]\nfront='10.0.0.1:1'\n[provider]\naddress='10.0.0.2:1'\n"
	write(good)
	var out, errs strings.Builder
	if code := Run(t.Context(), []string{"check-settings", "--platform", file}, &out, &errs); code != ExitOK {
		t.Fatalf("exit code %d: %s", code, errs.String())
	}
	write(strings.Replace(good, "10.0.0.2:1", "nowhere", 1))
	if code := Run(t.Context(), []string{"check-settings", "--platform", file}, &out, &errs); code != ExitFailed ||
		!strings.Contains(errs.String(), file) || !strings.Contains(errs.String(), "provider.address") {
		t.Fatalf("exit code %d: %s", code, errs.String())
	}
}

func TestValidate_PlatformConfiguration(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	for text, want := range map[string]string{
		`{"version":1,"services":[{"name":"a"}],"routes":[{"name":"r","host":"h","prefix":"/p/","kind":"idempotent","service":"a"}]}`: "",
		`{"version":1,"routes":[{"name":"r","host":"h","prefix":"/p/","kind":"idempotent","service":"a"}]}`:                           `service "a" is not defined`,
		`{"version":"one"}`: "version",
	} {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		var out, errs strings.Builder
		code := Run(t.Context(), []string{"validate", "--platform", file}, &out, &errs)
		if (code == ExitOK) != (want == "") || !strings.Contains(errs.String(), want) {
			t.Errorf("configuration %s: exit code %d: %s", text, code, errs.String())
		}
	}
}

func TestGateway_MissingSettings(t *testing.T) {
	var out, errs strings.Builder
	if code := Run(t.Context(), []string{"gateway", "/nowhere/node.toml"}, &out, &errs); code != ExitFailed || !strings.Contains(errs.String(), "settings") {
		t.Fatalf("exit code %d: %s", code, errs.String())
	}
}

func TestGatewayStatus(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"serving":true}`)) })}
	go func() { _ = server.Serve(l) }()
	var out, errs strings.Builder
	if code := Run(t.Context(), []string{"gateway-status", l.Addr().String()}, &out, &errs); code != ExitOK || !strings.Contains(out.String(), "serving") {
		t.Fatalf("exit code %d: %s %s", code, out.String(), errs.String())
	}
	_ = server.Close()
	if code := Run(t.Context(), []string{"gateway-status", l.Addr().String()}, &out, &errs); code != ExitUnavailable {
		t.Fatalf("exit code %d without a gateway, want %d", code, ExitUnavailable)
	}
}
