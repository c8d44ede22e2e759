package exchange

import (
	"testing"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/placement"
)

// requestWithParts returns a request whose prompt has the given parts.
func requestWithParts(ids ...uint64) *Request {
	r := &Request{Content: entity.Digest{0xff}}
	for _, id := range ids {
		r.Work.Parts = append(r.Work.Parts, placement.Part{ID: id, Tokens: 1})
	}
	return r
}

func TestContentsOf_LastPartIsNoContent(t *testing.T) {
	org := &Organisation{ID: "org"}
	for _, c := range []struct {
		parts []uint64
		org   *Organisation
		want  int // contents with the whole request
	}{
		{nil, org, 1},
		{[]uint64{1}, org, 1},
		{[]uint64{1, 2}, org, 3},
		{[]uint64{1, 2}, nil, 2},
		{make([]uint64, 40), org, 1 + 2*maxContentParts},
	} {
		if got := contentsOf(requestWithParts(c.parts...), c.org); len(got) != c.want {
			t.Errorf("prompt of %d parts: %d contents, want %d", len(c.parts), len(got), c.want)
		}
	}
}

// TestContentsOf_PartIsKnownAcrossRequestsAndOrganisations: the same part has one content in
// requests of all organisations, and one in those of each.
func TestContentsOf_PartIsKnownAcrossRequestsAndOrganisations(t *testing.T) {
	a := contentsOf(requestWithParts(7, 8, 1), &Organisation{ID: "a"})
	again := contentsOf(requestWithParts(9, 7, 2), &Organisation{ID: "a"})
	b := contentsOf(requestWithParts(7, 3), &Organisation{ID: "b"})
	if a[1] != again[3] || a[2] != again[4] {
		t.Error("a part at another place of another request has another content")
	}
	if a[1] != b[1] {
		t.Error("a part that another organisation sends is not known as the same")
	}
	if a[2] == b[2] || a[1] == a[2] {
		t.Error("the content of one organisation's part is not its own")
	}
}

func TestShortDigest_NamesParts(t *testing.T) {
	contents := contentsOf(requestWithParts(0x5c1e07a2, 1), &Organisation{ID: "org"})
	if got := ShortDigest(contents[0]); got != "ff0000000000" {
		t.Errorf("whole request: %q", got)
	}
	if got := ShortDigest(contents[1]); got != "part:5c1e07a2" {
		t.Errorf("part: %q", got)
	}
	if got := ShortDigest(contents[2]); len(got) != len("part:5c1e07a2/")+2*shortDigestBytes || got[:14] != "part:5c1e07a2/" {
		t.Errorf("part of one organisation: %q", got)
	}
}
