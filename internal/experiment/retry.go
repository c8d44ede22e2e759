package experiment

import (
	"sort"
	"time"
)

const (
	// retryWait is the time after which callers retry a refusal without a Retry-After time.
	retryWait = 100 * time.Millisecond
	// maxWaitRatio is the ratio of the time left until its deadline that a caller waits at most
	// before it comes back.
	maxWaitRatio = 1.0 / 3
)

// scheduleRetry has the caller of a refused request come back to a random daemon, if it does.
func (s *simulation) scheduleRetry(r *request, retryAfter time.Duration) bool {
	if retryAfter == 0 {
		retryAfter = retryWait
	}
	left := r.arrival + milliseconds(r.class.DeadlineMs) - s.now
	r.tries++
	if r.tries > r.class.Retries || left <= 0 {
		return false
	}
	r.nextTry = s.now + min(retryAfter, time.Duration(maxWaitRatio*float64(left)))
	r.daemon = s.rng.IntN(s.cfg.Daemons)
	n := sort.Search(len(s.retries), func(i int) bool { return s.retries[i].nextTry > r.nextTry })
	s.retries = append(s.retries, nil)
	copy(s.retries[n+1:], s.retries[n:])
	s.retries[n] = r
	return true
}

// nextArrival returns the request that reaches a daemon next, first tries and retries; nil if
// there is none.
func (s *simulation) nextArrival(requests []*request) *request {
	if len(s.retries) == 0 {
		if len(requests) == 0 {
			return nil
		}
		return requests[0]
	}
	if len(requests) > 0 && requests[0].nextTry < s.retries[0].nextTry {
		return requests[0]
	}
	return s.retries[0]
}
