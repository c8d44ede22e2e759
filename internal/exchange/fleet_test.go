package exchange

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/streamversion"
	"github.com/gooseberryslip/gooseberryslip/internal/virtualtime"
)

// testFleet runs the cores of several daemons in virtual time with model backend
// servers. It records what reaches the servers and knows nothing of the cores' decisions.
type testFleet struct {
	t         testing.TB
	rng       *rand.Rand
	idleRng   *rand.Rand // of the checks of idle connections
	now       time.Time
	queue     virtualtime.Queue
	daemons   []*fleetDaemon
	servers   []*fleetServer
	sent      int // number of callers' requests
	forwarded int // attempts that another daemon was to send

	runDuration func(Request) (start, end time.Duration) // from the arrival of a request to its first event and its end
	crashAfter  func(Request) time.Duration              // from a request's start to the end of the server that runs it; 0: it does not crash
	eventBefore func(Request) time.Duration              // from the first event, which the daemon gets, to that end; 0: it gets none
	leaveAfter  func(Request) time.Duration              // from a request's arrival at a daemon until its caller leaves; 0: it stays
	runsOn      bool                                     // servers go on with a run whose caller has left
	retries     retryContract
	checkpoints bool                             // daemons that start restore the quotas of a checkpoint
	checkpoint  Checkpoint                       // the newest one
	leaderGone  time.Time                        // until when no daemon holds the lease, as the holder was killed
	tableAway   bool                             // the table service answers no daemon
	versions    versionTable                     // what the table service stores of the versions of services
	rejects     func(*fleetServer) bool          // whether a server rejects the request that has just arrived
	onArrival   func(arrival)                    // called with each arrival at a server that is up
	onAnswer    func(*fleetDaemon, *fleetServer) // called when a server has begun to answer a daemon
	onRefusal   func(*fleetDaemon, Request, *Refusal)
	onBegin     func(*fleetRun, *fleetServer)            // called when a daemon gets the first event of a run
	onEnd       func(id entity.RequestID, answered bool) // called when a request has ended, or its daemon was killed
	onNotice    func(to *fleetDaemon, n *Notice)         // called when a daemon gets a notice, alone or with an update
	rollouts    RolloutBounds
	onTick      func(*fleetDaemon, *Core)                                             // called after a daemon's periodic tasks
	onRun       func(*fleetRun, *fleetServer, *time.Duration, *time.Duration) Outcome // may change when the first event and the end of a run come, and returns how it ends
}

const (
	// networkDelay is the time that a message takes between daemons, callers and servers.
	networkDelay = 1500 * time.Microsecond
	// updateLossRatio is the ratio of state updates that are lost.
	updateLossRatio = 0.02
	// listExpiry is the longest time from a server's death until its entry expires, three
	// heartbeat intervals. The shortest is two of them.
	listExpiry = 3600 * time.Millisecond
	// maxListDelay is the longest time until a daemon learns of a change of the list.
	maxListDelay = 300 * time.Millisecond
)

// fleetDaemon is one daemon, which may be restarted with a new core.
type fleetDaemon struct {
	dataCentre entity.DataCentreID
	name       string
	core       *Core
	starts     int64
	cut        bool                       // no message of another daemon reaches it, and none of its own another one
	thawAt     time.Time                  // when a suspended daemon goes on; zero or past: it runs
	inTouchAt  time.Time                  // when it started or was last reconnected with the others
	noticeAt   time.Time                  // earliest time of its next notice
	streamsAt  time.Time                  // when the records of streams that it has are sent
	idle       map[*fleetServer]time.Time // until when it keeps an idle connection to a server
	reached    map[*fleetServer]time.Time // since when its connections reach a server's process
	path       fleetPath                  // to the servers
	listLate   bool                       // it learns of no change of the list of servers
	tableCut   bool                       // the table service answers it nothing
}

// fleetPath is what happens to a daemon's connections to the servers.
type fleetPath int

const (
	fleetPathOpen    fleetPath = iota
	fleetPathHangs             // requests on open connections are lost, new ones time out
	fleetPathRefuses           // connections are refused
)

