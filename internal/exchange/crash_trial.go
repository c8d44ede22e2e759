package exchange

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/system/quarantine"
)

// A part of a prompt that is refused takes the requests of many callers with it, and
// completes no more. So a request with it is let through where another content explains the
// deaths, and now and then: if it completes, the part is cleared. Whole requests that are
// refused are not tried.

const (
	// trialStagger is the time by which each daemon waits longer for a trial than the one
	// ranked before it, so that the others hear of a trial before their own.
	trialStagger = time.Second
	// maxOpenTrials is the number of requests with content whose deaths another one explains
	// that may run before the result of one is known. Daemons that have not heard of each
	// other's may let one more through.
	maxOpenTrials = 1
)

// ContentTrial says that a request with refused content has been let through.
type ContentTrial struct {
	Digest    entity.Digest `cbor:"1,keyasint"`
	Ago       time.Duration `cbor:"2,keyasint,omitempty"` // from the trial to the sending of the message
	Explained bool          `cbor:"3,keyasint,omitempty"` // see quarantine.Trial
}

// datedTrial is a trial of some content.
type datedTrial struct {
	quarantine.Trial
	digest entity.Digest
}

// undatedTrials returns trials as a message that is sent now states them.
func undatedTrials(now time.Time, list []datedTrial) []ContentTrial {
	var out []ContentTrial
	for _, t := range list {
		out = append(out, ContentTrial{t.digest, now.Sub(t.At), t.Explained})
	}
	return out
}

// pastTrials returns the trials of the contents that some deaths are about.
func (c *Core) pastTrials(deaths []datedDeath) []datedTrial {
	var out []datedTrial
	for i, d := range deaths {
		if i > 0 && deaths[i-1].Digest == d.Digest {
			continue // a further death of the same content
		}
		for _, t := range c.crash.registry.Trials(d.Digest) {
			out = append(out, datedTrial{t, d.Digest})
		}
	}
	return out
}

// checkContents returns the refusal of a request for one of its contents, if there is one. If
// all its refused contents may be tried, it returns the trials instead.
func (c *Core) checkContents(now time.Time, t *Ticket) (trials []datedTrial, refusal *Refusal) {
	for _, d := range t.contents {
		switch {
		case !c.crash.quarantined(now, d):
		case isPart(d) && c.explainedTrialOpen(now, d, t.contents):
			trials = append(trials, datedTrial{quarantine.Trial{At: now, Explained: true}, d})
		case isPart(d) && c.trialDue(now, d):
			trials = append(trials, datedTrial{quarantine.Trial{At: now}, d})
		default:
			return nil, &Refusal{Status: Unavailable, Code: "crashes-backend-servers", RetryAfter: quarantinedRetryDelay, Inputs: ShortDigest(d)}
		}
	}
	return trials, nil
}

// explainedTrialOpen reports whether a request may run to confirm that another content, which
// it does not have, explains the deaths under one that it has.
func (c *Core) explainedTrialOpen(now time.Time, d entity.Digest, held []entity.Digest) bool {
	registry := c.crash.registry
	return registry.OpenTrials(now, d) < maxOpenTrials && registry.Explained(now, d, held)
}

// trialDue reports whether this daemon may let a request with some refused content through.
func (c *Core) trialDue(now time.Time, d entity.Digest) bool {
	due := c.crash.registry.NextTrial(d)
	return !now.Before(due.Add(time.Duration(c.rankOfSelf(now)) * trialStagger))
}

// startTrials records that a request with refused contents is sent to a backend server, and
// announces it.
func (c *Core) startTrials(now time.Time, t *Ticket, server entity.BackendServerID, trials []datedTrial) {
	t.trials = trials
	for _, trial := range trials {
		c.crash.registry.RecordTrial(trial.digest, trial.Trial)
		c.crash.trials.add(trial)
		c.logEvent(event.Event{Number: event.RefusedContentTried, Request: t.Request.ID, Backend: server, Attrs: []event.Attr{
			event.A("content", ShortDigest(trial.digest)), event.A("explained", trial.Explained),
			event.A("deaths", c.crash.registry.Deaths(now, trial.digest)),
		}})
	}
}

// cancelTrials forgets the trials of a request that has not run.
func (c *Core) cancelTrials(t *Ticket) {
	for _, trial := range t.trials {
		c.crash.registry.RemoveTrial(trial.digest, trial.Trial)
		c.crash.trials.drop(func(announced datedTrial) bool { return announced == trial })
	}
	t.trials = nil
}
