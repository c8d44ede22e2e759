package exchange

import (
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// Forwarding: a daemon that reaches no backend server of a service sends its attempts through
// another daemon that does. All decisions on the request stay with the first one: admission,
// quota, placement, retries and their budget. The other one makes the connection, and refuses
// what it must not send itself. It never forwards through a third one.

const (
	// forwarderPause is how long a daemon that has not forwarded a request gets no others.
	forwarderPause = 500 * time.Millisecond
	// maxForwarding bounds the attempts of this daemon that another one forwards at the same
	// time. The connection between the two has room for somewhat more.
	maxForwarding = 200
	// noPathRetryDelay is the time after which a request may come back that this daemon has no
	// way to send. Up to as much again is added at random.
	noPathRetryDelay = 300 * time.Millisecond
)

// forwarders returns the other daemons that reach the backend servers of a service, as far as
// is known, and have room for another attempt: those of this daemon's data centre if there are
// any.
func (c *Core) forwarders(now time.Time, service entity.ServiceName) []*peerRow {
	var near, far []*peerRow
	c.peers.All(func(_ entity.InstanceID, r *peerRow) bool {
		switch {
		case !c.recentlySeen(now, r) || !r.serving || r.leaving || now.Before(r.forwardsFrom) || r.forwarding >= maxForwarding || slices.Contains(r.unreachable, service):
		case r.DataCentre == c.cfg.Self.DataCentre:
			near = append(near, r)
		default:
			far = append(far, r)
		}
		return true
	})
	if len(near) > 0 {
		return near
	}
	return far
}

// chooseForwarder chooses the daemon that forwards the next attempt of a request, if this one
// does not reach the service: the one with fewer of its attempts of two drawn at random. It
// returns a refusal if there is none.
func (c *Core) chooseForwarder(now time.Time, t *Ticket) (*Member, *Refusal) {
	if !c.pathLost(t.Service) {
		return nil, nil
	}
	candidates := c.forwarders(now, t.Service)
	if len(candidates) == 0 || t.continues() && c.listInDoubt(now) { // the other daemon's connections prove nothing here
		spread := time.Duration(c.paths.rng.Float64() * float64(noPathRetryDelay))
		return nil, c.finalRefusal(t, "no-path", noPathRetryDelay+spread)
	}
	chosen := candidates[c.paths.rng.IntN(len(candidates))]
	if other := candidates[c.paths.rng.IntN(len(candidates))]; other.forwarding < chosen.forwarding {
		chosen = other
	}
	return &chosen.Member, nil
}

// beginForwarding counts an attempt that another daemon forwards; nil: this one sends it itself.
func (c *Core) beginForwarding(t *Ticket, forwarder *Member) {
	t.forwarder = ""
	if forwarder == nil {
		return
	}
	t.forwarder = forwarder.Name
	if row := c.peers.Get(forwarder.Name); row != nil {
		row.forwarding++
	}
}

// endForwarding counts the end of the present attempt if another daemon forwarded it. A daemon
// that has withheld one gets none for a while.
func (c *Core) endForwarding(now time.Time, t *Ticket, o Outcome) {
	if t.forwarder == "" {
		return
	}
	if o == Withheld && t.withheld < maxAttempts && len(t.tried) > 0 {
		t.withheld++
		t.tried = t.tried[:len(t.tried)-1] // another daemon may forward to the same server
	}
	row := c.peers.Get(t.forwarder)
	if row == nil {
		return
	}
	row.forwarding = max(row.forwarding-1, 0)
	if o == Withheld {
		row.forwardsFrom = now.Add(forwarderPause)
	}
}

// Forwarded identifies an attempt that this daemon forwards for another one.
type Forwarded struct {
	Process entity.ServerProcess `cbor:"1,keyasint"`
	Service entity.ServiceName   `cbor:"2,keyasint"`
	// SentAt is the true time since 1970 at which the other daemon decided on it; 0: it does
	// not know the true time.
	SentAt time.Duration `cbor:"3,keyasint,omitempty"`
}

// ForwardedBy describes the present attempt of a request to the daemon that forwards it.
func (c *Core) ForwardedBy(now time.Time, t *Ticket) Forwarded {
	f := Forwarded{Process: t.process, Service: t.Service}
	if at, known := c.TrueTime(now); known {
		f.SentAt = at
	}
	return f
}

// maxForwardAge is the age of a decision on an attempt, such as on the caller's API key, from
// which on it is not acted on any more.
const maxForwardAge = 500 * time.Millisecond

// MayForward reports whether this daemon may send an attempt for another one now.
func (c *Core) MayForward(now time.Time, f *Forwarded) bool {
	if at, known := c.TrueTime(now); known && f.SentAt > 0 && at-f.SentAt > maxForwardAge {
		return false
	}
	return !c.leaving && !c.pathLost(f.Service) && !c.hasEnded(now, f.Process) && !c.wantsNone(now, f.Process)
}

// ForwardedAnswered records the statement in the answer to an attempt that this daemon sent for
// another one at the given time.
func (c *Core) ForwardedAnswered(now time.Time, f *Forwarded, sentAt time.Time, s ServerStatement, genuine bool) {
	c.pathProved(now, f.Service, sentAt)
	c.recordStatement(now, f.Process, sentAt, s, genuine)
}

// ForwardedNotSent records that this daemon could not connect to the server of an attempt that it
// was to send for another one.
func (c *Core) ForwardedNotSent(now time.Time, f *Forwarded) {
	c.pathFailed(now, f.Service, f.Process.Server)
}