// fleetDialTimeout is the time in which a connection must be established.
const fleetDialTimeout = 700 * time.Millisecond

// fleetServer is one process of a backend server.
type fleetServer struct {
	BackendServer
	up         bool
	dark       bool          // it is down and its address does not answer
	limit      RateLimit     // stated in its answers
	brittle    Brittleness   // stated in its answers
	leaving    bool          // says in its answers that it leaves
	rest       time.Duration // if not 0, it rejects requests and wants none for so long
	runs       map[*fleetRun]bool
	replacedBy *fleetServer // a process that has got its address
}

// fleetRun is a request that runs on a server.
type fleetRun struct {
	daemon    *fleetDaemon // whose caller waits
	sender    *fleetDaemon // that sends it to the server
	forwarded *Forwarded   // as the sender knows it; nil: the daemon sends it itself
	core      *Core
	ticket    *Ticket
	ended     bool
}

// arrival is the arrival of a request at a server.
type arrival struct {
	at      time.Time     // when the daemon sent it
	inTouch time.Duration // how long the daemon had then been up and in touch with the others
	daemon  *fleetDaemon
	server  *fleetServer
	request Request
}

var dataCentres = []entity.DataCentreID{"a", "b", "c"}

// newTestFleet returns a fleet with some daemons and, for each service, some servers. Its
// daemons may retry often from the start.
func newTestFleet(t testing.TB, seed uint64, daemons, servers int) *testFleet {
	return newTestFleetWithRetries(t, seed, daemons, servers, retryContract{ratio: 0.2 / usedRetryRatio, reserve: 200, accrued: true})
}

// retryContract is what a contract permits a fleet in retries.
type retryContract struct {
	ratio   float64 // of the requests
	reserve float64 // beyond the ratio
	accrued bool    // daemons start with the reserve that one saves in a minute, and with full quotas
}

// newTestFleetWithRetries returns a fleet with the given contract.
func newTestFleetWithRetries(t testing.TB, seed uint64, daemons, servers int, retries retryContract) *testFleet {
	f := &testFleet{
		retries: retries,
		t:       t, rng: rand.New(rand.NewPCG(seed, seed)), idleRng: rand.New(rand.NewPCG(seed, 1)), now: zero,
		runDuration: func(Request) (time.Duration, time.Duration) { return 100 * time.Millisecond, 300 * time.Millisecond },
		crashAfter:  func(Request) time.Duration { return 0 },
		eventBefore: func(Request) time.Duration { return 0 },
		leaveAfter:  func(Request) time.Duration { return 0 },
		rejects:     func(*fleetServer) bool { return false },
		onArrival:   func(arrival) {},
		onAnswer:    func(*fleetDaemon, *fleetServer) {},
		onRefusal:   func(*fleetDaemon, Request, *Refusal) {},
		onNotice:    func(*fleetDaemon, *Notice) {},
		onBegin:     func(*fleetRun, *fleetServer) {},
		onEnd:       func(entity.RequestID, bool) {},
		onTick:      func(*fleetDaemon, *Core) {},
		onRun:       func(*fleetRun, *fleetServer, *time.Duration, *time.Duration) Outcome { return Answered },
	}
	for i := range servers {
		for _, service := range []entity.ServiceName{"engine", "plain"} {
			f.servers = append(f.servers, &fleetServer{up: true, runs: map[*fleetRun]bool{}, BackendServer: BackendServer{
				ID: entity.BackendServerID(fmt.Sprint(service, i)), Born: 1, Service: service, Address: fmt.Sprint("10.0.0.1:", len(f.servers)),
				DataCentre: dataCentres[i%len(dataCentres)], Slots: 64, State: Ready,
			}})
		}
	}
	for i := range daemons {
		d := &fleetDaemon{name: fmt.Sprint("d", i), dataCentre: dataCentres[i%len(dataCentres)]}
		f.daemons = append(f.daemons, d)
		f.start(d)
	}
	f.saveCheckpoint()
	return f
}

