package exchange

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// statementRun is a run of a fleet in which servers say of themselves what keeps requests away.
type statementRun struct {
	*testFleet
	toldAt  map[toldKey]time.Time // when a daemon first passed on that a server leaves
	late    int                   // requests that reached such a server later than leavingGrace
	refused map[string]int        // refusals by code
}

// leavingGrace is the time after a daemon has passed on that a server leaves in which requests
// from it may still reach that server; see the contract.
const leavingGrace = time.Second

// newStatementRun returns a fleet whose callers send a request at about the given interval.
func newStatementRun(t *testing.T, seed uint64, daemons, servers int, interval time.Duration) *statementRun {
	r := &statementRun{testFleet: newTestFleet(t, seed, daemons, servers), toldAt: map[toldKey]time.Time{}, refused: map[string]int{}}
	r.onAnswer = func(d *fleetDaemon, s *fleetServer) {
		if key := (toldKey{d, d.starts, s}); s.leaving && r.toldAt[key].IsZero() {
			r.toldAt[key] = r.now
		}
	}
	r.onArrival = func(a arrival) {
		told := r.toldAt[toldKey{a.daemon, a.daemon.starts, a.server}]
		if !told.IsZero() && a.at.Sub(told) > leavingGrace {
			r.late++
		}
	}
	r.onRefusal = func(_ *fleetDaemon, _ Request, refusal *Refusal) { r.refused[refusal.Code]++ }
	r.every(interval, func() {
		req := testRequest("", "/talk/x", "k3")
		req.Patience = 5 * time.Second
		r.send(r.daemons[r.rng.IntN(len(r.daemons))], req)
	})
	return r
}

// rewrite has all daemons read an entry of a server again, with the given sequence number.
func (r *statementRun) rewrite(s *fleetServer, sequence uint64) {
	entry := s.BackendServer
	entry.Sequence = sequence
	r.eachCore(0, func(c *Core) { c.PutServer(r.now, entry) })
}

// checkLeaving checks that no daemon went on sending to servers that had said that they leave.
func (r *statementRun) checkLeaving() {
	r.t.Helper()
	if len(r.toldAt) == 0 {
		r.t.Error("no daemon has passed on that a server leaves")
	}
	if r.late > 0 {
		r.t.Errorf("%d requests reached servers more than %v after their daemon had passed on that they leave, 0 allowed", r.late, leavingGrace)
	}
}

// TestLeaving_WhateverElseIsHeardOfTheProcess: a server says that it leaves, lives on, and is
// listed as ready all the time.
func TestLeaving_WhateverElseIsHeardOfTheProcess(t *testing.T) {
	for name, trouble := range map[string]func(*statementRun, *fleetServer){
		"nothing else":          func(*statementRun, *fleetServer) {},
		"newer entry":           func(r *statementRun, s *fleetServer) { r.rewrite(s, 5) },
		"entry removed, back":   func(r *statementRun, s *fleetServer) { r.removeAndList(s) },
		"restored older copy":   func(r *statementRun, s *fleetServer) { r.restoreTable(s) },
		"daemons restart":       func(r *statementRun, _ *fleetServer) { r.startAll() },
		"half of them are cut":  func(r *statementRun, _ *fleetServer) { r.cutHalf(4 * time.Second) },
		"a daemon is suspended": func(r *statementRun, _ *fleetServer) { r.suspend(r.daemons[0], 3*time.Second) },
		"it crashes":            func(r *statementRun, s *fleetServer) { r.crash(s) },
		"entry without a start": func(r *statementRun, s *fleetServer) { r.writeOdd(s, func(e *BackendServer) { e.Born = 0 }) },
		"not listed for long":   func(r *statementRun, s *fleetServer) { r.lapse(s) },
	} {
		for _, daemons := range []int{3, 9, 89} {
			t.Run(fmt.Sprintf("%s/daemons=%d", name, daemons), func(t *testing.T) {
				t.Parallel()
				r := newStatementRun(t, 1, daemons, 6, 4*time.Millisecond)
				r.run(2 * time.Second)
				s := r.engines()[0]
				s.leaving = true
				r.run(time.Second)
				trouble(r, s)
				r.run(6 * time.Second)
				if name == "not listed for long" {
					r.run(lapseTime)
				}
				r.checkLeaving()
				if len(r.refused) > 0 && name != "daemons restart" {
					t.Errorf("refused: %v; the other servers take all requests", r.refused)
				}
			})
		}
	}
}

