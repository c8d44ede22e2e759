package adminapi

import (
	"context"
	"net/http"
	"net/url"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

// Plan is the fleet planner's last plan of a service, or which daemon has it.
type Plan struct {
	Service entity.ServiceName `json:"service"`
	Planner entity.InstanceID  `json:"planner"` // the daemon that plans the service
	Admin   string             `json:"admin"`   // advertised address of its API
	Last    *PlanDetail        `json:"last,omitempty"`
}

// PlanDetail is a plan as its planner tells it.
type PlanDetail struct {
	Target int         `json:"target"`   // servers that shall serve
	Keep   int         `json:"keep"`     // servers left when any one data centre is lost
	Cost   float64     `json:"per_hour"` // once the plan is carried out
	Short  bool        `json:"short"`    // the offers do not allow for the target
	Start  []PlanStart `json:"start"`    // instances to order now
	Drain  []string    `json:"drain"`    // tokens of the servers to drain now
	Why    string      `json:"why"`      // the explanation, in lines
}

// PlanStart is an instance that is to be ordered.
type PlanStart struct {
	DataCentre entity.DataCentreID `json:"data_centre"`
	Class      string              `json:"class"`
	Market     provider.Market     `json:"market"`
	PerHour    float64             `json:"per_hour"`
}

func (h *handler) plan(w http.ResponseWriter, r *http.Request) {
	p, found, err := h.backend.Plan(r.Context(), serviceOf(r))
	if err == nil && !found {
		writeError(w, http.StatusNotFound, Failure{
			Code: CodeNotFound, Message: "this daemon knows of none that plans the service; only services in manage mode are planned",
		})
		return
	}
	respond(w, p, err)
}

// Plan returns the plan of a service, or which daemon has it.
func (c *Client) Plan(ctx context.Context, s entity.ServiceName) (Plan, error) {
	var out Plan
	err := c.get(ctx, "/v1/admin/plan/"+url.PathEscape(string(s)), &out)
	return out, err
}
