package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

const (
	// minSharedChange is the least change of the shared estimate for which samples are sent, as a logarithm.
	minSharedChange = 0.14 // a factor of 1.15
	// priorSharedSamples is the number of samples that the shared estimate counts as, so that a
	// single sample is sent only if it differs much.
	priorSharedSamples = 2.0
	// maxSpeedSamples and maxSpeedBytes limit the samples in one update.
	maxSpeedSamples = 8
	maxSpeedBytes   = 200
	// speedSampleBytes is the encoded size of a SpeedSample, without its server's ID.
	speedSampleBytes = 10
	// logUnit is the unit in which logarithms of ratios are sent.
	logUnit = 0.02
	// maxSentWeight limits the weight of a single message, in samples.
	maxSentWeight = 20
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

// unsentChange returns how much the unsent samples would change the shared estimate, as a
// logarithm.
func (s *serverSpeed) unsentChange() float64 {
	if s.unsent.weight == 0 {
		return 0
	}
	w := s.unsent.weight
	return math.Abs(s.unsent.sum/w-s.shared.value) * w / (w + priorSharedSamples)
}

// SpeedSamples returns what the other daemons should know of the backend servers' speeds,
// that which differs most first. Each sample is returned once.
func (p *Placer) SpeedSamples(now time.Time) []SpeedSample {
	if !p.serverSpeeds {
		return nil
	}
	p.refreshSpeeds(now)
	var out []SpeedSample
	bytes := 0
	for _, r := range p.rowsWithUnsentSamples() {
		bytes += speedSampleBytes + len(r.ID)
		if len(out) == maxSpeedSamples || bytes > maxSpeedBytes {
			break
		}
		out = append(out, r.takeSpeedSample(now))
	}
	return out
}

// rowsWithUnsentSamples returns the servers whose unsent samples are to be sent, the greatest
// change first.
func (p *Placer) rowsWithUnsentSamples() []*serverRow {
	var rows []*serverRow
	p.servers.All(func(_ entity.BackendServerID, r *serverRow) bool {
		if r.speed.unsentChange() >= minSharedChange {
			rows = append(rows, r)
		}
		return true
	})
	slices.SortStableFunc(rows, func(a, b *serverRow) int { return cmp.Compare(b.speed.unsentChange(), a.speed.unsentChange()) })
	return rows
}

// takeSpeedSample returns a server's unsent samples as a message, and counts them as sent.
func (r *serverRow) takeSpeedSample(now time.Time) SpeedSample {
	s := &r.speed
	mean := s.unsent.sum / s.unsent.weight
	weight := min(max(math.Round(s.unsent.weight), 1), maxSentWeight)
	s.shared.learn(now, mean, weight)
	s.unsent = logSum{}
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
		ratio, weight := float64(sample.Ratio)*logUnit, float64(min(sample.Samples, maxSentWeight))
		s.estimate.learn(now, ratio, weight)
		s.shared.learn(now, ratio, weight)
		s.sampledAt = now
		s.updateFactor()
	}
}
