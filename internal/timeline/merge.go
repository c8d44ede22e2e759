package timeline

import (
	"cmp"
	"slices"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// Lane is one process of a timeline.
type Lane struct {
	Process    entity.InstanceID   `json:"process"`
	DataCentre entity.DataCentreID `json:"data_centre"`
	Forgotten  uint64              `json:"forgotten"` // how many of its oldest events its recorder has overwritten
}

// Timeline holds the events of several processes in one causal order.
type Timeline struct {
	Lanes   []Lane  `json:"lanes"`
	Entries []Entry `json:"entries"`
}

// Merge merges the exports of several processes into one timeline. Of an entry
// that is in several exports it keeps one.
func Merge(exports ...Export) Timeline {
	var t Timeline
	for _, e := range exports {
		t.Entries = append(t.Entries, e.Entries...)
		lane := Lane{Process: e.Process, DataCentre: e.DataCentre, Forgotten: e.Forgotten}
		if !slices.ContainsFunc(t.Lanes, func(l Lane) bool { return l.Process == lane.Process }) {
			t.Lanes = append(t.Lanes, lane)
		}
	}
	slices.SortFunc(t.Lanes, func(a, b Lane) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Process, b.Process))
	})
	slices.SortFunc(t.Entries, func(a, b Entry) int {
		return cmp.Or(a.Stamp.Compare(b.Stamp), cmp.Compare(a.Process, b.Process), cmp.Compare(a.Sequence, b.Sequence))
	})
	t.Entries = slices.CompactFunc(t.Entries, func(a, b Entry) bool {
		return a.Process == b.Process && a.Sequence == b.Sequence && a.Stamp == b.Stamp
	})
	return t
}
