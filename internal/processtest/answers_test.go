package processtest

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/standin"
	"github.com/gooseberryslip/gooseberryslip/internal/timeline"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// TestAnswer_WholeDespiteUnsoundEngines: replies with a wrong request ID, with
// duplicate events or truncated never reach a caller in that form.
func TestAnswer_WholeDespiteUnsoundEngines(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{engines: 4})
	c.setEngineFaults(0, standin.EngineFaults{WrongRequestID: true})
	c.setEngineFaults(1, standin.EngineFaults{DuplicateEvents: true})
	c.setEngineFaults(2, standin.EngineFaults{TruncateAfterTokens: 3})
	cfg := c.loadConfig(20, 4*time.Second)
	r := c.startLoad(cfg).waitAndCheckProperties()
	if r.Answered < r.Offered/2 {
		t.Errorf("only %d of %d requests were answered while one of four engines had no fault", r.Answered, r.Offered)
	}
}

// TestAnswer_CrossedRepliesAreDropped: when every reply carries the ID of
// another request, none of them is accepted as an answer.
func TestAnswer_CrossedRepliesAreDropped(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{})
	for i := range c.addresses.Engines {
		c.setEngineFaults(i, standin.EngineFaults{WrongRequestID: true})
	}
	for _, p := range c.addresses.PlainServers {
		c.postToStandIn("http://"+p.Address+"/_faults", standin.EngineFaults{WrongRequestID: true})
	}
	for i := range c.daemons {
		for _, stream := range []bool{false, true} {
			if r := c.submitRequest(i, callerRequest{prompt: "crossed", stream: stream, deadline: 3 * time.Second}); r.answered() || r.tokens > 0 {
				t.Errorf("a reply with a wrong request ID was accepted as an answer: %s", r)
			}
		}
		if r := c.callPlainService(i, "crossed call", fmt.Sprint("crossed-", i)); r.answered() {
			t.Errorf("a reply with a wrong request ID was accepted as the answer of a plain call: %s", r)
		}
	}
}

// TestNotRun_OfFailingEngines: when an engine has executed a request and then
// fails, the caller does not get the verdict not-run.
func TestNotRun_OfFailingEngines(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{})
	for i := range c.addresses.Engines {
		c.setEngineFaults(i, standin.EngineFaults{Fail: true})
	}
	for i, a := range []callerRequest{{prompt: "failed 1"}, {prompt: "failed 2", key: "once", unrepeatable: true}} {
		a.deadline = 3 * time.Second
		r := c.submitRequest(i, a)
		n := c.countRuns(a.prompt, c.addresses.Engines)
		if n == 0 || r.answered() || r.verdict == verdict.NotRun {
			t.Errorf("request %q was executed %d times, want at least once and an error other than not-run: %s", a.prompt, n, r)
		}
		if a.unrepeatable && n > 1 {
			t.Errorf("request %q is not repeatable but was executed %d times", a.prompt, n)
		}
	}
}

// TestNotRun_OfRefusingEngines: when all engines refuse a request before any
// work, the caller gets the verdict not-run and no engine has executed it.
func TestNotRun_OfRefusingEngines(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{})
	for i := range c.addresses.Engines {
		c.setEngineFaults(i, standin.EngineFaults{Refuse: true})
	}
	for i, a := range []callerRequest{
		{prompt: "refused 1"}, {prompt: "refused 2", key: "refused"}, {prompt: "refused 3", key: "once", unrepeatable: true},
	} {
		a.deadline = 3 * time.Second
		r := c.submitRequest(i, a)
		if r.answered() || r.verdict != verdict.NotRun {
			t.Errorf("request %q: want an error with verdict not-run, got %s", a.prompt, r)
		}
		if n := c.countRuns(a.prompt, c.addresses.Engines); n != 0 {
			t.Errorf("request %q was refused by every engine but executed %d times", a.prompt, n)
		}
	}
}

// TestNotRun_UnderMixedFaults: daemons are killed and frozen, and the table
// service loses replies and is slow. No request with the verdict not-run was
// executed, and no request that is not repeatable is executed twice.
func TestNotRun_UnderMixedFaults(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{daemons: 4})
	cfg := c.loadConfig(25, 9*time.Second)
	cfg.KeyedShare, cfg.NotRepeatableShare, cfg.AllowLost = 0.6, 0.5, true
	l := c.startLoad(cfg)
	time.Sleep(time.Second)
	c.setTableFaults(standin.FaultSettings{DropNextReplies: 10, DropNextTransactionReplies: 10, DelayMS: 50})
	time.Sleep(time.Second)
	c.setEngineFaults(0, standin.EngineFaults{Refuse: true})
	c.daemons[0].kill()
	time.Sleep(time.Second)
	c.daemons[1].freeze()
	time.Sleep(4 * time.Second)
	c.setTableFaults(standin.FaultSettings{})
	c.setEngineFaults(0, standin.EngineFaults{})
	c.daemons[1].unfreeze()
	l.waitAndCheckProperties()
}

