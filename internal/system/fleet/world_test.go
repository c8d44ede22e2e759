package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/virtualtime"
)

const (
	timeStep      = 500 * time.Millisecond
	listInterval  = 10 * time.Second
	listLag       = 8 * time.Second
	bootDuration  = 60 * time.Second
	drainDuration = 20 * time.Second
	serviceA      = entity.ServiceName("a")
	someClass     = "big"
	otherClass    = "small"
)

// fakeInstance is an instance of the fake cloud, with the times of its life
// cycle.
type fakeInstance struct {
	provider.Instance
	token            string
	startedAt        time.Time
	endedAt          time.Time // zero: it has not ended
	servingAt        time.Time
	drainRequestedAt time.Time // when a planner first asked for its drain; zero: never
	noticedAt        time.Time // when its reclaim was announced
}

// world simulates a table, a cloud and some planners in virtual time. It
// records violations of the rules that hold under any policy, such as stopping
// a server that was not drained.
type world struct {
	now      time.Time
	rng      *rand.Rand
	queue    virtualtime.Queue
	versions map[string]uint64
	rows     map[string][]byte
	applied  map[string]bool // tokens of the transactions that took effect

	tableDown       bool
	tokensForgotten bool    // the table does not recognise the tokens of earlier transactions
	tableReplyLoss  float64 // fraction of transactions whose reply is lost
	cloudReplyLoss  float64 // fraction of cloud operations whose reply is lost
	refuse          map[entity.DataCentreID]bool
	maxCloudDelay   time.Duration // longest extra delay of a cloud operation

	instances      []*fakeInstance
	byToken        map[string]*fakeInstance
	prices         []provider.Price
	load           Load
	recordedTokens map[string]bool // launch tokens that any row has ever recorded
	stops          []time.Time
	calls          map[provider.OperationKind]int
	nodes          []*node
	violations     []string // descriptions of what must not happen but did
	starts         int
	events         map[event.Number]int
}

// node is one daemon's planner.
type node struct {
	w      *world
	sys    *System
	paused bool
	inbox  []func() // inputs that arrived while it was paused
}

func newWorld(seed uint64, nodes int, svc entity.Service) *world {
	w := &world{
		now:            time.Unix(1_700_000_000, 0),
		rng:            rand.New(rand.NewPCG(seed, 7)),
		versions:       make(map[string]uint64),
		rows:           make(map[string][]byte),
		applied:        make(map[string]bool),
		refuse:         make(map[entity.DataCentreID]bool),
		byToken:        make(map[string]*fakeInstance),
		events:         make(map[event.Number]int),
		recordedTokens: make(map[string]bool),
		calls:          make(map[provider.OperationKind]int),
		prices:         testPrices(0.3),
	}
	for i := range nodes {
		w.nodes = append(w.nodes, newNode(w, seed, i, svc))
	}
	return w
}

func newNode(w *world, seed uint64, i int, svc entity.Service) *node {
	n := &node{w: w, sys: New(Config{
		Self: entity.InstanceID(fmt.Sprintf("daemon-%d", i)),
		Rand: rand.New(rand.NewPCG(seed, uint64(i)+100)),
	})}
	n.sys.SetServices(w.now, []entity.Service{svc})
	return n
}

func testService(minimum, maximum int) entity.Service {
	return entity.Service{Name: serviceA, Mode: entity.ModeManage, Fleet: entity.FleetPolicy{
		MinServers: minimum, MaxServers: maximum, SlotsPerHost: 10, ChecksFences: true,
		Classes: []string{someClass}, DataCentres: []entity.DataCentreID{"x", "y", "z"},
	}}
}

func testPrices(ratio float64) []provider.Price {
	var out []provider.Price
	for i, dc := range []entity.DataCentreID{"x", "y", "z"} {
		out = append(out,
			provider.Price{DataCentre: dc, Class: someClass, Market: provider.Reclaimable, PerHour: ratio + float64(i)*0.001},
			provider.Price{DataCentre: dc, Class: someClass, Market: provider.OnDemand, PerHour: 1})
	}
	return out
}

func (w *world) schedule(d time.Duration, do func()) {
	w.queue.Schedule(w.now.Add(d), do)
}

func (w *world) delay(longest time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(longest) + 1))
}

// run advances virtual time.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(timeStep)
		due := w.now // calls run at the end of the step in which they are due
		w.queue.RunUntil(w.now, &due)
		w.boot()
		if w.now.UnixMilli()%listInterval.Milliseconds() == 0 {
			w.updateNodes()
		}
		for _, n := range w.nodes {
			n.tick()
		}
	}
}

func (w *world) boot() {
	for _, i := range w.instances {
		if i.State == provider.Pending && w.now.Sub(i.startedAt) >= bootDuration {
			i.State, i.servingAt = provider.Running, w.now
		}
	}
}

