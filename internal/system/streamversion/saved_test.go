package streamversion

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// TestSaved_StreamsOfAProcessAreKnownToTheNext: streams of two versions and two organisations, some
// of them complete, some of a service with one version.
func TestSaved_StreamsOfAProcessAreKnownToTheNext(t *testing.T) {
	now := time.Unix(1000, 0)
	former := New()
	begin := func(id, service, version, organisation string) entity.RequestID {
		former.Put(now, Record{Request: entity.RequestID(id), Service: entity.ServiceName(service), Version: version, Life: time.Minute, Organisation: entity.OrganisationID(organisation)})
		former.MarkBegun(entity.RequestID(id))
		return entity.RequestID(id)
	}
	one, two, other := begin("1", "s", "v1", "a"), begin("2", "s", "v2", "a"), begin("3", "s", "v1", "b")
	complete, single := begin("4", "s", "v1", "a"), begin("5", "t", "v1", "a")
	former.Complete(complete)
	former.Put(now, Record{Request: "6", Service: "s", Version: "v1", Life: time.Minute}) // begun by another process
	groups, any := former.ToSave(now, func(s entity.ServiceName) bool { return s == "s" })
	if !any || len(groups) != 3 {
		t.Fatalf("saved %+v", groups)
	}
	next := New()
	if next.AddSaved(now, &SavedRow{Groups: groups}, 10*time.Second) {
		t.Fatal("the row passes for an old one")
	}
	for id, want := range map[entity.RequestID]string{one: "v1 a", two: "v2 a", other: "v1 b", complete: "", single: "", "6": ""} {
		got := ""
		if rec, known := next.FindSaved(now, id); known {
			got = rec.Version + " " + string(rec.Organisation)
		}
		if got != want {
			t.Errorf("stream %s: %q, want %q", id, got, want)
		}
	}
	later := now.Add(savedLife - 10*time.Second)
	next.Forget(later)
	if _, known := next.FindSaved(later, one); known || len(next.saved) > 0 {
		t.Error("a stream is known longer than a caller takes it up")
	}
	if !next.AddSaved(now, &SavedRow{Groups: groups}, savedLife) || len(next.saved) > 0 {
		t.Error("streams of an old row are added")
	}
}

// TestSaved_Bounds: neither a row nor what is read of many rows grows without a bound, and the newest
// streams are saved.
func TestSaved_Bounds(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New()
	for i := range 2 * maxSavedPerRow {
		id := entity.RequestID(fmt.Sprint(i))
		r.Put(now, Record{Request: id, Service: "s", Version: "v1", Life: time.Minute})
		r.MarkBegun(id)
	}
	groups, _ := r.ToSave(now, func(entity.ServiceName) bool { return true })
	if n := len(groups[0].Streams); n != maxSavedPerRow {
		t.Errorf("%d streams in a row, %d allowed", n, maxSavedPerRow)
	}
	r.AddSaved(now, &SavedRow{Groups: groups}, 0)
	if _, known := r.FindSaved(now, entity.RequestID(fmt.Sprint(2*maxSavedPerRow-1))); !known {
		t.Error("the newest stream is not saved")
	}
	row := SavedRow{Groups: []SavedGroup{{}}}
	for i := range uint64(2 * maxSaved) {
		row.Groups[0].Streams = append(row.Groups[0].Streams, i)
	}
	r.AddSaved(now, &row, 0)
	if len(r.saved) > maxSaved {
		t.Errorf("%d streams are kept, %d allowed", len(r.saved), maxSaved)
	}
}
