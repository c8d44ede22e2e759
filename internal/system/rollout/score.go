package rollout

import "math"

// limits say from when on a difference is not taken for chance.
type limits struct {
	failures  float64 // logarithm of the likelihood ratio for a share of failures
	slow      float64 // for a share of slow answers
	deviation float64 // number of standard errors for a mean
	bad       uint32  // least number of bad answers
}

var (
	// proof stops a roll-out at any time. It allows for many looks at several windows of
	// several routes.
	proof = limits{failures: 12, slow: 12, deviation: 5.5, bad: 6}
	// doubt forbids to give the version more. Times need more than failures: a slow server
	// delays many answers.
	doubt = limits{failures: 5, slow: 8, deviation: 4.5, bad: 2}
)

const (
	// newestBins is the number of bins of the newest time.
	newestBins = 4
	// minTimes is the least number of times of each group for comparing their means.
	minTimes = 12
	// slowerFactor is the factor by which the new version must be slower in the mean. Servers
	// of one version differ by nearly as much, and few of them get the canary's requests.
	slowerFactor = 1.6
	// minLogVariance keeps a few equal times from passing for certainty.
	minLogVariance = 0.04
)

// failureScore returns the logarithm of the likelihood ratio of two hypotheses: that the new
// group has a higher rate of bad answers than the old one, and that the rates are equal. It is
// 0 if the new group's rate is not higher.
func failureScore(newBad, newAll, oldBad, oldAll uint32) float64 {
	if newAll == 0 || oldAll == 0 || newBad > newAll || oldBad > oldAll {
		return 0
	}
	if float64(newBad)*float64(oldAll) <= float64(oldBad)*float64(newAll) {
		return 0
	}
	pooled := logLikelihood(newBad+oldBad, newAll+oldAll)
	return logLikelihood(newBad, newAll) + logLikelihood(oldBad, oldAll) - pooled
}

// logLikelihood returns the logarithm of the likelihood of some bad answers among all at the
// rate that explains them best.
func logLikelihood(bad, all uint32) float64 {
	out := 0.0
	for _, part := range []uint32{bad, all - bad} {
		if part > 0 {
			out += float64(part) * math.Log(float64(part)/float64(all))
		}
	}
	return out
}

// slownessScore returns by how many standard errors the new group's mean time is above that of
// the old one times slowerFactor.
func slownessScore(n, o *Times) float64 {
	if n.Count < minTimes || o.Count < minTimes {
		return 0
	}
	newMean, newVariance := n.moments()
	oldMean, oldVariance := o.moments()
	excess := newMean - oldMean - math.Log(slowerFactor)
	if excess <= 0 {
		return 0
	}
	return excess / math.Sqrt(newVariance/float64(n.Count)+oldVariance/float64(o.Count))
}