// TestNotRepeatable_OwnerFrozenPastItsLease: the owner of journal shards is
// frozen until its peers have taken the shards over, and then continues with
// claims that it had started before.
func TestNotRepeatable_OwnerFrozenPastItsLease(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{})
	cfg := c.loadConfig(25, 14*time.Second)
	cfg.NotRepeatableShare, cfg.ResendShare, cfg.AllowLost = 1, 1, true
	l := c.startLoad(cfg)
	time.Sleep(warmUp)
	c.daemons[0].freeze()
	time.Sleep(11 * time.Second) // the peers have suspected it, declared it dead and taken over its shards
	c.daemons[0].unfreeze()
	l.waitAndCheckProperties()
}

// TestNotRepeatable_TableLosesReplies: the table service applies writes but
// their replies are lost.
func TestNotRepeatable_TableLosesReplies(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{})
	cfg := c.loadConfig(25, 7*time.Second)
	cfg.NotRepeatableShare, cfg.ResendShare = 1, 1
	l := c.startLoad(cfg)
	for range 6 {
		time.Sleep(time.Second)
		c.setTableFaults(standin.FaultSettings{DropNextTransactionReplies: 5})
	}
	l.waitAndCheckProperties()
}

// TestNotRepeatable_PlainCallsOfOneKeyAtTwoDaemons: two daemons receive the same
// write-down under the same key at the same time; it must be executed once, and
// both callers must get the same answer.
func TestNotRepeatable_PlainCallsOfOneKeyAtTwoDaemons(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{plainDelay: 150 * time.Millisecond, distinctAnswers: true})
	const keys = 20
	replies := make([][2]reply, keys)
	var wg sync.WaitGroup
	for k := range keys {
		for n := range 2 {
			wg.Go(func() {
				replies[k][n] = c.callPlainService((k+n)%3, fmt.Sprint("write-down ", k), fmt.Sprint("key-", k))
			})
		}
	}
	wg.Wait()
	for k, pair := range replies {
		if n := c.countRuns(fmt.Sprint("write-down ", k), c.addresses.PlainServers); n != 1 {
			t.Errorf("write-down %d was executed %d times", k, n)
		}
		if !pair[0].answered() || !pair[1].answered() || pair[0].text != pair[1].text {
			t.Errorf("write-down %d: want two equal answers, got %s; and %s", k, pair[0], pair[1])
		}
	}
}

// TestNotRepeatable_CallerRetriesAfterItsDaemonDied: the daemon that has sent
// write-downs to the backend servers dies during their execution. The callers
// send them again, under the same keys, to other daemons.
func TestNotRepeatable_CallerRetriesAfterItsDaemonDied(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{plainDelay: 2500 * time.Millisecond})
	const keys = 24
	var wg sync.WaitGroup
	for k := range keys {
		wg.Go(func() { c.callUntilAnswered(k%3, fmt.Sprint("write-down ", k), fmt.Sprint("key-", k)) })
	}
	time.Sleep(time.Second)
	busiest, maxDispatches := 0, 0
	for i := range c.daemons {
		if n := c.countDispatches(i); n > maxDispatches {
			busiest, maxDispatches = i, n
		}
	}
	c.daemons[busiest].kill()
	if maxDispatches == 0 {
		t.Fatal("no daemon has dispatched a request to a backend server")
	}
	wg.Wait()
	for k := range keys {
		if n := c.countRuns(fmt.Sprint("write-down ", k), c.addresses.PlainServers); n > 1 {
			t.Errorf("write-down %d was executed %d times", k, n)
		}
	}
}

// callUntilAnswered sends a write-down to one daemon after another until one
// of them replies with an answer or with an error other than not-run.
func (c *cluster) callUntilAnswered(i int, body, key string) {
	const tries = 8
	for n := range tries {
		r := c.callPlainService((i+n)%len(c.daemons), body, key)
		if r.err == nil && (r.code == "" || r.verdict != verdict.NotRun) {
			return
		}
		time.Sleep(time.Second)
	}
}

// countDispatches counts the attempts that a daemon has sent to backend
// servers.
func (c *cluster) countDispatches(i int) int {
	n := 0
	for _, e := range c.recordedEvents(i, timeline.Filter{}) {
		if e.Event.Number == event.AttemptDispatched {
			n++
		}
	}
	return n
}

// TestIdempotent_AnswersAgree: although each engine answers differently, a
// daemon is killed, another is frozen and the table service loses replies, all
// answers for one key are the same.
func TestIdempotent_AnswersAgree(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{daemons: 4, distinctAnswers: true})
	cfg := c.loadConfig(25, 10*time.Second)
	cfg.KeyedShare, cfg.NotRepeatableShare, cfg.ResendShare, cfg.AllowLost = 1, 0, 1, true
	l := c.startLoad(cfg)
	time.Sleep(warmUp)
	c.setTableFaults(standin.FaultSettings{DropNextTransactionReplies: 8})
	c.daemons[0].kill()
	time.Sleep(time.Second)
	c.daemons[1].freeze()
	time.Sleep(7 * time.Second)
	c.daemons[1].unfreeze()
	l.waitAndCheckProperties()
}

