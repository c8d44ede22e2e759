package exchange

import (
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/system/streamversion"
)

// TestSavedStreams_WhenRowsAreReadAndWritten: nothing is saved or read while all services have one
// version; rows are read at the start, when a stream is not known, and again after a failure.
func TestSavedStreams_WhenRowsAreReadAndWritten(t *testing.T) {
	one := newTestCore(t, "a")
	one.SetTrueTime(0)
	if _, any := one.StreamsToSave(zero); any || one.SavedStreamsDue(zero) {
		t.Error("a fleet with one version saves or reads streams")
	}
	c := newVersionCore(t, "a", "v1", "v2")
	if c.SavedStreamsDue(zero) {
		t.Error("rows are read without the true time")
	}
	c.SetTrueTime(0)
	if !c.SavedStreamsDue(zero) || c.SavedStreamsDue(at(time.Second)) {
		t.Error("rows are not read once at the start")
	}
	c.SavedStreamsNotRead()
	if c.SavedStreamsDue(at(time.Second)) || !c.SavedStreamsDue(at(3*time.Second)) {
		t.Error("rows are not read again, some time after a failure")
	}
	req := testRequest("r", "/talk/x", "k3")
	req.After, req.Resumes = "3", "unknown"
	ticket := mustAdmit(t, c, zero, req)
	c.FindStreamVersion(zero, ticket)
	if !c.SavedStreamsDue(at(6 * time.Second)) {
		t.Error("rows are not read when a stream is not known")
	}
}

// TestSavedStreams_OfAnotherOrganisationAreUnknown: a stream is taken up by another organisation than
// the one that it belongs to, or on a route of another service.
func TestSavedStreams_OfAnotherOrganisationAreUnknown(t *testing.T) {
	for name, change := range map[string]func(*streamversion.SavedGroup){
		"its own":              func(*streamversion.SavedGroup) {},
		"another organisation": func(g *streamversion.SavedGroup) { g.Organisation += "-other" },
		"another service":      func(g *streamversion.SavedGroup) { g.Service += "-other" },
	} {
		former := newVersionCore(t, "a", "v1", "v2")
		former.SetTrueTime(0)
		req := testRequest("r", "/talk/x", "k3")
		startStream(t, former, req)
		row, any := former.StreamsToSave(zero)
		if !any || len(row.Groups) != 1 {
			t.Fatalf("saved %+v", row)
		}
		change(&row.Groups[0])
		c := newVersionCore(t, "b", "v1", "v2")
		c.SetTrueTime(0)
		c.AddSavedStreams(zero, &row)
		req.ID, req.After, req.Resumes = "s", "3", "r"
		ticket := mustAdmit(t, c, zero, req)
		c.FindStreamVersion(zero, ticket)
		if want := name == "its own"; ticket.origin.known != want {
			t.Errorf("%s: known %v, want %v", name, ticket.origin.known, want)
		}
	}
}
