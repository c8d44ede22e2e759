package exchange

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/quarantine"
)

// A request that crashes each backend server that begins to run it comes again,
// under new ids and at any daemon. Content that was running on three backend
// servers when they died, and has never completed since, is refused. A server
// counts as dead if, soon after it broke a request off, nothing listens at its
// address, its entry goes without a word, or it starts anew.

const (
	// enoughDeaths is the number of backend servers that content may take along.
	enoughDeaths = 3
	// deathWindow is how soon after it broke a request off a backend server must
	// show that it has died.
	deathWindow = 4 * time.Second
	// maxBroken bounds the broken requests remembered for one backend server.
	maxBroken = 64
	// convictedRetry is when callers of refused content may come back.
	convictedRetry = 30 * time.Second
	// deathNews is how long other daemons are told of a death.
	deathNews = 2 * time.Second
)

// brokenContent is content that was running when its connection broke.
type brokenContent struct {
	digest entity.Digest
	at     time.Time
}

// ContentDeath says that a backend server died while it ran content.
type ContentDeath struct {
	Digest entity.Digest          `cbor:"1,keyasint"`
	Server entity.BackendServerID `cbor:"2,keyasint"`
}

// toldDeath is a death that other daemons are being told of.
type toldDeath struct {
	ContentDeath
	at time.Time
}

// crashGuard keeps the content under suspicion.
type crashGuard struct {
	registry *quarantine.Registry
	broken   *entity.Table[entity.BackendServerID, []brokenContent]
	told     []toldDeath
}

func newCrashGuard() crashGuard {
	return crashGuard{
		registry: quarantine.New(quarantine.Config{}),
		broken:   entity.NewTable[entity.BackendServerID, []brokenContent](),
	}
}

// refused reports whether content has taken too many backend servers along.
func (g *crashGuard) refused(now time.Time, d entity.Digest) bool {
	return g.registry.Deaths(now, d) >= enoughDeaths
}

// broke notes that a backend server broke off a request before it answered.
func (g *crashGuard) broke(now time.Time, id entity.BackendServerID, d entity.Digest) {
	list := g.broken.Get(id)
	if list == nil {
		list = new([]brokenContent)
		g.broken.Put(id, list)
	}
	if len(*list) < maxBroken {
		*list = append(*list, brokenContent{digest: d, at: now})
	}
}

// died notes that a backend server has died.
func (g *crashGuard) died(now time.Time, id entity.BackendServerID, dc entity.DataCentreID) {
	list := g.broken.Get(id)
	if list == nil {
		return
	}
	g.broken.Delete(id)
	for _, b := range *list {
		if now.Sub(b.at) > deathWindow {
			continue
		}
		g.registry.Died(now, quarantine.Death{Digest: b.digest, Backend: id, DataCentre: dc})
		g.told = append(g.told, toldDeath{ContentDeath{b.digest, id}, now})
	}
}

// news returns the deaths to tell other daemons of.
func (g *crashGuard) news(now time.Time) []ContentDeath {
	var out []ContentDeath
	kept := g.told[:0]
	for _, t := range g.told {
		if now.Sub(t.at) < deathNews {
			kept = append(kept, t)
			out = append(out, t.ContentDeath)
		}
	}
	g.told = kept
	return out
}

// heard takes another daemon's word of a death.
func (g *crashGuard) heard(now time.Time, d ContentDeath) {
	g.registry.Died(now, quarantine.Death{Digest: d.Digest, Backend: d.Server})
}
