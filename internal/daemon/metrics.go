package daemon

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gooseberryslip/gooseberryslip/internal/core"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

// Names of the metrics, described in docs/METRICS.md.
const (
	metricFirstToken     = "gooseberryslip_first_token_seconds"
	metricBetweenTokens  = "gooseberryslip_between_tokens_seconds"
	metricCompleteAnswer = "gooseberryslip_whole_answer_seconds"
	metricRecomputed     = "gooseberryslip_recomputed_tokens_total"
	metricEvents         = "gooseberryslip_events_total"
	metricTicks          = "gooseberryslip_ticks_total"
	metricInFlight       = "gooseberryslip_requests_in_flight"
	metricRevision       = "gooseberryslip_configuration_revision"
	metricCurrent        = "gooseberryslip_configuration_current"
	metricMembers        = "gooseberryslip_members"
)

// series identifies one histogram of requests. There is at most one for each
// combination of measure, service and priority.
type series struct {
	measure  core.Measure
	service  entity.ServiceName
	priority entity.Priority
}

// meter updates the metrics of a daemon. Only the tick loop may use it.
type meter struct {
	histograms map[series]*metrics.Histogram
	recomputed map[entity.ServiceName]*metrics.Counter
	events     map[event.Number]*metrics.Counter
	ticks      *metrics.Counter
}

// newMeter returns a meter without any series.
func newMeter() *meter {
	return &meter{
		histograms: make(map[series]*metrics.Histogram),
		recomputed: make(map[entity.ServiceName]*metrics.Counter),
		events:     make(map[event.Number]*metrics.Counter),
		ticks:      metrics.GetOrCreateCounter(metricTicks),
	}
}

// recordTick updates the metrics from the outbox of one tick.
func (m *meter) recordTick(out *core.Outbox) {
	m.ticks.Inc()
	for _, o := range out.Observations {
		m.observe(o)
	}
	for _, e := range out.Events {
		m.eventCounter(e.Number).Inc()
	}
	if out.View != nil {
		setGauges(out.View)
	}
}

// observe adds one observation to its histogram or counter.
func (m *meter) observe(o core.Observation) {
	if o.Measure == core.RecomputedTokens {
		m.recomputedCounter(o.Service).Add(int(o.Value))
		return
	}
	m.histogram(o).Update(o.Value)
}

// histogram returns the histogram of an observation.
func (m *meter) histogram(o core.Observation) *metrics.Histogram {
	key := series{o.Measure, o.Service, o.Priority}
	h := m.histograms[key]
	if h == nil {
		h = metrics.GetOrCreateHistogram(fmt.Sprintf("%s{service=%q,priority=\"%d\"}", metricName(o.Measure), o.Service, o.Priority))
		m.histograms[key] = h
	}
	return h
}

// metricName returns the name of a measure's histogram.
func metricName(m core.Measure) string {
	switch m {
	case core.FirstTokenSeconds:
		return metricFirstToken
	case core.BetweenTokensSeconds:
		return metricBetweenTokens
	default:
		return metricCompleteAnswer
	}
}

// recomputedCounter returns a service's counter of recomputed tokens.
func (m *meter) recomputedCounter(s entity.ServiceName) *metrics.Counter {
	c := m.recomputed[s]
	if c == nil {
		c = metrics.GetOrCreateCounter(fmt.Sprintf("%s{service=%q}", metricRecomputed, s))
		m.recomputed[s] = c
	}
	return c
}

// eventCounter returns the counter of the events with a number.
func (m *meter) eventCounter(n event.Number) *metrics.Counter {
	c := m.events[n]
	if c == nil {
		c = metrics.GetOrCreateCounter(fmt.Sprintf("%s{number=\"%d\"}", metricEvents, n))
		m.events[n] = c
	}
	return c
}

// setGauges sets the gauges from the core's view.
func setGauges(v *core.View) {
	metrics.GetOrCreateGauge(metricInFlight, nil).Set(float64(v.InFlight))
	metrics.GetOrCreateGauge(metricRevision, nil).Set(float64(v.Revision))
	metrics.GetOrCreateGauge(metricMembers, nil).Set(float64(len(v.Members)))
	current := 0.0
	if v.Current {
		current = 1
	}
	metrics.GetOrCreateGauge(metricCurrent, nil).Set(current)
}