// updateNodes gives each planner the lagging list of instances, the prices and
// the load.
func (w *world) updateNodes() {
	list := w.list()
	w.schedule(listLag, func() {
		for _, n := range w.nodes {
			n.deliver(func() {
				n.sys.SetPrices(w.now, w.prices)
				n.sys.SetInstances(w.now, list)
				n.sys.SetLoad(w.now, serviceA, w.load)
			})
		}
	})
}

func (w *world) list() []provider.Instance {
	var out []provider.Instance
	for _, i := range w.instances {
		if i.endedAt.IsZero() || w.now.Sub(i.endedAt) < 10*time.Minute {
			out = append(out, i.Instance)
		}
	}
	return out
}

// deliver passes an input to a planner, or keeps it until the planner resumes
// if it is paused.
func (n *node) deliver(f func()) {
	if n.paused {
		n.inbox = append(n.inbox, f)
		return
	}
	f()
}

func (n *node) resume() {
	n.paused = false
	for _, f := range n.inbox {
		f()
	}
	n.inbox = nil
}

func (n *node) tick() {
	if n.paused {
		return
	}
	n.sys.Tick(n.w.now)
	r := n.sys.Ready()
	for _, op := range r.Table {
		n.performTable(op)
	}
	for _, o := range r.Cloud {
		n.performCloud(o)
	}
	for _, id := range r.Drain {
		n.drain(id)
	}
	for _, e := range r.Events {
		n.w.events[e.Number]++
	}
}

func (n *node) drain(id entity.BackendServerID) {
	w := n.w
	i := w.find(entity.InstanceID(id))
	if i == nil {
		w.addViolation("drain of unknown instance %s", id)
		return
	}
	if i.Tags[ServiceTag] != string(serviceA) {
		w.addViolation("drain of %s, which is not an instance of the service", id)
	}
	if i.drainRequestedAt.IsZero() {
		i.drainRequestedAt = w.now
	}
	w.schedule(drainDuration, func() { n.deliver(func() { n.sys.SetDrained(w.now, id) }) })
}

func (w *world) addViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%s: ", w.now.UTC().Format(time.TimeOnly))+fmt.Sprintf(format, args...))
}

func (w *world) find(id entity.InstanceID) *fakeInstance {
	i := slices.IndexFunc(w.instances, func(i *fakeInstance) bool { return i.ID == id })
	if i < 0 {
		return nil
	}
	return w.instances[i]
}

// performTable performs a table operation, with random delays and lost replies.
func (n *node) performTable(op provider.Operation) {
	w := n.w
	w.calls[op.Kind]++
	w.schedule(w.delay(300*time.Millisecond), func() {
		result := w.perform(op)
		if op.Kind == provider.TransactRows && !w.tableDown && w.rng.Float64() < w.tableReplyLoss {
			result.Err = provider.ErrUnknownOutcome
		}
		w.schedule(w.delay(300*time.Millisecond), func() {
			n.deliver(func() { n.sys.TableResult(w.now, result) })
		})
	})
}

func (w *world) perform(op provider.Operation) provider.Result {
	r := provider.Result{ID: op.ID}
	if w.tableDown {
		r.Err = provider.ErrUnavailable
		if op.Kind == provider.TransactRows && w.rng.IntN(2) == 0 {
			r.Err = provider.ErrUnknownOutcome
		}
		return r
	}
	switch op.Kind {
	case provider.GetRow:
		key := op.Partition + "|" + op.Sort
		if w.versions[key] == 0 {
			r.Err = provider.ErrNotFound
			return r
		}
		r.Row = provider.Row{Sort: op.Sort, Version: w.versions[key], Value: w.rows[key]}
	case provider.QueryRows:
		r.Rows = w.query(op)
	case provider.TransactRows:
		r.Err = w.transact(op)
	}
	return r
}

func (w *world) query(op provider.Operation) []provider.Row {
	var sorts []string
	for key := range w.versions {
		partition, sort, _ := strings.Cut(key, "|")
		if partition == op.Partition && sort > op.After {
			sorts = append(sorts, sort)
		}
	}
	slices.Sort(sorts)
	var rows []provider.Row
	for _, sort := range sorts[:min(len(sorts), op.Limit)] {
		key := op.Partition + "|" + sort
		rows = append(rows, provider.Row{Sort: sort, Version: w.versions[key], Value: w.rows[key]})
	}
	return rows
}

func (w *world) transact(op provider.Operation) error {
	if w.applied[op.Token] && !w.tokensForgotten {
		return nil
	}
	for _, wr := range op.Writes {
		if !wr.Unconditional && w.versions[wr.Partition+"|"+wr.Sort] != wr.IfVersion {
			return provider.ErrConditionFailed
		}
	}
	for _, wr := range op.Writes {
		key := wr.Partition + "|" + wr.Sort
		if wr.Delete {
			delete(w.versions, key)
			delete(w.rows, key)
			continue
		}
		w.versions[key]++
		w.rows[key] = wr.Value
		w.noteRecorded(wr)
	}
	w.applied[op.Token] = true
	return nil
}

