package rollout

import (
	"math"
	"time"
)

const (
	// slowFactor is the factor above the expected time at which an answer counts as slow.
	slowFactor = 2.5
	// maxLogRatio limits the effect of one time on the sums.
	maxLogRatio = 4.0
	// sumUnit is the unit of the sums of logarithms.
	sumUnit = 0.01
)

// Record adds a time that was expected to be another one.
func (t *Times) Record(took, expected time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := float64(max(took, time.Microsecond)) / float64(expected)
	log := min(max(math.Log(ratio), -maxLogRatio), maxLogRatio)
	t.Count++
	if ratio > slowFactor {
		t.Slow++
	}
	t.Sum += int32(math.Round(log / sumUnit))
	t.Squares += uint32(math.Round(log * log / sumUnit))
}

// moments returns the mean of the logarithms and their variance.
func (t *Times) moments() (mean, variance float64) {
	n := float64(t.Count)
	mean = t.mean()
	variance = (float64(t.Squares)*sumUnit - n*mean*mean) / max(n-1, 1)
	return mean, max(variance, minLogVariance)
}

// mean returns the mean of the logarithms; 0 without any.
func (t *Times) mean() float64 {
	if t.Count == 0 {
		return 0
	}
	return float64(t.Sum) * sumUnit / float64(t.Count)
}

// above returns by how much the logarithms are above a mean, all together.
func (t *Times) above(mean float64) float64 { return float64(t.Sum)*sumUnit - float64(t.Count)*mean }

// Add adds the samples of others.
func (s *Samples) Add(other Samples) {
	s.Answers += other.Answers
	s.Failures += other.Failures
	s.First.add(other.First)
	s.Rest.add(other.Rest)
}

func (t *Times) add(other Times) {
	t.Count += other.Count
	t.Slow += other.Slow
	t.Sum += other.Sum
	t.Squares += other.Squares
}

// remove removes samples that are among those of t.
func (t *Times) remove(part Times) {
	t.Count -= part.Count
	t.Slow -= part.Slow
	t.Sum -= part.Sum
	t.Squares -= part.Squares
}

// scaled returns the samples as they would be if there were more or fewer of them by a factor.
func (s Samples) scaled(factor float64) Samples {
	return Samples{
		Answers: scaledCount(s.Answers, factor), Failures: scaledCount(s.Failures, factor),
		First: s.First.scaled(factor), Rest: s.Rest.scaled(factor),
	}
}

func (t Times) scaled(factor float64) Times {
	return Times{
		Count: scaledCount(t.Count, factor), Slow: scaledCount(t.Slow, factor),
		Sum: int32(math.Round(factor * float64(t.Sum))), Squares: scaledCount(t.Squares, factor),
	}
}

func scaledCount(n uint32, factor float64) uint32 { return uint32(math.Round(factor * float64(n))) }

// Since returns the samples that have been added to those of an earlier report of the same
// process. A report that is not later than the earlier one adds nothing.
func (s *Samples) Since(earlier Samples) Samples {
	if s.Answers < earlier.Answers || s.First.Count < earlier.First.Count || s.Rest.Count < earlier.Rest.Count {
		return Samples{}
	}
	out := *s
	out.Answers -= earlier.Answers
	out.Failures -= earlier.Failures
	out.First.remove(earlier.First)
	out.Rest.remove(earlier.Rest)
	return out
}
