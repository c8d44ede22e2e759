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

const longestPause = 10 * time.Second

// mix draws faults and requests, then lets everything recover.
type mix struct {
	*world
	t      *rapid.T
	loss   int // percent of transactions whose reply is lost
	late   int // percent of operations that take effect or reply late
	nextID int
}

func newMix(t *rapid.T) *mix {
	m := &mix{world: newWorld(t, rapid.Uint64().Draw(t, "seed")), t: t}
	m.loss = rapid.IntRange(0, 30).Draw(t, "loss")
	m.late = rapid.IntRange(0, 30).Draw(t, "late")
	m.store.jitter = 20 * time.Millisecond
	m.store.fault = m.fault
	refresh := time.Duration(rapid.SampledFrom([]int{1, 30}).Draw(t, "refresh")) * time.Second
	hotKeys := rapid.SampledFrom([]int{1, 3, 100}).Draw(t, "hot keys")
	for i := range rapid.IntRange(2, 4).Draw(t, "daemons") {
		d := m.add(entity.InstanceID(fmt.Sprintf("d%d", i)), func(c *Config) {
			c.Shards = 2
			c.HotKeys = hotKeys
			c.MergeCount = 2
			c.InlineLimit = 64
			c.PartBytes = 512
			c.TakeoverMax = 4 * time.Second
			c.RebalanceAfter = 2 * time.Second
			c.RefreshEvery = refresh
			c.UnseenGrace = 2 * time.Second
		})
		d.runTime = 300 * time.Millisecond
		d.lag = func() time.Duration { return time.Duration(m.rand.Int64N(int64(5 * time.Millisecond))) }
		d.giveUp = func() bool { return m.rand.IntN(10) == 0 }
		d.body = 10 + 100*i
	}
	m.members(m.ids()...)
	return m
}

func (m *mix) ids() []entity.InstanceID {
	var ids []entity.InstanceID
	for _, d := range m.daemons {
		if !d.dead {
			ids = append(ids, d.id)
		}
	}
	return ids
}

func (m *mix) fault(_ *daemon, op provider.Operation) fault {
	var f fault
	if m.rand.IntN(100) < m.late {
		f.reply = time.Duration(m.rand.Int64N(int64(8 * time.Second)))
	}
	if m.rand.IntN(100) < m.late {
		f.land = time.Duration(m.rand.Int64N(int64(4 * time.Second)))
	}
	if m.rand.IntN(100) < m.loss {
		f.lose = true
		f.drop = m.rand.IntN(3) == 0
	}
	return f
}

func (m *mix) daemon() *daemon {
	return m.daemons[rapid.IntRange(0, len(m.daemons)-1).Draw(m.t, "daemon")]
}

// request begins a request on the daemon that another believes to own the key.
func (m *mix) request(*rapid.T) {
	m.nextID++
	n := rapid.IntRange(0, 11).Draw(m.t, "key")
	b := keyed(entity.RequestID(fmt.Sprintf("r%d", m.nextID)), fmt.Sprintf("k%d", n), n%2 == 0)
	if rapid.IntRange(0, 19).Draw(m.t, "other") == 0 {
		b.Digest = entity.Digest{2}
	}
	if rapid.Bool().Draw(m.t, "deadline") {
		b.Deadline = m.now.Add(time.Duration(rapid.IntRange(10, 4000).Draw(m.t, "within")) * time.Millisecond)
	}
	d := m.daemon()
	if owner := d.journal.Owner(b.Key); rapid.IntRange(0, 3).Draw(m.t, "relay") > 0 {
		for _, other := range m.daemons {
			if other.id == owner {
				d = other
			}
		}
	}
	if !d.dead {
		d.begin(b)
	}
}

func (m *mix) pause(*rapid.T) {
	d := m.daemon()
	pause := rapid.IntRange(100, int(longestPause/time.Millisecond)).Draw(m.t, "pause")
	d.pausedUntil = m.now.Add(time.Duration(pause) * time.Millisecond)
}

// view gives one daemon a membership of its own.
func (m *mix) view(*rapid.T) {
	d := m.daemon()
	var ids []entity.InstanceID
	for _, id := range m.ids() {
		if id == d.id || rapid.Bool().Draw(m.t, "sees") {
			ids = append(ids, id)
		}
	}
	d.members(ids...)
}

