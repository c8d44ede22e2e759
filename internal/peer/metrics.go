package peer

import "github.com/VictoriaMetrics/metrics"

// Counters are shared by all transports of the process.
var (
	accepted       = metrics.NewCounter(`gooseberryslip_peer_connections_total{side="accepted"}`)
	dialled        = metrics.NewCounter(`gooseberryslip_peer_connections_total{side="dialled"}`)
	refused        = metrics.NewCounter(`gooseberryslip_peer_connections_refused_total`)
	dialFailures   = metrics.NewCounter(`gooseberryslip_peer_dial_failures_total`)
	reloadFailures = metrics.NewCounter(`gooseberryslip_peer_certificate_reload_failures_total`)

	sent     = newChannelCounters("sent")
	received = newChannelCounters("received")

	dropped = struct {
		overflow, unreachable, wrongPeer, lost, closed, tooLarge, unknownKind *metrics.Counter
	}{
		overflow:    newDropped("queue_full"),
		unreachable: newDropped("unreachable"),
		wrongPeer:   newDropped("wrong_peer"),
		lost:        newDropped("connection_lost"),
		closed:      newDropped("closed"),
		tooLarge:    newDropped("too_large"),
		unknownKind: newDropped("unknown_kind"),
	}
)

// volume counts the messages and the bytes of their bodies.
type volume struct {
	messages, bytes *metrics.Counter
}

func newVolume(direction, channel string) volume {
	labels := `{channel="` + channel + `"}`
	return volume{
		messages: metrics.NewCounter("gooseberryslip_peer_messages_" + direction + "_total" + labels),
		bytes:    metrics.NewCounter("gooseberryslip_peer_bytes_" + direction + "_total" + labels),
	}
}

func newChannelCounters(direction string) map[Channel]volume {
	return map[Channel]volume{
		Datagrams: newVolume(direction, "datagram"),
		Stream:    newVolume(direction, "stream"),
	}
}

func newDropped(reason string) *metrics.Counter {
	return metrics.NewCounter(`gooseberryslip_peer_messages_dropped_total{reason="` + reason + `"}`)
}

func countSent(ch Channel, size int) { count(sent[ch], size) }

func countReceived(ch Channel, size int) { count(received[ch], size) }

func count(v volume, size int) {
	v.messages.Inc()
	v.bytes.Add(size)
}