// start starts a daemon, or starts it again with nothing of what it knew.
func (f *testFleet) start(d *fleetDaemon) {
	d.starts++
	if d == f.daemons[0] && d.starts > 1 {
		f.leaderGone = f.now.Add(leaseTakeover)
	}
	d.inTouchAt, d.thawAt, d.streamsAt = f.now, time.Time{}, time.Time{}
	d.idle, d.reached = map[*fleetServer]time.Time{}, map[*fleetServer]time.Time{}
	d.core = New(Config{
		Self:        Member{Name: entity.InstanceID(d.name), Start: d.starts, CallerAddr: d.name + ":1", DataCentre: d.dataCentre},
		DataCentres: dataCentres, Rand: rand.New(rand.NewPCG(f.rng.Uint64(), 1)), Started: f.now, RecordVersions: f.versions.use,
		Bounds: Bounds{
			QuotaWindow: quotaWindow, QuotaExcessRatio: quotaExcessRatio, QuotaExcessUnits: quotaExcessUnits,
			StaleAfter: 4 * time.Second, RetryRatio: f.retries.ratio, RetryReserve: f.retries.reserve, UsageWindow: 5 * time.Second,
			ForgetServerAfter: 10 * time.Second, UpdateIntervalPerPeer: 10 * time.Millisecond, ForgetPeerAfter: 10 * time.Second,
			Rollout: f.rollouts,
		},
	})
	core := d.core
	f.readTable(d, core)
	f.after(f.random(f.updateInterval()), func() { f.broadcast(d, core) })
	f.after(0, func() { f.housekeep(d, core) })
}

// tableRetryInterval is the time between two calls to a table service that is away.
const tableRetryInterval = 200 * time.Millisecond

// readTable lets a daemon that starts read the configuration, the list of servers and, a
// little later, the list of daemons, as soon as the table service answers.
func (f *testFleet) readTable(d *fleetDaemon, core *Core) {
	if d.core != core {
		return // it was restarted
	}
	if f.tableAway {
		f.after(tableRetryInterval, func() { f.readTable(d, core) })
		return
	}
	if f.retries.accrued {
		core.SetListedDaemons(f.now, len(f.daemons))
		openRetryBudgetsEarlier(core, f.now)
		core.quota.Restore(map[entity.OrganisationID]float64{"small": 1000})
	}
	core.SetDocument(f.now, f.versions.document())
	core.SetTrueTime(0)
	if f.checkpoints {
		f.after(tableRetryInterval/10, func() { core.RestoreQuotas(f.now, &f.checkpoint) })
	}
	f.readVersions(d, core)
	core.Confirm(f.now)
	for _, s := range f.servers {
		if s.up && !f.versions.unlisted[s.Version] {
			core.PutServer(f.now, s.BackendServer)
		}
	}
	f.after(f.random(discoveryTime), func() { f.discover(d, core) })
}

// restart kills daemons and starts them again a moment latef.
func (f *testFleet) restart(daemons []*fleetDaemon) {
	for _, d := range daemons {
		f.start(d)
	}
}

// some returns about the given ratio of the daemons, at least one.
func (f *testFleet) some(ratio float64) []*fleetDaemon {
	n := max(int(ratio*float64(len(f.daemons))), 1)
	var out []*fleetDaemon
	for _, i := range f.rng.Perm(len(f.daemons))[:n] {
		out = append(out, f.daemons[i])
	}
	return out
}

// maxThawDelay is the longest time until a daemon that goes on has handled what waited.
const maxThawDelay = 20 * time.Millisecond

// suspend stops a daemon for some time. What reaches it meanwhile waits.
func (f *testFleet) suspend(d *fleetDaemon, duration time.Duration) {
	d.thawAt = f.now.Add(duration)
}

// whenRunning makes a call of a daemon's process at once or, if that is suspended, when it
// goes on.
func (f *testFleet) whenRunning(d *fleetDaemon, call func()) {
	if wait := d.thawAt.Sub(f.now); wait > 0 {
		f.after(wait+f.random(maxThawDelay), call) // what has waited comes in any order
		return
	}
	call()
}

