package journal

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

const maxPause = 10 * time.Second

// faultTest draws random faults and requests, then ends the faults and lets the
// daemons recover.
type faultTest struct {
	*world
	t            *rapid.T
	lossPercent  int // percent of operations whose reply is lost; a third of these take no effect
	delayPercent int // percent of operations that take effect late, and percent that reply late
	nextID       int
}

func newFaultTest(t *rapid.T) *faultTest {
	m := &faultTest{world: newWorld(t, rapid.Uint64().Draw(t, "seed")), t: t}
	m.lossPercent = rapid.IntRange(0, 30).Draw(t, "loss")
	m.delayPercent = rapid.IntRange(0, 30).Draw(t, "late")
	m.store.jitter = 20 * time.Millisecond
	m.store.fault = m.fault
	refresh := time.Duration(rapid.SampledFrom([]int{1, 30}).Draw(t, "refresh")) * time.Second
	hotKeys := rapid.SampledFrom([]int{1, 3, 100}).Draw(t, "hot keys")
	for i := range rapid.IntRange(2, 4).Draw(t, "daemons") {
		d := m.addDaemon(entity.InstanceID(fmt.Sprintf("d%d", i)), func(c *Config) {
			c.Shards = 2
			c.HotKeys = hotKeys
			c.MergeCount = 2
			c.MaxInlineBytes = 64
			c.TargetPartBytes = 512
			c.MaxTakeoverDelay = 4 * time.Second
			c.RebalanceDelay = 2 * time.Second
			c.RefreshInterval = refresh
			c.UnseenOwnerDelay = 2 * time.Second
		})
		d.runDuration = 300 * time.Millisecond
		d.executorDelay = func() time.Duration { return time.Duration(m.rand.Int64N(int64(5 * time.Millisecond))) }
		d.giveUp = func() bool { return m.rand.IntN(10) == 0 }
		d.bodyBytes = 10 + 100*i
	}
	m.setMembers(m.liveIDs()...)
	return m
}

func (m *faultTest) liveIDs() []entity.InstanceID {
	var ids []entity.InstanceID
	for _, d := range m.daemons {
		if !d.dead {
			ids = append(ids, d.id)
		}
	}
	return ids
}

func (m *faultTest) fault(_ *daemon, op provider.Operation) fault {
	var f fault
	if m.rand.IntN(100) < m.delayPercent {
		f.replyDelay = time.Duration(m.rand.Int64N(int64(8 * time.Second)))
	}
	if m.rand.IntN(100) < m.delayPercent {
		f.effectDelay = time.Duration(m.rand.Int64N(int64(4 * time.Second)))
	}
	if m.rand.IntN(100) < m.lossPercent {
		f.loseReply = true
		f.loseRequest = m.rand.IntN(3) == 0
	}
	return f
}

func (m *faultTest) randomDaemon() *daemon {
	return m.daemons[rapid.IntRange(0, len(m.daemons)-1).Draw(m.t, "daemon")]
}

// submitRequest submits a request. In three of four cases it goes to the daemon
// that a randomly chosen daemon considers the key's owner, otherwise to the
// chosen daemon itself.
func (m *faultTest) submitRequest(*rapid.T) {
	m.nextID++
	n := rapid.IntRange(0, 11).Draw(m.t, "key")
	r := newKeyedRequest(entity.RequestID(fmt.Sprintf("r%d", m.nextID)), fmt.Sprintf("k%d", n), n%2 == 0)
	if rapid.IntRange(0, 19).Draw(m.t, "other") == 0 {
		r.Digest = entity.Digest{2}
	}
	if rapid.Bool().Draw(m.t, "deadline") {
		r.Deadline = m.now.Add(time.Duration(rapid.IntRange(10, 4000).Draw(m.t, "within")) * time.Millisecond)
	}
	d := m.randomDaemon()
	if owner := d.journal.Owner(r.Key); rapid.IntRange(0, 3).Draw(m.t, "relay") > 0 {
		for _, other := range m.daemons {
			if other.id == owner {
				d = other
			}
		}
	}
	if !d.dead {
		d.submit(r)
	}
}

func (m *faultTest) pause(*rapid.T) {
	d := m.randomDaemon()
	pause := rapid.IntRange(100, int(maxPause/time.Millisecond)).Draw(m.t, "pause")
	d.pausedUntil = m.now.Add(time.Duration(pause) * time.Millisecond)
}

