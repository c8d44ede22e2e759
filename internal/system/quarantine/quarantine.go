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
	"slices"
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

// Death says that content was running on a backend server when it died.
type Death struct {
	Digest     entity.Digest
	Backend    entity.BackendServerID
	Born       int64 // start of its process, which tells the processes of one ID apart; 0: not known
	DataCentre entity.DataCentreID
	StartedAt  time.Time // of the run of the content; zero: not known
	Isolated   bool
}

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

type suspect struct {
	lastDeathAt   time.Time
	deaths        []death   // of different backend servers, the first maxDeathsPerSuspect
	isolatedDeath death     // the last death while it ran in isolation
	verdictAt     time.Time // when a pending verdict is decided; zero: none is pending
}

type death struct {
	backend    entity.BackendServerID
	born       int64
	dataCentre entity.DataCentreID
	at         time.Time
	startedAt  time.Time // see Death
}

type entry struct {
	version       int64
	expiresAt     time.Time
	retainedUntil time.Time // entries with the earliest time are evicted first
}

// deathRetention is how long after its death a backend server may still be
// dead, so that failures there do not count against content.
const deathRetention = time.Minute

const (
	// maxDeathsPerSuspect bounds the deaths that are kept for one digest.
	maxDeathsPerSuspect = 8
	// minSuspectDeaths of backend servers that ran the same content make it
	// suspect, whatever other backend servers have died.
	minSuspectDeaths = 2
)

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

// RecordDeath records that content was running on a backend server when it died.
func (r *Registry) RecordDeath(now time.Time, d Death) {
	alreadyDead := r.RecentlyDied(now, d.Backend)
	recorded := r.addDeath(now, d)
	if s := r.cleared.Get(d.Digest); s != nil && s.hasDeathOn(recorded) {
		return
	}
	s := r.suspects.Get(d.Digest)
	if s == nil {
		r.evictSuspect(now)
		s = &suspect{lastDeathAt: now}
		r.suspects.Put(d.Digest, s)
	}
	s.lastDeathAt = now
	recorded.startedAt = d.StartedAt
	s.addDeath(recorded)
	if !d.Isolated || alreadyDead || !s.verdictAt.IsZero() {
		return
	}
	s.isolatedDeath = recorded
	s.verdictAt = recorded.at.Add(r.cfg.VerdictDelay)
	r.pendingVerdicts = append(r.pendingVerdicts, d.Digest)
}

// RecordLoss records the death of a backend server for which no content is
// suspected.
func (r *Registry) RecordLoss(now time.Time, id entity.BackendServerID, dc entity.DataCentreID) {
	r.addDeath(now, Death{Backend: id, DataCentre: dc})
}

// RecentlyDied reports whether a backend server has died within
// deathRetention. It may still be dead, so that a failure there proves nothing
// about content.
func (r *Registry) RecentlyDied(now time.Time, id entity.BackendServerID) bool {
	for _, d := range r.deaths {
		if d.backend == id && now.Sub(d.at) <= deathRetention {
			return true
		}
	}
	return false
}

// Clear records that content has completed, which discards the deaths
// recorded for it. They do not count again if another daemon reports them later.
func (r *Registry) Clear(d entity.Digest) {
	s := r.suspects.Get(d)
	if s == nil {
		return
	}
	r.suspects.Delete(d)
	if r.cleared.Len() >= r.cfg.MaxSuspects {
		r.cleared.Delete(r.cleared.Keys()[0])
	}
	r.cleared.Put(d, s)
}

// RemoveDeaths discards the deaths recorded for a process of a backend server, which
// turned out to be alive.
func (r *Registry) RemoveDeaths(id entity.BackendServerID, born int64) {
	ofServer := func(d death) bool { return d.is(id, born) }
	r.deaths = slices.DeleteFunc(r.deaths, ofServer)
	for _, digest := range r.suspects.Keys() {
		s := r.suspects.Get(digest)
		s.deaths = slices.DeleteFunc(s.deaths, ofServer)
		if len(s.deaths) == 0 {
			r.suspects.Delete(digest)
		}
	}
}

// RecordedDeath is a death with the time at which it was recorded.
type RecordedDeath struct {
	Death
	At time.Time
}

