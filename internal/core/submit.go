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
	// retryAfterFull is told to callers of a daemon that is full.
	retryAfterFull = 500 * time.Millisecond
	// retryAfterLeaving is told to callers of a daemon that takes no more.
	retryAfterLeaving = 50 * time.Millisecond
	// reachPatience is how long an accepted request waits for the owner of its
	// key while no other daemon is heard.
	reachPatience = 5 * time.Second
)

// submit admits or refuses a new request.
func (c *Core) submit(in Submit) {
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
	c.Retry.First(c.now, r.work.Service)
	c.route(r)
}

// admit checks a new request against the configuration and the limits, and
// fills in what the service document says of it.
func (c *Core) admit(in *Submit) error {
	if c.drain.on {
		err := verdict.New(verdict.NotRun, "leaving", "this daemon is stopping; use another address")
		return verdict.WithRetryAfter(err, retryAfterLeaving)
	}
	if !c.Configuration.Current(c.now) {
		err := verdict.New(verdict.NotRun, "isolated", "this daemon cannot know whether its configuration is current")
		return verdict.WithRetryAfter(err, retryAfterLeaving)
	}
	if c.active >= c.Limits.MaxRequests {
		err := verdict.New(verdict.NotRun, "no-capacity", "this daemon holds as many requests as it may")
		return verdict.WithRetryAfter(err, retryAfterFull)
	}
	service, ok := c.Configuration.Service(in.Work.Service)
	if !ok {
		return verdict.New(verdict.NotRun, "unknown-service", fmt.Sprintf("no service %q", in.Work.Service))
	}
	if err := fitToService(&in.Work, service); err != nil {
		return err
	}
	if in.Work.Key != "" && c.ownerOutOfReach(&in.Work) {
		err := verdict.New(verdict.NotRun, "isolated", "this daemon hears none of the others, and another one owns the key")
		return verdict.WithRetryAfter(err, retryAfterLeaving)
	}
	in.Work.Digest = in.Work.computeDigest()
	return c.Admission.Admit(c.now, in.Work.Service, in.Work.Organisation, in.Work.Priority, in.Work.cost())
}

// ownerOutOfReach reports whether the key belongs to a daemon that is suspected
// while no other daemon is heard either. Most likely this daemon is cut off:
// its suspects are not held dead for a while, and the key's shard cannot be
// taken over. Nothing of the request has been sent, so that it is not run.
func (c *Core) ownerOutOfReach(w *Work) bool {
	owner := c.Journal.Owner(w.journalKey())
	m, known := c.member(owner)
	if owner == c.Self.ID || !known || m.State != membership.Suspect {
		return false
	}
	near, far := c.livePeers()
	return len(near)+len(far) == 0
}

// fitToService checks the work against the service document and sets the
// priority and, for plain services, whether the call is repeatable.
func fitToService(w *Work, s *entity.Service) error {
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
	c.active++
	c.wakeBy(r, r.deadline)
	return r
}

// adoptRequest adds the row of a request that another daemon has accepted.
// Two daemons may for a moment both run it, so that its attempts get numbers
// that the other one does not use.
func (c *Core) adoptRequest(id entity.RequestID, w Work, timeout time.Duration) *request {
	const randomBits, ownBits = 20, 8
	r := c.newRequest(id, w, timeout)
	r.last = entity.AttemptNumber(c.Rand.Uint32N(1<<randomBits)) << ownBits
	return r
}

// route gives a request to whoever decides about it: the journal of the
// owner of its key, or the queue for a grant.
func (c *Core) route(r *request) {
	if !r.keyed() {
		c.start(r)
		return
	}
	owner := c.Journal.Owner(r.work.journalKey())
	if owner == c.Self.ID {
		c.begin(r)
		return
	}
	if c.ownerOutOfReach(&r.work) {
		c.awaitOwner(r)
		return
	}
	c.relay(r, owner)
}

// awaitOwner keeps a request whose owner is out of reach for a short time, and
// then gives it up. Its caller can send it again elsewhere.
func (c *Core) awaitOwner(r *request) {
	if c.now.Sub(r.acceptedAt) < reachPatience {
		c.reroute(r)
		return
	}
	c.failOutOfReach(r)
}

// failOutOfReach gives up a request whose owner is out of reach.
func (c *Core) failOutOfReach(r *request) {
	code := verdict.Code("isolated")
	if r.mayHaveRun {
		code = "outcome-unknown"
	}
	c.fail(r, verdict.New(r.verdict(), code, "this daemon hears none of the others, and another one owns the key"))
}
