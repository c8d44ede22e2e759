package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// Death says that content was running on a backend server when it died.
type Death struct {
	Digest     entity.Digest
	Backend    entity.BackendServerID
	Born       int64 // start of its process, which tells the processes of one ID apart; 0: not known
	DataCentre entity.DataCentreID
	StartedAt  time.Time // of the run of the content; zero: not known
	Isolated   bool
	// Repeated is the process on which the request had run before and broken off; zero: none.
	Repeated entity.ServerProcess
}

type suspect struct {
	lastDeathAt   time.Time
	deaths        []death   // of different backend servers, the first maxDeathsPerSuspect
	isolatedDeath death     // the last death while it ran in isolation
	verdictAt     time.Time // when a pending verdict is decided; zero: none is pending
	trials        []Trial   // in order of time, the newest maxTrialsPerSuspect
}

type death struct {
	backend    entity.BackendServerID
	born       int64
	dataCentre entity.DataCentreID
	at         time.Time
	startedAt  time.Time            // see Death
	repeated   entity.ServerProcess // see Death
}

// deathRetention is how long after its death a backend server may still be
// dead, so that failures there do not count against content.
const deathRetention = time.Minute

const (
	// maxDeathsPerSuspect bounds the deaths that are kept for one digest.
	maxDeathsPerSuspect = 24
	// minSuspectDeaths of backend servers that ran the same content make it
	// suspect, whatever other backend servers have died.
	minSuspectDeaths = 2
)

// RecordDeath records that content was running on a backend server when it died.
func (r *Registry) RecordDeath(now time.Time, d Death) {
	alreadyDead := r.RecentlyDied(now, d.Backend)
	recorded := r.addDeath(now, d)
	if s := r.cleared.Get(d.Digest); s != nil && s.hasDeathOn(recorded) {
		return
	}
	s := r.suspects.Get(d.Digest)
	if s == nil {
		r.evictSuspects(now)
		s = &suspect{lastDeathAt: now}
		r.suspects.Put(d.Digest, s)
	}
	recorded.startedAt, recorded.repeated = d.StartedAt, d.Repeated
	if s.addDeath(recorded) && now.After(s.lastDeathAt) {
		s.lastDeathAt = now
	}
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
	if before := r.cleared.Get(d); before != nil {
		s.deaths = append(before.deaths, s.deaths...)
		s.deaths = s.deaths[max(len(s.deaths)-maxDeathsPerSuspect, 0):]
	} else if r.cleared.Len() >= r.cfg.MaxSuspects {
		r.cleared.Delete(r.cleared.Keys()[0])
	}
	r.cleared.Put(d, s)
}

// RemoveDeaths discards the deaths recorded for a process of a backend server, which
// turned out to be alive.
func (r *Registry) RemoveDeaths(id entity.BackendServerID, born int64) {
	ofServer := func(d death) bool { return d.is(id, born) }
	r.deaths = slices.DeleteFunc(r.deaths, ofServer)
	for _, contents := range []*entity.Table[entity.Digest, suspect]{r.suspects, r.cleared} {
		for _, digest := range contents.Keys() {
			s := contents.Get(digest)
			s.deaths = slices.DeleteFunc(s.deaths, ofServer)
			if len(s.deaths) == 0 {
				contents.Delete(digest)
			}
		}
	}
}

// RecordedDeath is a death with the time at which it was recorded.
type RecordedDeath struct {
	Death
	At time.Time
}

// ListDeaths returns the deaths of all contents for which at least minDeaths are recorded,
// up to maxContents contents, those with most deaths first.
func (r *Registry) ListDeaths(now time.Time, minDeaths, maxContents int) []RecordedDeath {
	var contents []entity.Digest
	r.suspects.All(func(digest entity.Digest, s *suspect) bool {
		if len(s.deaths) >= minDeaths && now.Sub(s.lastDeathAt) <= r.cfg.SuspectTTL {
			contents = append(contents, digest)
		}
		return true
	})
	deathCount := func(d entity.Digest) int { return len(r.suspects.Get(d).deaths) }
	slices.SortStableFunc(contents, func(a, b entity.Digest) int { return deathCount(b) - deathCount(a) })
	var out []RecordedDeath
	for _, digest := range contents[:min(len(contents), maxContents)] {
		for _, d := range r.suspects.Get(digest).deaths {
			out = append(out, RecordedDeath{Death{Digest: digest, Backend: d.backend, Born: d.born, DataCentre: d.dataCentre, StartedAt: d.startedAt, Repeated: d.repeated}, d.at})
		}
	}
	return out
}

