package gateway

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"

	"github.com/gooseberryslip/gooseberryslip/internal/buildinfo"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
	"github.com/gooseberryslip/gooseberryslip/internal/system/retry"
)

// meter holds the metrics of the gateway. docs/METRICS.md describes them.
type meter struct {
	set *metrics.Set
}

func newMeter() *meter { return &meter{set: metrics.NewSet()} }

// countExchange counts a finished request and its attempts.
func (m *meter) countExchange(x *forwarding, duration time.Duration) {
	m.set.GetOrCreateCounter(`gooseberryslip_exchanges_total{status="` + strconv.Itoa(x.status) + `"}`).Inc()
	m.set.GetOrCreateHistogram(`gooseberryslip_exchange_seconds`).Update(duration.Seconds())
	for _, a := range x.attempts {
		if a.outcome != 0 {
			m.countAttempt(a.outcome)
		}
	}
}

func (m *meter) countAttempt(o exchange.Outcome) {
	m.set.GetOrCreateCounter(`gooseberryslip_exchange_attempts_total{outcome="` + o.String() + `"}`).Inc()
}

// countEvent counts an event of the event catalogue.
func (m *meter) countEvent(n event.Number) {
	m.set.GetOrCreateCounter(`gooseberryslip_events_total{number="` + strconv.Itoa(int(n)) + `"}`).Inc()
}

// countOversizedEvent counts a stream that was given up because of an event longer than
// maxEventBytes.
func (m *meter) countOversizedEvent() {
	m.set.GetOrCreateCounter(`gooseberryslip_oversized_events_total`).Inc()
}

// countEndedConnection counts a connection that was ended for want of what the reason names.
func (m *meter) countEndedConnection(reason string) {
	m.set.GetOrCreateCounter(`gooseberryslip_caller_connections_ended_total{reason="` + reason + `"}`).Inc()
}

// countSlowBody counts a body whose reading was ended since others had no memory.
func (m *meter) countSlowBody() {
	m.set.GetOrCreateCounter(`gooseberryslip_slow_bodies_ended_total`).Inc()
}

// countShed counts a request that was refused by load shedding. Other refusals are ignored.
func (m *meter) countShed(code string) {
	if reason, ok := strings.CutPrefix(code, exchange.ShedPrefix); ok {
		m.set.GetOrCreateCounter(`gooseberryslip_shed_requests_total{reason="` + reason + `"}`).Inc()
	}
}

// countForwarded counts an attempt that was sent for another daemon.
func (m *meter) countForwarded(result string) {
	outcome := "failed"
	if result == resultAnswered {
		outcome = result
	}
	m.set.GetOrCreateCounter(`gooseberryslip_forwarded_attempts_total{outcome="` + outcome + `"}`).Inc()
}

func (m *meter) countRestore() {
	m.set.GetOrCreateCounter(`gooseberryslip_table_restores_total`).Inc()
}

// countServerRead counts a read of the changes of the list of backend servers, from another
// daemon or from the table service.
func (m *meter) countServerRead(relayed bool) {
	from := "table"
	if relayed {
		from = "daemon"
	}
	m.set.GetOrCreateCounter(`gooseberryslip_server_list_reads_total{from="` + from + `"}`).Inc()
}

// countVersionCall counts a read or a write of the row of recorded versions.
func (m *meter) countVersionCall(call string) {
	m.set.GetOrCreateCounter(`gooseberryslip_version_row_calls_total{call="` + call + `"}`).Inc()
}

func (g *Gateway) metricsHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		g.meter.set.WritePrometheus(w)
		metrics.WritePrometheus(w, false)
		g.writeRetryBudgets(w)
		g.writeResumptions(w)
		g.writeRollouts(w)
		g.writeServerPace(w)
		g.writeStatements(w)
		writeBuild(w)
	})
	r.HandleFunc("/status", g.serveStatus)
	return r
}

// writeBuild writes the metric that names the build of this process.
func writeBuild(w io.Writer) {
	b := buildinfo.Read()
	metrics.WriteGaugeUint64(w, fmt.Sprintf(`gooseberryslip_build_info{version=%q,revision=%q,go=%q}`, b.Version, b.Revision, b.Go), 1)
}

// writeRetryBudgets writes the metrics of the services' retry budgets.
func (g *Gateway) writeRetryBudgets(w io.Writer) {
	var budgets []retry.Status
	g.withCore(func(c *exchange.Core, now time.Time) { budgets = c.Status(now).Retries })
	for _, b := range budgets {
		service := `{service="` + string(b.Service) + `"`
		metrics.WriteGaugeFloat64(w, `gooseberryslip_retry_budget_saved`+service+`}`, b.Saved)
		metrics.WriteCounterUint64(w, `gooseberryslip_retries_total`+service+`,result="allowed"}`, b.Allowed)
		metrics.WriteCounterUint64(w, `gooseberryslip_retries_total`+service+`,result="refused"}`, b.Refused)
	}
}

// writeResumptions writes the numbers of streams that callers took up, by what became of them.
func (g *Gateway) writeResumptions(w io.Writer) {
	var counts []exchange.ResumptionCount
	g.withCore(func(c *exchange.Core, _ time.Time) { counts = c.ResumptionCounts() })
	for _, n := range counts {
		result := "refused"
		if n.Continued {
			result = "continued"
		}
		metrics.WriteCounterUint64(w, `gooseberryslip_resumed_streams_total{result="`+result+`",reason="`+n.Reason+`"}`, n.Count)
	}
}

// slowRatio is the speed ratio from which a backend server counts as slow in the metrics.
const slowRatio = 1.5

// writeServerPace writes the metrics of the speed and pace of backend servers, if they are learned.
func (g *Gateway) writeServerPace(w io.Writer) {
	if !g.Settings.ServerPace {
		return
	}
	var s exchange.Status
	g.withCore(func(c *exchange.Core, now time.Time) { s = c.Status(now) })
	paced, slow := 0, 0
	for _, server := range s.Servers {
		if server.PaceLimit != nil {
			paced++
		}
		if server.SpeedRatio != nil && *server.SpeedRatio > slowRatio {
			slow++
		}
	}
	metrics.WriteGaugeUint64(w, `gooseberryslip_paced_backend_servers`, uint64(paced))
	metrics.WriteGaugeUint64(w, `gooseberryslip_slow_backend_servers`, uint64(slow))
}

// writeStatements writes the numbers of backend servers that have said something of themselves.
func (g *Gateway) writeStatements(w io.Writer) {
	var n exchange.StatementCounts
	g.withCore(func(c *exchange.Core, now time.Time) { n = c.CountStatements(now) })
	metrics.WriteGaugeUint64(w, `gooseberryslip_leaving_backend_servers`, uint64(n.Leaving))
	metrics.WriteGaugeUint64(w, `gooseberryslip_resting_backend_servers`, uint64(n.Resting))
	metrics.WriteGaugeUint64(w, `gooseberryslip_limited_backend_servers`, uint64(n.Limited))
	metrics.WriteGaugeUint64(w, `gooseberryslip_brittle_backend_servers`, uint64(n.Brittle))
}

// serveStatus returns this daemon's view of the fleet as JSON.
func (g *Gateway) serveStatus(w http.ResponseWriter, _ *http.Request) {
	s := g.status()
	body, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		g.Log.Logger().WithError(err).Error("failed to encode the daemon's status")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(body, '\n')) // fails only if the client has disconnected
}
