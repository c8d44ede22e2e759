package placement

import (
	"fmt"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

const (
	// initialPerToken is the time to read one prompt token before any was seen.
	initialPerToken = 0.015 // ms
	// initialBase is the time to the first event that does not depend on size.
	initialBase = 50.0 // ms
	// initialPerOutput is the time for each token of an answer before any was seen.
	initialPerOutput = 12.0 // ms
	// initialPerRequest is the time of a plain request before any was seen.
	initialPerRequest = 20.0 // ms
	// initialPerRun is the time from the first event to the end before any was seen.
	initialPerRun = 1000.0 // ms
	// outputGain is the least weight of a new sample of these; the first ones weigh
	// more, so that the initial values are soon forgotten.
	outputGain = 0.02
	// calmPart is the part of its slots that an engine may have taken to tell how
	// fast it reads by itself.
	calmPart = 0.5
	// speedMemory is the weight that a sample keeps with each further one.
	speedMemory = 0.99
	// minPerToken and maxPerToken bound what a few odd samples can make of it.
	minPerToken = 0.001 // ms
	maxPerToken = 0.2   // ms
	// priorWeight is how many samples the initial values stand for.
	priorWeight = 20.0
	// priorSpread is the size of the samples that the initial values stand for.
	priorSpread = 5000.0 // tokens
)

// speed learns how long a service's backend servers take.
type speed struct {
	first      line    // to the first event of engines as they are
	calm       line    // to the first event of engines with little to do
	perOutput  average // ms for each token of an answer
	calmOutput average // the same of engines with little to do
	perRequest float64 // ms for a request to a plain backend server
	perRun     float64 // ms from a request's first event to its end
}

func newSpeed() *speed {
	return &speed{
		first: newLine(), calm: newLine(), perOutput: average{value: initialPerOutput},
		calmOutput: average{value: initialPerOutput},
		perRequest: initialPerRequest, perRun: initialPerRun,
	}
}

// average follows a value with fading weights.
type average struct {
	value float64
	seen  float64 // samples
}

func (a *average) learn(sample float64) {
	a.seen++
	a.value += max(outputGain, 1/(a.seen+1)) * (sample - a.value)
}

// line is a base time and a time for each token, learned by least squares with
// fading weights.
type line struct{ n, x, y, xx, xy float64 }

func newLine() line {
	var s line
	for _, tokens := range []float64{0, 2 * priorSpread} {
		time := initialBase + initialPerToken*tokens
		s.add(tokens, time, priorWeight/2)
	}
	return s
}

func (s *line) add(tokens, time, weight float64) {
	s.n += weight
	s.x += weight * tokens
	s.y += weight * time
	s.xx += weight * tokens * tokens
	s.xy += weight * tokens * time
}

// learn takes the time in ms that passed until the first event, and the tokens
// that had to be read before it.
func (s *line) learn(tokens, time float64) {
	s.n *= speedMemory
	s.x *= speedMemory
	s.y *= speedMemory
	s.xx *= speedMemory
	s.xy *= speedMemory
	s.add(tokens, time, 1)
}

// perToken returns the time in ms to read one token.
func (s *line) perToken() float64 {
	d := s.n*s.xx - s.x*s.x
	if d <= 0 {
		return initialPerToken
	}
	slope := (s.n*s.xy - s.x*s.y) / d
	return min(max(slope, minPerToken), maxPerToken)
}

// predict returns the time in ms to the first event.
func (s *line) predict(tokens float64) float64 {
	slope := s.perToken()
	base := (s.y - slope*s.x) / s.n
	return max(base, 0) + slope*tokens
}

// Demand is the work that callers ask of a service, in tokens a second.
type Demand struct {
	Prompt float64 // to be read
	Output float64
}

// Work returns how many backend servers a demand keeps busy: by reading prompts
// and by generating, with half of the slots of a server running. It goes by what
// engines with little to do need: waiting is no work, and counting it would order
// ever more servers in an overload.
func (p *Placer) Work(service entity.ServiceName, d Demand) float64 {
	s := p.speed(service)
	batch := max(float64(p.slots(service))/2, 1)
	return (d.Prompt*s.calm.perToken() + d.Output*s.calmOutput.value/batch) / 1000
}

// slots returns the slots of a service's backend servers, the most that one has.
func (p *Placer) slots(service entity.ServiceName) int {
	most := 0
	p.servers.All(func(_ entity.BackendServerID, r *row) bool {
		if r.Service == service {
			most = max(most, r.Slots)
		}
		return true
	})
	return most
}

// learnOutput takes the time in ms that the tokens of an answer took.
func (s *speed) learnOutput(time, tokens float64, calm bool) {
	s.perOutput.learn(time / tokens)
	if calm {
		s.calmOutput.learn(time / tokens)
	}
}

// learnRun takes the time in ms that a request held its slot after its first
// event.
func (s *speed) learnRun(time float64) {
	s.perRun += outputGain * (time - s.perRun)
}

// learnRequest takes the time in ms of a request that had a slot at once.
func (s *speed) learnRequest(time float64) {
	s.perRequest += outputGain * (time - s.perRequest)
}

// OutputTime returns how long an answer of so many tokens takes from its first
// event to its last.
func (p *Placer) OutputTime(service entity.ServiceName, tokens entity.Tokens) time.Duration {
	return time.Duration(p.speed(service).perOutput.value * float64(tokens) * float64(time.Millisecond))
}

// Speed describes what has been learned of a service's engines, for logs.
func (p *Placer) Speed(service entity.ServiceName) string {
	s := p.speed(service)
	return fmt.Sprintf("first %.0f ms prompt %.4f ms, calm %.4f ms, output %.2f ms, calm %.2f ms",
		s.first.predict(0), s.first.perToken(), s.calm.perToken(), s.perOutput.value, s.calmOutput.value)
}