// changeMembers gives one daemon a membership list that may lack live daemons.
func (m *faultTest) changeMembers(*rapid.T) {
	d := m.randomDaemon()
	var ids []entity.InstanceID
	for _, id := range m.liveIDs() {
		if id == d.id || rapid.Bool().Draw(m.t, "sees") {
			ids = append(ids, id)
		}
	}
	d.setMembers(ids...)
}

func (m *faultTest) kill(*rapid.T) {
	d := m.randomDaemon()
	if len(m.liveIDs()) > 1 && rapid.IntRange(0, 3).Draw(m.t, "kill") == 0 {
		d.dead = true
	}
}

func (m *faultTest) releaseShards(*rapid.T) {
	d := m.randomDaemon()
	if len(m.liveIDs()) > 1 && rapid.IntRange(0, 3).Draw(m.t, "disown") == 0 {
		m.schedule(0, d, func() { d.journal.ReleaseShards(m.now) })
	}
}

func (m *faultTest) giveUpRequest(*rapid.T) {
	if m.nextID == 0 {
		return
	}
	id := entity.RequestID(fmt.Sprintf("r%d", rapid.IntRange(1, m.nextID).Draw(m.t, "request")))
	for _, d := range m.daemons {
		m.schedule(0, d, func() { m.giveUpOn(d, id) })
	}
}

// giveUpOn ends a request as its executor does when the caller cancels.
func (m *faultTest) giveUpOn(d *daemon, id entity.RequestID) {
	if d.journal.requests[id] == nil {
		return
	}
	d.journal.GiveUp(m.now, id, m.dispatched[id] == 0)
	m.finalOutcomes[id] = Outcome{Request: id, Kind: kindGivenUp}
}

func (m *faultTest) advanceTime(*rapid.T) {
	m.run(time.Duration(rapid.IntRange(1, 3000).Draw(m.t, "pass")) * time.Millisecond)
}

func (m *faultTest) outage(*rapid.T) {
	m.store.down = rapid.Bool().Draw(m.t, "table down")
	m.store.objectsDown = rapid.Bool().Draw(m.t, "objects down")
	m.store.stale = rapid.Bool().Draw(m.t, "stale")
	m.store.snapshot()
}

// endFaults ends the faults and runs until the rest should have finished.
func (m *faultTest) endFaults() {
	m.store.fault = nil
	m.store.down, m.store.objectsDown, m.store.stale = false, false, false
	m.run(maxPause) // inputs queued for a paused daemon keep their order
	m.setMembers(m.liveIDs()...)
	m.run(time.Minute)
}

// checkEnded checks that each request submitted to a live daemon has ended.
func (m *faultTest) checkEnded() {
	for _, d := range m.daemons {
		if d.dead {
			continue
		}
		for id := range d.journal.requests {
			m.t.Fatalf("request %s on daemon %s has not ended", id, d.id)
		}
	}
}

// checkAnswered checks that the journal works again: a new request with each
// key gets an outcome from the key's owner.
func (m *faultTest) checkAnswered() {
	for n := range 12 {
		id := entity.RequestID(fmt.Sprintf("last%d", n))
		r := newKeyedRequest(id, fmt.Sprintf("k%d", n), n%2 == 0)
		d := m.ownerOf(r.Key)
		if d == nil {
			return // every live daemon is leaving
		}
		d.submit(r)
		m.run(2 * time.Second)
		if o, ok := m.finalOutcomes[id]; !ok || o.Kind == Refused && verdict.CodeOf(o.Err) == CodeStoreUnavailable {
			s := d.journal.shards[d.journal.ShardOf(r.Key)]
			m.t.Fatalf("request %s on daemon %s after recovery: outcome %v %v; shard state %d generation %d row %+v no takeover for %v", id, d.id, o.Kind, o.Err,
				s.state, s.generation, s.row, s.takeoverNotBefore.Sub(m.now))
		}
	}
}

func (m *faultTest) ownerOf(k Key) *daemon {
	for _, d := range m.daemons {
		if !d.dead && !d.journal.leaving && d.journal.Owner(k) == d.id {
			return d
		}
	}
	return nil
}

func TestJournal_MixedFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newFaultTest(t)
		t.Repeat(map[string]func(*rapid.T){
			"request":  m.submitRequest,
			"request2": m.submitRequest,
			"request3": m.submitRequest,
			"pass":     m.advanceTime,
			"pass2":    m.advanceTime,
			"pause":    m.pause,
			"view":     m.changeMembers,
			"kill":     m.kill,
			"disown":   m.releaseShards,
			"give up":  m.giveUpRequest,
			"outage":   m.outage,
		})
		m.endFaults()
		m.checkEnded()
		m.checkAnswered()
	})
}
