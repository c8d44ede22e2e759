package exchange

import (
	"testing"
	"time"
)

// listedServer returns an entry that has the given version of the table service.
func listedServer(version, sequence uint64) BackendServer {
	return BackendServer{ID: "late", Sequence: sequence, EntryVersion: version, Service: "plain", Address: "10.0.0.9:1", Slots: 8, State: Ready}
}

// TestReceiveDraining_ServerThatIsNotKnownYet: a daemon that was cut from the table service hears that a server
// has gone which started meanwhile, and reads afterwards that it was listed, and was removed.
func TestReceiveDraining_ServerThatIsNotKnownYet(t *testing.T) {
	for name, told := range map[string]DrainingServer{
		"with a version":    {ID: "late", Sequence: 1, Version: 20},
		"without a version": {ID: "late", Sequence: 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestCore(t, "a")
			c.receiveDraining(at(time.Second), told)
			c.TableRecovered(at(2*time.Second), zero)
			c.PutServer(at(2*time.Second), listedServer(10, 1))
			if c.usable(at(2*time.Second), "late") {
				t.Error("a server that has gone may get requests when its former entry was read")
			}
			c.RemoveServer(at(2*time.Second), "late", 20)
			if c.usable(at(2*time.Second), "late") {
				t.Error("a server that has gone may get requests when its removal was read")
			}
			c.PutServer(at(3*time.Second), listedServer(30, 2))
			if !c.usable(at(3*time.Second), "late") {
				t.Error("a server that was listed again gets no requests")
			}
		})
	}
}

// TestReceiveDraining_HeartbeatsAreNoProof: the sender has not read the sequence numbers that a server has written
// since. Versions of the table service tell which is newer.
func TestReceiveDraining_HeartbeatsAreNoProof(t *testing.T) {
	c := newTestCore(t, "a")
	c.PutServer(zero, listedServer(10, 8))
	c.receiveDraining(zero, DrainingServer{ID: "late", Sequence: 1, Version: 20})
	if c.usable(zero, "late") {
		t.Error("a server of which another daemon has seen that it has gone may get requests")
	}
	c.PutServer(zero, listedServer(12, 9))
	if c.usable(zero, "late") {
		t.Error("it may get requests after an older entry of it")
	}
	c.PutServer(zero, listedServer(21, 10))
	c.receiveDraining(zero, DrainingServer{ID: "late", Sequence: 11, Version: 20})
	if !c.usable(zero, "late") {
		t.Error("a server that was listed again gets no requests")
	}
}

// TestReceiveDraining_NextProcessDrains: a daemon knows the former process of a server whose next one drains.
func TestReceiveDraining_NextProcessDrains(t *testing.T) {
	c := newTestCore(t, "a")
	former := listedServer(10, 8)
	former.Born = 1
	c.PutServer(zero, former)
	c.receiveDraining(zero, DrainingServer{ID: "late", Born: 2, Sequence: 2, Version: 20})
	if c.usable(zero, "late") {
		t.Error("a server whose next process drains may get requests")
	}
	next := listedServer(30, 1)
	next.Born = 3
	c.PutServer(zero, next)
	if !c.usable(zero, "late") {
		t.Error("the process after it gets no requests")
	}
}

// TestDrainingServers_AnnouncedByAllWhoHaveSeenIt: two daemons see that a server has gone, and hear it of each
// other. Both must go on telling it for a while, as a third one may hear neither at first.
func TestDrainingServers_AnnouncedByAllWhoHaveSeenIt(t *testing.T) {
	a, b := newTestCore(t, "a"), newTestCore(t, "b")
	for _, c := range []*Core{a, b} {
		c.RemoveServer(zero, "plain0", 20)
	}
	fromA, fromB := a.NextUpdate(zero), b.NextUpdate(zero)
	a.ReceiveUpdate(at(time.Millisecond), &fromB, 0)
	b.ReceiveUpdate(at(time.Millisecond), &fromA, 0)
	for _, c := range []*Core{a, b} {
		if update := c.NextUpdate(at(2 * time.Second)); len(update.DrainingServers) != 1 {
			t.Errorf("2 s later %s tells of %d servers that have gone, want 1", c.cfg.Self.Name, len(update.DrainingServers))
		}
	}
	third := newTestCore(t, "c")
	third.receiveDraining(at(time.Millisecond), fromA.DrainingServers[0])
	if update := third.NextUpdate(at(time.Second)); len(update.DrainingServers) != 0 {
		t.Error("a daemon tells of what it has only heard")
	}
}

// TestMaySend_ServerEndsWhileARequestWaits: a request waits for a connection while its server drains or goes. It must
// not be sent there, as that may be later than the server may get any.
func TestMaySend_ServerEndsWhileARequestWaits(t *testing.T) {
	for name, end := range map[string]func(*Core, BackendServer){
		"drains": func(c *Core, entry BackendServer) {
			entry.State = Draining
			c.PutServer(at(time.Millisecond), entry)
		},
		"is not listed": func(c *Core, entry BackendServer) { c.RemoveServer(at(time.Millisecond), entry.ID, 0) },
		"another daemon tells": func(c *Core, entry BackendServer) {
			c.receiveDraining(at(time.Millisecond), DrainingServer{ID: entry.ID, Born: entry.Born, Sequence: entry.Sequence})
		},
		"may come back, and does not": func(c *Core, entry BackendServer) {
			const graceLeft = 500 * time.Millisecond
			c.TableRecovered(at(graceLeft-tableRecoveryGrace), at(-time.Minute))
			c.RemoveServer(at(time.Millisecond), entry.ID, 0)
			if !c.usable(at(graceLeft-time.Millisecond), entry.ID) {
				t.Error("a server whose entry may have lapsed in an outage gets no requests")
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestCore(t, "a")
			waiting := mustAdmit(t, c, zero, testRequest("waiting", "/x", "k3"))
			attempt := mustPlace(t, c, zero, waiting)
			if !c.MaySend(zero, waiting, zero) {
				t.Error("a request is withheld before the server's end")
			}
			end(c, c.servers.Get(attempt.Server).BackendServer)
			later := at(600 * time.Millisecond)
			if c.MaySend(later, waiting, zero) {
				t.Error("a request that waited is sent to a server that has ended")
			}
			if refusal := c.Ended(later, waiting, Withheld); refusal != nil {
				t.Fatalf("a withheld request is refused: %+v", refusal)
			}
			if next := mustPlace(t, c, later, waiting); next.Server == attempt.Server {
				t.Error("a withheld request is placed at the same server")
			}
		})
	}
}
