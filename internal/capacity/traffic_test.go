package capacity

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/core"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

const (
	// packetOverhead is the number of bytes added for each packet: 28 for IPv4 and
	// UDP, 7 for the QUIC short header with connection ID and packet number, 3 for
	// the frame header, 16 for the authentication tag.
	packetOverhead = 54
	// ackOverhead is the number of bytes added for each packet for
	// acknowledgements: one of 56 bytes, in the other direction, covers two packets.
	ackOverhead = 28
	// packetPayload is the maximum payload of a packet, in bytes.
	packetPayload = 1200
	// frameHeader is the header of a message on the stream, in bytes.
	frameHeader = 5
	// callOverhead is the number of bytes added for each call of the table service
	// or the object store: the headers of the signed request and of its reply.
	callOverhead = 900
)

// messageKind is the purpose of a message between daemons.
type messageKind int

const (
	kindMembership messageKind = iota
	kindGrant
	kindRelay
	kindHandoff
	kindDocuments
	kindCount
)

var kindNames = [kindCount]string{"membership", "grant", "relay", "handoff", "documents"}

// kindOf classifies a message.
func kindOf(m *core.Message) messageKind {
	switch {
	case m.Membership != nil:
		return kindMembership
	case m.Grant != nil:
		return kindGrant
	case m.Offer != nil, m.OfferReply != nil, m.OfferCommit != nil:
		return kindHandoff
	case m.DocumentsRequest != nil, m.DocumentsResponse != nil:
		return kindDocuments
	}
	return kindRelay
}

// traffic counts what one daemon has sent to peers and called on the platform
// since the last resetTraffic.
type traffic struct {
	messages             [kindCount]int
	bytes                [kindCount]int // packet overhead and acknowledgements included
	reads                int            // rows or pages of the table service
	writes               int            // transactions
	instanceLists        int            // calls that list instances
	objectCalls          int            // calls of the object store
	platformBytes        int            // bytes to and from the platform
	ticks                int
	cpuTime              time.Duration   // of ticks, encoding and decoding, measured in real time
	controlBytesBySecond map[int64]int   // by second of virtual time
	peers                map[string]bool // addresses of daemons that it sent to or received from
}

func newTraffic() traffic {
	return traffic{controlBytesBySecond: map[int64]int{}, peers: map[string]bool{}}
}

// totalControlBytes returns the bytes that maxControlBytesPerSecond bounds: those
// of messages between daemons other than relays and handoffs, which carry the
// content of requests.
func (t *traffic) totalControlBytes() int {
	return t.bytes[kindMembership] + t.bytes[kindGrant] + t.bytes[kindDocuments]
}

// worstSecondControlBytes returns the largest number of control bytes sent within
// one second.
func (t *traffic) worstSecondControlBytes() int {
	return maxCount(t.controlBytesBySecond)
}

// countPayload counts a payload of size bytes, with its packets, that the daemon
// sends to one peer in one tick.
func (t *traffic) countPayload(k messageKind, size int, at time.Time) {
	packets := (size + packetPayload - 1) / packetPayload
	total := size + packets*(packetOverhead+ackOverhead)
	t.bytes[k] += total
	if k != kindRelay && k != kindHandoff {
		t.controlBytesBySecond[at.Unix()] += total
	}
}

// countOperation counts a call to the platform and the bytes of its request and
// reply.
func (t *traffic) countOperation(op *provider.Operation, r *provider.Result) {
	t.platformBytes += callOverhead + len(op.Value) + len(r.Value) + len(r.Row.Value)
	for _, w := range op.Writes {
		t.platformBytes += len(w.Value)
	}
	for _, row := range r.Rows {
		t.platformBytes += len(row.Value)
	}
	switch op.Kind {
	case provider.GetRow, provider.QueryRows:
		t.reads++
	case provider.TransactRows:
		t.writes++
	default:
		t.objectCalls++
	}
}

// callCounts counts the calls of the table service by second of virtual time.
type callCounts struct{ reads, writes map[int64]int }

// count adds a call, unless it is one of the object store.
func (c *callCounts) count(op *provider.Operation, at time.Time) {
	switch op.Kind {
	case provider.GetRow, provider.QueryRows:
		c.reads[at.Unix()]++
	case provider.TransactRows:
		c.writes[at.Unix()]++
	}
}

// maxCount returns the largest of the counts.
func maxCount(counts map[int64]int) int {
	out := 0
	for _, n := range counts {
		out = max(out, n)
	}
	return out
}
