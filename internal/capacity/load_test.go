package capacity

import (
	"fmt"
	"strings"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/core"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

const (
	organisationCount     = 4
	fullRequestsPerSecond = 5000 // with fullDaemonCount daemons
	answerTokens          = 200  // per answer
	tokenInterval         = 32 * time.Millisecond
	prefillDuration       = 300 * time.Millisecond // from the dispatch to the first tokens
	promptBytes           = 1600
	requestsPerKeyed      = 10 // one request in so many has an idempotency key
	requestTimeout        = 30 * time.Second
)

// load simulates the callers and the backend servers.
type load struct {
	on             bool
	loadRatio      float64        // 1: fullRequestsPerSecond, in proportion to the daemons
	tokensPerInput int            // a daemon outside this simulation gets one to a few
	sent           int            // requests
	answered       int            // requests
	moved          int            // requests that another daemon took over
	failed         map[string]int // by error message
	cancelledRuns  map[runKey]bool
	requestCount   int
}

// runKey identifies one attempt of a request on a backend server.
type runKey struct {
	request entity.RequestID
	attempt entity.AttemptNumber
}

// startLoad starts callers that send requests to every daemon, in proportion to
// fullRequestsPerSecond at fullDaemonCount daemons.
func (f *fleet) startLoad(tokensPerInput int) {
	f.load = load{on: true, tokensPerInput: tokensPerInput, loadRatio: 1, failed: map[string]int{}, cancelledRuns: map[runKey]bool{}}
	for _, n := range f.nodes {
		f.scheduleArrival(n)
	}
}

// scheduleArrival sends a request to a daemon after a random delay and then
// schedules the next one, until the daemon is dead or the load is off.
func (f *fleet) scheduleArrival(n *node) {
	mean := float64(time.Second) * fullDaemonCount / fullRequestsPerSecond / f.load.loadRatio
	f.schedule(time.Duration(f.rng.ExpFloat64()*mean), func() {
		if n.dead || !f.load.on {
			return
		}
		f.submitRequest(n)
		f.scheduleArrival(n)
	})
}

// submitRequest sends one request to a daemon. One request in requestsPerKeyed has
// a key; half of the requests are streamed.
func (f *fleet) submitRequest(n *node) {
	l := &f.load
	l.requestCount++
	l.sent++
	work := core.Work{
		Service:      serviceName(f.rng.IntN(f.serverCount()) / serversPerService), // services get requests in proportion to their servers
		Organisation: entity.OrganisationID(fmt.Sprintf("org-%d", f.rng.IntN(organisationCount))),
		Completion: &core.Completion{
			Prompt:    fmt.Sprintf("%08d %s", f.rng.IntN(1000), strings.Repeat("q", promptBytes-9)),
			MaxTokens: answerTokens, Seed: f.rng.Uint64(),
		},
		Priority: entity.Priority(f.rng.IntN(entity.PriorityCount)), Stream: l.requestCount%2 == 0, Repeatable: true,
	}
	if l.requestCount%requestsPerKeyed < 1 {
		work.Key = fmt.Sprintf("key-%d", l.requestCount)
	}
	n.postInput(core.Submit{
		Caller:  core.CallerID(l.requestCount),
		Request: entity.RequestID(fmt.Sprintf("01890a5d-ac96-774b-bcce-%012d", l.requestCount)), Work: work, Timeout: requestTimeout,
	})
}

// countReply counts the final outcomes that callers get.
func (l *load) countReply(r core.Reply) {
	switch {
	case r.Done != nil:
		l.answered++
	case r.Moved != nil:
		l.moved++
	case r.Failed != nil:
		l.failed[r.Failed.Error()]++
	}
}

// recordCancel marks the run of a cancelled attempt, so that its backend server
// sends no more tokens.
func (l *load) recordCancel(s core.StopAttempt) {
	if s.Cancel {
		l.cancelledRuns[runKey{s.Request, s.Attempt}] = true
	}
}

// simulateRun simulates the backend server that executes one dispatched attempt.
func (f *fleet) simulateRun(n *node, d *core.Dispatch) {
	key := runKey{d.Request, d.Attempt}
	sent, total := len(d.Prefix), d.Work.Completion.MaxTokens
	var next func()
	next = func() {
		if n.dead || f.load.cancelledRuns[key] {
			return
		}
		count := min(f.load.tokensPerInput, total-sent)
		n.postInput(core.AttemptTokens{Request: d.Request, Attempt: d.Attempt, First: sent + 1, Tokens: answerTokenTexts[:count]})
		sent += count
		if sent < total {
			f.schedule(time.Duration(f.load.tokensPerInput)*tokenInterval, next)
			return
		}
		n.postInput(core.AttemptDone{Request: d.Request, Attempt: d.Attempt, Answer: core.Answer{FinishReason: "length"}})
	}
	f.schedule(prefillDuration, next)
}

// answerTokenTexts are the token texts that every answer takes its tokens from.
var answerTokenTexts = makeTokenTexts()

func makeTokenTexts() []string {
	out := make([]string, answerTokens)
	for i := range out {
		out[i] = fmt.Sprintf("w%03d ", i)
	}
	return out
}
