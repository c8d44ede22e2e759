// Package quarantine finds content that crashes the backend servers that run
// it, whatever request IDs it arrives under.
//
// When a backend server dies, all content that it was running becomes watched:
// it is spread over the pool, so that two watched contents seldom share a
// backend server again. Content that was running on two backend servers when
// they died becomes suspect and runs in isolation: nothing else runs on its
// backend server. If that backend server dies, the content is quarantined, which
// means refused; if the content completes, it is cleared. If other backend
// servers of the data centre die at about the same time, the deaths may have
// another cause, and the next run in isolation decides.
package quarantine

import (
	"cmp"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// Config holds the limits. Zero values stand for the defaults.
type Config struct {
	VerdictDelay time.Duration // from a death in isolation; other deaths until then may show another cause
	BurstWindow  time.Duration // deaths no further apart than this may have one cause
	BurstServers int           // number of deaths in one data centre that are a burst and make no content watched
	SuspectTTL   time.Duration // of a suspect, since its last death
	EntryTTL     time.Duration // of quarantine entries
	MaxSuspects  int
	MaxEntries   int
	MaxDeaths    int
}

const (
	defaultVerdictDelay = 2 * time.Second
	defaultBurstWindow  = 2 * time.Second
	defaultBurstServers = 3
	defaultSuspectTTL   = time.Hour
	defaultEntryTTL     = 6 * time.Hour
	defaultMaxSuspects  = 4096
	defaultMaxEntries   = 1024
	defaultMaxDeaths    = 256
)

// Status is the consequence of the deaths recorded for a digest.
type Status uint8

const (
	// Clean content runs anywhere.
	Clean Status = iota
	// Watched content has one recorded death and is kept apart from other
	// watched content.
	Watched
	// Suspect content runs in isolation.
	Suspect
	// VerdictPending content was running in isolation when its backend server
	// died. It waits for VerdictDelay, since other deaths may show another
	// cause.
	VerdictPending
	// Quarantined content is refused.
	Quarantined
)

// Entry is quarantined content. Of two entries for one digest the one with the
// higher version counts. The version is the time of the quarantine in Unix
// microseconds. Expired entries are retained for a while, so that messages with
// an older version do not renew them.
type Entry struct {
	Digest  entity.Digest
	Version int64
}

// Registry holds suspects and quarantine entries. It is not safe for concurrent use.
type Registry struct {
	cfg             Config
	suspects        *entity.Table[entity.Digest, suspect]
	cleared         *entity.Table[entity.Digest, suspect] // content that has completed, with the deaths before that
	entries         *entity.Table[entity.Digest, entry]
	deaths          []death         // oldest first
	pendingVerdicts []entity.Digest // content whose verdict may be pending
}

type entry struct {
	version       int64
	expiresAt     time.Time
	retainedUntil time.Time // entries with the earliest time are evicted first
}

// New returns an empty registry.
func New(cfg Config) *Registry {
	return &Registry{
		cfg:      cfg.withDefaults(),
		suspects: entity.NewTable[entity.Digest, suspect](),
		cleared:  entity.NewTable[entity.Digest, suspect](),
		entries:  entity.NewTable[entity.Digest, entry](),
	}
}

func (c Config) withDefaults() Config {
	c.VerdictDelay = cmp.Or(c.VerdictDelay, defaultVerdictDelay)
	c.BurstWindow = cmp.Or(c.BurstWindow, defaultBurstWindow)
	c.SuspectTTL = cmp.Or(c.SuspectTTL, defaultSuspectTTL)
	c.EntryTTL = cmp.Or(c.EntryTTL, defaultEntryTTL)
	c.BurstServers = cmp.Or(c.BurstServers, defaultBurstServers)
	c.MaxSuspects = cmp.Or(c.MaxSuspects, defaultMaxSuspects)
	c.MaxEntries = cmp.Or(c.MaxEntries, defaultMaxEntries)
	c.MaxDeaths = cmp.Or(c.MaxDeaths, defaultMaxDeaths)
	return c
}

// Quarantine applies an entry made here or by another daemon. Version 0 stands
// for an unknown version, which never replaces a known entry, so that it does
// not renew one that has expired.
func (r *Registry) Quarantine(now time.Time, e Entry) {
	known := r.entries.Get(e.Digest)
	if known != nil && e.Version <= known.version {
		return
	}
	createdAt := now
	if e.Version > 0 {
		createdAt = time.UnixMicro(e.Version)
	}
	added := &entry{version: e.Version, expiresAt: createdAt.Add(r.cfg.EntryTTL)}
	added.retainedUntil = added.expiresAt.Add(r.cfg.EntryTTL)
	if !added.expiresAt.After(now) {
		return
	}
	r.evictEntry()
	r.entries.Put(e.Digest, added)
	r.suspects.Delete(e.Digest)
}

// Check returns the status of content.
func (r *Registry) Check(now time.Time, d entity.Digest) Status {
	if e := r.entries.Get(d); e != nil && now.Before(e.expiresAt) {
		return Quarantined
	}
	s := r.suspects.Get(d)
	if s == nil || now.Sub(s.lastDeathAt) > r.cfg.SuspectTTL {
		return Clean
	}
	if !s.verdictAt.IsZero() {
		return VerdictPending
	}
	if len(s.deaths) < minSuspectDeaths {
		return r.statusAfterOneDeath(s)
	}
	return Suspect
}

// statusAfterOneDeath returns the status of content with one recorded death:
// watched, unless that death was part of a burst in its data centre.
func (r *Registry) statusAfterOneDeath(s *suspect) Status {
	if r.nearbyDeaths(s, s.deaths[0])+1 >= r.cfg.BurstServers {
		return Clean
	}
	return Watched
}

// VerdictTime returns when a pending verdict is decided; zero: none is pending.
func (r *Registry) VerdictTime(d entity.Digest) time.Time {
	if s := r.suspects.Get(d); s != nil {
		return s.verdictAt
	}
	return time.Time{}
}

// Tick decides the pending verdicts that are due and returns the new entries.
func (r *Registry) Tick(now time.Time) []Entry {
	var out []Entry
	pending := r.pendingVerdicts[:0]
	for _, d := range r.pendingVerdicts {
		s := r.suspects.Get(d)
		switch {
		case s == nil || s.verdictAt.IsZero():
		case s.verdictAt.After(now):
			pending = append(pending, d)
		case r.nearbyDeaths(s, s.isolatedDeath) > 0:
			s.verdictAt = time.Time{}
		default:
			e := Entry{Digest: d, Version: now.UnixMicro()}
			r.Quarantine(now, e)
			out = append(out, e)
		}
	}
	r.pendingVerdicts = pending
	return out
}

// Deadline returns when Tick is due; zero: not before the next death.
func (r *Registry) Deadline() time.Time {
	var due time.Time
	for _, d := range r.pendingVerdicts {
		s := r.suspects.Get(d)
		if s == nil || s.verdictAt.IsZero() {
			continue
		}
		if due.IsZero() || s.verdictAt.Before(due) {
			due = s.verdictAt
		}
	}
	return due
}

// evictEntry drops the oldest entry when the table is full.
func (r *Registry) evictEntry() {
	if r.entries.Len() < r.cfg.MaxEntries {
		return
	}
	var oldest entity.Digest
	var retainedUntil time.Time
	r.entries.All(func(d entity.Digest, e *entry) bool {
		if retainedUntil.IsZero() || e.retainedUntil.Before(retainedUntil) {
			oldest, retainedUntil = d, e.retainedUntil
		}
		return true
	})
	r.entries.Delete(oldest)
}
