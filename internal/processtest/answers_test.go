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

// TestAnswer_WholeDespiteUnsoundEngines: replies that are crossed, doubled or
// cut short never reach a caller as they are.
func TestAnswer_WholeDespiteUnsoundEngines(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{engines: 4})
	c.engineFaults(0, standin.EngineFaults{CrossedReply: true})
	c.engineFaults(1, standin.EngineFaults{DuplicateEvents: true})
	c.engineFaults(2, standin.EngineFaults{TruncateAfter: 3})
	cfg := c.loadConfig(20, 4*time.Second)
	r := c.startLoad(cfg).safe()
	if r.Answered < r.Offered/2 {
		t.Errorf("only %d of %d were answered with one sound engine of four", r.Answered, r.Offered)
	}
}

// TestAnswer_CrossedRepliesAreDropped: where every reply is in another
// request's name, nothing is taken for an answer.
func TestAnswer_CrossedRepliesAreDropped(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{})
	for i := range c.addresses.Engines {
		c.engineFaults(i, standin.EngineFaults{CrossedReply: true})
	}
	for _, p := range c.addresses.Plains {
		c.post("http://"+p.Address+"/_faults", standin.EngineFaults{CrossedReply: true})
	}
	for i := range c.daemons {
		for _, stream := range []bool{false, true} {
			if r := c.submit(i, ask{prompt: "crossed", stream: stream, deadline: 3 * time.Second}); r.answered() || r.tokens > 0 {
				t.Errorf("a crossed reply was taken for an answer: %s", r)
			}
		}
		if r := c.call(i, "crossed call", fmt.Sprint("crossed-", i)); r.answered() {
			t.Errorf("a crossed reply was taken for the answer of a call: %s", r)
		}
	}
}

// TestNotRun_OfFailingEngines: an engine that has run a request and then fails
// makes no refusal.
func TestNotRun_OfFailingEngines(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{})
	for i := range c.addresses.Engines {
		c.engineFaults(i, standin.EngineFaults{Fail: true})
	}
	for i, a := range []ask{{prompt: "failed 1"}, {prompt: "failed 2", key: "once", unrepeatable: true}} {
		a.deadline = 3 * time.Second
		r := c.submit(i, a)
		n := c.runsOf(a.prompt, c.addresses.Engines)
		if n == 0 || r.answered() || r.verdict == verdict.NotRun {
			t.Errorf("%s ran %d times: %s", a.prompt, n, r)
		}
		if a.unrepeatable && n > 1 {
			t.Errorf("%s ran %d times", a.prompt, n)
		}
	}
}

// TestNotRun_OfRefusingEngines: a refusal that precedes any work is told as
// not run, and it is true.
func TestNotRun_OfRefusingEngines(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{})
	for i := range c.addresses.Engines {
		c.engineFaults(i, standin.EngineFaults{Refuse: true})
	}
	for i, a := range []ask{
		{prompt: "refused 1"}, {prompt: "refused 2", key: "refused"}, {prompt: "refused 3", key: "once", unrepeatable: true},
	} {
		a.deadline = 3 * time.Second
		r := c.submit(i, a)
		if r.answered() || r.verdict != verdict.NotRun {
			t.Errorf("%s: %s", a.prompt, r)
		}
		if n := c.runsOf(a.prompt, c.addresses.Engines); n != 0 {
			t.Errorf("%s ran %d times", a.prompt, n)
		}
	}
}

// TestNotRun_UnderMixedFaults: daemons are killed and frozen, the platform
// loses replies and is slow; no refusal is false and nothing runs twice that
// must not.
func TestNotRun_UnderMixedFaults(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{daemons: 4})
	cfg := c.loadConfig(25, 9*time.Second)
	cfg.KeyedShare, cfg.NotRepeatableShare, cfg.AllowLost = 0.6, 0.5, true
	l := c.startLoad(cfg)
	time.Sleep(time.Second)
	c.tableFaults(standin.FaultSettings{LoseNext: 10, LoseNextWrites: 10, DelayMS: 50})
	time.Sleep(time.Second)
	c.engineFaults(0, standin.EngineFaults{Refuse: true})
	c.daemons[0].kill()
	time.Sleep(time.Second)
	c.daemons[1].freeze()
	time.Sleep(4 * time.Second)
	c.tableFaults(standin.FaultSettings{})
	c.engineFaults(0, standin.EngineFaults{})
	c.daemons[1].thaw()
	l.safe()
}

