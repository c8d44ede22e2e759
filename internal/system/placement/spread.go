package placement

import (
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// The daemons choose by views of each other that are up to seconds old. If all took the
// cheapest server, one that seems to have room would get all requests until the views
// change. So the choice is spread by what is not known: the number of requests that arrived
// since the views were written.

const (
	// spreadGain is the part of a known difference in load that the choices of all daemons
	// make up for until their views change. Above 1 they would exceed it.
	spreadGain = 0.3
	// occupancyWeight is the cost of a used slot of a full server, as a ratio of the cost of
	// reading a prompt.
	occupancyWeight = 0.1
	// maxShare is the number of requests in progress at one server, as a ratio of its even
	// share, above which further ones cost more.
	maxShare = 1.15
	// excessWeight is that cost, as a ratio of the time to the first event of a prompt, where
	// all arrivals are known.
	excessWeight = 2.0
	// excessArrivals is the number of unknown arrivals at which it is half as much: with old
	// views, all daemons would avoid the server at once.
	excessArrivals = 2.0
	// usualCachedServers is the number of servers between which the requests with a common
	// beginning are spread.
	usualCachedServers = 4
	// arrivalMemory is the time over which the rate of a service's arrivals is averaged.
	arrivalMemory = 2 * time.Second
	// sizeSampleWeight is the weight of a request in the mean size of the prompts to be read.
	sizeSampleWeight = 0.05
)

// arrivals is what a daemon knows of the requests of a service that it has placed.
type arrivals struct {
	count       float64 // in the last arrivalMemory; older ones weigh less
	at          time.Time
	uncached    float64 // mean prompt tokens to be read
	servers     int     // usable ones, when the last request was placed
	utilisation float64 // requests in progress then, as a ratio of the slots
}

func (a *arrivals) record(now time.Time, uncached entity.Tokens) {
	a.count = a.recent(now) + 1
	a.at = now
	a.uncached += sizeSampleWeight * (float64(uncached) - a.uncached)
}

func (a *arrivals) recent(now time.Time) float64 {
	return a.count * halved(now.Sub(a.at), arrivalMemory/2)
}

// perSecond returns the rate of arrivals.
func (a *arrivals) perSecond(now time.Time) float64 {
	const meanAge = float64(arrivalMemory/2) / 0.693 / float64(time.Second) // of an exponential average
	return a.recent(now) / meanAge
}

// recordArrival records that this daemon sends a request to a server.
func (p *Placer) recordArrival(now time.Time, r *serverRow, uncached entity.Tokens) {
	if r.speed.probeDue(now) {
		p.scheduleProbe(now, &r.speed)
	}
	p.speed(r.Service).arrivals.record(now, uncached)
}

// spreadQuery holds what the costs of all servers for one request have in common.
type spreadQuery struct {
	*Query
	speed          *speed
	base           float64 // ms to the first event without a prompt
	millisPerToken float64
	peerWeight     float64 // see peerWaitingWeight
	requestMillis  float64 // cost of one further request at a server
	utilisation    float64 // requests in progress at all servers, as a ratio of their slots
	excessMillis   float64 // cost of one above the share
	paceMillis     float64 // see paceCost
	noise          float64 // range of the random cost among all servers, in ms
	cachedNoise    float64 // among those that have the beginning of the prompt cached
}

func (p *Placer) newSpreadQuery(now time.Time, q *Query) spreadQuery {
	s := p.speed(q.Service)
	out := spreadQuery{Query: q, speed: s, base: s.firstEvent.predict(0), millisPerToken: s.firstEvent.millisPerToken()}
	out.peerWeight = p.peerWaitingWeight(s, false)
	out.utilisation = s.arrivals.utilisation
	out.requestMillis = max(out.millisPerToken*s.arrivals.uncached, minNoise)
	servers := float64(max(s.arrivals.servers, 1))
	unknown := s.arrivals.perSecond(now) * float64(p.peers.Len()) / servers * 2 * p.updateAgeMillis / 1000
	out.excessMillis = excessWeight * (out.base + out.requestMillis) / (1 + unknown*unknown/(excessArrivals*excessArrivals))
	perServer := unknown / spreadGain * out.requestMillis
	out.paceMillis = paceCostFactor*(out.base+out.requestMillis) + paceNoiseFactor*perServer
	out.noise = minNoise + servers*perServer
	out.cachedNoise = minNoise + usualCachedServers*perServer
	return out
}

// candidate is the best server of a group.
type candidate struct {
	row   *serverRow
	cost  float64
	noisy float64 // cost and random cost
}

func (c *candidate) offer(r *serverRow, cost, noise float64) {
	if c.row == nil || cost+noise < c.noisy {
		*c = candidate{row: r, cost: cost, noisy: cost + noise}
	}
}

// chooseSpread chooses like Choose, with the speed and the pace of each server. A server that
// has the beginning of the prompt cached is taken if it costs no more than the choice among
// all: the random cost must not outweigh what is cached. The range of a server's random cost
// grows with the ratio of its times, so that where the views say little, each server gets
// requests in proportion to its speed.
func (p *Placer) chooseSpread(now time.Time, q *Query, usable func(entity.BackendServerID) bool) (Choice, bool) {
	s := p.newSpreadQuery(now, q)
	var overall, cached candidate
	requests, slots, servers := 0, 0, 0
	p.servers.All(func(id entity.BackendServerID, r *serverRow) bool {
		if r.Service != q.Service || !usable(id) {
			return true
		}
		servers++
		requests += r.requestCount()
		slots += r.Slots
		if slices.Contains(q.Exclude, id) {
			return true
		}
		factor := r.speed.costFactor(now)
		cost, hit := p.spreadCost(now, r, &s, factor)
		overall.offer(r, cost, p.rng.Float64()*s.noise*factor)
		if hit {
			cached.offer(r, cost, p.rng.Float64()*s.cachedNoise*factor)
		}
		return true
	})
	utilisation := float64(requests) / float64(max(slots, 1))
	s.speed.arrivals.servers, s.speed.arrivals.utilisation = servers, utilisation
	best := overall
	if cached.row != nil && cached.cost <= overall.cost {
		best = cached
	}
	if best.row == nil {
		return Choice{}, false
	}
	choice := p.choice(now, best.row, q, utilisation)
	choice.Servers, choice.Slots = servers, slots
	return choice, true
}

// spreadCost returns the cost of placing a request on a backend server, in ms, and whether it
// has the beginning of the prompt cached.
func (p *Placer) spreadCost(now time.Time, r *serverRow, s *spreadQuery, factor float64) (cost float64, hit bool) {
	cost = r.health.failureRate(now) * failureCost
	if r.pace.limit != nil {
		cost += r.paceCost(s)
	}
	if r.DataCentre != s.DataCentre {
		cost += remoteDataCentreCost
	}
	if r.Memory == 0 {
		return cost + p.plainCost(r, s)*factor, false
	}
	if memory := r.localSum.Memory + r.peerSum.Memory + s.Prompt + s.Output; float64(memory) > maxMemoryRatio*float64(r.Memory) {
		cost += preemptionCost
	}
	uncached, _ := p.uncached(r, s.Query)
	running := float64(r.localSum.Running + r.peerSum.Running)
	ahead := r.queue(s.Rank, s.peerWeight)
	wait := ahead.requestsToEnd / float64(r.Slots) * s.speed.runMillis
	read := s.millisPerToken * (ahead.promptTokens + float64(uncached)) * (1 + decodeSlowdown*running)
	requests := running + float64(r.localSum.Waiting.total()) + s.peerWeight*float64(r.peerSum.Waiting.total())
	return cost + (wait+s.base+read)*factor + s.occupancyCost(r, requests), uncached < s.Prompt
}

// plainCost returns the cost of a plain backend server of the usual speed. The request itself
// counts too, so that a slow server costs more also when it is idle.
func (p *Placer) plainCost(r *serverRow, s *spreadQuery) float64 {
	weight := p.peerWaitingWeight(s.speed, true)
	requests := float64(r.localSum.Waiting.total()+r.localSum.Running) + weight*float64(r.peerSum.Waiting.total()+r.peerSum.Running)
	return s.speed.requestMillis * (requests + 1)
}

// occupancyCost is small while a server has its share of the requests in progress. A server
// that has more than maxShare of it costs more, the less so the older the views are.
func (s *spreadQuery) occupancyCost(r *serverRow, requests float64) float64 {
	slots := float64(r.Slots)
	excess := max(requests-maxShare*s.utilisation*slots, 0)
	return s.requestMillis*occupancyWeight*requests*requests/slots + s.excessMillis*excess
}
