package placement

import (
	"math"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// The servers of a service differ in speed, and one may be slow for a while. Each daemon
// estimates for each process the ratio of its times to those that the service's line
// predicts. A daemon of a large fleet has a sample of one server every few seconds, so the
// daemons share their samples in the state updates.

const (
	// minSpeedRatio and maxSpeedRatio limit the ratio, so that a wrong one neither attracts
	// all requests nor keeps them away for ever.
	minSpeedRatio = 1.0 / 3
	maxSpeedRatio = 8.0
	// maxExpectedRatio limits the effect of a ratio, and its inverse, on expected times, by
	// which requests are rejected and repeated.
	maxExpectedRatio = 2.0
	// maxSampleDistance limits the distance of a sample from the estimate, as a logarithm, so that
	// a single lost packet does not make a server slow.
	maxSampleDistance = 1.5
	// priorSpeedSamples is the number of samples that the ratio of 1 counts as at first.
	priorSpeedSamples = 3.0
	// minSpeedMemory is the least number of samples that the estimate is made of.
	minSpeedMemory = 6.0 // samples
	// speedHalfLife is the time in which samples above that number lose half of their weight.
	speedHalfLife = time.Second
	// rareSampleHalfLife is the time in which the others do, so that a few samples tell of a
	// server that gets few requests.
	rareSampleHalfLife = 4 * time.Second
	// waitingSampleWeight is the weight of a sample of a request that had to wait for a slot:
	// its time depends on others' answers as much as on the server's speed.
	waitingSampleWeight = 0.3
	// outputSampleWeight is the weight of the time of an answer's tokens, whose number is only
	// an expected one.
	outputSampleWeight = 0.5
	// unsampledTime is how long after the last sample of a server its ratio begins to
	// approach 1.
	unsampledTime = 5 * time.Second
	// unsampledHalfLife is the time in which the ratio's logarithm then halves.
	unsampledHalfLife = 10 * time.Second
	// slowRatio is the ratio from which a server counts as slow. If no sample of it arrives for
	// probeDelay, requests are sent to it as if it were fast, so that its recovery is seen.
	slowRatio  = 1.1
	probeDelay = 500 * time.Millisecond
	// slowServerProbes is the rate of these requests to one server, over all daemons.
	slowServerProbes = 2.0 // requests/s
)

// serverSpeed is the estimate for one process of a backend server.
type serverSpeed struct {
	factor    float64 // the ratio within its limits; 1 if it is not known
	estimate  logAverage
	shared    logAverage // of the samples that all daemons know
	unsent    logSum     // samples of this daemon that it has not sent
	sampledAt time.Time  // when the last sample arrived, or the server was last known to have requests
	probeAt   time.Time  // when this daemon may send a request as if the server were fast
}

func newServerSpeed() serverSpeed {
	return serverSpeed{factor: 1, estimate: logAverage{weight: priorSpeedSamples}, shared: logAverage{weight: priorSpeedSamples}}
}

// logAverage is an average of logarithms of ratios, in which older samples weigh less.
type logAverage struct {
	value  float64
	weight float64 // of all samples so far
	at     time.Time
}

// logSum is a sum of logarithms of ratios.
type logSum struct{ sum, weight float64 }

// learn adds a sample. Older samples above minSpeedMemory have lost weight with time.
func (a *logAverage) learn(now time.Time, sample, weight float64) {
	age := now.Sub(a.at)
	if a.weight > minSpeedMemory {
		a.weight = max(minSpeedMemory, a.weight*halved(age, speedHalfLife))
	}
	a.weight = max(min(a.weight, priorSpeedSamples), a.weight*halved(age, rareSampleHalfLife))
	a.at = now
	a.weight += weight
	a.value += weight / a.weight * min(max(sample-a.value, -maxSampleDistance), maxSampleDistance)
}

// approachOne halves the logarithm in each half-life of a time without samples.
func (a *logAverage) approachOne(age time.Duration) { a.value *= halved(age, unsampledHalfLife) }

// halved returns the factor by which a value decays in a time.
func halved(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}

// EnableServerSpeeds lets the placer of a daemon learn the speed and the pace of each backend
// server.
func (p *Placer) EnableServerSpeeds(self entity.InstanceID) { p.serverSpeeds, p.self = true, self }

// expectedFactor returns the factor for expected times.
func (s *serverSpeed) expectedFactor() float64 {
	return min(max(s.factor, 1/maxExpectedRatio), maxExpectedRatio)
}

func (s *serverSpeed) updateFactor() {
	s.factor = min(max(math.Exp(s.estimate.value), minSpeedRatio), maxSpeedRatio)
}

// costFactor returns the factor for the cost of a backend server at a time.
func (s *serverSpeed) costFactor(now time.Time) float64 {
	if s.factor >= slowRatio && s.probeDue(now) {
		return minSpeedRatio
	}
	return s.factor
}

// probeDue reports whether this daemon should send a slow server a request to get a sample.
func (s *serverSpeed) probeDue(now time.Time) bool {
	return now.Sub(s.sampledAt) > probeDelay && !now.Before(s.probeAt)
}

// learnServerSpeed adds a time in ms to the estimate for a server, against the time that the
// service's times predict for the same work. Usual is the service's average of such samples:
// the logarithm of a time that varies is on average below that of the average time.
func (p *Placer) learnServerSpeed(now time.Time, r *serverRow, usual *average, millis, expected, weight float64) {
	if !p.serverSpeeds || expected <= 0 || millis <= 0 {
		return
	}
	sample := math.Log(millis / expected)
	usual.learn(min(max(sample, -maxSampleDistance), maxSampleDistance))
	sample -= usual.value
	s := &r.speed
	s.estimate.learn(now, sample, weight)
	s.unsent.sum += weight * (s.shared.value + min(max(sample-s.shared.value, -maxSampleDistance), maxSampleDistance))
	s.unsent.weight += weight
	s.sampledAt = now
	s.updateFactor()
}

// learnFirstEventSpeed adds a request's time to its first event, in ms.
func (p *Placer) learnFirstEventSpeed(now time.Time, r *serverRow, reservation *Reservation, millis float64) {
	weight := 1.0
	if reservation.waitsForSlot {
		weight = waitingSampleWeight
	}
	p.learnServerSpeed(now, r, &p.speed(r.Service).usualFirstEvent, millis, reservation.expectedMillis, weight)
}

// learnOutputSpeed adds the time in ms from a request's first event to its end.
func (p *Placer) learnOutputSpeed(now time.Time, r *serverRow, reservation *Reservation, millis float64) {
	s := p.speed(r.Service)
	p.learnServerSpeed(now, r, &s.usualOutput, millis, s.outputTokenMillis.value*float64(reservation.Output), outputSampleWeight)
}

// learnUnanswered adds the time that a request has waited in vain for its first event, if
// that shows that the server is slower than known.
func (p *Placer) learnUnanswered(now time.Time, r *serverRow, reservation *Reservation) {
	millis := float64(now.Sub(reservation.sentAt)) / float64(time.Millisecond)
	if millis > reservation.expectedMillis*r.speed.factor {
		p.learnFirstEventSpeed(now, r, reservation, millis)
	}
}

// scheduleProbe schedules the next request that this daemon may send to a slow server as if it
// were fast, if none is.
func (p *Placer) scheduleProbe(now time.Time, s *serverSpeed) {
	mean := float64(p.peers.Len()+1) / slowServerProbes * float64(time.Second)
	s.probeAt = now.Add(time.Duration(mean * p.rng.ExpFloat64()))
}

// refreshSpeeds lets the ratios of servers without samples approach 1, and schedules requests
// to them. Where a server has requests, other daemons send samples if its ratio changes.
func (p *Placer) refreshSpeeds(now time.Time) {
	age := now.Sub(p.speedsRefreshed)
	p.speedsRefreshed = now
	p.servers.All(func(_ entity.BackendServerID, r *serverRow) bool {
		s := &r.speed
		if r.requestCount() > 0 || s.factor < slowRatio && s.factor > 1/slowRatio {
			s.sampledAt = now
		}
		if idle := now.Sub(s.sampledAt); idle <= probeDelay {
			p.scheduleProbe(now.Add(probeDelay), s)
		} else if idle > unsampledTime {
			s.estimate.approachOne(age)
			s.shared.approachOne(age)
			s.updateFactor()
		}
		return true
	})
}
