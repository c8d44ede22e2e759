package configuration

import (
	"fmt"
	"sort"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

// maxSnapshotBytes limits the text of the documents that a daemon sends to a
// peer in one snapshot; a single larger document is sent in a snapshot of its
// own.
const maxSnapshotBytes = 512 << 10

// Snapshot carries documents from one daemon to another.
type Snapshot struct {
	After     uint64     `cbor:"1,keyasint"` // contains every document changed after this revision
	Revision  uint64     `cbor:"2,keyasint"` // and up to this one
	Head      uint64     `cbor:"3,keyasint"` // the highest revision known to the sender
	Documents []Document `cbor:"4,keyasint"` // sorted by revision
}

// ReceiveHead receives a revision that a peer has reported to exist. It does not
// confirm that there is no higher one. Reports of a revision that the table has
// been found not to have are ignored, so that a false revision does not keep
// spreading.
func (c *Configuration) ReceiveHead(now time.Time, revision uint64) {
	if revision <= c.headRevision || (c.disprovedRevision > 0 && revision >= c.disprovedRevision) {
		return
	}
	c.headReportedAt = now
	c.observeRevision(now, revision)
}

// observeRevision records that a revision exists and schedules a read of the
// changes up to it.
func (c *Configuration) observeRevision(now time.Time, revision uint64) {
	c.raiseHead(revision)
	if c.headRevision > c.revision {
		c.refresh.extraReadAt = earliestNonZero(c.refresh.extraReadAt, now.Add(c.randomBelow(changeReadSpread)))
	}
}

// ReceivePeerRevision receives the revision in force on a peer. The peer must have sent it
// directly and have been current itself. It confirms that this daemon is
// current if it is the revision in force here and no higher one is known.
func (c *Configuration) ReceivePeerRevision(now time.Time, revision uint64) {
	c.ReceiveHead(now, revision)
	if c.loaded && revision == c.revision && c.headRevision <= c.revision {
		c.confirmCurrent(now)
	}
}

// DocumentsFor returns the documents that changed after a revision, for a peer
// that has all changes up to it. It returns false if this daemon is not current
// itself.
func (c *Configuration) DocumentsFor(now time.Time, after uint64) (Snapshot, bool) {
	if !c.Current(now) {
		return Snapshot{}, false
	}
	out := Snapshot{After: after, Revision: max(after, c.revision), Head: c.headRevision}
	c.documents.All(func(_ entity.ServiceName, h *heldDocument) bool {
		if h.Revision > after {
			out.Documents = append(out.Documents, h.Document)
		}
		return true
	})
	sort.Slice(out.Documents, func(i, j int) bool { return out.Documents[i].Revision < out.Documents[j].Revision })
	out.truncate()
	return out, true
}

// truncate reduces a snapshot to the documents with the lowest revisions that
// fit into maxSnapshotBytes.
func (s *Snapshot) truncate() {
	size := 0
	for i := range s.Documents {
		size += len(s.Documents[i].Text)
		if size > maxSnapshotBytes && i > 0 {
			s.Documents = s.Documents[:i]
			s.Revision = min(s.Revision, s.Documents[i-1].Revision)
			return
		}
	}
}

// ReceiveSnapshot receives documents from a peer. A daemon without documents can
// start with them while the table is unavailable.
func (c *Configuration) ReceiveSnapshot(now time.Time, s Snapshot) {
	for _, d := range s.Documents {
		c.installDocument(now, d)
	}
	c.ReceiveHead(now, s.Head)
	if c.extends(s) {
		c.emit(now, event.ConfigurationFromPeer, "", fmt.Sprintf("%d documents up to revision %d", len(s.Documents), s.Revision))
		c.advanceRevision(now, s.Revision)
	}
	c.ReceivePeerRevision(now, s.Revision)
}

// extends reports whether this daemon has every change up to the snapshot's
// revision with the snapshot but not without it.
func (c *Configuration) extends(s Snapshot) bool {
	if !c.loaded {
		return s.After == 0
	}
	return s.After <= c.revision && s.Revision > c.revision
}