func (w *world) noteRecorded(wr provider.Write) {
	if token, ok := strings.CutPrefix(wr.Sort, intentSortPrefix); ok {
		w.recordedTokens[token] = true
		return
	}
	var row leaseRow
	if codec.Decode(wr.Value, &row) != nil {
		return
	}
	for k := range row.ReserveCount {
		w.recordedTokens[reserveToken(serviceA, row.Term, row.ReserveFrom+k)] = true
	}
}

// performCloud performs a cloud operation. It may be delayed for long, as that
// of a planner which is paused between the record of the intent and the
// operation.
func (n *node) performCloud(o CloudOperation) {
	w := n.w
	w.schedule(w.delay(time.Second+w.maxCloudDelay), func() {
		result := CloudResult{Service: o.Service, Kind: o.Kind, Token: o.Token}
		switch o.Kind {
		case StartInstance:
			result.Instance, result.Err = w.start(o)
		case StopInstance:
			result.Err = w.stop(o)
		}
		if w.rng.Float64() < w.cloudReplyLoss {
			result.Err = provider.ErrUnknownOutcome
		}
		w.schedule(w.delay(time.Second), func() {
			n.deliver(func() { n.sys.CloudResult(w.now, result) })
		})
	})
}

func (w *world) start(o CloudOperation) (provider.Instance, error) {
	if !w.recordedTokens[o.Token] {
		w.addViolation("launch %s without a recorded intent", o.Token)
	}
	if i := w.byToken[o.Token]; i != nil {
		if i.DataCentre != o.Launch.DataCentre || i.Class != o.Launch.Class || i.Market != o.Launch.Market {
			w.addViolation("token %s used for two launches", o.Token)
		}
		return i.Instance, nil
	}
	if w.refuse[o.Launch.DataCentre] {
		return provider.Instance{}, provider.ErrRefused
	}
	w.starts++
	i := &fakeInstance{token: o.Token, startedAt: w.now, Instance: provider.Instance{
		ID: entity.InstanceID(fmt.Sprintf("i-%04d", len(w.instances))), DataCentre: o.Launch.DataCentre,
		Class: o.Launch.Class, Market: o.Launch.Market, State: provider.Pending, Tags: o.Launch.Tags,
	}}
	w.instances = append(w.instances, i)
	w.byToken[o.Token] = i
	return i.Instance, nil
}

func (w *world) stop(o CloudOperation) error {
	i := w.find(o.Instance)
	switch {
	case i == nil:
		return provider.ErrNotFound
	case i.Tags[ServiceTag] != string(serviceA):
		w.addViolation("stop of %s, which is not an instance of the service", i.ID)
	case !i.endedAt.IsZero():
		return nil
	case i.drainRequestedAt.IsZero() || w.now.Sub(i.drainRequestedAt) < drainDuration:
		w.addViolation("stop of %s, which was not drained", i.ID)
	}
	w.endInstance(i)
	w.stops = append(w.stops, w.now)
	return nil
}

func (w *world) endInstance(i *fakeInstance) {
	i.State = provider.Stopped
	i.endedAt = w.now
}

// reclaim announces the reclaim of all reclaimable instances of a data centre,
// and ends them after the notice period.
func (w *world) reclaim(dc entity.DataCentreID, notice time.Duration) {
	for _, i := range w.instances {
		if i.DataCentre != dc || i.Market != provider.Reclaimable || !i.endedAt.IsZero() {
			continue
		}
		i.State, i.noticedAt = provider.Leaving, w.now
		w.schedule(notice, func() {
			if i.endedAt.IsZero() {
				w.endInstance(i)
			}
		})
	}
}

// running counts the running instances of the service, in total and by data
// centre.
func (w *world) running() (total int, byDataCentre map[entity.DataCentreID]int) {
	byDataCentre = make(map[entity.DataCentreID]int)
	for _, i := range w.instances {
		if i.State == provider.Running && i.Tags[ServiceTag] == string(serviceA) {
			total++
			byDataCentre[i.DataCentre]++
		}
	}
	return total, byDataCentre
}

// liveInstances counts the service's instances that cost money.
func (w *world) liveInstances() int {
	n := 0
	for _, i := range w.instances {
		if i.endedAt.IsZero() && i.Tags[ServiceTag] == string(serviceA) {
			n++
		}
	}
	return n
}

func idsOf(w *world) []entity.InstanceID {
	var out []entity.InstanceID
	for _, n := range w.nodes {
		out = append(out, n.sys.cfg.Self)
	}
	return out
}

func (w *world) holderCount() int {
	n := 0
	for _, node := range w.nodes {
		if node.sys.planners.Get(serviceA).role == roleHolder {
			n++
		}
	}
	return n
}

func (w *world) holder() *node {
	for _, n := range w.nodes {
		if p := n.sys.planners.Get(serviceA); p.role == roleHolder && !n.paused {
			return n
		}
	}
	return nil
}
