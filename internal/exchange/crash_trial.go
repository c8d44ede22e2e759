package exchange

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

// A part of a prompt that is refused takes the requests of many callers with it, and
// completes no more. So one request with it is let through now and then: if it completes, the
// part is cleared. Whole requests that are refused are not tried.

// trialStagger is the time by which each daemon waits longer for a trial than the one ranked
// before it, so that the others hear of a trial before their own.
const trialStagger = time.Second

// ContentTrial says that a request with refused content has been let through.
type ContentTrial struct {
	Digest entity.Digest `cbor:"1,keyasint"`
	Ago    time.Duration `cbor:"2,keyasint,omitempty"` // from the trial to the sending of the message
}

// datedTrial is a trial with its time.
type datedTrial struct {
	digest entity.Digest
	at     time.Time
}

// undatedTrials returns trials as a message that is sent now states them.
func undatedTrials(now time.Time, list []datedTrial) []ContentTrial {
	var out []ContentTrial
	for _, t := range list {
		out = append(out, ContentTrial{t.digest, now.Sub(t.at)})
	}
	return out
}

// pastTrials returns the first and the last trial of each of some contents.
func (c *Core) pastTrials(deaths []datedDeath) []datedTrial {
	var out []datedTrial
	for i, d := range deaths {
		if i > 0 && deaths[i-1].Digest == d.Digest {
			continue // a further death of the same content
		}
		first, last := c.crash.registry.Trials(d.Digest)
		if first.IsZero() {
			continue
		}
		out = append(out, datedTrial{d.Digest, first})
		if last != first {
			out = append(out, datedTrial{d.Digest, last})
		}
	}
	return out
}

// checkContents returns the refusal of a request for one of its contents, if there is one. If
// trials of all its refused contents are due, it returns these instead.
func (c *Core) checkContents(now time.Time, t *Ticket) (trials []entity.Digest, refusal *Refusal) {
	for _, d := range t.contents {
		switch {
		case !c.crash.quarantined(now, d) || c.crash.registry.Explained(now, d, t.contents):
		case c.trialDue(now, d):
			trials = append(trials, d)
		default:
			return nil, &Refusal{Status: Unavailable, Code: "crashes-backend-servers", RetryAfter: quarantinedRetryDelay, Inputs: ShortDigest(d)}
		}
	}
	return trials, nil
}

// trialDue reports whether this daemon may let a request with some refused content through.
func (c *Core) trialDue(now time.Time, d entity.Digest) bool {
	if !isPart(d) {
		return false
	}
	due := c.crash.registry.NextTrial(d)
	return !now.Before(due.Add(time.Duration(c.rankOfSelf(now)) * trialStagger))
}

// startTrials records that a request with refused contents is sent to a backend server, and
// announces it.
func (c *Core) startTrials(now time.Time, t *Ticket, server entity.BackendServerID, contents []entity.Digest) {
	for _, d := range contents {
		c.crash.registry.RecordTrial(d, now)
		c.crash.trials.add(datedTrial{d, now})
		c.logEvent(event.Event{Number: event.RefusedContentTried, Request: t.Request.ID, Backend: server, Attrs: []event.Attr{
			event.A("content", ShortDigest(d)), event.A("deaths", c.crash.registry.Deaths(now, d)),
		}})
	}
}
