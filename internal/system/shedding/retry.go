package shedding

import "time"

// maxWaitRatio is the ratio of the time left until its deadline that a refused caller waits at
// most before it comes back.
const maxWaitRatio = 1.0 / 3

// RetryAfter returns when a refused caller should come back: evenly, by its draw, over the time
// in which the service runs as many requests as were refused lately of its rank and more urgent
// ones, but soon enough to be still in time. It returns 0 if the request cannot be answered
// before its deadline. Left is the time until the deadline, 0 without one.
func (s *Shedder) RetryAfter(now time.Time, q Request, left time.Duration) time.Duration {
	if left != 0 && q.Expected >= left {
		return 0
	}
	v := s.service(now, q.Service)
	admitted, refused := 0.0, 0.0
	for i := range v.ranks {
		admitted += v.ranks[i].admitted
		if i <= q.Rank {
			refused += v.ranks[i].refused
		}
	}
	interval := demandTimeConstant.Seconds() / max(admitted, 1) // between two requests that are sent
	spread := time.Duration(interval * refused * float64(time.Second))
	if q.Objective > q.Expected {
		spread = min(spread, q.Objective-q.Expected)
	}
	if left != 0 {
		spread = min(spread, time.Duration(maxWaitRatio*float64(left)))
	}
	return max(time.Duration(q.Draw*float64(spread)), time.Millisecond)
}
