package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

const (
	// minSpeedNews is the least difference that is told to the other daemons, as a logarithm.
	minSpeedNews = 0.14 // a factor of 1.15
	// doubtedSamples is the number of samples that weigh as much as what the others know. A
	// single sample is told only if it differs much.
	doubtedSamples = 2.0
	// maxSpeedSamples and maxSpeedBytes limit the samples in one update.
	maxSpeedSamples = 8
	maxSpeedBytes   = 200
	// speedSampleBytes is the encoded size of a SpeedSample, without its server's ID.
	speedSampleBytes = 10
	// logUnit is the unit in which logarithms of ratios are sent.
	logUnit = 0.02
	// maxToldWeight limits what a single message says.
	maxToldWeight = 20
)

// SpeedSample is what one daemon's new samples say of a process of a backend server.
type SpeedSample struct {
	_       struct{} `cbor:",toarray"`
	Server  entity.BackendServerID
	Process uint16 // see processTag
	Ratio   int16  // logarithm of the ratio to the service's times, in units of logUnit
	Samples uint8  // number of samples
}

// processTag tells the processes of one backend server apart.
func processTag(born int64) uint16 { return uint16(born ^ born>>16 ^ born>>32) }

// news returns how much the untold samples would change what the others know, as a logarithm.
func (s *serverSpeed) news() float64 {
	if s.untold.weight == 0 {
		return 0
	}
	w := s.untold.weight
	return math.Abs(s.untold.sum/w-s.told.value) * w / (w + doubtedSamples)
}

// SpeedSamples returns what the other daemons should know of the backend servers' speeds,
// that which differs most first. It is told once.
func (p *Placer) SpeedSamples(now time.Time) []SpeedSample {
	if !p.serverSpeeds {
		return nil
	}
	p.refreshSpeeds(now)
	var out []SpeedSample
	bytes := 0
	for _, r := range p.rowsWithNews() {
		bytes += speedSampleBytes + len(r.ID)
		if len(out) == maxSpeedSamples || bytes > maxSpeedBytes {
			break
		}
		out = append(out, r.tellSpeed(now))
	}
	return out
}

// rowsWithNews returns the servers of which this daemon has news, most of it first.
func (p *Placer) rowsWithNews() []*serverRow {
	var rows []*serverRow
	p.servers.All(func(_ entity.BackendServerID, r *serverRow) bool {
		if r.speed.news() >= minSpeedNews {
			rows = append(rows, r)
		}
		return true
	})
	slices.SortStableFunc(rows, func(a, b *serverRow) int { return cmp.Compare(b.speed.news(), a.speed.news()) })
	return rows
}

// tellSpeed returns a server's untold samples as a message, and counts them as told.
func (r *serverRow) tellSpeed(now time.Time) SpeedSample {
	s := &r.speed
	mean := s.untold.sum / s.untold.weight
	weight := min(max(math.Round(s.untold.weight), 1), maxToldWeight)
	s.told.learn(now, mean, weight)
	s.untold = logSum{}
	return SpeedSample{Server: r.ID, Process: processTag(r.Born), Ratio: int16(math.Round(mean / logUnit)), Samples: uint8(weight)}
}

// ReceiveSpeedSamples applies another daemon's samples.
func (p *Placer) ReceiveSpeedSamples(now time.Time, samples []SpeedSample) {
	if !p.serverSpeeds {
		return
	}
	for _, sample := range samples {
		r := p.servers.Get(sample.Server)
		if r == nil || processTag(r.Born) != sample.Process {
			continue
		}
		s := &r.speed
		ratio, weight := float64(sample.Ratio)*logUnit, float64(min(sample.Samples, maxToldWeight))
		s.estimate.learn(now, ratio, weight)
		s.told.learn(now, ratio, weight)
		s.sampledAt = now
		s.updateFactor()
	}
}
