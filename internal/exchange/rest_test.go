package exchange

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

const (
	// Bounds of the users' contract: between restGrace after a server has turned a request of
	// a daemon away with a time of rest, and the end of that time, it may get maxDuringRest
	// requests from that daemon.
	restGrace     = 500 * time.Millisecond
	maxDuringRest = 2
)

// restRun is a run of a fleet in which servers want a rest.
type restRun struct {
	*statementRun
	asked map[toldKey][]restAsked
	most  int // most requests that one rest of a server at a daemon has seen
}

// restAsked is a rest that a server has asked a daemon for.
type restAsked struct {
	at, until time.Time
	arrivals  int // after restGrace
}

// newRestRun returns a fleet whose servers may want rests.
func newRestRun(t *testing.T, seed uint64, daemons, servers int, interval time.Duration) *restRun {
	r := &restRun{statementRun: newStatementRun(t, seed, daemons, servers, interval), asked: map[toldKey][]restAsked{}}
	r.onArrival = func(a arrival) {
		key := toldKey{a.daemon, a.daemon.starts, a.server}
		for i := range r.asked[key] {
			rest := &r.asked[key][i]
			if r.now.Sub(rest.at) > restGrace && r.now.Before(rest.until) {
				rest.arrivals++
				r.most = max(r.most, rest.arrivals)
			}
		}
		if a.server.rest > 0 {
			r.asked[key] = append(r.asked[key], restAsked{at: r.now, until: r.now.Add(a.server.rest)})
		}
	}
	return r
}

// checkRest checks that servers that wanted a rest had it.
func (r *restRun) checkRest() {
	r.t.Helper()
	if len(r.asked) == 0 {
		r.t.Error("no server has asked for a rest")
	}
	if r.most > maxDuringRest {
		r.t.Errorf("%d requests of one daemon reached a server between %v after it had asked for a rest and its end, %d allowed", r.most, restGrace, maxDuringRest)
	}
}

// TestRest_ServersGetIt: some or all servers turn requests away and want a rest, while daemons
// restart, stand still or are cut from each other.
func TestRest_ServersGetIt(t *testing.T) {
	for name, trouble := range map[string]func(*statementRun){
		"none":                  func(*statementRun) {},
		"daemons restart":       func(r *statementRun) { r.startAll() },
		"half of them are cut":  func(r *statementRun) { r.cutHalf(3 * time.Second) },
		"a daemon is suspended": func(r *statementRun) { r.suspend(r.daemons[0], 2*time.Second) },
		"entries are rewritten": func(r *statementRun) {
			for _, s := range r.servers {
				r.rewrite(s, 4)
			}
		},
	} {
		for _, daemons := range []int{3, 9, 89} {
			for _, resting := range []int{1, 5, 6} {
				t.Run(fmt.Sprintf("%s/daemons=%d/resting=%d", name, daemons, resting), func(t *testing.T) {
					t.Parallel()
					r := newRestRun(t, 1, daemons, 6, 4*time.Millisecond)
					r.run(2 * time.Second)
					for i, s := range r.engines()[:resting] {
						s.rest = time.Duration(i+1) * 700 * time.Millisecond
					}
					r.run(500 * time.Millisecond)
					trouble(r.statementRun)
					r.run(8 * time.Second)
					r.checkRest()
				})
			}
		}
	}
}

// TestRest_AllServersWantIt: requests are rejected at once, come back when the first server
// wants some again, spread, and are served then.
func TestRest_AllServersWantIt(t *testing.T) {
	const rest = 4 * time.Second
	c := newTestCore(t, "a")
	for _, id := range []entity.BackendServerID{"plain0", "plain1", "plain2"} {
		c.setRest(zero, entity.ServerProcess{Server: id, Born: 1}, zero, at(rest))
	}
	now := at(time.Second)
	c.Confirm(now)
	returns := map[time.Duration]bool{}
	for range 50 {
		ticket := mustAdmit(t, c, now, testRequest("r", "/x", "k3"))
		_, refusal := c.Place(now, ticket)
		if refusal == nil || refusal.Code != "resting" || refusal.Status != Unavailable {
			t.Fatalf("got refusal %+v, want resting", refusal)
		}
		if refusal.RetryAfter < rest-time.Second || refusal.RetryAfter > rest-time.Second+restSpread {
			t.Fatalf("told to come back in %v, want when the rest ends", refusal.RetryAfter)
		}
		returns[refusal.RetryAfter.Round(10*time.Millisecond)] = true
	}
	if len(returns) < 20 {
		t.Errorf("50 requests come back at %d times, want them spread", len(returns))
	}
	c.Confirm(at(rest))
	mustPlace(t, c, at(rest), mustAdmit(t, c, at(rest), testRequest("r", "/x", "k3")))
}

// TestRest_OfOneProcessOnly: a rest binds this daemon and that process, makes no server leave or
// die, and a shorter one later does not end it.
func TestRest_OfOneProcessOnly(t *testing.T) {
	a, b := newTestCore(t, "a"), newTestCore(t, "b")
	ticket := mustAdmit(t, a, zero, testRequest("r", "/x", "k3"))
	server := mustPlace(t, a, zero, ticket).Server
	a.RecordStatement(zero, ticket, ServerStatement{Rest: 3 * time.Second}, false)
	a.RecordStatement(at(time.Second), ticket, ServerStatement{Rest: 100 * time.Millisecond}, false)
	update := a.NextUpdate(at(time.Second))
	b.ReceiveUpdate(at(time.Second), &update, 0)
	later := at(2 * time.Second)
	if a.mayReceive(later, server, 0) || a.MaySend(later, ticket, zero) {
		t.Error("a shorter rest ends a longer one")
	}
	if !b.mayReceive(later, server, 0) {
		t.Error("a rest that one daemon was asked for binds another one")
	}
	if !a.usable(later, server) {
		t.Error("a server that wants a rest counts as leaving")
	}
	entry := a.servers.Get(server).BackendServer
	entry.Born = 2
	a.PutServer(later, entry)
	if !a.mayReceive(later, server, 0) {
		t.Error("the next process under the ID is bound by the rest of the former")
	}
}

// TestMaySend_ServerAskedForRestWhileARequestWaited: requests that wait for a connection when
// their server asks for a rest, or says that it leaves, are not sent.
func TestMaySend_ServerAskedForRestWhileARequestWaited(t *testing.T) {
	for name, statement := range map[string]ServerStatement{"rest": {Rest: time.Second}, "leaving": {Leaving: true}} {
		c := newTestCore(t, "a")
		waiting := mustAdmit(t, c, zero, testRequest("waiting", "/x", "k3"))
		server := mustPlace(t, c, zero, waiting).Server
		first := mustAdmit(t, c, zero, testRequest("first", "/x", "k3"))
		first.process = waiting.process
		if !c.MaySend(zero, waiting, zero) {
			t.Errorf("%s: a request is withheld before the server said anything", name)
		}
		c.RecordStatement(zero, first, statement, false)
		if c.MaySend(zero, waiting, zero) {
			t.Errorf("%s: a request that waited is sent", name)
		}
		if refusal := c.Ended(zero, waiting, Withheld); refusal != nil {
			t.Fatalf("%s: a withheld request is refused: %+v", name, refusal)
		}
		if next := mustPlace(t, c, zero, waiting); next.Server == server {
			t.Errorf("%s: a withheld request is placed at the same server", name)
		}
	}
}
