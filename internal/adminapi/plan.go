package adminapi

import (
	"context"
	"net/http"
	"net/url"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

// Plan is the last fleet plan of a service, or, from a daemon that does not plan
// the service, only which daemon does.
type Plan struct {
	Service      entity.ServiceName `json:"service"`
	Planner      entity.InstanceID  `json:"planner"` // the daemon that plans the service
	AdminAddress string             `json:"admin"`   // advertised address of the planner's API for operators
	LastPlan     *PlanDetail        `json:"last,omitempty"`
}

// PlanDetail is a fleet plan as reported by the daemon that made it.
type PlanDetail struct {
	Target           int         `json:"target"`   // number of servers that should serve
	ServersAfterLoss int         `json:"keep"`     // servers left after the loss of any one data centre
	CostPerHour      float64     `json:"per_hour"` // price per hour once the plan is carried out
	TargetUnmet      bool        `json:"short"`    // the offers or the cost limit do not allow the target
	Start            []PlanStart `json:"start"`    // instances to launch now
	Drain            []string    `json:"drain"`    // tokens of the servers to drain now
	Explanation      string      `json:"why"`      // explanation for operators, several lines
}

// PlanStart is an instance that is to be launched.
type PlanStart struct {
	DataCentre entity.DataCentreID `json:"data_centre"`
	Class      string              `json:"class"`
	Market     provider.Market     `json:"market"`
	PerHour    float64             `json:"per_hour"` // price
}

func (h *handler) servePlan(w http.ResponseWriter, r *http.Request) {
	p, found, err := h.daemon.Plan(r.Context(), serviceName(r))
	if err == nil && !found {
		writeError(w, http.StatusNotFound, Failure{
			Code: CodeNotFound, Message: "this daemon knows of none that plans the service; only services in manage mode are planned",
		})
		return
	}
	writeResult(w, p, err)
}

// Plan returns the last fleet plan of a service, or which daemon plans it. The
// plan itself is nil if the daemon that was asked does not plan the service.
func (c *Client) Plan(ctx context.Context, s entity.ServiceName) (Plan, error) {
	var out Plan
	err := c.getJSON(ctx, "/v1/admin/plan/"+url.PathEscape(string(s)), &out)
	return out, err
}
