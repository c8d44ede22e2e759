package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"

	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
)

// meter counts what the gateway does. The names stand in docs/METRICS.md.
type meter struct {
	set *metrics.Set
}

func newMeter() *meter { return &meter{set: metrics.NewSet()} }

// exchange counts a finished request.
func (m *meter) exchange(x *run, took time.Duration) {
	m.set.GetOrCreateCounter(`gooseberryslip_exchanges_total{status="` + strconv.Itoa(x.status) + `"}`).Inc()
	m.set.GetOrCreateHistogram(`gooseberryslip_exchange_seconds`).Update(took.Seconds())
	for _, a := range x.attempts {
		if a.outcome != 0 {
			m.attempt(a.outcome)
		}
	}
}

func (m *meter) attempt(o exchange.Outcome) {
	m.set.GetOrCreateCounter(`gooseberryslip_exchange_attempts_total{outcome="` + o.String() + `"}`).Inc()
}

func (g *Gateway) metricsHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		g.meter.set.WritePrometheus(w)
		metrics.WritePrometheus(w, false)
	})
	r.HandleFunc("/status", g.serveStatus)
	return r
}

// serveStatus shows what this daemon believes.
func (g *Gateway) serveStatus(w http.ResponseWriter, _ *http.Request) {
	var s exchange.Status
	g.locked(func(c *exchange.Core, now time.Time) { s = c.Status(now) })
	body, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		g.Log.Logger().WithError(err).Error("the status cannot be encoded")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(body, '\n')) // a reader that has gone needs no answer
}