// reconnect lets a daemon that was cut off from the others reach them again.
func (f *testFleet) reconnect(d *fleetDaemon) {
	d.cut = false
	d.inTouchAt = f.now
}

// inTouch returns how long a daemon has been up and not cut off from the others.
func (d *fleetDaemon) inTouch(now time.Time) time.Duration {
	if d.cut {
		return 0
	}
	return now.Sub(d.inTouchAt)
}

// discoveryTime is the longest time until a daemon that starts learns of the others and
// they of it.
const discoveryTime = time.Second

// discover lets a daemon and all others learn of each other.
func (f *testFleet) discover(d *fleetDaemon, core *Core) {
	for _, other := range f.daemons {
		if other != d && d.core == core {
			core.AddMember(f.now, other.core.cfg.Self)
			other.core.AddMember(f.now, core.cfg.Self)
		}
	}
	core.SetListedDaemons(f.now, len(f.daemons))
}

// random returns a random duration below the limit.
func (f *testFleet) random(limit time.Duration) time.Duration {
	return time.Duration(f.rng.Int64N(int64(limit)))
}

// after schedules a call.
func (f *testFleet) after(d time.Duration, call func()) {
	f.queue.Schedule(f.now.Add(d), call)
}

// every schedules a call again and again.
func (f *testFleet) every(interval time.Duration, call func()) {
	f.after(f.random(2*interval), func() {
		call()
		f.every(interval, call)
	})
}

// run lets the given time pass.
func (f *testFleet) run(d time.Duration) {
	f.queue.RunUntil(f.now.Add(d), &f.now)
}

// updateInterval returns the time between two state updates of a daemon.
func (f *testFleet) updateInterval() time.Duration {
	return max(90*time.Millisecond, time.Duration(len(f.daemons)-1)*10*time.Millisecond)
}

// broadcast sends a state update of a daemon to all others, two every 6 ms, and
// schedules the next one.
func (f *testFleet) broadcast(d *fleetDaemon, core *Core) {
	if d.core != core {
		return // it was restarted
	}
	update := core.NextUpdate(f.now)
	for i, m := range core.Peers() {
		to, ack := f.daemon(m.Name), core.Ack(m.Name)
		if to == nil || to.cut || d.cut || f.rng.Float64() < updateLossRatio {
			continue
		}
		f.after(time.Duration(i/2)*6*time.Millisecond+networkDelay, func() {
			f.whenRunning(to, func() {
				f.onNotice(to, &update.Notice)
				to.core.ReceiveUpdate(f.now, &update, ack)
				f.perform(to.core)
			})
		})
	}
	f.after(f.updateInterval(), func() { f.whenRunning(d, func() { f.broadcast(d, core) }) })
}

func (f *testFleet) daemon(name entity.InstanceID) *fleetDaemon {
	for _, d := range f.daemons {
		if d.name == string(name) {
			return d
		}
	}
	return nil
}

// leaseTakeover is the time after a holder's death until another daemon writes checkpoints.
const leaseTakeover = 3 * time.Second

// saveCheckpoint stores the checkpoint of the daemon that holds the lease and schedules the next
// one.
func (f *testFleet) saveCheckpoint() {
	if !f.tableAway && (f.checkpoints || f.versions.use) && !f.now.Before(f.leaderGone) {
		f.checkpoint = f.daemons[0].core.Checkpoint(f.now)
		if !f.versions.checkpointLost {
			f.versions.checkpoint.Versions = f.checkpoint.Versions
		}
	}
	f.after(time.Duration(len(f.daemons))*20*time.Millisecond, f.saveCheckpoint)
}

// housekeep runs a daemon's periodic tasks and schedules them again.
func (f *testFleet) housekeep(d *fleetDaemon, core *Core) {
	if d.core != core {
		return
	}
	if !f.tableAway && !d.tableCut {
		core.Confirm(f.now)
		f.saveStreams(d, core)
	}
	core.Tick(f.now)
	f.onTick(d, core)
	f.perform(core)
	f.after(250*time.Millisecond, func() { f.whenRunning(d, func() { f.housekeep(d, core) }) })
}

