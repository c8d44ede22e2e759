package exchange

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/rollout"
)

// exposure is what the users' contract permits a bad version.
var exposure = RolloutBounds{Share: 0.1, Slack: 50, RollbackAfter: 5 * time.Second}

// rolloutRun is a run of a fleet with a table service, and a platform that carries out orders of
// roll-outs. It knows nothing of the cores' decisions but the status rows.
type rolloutRun struct {
	*testFleet
	store   rowStore
	writers map[*Core]map[entity.ServiceName]uint64 // versions of the rows, as the daemons know them
	failed  map[*Core]bool                          // daemons whose last call failed
	plays   map[entity.ServiceName]*rolloutPlay
	rate    float64                 // requests per second of each service
	refused func(*fleetDaemon) bool // the table service refuses these daemons
	callMax time.Duration           // longest time that a call takes to the service, and back
	loses   func() bool             // the answer to a write is lost
	silent  bool                    // the platform starts no new servers
}

// rowStore is a table service with the rows of the roll-outs and the lease.
type rowStore struct {
	version uint64 // of the newest write; never given twice
	states  map[entity.ServiceName]storedState
	orders  map[entity.ServiceName]rollout.Order
	epoch   uint64
	holder  *Core
}

type storedState struct {
	version uint64
	row     []byte
}

// rolloutPlay is what happened in a roll-out of one service.
type rolloutPlay struct {
	order     rollout.Order
	at        time.Time // of the order
	bad       func(badAsk) (fails, slow bool)
	reached   int // requests that arrived at the service between the order and its deadline
	exposed   int // of these, at the new version from daemons in touch
	badCount  int
	fiftieth  time.Time // of the bad answers; zero: there were fewer
	lastNew   time.Time // newest arrival at the new version from a daemon in touch, before a completion
	unordered int       // arrivals at the new version while no order stood
	status    string
	statusAt  time.Time
	canaries  int // exposed when the status changed to promoting
	before    int // reached by then
	withdrawn bool
	lost      int // requests that ran on old servers when these were stopped
}

// ended reports whether a last status was written.
func (p *rolloutPlay) ended() bool {
	return p.status == rollout.Completed.String() || p.status == rollout.RolledBack.String()
}

// badAsk is what decides whether an answer of a new server is bad.
type badAsk struct {
	since   time.Duration // since the order
	path    string
	running int
	draw    float64
}

// newRolloutRun returns a fleet whose callers send requests on four routes.
func newRolloutRun(t testing.TB, seed uint64, daemons int) *rolloutRun {
	r := &rolloutRun{
		testFleet: newTestFleetWithRetries(t, seed, daemons, 9, retryContract{ratio: 0.2 / usedRetryRatio, reserve: 200, accrued: true}),
		store:     rowStore{states: map[entity.ServiceName]storedState{}, orders: map[entity.ServiceName]rollout.Order{}},
		writers:   map[*Core]map[entity.ServiceName]uint64{}, plays: map[entity.ServiceName]*rolloutPlay{}, rate: 600,
		failed: map[*Core]bool{}, refused: func(*fleetDaemon) bool { return false }, callMax: 40 * time.Millisecond, loses: func() bool { return false },
	}
	r.rollouts = exposure
	for _, s := range r.servers {
		s.Version = "v1"
	}
	r.runDuration = func(q Request) (time.Duration, time.Duration) {
		start := time.Duration(25 * math.Exp(0.4*r.rng.NormFloat64()) * float64(time.Millisecond))
		if q.Path == "/talk/x" {
			return start, start + time.Second + r.random(time.Second)
		}
		return start, start + 5*time.Millisecond
	}
	r.onTick, r.onRun, r.onArrival = r.poll, r.answer, r.arrived
	r.restart(r.daemons)
	r.run(4 * time.Second)
	for _, path := range []string{"/x", "/get/x", "/open/x", "/talk/x"} {
		r.callers(path)
	}
	r.run(2 * time.Second)
	return r
}

// callers lets callers send requests to a path at random times.
func (r *rolloutRun) callers(path string) {
	rate := r.rate / 3
	if path == "/talk/x" {
		rate = r.rate / 4
	}
	r.after(time.Duration(r.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		d := r.daemons[r.rng.IntN(len(r.daemons))]
		q := testRequest("", path, "k3")
		q.Patience = 8 * time.Second
		r.whenRunning(d, func() { r.send(d, q) })
		r.callers(path)
	})
}

// poll lets a daemon read the operator's entries and do the leader tasks.
func (r *rolloutRun) poll(d *fleetDaemon, core *Core) {
	if r.tableAway || r.refused(d) {
		r.failed[core] = true
		return
	}
	if r.failed[core] {
		core.TableRecovered(r.now, r.now.Add(-time.Second))
		delete(r.failed, core)
	}
	if r.writers[core] == nil {
		r.writers[core] = map[entity.ServiceName]uint64{}
		r.restore(core)
	}
	for _, s := range rolloutServices {
		if o, stands := r.store.orders[s]; stands {
			core.SetRolloutOrder(r.now, o)
		} else {
			core.WithdrawRollout(r.now, s)
		}
	}
	core.RolloutOrdersConfirmed(r.now)
	r.lead(core)
}

// rolloutServices are the services of which orders may be given.
var rolloutServices = []entity.ServiceName{"plain", "engine"}

// restore lets a daemon read the rows of the roll-outs.
func (r *rolloutRun) restore(core *Core) {
	for _, s := range rolloutServices {
		stored, exists := r.store.states[s]
		if !exists {
			continue
		}
		state, err := rollout.DecodeState(stored.row)
		if err != nil {
			r.t.Fatal(err)
		}
		r.writers[core][s] = stored.version
		core.RestoreRollout(r.now, state)
	}
}

