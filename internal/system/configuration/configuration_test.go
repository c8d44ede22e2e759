package configuration

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

func newEdit(op string, service entity.ServiceName, weight int, read uint64) Change {
	return Change{Operation: op, Service: service, Text: documentText(service, weight), ReadRevision: read, Author: "anna"}
}

func weightOf(c *Configuration, service entity.ServiceName) int {
	s, ok := c.Service(service)
	if !ok {
		return 0
	}
	return s.Organisations[0].Weight
}

func TestConfiguration_ChangeReachesOtherDaemon(t *testing.T) {
	w := newWorld(t, 2)
	w.run(time.Second)
	first := w.mustApply(0, newEdit("op1", "prices", 1, 0))
	w.mustApply(0, newEdit("op2", "prices", 2, first))
	w.run(10 * time.Second)
	if got := weightOf(w.daemons[1], "prices"); got != 2 {
		t.Fatalf("weight %d in force on the other daemon, want 2", got)
	}
	w.mustApply(1, Change{Operation: "op3", Service: "prices", ReadRevision: 2, Author: "anna"})
	w.run(10 * time.Second)
	if _, ok := w.daemons[0].Service("prices"); ok || w.daemons[0].Revision() != 3 {
		t.Fatalf("deleted service still in force, or revision %d, want 3", w.daemons[0].Revision())
	}
}

func TestConfiguration_ConflictShowsBothTexts(t *testing.T) {
	w := newWorld(t, 2)
	w.run(time.Second)
	w.mustApply(0, newEdit("op1", "prices", 1, 0))
	w.apply(0, newEdit("op2", "prices", 2, 1))
	w.apply(1, newEdit("op3", "prices", 3, 1))
	w.run(ApplyTimeout)
	won, lost := w.outcomes["op2"], w.outcomes["op3"]
	if won.Status != Applied {
		won, lost = lost, won
	}
	if won.Status != Applied || lost.Status != Conflict {
		t.Fatalf("%+v\n%+v", won, lost)
	}
	if lost.CurrentDocument.Revision != won.Revision || !strings.Contains(lost.SubmittedText, "weight") {
		t.Fatalf("conflict outcome %+v lacks a text or has the wrong revision", lost)
	}
}

func TestConfiguration_ChangesOfTwoServicesBothApplied(t *testing.T) {
	w := newWorld(t, 2)
	w.run(time.Second)
	w.apply(0, newEdit("op1", "prices", 1, 0))
	w.apply(1, newEdit("op2", "forecast", 1, 0))
	w.run(ApplyTimeout)
	a, b := w.outcomes["op1"], w.outcomes["op2"]
	if a.Status != Applied || b.Status != Applied || a.Revision == b.Revision {
		t.Fatalf("%+v\n%+v", a, b)
	}
}

func TestConfiguration_RacingServicesDoNotShareServer(t *testing.T) {
	w := newWorld(t, 2)
	w.run(time.Second)
	second := newEdit("op2", "forecast", 1, 0)
	second.Text = strings.Replace(second.Text, "forecast-1", "prices-1", 1)
	w.apply(0, newEdit("op1", "prices", 1, 0))
	w.apply(1, second)
	w.run(ApplyTimeout)
	a, b := w.outcomes["op1"].Status, w.outcomes["op2"].Status
	if (a != Applied || b != Refused) && (a != Refused || b != Applied) {
		t.Fatalf("outcomes %s and %s, want one applied and one refused", a, b)
	}
}

func TestConfiguration_LostReplyIsResolved(t *testing.T) {
	w := newWorld(t, 1)
	w.run(time.Second)
	w.table.loseReply = func() bool { return true }
	w.mustApply(0, newEdit("op1", "prices", 1, 0))
	if n := w.table.acceptedCount("op1"); n != 1 {
		t.Fatalf("op1 accepted %d times, want 1", n)
	}
}

