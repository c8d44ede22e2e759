package core

import (
	"strings"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/system/membership"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// requestIDSeparator separates the random part of a request ID from the ID of
// the daemon that accepted the request.
const requestIDSeparator = "~"

// maxSuccessorHops bounds the number of successive hand-overs that are followed
// to find a request.
const maxSuccessorHops = 8

// NewRequestID returns a request ID made of a random part and the ID of the
// daemon that accepts the request.
func NewRequestID(random string, daemon entity.InstanceID) entity.RequestID {
	return entity.RequestID(random + requestIDSeparator + string(daemon))
}

// acceptingDaemon returns the daemon named in a request ID, or "" if none is.
func acceptingDaemon(id entity.RequestID) entity.InstanceID {
	_, daemon, _ := strings.Cut(string(id), requestIDSeparator)
	return entity.InstanceID(daemon)
}

// handleFetch attaches a caller to a request that was accepted earlier, or
// redirects it to the daemon that should have the request.
func (c *Core) handleFetch(in Fetch) {
	r := c.requests.Get(in.Request)
	if r != nil && r.work.Organisation == in.Organisation {
		r.addFollower(follower{
			caller: in.Caller, stream: in.Stream, sentCount: in.After, sum: in.Sum, sumUnverified: in.After > 0,
		})
		c.callers[in.Caller] = r.id
		c.out.Replies = append(c.out.Replies, Reply{Caller: in.Caller, Accepted: &Accepted{Request: r.id}})
		c.markChanged(r)
		return
	}
	if m, ok := c.locateRequest(in.Request); r == nil && ok {
		c.out.Replies = append(c.out.Replies, Reply{
			Caller: in.Caller, Moved: &Moved{Request: in.Request, Address: m.CallerAddr},
		})
		return
	}
	c.out.Replies = append(c.out.Replies, Reply{Caller: in.Caller, Failed: errUnknownRequest()})
}

// errUnknownRequest returns the error for a request that is not known here. Its
// verdict is MayHaveRun, as nothing is known about the request's execution.
func errUnknownRequest() error {
	return verdict.New(verdict.MayHaveRun, "unknown-request", "no such request here")
}

// errCancelled returns the outcome of a cancelled request.
func errCancelled(r *request) error {
	return verdict.New(r.executionVerdict(), "cancelled", "the request was cancelled")
}

// locateRequest finds the other daemon that should have a request: the one that
// accepted it, or the last in the chain of its successors.
func (c *Core) locateRequest(id entity.RequestID) (membership.Member, bool) {
	d := acceptingDaemon(id)
	for range maxSuccessorHops {
		next, moved := c.successors[d]
		if !moved {
			break
		}
		d = next
	}
	if d == c.Self.ID {
		return membership.Member{}, false
	}
	m, ok := c.knownMember(d)
	return m, ok && m.CallerAddr != ""
}

// handleCancel cancels a request of the caller's organisation.
func (c *Core) handleCancel(in Cancel) {
	r := c.requests.Get(in.Request)
	if r == nil || r.work.Organisation != in.Organisation {
		c.out.Replies = append(c.out.Replies, Reply{Caller: in.Caller, Failed: errUnknownRequest()})
		return
	}
	c.failRequest(r, errCancelled(r))
	c.out.Replies = append(c.out.Replies, Reply{Caller: in.Caller, Accepted: &Accepted{Request: r.id}})
}

// handleCallerGone removes a caller whose connection has closed. The request
// continues, since the caller may reconnect and fetch the answer.
func (c *Core) handleCallerGone(in CallerGone) {
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
