package exchange

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// transmit sends an attempt over its sender's path to the servers. NotSent is called if that fails.
func (f *testFleet) transmit(run *fleetRun, a *Attempt, sentAt time.Time, notSent func(Outcome)) {
	server := f.server(a.Server, a.Address)
	fail := func(after time.Duration, o Outcome) {
		f.after(after, func() {
			notSent(o)
			f.end(run, o)
		})
	}
	switch run.sender.path {
	case fleetPathOpen:
		if run.forwarded == nil && server != nil && server.up && !run.core.MaySend(f.now, run.ticket, run.sender.connect(server, f.now)) {
			f.after(0, func() { f.end(run, Withheld) })
			return
		}
		f.after(networkDelay, func() { f.arrive(run, server, a.Server, sentAt) })
	case fleetPathRefuses:
		fail(networkDelay, NotListening)
	case fleetPathHangs:
		if !f.now.Before(run.sender.idle[server]) {
			fail(fleetDialTimeout, NotSent)
		}
	}
}

// silenceRecheckInterval is the time after which an attempt that could not go elsewhere is looked at
// again.
const silenceRecheckInterval = 100 * time.Millisecond

// giveUpSilent ends an attempt that has got no event in time, if the request can go elsewhere.
func (f *testFleet) giveUpSilent(run *fleetRun) {
	switch {
	case run.ended || run.ticket.answerStarted || run.daemon.core != run.core:
	case run.core.GivesUpSilent(f.now, run.ticket):
		f.end(run, Silent)
	default:
		f.after(silenceRecheckInterval, func() { f.giveUpSilent(run) })
	}
}

// forward sends an attempt through another daemon.
func (f *testFleet) forward(run *fleetRun, a *Attempt, sentAt time.Time) {
	described := run.core.ForwardedBy(f.now, run.ticket)
	f.forwarded++
	run.sender = f.daemon(a.Forwarder.Name)
	if run.sender.cut || run.daemon.cut {
		f.after(networkDelay, func() { f.end(run, Withheld) })
		return
	}
	f.after(networkDelay, func() {
		f.whenRunning(run.sender, func() {
			to := run.sender.core
			if !to.MayForward(f.now, &described) {
				f.after(networkDelay, func() { f.end(run, Withheld) })
				return
			}
			run.forwarded = &described
			f.transmit(run, a, sentAt, func(Outcome) { to.ForwardedNotSent(f.now, &described) })
		})
	})
}

// server returns the newest process that has an address.
func (f *testFleet) server(id entity.BackendServerID, address string) *fleetServer {
	for i := len(f.servers) - 1; i >= 0; i-- {
		if s := f.servers[i]; s.Address == address && (s.up || s.ID == id) {
			return s
		}
	}
	return nil
}

// arrive lets a request reach the process at an address.
func (f *testFleet) arrive(run *fleetRun, s *fleetServer, wanted entity.BackendServerID, sentAt time.Time) {
	switch {
	case s == nil || !s.up && !s.dark:
		f.after(networkDelay, func() { f.end(run, NotListening) })
		return
	case !s.up:
		f.after(700*time.Millisecond, func() { f.end(run, NotSent) }) // the dial times out
		return
	case s.ID != wanted:
		f.after(networkDelay, func() { f.end(run, Misdirected) })
		return
	}
	f.onArrival(arrival{at: sentAt, inTouch: run.daemon.inTouch(sentAt), daemon: run.sender, server: s, request: run.ticket.Request})
	if s.rest > 0 || f.rejects(s) {
		f.after(networkDelay, func() { f.reject(run, s) })
		return
	}
	s.runs[run] = true
	if crash := f.crashAfter(run.ticket.Request); crash > 0 {
		f.crashLater(run, s, crash)
		return
	}
	start, end := f.runDuration(run.ticket.Request)
	outcome := f.onRun(run, s, &start, &end)
	f.after(start, func() { f.begin(run, s) })
	f.after(end, func() {
		if s.runs[run] {
			delete(s.runs, run)
			run.sender.idle[s] = f.now.Add(idleTimeout)
			f.after(networkDelay, func() { f.endRun(run, outcome) })
		}
	})
}

