package placement

import (
	"fmt"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

const (
	// initialMillisPerPromptToken is the assumed time to read one prompt token
	// before any request was measured.
	initialMillisPerPromptToken = 0.015 // ms
	// initialBaseMillis is the assumed part of the time to the first event that
	// does not depend on the prompt's size.
	initialBaseMillis = 50.0 // ms
	// initialMillisPerOutputToken is the assumed time for each token of an
	// answer before any was measured.
	initialMillisPerOutputToken = 12.0 // ms
	// initialRequestMillis is the assumed time of a request to a plain backend
	// server before any was measured.
	initialRequestMillis = 20.0 // ms
	// initialRunMillis is the assumed time from the first event to the end of a
	// request before any was measured.
	initialRunMillis = 1000.0 // ms
	// minSampleWeight is the lowest weight of a new sample in the average time
	// of an output token; the first samples weigh more, so that they soon
	// replace the initial value. In the averages of a request's times it is the
	// weight of every sample.
	minSampleWeight = 0.02
	// lightLoadRatio is the fraction of its slots up to which an engine counts
	// as lightly loaded, so that its times show its own speed and not its
	// waiting.
	lightLoadRatio = 0.5
	// sampleDecay is the factor by which each new sample of the time to the
	// first event lowers the weight of the earlier ones.
	sampleDecay = 0.99
	// minMillisPerPromptToken and maxMillisPerPromptToken limit the effect of a
	// few outliers on the learned time.
	minMillisPerPromptToken = 0.001 // ms
	maxMillisPerPromptToken = 0.2   // ms
	// priorSamples is the number of samples that the initial values count as.
	priorSamples = 20.0
	// priorMeanTokens is the mean prompt size of these samples.
	priorMeanTokens = 5000.0 // tokens
)

// speed holds the learned times of a service's backend servers.
type speed struct {
	firstEvent             line      // time to the first event, from all requests
	lightFirstEvent        line      // time to the first event of lightly loaded engines
	outputTokenMillis      average   // ms for each token of an answer, from all requests
	lightOutputTokenMillis average   // ms for each token of an answer of lightly loaded engines
	requestMillis          float64   // ms for a request to a plain backend server
	requestSampledAt       time.Time // of the newest sample of it, or when it was lowered for want of one
	runMillis              float64   // ms from a request's first event to its end
	usualFirstEvent        average   // logarithm of the time to the first event / the expected one
	usualOutput            average   // logarithm of the time of an answer's tokens / the expected one
	arrivals               arrivals
}

func newSpeed() *speed {
	return &speed{
		firstEvent: newLine(), lightFirstEvent: newLine(), outputTokenMillis: average{value: initialMillisPerOutputToken},
		lightOutputTokenMillis: average{value: initialMillisPerOutputToken},
		requestMillis:          initialRequestMillis, runMillis: initialRunMillis,
	}
}

// average is a mean in which older samples weigh less.
type average struct {
	value   float64
	samples float64 // number of samples
}

func (a *average) learn(sample float64) {
	a.samples++
	a.value += max(minSampleWeight, 1/(a.samples+1)) * (sample - a.value)
}

// line is a base time plus a time for each token, fitted by least squares.
// Older samples weigh less. Its fields are the weighted sums of the samples:
// their number, tokens x, times y, x*x and x*y.
type line struct{ n, x, y, xx, xy float64 }

func newLine() line {
	var s line
	for _, tokens := range []float64{0, 2 * priorMeanTokens} {
		millis := initialBaseMillis + initialMillisPerPromptToken*tokens
		s.add(tokens, millis, priorSamples/2)
	}
	return s
}

func (s *line) add(tokens, millis, weight float64) {
	s.n += weight
	s.x += weight * tokens
	s.y += weight * millis
	s.xx += weight * tokens * tokens
	s.xy += weight * tokens * millis
}

// learn adds a sample: the time in ms that passed until the first event, and
// the tokens that had to be read before it.
func (s *line) learn(tokens, millis float64) {
	s.n *= sampleDecay
	s.x *= sampleDecay
	s.y *= sampleDecay
	s.xx *= sampleDecay
	s.xy *= sampleDecay
	s.add(tokens, millis, 1)
}

// millisPerToken returns the time in ms to read one token.
func (s *line) millisPerToken() float64 {
	d := s.n*s.xx - s.x*s.x
	if d <= 0 {
		return initialMillisPerPromptToken
	}
	slope := (s.n*s.xy - s.x*s.y) / d
	return min(max(slope, minMillisPerPromptToken), maxMillisPerPromptToken)
}

// predict returns the time in ms to the first event.
func (s *line) predict(tokens float64) float64 {
	slope := s.millisPerToken()
	base := (s.y - slope*s.x) / s.n
	return max(base, 0) + slope*tokens
}

// Demand is the rate of tokens that callers request from a service, in tokens a
// second.
type Demand struct {
	Prompt float64 // prompt tokens that engines must read
	Output float64
}

// BusyServers returns how many backend servers a demand keeps busy by reading prompts
// and by generating answers, if half of the slots of each server are in use. It
// uses the times of lightly loaded engines: waiting is no work, and counting it
// would request more and more servers in an overload.
func (p *Placer) BusyServers(service entity.ServiceName, d Demand) float64 {
	s := p.speed(service)
	batch := max(float64(p.maxSlots(service))/2, 1)
	return (d.Prompt*s.lightFirstEvent.millisPerToken() + d.Output*s.lightOutputTokenMillis.value/batch) / 1000
}

// maxSlots returns the largest number of slots of any of a service's backend
// servers.
func (p *Placer) maxSlots(service entity.ServiceName) int {
	highest := 0
	p.servers.All(func(_ entity.BackendServerID, r *serverRow) bool {
		if r.Service == service {
			highest = max(highest, r.Slots)
		}
		return true
	})
	return highest
}

// learnOutput adds the time in ms that the output tokens of an answer took.
func (s *speed) learnOutput(millis, tokens float64, lightlyLoaded bool) {
	s.outputTokenMillis.learn(millis / tokens)
	if lightlyLoaded {
		s.lightOutputTokenMillis.learn(millis / tokens)
	}
}

// learnRun adds the time in ms that a request held its slot after its first
// event.
func (s *speed) learnRun(millis float64) {
	s.runMillis += minSampleWeight * (millis - s.runMillis)
}

// learnRequest adds the time in ms of a request that got a slot at once.
func (s *speed) learnRequest(now time.Time, millis float64) {
	s.requestMillis += minSampleWeight * (millis - s.requestMillis)
	s.requestSampledAt = now
}

// requestSampleLifetime is how long the time of a request to a plain backend server is believed, without a new
// sample, against requests that it lets be refused.
const requestSampleLifetime = 3 * time.Second

// DoubtRequestTime halves the learned time of a plain service's requests, down to the assumed one, if it is old and
// the server has nothing in progress. To be called when a request is refused for that time: refused requests
// bring no samples, so that it would never be corrected.
func (p *Placer) DoubtRequestTime(now time.Time, id entity.BackendServerID) {
	r := p.servers.Get(id)
	if r == nil || r.requestCount() > 0 {
		return
	}
	s := p.speed(r.Service)
	if s.requestMillis > initialRequestMillis && now.Sub(s.requestSampledAt) >= requestSampleLifetime {
		s.requestMillis = max(s.requestMillis/2, initialRequestMillis)
		s.requestSampledAt = now
	}
}

// OutputDuration returns how long an answer of this many tokens takes from its
// first event to its last.
func (p *Placer) OutputDuration(service entity.ServiceName, tokens entity.Tokens) time.Duration {
	return time.Duration(p.speed(service).outputTokenMillis.value * float64(tokens) * float64(time.Millisecond))
}

// SpeedSummary returns a text for logs with the learned times of a service's engines.
func (p *Placer) SpeedSummary(service entity.ServiceName) string {
	s := p.speed(service)
	return fmt.Sprintf("first %.0f ms prompt %.4f ms, lightly loaded %.4f ms, output %.2f ms, lightly loaded %.2f ms",
		s.firstEvent.predict(0), s.firstEvent.millisPerToken(), s.lightFirstEvent.millisPerToken(), s.outputTokenMillis.value, s.lightOutputTokenMillis.value)
}
