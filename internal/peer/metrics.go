package peer

import "github.com/VictoriaMetrics/metrics"

// Counters are shared by all transports of the process.
var (
	connectionsAccepted = metrics.NewCounter(`gooseberryslip_peer_connections_total{side="accepted"}`)
	connectionsDialled  = metrics.NewCounter(`gooseberryslip_peer_connections_total{side="dialled"}`)
	connectionsRefused  = metrics.NewCounter(`gooseberryslip_peer_connections_refused_total`)
	dialFailures        = metrics.NewCounter(`gooseberryslip_peer_dial_failures_total`)
	reloadFailures      = metrics.NewCounter(`gooseberryslip_peer_certificate_reload_failures_total`)

	messagesSent     = newChannelCounters("sent")
	messagesReceived = newChannelCounters("received")

	messagesDropped = struct {
		overflow, unreachable, wrongPeer, lost, closed, tooLarge, unknownKind *metrics.Counter
	}{
		overflow:    newDropCounter("queue_full"),
		unreachable: newDropCounter("unreachable"),
		wrongPeer:   newDropCounter("wrong_peer"),
		lost:        newDropCounter("connection_lost"),
		closed:      newDropCounter("closed"),
		tooLarge:    newDropCounter("too_large"),
		unknownKind: newDropCounter("unknown_kind"),
	}
)

// trafficCounters counts messages and the bytes of their bodies.
type trafficCounters struct {
	messages, bytes *metrics.Counter
}

func newTrafficCounters(direction, channel string) trafficCounters {
	labels := `{channel="` + channel + `"}`
	return trafficCounters{
		messages: metrics.NewCounter("gooseberryslip_peer_messages_" + direction + "_total" + labels),
		bytes:    metrics.NewCounter("gooseberryslip_peer_bytes_" + direction + "_total" + labels),
	}
}

func newChannelCounters(direction string) map[Channel]trafficCounters {
	return map[Channel]trafficCounters{
		Datagrams: newTrafficCounters(direction, "datagram"),
		Stream:    newTrafficCounters(direction, "stream"),
	}
}

func newDropCounter(reason string) *metrics.Counter {
	return metrics.NewCounter(`gooseberryslip_peer_messages_dropped_total{reason="` + reason + `"}`)
}

func countSent(ch Channel, size int) { countMessage(messagesSent[ch], size) }

func countReceived(ch Channel, size int) { countMessage(messagesReceived[ch], size) }

func countMessage(counters trafficCounters, size int) {
	counters.messages.Inc()
	counters.bytes.Add(size)
}
