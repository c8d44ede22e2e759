package exchange

import (
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/system/rollout"
)

// withdraw removes the row of a roll-out's order.
func (r *rolloutRun) withdraw(p *rolloutPlay) {
	delete(r.store.orders, p.order.Service)
	r.after(2*time.Second, func() { p.withdrawn = true }) // daemons in touch know by then
}

// Two services are rolled out at once, one to a bad version: neither may disturb the other.
func TestRollout_TwoServicesAtOnce(t *testing.T) {
	forSizes(t, func(t *testing.T, daemons int) {
		r := newRolloutRun(t, 500, daemons)
		good := r.order("engine", "v2", rolloutDuration, nil)
		bad := r.order("plain", "v7", rolloutDuration, badVersions["slow"])
		r.finish(good)
		r.finish(bad)
		r.checkCompleted(good)
		r.checkRolledBack(bad)
	})
}

// An order that is replaced starts anew: the first version gets no more requests, and the second
// one is completed.
func TestRollout_SecondOrderDuringTheFirst(t *testing.T) {
	forSizes(t, func(t *testing.T, daemons int) {
		for _, after := range []time.Duration{2500 * time.Millisecond, 7500 * time.Millisecond} {
			r := newRolloutRun(t, 510, daemons)
			first := r.order("engine", "v2", rolloutDuration, nil)
			r.run(after)
			second := r.order("engine", "v3", rolloutDuration, nil)
			r.plays["engine v2"] = first // no longer that of the service
			r.run(2 * time.Second)
			stray := 0
			r.onArrival = func(a arrival) {
				r.arrived(a)
				if a.server.Version == "v2" && a.request.After == "" {
					stray++
				}
			}
			r.finish(second)
			r.checkCompleted(second)
			if stray > 0 {
				t.Errorf("the version of the replaced order got %d requests", stray)
			}
		}
	})
}

// A version whose order is withdrawn gets no more requests while others serve, and no status.
func TestRollout_WithdrawnOrder(t *testing.T) {
	forSizes(t, func(t *testing.T, daemons int) {
		r := newRolloutRun(t, 520, daemons)
		p := r.order("plain", "v2", rolloutDuration, nil)
		r.run(5 * time.Second)
		r.withdraw(p)
		r.finish(p)
		if p.unordered > 0 {
			t.Errorf("a version without an order got %d requests", p.unordered)
		}
		if p.status == rollout.Completed.String() || p.status == rollout.RolledBack.String() {
			t.Errorf("a withdrawn order is %s", p.status)
		}
	})
}

// A version that was rolled back gets nothing as long as its order stands, also after all daemons
// were restarted.
func TestRollout_RolledBackVersionStaysOut(t *testing.T) {
	forSizes(t, func(t *testing.T, daemons int) {
		r := newRolloutRun(t, 530, daemons)
		p := r.order("plain", "v2", rolloutDuration, badVersions["fails on all routes"])
		r.whenStage(p, rollout.RolledBack, func() {
			r.after(2*time.Second, func() {
				p.withdrawn = true // counts what the version gets from now on
				r.restart(r.daemons)
			})
		})
		r.finish(p)
		r.checkRolledBack(p)
		if p.unordered > 0 {
			t.Errorf("a version that was rolled back got %d requests", p.unordered)
		}
	})
}

// A daemon that the table service refuses has not read the order. It must send nothing to servers
// of a version that it knows no order of, even if it sees them.
func TestRollout_UnreadOrderAllowsNothing(t *testing.T) {
	r := newRolloutRun(t, 540, 3)
	blind := r.daemons[2]
	blind.cut = true
	r.refused = func(d *fleetDaemon) bool { return d == blind }
	p := r.order("plain", "v2", rolloutDuration, nil)
	stray := 0
	r.onArrival = func(a arrival) {
		r.arrived(a)
		if a.daemon == blind && a.server.Version == "v2" && p.status != rollout.Completed.String() {
			stray++
		}
	}
	r.finish(p)
	if stray > 0 {
		t.Errorf("a daemon that knows of no order sent %d requests to the new version", stray)
	}
}

