package configuration

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/virtualtime"
)

// rowKey is the key of a row in the fake table.
type rowKey struct{ partition, sort string }

// fakeTable is a table service in memory. It records the accepted changes
// independently of the code under test.
type fakeTable struct {
	rows      map[rowKey]provider.Row
	staleRows map[rowKey]provider.Row // returned by reads that are not consistent, as by a stale replica
	down      bool
	loseReply func() bool       // decides whether the reply to a write is lost
	tokens    map[string]string // accepted writes, by token
	reads     int
	accepted  []Document // accepted changes in order
}

func newFakeTable() *fakeTable {
	return &fakeTable{
		rows: map[rowKey]provider.Row{}, staleRows: map[rowKey]provider.Row{},
		loseReply: func() bool { return false }, tokens: map[string]string{},
	}
}

func (f *fakeTable) perform(op provider.Operation) provider.Result {
	r := provider.Result{ID: op.ID}
	switch {
	case f.down:
		r.Err = provider.ErrUnavailable
	case op.Kind == provider.TransactRows:
		r.Err = f.transactOnce(op.Token, op.Writes)
		if f.loseReply() {
			r.Err = provider.ErrUnknownOutcome
		}
	case op.Kind == provider.QueryRows:
		f.reads++
		r.Rows = f.query(op)
	default:
		f.reads++
		var ok bool
		if r.Row, ok = f.replica(op.Consistent)[rowKey{op.Partition, op.Sort}]; !ok {
			r.Err = provider.ErrNotFound
		}
	}
	return r
}

func (f *fakeTable) replica(consistent bool) map[rowKey]provider.Row {
	if consistent {
		return f.rows
	}
	return f.staleRows
}

func (f *fakeTable) query(op provider.Operation) []provider.Row {
	var out []provider.Row
	for k, row := range f.replica(op.Consistent) {
		if k.partition == op.Partition && k.sort > op.After {
			out = append(out, row)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Sort < out[j].Sort })
	return out[:min(len(out), op.Limit)]
}

// transactOnce performs a transaction unless one with its token has been
// accepted, as table services do.
func (f *fakeTable) transactOnce(token string, writes []provider.Write) error {
	content := fmt.Sprint(writes)
	if earlierWrites, accepted := f.tokens[token]; accepted {
		if earlierWrites != content {
			panic("token " + token + " is used again with other writes")
		}
		return nil
	}
	err := f.transact(writes)
	if err == nil {
		f.tokens[token] = content
	}
	return err
}

func (f *fakeTable) transact(writes []provider.Write) error {
	for _, w := range writes {
		if !w.Unconditional && f.rows[rowKey{w.Partition, w.Sort}].Version != w.IfVersion {
			return provider.ErrConditionFailed
		}
	}
	for _, w := range writes {
		k := rowKey{w.Partition, w.Sort}
		row := provider.Row{Partition: w.Partition, Sort: w.Sort, Version: f.rows[k].Version + 1, Value: w.Value}
		f.rows[k] = row
		if w.Partition == configPartition && strings.HasPrefix(w.Sort, documentPrefix) {
			d, _ := decodeDocument(row)
			f.accepted = append(f.accepted, d)
		}
	}
	return nil
}

// head returns the table's highest revision.
func (f *fakeTable) head() uint64 {
	var h headRow
	_ = codec.Decode(f.rows[rowKey{configPartition, headSortKey}].Value, &h)
	return h.Revision
}

// acceptedCount returns how often the table has accepted an operation.
func (f *fakeTable) acceptedCount(operation string) int {
	n := 0
	for _, d := range f.accepted {
		if d.Operation == operation {
			n++
		}
	}
	return n
}

// world runs several daemons' Configurations against one fake table in virtual
// time.
type world struct {
	t            testing.TB
	now          time.Time
	rand         *rand.Rand
	queue        virtualtime.Queue
	table        *fakeTable
	latency      func() time.Duration
	daemons      []*Configuration
	nextTickAt   []time.Time
	pollInterval time.Duration // configured poll interval; 0: the default
	outcomes     map[string]ApplyOutcome
	history      []HistoryOutcome
	onHeadRaised func(from int, head uint64)
	afterStep    func(daemon int)
}