func (r *statementRun) removeAndList(s *fleetServer) {
	r.eachCore(0, func(c *Core) { c.RemoveServer(r.now, s.ID, 0) })
	r.after(time.Second, func() { r.rewrite(s, 3) })
}

// lapseTime is longer than daemons remember servers that are not listed.
const lapseTime = 14 * time.Second

// lapse has the entry of a server lapse, which serves on, and return after lapseTime.
func (r *statementRun) lapse(s *fleetServer) {
	r.eachCore(0, func(c *Core) { c.RemoveServer(r.now, s.ID, 0) })
	r.after(lapseTime, func() { r.rewrite(s, 3) })
}

// writeOdd has all daemons read an entry of a server as another writer has changed it.
func (r *statementRun) writeOdd(s *fleetServer, change func(*BackendServer)) {
	entry := s.BackendServer
	entry.Sequence++
	change(&entry)
	r.eachCore(0, func(c *Core) { c.PutServer(r.now, entry) })
}

func (r *statementRun) restoreTable(s *fleetServer) {
	r.eachCore(0, func(c *Core) { c.TableRestored(r.now) })
	r.after(400*time.Millisecond, func() { r.rewrite(s, 0) })
}

func (r *statementRun) startAll() {
	for _, d := range r.daemons {
		r.start(d)
	}
}

// cutHalf cuts every second daemon from the others for some time.
func (r *statementRun) cutHalf(duration time.Duration) {
	for i, d := range r.daemons {
		if i%2 == 0 {
			d.cut = true
			r.after(duration, func() { r.reconnect(d) })
		}
	}
}

// TestLeaving_AllOfADataCentre: a third of the servers leaves at once and ends 2 s later.
func TestLeaving_AllOfADataCentre(t *testing.T) {
	for _, daemons := range []int{3, 9, 89} {
		t.Run(fmt.Sprint("daemons=", daemons), func(t *testing.T) {
			r := newStatementRun(t, 2, daemons, 9, 4*time.Millisecond)
			r.run(2 * time.Second)
			for _, s := range r.engines() {
				if s.DataCentre == dataCentres[0] {
					s.leaving = true
					r.after(2*time.Second, func() { r.crash(s) })
				}
			}
			r.run(6 * time.Second)
			r.checkLeaving()
			if len(r.refused) > 0 {
				t.Errorf("refused: %v; the other servers take all requests", r.refused)
			}
		})
	}
}

// TestLeaving_NextProcessGetsRequests: a new process under the ID and address of one that said
// that it leaves.
func TestLeaving_NextProcessGetsRequests(t *testing.T) {
	r := newStatementRun(t, 1, 3, 4, 4*time.Millisecond)
	r.run(2 * time.Second)
	s := r.engines()[0]
	s.leaving = true
	r.run(time.Second)
	r.crash(s)
	r.run(time.Second)
	trueTime, _ := r.daemons[0].core.TrueTime(r.now)
	r.replace(s, s.ID, trueTime.Milliseconds())
	arrivals := 0
	r.onArrival = func(a arrival) {
		if a.server == s.replacedBy {
			arrivals++
		}
	}
	r.run(4 * time.Second)
	if arrivals < 100 {
		t.Errorf("the next process has got %d requests in 4 s, want about 250", arrivals)
	}
}

// TestLeaving_StatedByAProcessWhoseEntryIsReadLate: a server starts again under its ID, answers a request
// that was sent on its former entry, and says that it leaves. Its entry is read between the two.
func TestLeaving_StatedByAProcessWhoseEntryIsReadLate(t *testing.T) {
	for name, record := range map[string]func(*Core, *Ticket, time.Time){
		"to this daemon": func(c *Core, ticket *Ticket, now time.Time) {
			c.RecordStatement(now, ticket, ServerStatement{Leaving: true}, true)
		},
		"to a daemon whose request it forwards": func(c *Core, ticket *Ticket, now time.Time) {
			f := c.ForwardedBy(now, ticket)
			c.ForwardedAnswered(now, &f, ticket.sentAt, ServerStatement{Leaving: true}, true)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestCore(t, "a")
			c.SetTrueTime(0)
			sent := at(2 * time.Second)
			c.Confirm(sent)
			ticket := mustAdmit(t, c, sent, testRequest("r", "/x", "k3"))
			attempt := mustPlace(t, c, sent, ticket)
			entry := c.servers.Get(attempt.Server).BackendServer
			entry.Born = at(time.Second).UnixMilli()
			c.PutServer(at(3*time.Second), entry)
			record(c, ticket, at(4*time.Second))
			if c.usable(at(5*time.Second), attempt.Server) {
				t.Error("a server that has said that it leaves may get requests")
			}
			if c.MaySend(at(5*time.Second), ticket, zero) {
				t.Error("an attempt that was chosen before may be sent to it")
			}
		})
	}
}

