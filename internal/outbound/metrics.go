package outbound

import "github.com/VictoriaMetrics/metrics"

var (
	// connectionsDialled counts connections established to backend servers.
	connectionsDialled = metrics.NewCounter("gooseberryslip_outbound_connections_total")
	// connectionsLost counts idle connections that a backend server closed before they
	// expired, or on which it sent unrequested bytes.
	connectionsLost = metrics.NewCounter("gooseberryslip_outbound_idle_connections_lost_total")
	// connectionsReplaced counts idle connections that were replaced by new ones, since they had
	// carried the request before or as many as they may.
	connectionsReplaced = metrics.NewCounter("gooseberryslip_outbound_connections_replaced_total")
	// foreignResponses counts responses that belong to another request than the
	// one that was waiting.
	foreignResponses = metrics.NewCounter("gooseberryslip_outbound_foreign_answers_total")
	// invalidHeads counts responses with an invalid head or trailer.
	invalidHeads = metrics.NewCounter("gooseberryslip_outbound_invalid_heads_total")
	// joinedHeads counts responses whose head had the status line of another one in it.
	joinedHeads = metrics.NewCounter("gooseberryslip_outbound_joined_heads_total")
	// oversizedHeads counts responses whose head was longer than maxHeadBytes.
	oversizedHeads = metrics.NewCounter("gooseberryslip_outbound_oversized_heads_total")
)