func newWorld(t testing.TB, daemons int) *world {
	w := &world{
		t: t, now: time.Unix(1_700_000_000, 0), rand: rand.New(rand.NewPCG(1, 2)),
		table: newFakeTable(), latency: func() time.Duration { return 5 * time.Millisecond },
		outcomes:     map[string]ApplyOutcome{},
		onHeadRaised: func(int, uint64) {},
		afterStep:    func(int) {},
	}
	w.daemons = make([]*Configuration, daemons)
	w.nextTickAt = make([]time.Time, daemons)
	for i := range w.daemons {
		w.startDaemon(i)
	}
	return w
}

// startDaemon starts a daemon without documents, in place of a previous one.
func (w *world) startDaemon(i int) {
	c := New(Config{
		Self: entity.InstanceID(fmt.Sprintf("d%d", i)),
		Rand: rand.New(rand.NewPCG(uint64(i), w.rand.Uint64())),

		PollInterval: w.pollInterval,
	})
	c.SetDaemons(len(w.daemons))
	w.daemons[i], w.nextTickAt[i] = c, time.Time{}
	w.scheduleAt(w.now, func() { w.tickDaemon(i, c) })
}

func (w *world) scheduleAt(t time.Time, do func()) {
	w.queue.Schedule(t, do)
}

func (w *world) run(d time.Duration) {
	w.queue.RunUntil(w.now.Add(d), &w.now)
}

func (w *world) tickDaemon(i int, c *Configuration) {
	if w.daemons[i] != c {
		return // the daemon has been replaced
	}
	c.Tick(w.now)
	w.processReady(i)
}

// processReady performs the output of a daemon and schedules its next tick.
func (w *world) processReady(i int) {
	c := w.daemons[i]
	r := c.Ready()
	for _, op := range r.Operations {
		w.perform(i, c, op)
	}
	for _, o := range r.Outcomes {
		w.outcomes[o.Operation] = o
	}
	w.history = append(w.history, r.Histories...)
	if r.Head > 0 {
		w.onHeadRaised(i, r.Head)
	}
	w.afterStep(i)
	if at := c.Deadline(); !at.IsZero() && !at.Equal(w.nextTickAt[i]) {
		w.nextTickAt[i] = at
		w.scheduleAt(at, func() { w.tickDaemon(i, c) })
	}
}

func (w *world) perform(i int, c *Configuration, op provider.Operation) {
	request, reply := w.latency()/2, w.latency()/2
	w.scheduleAt(w.now.Add(request), func() {
		r := w.table.perform(op)
		w.scheduleAt(w.now.Add(reply), func() {
			if w.daemons[i] == c {
				c.TableResult(w.now, r)
				w.processReady(i)
			}
		})
	})
}

// call calls f with a daemon and performs the daemon's output.
func (w *world) call(i int, f func(c *Configuration)) {
	f(w.daemons[i])
	w.processReady(i)
}

func (w *world) apply(i int, ch Change) {
	w.call(i, func(c *Configuration) { c.Apply(w.now, ch) })
}

// mustApply applies a change, waits for its outcome and returns the revision.
// The test fails if the change is not applied.
func (w *world) mustApply(i int, ch Change) uint64 {
	w.t.Helper()
	w.apply(i, ch)
	w.run(ApplyTimeout)
	o := w.outcomes[ch.Operation]
	if o.Status != Applied {
		w.t.Fatalf("operation %s: outcome %+v, want applied", ch.Operation, o)
	}
	return o.Revision
}

// documentText returns a valid service document. Documents with different
// weights have different content.
func documentText(service entity.ServiceName, weight int) string {
	return fmt.Sprintf(`name = "%[1]s"
kind = "plain"
[[organisations]]
id = "izilo"
credential_sha256 = "%064[2]x"
weight = %[3]d
requests_per_second = 10
request_burst = 10
[[backend_servers]]
id = "%[1]s-1"
address = "127.0.0.1:9001"
data_centre = "west-a"
slots = 4
`, service, 1, weight)
}
