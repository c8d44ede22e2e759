package outbound

import "github.com/VictoriaMetrics/metrics"

var (
	dialled = metrics.NewCounter("gooseberryslip_outbound_connections_total")
	foreign = metrics.NewCounter("gooseberryslip_outbound_foreign_answers_total")
)
