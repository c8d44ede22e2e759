package exchange

import (
	"encoding/hex"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/system/quarantine"
)

// A request that crashes each backend server on which it runs may be sent again
// under new IDs and to any daemon. Therefore content is refused if it was running
// on three backend servers when they died and has not completed on any since. A
// server counts as dead if, soon after it broke off a request, nothing listens at
// its address, its entry disappears without an announced drain, or its process has
// restarted.

const (
	// refusalDeathCount is the number of backend servers that must have died while
	// they ran some content for it to be refused.
	refusalDeathCount = 3
	// deathWindow is how soon after a backend server broke off a request there must
	// be evidence of its death for the request's content to be held responsible.
	deathWindow = 4 * time.Second
	// maxBrokenPerServer limits the interrupted requests that are recorded for
	// one backend server.
	maxBrokenPerServer = 64
	// quarantinedRetryDelay is the Retry-After time of quarantined content.
	quarantinedRetryDelay = 30 * time.Second
	// deathAnnouncementDuration is how long a death is included in the updates to
	// other daemons.
	deathAnnouncementDuration = 2 * time.Second
)

// brokenContent is the content of a request that was running when its connection
// broke.
type brokenContent struct {
	digest entity.Digest
	at     time.Time
}

// ContentDeath says that a backend server died while it ran some content.
type ContentDeath struct {
	Digest entity.Digest          `cbor:"1,keyasint"`
	Server entity.BackendServerID `cbor:"2,keyasint"`
}

// announcedDeath is a death that is being announced to the other daemons.
type announcedDeath struct {
	ContentDeath
	at time.Time // when it was recorded
}

// crashGuard counts the deaths of backend servers per content, and quarantines
// content that seems to cause them.
type crashGuard struct {
	registry  *quarantine.Registry
	broken    *entity.Table[entity.BackendServerID, []brokenContent]
	announced []announcedDeath
	events    []event.Event // for the log, since TakeEvents was last called
}

// deathProof is how a daemon has learned that a backend server has died.
type deathProof string

const (
	proofNoConnection deathProof = "no-connection" // no connection to its address could be made
	proofUnlisted     deathProof = "unlisted"      // its entry disappeared although it had not drained
	proofRestarted    deathProof = "restarted"     // its entry is of a new process
)

func newCrashGuard() crashGuard {
	return crashGuard{
		registry: quarantine.New(quarantine.Config{}),
		broken:   entity.NewTable[entity.BackendServerID, []brokenContent](),
	}
}

// quarantined reports whether too many backend servers have died while they ran the
// content.
func (g *crashGuard) quarantined(now time.Time, d entity.Digest) bool {
	return g.registry.Deaths(now, d) >= refusalDeathCount
}

// recordBroken records that a backend server broke off a request before it
// answered.
func (g *crashGuard) recordBroken(now time.Time, id entity.BackendServerID, d entity.Digest) {
	list := g.broken.Get(id)
	if list == nil {
		list = new([]brokenContent)
		g.broken.Put(id, list)
	}
	if len(*list) < maxBrokenPerServer {
		*list = append(*list, brokenContent{digest: d, at: now})
	}
}

// recordDeath records that a backend server has died, and holds the content of
// requests that it broke off shortly before responsible.
func (g *crashGuard) recordDeath(now time.Time, id entity.BackendServerID, dc entity.DataCentreID, proof deathProof) {
	list := g.broken.Get(id)
	if list == nil {
		g.events = append(g.events, event.Event{Number: event.ServerDeathProved, Backend: id, Attrs: []event.Attr{event.A("proof", proof), event.A("broken", 0)}})
		return
	}
	g.broken.Delete(id)
	g.events = append(g.events, event.Event{Number: event.ServerDeathProved, Backend: id, Attrs: []event.Attr{
		event.A("proof", proof), event.A("broken", len(*list)), event.A("broken_ms_ago", now.Sub((*list)[0].at).Milliseconds()),
	}})
	for _, b := range *list {
		if now.Sub(b.at) > deathWindow {
			continue
		}
		g.blame(now, quarantine.Death{Digest: b.digest, Backend: id, DataCentre: dc}, "")
		g.announced = append(g.announced, announcedDeath{ContentDeath{b.digest, id}, now})
	}
}

// blame records that a backend server died while it ran some content, as this daemon or
// the given other one has found.
func (g *crashGuard) blame(now time.Time, d quarantine.Death, by entity.InstanceID) {
	before := g.registry.Deaths(now, d.Digest)
	g.registry.RecordDeath(now, d)
	deaths := g.registry.Deaths(now, d.Digest)
	if deaths == before {
		return
	}
	content := event.A("content", ShortDigest(d.Digest))
	g.events = append(g.events, event.Event{Number: event.ContentDeathRecorded, Backend: d.Backend, Peer: by, Attrs: []event.Attr{content, event.A("deaths", deaths)}})
	if deaths == refusalDeathCount {
		g.events = append(g.events, event.Event{Number: event.ContentRefused, Attrs: []event.Attr{content, event.A("deaths", deaths)}})
	}
}

// clear records that some content has completed.
func (g *crashGuard) clear(now time.Time, d entity.Digest) {
	if n := g.registry.Deaths(now, d); n > 0 {
		g.events = append(g.events, event.Event{Number: event.SuspectContentCompleted, Attrs: []event.Attr{event.A("content", ShortDigest(d)), event.A("deaths", n)}})
	}
	g.registry.Clear(d)
}

// ShortDigest returns the beginning of a digest, for logs.
func ShortDigest(d entity.Digest) string { return hex.EncodeToString(d[:shortDigestBytes]) }

// shortDigestBytes is the length of the beginning of a digest that identifies content in
// logs.
const shortDigestBytes = 6

// TakeEvents returns the events since the last call, for the log.
func (c *Core) TakeEvents() []event.Event {
	out := c.crash.events
	c.crash.events = nil
	return out
}

// announcements returns the recent deaths to announce to the other daemons.
func (g *crashGuard) announcements(now time.Time) []ContentDeath {
	var out []ContentDeath
	kept := g.announced[:0]
	for _, death := range g.announced {
		if now.Sub(death.at) < deathAnnouncementDuration {
			kept = append(kept, death)
			out = append(out, death.ContentDeath)
		}
	}
	g.announced = kept
	return out
}

// receiveDeath records a death that another daemon announced.
func (g *crashGuard) receiveDeath(now time.Time, d ContentDeath, from entity.InstanceID) {
	g.blame(now, quarantine.Death{Digest: d.Digest, Backend: d.Server}, from)
}
