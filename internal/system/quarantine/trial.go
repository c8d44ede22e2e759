package quarantine

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// Content that is refused never completes, so that it would stay refused although the
// servers had died for other reasons. So a run of it is tried now and then.

const (
	// firstTrialDelay is the time from the last death until the first trial.
	firstTrialDelay = 3 * time.Second
	// trialDelayFactor is how many times longer the delay is after each trial that failed.
	trialDelayFactor = 8
	// maxTrialDelay is the longest time between two trials.
	maxTrialDelay = time.Hour
	// trialMargin is how much later a daemon may date a trial than its run.
	trialMargin = 100 * time.Millisecond
)

// NextTrial returns from when on a run of refused content may be tried.
func (r *Registry) NextTrial(d entity.Digest) time.Time {
	s := r.suspects.Get(d)
	if s == nil {
		return time.Time{}
	}
	delay := firstTrialDelay
	for range s.failedTrials() {
		delay = min(delay*trialDelayFactor, maxTrialDelay)
	}
	last := s.lastDeathAt
	if s.lastTrialAt.After(last) {
		last = s.lastTrialAt
	}
	return last.Add(delay)
}

// RecordTrial records that a run of refused content was tried, here or by another daemon.
func (r *Registry) RecordTrial(d entity.Digest, at time.Time) {
	s := r.suspects.Get(d)
	if s == nil {
		return
	}
	if s.firstTrialAt.IsZero() || at.Before(s.firstTrialAt) {
		s.firstTrialAt = at
	}
	if at.After(s.lastTrialAt) {
		s.lastTrialAt = at
	}
}

// Trials returns when runs of content were first and last tried. Both are zero if none were.
func (r *Registry) Trials(d entity.Digest) (first, last time.Time) {
	if s := r.suspects.Get(d); s != nil {
		return s.firstTrialAt, s.lastTrialAt
	}
	return time.Time{}, time.Time{}
}

// failedTrials counts the deaths under runs that began with the first trial or later.
func (s *suspect) failedTrials() int {
	if s.firstTrialAt.IsZero() {
		return 0
	}
	n := 0
	for _, d := range s.deaths {
		if !d.startedAt.Before(s.firstTrialAt.Add(-trialMargin)) {
			n++
		}
	}
	return n
}