// reject lets a daemon get a server's rejection.
func (f *testFleet) reject(run *fleetRun, s *fleetServer) {
	if (s.rest > 0 || s.brittle.Stated) && !run.ended && run.daemon.core == run.core {
		statement := ServerStatement{Rest: s.rest, Brittle: s.brittle}
		if run.forwarded != nil {
			run.sender.core.ForwardedAnswered(f.now, run.forwarded, run.ticket.sentAt, statement, false)
		}
		run.core.RecordStatement(f.now, run.ticket, statement, false)
	}
	f.end(run, Rejected)
}

// endRun ends an attempt whose answer is there. A failure is the answer to the caller if no other
// attempt may replace it.
func (f *testFleet) endRun(run *fleetRun, o Outcome) {
	if o == Failed && !run.ended && run.daemon.core == run.core && !run.core.MayReplace(f.now, run.ticket) {
		run.core.RecordFailedAnswer(run.ticket)
		o = Answered
	}
	f.end(run, o)
}

// crashLater lets a run crash its server after some time.
func (f *testFleet) crashLater(run *fleetRun, s *fleetServer, delay time.Duration) {
	if before := f.eventBefore(run.ticket.Request); before > 0 {
		f.after(delay-before, func() { f.begin(run, s) })
	}
	f.after(delay, func() {
		if s.runs[run] {
			f.crash(s)
		}
	})
}

// begin lets a daemon get the first event of a run.
func (f *testFleet) begin(run *fleetRun, s *fleetServer) {
	if !s.runs[run] || run.ended || run.daemon.core != run.core {
		return
	}
	statement := ServerStatement{Limit: s.limit, Brittle: s.brittle, Leaving: s.leaving}
	if run.forwarded != nil {
		run.sender.core.ForwardedAnswered(f.now, run.forwarded, run.ticket.sentAt, statement, true)
	}
	run.core.RecordStatement(f.now, run.ticket, statement, true)
	run.core.Started(f.now, run.ticket)
	f.onBegin(run, s)
	f.onAnswer(run.daemon, s)
	f.perform(run.core)
}

// end ends an attempt and makes the next one, if the core wants one.
func (f *testFleet) end(run *fleetRun, o Outcome) {
	if run.ended {
		return
	}
	if run.daemon.core != run.core { // the daemon was restarted: its connections are closed
		run.ended = true
		f.onEnd(run.ticket.Request.ID, false)
		return
	}
	if f.now.Before(run.daemon.thawAt) {
		f.whenRunning(run.daemon, func() { f.end(run, o) })
		return
	}
	run.ended = true
	for _, s := range f.servers {
		if o != Abandoned || !f.runsOn {
			delete(s.runs, run) // the connection is closed
		}
	}
	refusal := run.core.Ended(f.now, run.ticket, o)
	f.perform(run.core)
	switch {
	case o == Answered || o == Abandoned:
		run.core.Finish(f.now, run.ticket)
		f.onEnd(run.ticket.Request.ID, o == Answered)
	case refusal != nil:
		run.core.Finish(f.now, run.ticket)
		f.onRefusal(run.daemon, run.ticket.Request, refusal)
		f.onEnd(run.ticket.Request.ID, false)
	default:
		f.attempt(run.daemon, run.core, run.ticket)
	}
}

const (
	// idleTimeout is how long a daemon keeps an idle connection to a server.
	idleTimeout = 3 * time.Second
	// idleCheckInterval is the time between two checks of a daemon's idle connections.
	idleCheckInterval = 250 * time.Millisecond
)

// closeIdle closes the idle connections to a server whose process has ended.
func (f *testFleet) closeIdle(s *fleetServer) {
	for _, d := range f.daemons {
		if core := d.core; f.now.Before(d.idle[s]) {
			f.after(time.Duration(f.idleRng.Int64N(int64(idleCheckInterval))), func() {
				f.whenRunning(d, func() {
					core.ConnectionsLost(f.now, []string{s.Address})
					f.perform(core)
				})
			})
		}
	}
}

// crash ends a server's process. Its connections are reset, unless it goes dark, and its
// entry expires.
func (f *testFleet) crash(s *fleetServer) {
	s.up = false
	if !s.dark {
		f.closeIdle(s)
	}
	for _, run := range s.runsInOrder() {
		delete(s.runs, run)
		if !s.dark {
			f.after(networkDelay, func() { f.end(run, Broken) })
		}
	}
	expiry := listExpiry*2/3 + f.random(listExpiry/3)
	f.eachCore(expiry, func(c *Core) {
		if s.replacedBy == nil || s.replacedBy.ID != s.ID { // else the new process has written the entry
			c.RemoveServer(f.now, s.ID, 0)
		}
	})
}