// TestMayForward_NewerProcessDrains: a daemon that forwards knows a newer process of the server than the
// one that asks, and that this process drains.
func TestMayForward_NewerProcessDrains(t *testing.T) {
	c := newTestCore(t, "a")
	f := Forwarded{Process: c.servers.Get("plain0").process(), Service: "plain"}
	entry := c.servers.Get("plain0").BackendServer
	entry.Born, entry.State = 2, Draining
	c.PutServer(zero, entry)
	if c.MayForward(zero, &f) {
		t.Error("a request for another daemon may be sent to a server that drains")
	}
}

// TestLeaving_AllDaemonsLearnIt: one daemon passes it on, the others get no answer of the server.
func TestLeaving_AllDaemonsLearnIt(t *testing.T) {
	a, b := newTestCore(t, "a"), newTestCore(t, "b")
	first := a.NextUpdate(zero)
	b.ReceiveUpdate(zero, &first, 0)
	ticket := mustAdmit(t, a, zero, testRequest("r", "/x", "k3"))
	attempt := mustPlace(t, a, zero, ticket)
	a.RecordStatement(zero, ticket, ServerStatement{Leaving: true}, true)
	update := a.NextUpdate(at(time.Millisecond))
	b.ReceiveUpdate(at(2*time.Millisecond), &update, 0)
	if b.usable(at(3*time.Millisecond), attempt.Server) {
		t.Error("a daemon that has heard that a server leaves goes on using it")
	}
	if again := b.NextUpdate(at(4 * time.Millisecond)); len(again.Notice.Leaving) > 0 {
		t.Error("it announces what it has only heard")
	}
}

// TestRemoveServer_NoGraceForAServerThatOthersSayHasGone: a daemon that was cut from the table
// service reads late that an entry, which it has missed changes of, was removed. Another daemon has
// told it so before.
func TestRemoveServer_NoGraceForAServerThatOthersSayHasGone(t *testing.T) {
	c := newTestCore(t, "a")
	entry := c.servers.Get("plain0").BackendServer
	c.receiveDraining(at(time.Second), DrainingServer{ID: entry.ID, Born: entry.Born, Sequence: entry.Sequence})
	c.TableRecovered(at(2*time.Second), zero) // as another watcher has found out
	c.PutServer(at(3*time.Second), entry)
	c.RemoveServer(at(3*time.Second), entry.ID, 0)
	if c.usable(at(3*time.Second), entry.ID) {
		t.Error("a server that has gone may get requests, although another daemon has said that it has gone")
	}
	other := c.servers.Get("plain1").BackendServer
	c.RemoveServer(at(3*time.Second), other.ID, 0)
	if !c.usable(at(3*time.Second), other.ID) {
		t.Error("a server whose entry may have lapsed in the outage gets no requests")
	}
}

// TestLeaving_IsInTheCheckpoint: all daemons restart, and none has been told by the server since.
func TestLeaving_IsInTheCheckpoint(t *testing.T) {
	a, b := newTestCore(t, "a"), newTestCore(t, "b")
	ticket := mustAdmit(t, a, zero, testRequest("r", "/x", "k3"))
	attempt := mustPlace(t, a, zero, ticket)
	a.RecordStatement(zero, ticket, ServerStatement{Leaving: true}, true)
	checkpoint := a.Checkpoint(at(time.Second))
	if !b.usable(at(2*time.Second), attempt.Server) {
		t.Fatal("the server is not usable before")
	}
	b.RestoreNotice(at(2*time.Second), &checkpoint)
	if b.usable(at(2*time.Second), attempt.Server) {
		t.Error("a daemon that has read the checkpoint uses a server that said that it leaves")
	}
}

// TestLeaving_EntriesAfterTheWord: a server has said that it leaves, and lives on. No entry under its ID that does not
// name a process which has started since may bring it back.
func TestLeaving_EntriesAfterTheWord(t *testing.T) {
	testEntriesAfterStatement(t, ServerStatement{Leaving: true}, (*Core).usable)
}

// TestRest_EntriesAfterTheWord: the same for a server that wants no requests for a while.
func TestRest_EntriesAfterTheWord(t *testing.T) {
	testEntriesAfterStatement(t, ServerStatement{Rest: time.Minute}, func(c *Core, now time.Time, id entity.BackendServerID) bool {
		return c.mayReceive(now, id, 0)
	})
}