// lead lets a daemon take the lease, confirm it and write the states.
func (r *rolloutRun) lead(core *Core) {
	if core.Contend(r.now) {
		r.store.epoch++
		r.store.holder = core
		core.LeaseAcquired(r.now, r.now, r.store.epoch)
		r.restore(core)
	}
	if _, held := core.LeaseEpoch(); !held || core.LeaseSettling(r.now) {
		return
	}
	if !core.MayActAsLeader(r.now) {
		if r.store.holder != core {
			core.LeaseLost(r.now)
			return
		}
		core.LeaseConfirmed(r.now)
	}
	for _, s := range core.RolloutsToCommit(r.now) {
		known := r.writers[core][s.Service]
		r.after(r.random(r.callMax), func() { r.write(core, s, known) })
	}
}

// write writes a state if its row has the version that the daemon knew when it decided.
func (r *rolloutRun) write(core *Core, s rollout.State, known uint64) {
	if r.tableAway {
		return
	}
	if r.store.states[s.Service].version != known {
		r.after(r.random(r.callMax), func() { r.restore(core) })
		return
	}
	row, err := s.Encode()
	if err != nil {
		r.t.Fatal(err)
	}
	r.store.version++
	version := r.store.version
	r.store.states[s.Service] = storedState{version, row}
	r.statusWritten(s)
	if r.loses() {
		return
	}
	r.after(r.random(r.callMax), func() {
		r.writers[core][s.Service] = version
		core.RolloutCommitted(r.now, s)
	})
}

// order places an order, and has the platform start the new servers a moment later.
func (r *rolloutRun) order(service entity.ServiceName, to string, duration time.Duration, bad func(badAsk) (fails, slow bool)) *rolloutPlay {
	r.store.version++
	p := &rolloutPlay{at: r.now, bad: bad, order: rollout.Order{Service: service, To: to, Duration: duration, Version: r.store.version}}
	r.plays[service] = p
	r.store.orders[service] = p.order
	if !r.silent {
		r.after(time.Second+r.random(time.Second), func() { r.startServers(p) })
	}
	r.after(duration, func() {
		if !p.ended() {
			r.drain(p)
		}
	})
	return p
}

// startServers starts as many servers of the new version as there are old ones.
func (r *rolloutRun) startServers(p *rolloutPlay) {
	for _, s := range append([]*fleetServer(nil), r.servers...) {
		if s.Service == p.order.Service && s.up && s.Version != p.order.To {
			entry := s.BackendServer
			entry.ID += entity.BackendServerID(fmt.Sprint("-", p.order.Version))
			entry.Version, entry.Address, entry.Born = p.order.To, fmt.Sprint("10.0.1.1:", len(r.servers)), r.now.UnixMilli()
			r.servers = append(r.servers, &fleetServer{BackendServer: entry, up: true, runs: map[*fleetRun]bool{}})
			r.eachCore(0, func(c *Core) { c.PutServer(r.now, entry) })
		}
	}
}

// statusWritten lets the platform act on a status.
func (r *rolloutRun) statusWritten(s rollout.State) {
	p := r.plays[s.Service]
	if p == nil || p.order.Version != s.Order || s.Stage.String() == p.status {
		return
	}
	p.status, p.statusAt = s.Stage.String(), r.now
	switch s.Stage {
	case rollout.Promoting:
		p.canaries, p.before = p.exposed, p.reached
	case rollout.Completed:
		for _, old := range r.servers {
			if old.Service == s.Service && old.Version != s.To && old.up {
				p.lost += len(old.runs)
				r.crash(old)
			}
		}
	case rollout.RolledBack:
		r.after(3*time.Second, func() { r.drain(p) })
	}
}

// drain ends the new servers when their runs have ended.
func (r *rolloutRun) drain(p *rolloutPlay) {
	for _, s := range r.servers {
		if s.Service == p.order.Service && s.Version == p.order.To && s.up {
			entry := s.BackendServer
			entry.State, entry.Sequence = Draining, 1
			r.eachCore(0, func(c *Core) { c.PutServer(r.now, entry) })
			r.after(2*time.Second, func() { r.crash(s) })
		}
	}
}

// arrived counts a request at a server.
func (r *rolloutRun) arrived(a arrival) {
	p := r.plays[a.server.Service]
	if p == nil {
		return
	}
	within := a.at.Sub(p.at) <= p.order.Duration
	if within {
		p.reached++
	}
	if a.server.Version != p.order.To {
		return
	}
	if p.withdrawn {
		p.unordered++
	}
	if a.inTouch > contactTime && p.status != rollout.Completed.String() {
		p.lastNew = a.at
		if within {
			p.exposed++
		}
	}
}

// answer makes the answers of a bad version fail or slow.
func (r *rolloutRun) answer(run *fleetRun, s *fleetServer, start, end *time.Duration) Outcome {
	draw := r.rng.Float64()
	p := r.plays[s.Service]
	if run.ticket.Request.Path == "/open/x" && r.rng.Float64() < 0.14 {
		return Failed // by nature, of any version
	}
	if p == nil || p.bad == nil || s.Version != p.order.To {
		return Answered
	}
	fails, slow := p.bad(badAsk{since: r.now.Sub(p.at), path: run.ticket.Request.Path, running: len(s.runs), draw: draw})
	if fails || slow {
		if p.badCount++; p.badCount == 50 {
			p.fiftieth = r.now
		}
	}
	if slow {
		*start, *end = 3**start, 3**end
	}
	if fails {
		return Failed
	}
	return Answered
}
