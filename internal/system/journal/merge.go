package journal

import (
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

// merge merges several segments into one, part by part, so that at most one
// part of each input is in memory.
type merge struct {
	inputs    []*mergeInput
	stepBits  int // the hash range is merged in 1<<stepBits steps
	step      int
	output    *segment
	positions []uint64
}

// mergeInput is a segment that is being merged, and its part that is in memory.
type mergeInput struct {
	seg     *segment
	part    int // number of the part in memory; -1: none
	records []record
}

// mergeIfPossible merges MergeCount adjacent segments of one level, so that a
// lookup has few filters to check.
func (j *Journal) mergeIfPossible(now time.Time, s *shard) {
	inputs := j.mergeableSegments(s)
	if inputs == nil {
		s.sealing = false
		j.sealIfFull(now, s)
		return
	}
	j.mergeStep(now, s, newMerge(s, inputs))
}

// mergeableSegments returns MergeCount adjacent segments of one level that have
// at most MaxMergeKeys keys in all, or nil.
func (j *Journal) mergeableSegments(s *shard) []*segment {
	for end := j.cfg.MergeCount; end <= len(s.segments); end++ {
		inputs := s.segments[end-j.cfg.MergeCount : end]
		keys := 0
		sameLevel := true
		for _, seg := range inputs {
			keys += seg.ref.Keys
			sameLevel = sameLevel && seg.ref.Level == inputs[0].ref.Level
		}
		if sameLevel && keys <= j.cfg.MaxMergeKeys {
			return inputs
		}
	}
	return nil
}

func newMerge(s *shard, segs []*segment) *merge {
	m := &merge{output: &segment{ref: segmentRef{Name: s.newSegmentName(), Level: segs[0].ref.Level + 1}}}
	parts := 0
	for _, seg := range segs {
		m.inputs = append(m.inputs, &mergeInput{seg: seg, part: -1})
		m.stepBits = max(m.stepBits, seg.ref.Bits)
		parts += seg.ref.parts()
	}
	m.output.ref.Bits = max(m.stepBits, bitsFor(parts, 1))
	return m
}

// mergeStep merges the records of the next step and stores the resulting parts.
func (j *Journal) mergeStep(now time.Time, s *shard, m *merge) {
	if m.step == 1<<m.stepBits {
		j.commitMerge(now, s, m)
		return
	}
	j.readInputParts(now, s, m, 0, func(now time.Time) {
		records := j.mergeRecords(now, m)
		first, parts := m.splitStep(records)
		i := -1
		next := func() (string, []byte, bool) {
			i++
			if i == len(parts) {
				return "", nil, false
			}
			return m.output.ref.partObject(s.index, first+i), mustEncode(partObject{Records: parts[i]}), true
		}
		j.putObjects(now, s, next, func(now time.Time) {
			m.step++
			j.mergeStep(now, s, m)
		})
	})
}

// readInputParts reads the input parts that the step needs and that are not in
// memory.
func (j *Journal) readInputParts(now time.Time, s *shard, m *merge, failures int, done func(time.Time)) {
	i := slices.IndexFunc(m.inputs, func(in *mergeInput) bool { return in.part != m.partOf(in) })
	if i < 0 {
		done(now)
		return
	}
	in := m.inputs[i]
	part := m.partOf(in)
	op := provider.Operation{Kind: provider.GetObject, Key: in.seg.ref.partObject(s.index, part)}
	j.issueOperation(op, j.ifStateUnchanged(s, func(now time.Time, r provider.Result) {
		var value partObject
		err := r.Err
		if err == nil {
			err = codec.Decode(r.Value, &value)
		}
		if err != nil {
			failures++
			j.scheduleForShard(now, s, j.backoff(j.cfg.RetryDelay, maxRetryDelay, failures), func(now time.Time) {
				j.readInputParts(now, s, m, failures, done)
			})
			return
		}
		in.part, in.records = part, value.Records
		j.readInputParts(now, s, m, 0, done)
	}))
}

// partOf returns the number of the input's part that contains the step's hash
// range.
func (m *merge) partOf(in *mergeInput) int { return m.step >> (m.stepBits - in.seg.ref.Bits) }

// mergeRecords returns the step's records in the order of their hashes. Of
// several records of one key it returns that of the newest input. Records past
// their retention are left out.
func (j *Journal) mergeRecords(now time.Time, m *merge) []record {
	var records []record
	for _, in := range slices.Backward(m.inputs) {
		for _, rec := range in.records {
			if partOf(rec.Hash, m.stepBits) == m.step && !j.expired(now, rec.At) {
				records = append(records, rec)
			}
		}
	}
	slices.SortStableFunc(records, compareRecords)
	records = slices.CompactFunc(records, func(a, b record) bool { return a.Hash == b.Hash })
	for i := range records {
		m.positions = append(m.positions, records[i].Hash.position())
		m.output.ref.Until = max(m.output.ref.Until, records[i].At)
	}
	m.output.ref.Keys += len(records)
	return records
}

// splitStep returns the number of the step's first output part, and the records
// of each of the step's output parts.
func (m *merge) splitStep(records []record) (int, [][]record) {
	bits := m.output.ref.Bits - m.stepBits
	first := m.step << bits
	parts := make([][]record, 1<<bits)
	for _, rec := range records {
		i := partOf(rec.Hash, m.output.ref.Bits) - first
		parts[i] = append(parts[i], rec)
	}
	return first, parts
}

// commitMerge stores the output's filter and writes the manifest that names the
// output in place of the inputs.
func (j *Journal) commitMerge(now time.Time, s *shard, m *merge) {
	m.output.filter = newFilter(m.positions)
	m.positions = nil
	j.putObject(s, m.output.ref.filterObject(s.index), encodeFilter(m.output.filter), 0, func(now time.Time) {
		s.pendingChange = &rowChange{
			apply: func(_ *shardRow, newManifest *manifest) {
				newManifest.Segments = m.replaceInputs(newManifest.Segments)
				j.dropExpired(now, newManifest)
			},
			done: func(now time.Time) {
				j.updateSegments(now, s, m.output)
				j.emitEvent(now, event.JournalSegmentMerged, m.output.ref.Name)
				j.mergeIfPossible(now, s)
			},
		}
		j.startWrite(now, s)
	})
}

// replaceInputs returns refs with the output in the position of the first
// input. An output without keys is left out.
func (m *merge) replaceInputs(refs []segmentRef) []segmentRef {
	out := make([]segmentRef, 0, len(refs))
	inserted := false
	for _, ref := range refs {
		if !slices.ContainsFunc(m.inputs, func(in *mergeInput) bool { return in.seg.ref.Name == ref.Name }) {
			out = append(out, ref)
			continue
		}
		if !inserted && m.output.ref.Keys > 0 {
			out = append(out, m.output.ref)
		}
		inserted = true
	}
	return out
}
