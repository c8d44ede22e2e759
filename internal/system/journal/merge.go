package journal

import (
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

// merge makes one segment of several, part by part, so that memory holds one
// part of each only.
type merge struct {
	inputs    []*mergeInput
	groupBits int // the hash range is merged in 1<<groupBits steps
	group     int
	output    *segment
	positions []uint64
}

// mergeInput is a segment that is merged, and its part that is in memory.
type mergeInput struct {
	seg     *segment
	part    int // -1: none
	records []record
}

// mayMerge merges MergeCount neighbours of one level, so that the number of
// filters to ask stays small.
func (j *Journal) mayMerge(now time.Time, s *shard) {
	inputs := j.mergeable(s)
	if inputs == nil {
		s.sealing = false
		j.maySeal(now, s)
		return
	}
	j.mergeGroup(now, s, newMerge(s, inputs))
}

// mergeable returns neighbours of one level that make a segment of at most
// MergeKeys, or nil.
func (j *Journal) mergeable(s *shard) []*segment {
	for end := j.cfg.MergeCount; end <= len(s.segments); end++ {
		inputs := s.segments[end-j.cfg.MergeCount : end]
		keys := 0
		sameLevel := true
		for _, seg := range inputs {
			keys += seg.ref.Keys
			sameLevel = sameLevel && seg.ref.Level == inputs[0].ref.Level
		}
		if sameLevel && keys <= j.cfg.MergeKeys {
			return inputs
		}
	}
	return nil
}

func newMerge(s *shard, segs []*segment) *merge {
	m := &merge{output: &segment{ref: segmentRef{Name: s.name(), Level: segs[0].ref.Level + 1}}}
	parts := 0
	for _, seg := range segs {
		m.inputs = append(m.inputs, &mergeInput{seg: seg, part: -1})
		m.groupBits = max(m.groupBits, seg.ref.Bits)
		parts += seg.ref.parts()
	}
	m.output.ref.Bits = max(m.groupBits, bitsFor(parts, 1))
	return m
}

// mergeGroup merges the next step's records and stores the parts they make.
func (j *Journal) mergeGroup(now time.Time, s *shard, m *merge) {
	if m.group == 1<<m.groupBits {
		j.mergeDone(now, s, m)
		return
	}
	j.readInputs(now, s, m, 0, func(now time.Time) {
		records := j.mergeRecords(now, m)
		first, parts := m.cutGroup(records)
		i := -1
		next := func() (string, []byte, bool) {
			i++
			if i == len(parts) {
				return "", nil, false
			}
			return m.output.ref.partObject(s.index, first+i), mustEncode(partObject{Records: parts[i]}), true
		}
		j.upload(now, s, next, func(now time.Time) {
			m.group++
			j.mergeGroup(now, s, m)
		})
	})
}

// readInputs reads the parts that the step needs and that are not in memory.
func (j *Journal) readInputs(now time.Time, s *shard, m *merge, failures int, done func(time.Time)) {
	i := slices.IndexFunc(m.inputs, func(in *mergeInput) bool { return in.part != m.partOf(in) })
	if i < 0 {
		done(now)
		return
	}
	in := m.inputs[i]
	part := m.partOf(in)
	op := provider.Operation{Kind: provider.GetObject, Key: in.seg.ref.partObject(s.index, part)}
	j.call(op, j.whileIn(s, func(now time.Time, r provider.Result) {
		var value partObject
		err := r.Err
		if err == nil {
			err = codec.Decode(r.Value, &value)
		}
		if err != nil {
			failures++
			j.later(now, s, j.backoff(j.cfg.RetryDelay, retryDelayMax, failures), func(now time.Time) {
				j.readInputs(now, s, m, failures, done)
			})
			return
		}
		in.part, in.records = part, value.Records
		j.readInputs(now, s, m, 0, done)
	}))
}

// partOf returns the input's part that holds the step's hash range.
func (m *merge) partOf(in *mergeInput) int { return m.group >> (m.groupBits - in.seg.ref.Bits) }

// mergeRecords returns the step's records; of one key's, that of the newest
// input stays, and none that is past its retention.
func (j *Journal) mergeRecords(now time.Time, m *merge) []record {
	var records []record
	for _, in := range slices.Backward(m.inputs) {
		for _, rec := range in.records {
			if partOf(rec.Hash, m.groupBits) == m.group && !j.expired(now, rec.At) {
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

// cutGroup returns the step's parts of the output and the number of the first.
func (m *merge) cutGroup(records []record) (int, [][]record) {
	bits := m.output.ref.Bits - m.groupBits
	first := m.group << bits
	parts := make([][]record, 1<<bits)
	for _, rec := range records {
		i := partOf(rec.Hash, m.output.ref.Bits) - first
		parts[i] = append(parts[i], rec)
	}
	return first, parts
}

// mergeDone stores the filter and writes the shard's row that names the new
// segment in place of its inputs.
func (j *Journal) mergeDone(now time.Time, s *shard, m *merge) {
	m.output.filter = newFilter(m.positions)
	m.positions = nil
	j.put(s, m.output.ref.filterObject(s.index), encodeFilter(m.output.filter), 0, func(now time.Time) {
		s.change = &rowChange{
			change: func(_ *shardRow, held *manifest) {
				held.Segments = m.replace(held.Segments)
				j.dropExpired(now, held)
			},
			done: func(now time.Time) {
				j.replaceSegments(now, s, m.output)
				j.emit(now, event.JournalSegmentMerged, m.output.ref.Name)
				j.mayMerge(now, s)
			},
		}
		j.startWrite(now, s)
	})
}

// replace puts the output where the first input stood.
func (m *merge) replace(refs []segmentRef) []segmentRef {
	out := make([]segmentRef, 0, len(refs))
	placed := false
	for _, ref := range refs {
		if !slices.ContainsFunc(m.inputs, func(in *mergeInput) bool { return in.seg.ref.Name == ref.Name }) {
			out = append(out, ref)
			continue
		}
		if !placed && m.output.ref.Keys > 0 {
			out = append(out, m.output.ref)
		}
		placed = true
	}
	return out
}