func (m *mix) kill(*rapid.T) {
	d := m.daemon()
	if len(m.ids()) > 1 && rapid.IntRange(0, 3).Draw(m.t, "kill") == 0 {
		d.dead = true
	}
}

func (m *mix) disown(*rapid.T) {
	d := m.daemon()
	if len(m.ids()) > 1 && rapid.IntRange(0, 3).Draw(m.t, "disown") == 0 {
		m.after(0, d, func() { d.journal.Disown(m.now) })
	}
}

func (m *mix) giveUpRequest(*rapid.T) {
	if m.nextID == 0 {
		return
	}
	id := entity.RequestID(fmt.Sprintf("r%d", rapid.IntRange(1, m.nextID).Draw(m.t, "request")))
	for _, d := range m.daemons {
		m.after(0, d, func() { m.giveUpOn(d, id) })
	}
}

// giveUpOn ends a request at its executor as a caller's cancellation does.
func (m *mix) giveUpOn(d *daemon, id entity.RequestID) {
	if d.journal.requests[id] == nil {
		return
	}
	d.journal.GiveUp(m.now, id, m.dispatched[id] == 0)
	m.final[id] = Outcome{Request: id, Kind: givenUp}
}

func (m *mix) pass(*rapid.T) {
	m.run(time.Duration(rapid.IntRange(1, 3000).Draw(m.t, "pass")) * time.Millisecond)
}

func (m *mix) outage(*rapid.T) {
	m.store.down = rapid.Bool().Draw(m.t, "table down")
	m.store.objectsDown = rapid.Bool().Draw(m.t, "objects down")
	m.store.stale = rapid.Bool().Draw(m.t, "stale")
	m.store.snapshot()
}

// recover ends the faults and lets the rest finish.
func (m *mix) recover() {
	m.store.fault = nil
	m.store.down, m.store.objectsDown, m.store.stale = false, false, false
	m.run(longestPause) // inputs that wait for a paused daemon keep their order
	m.members(m.ids()...)
	m.run(time.Minute)
}

// checkEnded checks that each request that was begun on a live daemon has ended.
func (m *mix) checkEnded() {
	for _, d := range m.daemons {
		if d.dead {
			continue
		}
		for id := range d.journal.requests {
			m.t.Fatalf("request %s on %s has not ended", id, d.id)
		}
	}
}

// checkAnswered checks that the journal works again: each key has an outcome
// on its owner, and it is the committed one.
func (m *mix) checkAnswered() {
	for n := range 12 {
		id := entity.RequestID(fmt.Sprintf("last%d", n))
		b := keyed(id, fmt.Sprintf("k%d", n), n%2 == 0)
		d := m.serving(b.Key)
		if d == nil {
			return // every live daemon is leaving
		}
		d.begin(b)
		m.run(2 * time.Second)
		if o, ok := m.final[id]; !ok || o.Kind == Refused && verdict.CodeOf(o.Err) == CodeStoreUnavailable {
			s := d.journal.shards[d.journal.ShardOf(b.Key)]
			m.t.Fatalf("%s on %s after recovery: %v %v; shard state %d generation %d row %+v not before %v", id, d.id, o.Kind, o.Err,
				s.state, s.generation, s.row, s.notBefore.Sub(m.now))
		}
	}
}

func (m *mix) serving(k Key) *daemon {
	for _, d := range m.daemons {
		if !d.dead && !d.journal.leaving && d.journal.Owner(k) == d.id {
			return d
		}
	}
	return nil
}

func TestJournal_MixedFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMix(t)
		t.Repeat(map[string]func(*rapid.T){
			"request":  m.request,
			"request2": m.request,
			"request3": m.request,
			"pass":     m.pass,
			"pass2":    m.pass,
			"pause":    m.pause,
			"view":     m.view,
			"kill":     m.kill,
			"disown":   m.disown,
			"give up":  m.giveUpRequest,
			"outage":   m.outage,
		})
		m.recover()
		m.checkEnded()
		m.checkAnswered()
	})
}
