package servicedoc

import (
	"strings"
	"testing"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// service returns a service in the mode with the listed backend servers.
func service(mode entity.Mode, servers ...entity.BackendServerID) *entity.Service {
	s := &entity.Service{Name: "forecast", Mode: mode, Kind: entity.KindModel}
	for _, id := range servers {
		s.BackendServers = append(s.BackendServers, entity.BackendServer{ID: id, Address: "10.0.0.1:" + string(id)})
	}
	s.Organisations = []entity.OrganisationShare{{ID: "izilo", CredentialSHA256: "aa"}}
	return s
}

func TestCheckChange_AdoptionAndBack(t *testing.T) {
	steps := []*entity.Service{
		nil,
		service(entity.ModeRoute, "a", "b"),
		service(entity.ModeManage, "a", "b"),
		service(entity.ModeManage, "a"),
		service(entity.ModeManage),
		service(entity.ModeManage, "a"),
		service(entity.ModeRoute, "a"),
		service(entity.ModeRoute, "c"),
		nil,
	}
	for i := range steps[1:] {
		if err := CheckChange("forecast.toml", steps[i], steps[i+1]); err != nil {
			t.Errorf("step %d: %v", i+1, err)
		}
	}
}

func TestCheckChange_RefusesServersLeftOutWithModeChange(t *testing.T) {
	moved := service(entity.ModeManage, "a", "b")
	moved.BackendServers[1].Address = "10.0.0.9:9001"
	for _, to := range []*entity.Service{service(entity.ModeManage, "a"), moved} {
		err := CheckChange("forecast.toml", service(entity.ModeRoute, "a", "b"), to)
		if err == nil || !strings.Contains(err.Error(), "must stay listed") {
			t.Errorf("CheckChange = %v, want a problem that says \"must stay listed\"", err)
		}
	}
	if err := CheckChange("forecast.toml", service(entity.ModeManage, "a", "b"), service(entity.ModeRoute, "a")); err == nil {
		t.Error("accepted a change back to route mode that removes a backend server")
	}
}

func TestCheckChange_RefusesOtherKind(t *testing.T) {
	to := service(entity.ModeRoute, "a")
	to.Kind = entity.KindPlain
	if err := CheckChange("forecast.toml", service(entity.ModeRoute, "a"), to); err == nil {
		t.Error("accepted a change of the kind")
	}
}

func TestCheckAgainst_KeepsServersAndCredentialsApart(t *testing.T) {
	other := *service(entity.ModeRoute, "b")
	other.Name = "briefings"
	if err := CheckConflicts("f", service(entity.ModeRoute, "a"), []entity.Service{other, *service(entity.ModeRoute, "a")}); err != nil {
		t.Errorf("CheckConflicts without a conflict = %v", err)
	}
	if err := CheckConflicts("f", service(entity.ModeRoute, "b"), []entity.Service{other}); err == nil {
		t.Error("accepted a backend server in two services")
	}
	other.Organisations[0].ID = "tregor"
	if err := CheckConflicts("f", service(entity.ModeRoute, "a"), []entity.Service{other}); err == nil {
		t.Error("accepted a credential of two organisations")
	}
}