// TestNotRepeatable_OwnerFrozenPastItsLease: the owner of journal shards is
// frozen until others have taken them over, and wakes up with claims under way.
func TestNotRepeatable_OwnerFrozenPastItsLease(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{})
	cfg := c.loadConfig(25, 14*time.Second)
	cfg.NotRepeatableShare, cfg.RetryShare, cfg.AllowLost = 1, 1, true
	l := c.startLoad(cfg)
	time.Sleep(warmUp)
	c.daemons[0].freeze()
	time.Sleep(11 * time.Second) // suspicion, death and takeover are over
	c.daemons[0].thaw()
	l.safe()
}

// TestNotRepeatable_TableLosesReplies: writes take effect and their replies
// are lost.
func TestNotRepeatable_TableLosesReplies(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{})
	cfg := c.loadConfig(25, 7*time.Second)
	cfg.NotRepeatableShare, cfg.RetryShare = 1, 1
	l := c.startLoad(cfg)
	for range 6 {
		time.Sleep(time.Second)
		c.tableFaults(standin.FaultSettings{LoseNextWrites: 5})
	}
	l.safe()
}

// TestNotRepeatable_PlainCallsOfOneKeyAtTwoDaemons: both connections bring the
// same write-down at the same moment.
func TestNotRepeatable_PlainCallsOfOneKeyAtTwoDaemons(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{plainDelay: 150 * time.Millisecond, variants: true})
	const keys = 20
	replies := make([][2]reply, keys)
	var wg sync.WaitGroup
	for k := range keys {
		for n := range 2 {
			wg.Go(func() { replies[k][n] = c.call((k+n)%3, fmt.Sprint("write-down ", k), fmt.Sprint("key-", k)) })
		}
	}
	wg.Wait()
	for k, pair := range replies {
		if n := c.runsOf(fmt.Sprint("write-down ", k), c.addresses.Plains); n != 1 {
			t.Errorf("write-down %d ran %d times", k, n)
		}
		if !pair[0].answered() || !pair[1].answered() || pair[0].text != pair[1].text {
			t.Errorf("write-down %d: %s; %s", k, pair[0], pair[1])
		}
	}
}

// TestNotRepeatable_CallerRetriesAfterItsDaemonDied: the daemon that has sent
// write-downs to the backend servers dies while they run. Their callers send
// them again, under the same keys, to other daemons.
func TestNotRepeatable_CallerRetriesAfterItsDaemonDied(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{plainDelay: 2500 * time.Millisecond})
	const keys = 24
	var wg sync.WaitGroup
	for k := range keys {
		wg.Go(func() { c.callUntilAnswered(k%3, fmt.Sprint("write-down ", k), fmt.Sprint("key-", k)) })
	}
	time.Sleep(time.Second)
	victim, most := 0, 0
	for i := range c.daemons {
		if n := c.dispatches(i); n > most {
			victim, most = i, n
		}
	}
	c.daemons[victim].kill()
	if most == 0 {
		t.Fatal("no daemon has sent anything to a backend server")
	}
	wg.Wait()
	for k := range keys {
		if n := c.runsOf(fmt.Sprint("write-down ", k), c.addresses.Plains); n > 1 {
			t.Errorf("write-down %d ran %d times", k, n)
		}
	}
}

// callUntilAnswered sends a write-down to one daemon after another until one
// of them says more than that it was not run.
func (c *cluster) callUntilAnswered(i int, body, key string) {
	const tries = 8
	for n := range tries {
		r := c.call((i+n)%len(c.daemons), body, key)
		if r.err == nil && (r.code == "" || r.verdict != verdict.NotRun) {
			return
		}
		time.Sleep(time.Second)
	}
}

// dispatches counts the attempts that a daemon has sent to backend servers.
func (c *cluster) dispatches(i int) int {
	n := 0
	for _, e := range c.events(i, timeline.Filter{}) {
		if e.Event.Number == event.AttemptDispatched {
			n++
		}
	}
	return n
}

// TestIdempotent_AnswersAgree: each engine answers differently, daemons die
// and freeze, the table loses replies; all answers for a key are the same.
func TestIdempotent_AnswersAgree(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{daemons: 4, variants: true})
	cfg := c.loadConfig(25, 10*time.Second)
	cfg.KeyedShare, cfg.NotRepeatableShare, cfg.RetryShare, cfg.AllowLost = 1, 0, 1, true
	l := c.startLoad(cfg)
	time.Sleep(warmUp)
	c.tableFaults(standin.FaultSettings{LoseNextWrites: 8})
	c.daemons[0].kill()
	time.Sleep(time.Second)
	c.daemons[1].freeze()
	time.Sleep(7 * time.Second)
	c.daemons[1].thaw()
	l.safe()
}

