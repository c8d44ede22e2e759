package rollout

import "time"

const (
	// maxMargin is the time before the deadline by which the last stage is decided, for the
	// write and for the platform to read it. maxMarginRatio limits it in short roll-outs.
	maxMargin      = time.Second
	maxMarginRatio = 0.125
	// lateRatio is the part of the margin in which Completed is not written any more: the
	// write might take effect after the platform has drained the new servers.
	lateRatio = 0.25
	// minDrainRatio and maxDrainRatio limit the time that is left for the requests at the old
	// servers to end, as a ratio of the duration.
	minDrainRatio = 0.1
	maxDrainRatio = 0.4
	// failoverTime is how long no daemon may act as the leader after the leader was killed.
	failoverTime = 3500 * time.Millisecond
	// decisionDelay is the time from when a stage is due until its write has succeeded, and
	// maxDelayRatio limits it in short roll-outs.
	decisionDelay = 500 * time.Millisecond
	maxDelayRatio = 0.02
	// rampRatio is the time in which the new version's share rises to 1, as a ratio of the
	// duration.
	rampRatio = 0.1
)

// rampShares are the new version's shares while Promoting, each for an equal part of the ramp.
// The last one is reached at its end.
var rampShares = [...]float64{0.2, 0.4, 0.7, 1}

// Schedule holds the times of a roll-out since 1970.
type Schedule struct {
	Promote          time.Duration // promotion is due
	LatestPromote    time.Duration // promotion does not wait any more for answers on each route
	FinalDecision    time.Duration // completion or roll-back is decided
	LatestCompletion time.Duration // no completion after this
	Ramp             time.Duration // length of the ramp
}

// ScheduleOf returns the times of a roll-out. longestRun is the longest usual run of an answer,
// updateInterval the time between two state updates of a daemon.
func ScheduleOf(s *State, longestRun, updateInterval time.Duration) Schedule {
	d := s.Duration
	margin := min(maxMargin, ratioOf(d, maxMarginRatio))
	out := Schedule{FinalDecision: s.Deadline() - margin, LatestCompletion: s.Deadline() - ratioOf(margin, lateRatio)}
	out.Ramp = min(max(ratioOf(d, rampRatio), 2*updateInterval), ratioOf(d, 2*rampRatio))
	drain := min(max(longestRun, ratioOf(d, minDrainRatio)), ratioOf(d, maxDrainRatio))
	// The last daemon may hear of the share by the second update.
	out.LatestPromote = out.FinalDecision - out.Ramp - min(drain+2*updateInterval, ratioOf(d, maxDrainRatio)) - min(decisionDelay, ratioOf(d, maxDelayRatio))
	// Another leader must be able to finish when this one is killed at the promotion.
	out.Promote = min(out.LatestPromote, out.FinalDecision-out.Ramp-min(failoverTime, ratioOf(d, maxDrainRatio)))
	return out
}

func ratioOf(d time.Duration, ratio float64) time.Duration {
	return time.Duration(ratio * float64(d))
}

// RampShare returns the new version's share some time after the promotion.
func (s *Schedule) RampShare(sincePromotion time.Duration) float64 {
	if s.Ramp <= 0 || sincePromotion >= s.Ramp {
		return 1
	}
	step := int(float64(len(rampShares)-1) * float64(sincePromotion) / float64(s.Ramp))
	return rampShares[min(max(step, 0), len(rampShares)-1)]
}

// minReadyRatio is how many servers of the new version must be ready, as a ratio of the old
// ones' number, for it to take all requests.
const minReadyRatio = 0.8

// View is what the leader knows of a roll-out.
type View struct {
	Now         time.Duration // since 1970
	OldReady    int           // usable servers of the versions that have served so far
	NewReady    int           // usable servers of the ordered version
	ServesAlone bool          // the ordered version has served before the order, and no other one
	Bad         bool          // the new version was found bad
	Doubtful    bool          // it may be bad, by what is known at this moment
	Sampled     bool          // there are answers of the new version on each route with requests
	Drained     bool          // at all daemons new requests go to the new version, and none runs at an old server
	Observed    bool          // there are answers of the new version since then
	Schedule    Schedule
}

// EnoughReady reports whether the new version has enough servers to take all requests.
func (v *View) EnoughReady() bool {
	return v.NewReady > 0 && float64(v.NewReady) >= minReadyRatio*float64(v.OldReady)
}

// Reason says why a stage was decided, for logs.
type Reason string

const (
	// ReasonOrdered: the order is new.
	ReasonOrdered Reason = "ordered"
	// ReasonServes: the ordered version already serves, with no other.
	ReasonServes Reason = "serves already"
	// ReasonBad: the new version was found bad.
	ReasonBad Reason = "found bad"
	// ReasonDue: the new version has answered as well as the old one, and it is time.
	ReasonDue Reason = "due"
	// ReasonNoTime: there is no time to wait for more answers.
	ReasonNoTime Reason = "no time left"
	// ReasonDrained: no daemon reports a request at an old server.
	ReasonDrained Reason = "drained"
	// ReasonNotReady: too few new servers are ready.
	ReasonNotReady Reason = "too few new servers"
	// ReasonDoubt: the new version may be bad, and there is no time to find out.
	ReasonDoubt Reason = "in doubt"
	// ReasonMissed: the promotion did not come in time.
	ReasonMissed Reason = "not promoted in time"
)

// Next returns the stage that must follow now and why; the present one if none.
func (s *State) Next(v *View) (Stage, Reason) {
	switch s.Stage {
	case Unknown:
		if v.ServesAlone {
			return Completed, ReasonServes
		}
		return Canary, ReasonOrdered
	case Canary:
		return s.afterCanary(v)
	case Promoting:
		return s.afterPromoting(v)
	default:
		return s.Stage, ""
	}
}

func (s *State) afterCanary(v *View) (Stage, Reason) {
	switch {
	case v.Bad:
		return RolledBack, ReasonBad
	case v.Now >= v.Schedule.FinalDecision && !v.EnoughReady():
		return RolledBack, ReasonNotReady
	case v.Now >= v.Schedule.FinalDecision && v.Doubtful:
		return RolledBack, ReasonDoubt
	case v.Now >= v.Schedule.FinalDecision:
		return RolledBack, ReasonMissed
	case v.Now < v.Schedule.Promote || !v.EnoughReady() || v.Doubtful:
		return s.Stage, ""
	case v.Sampled:
		return Promoting, ReasonDue
	case v.Now >= v.Schedule.LatestPromote:
		return Promoting, ReasonNoTime
	default:
		return s.Stage, ""
	}
}

func (s *State) afterPromoting(v *View) (Stage, Reason) {
	switch {
	case v.Bad:
		return RolledBack, ReasonBad
	case v.Now >= v.Schedule.LatestCompletion:
		return RolledBack, ReasonMissed // the platform drains the new servers at the deadline
	case v.Drained && v.Observed && v.EnoughReady() && !v.Doubtful:
		return Completed, ReasonDrained
	case v.Now < v.Schedule.FinalDecision:
		return s.Stage, ""
	case v.Doubtful:
		return RolledBack, ReasonDoubt
	case v.EnoughReady():
		return Completed, ReasonNoTime
	default:
		return RolledBack, ReasonNotReady
	}
}