// ListCleared returns the contents that have completed after deaths had been recorded for
// them, and for which none have been since: up to a number of them, those with the newest
// deaths first.
func (r *Registry) ListCleared(limit int) []entity.Digest {
	contents := slices.DeleteFunc(r.cleared.Keys(), r.Suspected)
	lastDeathAt := func(d entity.Digest) time.Time { return r.cleared.Get(d).lastDeathAt }
	slices.SortStableFunc(contents, func(a, b entity.Digest) int { return lastDeathAt(b).Compare(lastDeathAt(a)) })
	return contents[:min(len(contents), limit)]
}

// Suspected reports whether a death is recorded for the content, so that its
// completion must be recorded too.
func (r *Registry) Suspected(d entity.Digest) bool { return r.suspects.Get(d) != nil }

// maxExplainedDeaths is the number of deaths up to which they may have another explanation.
// With more, the content is refused together with the other one.
const maxExplainedDeaths = 8

// Explained reports whether the deaths recorded for some content have another explanation:
// a content that is not among those held, and that ran on every process that died under it.
func (r *Registry) Explained(now time.Time, d entity.Digest, held []entity.Digest) bool {
	s := r.suspects.Get(d)
	if s == nil || len(s.deaths) > maxExplainedDeaths || s.failedTrials() > maxFailedTrials {
		return false
	}
	explained := false
	r.suspects.All(func(other entity.Digest, candidate *suspect) bool {
		if now.Sub(candidate.lastDeathAt) <= r.cfg.SuspectTTL && candidate.hasAllDeathsOf(s) && !slices.Contains(held, other) {
			explained = true
		}
		return !explained
	})
	return explained
}

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
// before it. It did not if its run of the content began after that death. That of a repeated
// request did, whatever the times say: those that another daemon tells are off by the time
// that its messages took.
func (d *death) togetherWith(previous *death) bool {
	if d.repeated == previous.process() || previous.repeated == d.process() {
		return false
	}
	return d.at.Sub(previous.at) <= togetherWindow && d.startedAt.Before(previous.at)
}

// process returns the process that died.
func (d *death) process() entity.ServerProcess {
	return entity.ServerProcess{Server: d.backend, Born: d.born}
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

// hasAllDeathsOf reports whether the deaths of another suspect are recorded for this one too.
func (s *suspect) hasAllDeathsOf(other *suspect) bool {
	if len(other.deaths) > len(s.deaths) {
		return false
	}
	for _, d := range other.deaths {
		if !s.hasDeathOn(d) {
			return false
		}
	}
	return true
}

// addDeath adds a death unless it is known, and reports whether it was not. Of many, the first
// are kept.
func (s *suspect) addDeath(d death) bool {
	if s.hasDeathOn(d) {
		return false
	}
	if len(s.deaths) < maxDeathsPerSuspect {
		s.deaths = append(s.deaths, d)
	}
	return true
}

// evictSuspects drops the expired suspects when the table is full, and, unless that makes
// enough room, those with the fewest deaths, of these the oldest.
func (r *Registry) evictSuspects(now time.Time) {
	if r.suspects.Len() < r.cfg.MaxSuspects {
		return
	}
	for _, d := range r.suspects.Keys() {
		if now.Sub(r.suspects.Get(d).lastDeathAt) > r.cfg.SuspectTTL {
			r.suspects.Delete(d)
		}
	}
	excess := r.suspects.Len() - r.cfg.MaxSuspects*(evictionParts-1)/evictionParts
	if excess <= 0 {
		return
	}
	digests := r.suspects.Keys()
	slices.SortStableFunc(digests, func(a, b entity.Digest) int { return r.suspects.Get(a).compareEviction(r.suspects.Get(b)) })
	for _, d := range digests[:excess] {
		r.suspects.Delete(d)
	}
}

// compareEviction orders suspects by which is dropped first.
func (s *suspect) compareEviction(other *suspect) int {
	return cmp.Or(cmp.Compare(len(s.deaths), len(other.deaths)), s.lastDeathAt.Compare(other.lastDeathAt))
}

// evictionParts is the number of parts of the table of which one is dropped when it is full.
const evictionParts = 4