// A daemon that hears nothing of the others must go back to the old version within half of the
// time in which a bad version must have got its last request.
func TestRollout_CutOffDaemonUsesOldVersion(t *testing.T) {
	r := newRolloutRun(t, 545, 9)
	alone := r.daemons[5]
	p := r.order("plain", "v2", rolloutDuration, nil)
	stray := 0
	r.onArrival = func(a arrival) {
		r.arrived(a)
		if a.daemon == alone && alone.cut && a.server.Version == "v2" && a.at.Sub(alone.inTouchAt) > 0 && p.status != rollout.Completed.String() {
			stray++
		}
	}
	r.run(4 * time.Second)
	alone.cut = true
	r.refused = func(d *fleetDaemon) bool { return d == alone } // else it might take the lease
	alone.inTouchAt = r.now.Add(exposure.RollbackAfter/2 + time.Second)
	r.finish(p)
	if stray > 0 {
		t.Errorf("a daemon that is cut off sent %d requests to the new version", stray)
	}
}

// A version that already serves, with no other, is completed at once.
func TestRollout_VersionThatServesIsCompletedAtOnce(t *testing.T) {
	r := newRolloutRun(t, 550, 9)
	r.silent = true
	p := r.order("plain", "v1", rolloutDuration, nil)
	r.run(time.Second)
	if p.status != rollout.Completed.String() {
		t.Errorf("an order for the version that serves is %q after 1 s", p.status)
	}
	r.finish(p)
	r.checkCompleted(p)
}

// With few requests a roll-out must not wait for more of them.
func TestRollout_FewRequests(t *testing.T) {
	forSizes(t, func(t *testing.T, daemons int) {
		r := newRolloutRun(t, 560, daemons)
		r.rate = 3
		r.run(2 * time.Second)
		p := r.order("plain", "v2", rolloutDuration, nil)
		r.finish(p)
		r.checkCompleted(p)
	})
}

// Orders of other lengths than usual are completed by their deadline too.
func TestRollout_ShortAndLongOrders(t *testing.T) {
	for _, duration := range []time.Duration{8 * time.Second, 40 * time.Second} {
		r := newRolloutRun(t, 570, 9)
		p := r.order("plain", "v2", duration, nil)
		r.finish(p)
		r.checkCompleted(p)
	}
}

// An order that cannot be used is logged and ignored, and one without the settings too.
func TestSetRolloutOrder_UnusableIsIgnored(t *testing.T) {
	usable := rollout.Order{Service: "plain", To: "v2", Duration: time.Minute, Version: 7}
	cases := map[string]func(*Core, *rollout.Order){
		"no version":      func(_ *Core, o *rollout.Order) { o.To = "" },
		"no duration":     func(_ *Core, o *rollout.Order) { o.Duration = 0 },
		"no service":      func(_ *Core, o *rollout.Order) { o.Service = "" },
		"unknown service": func(_ *Core, o *rollout.Order) { o.Service = "none" },
		"no settings":     func(c *Core, _ *rollout.Order) { c.cfg.Bounds.Rollout = RolloutBounds{} },
	}
	for name, change := range cases {
		c := newTestCore(t, "d1")
		c.cfg.Bounds.Rollout = exposure
		o := usable
		change(c, &o)
		c.SetRolloutOrder(zero, o)
		ignored := 0
		for _, e := range c.TakeEvents() {
			if e.Number == event.RolloutOrderIgnored {
				ignored++
			}
		}
		if ignored != 1 || len(c.Rollouts(zero)) != 0 {
			t.Errorf("%s: ignored %d times, %d roll-outs", name, ignored, len(c.Rollouts(zero)))
		}
	}
}

