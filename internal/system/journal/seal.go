package journal

import (
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

// sealIfFull moves the older half of the records in memory into a segment once
// there are twice as many as are to be kept, by count or by bytes.
func (j *Journal) sealIfFull(now time.Time, s *shard) {
	full := len(s.rowOrder) >= 2*j.cfg.HotKeys || s.hotBytes >= 2*j.cfg.HotBytes
	if s.state != stateOwned || s.sealing || s.releasing || !full {
		return
	}
	s.sealing = true
	cut := j.sealCut(s)
	records := j.recordsToSeal(now, s, cut)
	if len(records) == 0 {
		j.commitSeal(now, s, nil, cut)
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
	j.putObjects(now, s, next, func(now time.Time) { j.commitSeal(now, s, seg, cut) })
}

// sealCut returns the sort key of the last row whose records are to be sealed.
func (j *Journal) sealCut(s *shard) string {
	count, size := len(s.rowOrder), s.hotBytes
	cut := s.rowOrder[0].row
	for i := range s.rowOrder {
		if count <= j.cfg.HotKeys && size <= j.cfg.HotBytes {
			break
		}
		count--
		size -= s.rowOrder[i].size
		cut = s.rowOrder[i].row
	}
	return cut
}

// recordsToSeal returns, in the order of their hashes, the records of rows up
// to cut that no later record has replaced and whose retention is not over.
func (j *Journal) recordsToSeal(now time.Time, s *shard, cut string) []record {
	seen := make(map[keyHash]bool, j.cfg.HotKeys)
	var records []record
	for _, o := range s.rowOrder {
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
		Name: s.newSegmentName(), Keys: len(records), Bits: bitsFor(size, j.cfg.TargetPartBytes), Until: newestTime(records),
	}
	return &segment{ref: ref, filter: newFilter(positions)}
}

// splitParts splits sorted records into 1<<bits parts.
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

// commitSeal writes the manifest that names the segment. Only then are the keys
// dropped from memory and their rows deleted.
func (j *Journal) commitSeal(now time.Time, s *shard, seg *segment, cut string) {
	s.pendingChange = &rowChange{
		apply: func(_ *shardRow, newManifest *manifest) {
			newManifest.Sealed = cut
			if seg != nil {
				newManifest.Segments = append(newManifest.Segments, seg.ref)
			}
			j.dropExpired(now, newManifest)
		},
		done: func(now time.Time) {
			j.updateSegments(now, s, seg)
			rows := s.dropSealed(cut, j.cfg.HotKeys)
			if seg != nil {
				j.emitEvent(now, event.JournalSegmentSealed, seg.ref.Name)
			}
			j.deleteRows(now, s, rows, 0, func(time.Time) {})
			j.mergeIfPossible(now, s)
		},
	}
	j.startWrite(now, s)
}

// dropSealed drops the entries whose record is in a segment now, and returns
// the sort keys of the rows that contained them.
func (s *shard) dropSealed(cut string, hotKeys int) []string {
	var rows []string
	n := 0
	for n < len(s.rowOrder) && s.rowOrder[n].row <= cut {
		o := s.rowOrder[n]
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
		s.addCachedKey(o.hash, hotKeys)
	}
	s.rowOrder = slices.Clone(s.rowOrder[n:])
	return rows
}
