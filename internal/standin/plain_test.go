package standin

import (
	"net/http"
	"strings"
	"testing"
)

func TestPlain_CountsByKey(t *testing.T) {
	p := NewPlainServer(PlainServerConfig{})
	server, err := StartServer(p)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Kill)
	for range 2 {
		r, _ := http.NewRequest(http.MethodPost, server.URL()+"/stock?x=1", strings.NewReader("body"))
		r.Header.Set("X-Request-Id", "r")
		r.Header.Set("X-Attempt", "2")
		r.Header.Set("X-Gooseberryslip-Key", "k")
		resp, err := http.DefaultClient.Do(r)
		if err != nil || resp.Header.Get("X-Request-Id") != "r" || resp.Header.Get("X-Attempt") != "2" {
			t.Fatalf("plain call: response %v, error %v", resp, err)
		}
		_ = resp.Body.Close()
	}
	if n := p.RunsByKey()["k"]; n != 2 {
		t.Fatalf("%d runs recorded under the key, want 2", n)
	}
	p.SetFaults(EngineFaults{Refuse: true})
	resp, err := http.Get(server.URL())
	if err != nil || resp.Header.Get("X-Not-Run") != "true" || len(p.Runs()) != 2 {
		t.Fatalf("rejected call: response %v, error %v, %d recorded runs", resp, err, len(p.Runs()))
	}
}
