package core

import (
	"fmt"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/system/membership"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

const (
	// fullRetryDelay is the retry delay sent to callers when the daemon has
	// MaxRequests unfinished requests.
	fullRetryDelay = 500 * time.Millisecond
	// leavingRetryDelay is the retry delay sent to callers that should use
	// another daemon, because this one is leaving or isolated, or cannot reach
	// the owner of a key.
	leavingRetryDelay = 50 * time.Millisecond
	// ownerReachTimeout is how long an accepted request waits for the owner of
	// its key while no other daemon is alive.
	ownerReachTimeout = 5 * time.Second
)

// handleSubmit accepts or refuses a new request.
func (c *Core) handleSubmit(in Submit) {
	if err := c.admit(&in); err != nil {
		c.out.Replies = append(c.out.Replies, Reply{Caller: in.Caller, Failed: err})
		c.out.Events = append(c.out.Events, event.Event{
			Number: event.RequestRefused, At: c.now, Service: in.Work.Service,
			Detail: string(verdict.CodeOf(err)),
		})
		return
	}
	r := c.newRequest(in.Request, in.Work, in.Timeout)
	r.addFollower(follower{caller: in.Caller, stream: in.Work.Stream})
	c.callers[in.Caller] = r.id
	c.out.Replies = append(c.out.Replies, Reply{Caller: in.Caller, Accepted: &Accepted{Request: r.id}})
	c.emit(event.RequestAccepted, r, "")
	c.Retry.RecordFirstAttempt(c.now, r.work.Service)
	c.routeRequest(r)
}

// admit checks a new request against the configuration and the limits, and sets
// the fields that the service document determines.
func (c *Core) admit(in *Submit) error {
	if c.drain.active {
		return LeavingError(verdict.NotRun)
	}
	if !c.Configuration.Current(c.now) {
		err := verdict.New(verdict.NotRun, "isolated", "this daemon cannot know whether its configuration is current")
		return verdict.WithRetryAfter(err, leavingRetryDelay)
	}
	if c.unfinished >= c.Limits.MaxRequests {
		err := verdict.New(verdict.NotRun, "no-capacity", "this daemon holds as many requests as it may")
		return verdict.WithRetryAfter(err, fullRetryDelay)
	}
	service, ok := c.Configuration.Service(in.Work.Service)
	if !ok {
		return verdict.New(verdict.NotRun, "unknown-service", fmt.Sprintf("no service %q", in.Work.Service))
	}
	if err := applyServiceRules(&in.Work, service); err != nil {
		return err
	}
	if in.Work.Key != "" && c.ownerUnreachable(&in.Work) {
		err := verdict.New(verdict.NotRun, "isolated", "this daemon hears none of the others, and another one owns the key")
		return verdict.WithRetryAfter(err, leavingRetryDelay)
	}
	in.Work.Digest = in.Work.computeDigest()
	return c.Admission.Admit(c.now, in.Work.Service, in.Work.Organisation, in.Work.Priority, in.Work.cost())
}

// LeavingError returns the error for a request that this daemon cannot serve, or serve to
// its end, because it is stopping. The verdict says whether the request may have run.
func LeavingError(v verdict.Verdict) error {
	err := verdict.New(v, "leaving", "this daemon is stopping; use another address")
	return verdict.WithRetryAfter(err, leavingRetryDelay)
}

// ownerUnreachable reports whether the key belongs to a daemon that is
// suspected while no other daemon is alive either. Then this daemon is probably
// cut off: it does not hold the suspects dead yet, so nobody can take over the
// key's shard. Refusing the request is safe, as nothing of it has been sent.
func (c *Core) ownerUnreachable(w *Work) bool {
	owner := c.Journal.Owner(w.journalKey())
	m, known := c.knownMember(owner)
	if owner == c.Self.ID || !known || m.State != membership.Suspect {
		return false
	}
	near, far := c.livePeers()
	return len(near)+len(far) == 0
}

// applyServiceRules checks the work against the service document. It sets the
// priority and, for plain services, whether the call is repeatable.
func applyServiceRules(w *Work, s *entity.Service) error {
	share := s.Organisation(w.Organisation)
	if share == nil {
		return verdict.New(verdict.NotRun, "forbidden", fmt.Sprintf("organisation %q may not use service %q", w.Organisation, s.Name))
	}
	w.Priority = max(w.Priority, share.TopPriority)
	if (s.Kind == entity.KindModel) != (w.Completion != nil) {
		return verdict.New(verdict.NotRun, "bad-request", fmt.Sprintf("service %q is of kind %q", s.Name, s.Kind))
	}
	if w.Call != nil {
		w.Repeatable = s.Repeatable(w.Call.Method, w.Call.Path)
	}
	if !w.Repeatable && w.Key == "" {
		return verdict.New(verdict.NotRun, "bad-request", "work that is not repeatable needs an Idempotency-Key")
	}
	return nil
}

// newRequest adds the row of an accepted request.
func (c *Core) newRequest(id entity.RequestID, w Work, timeout time.Duration) *request {
	r := &request{id: id, work: w, acceptedAt: c.now, deadline: c.now.Add(timeout)}
	c.requests.Put(id, r)
	c.unfinished++
	c.wakeBy(r, r.deadline)
	return r
}

// adoptRequest adds the row of a request that another daemon has accepted. Both
// daemons may run it for a short time, so its attempt numbers start at a random
// value to differ from those of the other daemon.
func (c *Core) adoptRequest(id entity.RequestID, w Work, timeout time.Duration) *request {
	const randomBits, localBits = 20, 8
	r := c.newRequest(id, w, timeout)
	r.lastAttempt = entity.AttemptNumber(c.Rand.Uint32N(1<<randomBits)) << localBits
	return r
}

// routeRequest passes a request without a key on to the grant system, and one
// with a key to the journal of the daemon that owns it.
func (c *Core) routeRequest(r *request) {
	if !r.keyed() {
		c.startRequest(r)
		return
	}
	owner := c.Journal.Owner(r.work.journalKey())
	if owner == c.Self.ID {
		c.startInJournal(r)
		return
	}
	if c.ownerUnreachable(&r.work) {
		c.awaitOwner(r)
		return
	}
	c.relayToOwner(r, owner)
}

// awaitOwner keeps a request whose owner is unreachable until ownerReachTimeout
// after its acceptance, and then fails it. The caller can send it to another
// daemon.
func (c *Core) awaitOwner(r *request) {
	if c.now.Sub(r.acceptedAt) < ownerReachTimeout {
		c.rerouteLater(r)
		return
	}
	c.failOwnerUnreachable(r)
}

// failOwnerUnreachable ends a request whose owner is unreachable.
func (c *Core) failOwnerUnreachable(r *request) {
	code := verdict.Code("isolated")
	if r.mayHaveRun {
		code = "outcome-unknown"
	}
	c.failRequest(r, verdict.New(r.executionVerdict(), code, "this daemon hears none of the others, and another one owns the key"))
}
