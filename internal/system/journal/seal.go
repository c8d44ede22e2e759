package journal

import (
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

// maySeal moves the older half of the hot records into a segment once there
// are twice as many as are to be kept, by count or by bytes.
func (j *Journal) maySeal(now time.Time, s *shard) {
	full := len(s.order) >= 2*j.cfg.HotKeys || s.hotBytes >= 2*j.cfg.HotBytes
	if s.state != stateOwned || s.sealing || s.releasing || !full {
		return
	}
	s.sealing = true
	cut := j.sealCut(s)
	records := j.sealable(now, s, cut)
	if len(records) == 0 {
		j.sealed(now, s, nil, cut)
		return
	}
	seg := j.newSegment(s, records)
	parts := splitParts(records, seg.ref.Bits)
	filterValue := encodeFilter(seg.filter)
	part := -1
	next := func() (string, []byte, bool) {
		part++
		switch {
		case part < len(parts):
			return seg.ref.partObject(s.index, part), mustEncode(partObject{Records: parts[part]}), true
		case part == len(parts):
			return seg.ref.filterObject(s.index), filterValue, true
		default:
			return "", nil, false
		}
	}
	j.upload(now, s, next, func(now time.Time) { j.sealed(now, s, seg, cut) })
}

// sealCut returns the row up to which records are to be sealed.
func (j *Journal) sealCut(s *shard) string {
	count, size := len(s.order), s.hotBytes
	cut := s.order[0].row
	for i := range s.order {
		if count <= j.cfg.HotKeys && size <= j.cfg.HotBytes {
			break
		}
		count--
		size -= s.order[i].size
		cut = s.order[i].row
	}
	return cut
}

// sealable returns, in the order of their hashes, the records whose row is
// not above cut and that no later record has replaced.
func (j *Journal) sealable(now time.Time, s *shard, cut string) []record {
	seen := make(map[keyHash]bool, j.cfg.HotKeys)
	var records []record
	for _, o := range s.order {
		if o.row > cut {
			break
		}
		e := s.entries[o.hash]
		if e == nil || e.row != o.row || seen[o.hash] || j.expired(now, e.record.At) {
			continue
		}
		seen[o.hash] = true
		records = append(records, e.record)
	}
	slices.SortFunc(records, compareRecords)
	return records
}

func (j *Journal) newSegment(s *shard, records []record) *segment {
	size := 0
	positions := make([]uint64, len(records))
	for i := range records {
		size += records[i].size()
		positions[i] = records[i].Hash.position()
	}
	ref := segmentRef{
		Name: s.name(), Keys: len(records), Bits: bitsFor(size, j.cfg.PartBytes), Until: latest(records),
	}
	return &segment{ref: ref, filter: newFilter(positions)}
}

// splitParts cuts sorted records into 1<<bits parts.
func splitParts(records []record, bits int) [][]record {
	parts := make([][]record, 1<<bits)
	start := 0
	for part := range parts {
		end := start
		for end < len(records) && partOf(records[end].Hash, bits) == part {
			end++
		}
		parts[part] = records[start:end]
		start = end
	}
	return parts
}

// sealed writes the manifest that names the segment. Only then are the
// keys dropped from memory and their rows deleted.
func (j *Journal) sealed(now time.Time, s *shard, seg *segment, cut string) {
	s.change = &rowChange{
		change: func(_ *shardRow, held *manifest) {
			held.Sealed = cut
			if seg != nil {
				held.Segments = append(held.Segments, seg.ref)
			}
			j.dropExpired(now, held)
		},
		done: func(now time.Time) {
			j.replaceSegments(now, s, seg)
			rows := s.dropSealed(cut, j.cfg.HotKeys)
			if seg != nil {
				j.emit(now, event.JournalSegmentSealed, seg.ref.Name)
			}
			j.trim(now, s, rows, 0, func(time.Time) {})
			j.mayMerge(now, s)
		},
	}
	j.startWrite(now, s)
}

// dropSealed drops the entries whose record is in a segment now, and returns
// the rows that held them.
func (s *shard) dropSealed(cut string, hotKeys int) []string {
	var rows []string
	n := 0
	for n < len(s.order) && s.order[n].row <= cut {
		o := s.order[n]
		n++
		s.hotBytes -= o.size
		if len(rows) == 0 || rows[len(rows)-1] != o.row {
			rows = append(rows, o.row)
		}
		e := s.entries[o.hash]
		if e == nil || e.row != o.row {
			continue
		}
		if e.idle() {
			delete(s.entries, o.hash)
			continue
		}
		e.row = ""
		s.cache(o.hash, hotKeys)
	}
	s.order = slices.Clone(s.order[n:])
	return rows
}
