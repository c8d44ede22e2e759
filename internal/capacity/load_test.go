package capacity

import (
	"fmt"
	"strings"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/core"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

const (
	organisations = 4
	fullRequests  = 5000 // a second at the full size
	answerTokens  = 200
	tokenInterval = 32 * time.Millisecond
	prefillTime   = 300 * time.Millisecond
	promptBytes   = 1600
	keyedOneIn    = 10 // requests with an idempotency key
	requestTime   = 30 * time.Second
)

// load plays the callers and the backend servers.
type load struct {
	on       bool
	rate     float64 // 1: in proportion to the full load
	batch    int     // tokens of one input; the real shell gets one to a few
	sent     int
	done     int
	moved    int
	failed   map[string]int
	stopped  map[streamKey]bool
	requests int
}

// streamKey names a run.
type streamKey struct {
	request entity.RequestID
	attempt entity.AttemptNumber
}

// startLoad has callers send requests in proportion to the full size.
func (f *fleet) startLoad(batch int) {
	f.load = load{on: true, batch: batch, rate: 1, failed: map[string]int{}, stopped: map[streamKey]bool{}}
	for _, n := range f.nodes {
		f.arrive(n)
	}
}

// arrive sends a request to a daemon after a random time, and so on.
func (f *fleet) arrive(n *node) {
	mean := float64(time.Second) * fullSize / fullRequests / f.load.rate
	f.after(time.Duration(f.rng.ExpFloat64()*mean), func() {
		if n.dead || !f.load.on {
			return
		}
		f.submit(n)
		f.arrive(n)
	})
}

// submit sends one request. One in ten has a key; half want a stream.
func (f *fleet) submit(n *node) {
	l := &f.load
	l.requests++
	l.sent++
	w := core.Work{
		Service:      serviceName(f.rng.IntN(f.servers()) / serversService), // in proportion to its servers
		Organisation: entity.OrganisationID(fmt.Sprintf("org-%d", f.rng.IntN(organisations))),
		Completion: &core.Completion{
			Prompt:    fmt.Sprintf("%08d %s", f.rng.IntN(1000), strings.Repeat("q", promptBytes-9)),
			MaxTokens: answerTokens, Seed: f.rng.Uint64(),
		},
		Priority: entity.Priority(f.rng.IntN(entity.PriorityCount)), Stream: l.requests%2 == 0, Repeatable: true,
	}
	if l.requests%keyedOneIn < 1 {
		w.Key = fmt.Sprintf("key-%d", l.requests)
	}
	n.post(core.Submit{
		Caller:  core.CallerID(l.requests),
		Request: entity.RequestID(fmt.Sprintf("01890a5d-ac96-774b-bcce-%012d", l.requests)), Work: w, Timeout: requestTime,
	})
}

// reply counts the final outcomes that callers see.
func (l *load) reply(r core.Reply) {
	switch {
	case r.Done != nil:
		l.done++
	case r.Moved != nil:
		l.moved++
	case r.Failed != nil:
		l.failed[r.Failed.Error()]++
	}
}

// stop ends a run that is cancelled.
func (l *load) stop(s core.StopAttempt) {
	if s.Cancel {
		l.stopped[streamKey{s.Request, s.Attempt}] = true
	}
}

// dispatch plays the backend server of one send.
func (f *fleet) dispatch(n *node, d *core.Dispatch) {
	key := streamKey{d.Request, d.Attempt}
	sent, total := len(d.Prefix), d.Work.Completion.MaxTokens
	var next func()
	next = func() {
		if n.dead || f.load.stopped[key] {
			return
		}
		count := min(f.load.batch, total-sent)
		n.post(core.AttemptTokens{Request: d.Request, Attempt: d.Attempt, First: sent + 1, Tokens: words[:count]})
		sent += count
		if sent < total {
			f.after(time.Duration(f.load.batch)*tokenInterval, next)
			return
		}
		n.post(core.AttemptDone{Request: d.Request, Attempt: d.Attempt, Answer: core.Answer{FinishReason: "length"}})
	}
	f.after(prefillTime, next)
}

// words are the tokens of every answer.
var words = makeWords()

func makeWords() []string {
	out := make([]string, answerTokens)
	for i := range out {
		out[i] = fmt.Sprintf("w%03d ", i)
	}
	return out
}
