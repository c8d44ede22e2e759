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

// memberLoop runs a Membership over a transport, one message at a time.
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
	l.perform()
}

// perform sends what is to be sent. The caller holds l.mu.
func (l *memberLoop) perform() {
	for _, e := range l.members.Ready().Send {
		body, err := codec.Encode(e.Message)
		if err == nil {
			l.transport.Datagram(Address{ID: e.To, Addr: e.Addr}, body)
		}
	}
}

func (l *memberLoop) tick() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members.Tick(time.Now())
	l.perform()
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

func (l *memberLoop) known() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.members.Members())
}

func newMemberLoop(b *testing.B, a *Authority, i int, seeds []string) *memberLoop {
	l := &memberLoop{}
	l.mu.Lock() // until members is set, what arrives waits
	defer l.mu.Unlock()
	e := newEndpoint(b, a, entity.InstanceID(fmt.Sprint("daemon-", i)), func(c *Config) { c.Handler = l.receive })
	l.transport = e.Transport
	l.members = membership.New(membership.Config{
		Self: membership.Member{
			ID: e.cfg.Self, Addr: e.Addr(), CallerAddr: e.Addr(),
			Place: entity.Place{Region: "west", DataCentre: entity.DataCentreID(fmt.Sprint("west-", i%3))},
		},
		Seeds: seeds,
	})
	return l
}

// wireBytesOf sums up what the open connections have carried, both ways.
func (t *Transport) wireBytesOf() uint64 {
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

// BenchmarkTransport_Membership measures a quiet fleet over real sockets: what
// each daemon sends and receives, and its processor time.
func BenchmarkTransport_Membership(b *testing.B) {
	const daemons, measured = 30, 20 * time.Second
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
		eventuallyB(b, func() bool { return complete(loops) })
		time.Sleep(5 * time.Second)
		wire, used := wireOfAll(loops), processorTime(b)
		time.Sleep(measured)
		wire, used = wireOfAll(loops)-wire, processorTime(b)-used
		per := daemons * measured.Seconds()
		b.ReportMetric(float64(wire)/2/per, "sent-B/daemon-s")
		b.ReportMetric(float64(used.Microseconds())/per, "cpu-µs/daemon-s")
		connections := 0
		for _, l := range loops {
			connections += l.transport.Connections()
		}
		b.ReportMetric(float64(connections)/daemons, "connections/daemon")
	}
}

func complete(loops []*memberLoop) bool {
	for _, l := range loops {
		if l.known() != len(loops) {
			return false
		}
	}
	return true
}

func wireOfAll(loops []*memberLoop) uint64 {
	var sum uint64
	for _, l := range loops {
		sum += l.transport.wireBytesOf()
	}
	return sum
}
