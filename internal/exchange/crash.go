package exchange

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
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
}

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
func (g *crashGuard) recordDeath(now time.Time, id entity.BackendServerID, dc entity.DataCentreID) {
	list := g.broken.Get(id)
	if list == nil {
		return
	}
	g.broken.Delete(id)
	for _, b := range *list {
		if now.Sub(b.at) > deathWindow {
			continue
		}
		g.registry.RecordDeath(now, quarantine.Death{Digest: b.digest, Backend: id, DataCentre: dc})
		g.announced = append(g.announced, announcedDeath{ContentDeath{b.digest, id}, now})
	}
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
func (g *crashGuard) receiveDeath(now time.Time, d ContentDeath) {
	g.registry.RecordDeath(now, quarantine.Death{Digest: d.Digest, Backend: d.Server})
}