// TestTable_DownForAWhile: unkeyed work goes on; keyed work is refused, within
// a bounded time and not at its deadline, as not run and with a time to come
// back; afterwards it is served again.
func TestTable_DownForAWhile(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{})
	if r := c.submit(0, ask{prompt: "before", key: "before"}); !r.answered() {
		t.Fatal(r)
	}
	c.tableFaults(standin.FaultSettings{Down: true})
	for i := range c.daemons {
		if r := c.submit(i, ask{prompt: "unkeyed"}); !r.answered() {
			t.Errorf("unkeyed: %s", r)
		}
		a := ask{prompt: fmt.Sprint("keyed ", i), key: fmt.Sprint("key-", i), unrepeatable: true, deadline: 30 * time.Second}
		r := c.submit(i, a)
		if r.status != http.StatusServiceUnavailable || r.verdict != verdict.NotRun || r.retryMS <= 0 {
			t.Errorf("keyed: %s, retry after %d ms", r, r.retryMS)
		}
		if r.took > 15*time.Second {
			t.Errorf("keyed: refused only after %s", r.took)
		}
		if n := c.runsOf(a.prompt, c.addresses.Engines); n != 0 {
			t.Errorf("keyed %d ran %d times", i, n)
		}
	}
	if r := c.submit(1, ask{prompt: "before", key: "before"}); !r.answered() {
		t.Errorf("committed before: %s", r)
	}
	c.tableFaults(standin.FaultSettings{})
	c.await(20*time.Second, "keyed work to be served again", func() bool {
		return c.submit(0, ask{prompt: "after", key: "after"}).answered()
	})
}

// TestCutOff_DaemonAnswersBeforeTheDeadline: a daemon that no other daemon
// hears, but that reaches the table, gives keyed and unkeyed requests their final
// answer, be it an error, rather than hold them until their deadline.
func TestCutOff_DaemonAnswersBeforeTheDeadline(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{})
	c.network.isolate(0, len(c.daemons), true)
	time.Sleep(8 * time.Second)
	const requests = 24
	replies := make([]reply, requests)
	var wg sync.WaitGroup
	for i := range requests {
		wg.Go(func() {
			a := ask{prompt: fmt.Sprint("cut off ", i), deadline: 30 * time.Second}
			if i%2 == 0 {
				a.key = fmt.Sprint("cut-off-", i)
			}
			replies[i] = c.submit(0, a)
		})
	}
	wg.Wait()
	for i, r := range replies {
		refused := r.verdict == verdict.NotRun && r.code != ""
		final := r.answered() || r.code != ""
		if r.err != nil || r.took > 20*time.Second || !final {
			t.Errorf("request %d: %s", i, r)
		}
		if n := c.runsOf(fmt.Sprint("cut off ", i), c.addresses.Engines); refused && n > 0 {
			t.Errorf("request %d was told as not run and ran", i)
		}
	}
}

// TestConviction_CrashingContent: content that kills each engine that runs it,
// sent again under new ids, is refused on every daemon; innocents are served.
func TestConviction_CrashingContent(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{})
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { c.reviveEngines(stop) })
	t.Cleanup(func() {
		close(stop)
		wg.Wait()
	})
	cfg := c.loadConfig(10, 14*time.Second)
	cfg.KeyedShare, cfg.NotRepeatableShare = 0, 0
	l := c.startLoad(cfg)
	guilty := ask{prompt: "please " + standin.CrashMarker + " now", deadline: 5 * time.Second}
	c.await(35*time.Second, "the conviction on every daemon", func() bool {
		for i := range c.daemons {
			if c.submit(i, guilty).code != "convicted" {
				return false
			}
		}
		return true
	})
	before := c.runsOf(guilty.prompt, c.addresses.Engines)
	for i := range c.daemons {
		r := c.submit(i, guilty)
		if r.status != http.StatusUnprocessableEntity || r.verdict != verdict.NotRun {
			t.Errorf("after the conviction: %s", r)
		}
	}
	if after := c.runsOf(guilty.prompt, c.addresses.Engines); after != before {
		t.Errorf("%d runs after the conviction", after-before)
	}
	r := l.safe()
	for _, code := range r.Codes {
		if code.Code == "convicted" {
			t.Errorf("%d innocents were convicted", code.Count)
		}
	}
	if r.Answered < r.Offered*8/10 {
		t.Errorf("only %d of %d innocents were answered", r.Answered, r.Offered)
	}
}

// reviveEngines starts crashed engines again, as their hosts would.
func (c *cluster) reviveEngines(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(300 * time.Millisecond):
		}
		for _, e := range c.addresses.Engines {
			c.backend("/_restart", e.ID)
		}
	}
}
