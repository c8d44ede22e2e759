// Package quarantine finds content that crashes the backend servers that run
// it, whatever request ids it comes under.
//
// When a backend server dies, all content that it was running is watched: it
// is spread over the pool, so that few such contents meet again. Content that
// was running on two backend servers when they died is suspect and runs alone.
// If a backend server dies while it runs there alone, the content is convicted
// and refused; if it completes, it is cleared. Another death near
// the one that would convict puts the verdict off to the next run alone.
package quarantine

import (
	"cmp"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// Config holds the limits. Zero values stand for the defaults.
type Config struct {
	Settle         time.Duration // wait for other deaths before a conviction
	BurstWindow    time.Duration // deaths this near to each other may have one cause
	BurstServers   int           // that many of one data centre are a burst
	SuspectExpiry  time.Duration
	Expiry         time.Duration // of convictions
	MaxSuspects    int
	MaxConvictions int
	MaxDeaths      int
}

const (
	defaultSettle         = 2 * time.Second
	defaultBurstWindow    = 2 * time.Second
	defaultBurstServers   = 3
	defaultSuspectExpiry  = time.Hour
	defaultExpiry         = 6 * time.Hour
	defaultMaxSuspects    = 4096
	defaultMaxConvictions = 1024
	defaultMaxDeaths      = 256
)

// Standing is what is held against a digest.
type Standing uint8

const (
	// Innocent content runs anywhere.
	Innocent Standing = iota
	// Watched content has seen one death and is kept apart from others like it.
	Watched
	// Suspect content runs alone.
	Suspect
	// Settling content has killed a backend server alone; it waits until it
	// is known whether others died of another cause.
	Settling
	// Convicted content is refused.
	Convicted
)

// Death says that content was running on a backend server when it died.
type Death struct {
	Digest     entity.Digest
	Backend    entity.BackendServerID
	DataCentre entity.DataCentreID
	Alone      bool
}

// Conviction is refused content. The higher version counts: it is the time of
// the conviction in Unix microseconds.
type Conviction struct {
	Digest  entity.Digest
	Version int64
}

// Registry holds suspects and convictions. It is not safe for concurrent use.
type Registry struct {
	cfg         Config
	suspects    *entity.Table[entity.Digest, suspect]
	convictions *entity.Table[entity.Digest, conviction]
	deaths      []death // oldest first
	settling    []entity.Digest
}

type suspect struct {
	since   time.Time
	deaths  []death   // of different backend servers, the first maxEvidence
	alone   death     // the last death while it ran alone
	settled time.Time // zero unless settling
}

type death struct {
	backend    entity.BackendServerID
	dataCentre entity.DataCentreID
	at         time.Time
}

type conviction struct {
	version int64
	expires time.Time
	forget  time.Time // until then older news of it is ignored
}

// deadMemory is how long a death speaks against a backend server itself.
const deadMemory = time.Minute

const (
	// maxEvidence bounds the deaths that are kept for one digest.
	maxEvidence = 8
	// enoughDeaths of backend servers that ran the same content make it suspect
	// whatever else has died.
	enoughDeaths = 2
)

// New returns an empty registry.
func New(cfg Config) *Registry {
	return &Registry{
		cfg:         cfg.withDefaults(),
		suspects:    entity.NewTable[entity.Digest, suspect](),
		convictions: entity.NewTable[entity.Digest, conviction](),
	}
}

func (c Config) withDefaults() Config {
	c.Settle = cmp.Or(c.Settle, defaultSettle)
	c.BurstWindow = cmp.Or(c.BurstWindow, defaultBurstWindow)
	c.SuspectExpiry = cmp.Or(c.SuspectExpiry, defaultSuspectExpiry)
	c.Expiry = cmp.Or(c.Expiry, defaultExpiry)
	c.BurstServers = cmp.Or(c.BurstServers, defaultBurstServers)
	c.MaxSuspects = cmp.Or(c.MaxSuspects, defaultMaxSuspects)
	c.MaxConvictions = cmp.Or(c.MaxConvictions, defaultMaxConvictions)
	c.MaxDeaths = cmp.Or(c.MaxDeaths, defaultMaxDeaths)
	return c
}

// Died records that content was running on a backend server when it died.
func (r *Registry) Died(now time.Time, d Death) {
	again := r.Dead(now, d.Backend)
	seen := r.recordDeath(now, d)
	s := r.suspects.Get(d.Digest)
	if s == nil {
		r.makeRoom(now)
		s = &suspect{since: now}
		r.suspects.Put(d.Digest, s)
	}
	s.since = now
	s.addEvidence(seen)
	if !d.Alone || again || !s.settled.IsZero() {
		return
	}
	s.alone = seen
	s.settled = seen.at.Add(r.cfg.Settle)
	r.settling = append(r.settling, d.Digest)
}

// Lost records the death of a backend server whose content is not accused.
func (r *Registry) Lost(now time.Time, id entity.BackendServerID, dc entity.DataCentreID) {
	r.recordDeath(now, Death{Backend: id, DataCentre: dc})
}

// Dead reports whether a backend server has died lately. It may still be
// dead, so that a failure there proves nothing about content.
func (r *Registry) Dead(now time.Time, id entity.BackendServerID) bool {
	for _, d := range r.deaths {
		if d.backend == id && now.Sub(d.at) <= deadMemory {
			return true
		}
	}
	return false
}

// Cleared records that content has completed. News of its deaths before that
// no longer counts.
func (r *Registry) Cleared(d entity.Digest) { r.suspects.Delete(d) }

// Suspected reports whether there is anything against the content, so that
// its completion is news.
func (r *Registry) Suspected(d entity.Digest) bool { return r.suspects.Get(d) != nil }

// Deaths returns how many different backend servers have died while they ran the
// content, since it last completed.
func (r *Registry) Deaths(now time.Time, d entity.Digest) int {
	s := r.suspects.Get(d)
	if s == nil || now.Sub(s.since) > r.cfg.SuspectExpiry {
		return 0
	}
	return len(s.deaths)
}

// Convict takes a conviction of another daemon. Version 0 stands for news
// without a version, which never renews a conviction that has expired.
func (r *Registry) Convict(now time.Time, c Conviction) {
	known := r.convictions.Get(c.Digest)
	if known != nil && c.Version <= known.version {
		return
	}
	made := now
	if c.Version > 0 {
		made = time.UnixMicro(c.Version)
	}
	row := &conviction{version: c.Version, expires: made.Add(r.cfg.Expiry)}
	row.forget = row.expires.Add(r.cfg.Expiry)
	if !row.expires.After(now) {
		return
	}
	r.dropOldestConviction()
	r.convictions.Put(c.Digest, row)
	r.suspects.Delete(c.Digest)
}

// Check returns the standing of content.
func (r *Registry) Check(now time.Time, d entity.Digest) Standing {
	if c := r.convictions.Get(d); c != nil && now.Before(c.expires) {
		return Convicted
	}
	s := r.suspects.Get(d)
	if s == nil || now.Sub(s.since) > r.cfg.SuspectExpiry {
		return Innocent
	}
	if !s.settled.IsZero() {
		return Settling
	}
	if len(s.deaths) < enoughDeaths {
		return r.afterOneDeath(s)
	}
	return Suspect
}

// afterOneDeath returns the standing of content that has seen one death: watched,
// unless that death was one of several of its data centre.
func (r *Registry) afterOneDeath(s *suspect) Standing {
	if r.near(s, s.deaths[0])+1 >= r.cfg.BurstServers {
		return Innocent
	}
	return Watched
}

// Settled returns when settling content will be judged.
func (r *Registry) Settled(d entity.Digest) time.Time {
	if s := r.suspects.Get(d); s != nil {
		return s.settled
	}
	return time.Time{}
}

// Tick judges settled content and returns the new convictions.
func (r *Registry) Tick(now time.Time) []Conviction {
	var out []Conviction
	waiting := r.settling[:0]
	for _, d := range r.settling {
		s := r.suspects.Get(d)
		switch {
		case s == nil || s.settled.IsZero():
		case s.settled.After(now):
			waiting = append(waiting, d)
		case r.near(s, s.alone) > 0:
			s.settled = time.Time{}
		default:
			c := Conviction{Digest: d, Version: now.UnixMicro()}
			r.Convict(now, c)
			out = append(out, c)
		}
	}
	r.settling = waiting
	return out
}

// Deadline returns when Tick is due; zero: not before the next death.
func (r *Registry) Deadline() time.Time {
	var due time.Time
	for _, d := range r.settling {
		s := r.suspects.Get(d)
		if s == nil || s.settled.IsZero() {
			continue
		}
		if due.IsZero() || s.settled.Before(due) {
			due = s.settled
		}
	}
	return due
}

// recordDeath adds the death of a backend server unless it is known, and
// returns it with the time at which it was first known.
func (r *Registry) recordDeath(now time.Time, d Death) death {
	for _, known := range r.deaths {
		if known.backend == d.Backend && now.Sub(known.at) <= deadMemory {
			return known
		}
	}
	if len(r.deaths) >= r.cfg.MaxDeaths {
		r.deaths = append(r.deaths[:0], r.deaths[1:]...)
	}
	added := death{backend: d.Backend, dataCentre: d.DataCentre, at: now}
	r.deaths = append(r.deaths, added)
	return added
}

// near counts the deaths near to one in time and in its data centre, without
// those of backend servers that ran the content itself: they do not excuse it.
func (r *Registry) near(s *suspect, d death) int {
	n := 0
	for _, other := range r.deaths {
		near := other.at.Sub(d.at).Abs() <= r.cfg.BurstWindow
		if near && other.dataCentre == d.dataCentre && !s.evident(other.backend) {
			n++
		}
	}
	return n
}

func (s *suspect) evident(id entity.BackendServerID) bool {
	for _, known := range s.deaths {
		if known.backend == id {
			return true
		}
	}
	return false
}

func (s *suspect) addEvidence(d death) {
	if len(s.deaths) < maxEvidence && !s.evident(d.backend) {
		s.deaths = append(s.deaths, d)
	}
}

// makeRoom drops expired suspects, or the oldest, when the table is full.
func (r *Registry) makeRoom(now time.Time) {
	if r.suspects.Len() < r.cfg.MaxSuspects {
		return
	}
	var oldest entity.Digest
	var since time.Time
	for _, d := range r.suspects.Keys() {
		s := r.suspects.Get(d)
		if now.Sub(s.since) > r.cfg.SuspectExpiry {
			r.suspects.Delete(d)
			continue
		}
		if since.IsZero() || s.since.Before(since) {
			oldest, since = d, s.since
		}
	}
	if r.suspects.Len() >= r.cfg.MaxSuspects {
		r.suspects.Delete(oldest)
	}
}

func (r *Registry) dropOldestConviction() {
	if r.convictions.Len() < r.cfg.MaxConvictions {
		return
	}
	var oldest entity.Digest
	var forget time.Time
	r.convictions.All(func(d entity.Digest, c *conviction) bool {
		if forget.IsZero() || c.forget.Before(forget) {
			oldest, forget = d, c.forget
		}
		return true
	})
	r.convictions.Delete(oldest)
}