// send lets a caller send a request to a daemon.
func (f *testFleet) send(d *fleetDaemon, r Request) {
	r.ID = f.nextID()
	f.sent++
	ticket, refusal := d.core.Admit(f.now, f.now, r)
	if refusal != nil {
		f.onRefusal(d, r, refusal)
		f.onEnd(r.ID, false)
		return
	}
	f.findStreamVersion(d, d.core, ticket)
}

// streamQueryTimeout is the time in which other daemons are asked which version began a stream.
const streamQueryTimeout = 150 * time.Millisecond

// findStreamVersion makes the first attempt of a request when the version of the stream that it
// resumes is known, or cannot be found out.
func (f *testFleet) findStreamVersion(d *fleetDaemon, core *Core, t *Ticket) {
	ask := core.FindStreamVersion(f.now, t)
	missing, begun := len(ask), false
	proceed := func() {
		if !begun && d.core == core {
			begun = true
			core.FindStreamVersion(f.now, t)
			f.attempt(d, core, t)
		}
	}
	if missing == 0 {
		proceed()
		return
	}
	f.after(streamQueryTimeout, func() { f.whenRunning(d, proceed) })
	for _, m := range ask {
		f.message(d, m.Name, func(to *fleetDaemon) {
			rec, known := to.core.StreamRecord(f.now, t.Request.Resumes)
			f.message(to, entity.InstanceID(d.name), func(*fleetDaemon) {
				if known && d.core == core {
					core.ReceiveStreams(f.now, []streamversion.Record{rec})
				}
				if missing--; known || missing == 0 {
					proceed()
				}
			})
		})
	}
}

// message sends a message between two daemons, which is not lost unless one is cut off.
func (f *testFleet) message(from *fleetDaemon, name entity.InstanceID, receive func(to *fleetDaemon)) {
	to := f.daemon(name)
	if to == nil || to.cut || from.cut {
		return
	}
	f.after(networkDelay, func() { f.whenRunning(to, func() { receive(to) }) })
}

// streamNewsDelay is the time for which records of streams are collected.
const streamNewsDelay = 40 * time.Millisecond

// sendStreamNews sends the records of streams that a daemon has for others.
func (f *testFleet) sendStreamNews(d *fleetDaemon) {
	if !d.core.StreamNewsPending() || f.now.Before(d.streamsAt) {
		return
	}
	core := d.core
	d.streamsAt = f.now.Add(streamNewsDelay)
	f.after(streamNewsDelay, func() {
		if d.core != core {
			return
		}
		for _, news := range core.TakeStreamNews() {
			f.message(d, news.To.Name, func(to *fleetDaemon) { to.core.ReceiveStreams(f.now, news.Records) })
		}
	})
}

// nextID returns the ID of the next request that is sent.
func (f *testFleet) nextID() entity.RequestID { return entity.RequestID(fmt.Sprint("r", f.sent+1)) }

// attempt makes the next attempt of a request.
func (f *testFleet) attempt(d *fleetDaemon, core *Core, t *Ticket) {
	a, refusal := core.Place(f.now, t)
	if refusal != nil {
		core.Finish(f.now, t)
		f.onRefusal(d, t.Request, refusal)
		f.onEnd(t.Request.ID, false)
		return
	}
	run := &fleetRun{daemon: d, core: core, ticket: t, sender: d}
	sentAt := f.now
	if a.Forwarder != nil {
		f.forward(run, &a, sentAt)
	} else {
		f.transmit(run, &a, sentAt, func(Outcome) {})
	}
	if !a.SilenceDeadline.IsZero() {
		f.after(a.SilenceDeadline.Sub(f.now), func() {
			f.giveUpSilent(run)
		})
	}
	if leave := f.leaveAfter(t.Request); leave > 0 {
		f.after(t.Arrived.Add(leave).Sub(f.now), func() { f.end(run, Abandoned) })
	}
	if !t.Deadline.IsZero() {
		f.after(t.Deadline.Sub(f.now), func() { f.end(run, Silent) })
	}
}
