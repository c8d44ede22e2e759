package gateway

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
	"github.com/gooseberryslip/gooseberryslip/internal/system/rollout"
)

// gatewayStatus is this daemon's view of itself and of the fleet, for operators.
type gatewayStatus struct {
	exchange.Status
	Rollouts []rolloutStatus `json:"rollouts,omitempty"`
}

// rolloutStatus is this daemon's view of a roll-out.
type rolloutStatus struct {
	Service     string         `json:"service"`
	To          string         `json:"to"`
	Stage       rollout.Stage  `json:"stage"`
	Order       uint64         `json:"order"`
	Left        string         `json:"left"` // until the deadline
	LeaderHeard bool           `json:"leader_heard"`
	Share       float64        `json:"share"`           // of new requests that go to the new version here
	Sends       uint64         `json:"sends"`           // to the new version from this daemon
	Reached     uint64         `json:"reached_service"` // requests of this daemon
	OldRunning  int            `json:"old_running"`     // requests of this daemon
	OldReady    int            `json:"old_ready"`       // backend servers
	NewReady    int            `json:"new_ready"`       // backend servers
	Bad         string         `json:"bad,omitempty"`
	Routes      []rolloutRoute `json:"routes,omitempty"`
}

// rolloutRoute holds the samples of a route, over all daemons.
type rolloutRoute struct {
	Route string          `json:"route"`
	Old   rollout.Samples `json:"old"`
	New   rollout.Samples `json:"new"`
}

// status returns this daemon's view of the fleet.
func (g *Gateway) status() (s gatewayStatus) {
	g.withCore(func(c *exchange.Core, now time.Time) { s.Status = c.Status(now) })
	for _, r := range g.rolloutStatus() {
		s.Rollouts = append(s.Rollouts, describeRollout(&r))
	}
	return s
}

func describeRollout(r *exchange.RolloutStatus) rolloutStatus {
	out := rolloutStatus{
		Service: string(r.Service), To: r.To, Stage: r.Stage, Order: r.Order, Left: r.Left.Round(time.Millisecond).String(),
		LeaderHeard: r.LeaderHeard, Share: r.Share, Sends: r.Sends, Reached: r.Reached,
		OldRunning: r.OldRunning, OldReady: r.OldReady, NewReady: r.NewReady, Bad: r.Bad,
	}
	for _, route := range r.Routes {
		out.Routes = append(out.Routes, rolloutRoute(route))
	}
	return out
}

// writeRollouts writes the metrics of the roll-outs.
func (g *Gateway) writeRollouts(w io.Writer) {
	for _, r := range g.rolloutStatus() {
		service := `{service="` + string(r.Service) + `"`
		metrics.WriteGaugeUint64(w, `gooseberryslip_rollout_stage`+service+`}`, uint64(r.Stage))
		metrics.WriteGaugeFloat64(w, `gooseberryslip_rollout_share`+service+`}`, r.Share)
		metrics.WriteGaugeFloat64(w, `gooseberryslip_rollout_left_seconds`+service+`}`, r.Left.Seconds())
		metrics.WriteCounterUint64(w, `gooseberryslip_rollout_sends_total`+service+`}`, r.Sends)
		metrics.WriteCounterUint64(w, `gooseberryslip_rollout_reached_total`+service+`}`, r.Reached)
		for _, route := range r.Routes {
			writeRolloutRoute(w, service+`,route="`+route.Route+`"`, &route)
		}
	}
}

// writeRolloutRoute writes the answers and failures of a route over all daemons.
func writeRolloutRoute(w io.Writer, labels string, r *exchange.RolloutRoute) {
	for version, samples := range map[string]*rollout.Samples{"old": &r.Old, "new": &r.New} {
		group := labels + `,version="` + version + `"}`
		metrics.WriteCounterUint64(w, `gooseberryslip_rollout_answers_total`+group, uint64(samples.Answers))
		metrics.WriteCounterUint64(w, `gooseberryslip_rollout_failures_total`+group, uint64(samples.Failures))
	}
}
