package journal

import (
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

func TestJournal_SecondRequestWithAKeyJoinsTheFirst(t *testing.T) {
	w, a := owned(t, "a")
	a.begin(keyed("r1", "k", true))
	a.begin(keyed("r2", "k", true))
	w.run(time.Second)
	a.begin(keyed("r3", "k", true))
	w.run(time.Second)
	for _, id := range []entity.RequestID{"r1", "r2", "r3"} {
		w.wantCommitted(id, "r1")
	}
	if w.dispatched["r1"] != 1 || w.dispatched["r2"]+w.dispatched["r3"] != 0 {
		t.Fatalf("dispatched %v", w.dispatched)
	}
}

func TestJournal_KeyWithOtherContentIsRefused(t *testing.T) {
	w, a := owned(t, "a")
	a.begin(keyed("r1", "k", true))
	other := keyed("r2", "k", true)
	other.Digest = entity.Digest{2}
	a.begin(other)
	w.run(time.Second)
	other.Request = "r3"
	a.begin(other)
	w.run(time.Second)
	w.wantRefused("r2", verdict.NotRun, CodeKeyReused)
	a.begin(keyed("r4", "k", false))
	w.run(time.Second)
	w.wantRefused("r3", verdict.NotRun, CodeKeyReused)
	w.wantRefused("r4", verdict.NotRun, CodeKeyReused)
}

func TestJournal_NotOwnerNamesTheOwner(t *testing.T) {
	w, _ := owned(t, "a", "b")
	w.members("a", "b")
	w.run(10 * time.Second)
	b := w.daemons[1]
	b.begin(keyed("r1", "k", true))
	w.run(time.Second)
	w.wantRefused("r1", verdict.NotRun, CodeNotOwner)
	if got := w.final["r1"].Owner; got != "a" {
		t.Fatalf("owner %q, want a", got)
	}
}

// One caller's two connections reach two daemons, both of which believe that
// they own the shard.
func TestJournal_TwoOwnersCommitOneAnswer(t *testing.T) {
	w, a := owned(t, "a", "b")
	a.runTime = 20 * time.Second
	a.begin(keyed("r1", "k", true))
	w.run(time.Second)
	b := w.daemons[1]
	b.members("b")
	w.run(10 * time.Second)
	b.begin(keyed("r2", "k", true))
	w.run(20 * time.Second)
	w.wantCommitted("r2", "r2")
	// The loser learned of the takeover before it finished; the answer of the
	// winner was not there yet.
	w.wantRefused("r1", verdict.MayHaveRun, CodeNotOwner)
}

func TestJournal_LoserGivesTheWinnersAnswer(t *testing.T) {
	w, a := owned(t, "a", "b")
	a.runTime = 20 * time.Second
	a.begin(keyed("r1", "k", true))
	w.run(time.Second)
	a.pausedUntil = w.now.Add(30 * time.Second)
	b := w.daemons[1]
	b.members("b")
	w.run(10 * time.Second)
	b.begin(keyed("r2", "k", true))
	w.run(30 * time.Second)
	w.wantCommitted("r2", "r2")
	w.wantCommitted("r1", "r2")
}

// The loser learns of the takeover by its own append.
func TestJournal_FailedAppendGivesTheWinnersAnswer(t *testing.T) {
	w := newWorld(t, 1)
	a := w.add("a", func(c *Config) { c.RefreshEvery = time.Hour })
	b := w.add("b", nil)
	a.members("a")
	w.run(time.Second)
	a.runTime = 20 * time.Second
	a.begin(keyed("r1", "k", true))
	a.begin(keyed("r2", "other", true))
	b.members("b")
	w.run(10 * time.Second)
	b.begin(keyed("r3", "k", true))
	w.run(20 * time.Second)
	w.wantCommitted("r3", "r3")
	w.wantCommitted("r1", "r3")
	w.wantRefused("r2", verdict.MayHaveRun, CodeNotOwner)
}

// The owner is paused between Claimed and its dispatch, and past a takeover.
func TestJournal_PausedOwnersClaimIsNotRunBySuccessor(t *testing.T) {
	w, a := owned(t, "a", "b")
	a.lag = func() time.Duration { return 10 * time.Millisecond }
	a.begin(keyed("r1", "k", false))
	for !a.has("r1", Claimed) {
		w.run(time.Millisecond)
	}
	a.pausedUntil = w.now.Add(30 * time.Second)
	b := w.daemons[1]
	b.members("b")
	w.run(10 * time.Second)
	b.begin(keyed("r2", "k", false))
	w.run(30 * time.Second)
	w.wantRefused("r2", verdict.MayHaveRun, CodeOutcomeUnknown)
	w.wantRefused("r1", verdict.MayHaveRun, CodeNotOwner)
	if w.dispatched["r1"] != 1 || w.dispatched["r2"] != 0 {
		t.Fatalf("dispatched %v", w.dispatched)
	}
}

// The owner is paused before its claim is sent: the claim must not be
// committed after the takeover.
func TestJournal_PausedOwnerCommitsNothingAfterTakeover(t *testing.T) {
	w, a := owned(t, "a", "b")
	w.store.fault = func(d *daemon, op provider.Operation) fault {
		if d == a && isAppend(op) {
			return fault{land: 15 * time.Second}
		}
		return fault{}
	}
	a.begin(keyed("r1", "k", false))
	w.run(100 * time.Millisecond)
	a.pausedUntil = w.now.Add(20 * time.Second)
	b := w.daemons[1]
	b.members("b")
	w.run(10 * time.Second)
	b.begin(keyed("r2", "k", false))
	w.run(20 * time.Second)
	w.wantCommitted("r2", "r2")
	if a.has("r1", Claimed) || w.dispatched["r1"] != 0 {
		t.Fatal("the deposed owner's claim was committed")
	}
}

func TestJournal_SuccessorResumesRepeatableClaim(t *testing.T) {
	w, a := owned(t, "a", "b")
	a.manual = true
	a.begin(keyed("r1", "k", true))
	w.run(10 * time.Millisecond)
	w.after(0, a, func() { a.journal.Claim(w.now, "r1", Claim{Attempt: 3, Backend: "gpu"}) })
	w.run(100 * time.Millisecond)
	a.dead = true
	b := w.daemons[1]
	b.members("b")
	w.run(10 * time.Second)
	b.begin(keyed("r2", "k", true))
	w.run(time.Second)
	for _, o := range b.outcomes {
		if o.Kind == Resume && o.Claim.Request == "r1" && o.Claim.Attempt == 3 && o.Claim.Backend == "gpu" && o.Claim.Owner == "a" {
			w.wantCommitted("r2", "r2")
			return
		}
	}
	t.Fatalf("no resume in %+v", b.outcomes)
}

// The claim of a successor cannot be committed; the stream that it was to
// resume may have run.
func TestJournal_ResumedRequestIsNotRefusedAsNotRun(t *testing.T) {
	w, a := owned(t, "a", "b")
	a.manual = true
	a.begin(keyed("r1", "k", true))
	w.run(10 * time.Millisecond)
	w.after(0, a, func() { a.journal.Claim(w.now, "r1", Claim{Attempt: 1, Backend: "gpu"}) })
	w.run(100 * time.Millisecond)
	a.dead = true
	b := w.daemons[1]
	b.manual = true
	b.members("b")
	w.run(10 * time.Second)
	b.begin(keyed("r2", "k", true))
	w.run(100 * time.Millisecond)
	w.store.down = true
	w.after(0, b, func() { b.journal.Claim(w.now, "r2", Claim{Attempt: 1, Backend: "gpu"}) })
	w.run(2 * defaultTryFor)
	w.wantRefused("r2", verdict.MayHaveRun, CodeStoreUnavailable)
}

func TestJournal_StalePollKeepsTheNewerOwner(t *testing.T) {
	w, a := owned(t, "a", "b", "c")
	w.store.snapshot()
	a.dead = true
	b, c := w.daemons[1], w.daemons[2]
	b.members("b")
	w.run(10 * time.Second)
	c.members("a", "b", "c")
	w.run(10 * time.Second)
	w.store.stale = true
	w.run(time.Minute)
	if got := c.journal.Owner(key("k")); got != "b" {
		t.Fatalf("owner %q, want b", got)
	}
}

func TestJournal_ClaimGivenUpUndispatchedMayRunAgain(t *testing.T) {
	w, a := owned(t, "a", "b")
	a.giveUp = func() bool { return true }
	a.begin(keyed("r1", "k", false))
	w.run(time.Second)
	a.dead = true
	b := w.daemons[1]
	b.members("b")
	w.run(10 * time.Second)
	b.begin(keyed("r2", "k", false))
	w.run(time.Second)
	w.wantCommitted("r2", "r2")
}

// A write takes effect and its reply is lost.
func TestJournal_LostReplyIsResolvedByReading(t *testing.T) {
	w, a := owned(t, "a")
	sends := map[string]int{}
	w.store.fault = func(_ *daemon, op provider.Operation) fault {
		if !isAppend(op) {
			return fault{}
		}
		sends[op.Token]++
		return fault{lose: sends[op.Token] == 1}
	}
	a.begin(keyed("r1", "k", false))
	w.run(3 * time.Second)
	w.wantCommitted("r1", "r1")
	for token, n := range sends {
		if n != 1 {
			t.Fatalf("append %s was sent %d times", token, n)
		}
	}
}

// Reads that may be stale miss what was just written.
func TestJournal_StaleReadsDecideNothing(t *testing.T) {
	w, a := owned(t, "a", "b")
	w.store.snapshot()
	w.store.stale = true
	lost := false
	w.store.fault = func(_ *daemon, op provider.Operation) fault {
		f := fault{lose: isAppend(op) && !lost}
		lost = lost || f.lose
		return f
	}
	a.begin(keyed("r1", "k", false))
	w.run(3 * time.Second)
	w.wantCommitted("r1", "r1")
	a.dead = true
	b := w.daemons[1]
	b.members("b")
	w.run(10 * time.Second)
	b.begin(keyed("r2", "k", false))
	w.run(time.Second)
	w.wantCommitted("r2", "r1")
}

// A write takes effect only after its reply was reported lost and the row was
// read again without it.
func TestJournal_DelayedWriteTakesEffectOnce(t *testing.T) {
	w, a := owned(t, "a")
	first := true
	w.store.fault = func(_ *daemon, op provider.Operation) fault {
		if !isAppend(op) || !first {
			return fault{}
		}
		first = false
		return fault{lose: true, land: 80 * time.Millisecond}
	}
	a.begin(keyed("r1", "k", false))
	w.run(3 * time.Second)
	w.wantCommitted("r1", "r1")
	if n := len(w.store.query(provider.Operation{Partition: entryPartition(0), Limit: 10, Consistent: true})); n != 2 {
		t.Fatalf("%d rows, want a claim and an answer", n)
	}
}

// A claim whose reply is lost is given up while the table is down; it stands
// in the journal and is recorded as given up once the table is back.
func TestJournal_GivenUpClaimIsRecordedAfterOutage(t *testing.T) {
	w, a := owned(t, "a", "b")
	w.store.fault = func(_ *daemon, op provider.Operation) fault {
		if isAppend(op) && !w.store.down {
			w.after(10*time.Millisecond, nil, func() { w.store.down = true })
			return fault{lose: true}
		}
		return fault{}
	}
	a.begin(keyed("r1", "k", false))
	w.run(time.Minute)
	w.wantRefused("r1", verdict.NotRun, CodeStoreUnavailable)
	if d, ok := verdict.RetryAfter(w.final["r1"].Err); !ok || d <= 0 {
		t.Fatal("no time to come back")
	}
	w.store.fault, w.store.down = nil, false
	w.run(10 * time.Second)
	if w.dispatched["r1"] != 0 || a.has("r1", Claimed) {
		t.Fatal("a claim that was given up was dispatched")
	}
	a.dead = true
	b := w.daemons[1]
	b.members("b")
	w.run(10 * time.Second)
	b.begin(keyed("r2", "k", false))
	w.run(time.Second)
	w.wantCommitted("r2", "r2")
}

func TestJournal_TableDownServesCommittedRefusesNew(t *testing.T) {
	w, a := owned(t, "a")
	a.begin(keyed("r1", "k", true))
	w.run(time.Second)
	w.store.down = true
	w.run(10 * time.Second)
	a.begin(keyed("r2", "k", true))
	a.begin(keyed("r3", "new", true))
	w.run(defaultTryFor + 100*time.Millisecond)
	w.wantCommitted("r2", "r1")
	w.wantRefused("r3", verdict.NotRun, CodeStoreUnavailable)
	w.store.down = false
	w.run(10 * time.Second)
	a.begin(keyed("r4", "new", true))
	w.run(time.Second)
	w.wantCommitted("r4", "r4")
}

// A finished answer whose commit cannot be made is not held back towards the
// deadline; it is kept and given to whoever asks later.
func TestJournal_FinishedAnswerIsNotHeldBack(t *testing.T) {
	w, a := owned(t, "a")
	late := keyed("r1", "k", true)
	late.Deadline = w.now.Add(time.Hour)
	soon := keyed("r2", "soon", true)
	soon.Deadline = w.now.Add(500 * time.Millisecond)
	a.begin(late)
	a.begin(soon)
	w.run(20 * time.Millisecond)
	w.store.down = true
	w.run(600 * time.Millisecond)
	w.wantRefused("r2", verdict.Ran, CodeStoreUnavailable)
	w.run(defaultTryFor)
	w.wantRefused("r1", verdict.Ran, CodeStoreUnavailable)
	a.begin(keyed("r4", "k", true))
	w.run(defaultTryFor + 100*time.Millisecond)
	w.wantRefused("r4", verdict.MayHaveRun, CodeStoreUnavailable)
	w.store.down = false
	w.run(10 * time.Second)
	a.begin(keyed("r3", "k", true))
	w.run(time.Second)
	w.wantCommitted("r3", "r1")
}

// A request that had joined another one, which was dispatched and given up,
// is not refused as not run.
func TestJournal_JoinedRequestIsNotRefusedAsNotRun(t *testing.T) {
	w, a := owned(t, "a")
	a.runTime = time.Minute
	a.begin(keyed("r1", "k", true))
	a.begin(keyed("r2", "k", true))
	w.run(10 * time.Millisecond)
	w.store.down = true
	w.run(10 * time.Second)
	w.after(0, a, func() { a.journal.GiveUp(w.now, "r1", false) })
	w.final["r1"] = Outcome{Request: "r1", Kind: givenUp}
	w.run(2 * defaultTryFor)
	w.wantRefused("r2", verdict.MayHaveRun, CodeStoreUnavailable)
}

func TestJournal_LargeAnswerGoesToTheObjectStore(t *testing.T) {
	w, a := owned(t, "a", "b")
	a.body = 100_000
	a.begin(keyed("r1", "k", true))
	w.run(time.Second)
	w.wantCommitted("r1", "r1")
	for _, row := range w.store.rows[entryPartition(0)] {
		if len(row.Value) > defaultInlineLimit {
			t.Fatalf("row of %d bytes", len(row.Value))
		}
	}
	a.dead = true
	b := w.daemons[1]
	b.members("b")
	w.run(10 * time.Second)
	b.begin(keyed("r2", "k", true))
	w.run(time.Second)
	w.wantCommitted("r2", "r1")
	if len(w.final["r2"].Answer.Body) < 100_000 {
		t.Fatal("the body was not loaded")
	}
}

func TestJournal_DisownHandsOverWithoutWaitingForTakeoverDelay(t *testing.T) {
	w, a := owned(t, "a", "b")
	w.members("a", "b")
	w.run(10 * time.Second)
	a.begin(keyed("r1", "k", true))
	w.run(10 * time.Millisecond)
	w.after(0, a, func() { a.journal.Disown(w.now) })
	w.run(500 * time.Millisecond)
	w.wantCommitted("r1", "r1")
	a.begin(keyed("r2", "k", true))
	w.run(100 * time.Millisecond)
	w.wantRefused("r2", verdict.NotRun, CodeNotOwner)
	b := w.daemons[1]
	if got := w.final["r2"].Owner; got != "b" {
		t.Fatalf("owner %q, want b", got)
	}
	if !a.journal.Disowned() {
		t.Fatal("the hand-over is not over")
	}
	b.members("b")
	w.run(100 * time.Millisecond)
	b.begin(keyed("r3", "k", true))
	w.run(100 * time.Millisecond)
	w.wantCommitted("r3", "r1")
}

// The first daemon to start takes every shard; an idle one that another daemon
// should own moves there, and its keys with it.
func TestJournal_IdleShardMovesToItsWantedOwner(t *testing.T) {
	w := newWorld(t, 1)
	for _, id := range []entity.InstanceID{"a", "b"} {
		w.add(id, func(c *Config) { c.Shards = 8 })
	}
	w.members("a")
	w.run(time.Second)
	a, b := w.daemons[0], w.daemons[1]
	a.begin(keyed("r1", "k", true))
	w.run(time.Second)
	w.wantCommitted("r1", "r1")
	w.members("a", "b")
	w.run(3 * time.Minute)
	moved := 0
	for i, s := range a.journal.shards {
		if s.state == stateOwned && s.wanted != a.id {
			t.Errorf("shard %d is still owned by a", i)
		}
		if b.journal.shards[i].state == stateOwned {
			moved++
		}
	}
	if moved == 0 {
		t.Fatal("no shard has moved")
	}
	next := keyed("r2", "k", true)
	owner := a
	if a.journal.Owner(next.Key) == b.id {
		owner = b
	}
	owner.begin(next)
	w.run(time.Second)
	w.wantCommitted("r2", "r1")
}

// Two daemons that each believe the other to be gone do not alternate.
func TestJournal_TakeoverBacksOff(t *testing.T) {
	w := newWorld(t, 1)
	a, b := w.add("a", nil), w.add("b", nil)
	a.members("a")
	b.members("b")
	w.run(10 * time.Minute)
	epoch := max(a.journal.shards[0].row.Epoch, b.journal.shards[0].row.Epoch)
	// With waits that double up to a minute, ten minutes hold about ten waits
	// of each daemon besides the first few; without back-off, a takeover
	// follows each poll of 5 s.
	const most = 2 * (6 + 20)
	if epoch < 2 || epoch > most {
		t.Fatalf("%d takeovers in ten minutes, want 2 to %d", epoch, most)
	}
}

// A daemon that has just started does not know its peers yet.
func TestJournal_NewDaemonLeavesOwnersAlone(t *testing.T) {
	w, a := owned(t, "a")
	b := w.add("b", nil)
	b.members("b")
	w.run(4 * time.Second)
	w.members("a", "b")
	w.run(time.Minute)
	if a.journal.shards[0].state != stateOwned || a.journal.shards[0].row.Epoch != 1 {
		t.Fatalf("epoch %d", a.journal.shards[0].row.Epoch)
	}
}
