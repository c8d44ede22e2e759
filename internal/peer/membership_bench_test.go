package peer

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/membership"
)

// memberLoop runs a Membership over a transport. It processes one message or
// tick at a time.
type memberLoop struct {
	transport *Transport
	mu        sync.Mutex // guards members
	members   *membership.Membership
}

func (l *memberLoop) receive(from entity.InstanceID, addr string, _ Channel, body []byte) {
	var msg membership.Message
	if codec.Decode(body, &msg) != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members.Step(time.Now(), from, addr, msg)
	l.sendReady()
}

// sendReady sends the messages that the membership has ready. The caller holds
// l.mu.
func (l *memberLoop) sendReady() {
	for _, e := range l.members.Ready().Send {
		body, err := codec.Encode(e.Message)
		if err == nil {
			l.transport.SendDatagram(Address{ID: e.To, Addr: e.Addr}, body)
		}
	}
}

func (l *memberLoop) tick() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members.Tick(time.Now())
	l.sendReady()
	return l.members.Deadline()
}

// run ticks until stop is closed.
func (l *memberLoop) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Until(l.tick())):
		}
	}
}

func (l *memberLoop) memberCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.members.Members())
}

func newMemberLoop(b *testing.B, a *Authority, i int, seeds []string) *memberLoop {
	l := &memberLoop{}
	l.mu.Lock() // received messages wait until members is set
	defer l.mu.Unlock()
	e := newEndpoint(b, a, entity.InstanceID(fmt.Sprint("daemon-", i)), func(c *Config) { c.Handler = l.receive })
	l.transport = e.Transport
	l.members = membership.New(membership.Config{
		Self: membership.Member{
			ID: e.cfg.Self, Addr: e.Addr(), CallerAddr: e.Addr(),
			Location: entity.Location{Region: "west", DataCentre: entity.DataCentreID(fmt.Sprint("west-", i%3))},
		},
		Seeds: seeds,
	})
	return l
}

// openConnectionBytes returns the bytes that the open connections have sent and
// received, including IP and UDP headers.
func (t *Transport) openConnectionBytes() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum uint64
	for _, l := range t.links {
		for _, c := range l.conns {
			sum += wireBytes(c)
		}
	}
	return sum
}

// BenchmarkTransport_Membership measures a fleet without changes over real
// sockets: the bytes that each daemon sends, its processor time and its
// connections.
func BenchmarkTransport_Membership(b *testing.B) {
	const daemons, measuredDuration = 30, 20 * time.Second
	authority, stop := newAuthority(b), make(chan struct{})
	defer close(stop)
	var loops []*memberLoop
	var seeds []string
	for i := range daemons {
		l := newMemberLoop(b, authority, i, seeds)
		loops, seeds = append(loops, l), []string{l.transport.Addr()}
		go l.run(stop)
	}
	for b.Loop() {
		eventuallyB(b, func() bool { return membershipComplete(loops) })
		time.Sleep(5 * time.Second)
		wire, cpuTime := fleetWireBytes(loops), processorTime(b)
		time.Sleep(measuredDuration)
		wire, cpuTime = fleetWireBytes(loops)-wire, processorTime(b)-cpuTime
		daemonSeconds := daemons * measuredDuration.Seconds()
		b.ReportMetric(float64(wire)/2/daemonSeconds, "sent-B/daemon-s")
		b.ReportMetric(float64(cpuTime.Microseconds())/daemonSeconds, "cpu-µs/daemon-s")
		connections := 0
		for _, l := range loops {
			connections += l.transport.Connections()
		}
		b.ReportMetric(float64(connections)/daemons, "connections/daemon")
	}
}

func membershipComplete(loops []*memberLoop) bool {
	for _, l := range loops {
		if l.memberCount() != len(loops) {
			return false
		}
	}
	return true
}

func fleetWireBytes(loops []*memberLoop) uint64 {
	var sum uint64
	for _, l := range loops {
		sum += l.transport.openConnectionBytes()
	}
	return sum
}
