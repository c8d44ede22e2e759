package configuration

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

// rowKey names a row of the fake table.
type rowKey struct{ partition, sort string }

// fakeTable keeps rows in memory. Its record of accepted changes is its own.
type fakeTable struct {
	rows     map[rowKey]provider.Row
	old      map[rowKey]provider.Row // what a stale replica returns
	down     bool
	lose     func() bool       // whether the reply of a write is lost
	tokens   map[string]string // writes accepted by token
	reads    int
	accepted []Document // in order
}

func newFakeTable() *fakeTable {
	return &fakeTable{
		rows: map[rowKey]provider.Row{}, old: map[rowKey]provider.Row{},
		lose: func() bool { return false }, tokens: map[string]string{},
	}
}

func (f *fakeTable) perform(op provider.Operation) provider.Result {
	r := provider.Result{ID: op.ID}
	switch {
	case f.down:
		r.Err = provider.ErrUnavailable
	case op.Kind == provider.TransactRows:
		r.Err = f.transactOnce(op.Token, op.Writes)
		if f.lose() {
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
	return f.old
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

// transactOnce remembers accepted writes by their token, as table services do.
func (f *fakeTable) transactOnce(token string, writes []provider.Write) error {
	content := fmt.Sprint(writes)
	if before, known := f.tokens[token]; known {
		if before != content {
			panic("token " + token + " comes again with other writes")
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
	_ = codec.Decode(f.rows[rowKey{configPartition, headSort}].Value, &h)
	return h.Revision
}

// acceptedTimes returns how often the table has accepted an operation.
func (f *fakeTable) acceptedTimes(operation string) int {
	n := 0
	for _, d := range f.accepted {
		if d.Operation == operation {
			n++
		}
	}
	return n
}

// scheduled is something that happens at a time.
type scheduled struct {
	at  time.Time
	seq int
	do  func()
}

type schedule []scheduled

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	return s[i].at.Before(s[j].at) || (s[i].at.Equal(s[j].at) && s[i].seq < s[j].seq)
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(scheduled)) }
func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// world runs systems against one table in virtual time.
type world struct {
	t        testing.TB
	now      time.Time
	rand     *rand.Rand
	queue    schedule
	seq      int
	table    *fakeTable
	latency  func() time.Duration
	daemons  []*Configuration
	wakeAt   []time.Time
	poll     time.Duration // configured poll interval
	outcomes map[string]ApplyOutcome
	history  []HistoryOutcome
	news     func(from int, head uint64)
	check    func(daemon int)
}

func newWorld(t testing.TB, daemons int) *world {
	w := &world{
		t: t, now: time.Unix(1_700_000_000, 0), rand: rand.New(rand.NewPCG(1, 2)),
		table: newFakeTable(), latency: func() time.Duration { return 5 * time.Millisecond },
		outcomes: map[string]ApplyOutcome{},
		news:     func(int, uint64) {},
		check:    func(int) {},
	}
	w.daemons = make([]*Configuration, daemons)
	w.wakeAt = make([]time.Time, daemons)
	for i := range w.daemons {
		w.boot(i)
	}
	return w
}

// boot replaces a daemon by one that knows nothing.
func (w *world) boot(i int) {
	c := New(Config{
		Self: entity.InstanceID(fmt.Sprintf("d%d", i)),
		Rand: rand.New(rand.NewPCG(uint64(i), w.rand.Uint64())),

		PollInterval: w.poll,
	})
	c.SetDaemons(len(w.daemons))
	w.daemons[i], w.wakeAt[i] = c, time.Time{}
	w.at(w.now, func() { w.wake(i, c) })
}

func (w *world) at(t time.Time, do func()) {
	w.seq++
	heap.Push(&w.queue, scheduled{t, w.seq, do})
}

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		next := heap.Pop(&w.queue).(scheduled)
		w.now = next.at
		next.do()
	}
	w.now = end
}

func (w *world) wake(i int, c *Configuration) {
	if w.daemons[i] != c {
		return // the daemon has been replaced
	}
	c.Tick(w.now)
	w.settle(i)
}

// settle carries out what a daemon asks for and plans its next tick.
func (w *world) settle(i int) {
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
		w.news(i, r.Head)
	}
	w.check(i)
	if at := c.Deadline(); !at.IsZero() && !at.Equal(w.wakeAt[i]) {
		w.wakeAt[i] = at
		w.at(at, func() { w.wake(i, c) })
	}
}

func (w *world) perform(i int, c *Configuration, op provider.Operation) {
	out, back := w.latency()/2, w.latency()/2
	w.at(w.now.Add(out), func() {
		r := w.table.perform(op)
		w.at(w.now.Add(back), func() {
			if w.daemons[i] == c {
				c.TableResult(w.now, r)
				w.settle(i)
			}
		})
	})
}

// do calls a method of a daemon and carries out what it asks for.
func (w *world) do(i int, f func(c *Configuration)) {
	f(w.daemons[i])
	w.settle(i)
}

func (w *world) apply(i int, ch Change) {
	w.do(i, func(c *Configuration) { c.Apply(w.now, ch) })
}

// mustApply applies a change and waits for it.
func (w *world) mustApply(i int, ch Change) uint64 {
	w.t.Helper()
	w.apply(i, ch)
	w.run(ApplyTimeout)
	o := w.outcomes[ch.Operation]
	if o.Status != Applied {
		w.t.Fatalf("%s: %+v", ch.Operation, o)
	}
	return o.Revision
}

// text returns a sound document whose content a number tells apart.
func text(service entity.ServiceName, weight int) string {
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
