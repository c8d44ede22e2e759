package core

import (
	"strings"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/system/membership"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// idSeparator parts the random half of a request id from the daemon that has
// accepted it.
const idSeparator = "~"

// maxSuccessors bounds the daemons followed from hand-over to hand-over.
const maxSuccessors = 8

// NewRequestID joins a random part and the daemon that accepts the request.
func NewRequestID(random string, daemon entity.InstanceID) entity.RequestID {
	return entity.RequestID(random + idSeparator + string(daemon))
}

// acceptedBy returns the daemon named in a request id.
func acceptedBy(id entity.RequestID) entity.InstanceID {
	_, daemon, _ := strings.Cut(string(id), idSeparator)
	return entity.InstanceID(daemon)
}

// fetch attaches a caller to a request that was accepted before.
func (c *Core) fetch(in Fetch) {
	r := c.requests.Get(in.Request)
	if r != nil && r.work.Organisation == in.Organisation {
		r.addFollower(follower{
			caller: in.Caller, stream: in.Stream, sent: in.After, sum: in.Sum, unchecked: in.After > 0,
		})
		c.callers[in.Caller] = r.id
		c.out.Replies = append(c.out.Replies, Reply{Caller: in.Caller, Accepted: &Accepted{Request: r.id}})
		c.touch(r)
		return
	}
	if m, ok := c.locate(in.Request); r == nil && ok {
		c.out.Replies = append(c.out.Replies, Reply{
			Caller: in.Caller, Moved: &Moved{Request: in.Request, Address: m.CallerAddr},
		})
		return
	}
	c.out.Replies = append(c.out.Replies, Reply{Caller: in.Caller, Failed: errUnknownRequest()})
}

// errUnknownRequest says nothing about whether the request has run.
func errUnknownRequest() error {
	return verdict.New(verdict.MayHaveRun, "unknown-request", "no such request here")
}

// errCancelled is the outcome of a cancelled request.
func errCancelled(r *request) error {
	return verdict.New(r.verdict(), "cancelled", "the request was cancelled")
}

// locate finds the other daemon that should have a request's row.
func (c *Core) locate(id entity.RequestID) (membership.Member, bool) {
	d := acceptedBy(id)
	for range maxSuccessors {
		next, moved := c.successors[d]
		if !moved {
			break
		}
		d = next
	}
	if d == c.Self.ID {
		return membership.Member{}, false
	}
	m, ok := c.member(d)
	return m, ok && m.CallerAddr != ""
}

// cancel withdraws a request for its organisation.
func (c *Core) cancel(in Cancel) {
	r := c.requests.Get(in.Request)
	if r == nil || r.work.Organisation != in.Organisation {
		c.out.Replies = append(c.out.Replies, Reply{Caller: in.Caller, Failed: errUnknownRequest()})
		return
	}
	c.fail(r, errCancelled(r))
	c.out.Replies = append(c.out.Replies, Reply{Caller: in.Caller, Accepted: &Accepted{Request: r.id}})
}

// callerGone forgets a caller. The request goes on: its caller may come back.
func (c *Core) callerGone(in CallerGone) {
	id, ok := c.callers[in.Caller]
	if !ok {
		return
	}
	delete(c.callers, in.Caller)
	r := c.requests.Get(id)
	if r != nil && r.removeCaller(in.Caller) {
		c.emit(event.CallerLost, r, "")
	}
}
