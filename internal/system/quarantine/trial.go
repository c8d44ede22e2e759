package quarantine

import (
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// Content that is refused never completes, so that it would stay refused although the
// servers had died for other reasons. So runs of it are tried now and then.

const (
	// firstTrialDelay is the time from the last death until the first trial.
	firstTrialDelay = 3 * time.Second
	// trialDelayFactor is how many times longer the delay is after each round of trials.
	trialDelayFactor = 8
	// maxTrialDelay is the longest time between two trials.
	maxTrialDelay = time.Hour
	// trialMargin is the longest time between the dates that two daemons give one trial.
	trialMargin = 20 * time.Millisecond
	// maxFailedTrials is how many trials may end with the death of the server while another
	// content is still believed to explain the deaths.
	maxFailedTrials = 1
	// maxTrialsPerSuspect bounds the trials that are kept for one digest.
	maxTrialsPerSuspect = 16
)

// Trial is a run of refused content.
type Trial struct {
	At time.Time
	// Explained says that another content explained the deaths of this one. Otherwise the run
	// was tried since there had been none for long.
	Explained bool
}

// NextTrial returns from when on a run of refused content may be tried that nothing explains.
func (r *Registry) NextTrial(d entity.Digest) time.Time {
	s := r.suspects.Get(d)
	if s == nil {
		return time.Time{}
	}
	delay := firstTrialDelay
	for range s.trialRounds() {
		delay = min(delay*trialDelayFactor, maxTrialDelay)
	}
	last := s.lastDeathAt
	if n := len(s.trials); n > 0 && s.trials[n-1].At.After(last) {
		last = s.trials[n-1].At
	}
	return last.Add(delay)
}

// RecordTrial records that a run of refused content was tried, here or by another daemon.
func (r *Registry) RecordTrial(d entity.Digest, t Trial) {
	s := r.suspects.Get(d)
	if s == nil || slices.ContainsFunc(s.trials, t.same) {
		return
	}
	s.trials = append(s.trials, t)
	slices.SortFunc(s.trials, func(a, b Trial) int { return a.At.Compare(b.At) })
	s.trials = s.trials[max(len(s.trials)-maxTrialsPerSuspect, 0):]
}

// RemoveTrial forgets a trial whose request has not run.
func (r *Registry) RemoveTrial(d entity.Digest, t Trial) {
	if s := r.suspects.Get(d); s != nil {
		s.trials = slices.DeleteFunc(s.trials, t.same)
	}
}

// same reports whether another date is of the same trial.
func (t Trial) same(other Trial) bool { return t.At.Sub(other.At).Abs() <= trialMargin }

// Trials returns the trials of refused content, in order of time.
func (r *Registry) Trials(d entity.Digest) []Trial {
	if s := r.suspects.Get(d); s != nil {
		return s.trials
	}
	return nil
}

// OpenTrials counts the trials from which no result may be known yet.
func (r *Registry) OpenTrials(now time.Time, d entity.Digest) int {
	n := 0
	for _, t := range r.Trials(d) {
		if now.Sub(t.At) < firstTrialDelay {
			n++
		}
	}
	return n
}

// failedTrials counts the trials for which another content explained the deaths and after which
// a server died all the same.
func (s *suspect) failedTrials() int {
	failed := 0
	for _, t := range s.trials {
		if t.Explained && slices.ContainsFunc(s.deaths, t.diedIn) {
			failed++
		}
	}
	return failed
}

// diedIn reports whether a death is that of the server on which the trial ran.
func (t Trial) diedIn(d death) bool {
	return d.at.After(t.At) && d.at.Sub(t.At) < firstTrialDelay && !d.startedAt.Before(t.At.Add(-trialMargin))
}

// trialRounds counts the trials that nothing explained. Those within the same firstTrialDelay
// count once, since daemons begin them before they hear of each other's.
func (s *suspect) trialRounds() int {
	rounds := 0
	var roundEnd time.Time
	for _, t := range s.trials {
		if t.Explained || t.At.Before(roundEnd) {
			continue
		}
		rounds++
		roundEnd = t.At.Add(firstTrialDelay)
	}
	return rounds
}