// ListDeaths returns the deaths of all contents for which at least minDeaths are recorded,
// up to maxContents contents.
func (r *Registry) ListDeaths(now time.Time, minDeaths, maxContents int) []RecordedDeath {
	var out []RecordedDeath
	contents := 0
	r.suspects.All(func(digest entity.Digest, s *suspect) bool {
		if len(s.deaths) < minDeaths || now.Sub(s.lastDeathAt) > r.cfg.SuspectTTL {
			return true
		}
		for _, d := range s.deaths {
			out = append(out, RecordedDeath{Death{Digest: digest, Backend: d.backend, Born: d.born, DataCentre: d.dataCentre, StartedAt: d.startedAt}, d.at})
		}
		contents++
		return contents < maxContents
	})
	return out
}

// ListCleared returns the contents that have completed after deaths had been recorded for
// them, and for which none have been since, up to a number of them.
func (r *Registry) ListCleared(limit int) []entity.Digest {
	keys := slices.DeleteFunc(r.cleared.Keys(), r.Suspected)
	return keys[max(len(keys)-limit, 0):]
}

// Suspected reports whether a death is recorded for the content, so that its
// completion must be recorded too.
func (r *Registry) Suspected(d entity.Digest) bool { return r.suspects.Get(d) != nil }

// Deaths returns how often backend servers have died while they ran the content, since it
// last completed. Servers that died together have one cause and count once.
func (r *Registry) Deaths(now time.Time, d entity.Digest) int {
	s := r.suspects.Get(d)
	if s == nil || now.Sub(s.lastDeathAt) > r.cfg.SuspectTTL {
		return 0
	}
	deaths := slices.SortedFunc(slices.Values(s.deaths), func(a, b death) int { return a.at.Compare(b.at) })
	n := 0
	for i := range deaths {
		if i == 0 || !deaths[i].togetherWith(&deaths[i-1]) {
			n++
		}
	}
	return n
}

// togetherWindow is the longest time between the deaths of two backend servers that died
// together.
const togetherWindow = 50 * time.Millisecond

// togetherWith reports whether a backend server died together with the one that died
// before it. It did not if its run of the content began after that death, as that of a
// repeated request does.
func (d *death) togetherWith(previous *death) bool {
	return d.at.Sub(previous.at) <= togetherWindow && d.startedAt.Before(previous.at)
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

// addDeath adds the death of a backend server unless it is already recorded,
// and returns it with the time at which it was first recorded.
func (r *Registry) addDeath(now time.Time, d Death) death {
	for _, known := range r.deaths {
		if known.is(d.Backend, d.Born) && now.Sub(known.at) <= deathRetention {
			return known
		}
	}
	if len(r.deaths) >= r.cfg.MaxDeaths {
		r.deaths = append(r.deaths[:0], r.deaths[1:]...)
	}
	added := death{backend: d.Backend, born: d.Born, dataCentre: d.DataCentre, at: now}
	r.deaths = append(r.deaths, added)
	return added
}

// nearbyDeaths counts the deaths close to d in time and in the same data
// centre. Deaths of backend servers that ran the content do not count, since
// the content may have caused them.
func (r *Registry) nearbyDeaths(s *suspect, d death) int {
	n := 0
	for _, other := range r.deaths {
		nearInTime := other.at.Sub(d.at).Abs() <= r.cfg.BurstWindow
		if nearInTime && other.dataCentre == d.dataCentre && !s.hasDeathOn(other) {
			n++
		}
	}
	return n
}

// is reports whether it is the death of a process.
func (d *death) is(id entity.BackendServerID, born int64) bool {
	return d.backend == id && d.born == born
}

func (s *suspect) hasDeathOn(process death) bool {
	for _, known := range s.deaths {
		if known.is(process.backend, process.born) {
			return true
		}
	}
	return false
}

func (s *suspect) addDeath(d death) {
	if len(s.deaths) < maxDeathsPerSuspect && !s.hasDeathOn(d) {
		s.deaths = append(s.deaths, d)
	}
}

// evictSuspect drops the expired suspects when the table is full, and the
// oldest one if none has expired.
func (r *Registry) evictSuspect(now time.Time) {
	if r.suspects.Len() < r.cfg.MaxSuspects {
		return
	}
	var oldest entity.Digest
	var oldestDeathAt time.Time
	for _, d := range r.suspects.Keys() {
		s := r.suspects.Get(d)
		if now.Sub(s.lastDeathAt) > r.cfg.SuspectTTL {
			r.suspects.Delete(d)
			continue
		}
		if oldestDeathAt.IsZero() || s.lastDeathAt.Before(oldestDeathAt) {
			oldest, oldestDeathAt = d, s.lastDeathAt
		}
	}
	if r.suspects.Len() >= r.cfg.MaxSuspects {
		r.suspects.Delete(oldest)
	}
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