func testEntriesAfterStatement(t *testing.T, statement ServerStatement, mayGet func(*Core, time.Time, entity.BackendServerID) bool) {
	t.Helper()
	put := func(change func(*BackendServer)) func(*Core, time.Time, BackendServer) {
		return func(c *Core, now time.Time, entry BackendServer) {
			change(&entry)
			c.PutServer(now, entry)
		}
	}
	remove := func(c *Core, now time.Time, entry BackendServer) { c.RemoveServer(now, entry.ID, 0) }
	restore := func(c *Core, now time.Time, _ BackendServer) { c.TableRestored(now) }
	forget := func(c *Core, now time.Time, _ BackendServer) { c.Tick(now) }
	former := put(func(e *BackendServer) { e.Born, e.Sequence = e.Born-500, e.Sequence+9 })
	noStart := put(func(e *BackendServer) { e.Born, e.Sequence = 0, 0 })
	same := put(func(*BackendServer) {})
	newer := put(func(e *BackendServer) { e.Sequence += 9 })
	type step = func(*Core, time.Time, BackendServer)
	for name, steps := range map[string][]step{
		"the former process":                             {former},
		"the former process, then its own":               {former, newer},
		"removed, the former process":                    {remove, former},
		"restored, the former process":                   {restore, former},
		"restored and removed, the former process":       {restore, remove, former},
		"without a start":                                {noStart},
		"removed, without a start":                       {remove, noStart},
		"removed, without a start, its own":              {remove, noStart, newer},
		"removed and forgotten, without a start":         {remove, nil, nil, nil, forget, noStart},
		"removed and forgotten, its own":                 {remove, nil, nil, nil, forget, same},
		"removed, its own, removed, its own":             {remove, same, remove, newer},
		"restored, removed, without a start, its own":    {restore, remove, noStart, same},
		"another address":                                {put(func(e *BackendServer) { e.Address = "10.9.9.9:9"; e.Sequence++ })},
		"another service and back":                       {put(func(e *BackendServer) { e.Service = "engine"; e.Sequence++ }), newer},
		"draining, then ready with a higher sequence":    {put(func(e *BackendServer) { e.State = Draining }), newer},
		"the former process drains, ready, removed, own": {put(func(e *BackendServer) { e.Born -= 500; e.State = Draining }), former, remove, same},
	} {
		for clock, learnClock := range map[string]func(*Core){"true time known": func(c *Core) { c.SetTrueTime(0) }, "true time unknown": func(*Core) {}} {
			t.Run(name+"/"+clock, func(t *testing.T) {
				c := newTestCore(t, "a")
				learnClock(c)
				entry := c.servers.Get("plain0").BackendServer
				entry.Born, entry.Sequence = at(time.Second).UnixMilli(), 5
				c.PutServer(at(time.Second), entry)
				ticket := &Ticket{process: c.servers.Get(entry.ID).process(), sentAt: at(2 * time.Second)}
				c.RecordStatement(at(3*time.Second), ticket, statement, false)
				for i, apply := range steps {
					now := at(time.Duration(4+4*i) * time.Second)
					if apply != nil {
						apply(c, now, entry)
					}
					if mayGet(c, now, entry.ID) {
						t.Errorf("after step %d the server may get requests", i+1)
					}
				}
			})
		}
	}
}

// TestLeaving_FormerProcessStaysListed: the entry of a former process is read after a server's word and stays listed. The
// word must not be forgotten in time, as that entry stands for the server.
func TestLeaving_FormerProcessStaysListed(t *testing.T) {
	c := newTestCore(t, "a")
	c.SetTrueTime(0)
	entry := c.servers.Get("plain0").BackendServer
	entry.Born, entry.Sequence = at(time.Second).UnixMilli(), 5
	c.PutServer(at(time.Second), entry)
	ticket := &Ticket{process: c.servers.Get(entry.ID).process(), sentAt: at(2 * time.Second)}
	c.RecordStatement(at(3*time.Second), ticket, ServerStatement{Leaving: true}, false)
	entry.Born, entry.Sequence = entry.Born-500, 14
	c.PutServer(at(4*time.Second), entry)
	for now := 5 * time.Second; now < 2*leavingRetention; now += 10 * time.Second {
		c.Tick(at(now))
		if c.usable(at(now), entry.ID) {
			t.Fatalf("the server may get requests %v after its word", now)
		}
	}
}