// runsInOrder returns the runs on a server in the order of their requests' IDs.
func (s *fleetServer) runsInOrder() []*fleetRun {
	return slices.SortedFunc(maps.Keys(s.runs), func(a, b *fleetRun) int {
		return cmp.Compare(a.ticket.Request.ID, b.ticket.Request.ID)
	})
}

// eachCore schedules a call for the core of each daemon when that learns of a change of
// the list.
func (f *testFleet) eachCore(delay time.Duration, call func(*Core)) {
	for _, d := range f.daemons {
		f.after(delay+f.random(maxListDelay), func() {
			f.whenRunning(d, func() { f.tellList(d, call) })
		})
	}
}

// tellList lets a daemon learn of a change of the list, when it can read it.
func (f *testFleet) tellList(d *fleetDaemon, call func(*Core)) {
	if d.listLate || d.tableCut {
		f.after(maxListDelay, func() { f.tellList(d, call) })
		return
	}
	call(d.core)
	f.perform(d.core)
}

// noticeInterval is the least time between two notices of a daemon. Fleets whose updates
// are as frequent send none.
const noticeInterval = 500 * time.Millisecond

// sendNotice sends a daemon's pending notice to all others, eight every 6 ms.
func (f *testFleet) sendNotice(d *fleetDaemon) {
	if f.updateInterval() <= noticeInterval || !d.core.NoticePending() || f.now.Before(d.noticeAt) {
		return
	}
	d.noticeAt = f.now.Add(noticeInterval)
	f.after(noticeInterval, func() { f.sendNotice(d) })
	notice := d.core.NextNotice(f.now)
	for i, m := range d.core.Peers() {
		if to := f.daemon(m.Name); to != nil && !to.cut && !d.cut && f.rng.Float64() >= updateLossRatio {
			f.after(time.Duration(i/8)*6*time.Millisecond+networkDelay, func() {
				f.onNotice(to, &notice)
				to.core.ReceiveNotice(f.now, entity.InstanceID(d.name), &notice)
				f.perform(to.core)
			})
		}
	}
}

// perform makes the probes and sends the notice that a core wants.
func (f *testFleet) perform(core *Core) {
	if d := f.daemon(core.cfg.Self.Name); d.core == core {
		f.sendNotice(d)
		f.sendStreamNews(d)
	}
	if d := f.daemon(core.cfg.Self.Name); len(core.TakeLostAddresses()) > 0 {
		clear(d.idle)
	}
	for _, p := range core.TakeProbes() {
		f.after(networkDelay, func() {
			delay, result := networkDelay, Refused
			switch s := f.server(p.Process.Server, p.Address); {
			case f.pathOf(core) == fleetPathRefuses:
			case f.pathOf(core) == fleetPathHangs:
				delay, result = fleetDialTimeout, Unreachable
			case s != nil && s.up:
				result = Reachable
			case s != nil && s.dark:
				delay, result = 700*time.Millisecond, Unreachable
			}
			f.after(delay, func() {
				core.ProbeEnded(f.now, p, result)
				f.perform(core)
			})
		})
	}
}

// pathOf returns the path of a core's daemon.
func (f *testFleet) pathOf(core *Core) fleetPath { return f.daemon(core.cfg.Self.Name).path }

// replace starts a new process at a server's address under the given ID and start time.
func (f *testFleet) replace(s *fleetServer, id entity.BackendServerID, born int64) {
	f.replaceWith(s, id, born, func(*BackendServer) {})
}

// replaceWith is replace with further changes of the entry.
func (f *testFleet) replaceWith(s *fleetServer, id entity.BackendServerID, born int64, change func(*BackendServer)) {
	entry := s.BackendServer
	entry.ID, entry.Born = id, born
	change(&entry)
	f.startReplacement(s, entry, 0)
}

// startReplacement starts a new process at a server's address, whose entry daemons learn of
// after a delay.
func (f *testFleet) startReplacement(s *fleetServer, entry BackendServer, entryDelay time.Duration) {
	s.replacedBy = &fleetServer{BackendServer: entry, up: true, dark: s.dark, runs: map[*fleetRun]bool{}}
	f.servers = append(f.servers, s.replacedBy)
	f.eachCore(entryDelay, func(c *Core) { c.PutServer(f.now, entry) })
}
