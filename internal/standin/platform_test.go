package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
)

func TestPlatform_RunsAndRestartsBackends(t *testing.T) {
	p, err := StartPlatform(context.Background(), Config{
		Engines: []EngineConfig{{}, {}}, PlainServers: []PlainServerConfig{{}},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	a := p.Addresses()
	if len(a.Engines) != 2 || len(a.PlainServers) != 1 || a.Engines[0].ID != "engine-1" {
		t.Fatalf("%+v", a)
	}
	body, _ := json.Marshal(completionRequest{Prompt: CrashMarker, MaxTokens: 1, RequestID: "r", Attempt: 1})
	if _, err := http.Post("http://"+a.Engines[0].Address+"/v1/completions", "", bytes.NewReader(body)); err == nil {
		t.Fatal("the crashed engine responded")
	}
	if _, err := http.Get("http://" + a.Engines[0].Address + "/v1/load"); err == nil {
		t.Fatal("the crashed engine's port is still open")
	}
	resp, err := http.Post(a.Control+"/_restart", "", strings.NewReader(`{"id":"engine-1"}`))
	if err != nil || resp.StatusCode != http.StatusNoContent {
		t.Fatalf("restart request: response %v, error %v", resp, err)
	}
	if resp, err := http.Get("http://" + a.Engines[0].Address + "/v1/load"); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("load request after the restart: response %v, error %v", resp, err)
	}
	if runs := p.Engine("engine-1").Runs(); len(runs) != 1 || runs[0].Finished {
		t.Fatalf("%+v", runs)
	}
}

func TestPlatform_CloudStartsEngines(t *testing.T) {
	p, err := StartPlatform(context.Background(), Config{CloudEngine: &EngineConfig{}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	form := "Action=RunInstances&ClientToken=t&InstanceType=big&Placement.AvailabilityZone=a&InstanceMarketOptions.MarketType=spot"
	resp, err := http.Post(p.Addresses().Cloud, "application/x-www-form-urlencoded", strings.NewReader(form))
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("RunInstances: response %v, error %v", resp, err)
	}
	waitFor(t, func() bool { return p.Cloud.Instances()[0].State == stateRunning })
	address := p.Cloud.Instances()[0].Address
	if _, err := http.Get("http://" + address + "/v1/load"); err != nil {
		t.Fatal(err)
	}
	p.Cloud.ReclaimDataCentre("a", 0)
	waitFor(t, func() bool {
		_, err := http.Get("http://" + address + "/v1/load")
		return err != nil
	})
}