func TestConfiguration_LostReplyIsResolvedAfterAnotherChange(t *testing.T) {
	w := newWorld(t, 2)
	w.run(time.Second)
	w.table.loseReply = func() bool { return true }
	w.apply(0, newEdit("op1", "prices", 1, 0))
	w.run(8 * time.Millisecond) // the change is written and its reply not yet delivered
	w.table.loseReply = func() bool { return false }
	w.apply(1, newEdit("op2", "prices", 2, 1))
	w.run(ApplyTimeout)
	if o := w.outcomes["op1"]; o.Status != Applied || o.Revision != 1 {
		t.Fatalf("outcome of op1 %+v, of op2 %+v; want op1 applied as revision 1", o, w.outcomes["op2"])
	}
	if o := w.outcomes["op2"]; o.Status != Applied {
		t.Fatalf("outcome of op2 %+v, want applied", o)
	}
}

func TestConfiguration_LostReplyIsResolvedAfterDeletion(t *testing.T) {
	w := newWorld(t, 2)
	w.run(time.Second)
	w.table.loseReply = func() bool { return true }
	w.apply(0, newEdit("op1", "prices", 1, 0))
	w.run(8 * time.Millisecond)
	w.table.loseReply = func() bool { return false }
	w.apply(1, Change{Operation: "op2", Service: "prices", ReadRevision: 1})
	w.run(ApplyTimeout)
	if n := w.table.acceptedCount("op1"); n != 1 || w.outcomes["op1"].Revision != 1 {
		t.Fatalf("op1 accepted %d times with outcome %+v, want once as revision 1", n, w.outcomes["op1"])
	}
}

func TestConfiguration_DeletedServiceIsCreatedAnew(t *testing.T) {
	w := newWorld(t, 1)
	w.run(time.Second)
	w.mustApply(0, newEdit("op1", "prices", 1, 0))
	w.mustApply(0, Change{Operation: "op2", Service: "prices", ReadRevision: 1})
	d, _ := w.daemons[0].Document("prices")
	if got := w.mustApply(0, newEdit("op3", "prices", 3, d.Revision)); got != 3 || !d.Deleted {
		t.Fatalf("new service has revision %d, want 3, after document %+v, want deleted", got, d)
	}
}

func TestConfiguration_TableDownEndsAsUnavailable(t *testing.T) {
	w := newWorld(t, 1)
	w.run(time.Second)
	w.table.down = true
	w.apply(0, newEdit("op1", "prices", 1, 0))
	w.run(ApplyTimeout)
	if o := w.outcomes["op1"]; o.Status != Unavailable || o.MayHaveTakenEffect {
		t.Fatalf("%+v", o)
	}
	w.table.down = false
	w.run(time.Minute)
	if n := w.table.acceptedCount("op1"); n != 0 {
		t.Fatalf("op1 accepted %d times after it ended as unavailable", n)
	}
}

func TestConfiguration_StaleReplicaDoesNotRevert(t *testing.T) {
	w := newWorld(t, 1)
	w.run(time.Second)
	w.mustApply(0, newEdit("op1", "prices", 1, 0))
	for k, row := range w.table.rows {
		w.table.staleRows[k] = row
	}
	w.mustApply(0, newEdit("op2", "prices", 2, 1))
	w.startDaemon(0)
	w.run(time.Second)
	if got := weightOf(w.daemons[0], "prices"); got != 2 || !w.daemons[0].Current(w.now) {
		t.Fatalf("after a restart: weight %d in force, want 2, or daemon not current", got)
	}
	// A table that was restored from an old backup must not make a daemon
	// return to an older revision.
	for k, row := range w.table.staleRows {
		w.table.rows[k] = row
	}
	w.run(time.Minute)
	if got := weightOf(w.daemons[0], "prices"); got != 2 || w.daemons[0].Revision() != 2 {
		t.Fatalf("after the table was restored from a backup: weight %d in force, want 2, or revision not 2", got)
	}
}

