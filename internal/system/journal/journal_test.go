package journal

import (
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

func TestJournal_SecondRequestWithAKeyJoinsTheFirst(t *testing.T) {
	w, a := newWorldWithOwner(t, "a")
	a.submit(newKeyedRequest("r1", "k", true))
	a.submit(newKeyedRequest("r2", "k", true))
	w.run(time.Second)
	a.submit(newKeyedRequest("r3", "k", true))
	w.run(time.Second)
	for _, id := range []entity.RequestID{"r1", "r2", "r3"} {
		w.wantCommitted(id, "r1")
	}
	if w.dispatched["r1"] != 1 || w.dispatched["r2"]+w.dispatched["r3"] != 0 {
		t.Fatalf("dispatches %v, want one of r1 and no other", w.dispatched)
	}
}

func TestJournal_KeyWithOtherContentIsRefused(t *testing.T) {
	w, a := newWorldWithOwner(t, "a")
	a.submit(newKeyedRequest("r1", "k", true))
	other := newKeyedRequest("r2", "k", true)
	other.Digest = entity.Digest{2}
	a.submit(other)
	w.run(time.Second)
	other.Request = "r3"
	a.submit(other)
	w.run(time.Second)
	w.wantRefused("r2", verdict.NotRun, CodeKeyReused)
	a.submit(newKeyedRequest("r4", "k", false))
	w.run(time.Second)
	w.wantRefused("r3", verdict.NotRun, CodeKeyReused)
	w.wantRefused("r4", verdict.NotRun, CodeKeyReused)
}

func TestJournal_NotOwnerNamesTheOwner(t *testing.T) {
	w, _ := newWorldWithOwner(t, "a", "b")
	w.setMembers("a", "b")
	w.run(10 * time.Second)
	b := w.daemons[1]
	b.submit(newKeyedRequest("r1", "k", true))
	w.run(time.Second)
	w.wantRefused("r1", verdict.NotRun, CodeNotOwner)
	if got := w.finalOutcomes["r1"].Owner; got != "a" {
		t.Fatalf("refusal names owner %q, want a", got)
	}
}

// One caller's two connections reach two daemons that both believe that they
// own the shard.
func TestJournal_TwoOwnersCommitOneAnswer(t *testing.T) {
	w, a := newWorldWithOwner(t, "a", "b")
	a.runDuration = 20 * time.Second
	a.submit(newKeyedRequest("r1", "k", true))
	w.run(time.Second)
	b := w.daemons[1]
	b.setMembers("b")
	w.run(10 * time.Second)
	b.submit(newKeyedRequest("r2", "k", true))
	w.run(20 * time.Second)
	w.wantCommitted("r2", "r2")
	// Daemon a learned of the takeover before it finished r1, when b had not committed
	// an answer yet.
	w.wantRefused("r1", verdict.MayHaveRun, CodeNotOwner)
}

func TestJournal_PreviousOwnerGivesTheNewOwnersAnswer(t *testing.T) {
	w, a := newWorldWithOwner(t, "a", "b")
	a.runDuration = 20 * time.Second
	a.submit(newKeyedRequest("r1", "k", true))
	w.run(time.Second)
	a.pausedUntil = w.now.Add(30 * time.Second)
	b := w.daemons[1]
	b.setMembers("b")
	w.run(10 * time.Second)
	b.submit(newKeyedRequest("r2", "k", true))
	w.run(30 * time.Second)
	w.wantCommitted("r2", "r2")
	w.wantCommitted("r1", "r2")
}

// The previous owner learns of the takeover when its own append fails.
func TestJournal_FailedAppendGivesTheNewOwnersAnswer(t *testing.T) {
	w := newWorld(t, 1)
	a := w.addDaemon("a", func(c *Config) { c.RefreshInterval = time.Hour })
	b := w.addDaemon("b", nil)
	a.setMembers("a")
	w.run(time.Second)
	a.runDuration = 20 * time.Second
	a.submit(newKeyedRequest("r1", "k", true))
	a.submit(newKeyedRequest("r2", "other", true))
	b.setMembers("b")
	w.run(10 * time.Second)
	b.submit(newKeyedRequest("r3", "k", true))
	w.run(20 * time.Second)
	w.wantCommitted("r3", "r3")
	w.wantCommitted("r1", "r3")
	w.wantRefused("r2", verdict.MayHaveRun, CodeNotOwner)
}

// The owner is paused after Claimed and before its dispatch, until after a
// takeover.
func TestJournal_PausedOwnersClaimIsNotRunBySuccessor(t *testing.T) {
	w, a := newWorldWithOwner(t, "a", "b")
	a.executorDelay = func() time.Duration { return 10 * time.Millisecond }
	a.submit(newKeyedRequest("r1", "k", false))
	for !a.hasOutcome("r1", Claimed) {
		w.run(time.Millisecond)
	}
	a.pausedUntil = w.now.Add(30 * time.Second)
	b := w.daemons[1]
	b.setMembers("b")
	w.run(10 * time.Second)
	b.submit(newKeyedRequest("r2", "k", false))
	w.run(30 * time.Second)
	w.wantRefused("r2", verdict.MayHaveRun, CodeOutcomeUnknown)
	w.wantRefused("r1", verdict.MayHaveRun, CodeNotOwner)
	if w.dispatched["r1"] != 1 || w.dispatched["r2"] != 0 {
		t.Fatalf("dispatches %v, want one of r1 and no other", w.dispatched)
	}
}

// The owner is paused before its claim reaches the store. The claim must not be
// committed after the takeover.
func TestJournal_PausedOwnerCommitsNothingAfterTakeover(t *testing.T) {
	w, a := newWorldWithOwner(t, "a", "b")
	w.store.fault = func(d *daemon, op provider.Operation) fault {
		if d == a && isAppend(op) {
			return fault{effectDelay: 15 * time.Second}
		}
		return fault{}
	}
	a.submit(newKeyedRequest("r1", "k", false))
	w.run(100 * time.Millisecond)
	a.pausedUntil = w.now.Add(20 * time.Second)
	b := w.daemons[1]
	b.setMembers("b")
	w.run(10 * time.Second)
	b.submit(newKeyedRequest("r2", "k", false))
	w.run(20 * time.Second)
	w.wantCommitted("r2", "r2")
	if a.hasOutcome("r1", Claimed) || w.dispatched["r1"] != 0 {
		t.Fatal("the previous owner's claim was committed or its request dispatched")
	}
}

func TestJournal_SuccessorResumesRepeatableClaim(t *testing.T) {
	w, a := newWorldWithOwner(t, "a", "b")
	a.manual = true
	a.submit(newKeyedRequest("r1", "k", true))
	w.run(10 * time.Millisecond)
	w.schedule(0, a, func() { a.journal.Claim(w.now, "r1", Claim{Attempt: 3, Backend: "gpu"}) })
	w.run(100 * time.Millisecond)
	a.dead = true
	b := w.daemons[1]
	b.setMembers("b")
	w.run(10 * time.Second)
	b.submit(newKeyedRequest("r2", "k", true))
	w.run(time.Second)
	for _, o := range b.outcomes {
		if o.Kind == Resume && o.Claim.Request == "r1" && o.Claim.Attempt == 3 && o.Claim.Backend == "gpu" && o.Claim.Owner == "a" {
			w.wantCommitted("r2", "r2")
			return
		}
	}
	t.Fatalf("no Resume of r1's claim in outcomes %+v", b.outcomes)
}

// A new owner's claim cannot be committed. Since the stream that it was to
// resume may have run, the request must not be refused as not run.
func TestJournal_ResumedRequestIsNotRefusedAsNotRun(t *testing.T) {
	w, a := newWorldWithOwner(t, "a", "b")
	a.manual = true
	a.submit(newKeyedRequest("r1", "k", true))
	w.run(10 * time.Millisecond)
	w.schedule(0, a, func() { a.journal.Claim(w.now, "r1", Claim{Attempt: 1, Backend: "gpu"}) })
	w.run(100 * time.Millisecond)
	a.dead = true
	b := w.daemons[1]
	b.manual = true
	b.setMembers("b")
	w.run(10 * time.Second)
	b.submit(newKeyedRequest("r2", "k", true))
	w.run(100 * time.Millisecond)
	w.store.down = true
	w.schedule(0, b, func() { b.journal.Claim(w.now, "r2", Claim{Attempt: 1, Backend: "gpu"}) })
	w.run(2 * defaultStoreTimeout)
	w.wantRefused("r2", verdict.MayHaveRun, CodeStoreUnavailable)
}

func TestJournal_StalePollKeepsTheNewerOwner(t *testing.T) {
	w, a := newWorldWithOwner(t, "a", "b", "c")
	w.store.snapshot()
	a.dead = true
	b, c := w.daemons[1], w.daemons[2]
	b.setMembers("b")
	w.run(10 * time.Second)
	c.setMembers("a", "b", "c")
	w.run(10 * time.Second)
	w.store.stale = true
	w.run(time.Minute)
	if got := c.journal.Owner(newKey("k")); got != "b" {
		t.Fatalf("owner %q, want b", got)
	}
}

func TestJournal_ClaimGivenUpUndispatchedMayRunAgain(t *testing.T) {
	w, a := newWorldWithOwner(t, "a", "b")
	a.giveUp = func() bool { return true }
	a.submit(newKeyedRequest("r1", "k", false))
	w.run(time.Second)
	a.dead = true
	b := w.daemons[1]
	b.setMembers("b")
	w.run(10 * time.Second)
	b.submit(newKeyedRequest("r2", "k", false))
	w.run(time.Second)
	w.wantCommitted("r2", "r2")
}

// A write takes effect, but its reply is lost.
func TestJournal_LostReplyIsResolvedByReading(t *testing.T) {
	w, a := newWorldWithOwner(t, "a")
	sends := map[string]int{}
	w.store.fault = func(_ *daemon, op provider.Operation) fault {
		if !isAppend(op) {
			return fault{}
		}
		sends[op.Token]++
		return fault{loseReply: sends[op.Token] == 1}
	}
	a.submit(newKeyedRequest("r1", "k", false))
	w.run(3 * time.Second)
	w.wantCommitted("r1", "r1")
	for token, n := range sends {
		if n != 1 {
			t.Fatalf("append %s was sent %d times", token, n)
		}
	}
}

// Stale reads lack what was just written, so nothing may be decided by them.
func TestJournal_StaleReadsDecideNothing(t *testing.T) {
	w, a := newWorldWithOwner(t, "a", "b")
	w.store.snapshot()
	w.store.stale = true
	replyLost := false
	w.store.fault = func(_ *daemon, op provider.Operation) fault {
		f := fault{loseReply: isAppend(op) && !replyLost}
		replyLost = replyLost || f.loseReply
		return f
	}
	a.submit(newKeyedRequest("r1", "k", false))
	w.run(3 * time.Second)
	w.wantCommitted("r1", "r1")
	a.dead = true
	b := w.daemons[1]
	b.setMembers("b")
	w.run(10 * time.Second)
	b.submit(newKeyedRequest("r2", "k", false))
	w.run(time.Second)
	w.wantCommitted("r2", "r1")
}

// A write takes effect only after its reply was reported lost and a read did
// not find it.
func TestJournal_DelayedWriteTakesEffectOnce(t *testing.T) {
	w, a := newWorldWithOwner(t, "a")
	first := true
	w.store.fault = func(_ *daemon, op provider.Operation) fault {
		if !isAppend(op) || !first {
			return fault{}
		}
		first = false
		return fault{loseReply: true, effectDelay: 80 * time.Millisecond}
	}
	a.submit(newKeyedRequest("r1", "k", false))
	w.run(3 * time.Second)
	w.wantCommitted("r1", "r1")
	if n := len(w.store.query(provider.Operation{Partition: batchPartition(0), Limit: 10, Consistent: true})); n != 2 {
		t.Fatalf("the shard has %d rows, want a claim and an answer", n)
	}
}

// A claim whose reply is lost is given up while the table service is down. The
// journal contains the claim, so it must be recorded as given up once the table
// service answers again.
func TestJournal_GivenUpClaimIsRecordedAfterOutage(t *testing.T) {
	w, a := newWorldWithOwner(t, "a", "b")
	w.store.fault = func(_ *daemon, op provider.Operation) fault {
		if isAppend(op) && !w.store.down {
			w.schedule(10*time.Millisecond, nil, func() { w.store.down = true })
			return fault{loseReply: true}
		}
		return fault{}
	}
	a.submit(newKeyedRequest("r1", "k", false))
	w.run(time.Minute)
	w.wantRefused("r1", verdict.NotRun, CodeStoreUnavailable)
	if d, ok := verdict.RetryAfter(w.finalOutcomes["r1"].Err); !ok || d <= 0 {
		t.Fatal("the refusal of r1 has no retry delay")
	}
	w.store.fault, w.store.down = nil, false
	w.run(10 * time.Second)
	if w.dispatched["r1"] != 0 || a.hasOutcome("r1", Claimed) {
		t.Fatal("a claim that was given up was dispatched")
	}
	a.dead = true
	b := w.daemons[1]
	b.setMembers("b")
	w.run(10 * time.Second)
	b.submit(newKeyedRequest("r2", "k", false))
	w.run(time.Second)
	w.wantCommitted("r2", "r2")
}

func TestJournal_TableDownServesCommittedRefusesNew(t *testing.T) {
	w, a := newWorldWithOwner(t, "a")
	a.submit(newKeyedRequest("r1", "k", true))
	w.run(time.Second)
	w.store.down = true
	w.run(10 * time.Second)
	a.submit(newKeyedRequest("r2", "k", true))
	a.submit(newKeyedRequest("r3", "new", true))
	w.run(defaultStoreTimeout + 100*time.Millisecond)
	w.wantCommitted("r2", "r1")
	w.wantRefused("r3", verdict.NotRun, CodeStoreUnavailable)
	w.store.down = false
	w.run(10 * time.Second)
	a.submit(newKeyedRequest("r4", "new", true))
	w.run(time.Second)
	w.wantCommitted("r4", "r4")
}

// A request whose finished answer cannot be committed is refused without
// waiting for its deadline. The answer is kept and given to later requests with
// the key.
func TestJournal_FinishedAnswerIsNotHeldBack(t *testing.T) {
	w, a := newWorldWithOwner(t, "a")
	late := newKeyedRequest("r1", "k", true)
	late.Deadline = w.now.Add(time.Hour)
	soon := newKeyedRequest("r2", "soon", true)
	soon.Deadline = w.now.Add(500 * time.Millisecond)
	a.submit(late)
	a.submit(soon)
	w.run(20 * time.Millisecond)
	w.store.down = true
	w.run(600 * time.Millisecond)
	w.wantRefused("r2", verdict.Ran, CodeStoreUnavailable)
	w.run(defaultStoreTimeout)
	w.wantRefused("r1", verdict.Ran, CodeStoreUnavailable)
	a.submit(newKeyedRequest("r4", "k", true))
	w.run(defaultStoreTimeout + 100*time.Millisecond)
	w.wantRefused("r4", verdict.MayHaveRun, CodeStoreUnavailable)
	w.store.down = false
	w.run(10 * time.Second)
	a.submit(newKeyedRequest("r3", "k", true))
	w.run(time.Second)
	w.wantCommitted("r3", "r1")
}

// A request that had joined another one, which was dispatched and then given
// up, must not be refused as not run.
func TestJournal_JoinedRequestIsNotRefusedAsNotRun(t *testing.T) {
	w, a := newWorldWithOwner(t, "a")
	a.runDuration = time.Minute
	a.submit(newKeyedRequest("r1", "k", true))
	a.submit(newKeyedRequest("r2", "k", true))
	w.run(10 * time.Millisecond)
	w.store.down = true
	w.run(10 * time.Second)
	w.schedule(0, a, func() { a.journal.GiveUp(w.now, "r1", false) })
	w.finalOutcomes["r1"] = Outcome{Request: "r1", Kind: kindGivenUp}
	w.run(2 * defaultStoreTimeout)
	w.wantRefused("r2", verdict.MayHaveRun, CodeStoreUnavailable)
}

func TestJournal_LargeAnswerGoesToTheObjectStore(t *testing.T) {
	w, a := newWorldWithOwner(t, "a", "b")
	a.bodyBytes = 100_000
	a.submit(newKeyedRequest("r1", "k", true))
	w.run(time.Second)
	w.wantCommitted("r1", "r1")
	for _, row := range w.store.rows[batchPartition(0)] {
		if len(row.Value) > defaultMaxInlineBytes {
			t.Fatalf("a row has %d bytes, more than the limit for a body in a row", len(row.Value))
		}
	}
	a.dead = true
	b := w.daemons[1]
	b.setMembers("b")
	w.run(10 * time.Second)
	b.submit(newKeyedRequest("r2", "k", true))
	w.run(time.Second)
	w.wantCommitted("r2", "r1")
	if len(w.finalOutcomes["r2"].Answer.Body) < 100_000 {
		t.Fatal("the answer of r2 lacks the body from the object store")
	}
}

func TestJournal_DisownHandsOverWithoutWaitingForTakeoverDelay(t *testing.T) {
	w, a := newWorldWithOwner(t, "a", "b")
	w.setMembers("a", "b")
	w.run(10 * time.Second)
	a.submit(newKeyedRequest("r1", "k", true))
	w.run(10 * time.Millisecond)
	w.schedule(0, a, func() { a.journal.ReleaseShards(w.now) })
	w.run(500 * time.Millisecond)
	w.wantCommitted("r1", "r1")
	a.submit(newKeyedRequest("r2", "k", true))
	w.run(100 * time.Millisecond)
	w.wantRefused("r2", verdict.NotRun, CodeNotOwner)
	b := w.daemons[1]
	if got := w.finalOutcomes["r2"].Owner; got != "b" {
		t.Fatalf("owner %q, want b", got)
	}
	if !a.journal.ShardsReleased() {
		t.Fatal("daemon a has not released its shards")
	}
	b.setMembers("b")
	w.run(100 * time.Millisecond)
	b.submit(newKeyedRequest("r3", "k", true))
	w.run(100 * time.Millisecond)
	w.wantCommitted("r3", "r1")
}

// The first daemon to start takes over every shard. An idle shard that another
// daemon should own must move there, with its keys.
func TestJournal_IdleShardMovesToItsPreferredOwner(t *testing.T) {
	w := newWorld(t, 1)
	for _, id := range []entity.InstanceID{"a", "b"} {
		w.addDaemon(id, func(c *Config) { c.Shards = 8 })
	}
	w.setMembers("a")
	w.run(time.Second)
	a, b := w.daemons[0], w.daemons[1]
	a.submit(newKeyedRequest("r1", "k", true))
	w.run(time.Second)
	w.wantCommitted("r1", "r1")
	w.setMembers("a", "b")
	w.run(3 * time.Minute)
	moved := 0
	for i, s := range a.journal.shards {
		if s.state == stateOwned && s.preferredOwner != a.id {
			t.Errorf("shard %d is still owned by a", i)
		}
		if b.journal.shards[i].state == stateOwned {
			moved++
		}
	}
	if moved == 0 {
		t.Fatal("daemon b owns no shard")
	}
	next := newKeyedRequest("r2", "k", true)
	owner := a
	if a.journal.Owner(next.Key) == b.id {
		owner = b
	}
	owner.submit(next)
	w.run(time.Second)
	w.wantCommitted("r2", "r1")
}

// Two daemons that each believe the other to be gone must not take the shard
// over from each other at every poll.
func TestJournal_TakeoverBacksOff(t *testing.T) {
	w := newWorld(t, 1)
	a, b := w.addDaemon("a", nil), w.addDaemon("b", nil)
	a.setMembers("a")
	b.setMembers("b")
	w.run(10 * time.Minute)
	epoch := max(a.journal.shards[0].row.Epoch, b.journal.shards[0].row.Epoch)
	// Each daemon takes over up to 6 times while its delay doubles up to a
	// minute, and then, as jitter may halve the delay, up to 20 times in ten
	// minutes. Without increasing delays, a takeover follows each poll of 5 s.
	const maxEpoch = 2 * (6 + 20)
	if epoch < 2 || epoch > maxEpoch {
		t.Fatalf("%d takeovers in ten minutes, want 2 to %d", epoch, maxEpoch)
	}
}

// A daemon that has just started does not know its peers yet, and must not take
// over their shards.
func TestJournal_NewDaemonTakesNoShardFromItsOwner(t *testing.T) {
	w, a := newWorldWithOwner(t, "a")
	b := w.addDaemon("b", nil)
	b.setMembers("b")
	w.run(4 * time.Second)
	w.setMembers("a", "b")
	w.run(time.Minute)
	if a.journal.shards[0].state != stateOwned || a.journal.shards[0].row.Epoch != 1 {
		t.Fatalf("daemon a has lost the shard, or its epoch is %d instead of 1", a.journal.shards[0].row.Epoch)
	}
}
