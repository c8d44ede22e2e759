package rollout

// window holds the samples of both groups over some time that ends now. The times of the new
// version are without those of the stallBins successive bins in which most of them were slow, and
// for the means without those of the ones in which they were most above the old version's: a server
// that stalls for a moment delays all that it runs, which is no evidence.
type window struct {
	old, ordered        Samples
	firstMean, restMean Times // of the new version, for the means
}

// windows returns the windows of a route, the shortest first.
func (r *routeBins) windows() []window {
	out := make([]window, 0, len(r.bins))
	var sum groups
	var slowFirst, slowRest Times     // of the stall in which most were slow
	var latestFirst, latestRest Times // of the stall that is most above the old version's mean
	oldFirst, oldRest := r.total[Old].First.mean(), r.total[Old].Rest.mean()
	for i := len(r.bins) - 1; i >= 0; i-- {
		b := &r.bins[i]
		sum[Old].Add(b.samples[Old])
		sum[New].Add(b.samples[New])
		if i > 0 || len(r.bins) < maxBins { // else it is no single bin
			first, rest := r.stallTimes(i)
			slowFirst.keepMoreSlow(first)
			slowRest.keepMoreSlow(rest)
			latestFirst.keepMoreAbove(first, oldFirst)
			latestRest.keepMoreAbove(rest, oldRest)
		}
		w := window{old: sum[Old], ordered: sum[New], firstMean: sum[New].First, restMean: sum[New].Rest}
		w.firstMean.remove(latestFirst)
		w.restMean.remove(latestRest)
		w.ordered.First.remove(slowFirst)
		w.ordered.Rest.remove(slowRest)
		out = append(out, w)
	}
	return out
}

// stallTimes returns the new version's times in the bins over which a stall that begins in bin i
// may stretch.
func (r *routeBins) stallTimes(i int) (first, rest Times) {
	for _, b := range r.bins[i:min(i+stallBins, len(r.bins))] {
		first.add(b.samples[New].First)
		rest.add(b.samples[New].Rest)
	}
	return first, rest
}

// keepMoreSlow keeps the times of which more were slow.
func (t *Times) keepMoreSlow(other Times) {
	if other.Slow >= t.Slow {
		*t = other
	}
}

// keepMoreAbove keeps the times that are more above a mean, all together.
func (t *Times) keepMoreAbove(other Times, mean float64) {
	if other.above(mean) > t.above(mean) {
		*t = other
	}
}

// maxMixFactor limits the size of the old group, in multiples of the new one's, when all routes
// are compared together.
const maxMixFactor = 11.0

// sumOfRoutes returns the sum of the routes' windows with the given index, where the old group of
// each is reduced to the share that the route has of the new group. Routes that differ by nature
// can then be compared together.
func sumOfRoutes(windows [][]window, index int) window {
	var sum window
	var chosen []*window
	factor := maxMixFactor
	for _, list := range windows {
		if len(list) == 0 {
			continue
		}
		w := &list[min(index, len(list)-1)]
		if w.old.Answers > 0 && w.ordered.Answers > 0 {
			chosen = append(chosen, w)
			factor = min(factor, float64(w.old.Answers)/float64(w.ordered.Answers))
		}
	}
	for _, w := range chosen {
		sum.ordered.Add(w.ordered)
		sum.firstMean.add(w.firstMean)
		sum.restMean.add(w.restMean)
		sum.old.Add(w.old.scaled(factor * float64(w.ordered.Answers) / float64(w.old.Answers)))
	}
	return sum
}

// test compares the groups.
func (w *window) test(l *limits) *Finding {
	o, n := &w.old, &w.ordered
	finding := func(kind string, score float64) *Finding {
		return &Finding{Kind: kind, Score: score, Old: *o, New: *n}
	}
	if score := failureScore(n.Failures, n.Answers, o.Failures, o.Answers); score > l.failures && n.Failures >= l.bad {
		return finding(KindFailures, score)
	}
	first, rest := &n.First, &n.Rest
	if score := failureScore(first.Slow, first.Count, o.First.Slow, o.First.Count); score > l.slow && first.Slow >= l.bad {
		return finding(KindFirstSlow, score)
	}
	if score := failureScore(rest.Slow, rest.Count, o.Rest.Slow, o.Rest.Count); score > l.slow && rest.Slow >= l.bad {
		return finding(KindRestSlow, score)
	}
	if score := slownessScore(&w.firstMean, &o.First); score > l.deviation {
		return finding(KindFirstMean, score)
	}
	if score := slownessScore(&w.restMean, &o.Rest); score > l.deviation {
		return finding(KindRestMean, score)
	}
	return nil
}