// Broken answers of a server that has died are no failures of its version; those of a server that
// goes on are.
func TestRolloutEnded_CrashIsNoFailure(t *testing.T) {
	for _, dies := range []bool{true, false} {
		c := newTestCore(t, "d1")
		c.cfg.Bounds.Rollout = exposure
		c.SetRolloutOrder(zero, rollout.Order{Service: "plain", To: "v2", Duration: time.Minute, Version: 7})
		ticket := mustAdmit(t, c, zero, testRequest("r", "/x", "k1"))
		a := mustPlace(t, c, zero, ticket)
		c.Ended(at(time.Second), ticket, Broken)
		if dies {
			row := c.servers.Get(a.Server)
			c.recordDeath(at(time.Second), at(time.Second), row.process(), proofRefused)
		}
		c.Tick(at(time.Second + 2*crashHold))
		failures := uint32(0)
		for _, route := range c.Rollouts(at(time.Minute))[0].Routes {
			failures += route.Old.Failures
		}
		if want := map[bool]uint32{true: 0, false: 1}[dies]; failures != want {
			t.Errorf("server dies %v: %d failures counted, want %d", dies, failures, want)
		}
	}
}

// Numbers of servers are planned from the old version's servers until the completion, and no
// target falls during a roll-out.
func TestTargetServers_DuringRollout(t *testing.T) {
	c := newTestCore(t, "d1")
	c.cfg.Bounds.Rollout = exposure
	count := func() int {
		n := 0
		for _, l := range c.ListedServers() {
			if l.Service == "engine" {
				n += l.Count
			}
		}
		return n
	}
	old := count()
	c.RolloutOrdersConfirmed(at(time.Millisecond))
	order := rollout.Order{Service: "engine", To: "v2", Duration: time.Minute, Version: 7}
	c.SetRolloutOrder(at(time.Second), order)
	c.PutServer(at(2*time.Second), BackendServer{ID: "new", Service: "engine", Address: "10.0.9.9:1", DataCentre: "a", Slots: 8, State: Ready, Version: "v2"})
	if n := count(); n != old {
		t.Errorf("%d servers count during the roll-out, %d before", n, old)
	}
	targets := func(now time.Time) map[ServerCount]int {
		out := map[ServerCount]int{}
		for _, n := range c.TargetServers(now) {
			out[ServerCount{Service: n.Service, DataCentre: n.DataCentre, Reclaimable: n.Reclaimable}] = n.Count
		}
		return out
	}
	c.SetTrueTime(0)
	c.AdoptLevels([]ServiceLevel{{Service: entity.ServiceName("engine"), Work: 6}})
	before := targets(at(5 * time.Second))
	c.AdoptLevels([]ServiceLevel{{Service: entity.ServiceName("engine"), Work: 0.1}})
	for key, n := range targets(at(20 * time.Second)) {
		if n < before[key] {
			t.Errorf("the target of %+v fell from %d to %d during a roll-out", key, before[key], n)
		}
	}
	c.RolloutCommitted(at(21*time.Second), rollout.State{Service: "engine", Order: 7, To: "v2", Stage: rollout.Completed, Duration: time.Minute, Sequence: 3})
	if n := count(); n != 1 {
		t.Errorf("%d servers count after the completion, the new version has 1", n)
	}
}

// TestGivesUpSilent_NotForAServerThatTheRolloutKeepsFromIt: the only old server is silent, and all others are of the
// ordered version, which may not get the request yet. There is nowhere to send it, so that its answer is waited for.
func TestGivesUpSilent_NotForAServerThatTheRolloutKeepsFromIt(t *testing.T) {
	c := newTestCore(t, "d1")
	c.cfg.Bounds.Rollout = exposure
	c.RemoveServer(zero, "plain1", 0)
	c.RemoveServer(zero, "plain2", 0)
	c.RolloutOrdersConfirmed(zero)
	c.SetRolloutOrder(zero, rollout.Order{Service: "plain", To: "v2", Duration: time.Minute, Version: 7})
	c.PutServer(zero, BackendServer{ID: "new", Service: "plain", Address: "10.0.9.9:1", DataCentre: "a", Slots: 8, State: Ready, Version: "v2"})
	ticket := mustAdmit(t, c, zero, testRequest("r", "/get/x", "k3"))
	if a := mustPlace(t, c, zero, ticket); a.Server != "plain0" {
		t.Fatalf("placed on %s", a.Server)
	}
	if c.GivesUpSilent(at(400*time.Millisecond), ticket) {
		c.Ended(at(400*time.Millisecond), ticket, Silent)
		_, refusal := c.Place(at(400*time.Millisecond), ticket)
		t.Errorf("given up for a server that may not have the request: %+v", refusal)
	}
}
