package configuration

import (
	"fmt"
	"sort"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

// maxSnapshotBytes bounds the documents that a daemon sends to a peer at once;
// a single larger document is sent alone.
const maxSnapshotBytes = 512 << 10

// Snapshot carries documents from one daemon to another.
type Snapshot struct {
	After     uint64     `cbor:"1,keyasint"` // holds every document changed after this revision,
	Revision  uint64     `cbor:"2,keyasint"` // up to this one
	Head      uint64     `cbor:"3,keyasint"` // the highest revision the sender knows of
	Documents []Document `cbor:"4,keyasint"` // by revision
}

// Head takes a revision that news from other daemons says exists. It does not
// confirm that there is no higher one. News that the table has disproved is
// not believed again, so that a false revision dies out.
func (c *Configuration) Head(now time.Time, revision uint64) {
	if revision <= c.head || (c.disproved > 0 && revision >= c.disproved) {
		return
	}
	c.newsAt = now
	c.hear(now, revision)
}

// hear notes a revision and plans to read what has changed.
func (c *Configuration) hear(now time.Time, revision uint64) {
	c.raiseHead(revision)
	if c.head > c.revision {
		c.refresh.soonAt = earlier(c.refresh.soonAt, now.Add(c.spread(newsSpread)))
	}
}

// PeerHead takes the revision that a peer has in force, told directly by that
// peer while it is itself current. It is a confirmation if it is also the
// highest that this daemon knows of and has in force.
func (c *Configuration) PeerHead(now time.Time, revision uint64) {
	c.Head(now, revision)
	if c.loaded && revision == c.revision && c.head <= c.revision {
		c.confirm(now)
	}
}

// DocumentsFor returns the documents that changed after a revision, for a peer
// that has all up to there, and false if this daemon does not know itself
// whether it is current.
func (c *Configuration) DocumentsFor(now time.Time, after uint64) (Snapshot, bool) {
	if !c.Current(now) {
		return Snapshot{}, false
	}
	out := Snapshot{After: after, Revision: max(after, c.revision), Head: c.head}
	c.documents.All(func(_ entity.ServiceName, h *held) bool {
		if h.Revision > after {
			out.Documents = append(out.Documents, h.Document)
		}
		return true
	})
	sort.Slice(out.Documents, func(i, j int) bool { return out.Documents[i].Revision < out.Documents[j].Revision })
	out.limit()
	return out, true
}

// limit cuts a snapshot to the lowest revisions that fit.
func (s *Snapshot) limit() {
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

// PeerDocuments takes documents from a peer. A daemon without documents can
// start with them while the table is down.
func (c *Configuration) PeerDocuments(now time.Time, s Snapshot) {
	for _, d := range s.Documents {
		c.install(now, d)
	}
	c.Head(now, s.Head)
	if c.extends(s) {
		c.emit(now, event.ConfigurationFromPeer, "", fmt.Sprintf("%d documents up to revision %d", len(s.Documents), s.Revision))
		c.advance(now, s.Revision)
	}
	c.PeerHead(now, s.Revision)
}

// extends reports whether with the snapshot this daemon has every change up to
// the snapshot's revision, and had not before.
func (c *Configuration) extends(s Snapshot) bool {
	if !c.loaded {
		return s.After == 0
	}
	return s.After <= c.revision && s.Revision > c.revision
}
