package exchange

import (
	"strconv"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/system/placement"
)

func TestServers_DrainingAndGoneGetNothing(t *testing.T) {
	c := newTestCore(t, "d1")
	c.PutServer(zero, BackendServer{ID: "plain0", Born: 1, Service: "plain", Address: "x:1", Slots: 8, State: Draining})
	c.RemoveServer(zero, "plain1", 0)
	for i := range 20 {
		ticket := mustAdmit(t, c, zero, testRequest(strconv.Itoa(i), "/x", "k3"))
		if a := mustPlace(t, c, zero, ticket); a.Server != "plain2" {
			t.Fatalf("request placed on %s, which drains or has gone", a.Server)
		}
	}
}

func TestServers_MissingAfterOutageComeBackOrGo(t *testing.T) {
	c := newTestCore(t, "d1")
	c.Confirm(at(time.Minute))
	c.TableRecovered(at(time.Minute), at(50*time.Second))
	c.RemoveUnlisted(at(time.Minute), nil, 0)
	patient := testRequest("r", "/talk/x", "k3")
	patient.Patience = 0
	ticket := mustAdmit(t, c, at(time.Minute), patient)
	mustPlace(t, c, at(time.Minute+time.Second), ticket)
	c.Ended(at(time.Minute+time.Second), ticket, Rejected)
	if _, refusal := c.Place(at(time.Minute+2100*time.Millisecond), ticket); refusal == nil {
		t.Fatal("a request was placed on a server still missing after the grace period")
	}
}

// TestServers_RecoveryCountsFromTheFirstAnswer: one feed of the table service is read again three seconds before
// the other. Entries that are missing when the other is read have had their time to come back.
func TestServers_RecoveryCountsFromTheFirstAnswer(t *testing.T) {
	c := newTestCore(t, "d1")
	c.TableRecovered(at(10*time.Second), at(9*time.Second))         // the configuration's feed
	c.TableRecovered(at(13*time.Second), at(8500*time.Millisecond)) // that of the servers
	c.RemoveServer(at(13*time.Second), "plain0", 20)
	if c.usable(at(13*time.Second), "plain0") {
		t.Error("a server that is not listed may get requests 3 s after the table service's recovery")
	}
	c.TableRecovered(at(20*time.Second), at(15*time.Second)) // after another outage
	c.RemoveServer(at(20*time.Second), "plain1", 30)
	if !c.usable(at(20*time.Second), "plain1") {
		t.Error("a server whose entry may have lapsed in the outage gets no requests")
	}
}

func TestServers_OlderEntryDoesNotMakeADrainingServerReady(t *testing.T) {
	c := newTestCore(t, "d1")
	entry := BackendServer{ID: "plain0", Born: 1, Sequence: 7, Service: "plain", Address: "x:1", Slots: 8, State: Ready}
	draining := entry
	draining.Sequence, draining.State = 8, Draining
	if !c.PutServer(at(time.Second), draining) || c.PutServer(at(2*time.Second), entry) {
		t.Fatal("a newer entry was rejected or an older one accepted")
	}
	if c.usable(at(2*time.Second), "plain0") {
		t.Fatal("a draining server is used after an older entry of it")
	}
	c.RemoveServer(at(3*time.Second), "plain0", 0)
	if c.PutServer(at(4*time.Second), entry); c.usable(at(4*time.Second), "plain0") {
		t.Fatal("a server that has gone is used after an older entry of it")
	}
	ready := entry
	ready.Sequence = 9
	if !c.PutServer(at(5*time.Second), ready) || !c.usable(at(5*time.Second), "plain0") {
		t.Fatal("a server that was listed again is not used")
	}
	restarted := entry
	restarted.Born, restarted.Sequence = 2, 1
	if !c.PutServer(at(6*time.Second), restarted) || !c.usable(at(6*time.Second), "plain0") {
		t.Fatal("a new process whose sequence numbers start again is not used")
	}
}

func TestServers_GoneServerOfUnknownBirthMayBeNew(t *testing.T) {
	c := newTestCore(t, "d1")
	entry := BackendServer{ID: "new", Sequence: 7, Service: "plain", Address: "x:1", Slots: 8, State: Draining}
	c.PutServer(zero, entry)
	entry.State, entry.Sequence = Ready, 1
	if c.PutServer(at(time.Second), entry) {
		t.Fatal("an older entry of a listed server was accepted")
	}
	c.RemoveServer(at(2*time.Second), "new", 0)
	if !c.PutServer(at(3*time.Second), entry) || !c.usable(at(3*time.Second), "new") {
		t.Fatal("a server that has restarted is not used")
	}
}

func TestReceiveUpdate_OlderLocalEntryDoesNotOverrideDraining(t *testing.T) {
	a, b := newTestCore(t, "a"), newTestCore(t, "b")
	entry := BackendServer{ID: "plain0", Born: 1, Sequence: 8, Service: "plain", Address: "x:1", Slots: 8, State: Draining}
	b.PutServer(at(time.Second), entry)
	update := b.NextUpdate(at(1100 * time.Millisecond))
	a.ReceiveUpdate(at(1100*time.Millisecond), &update, 0)
	entry.State, entry.Sequence = Ready, 7
	a.PutServer(at(1200*time.Millisecond), entry)
	if a.usable(at(1300*time.Millisecond), "plain0") {
		t.Fatal("an entry older than another daemon's announcement made a draining server ready")
	}
}

func TestServers_RestartedServerHasNoCachedPrompts(t *testing.T) {
	c := newTestCore(t, "d1")
	r := testRequest("r", "/talk/x", "k3")
	r.Work = Work{Stated: true, Prompt: 5000, MaxOutput: 10, Parts: []placement.Part{{ID: 1, Tokens: 4000}, {ID: 2, Tokens: 1000}}}
	first := mustPlace(t, c, zero, mustAdmit(t, c, zero, r))
	row := c.servers.Get(first.Server)
	restarted := row.BackendServer
	restarted.Born = 2
	c.PutServer(zero, restarted)
	choice, _ := c.chooseServer(zero, mustAdmit(t, c, zero, r))
	if choice.Uncached != 5000 {
		t.Fatalf("%d tokens expected to be read on a new process, want all 5000", choice.Uncached)
	}
}
