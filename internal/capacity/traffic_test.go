package capacity

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/core"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

const (
	// packetOverhead is counted for each packet, in bytes: IPv4 and UDP 28, QUIC
	// short header with connection ID and packet number 7, frame header 3,
	// authentication tag 16.
	packetOverhead = 54
	// ackOverhead is counted for each packet: half a packet of 56 bytes in the
	// other direction, as one acknowledgement answers two packets.
	ackOverhead = 28
	// packetPayload is the most that a packet carries, in bytes.
	packetPayload = 1200
	// frameHeader is the header of a message on the stream, in bytes.
	frameHeader = 5
	// callOverhead is counted for each call of the table service or the object
	// store, in bytes: the headers of the signed request and of its reply.
	callOverhead = 900
)

// kind says what a message is for.
type kind int

const (
	kindMembership kind = iota
	kindGrant
	kindRelay
	kindHandoff
	kindDocuments
	kindCount
)

var kindNames = [kindCount]string{"membership", "grant", "relay", "handoff", "documents"}

// kindOf classifies a message.
func kindOf(m *core.Message) kind {
	switch {
	case m.Membership != nil:
		return kindMembership
	case m.Grant != nil:
		return kindGrant
	case m.Offer != nil, m.OfferReply != nil, m.OfferCommit != nil:
		return kindHandoff
	case m.DocumentsAsk != nil, m.DocumentsHave != nil:
		return kindDocuments
	}
	return kindRelay
}

// traffic is what one daemon has sent and asked since it was last reset.
type traffic struct {
	messages [kindCount]int
	bytes    [kindCount]int // packet overhead and acknowledgements included
	reads    int            // rows or pages of the table service
	writes   int            // transactions
	lists    int            // readings of the list of instances
	objects  int            // calls of the object store
	platform int            // bytes to and from the platform
	ticks    int
	cpu      time.Duration   // of ticks, encoding and decoding, on this machine
	second   map[int64]int   // control bytes by second of virtual time
	peers    map[string]bool // addresses of daemons that were sent to or heard
}

func newTraffic() traffic {
	return traffic{second: map[int64]int{}, peers: map[string]bool{}}
}

// control returns the bytes that the budget counts: messages between daemons
// without the requests' own content, which relays and handoffs carry.
func (t *traffic) control() int {
	return t.bytes[kindMembership] + t.bytes[kindGrant] + t.bytes[kindDocuments]
}

// worst returns the control bytes of the worst second.
func (t *traffic) worst() int {
	return most(t.second)
}

// packet counts a payload of some bytes that goes to one peer in one tick.
func (t *traffic) packet(k kind, size int, at time.Time) {
	packets := (size + packetPayload - 1) / packetPayload
	total := size + packets*(packetOverhead+ackOverhead)
	t.bytes[k] += total
	if k != kindRelay && k != kindHandoff {
		t.second[at.Unix()] += total
	}
}

// operation counts a call of the platform and its reply.
func (t *traffic) operation(op *provider.Operation, r *provider.Result) {
	t.platform += callOverhead + len(op.Value) + len(r.Value) + len(r.Row.Value)
	for _, w := range op.Writes {
		t.platform += len(w.Value)
	}
	for _, row := range r.Rows {
		t.platform += len(row.Value)
	}
	switch op.Kind {
	case provider.GetRow, provider.QueryRows:
		t.reads++
	case provider.TransactRows:
		t.writes++
	default:
		t.objects++
	}
}

// calls counts the calls of the table service by second of virtual time.
type calls struct{ reads, writes map[int64]int }

// add counts a call.
func (c *calls) add(op *provider.Operation, at time.Time) {
	switch op.Kind {
	case provider.GetRow, provider.QueryRows:
		c.reads[at.Unix()]++
	case provider.TransactRows:
		c.writes[at.Unix()]++
	}
}

// most returns the largest count.
func most(counts map[int64]int) int {
	out := 0
	for _, n := range counts {
		out = max(out, n)
	}
	return out
}
