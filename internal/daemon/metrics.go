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
	metricFirstToken    = "gooseberryslip_first_token_seconds"
	metricBetweenTokens = "gooseberryslip_between_tokens_seconds"
	metricWhole         = "gooseberryslip_whole_answer_seconds"
	metricRecomputed    = "gooseberryslip_recomputed_tokens_total"
	metricEvents        = "gooseberryslip_events_total"
	metricTicks         = "gooseberryslip_ticks_total"
	metricInFlight      = "gooseberryslip_requests_in_flight"
	metricRevision      = "gooseberryslip_configuration_revision"
	metricCurrent       = "gooseberryslip_configuration_current"
	metricMembers       = "gooseberryslip_members"
)

// series names one histogram or counter of requests. There are as many as
// services and priorities.
type series struct {
	measure  core.Measure
	service  entity.ServiceName
	priority entity.Priority
}

// meter keeps the metrics of a daemon. It is used by the tick loop only.
type meter struct {
	histograms map[series]*metrics.Histogram
	recomputed map[entity.ServiceName]*metrics.Counter
	events     map[event.Number]*metrics.Counter
	ticks      *metrics.Counter
}

// newMeter returns a meter without series.
func newMeter() *meter {
	return &meter{
		histograms: make(map[series]*metrics.Histogram),
		recomputed: make(map[entity.ServiceName]*metrics.Counter),
		events:     make(map[event.Number]*metrics.Counter),
		ticks:      metrics.GetOrCreateCounter(metricTicks),
	}
}

// take counts what one tick has brought.
func (m *meter) take(out *core.Outbox) {
	m.ticks.Inc()
	for _, o := range out.Observations {
		m.observe(o)
	}
	for _, e := range out.Events {
		m.event(e.Number).Inc()
	}
	if out.View != nil {
		takeView(out.View)
	}
}

// observe adds one observation.
func (m *meter) observe(o core.Observation) {
	if o.Measure == core.RecomputedTokens {
		m.recomputedOf(o.Service).Add(int(o.Value))
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
		return metricWhole
	}
}

// recomputedOf returns a service's counter of recomputed tokens.
func (m *meter) recomputedOf(s entity.ServiceName) *metrics.Counter {
	c := m.recomputed[s]
	if c == nil {
		c = metrics.GetOrCreateCounter(fmt.Sprintf("%s{service=%q}", metricRecomputed, s))
		m.recomputed[s] = c
	}
	return c
}

// event returns the counter of a kind of event.
func (m *meter) event(n event.Number) *metrics.Counter {
	c := m.events[n]
	if c == nil {
		c = metrics.GetOrCreateCounter(fmt.Sprintf("%s{number=\"%d\"}", metricEvents, n))
		m.events[n] = c
	}
	return c
}

// takeView sets the gauges.
func takeView(v *core.View) {
	metrics.GetOrCreateGauge(metricInFlight, nil).Set(float64(v.InFlight))
	metrics.GetOrCreateGauge(metricRevision, nil).Set(float64(v.Revision))
	metrics.GetOrCreateGauge(metricMembers, nil).Set(float64(len(v.Members)))
	current := 0.0
	if v.Current {
		current = 1
	}
	metrics.GetOrCreateGauge(metricCurrent, nil).Set(current)
}