func TestConfiguration_CutOffDaemonTakesNoCallers(t *testing.T) {
	w := newWorld(t, 2)
	w.run(time.Second)
	w.mustApply(0, newEdit("op1", "prices", 1, 0))
	w.run(10 * time.Second)
	w.table.down = true
	w.run(DefaultStaleAfter + time.Second)
	if w.daemons[1].Current(w.now) {
		t.Fatal("daemon is current although nothing has confirmed it")
	}
	w.daemons[1].ReceivePeerRevision(w.now, 0)
	if w.daemons[1].Current(w.now) {
		t.Fatal("daemon is current after a report from a peer with an older revision")
	}
	w.daemons[1].ReceivePeerRevision(w.now, 1)
	if !w.daemons[1].Current(w.now) {
		t.Fatal("daemon is not current after confirmation by a peer")
	}
	w.run(DefaultStaleAfter + time.Second)
	w.daemons[1].ReceivePeerRevision(w.now, 2)
	if w.daemons[1].Current(w.now) {
		t.Fatal("daemon is current although a peer has reported a newer revision")
	}
	w.table.down = false
	w.run(DefaultPollInterval + time.Second)
	if !w.daemons[1].Current(w.now) {
		t.Fatal("daemon is not current after the outage")
	}
}

func TestConfiguration_BootsFromPeerWhileTableIsDown(t *testing.T) {
	w := newWorld(t, 2)
	w.run(time.Second)
	w.mustApply(0, newEdit("op1", "prices", 1, 0))
	w.mustApply(0, newEdit("op2", "forecast", 7, 0))
	w.table.down = true
	w.startDaemon(1)
	w.run(5 * time.Second)
	if w.daemons[1].Current(w.now) {
		t.Fatal("daemon is current without documents")
	}
	w.daemons[0].ReceivePeerRevision(w.now, 2)
	s, ok := w.daemons[0].DocumentsFor(w.now, w.daemons[1].Revision())
	if !ok {
		t.Fatal("current peer returns no snapshot")
	}
	w.call(1, func(c *Configuration) { c.ReceiveSnapshot(w.now, s) })
	c := w.daemons[1]
	if !c.Current(w.now) || c.Revision() != 2 || weightOf(c, "forecast") != 7 {
		t.Fatalf("daemon started from a snapshot: revision %d, current %v", c.Revision(), c.Current(w.now))
	}
	old := Snapshot{Revision: 1, Head: 1, Documents: []Document{{Service: "forecast", Revision: 1, Text: documentText("forecast", 1)}}}
	w.call(1, func(c *Configuration) { c.ReceiveSnapshot(w.now, old) })
	if c.Revision() != 2 || weightOf(c, "forecast") != 7 {
		t.Fatal("an older snapshot replaced newer documents")
	}
}

func TestConfiguration_PartialSnapshotIsNotComplete(t *testing.T) {
	w := newWorld(t, 2)
	w.run(time.Second)
	padding := "#" + strings.Repeat("x", 200<<10)
	for i := range 4 {
		ch := newEdit(fmt.Sprint("op", i), entity.ServiceName(fmt.Sprint("s", i)), 1, 0)
		ch.Text += padding
		w.mustApply(0, ch)
	}
	w.table.down = true
	w.startDaemon(1)
	w.run(time.Second)
	for step, want := range []uint64{2, 4} {
		w.daemons[0].ReceivePeerRevision(w.now, 4)
		s, _ := w.daemons[0].DocumentsFor(w.now, w.daemons[1].Revision())
		w.call(1, func(c *Configuration) { c.ReceiveSnapshot(w.now, s) })
		if got := w.daemons[1].Revision(); got != want || w.daemons[1].Current(w.now) != (want == 4) {
			t.Fatalf("step %d: revision %d, current %v", step, got, w.daemons[1].Current(w.now))
		}
	}
}