// TestTable_DownForAWhile: while the table service is down, requests without a
// key are answered; requests with a key are refused with the verdict not-run and
// a retry delay, within a bounded time and not only at their deadline. Once the
// table service is back, requests with a key are answered again.
func TestTable_DownForAWhile(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{})
	if r := c.submitRequest(0, callerRequest{prompt: "before", key: "before"}); !r.answered() {
		t.Fatal(r)
	}
	c.setTableFaults(standin.FaultSettings{Down: true})
	for i := range c.daemons {
		if r := c.submitRequest(i, callerRequest{prompt: "unkeyed"}); !r.answered() {
			t.Errorf("request without a key during the outage: %s", r)
		}
		a := callerRequest{prompt: fmt.Sprint("keyed ", i), key: fmt.Sprint("key-", i), unrepeatable: true, deadline: 30 * time.Second}
		r := c.submitRequest(i, a)
		if r.status != http.StatusServiceUnavailable || r.verdict != verdict.NotRun || r.retryAfterMS <= 0 {
			t.Errorf("request with a key during the outage: want status 503, verdict not-run and a retry delay, got %s, retry after %d ms", r, r.retryAfterMS)
		}
		if r.duration > 15*time.Second {
			t.Errorf("request with a key during the outage: refused only after %s", r.duration)
		}
		if n := c.countRuns(a.prompt, c.addresses.Engines); n != 0 {
			t.Errorf("keyed request %d was executed %d times during the outage", i, n)
		}
	}
	if r := c.submitRequest(1, callerRequest{prompt: "before", key: "before"}); !r.answered() {
		t.Errorf("repeated request whose answer was committed before the outage: %s", r)
	}
	c.setTableFaults(standin.FaultSettings{})
	c.await(20*time.Second, "requests with a key to be answered again", func() bool {
		return c.submitRequest(0, callerRequest{prompt: "after", key: "after"}).answered()
	})
}

// TestCutOff_DaemonAnswersBeforeTheDeadline: a daemon that exchanges no messages
// with its peers but reaches the table service completes requests with and
// without a key, possibly with an error, and does not hold them until their
// deadline.
func TestCutOff_DaemonAnswersBeforeTheDeadline(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{})
	c.network.setIsolated(0, len(c.daemons), true)
	time.Sleep(8 * time.Second)
	const requests = 24
	replies := make([]reply, requests)
	var wg sync.WaitGroup
	for i := range requests {
		wg.Go(func() {
			a := callerRequest{prompt: fmt.Sprint("cut off ", i), deadline: 30 * time.Second}
			if i%2 == 0 {
				a.key = fmt.Sprint("cut-off-", i)
			}
			replies[i] = c.submitRequest(0, a)
		})
	}
	wg.Wait()
	for i, r := range replies {
		refused := r.verdict == verdict.NotRun && r.code != ""
		final := r.answered() || r.code != ""
		if r.err != nil || r.duration > 20*time.Second || !final {
			t.Errorf("request %d: want an answer or an error within 20 s, got %s", i, r)
		}
		if n := c.countRuns(fmt.Sprint("cut off ", i), c.addresses.Engines); refused && n > 0 {
			t.Errorf("request %d got the verdict not-run but was executed", i)
		}
	}
}

// TestConviction_CrashingContent: content that crashes each engine that executes
// it is sent repeatedly under new request IDs. Every daemon must eventually
// refuse it as quarantined, while all other requests are still served.
func TestConviction_CrashingContent(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{})
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { c.restartCrashedEngines(stop) })
	t.Cleanup(func() {
		close(stop)
		wg.Wait()
	})
	cfg := c.loadConfig(10, 14*time.Second)
	cfg.KeyedShare, cfg.NotRepeatableShare = 0, 0
	l := c.startLoad(cfg)
	crashing := callerRequest{prompt: "please " + standin.CrashMarker + " now", deadline: 5 * time.Second}
	c.await(35*time.Second, "the content to be quarantined on every daemon", func() bool {
		for i := range c.daemons {
			if c.submitRequest(i, crashing).code != "convicted" {
				return false
			}
		}
		return true
	})
	before := c.countRuns(crashing.prompt, c.addresses.Engines)
	for i := range c.daemons {
		r := c.submitRequest(i, crashing)
		if r.status != http.StatusUnprocessableEntity || r.verdict != verdict.NotRun {
			t.Errorf("crashing content sent after its quarantine: %s", r)
		}
	}
	if after := c.countRuns(crashing.prompt, c.addresses.Engines); after != before {
		t.Errorf("crashing content was executed %d times after its quarantine", after-before)
	}
	r := l.waitAndCheckProperties()
	for _, code := range r.Codes {
		if code.Code == "convicted" {
			t.Errorf("%d requests with harmless content were refused as quarantined", code.Count)
		}
	}
	if r.Answered < r.Offered*8/10 {
		t.Errorf("only %d of %d requests with harmless content were answered", r.Answered, r.Offered)
	}
}

// restartCrashedEngines restarts crashed engines at short intervals, as their
// hosts would.
func (c *cluster) restartCrashedEngines(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(300 * time.Millisecond):
		}
		for _, e := range c.addresses.Engines {
			c.controlBackendServer("/_restart", e.ID)
		}
	}
}