func TestConfiguration_FalseRevisionStopsSpreading(t *testing.T) {
	w := newWorld(t, 20)
	w.onHeadRaised = func(_ int, head uint64) { // delivers each revision three times, as gossip may
		for repeat := range 3 {
			to := w.rand.IntN(len(w.daemons))
			w.scheduleAt(w.now.Add(time.Duration(repeat+1)*time.Second), func() {
				w.call(to, func(c *Configuration) { c.ReceiveHead(w.now, head) })
			})
		}
	}
	w.run(time.Second)
	w.mustApply(0, newEdit("op1", "prices", 1, 0))
	w.call(0, func(c *Configuration) { c.ReceiveHead(w.now, math.MaxUint64) })
	w.run(time.Minute)
	reads := w.table.reads
	w.run(time.Minute)
	for i, c := range w.daemons {
		if c.HeadRevision() != 1 || !c.Current(w.now) {
			t.Errorf("daemon %d: head %d, current %v", i, c.HeadRevision(), c.Current(w.now))
		}
	}
	if idle := w.table.reads - reads; idle > len(w.daemons)*15 {
		t.Errorf("%d table reads per minute after the false report, too many", idle)
	}
	w.mustApply(0, newEdit("op2", "prices", 2, 1))
	w.run(MaxPollInterval)
	if got := weightOf(w.daemons[1], "prices"); got != 2 {
		t.Errorf("weight %d in force on another daemon, want 2", got)
	}
}

func TestConfiguration_UnreadableDocumentLeavesOthers(t *testing.T) {
	w := newWorld(t, 1)
	w.run(time.Second)
	w.mustApply(0, newEdit("op1", "prices", 1, 0))
	w.daemons[0].installDocument(w.now, Document{Service: "prices", Revision: 2, Text: "colour = 1"})
	if got := weightOf(w.daemons[0], "prices"); got != 1 {
		t.Fatalf("weight %d in force, want the previous document's 1", got)
	}
}

func TestConfiguration_RefusesFaultyChange(t *testing.T) {
	w := newWorld(t, 1)
	w.run(time.Second)
	w.mustApply(0, newEdit("op1", "prices", 1, 0))
	managed := strings.Replace(documentText("prices", 1), `kind = "plain"`, "kind = \"plain\"\nmode = \"manage\"", 1)
	managed = managed[:strings.Index(managed, "[[backend_servers]]")] + `[fleet]
max_servers = 1
slots_per_host = 1
classes = ["small"]
data_centres = ["west-a"]
port = 80
`
	for op, ch := range map[string]Change{
		"bad":      {Service: "prices", Text: "name = 1", ReadRevision: 1},
		"other":    {Service: "prices", Text: documentText("forecast", 1), ReadRevision: 1},
		"op1":      newEdit("op1", "prices", 9, 1),
		"gone":     {Service: "nothing"},
		"takeover": {Service: "prices", Text: managed, ReadRevision: 1},
	} {
		ch.Operation = op
		w.apply(0, ch)
		w.run(ApplyTimeout)
		if o := w.outcomes[op]; o.Status != Refused || len(o.Problems) == 0 {
			t.Errorf("operation %s: outcome %+v, want refused with problems", op, o)
		}
	}
	if len(w.table.accepted) != 1 {
		t.Errorf("%d changes accepted, want 1", len(w.table.accepted))
	}
}

func TestConfiguration_HistoryIsBounded(t *testing.T) {
	w := newWorld(t, 1)
	w.run(time.Second)
	for i := range uint64(HistoryLength + 5) {
		w.mustApply(0, newEdit(fmt.Sprint("op", i), "prices", int(i)+1, i))
	}
	w.call(0, func(c *Configuration) { c.History("prices") })
	w.run(time.Second)
	if len(w.history) != 1 || len(w.history[0].Documents) != HistoryLength {
		t.Fatalf("%d history answers, want 1 with HistoryLength documents", len(w.history))
	}
	for i, d := range w.history[0].Documents {
		if want := uint64(HistoryLength + 5 - i); d.Revision != want {
			t.Fatalf("history entry %d has revision %d, want %d", i, d.Revision, want)
		}
	}
}

func TestConfiguration_ResultOfUnknownOperationIgnored(t *testing.T) {
	w := newWorld(t, 1)
	w.daemons[0].TableResult(w.now, provider.Result{ID: 99})
}
