package exchange

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/placement"
	"github.com/gooseberryslip/gooseberryslip/internal/system/quota"
	"github.com/gooseberryslip/gooseberryslip/internal/system/usage"
)

// Placed says where a prompt was placed.
type Placed struct {
	Server entity.BackendServerID `cbor:"1,keyasint"`
	Part   placement.CachedPart   `cbor:"2,keyasint"` // the last one that others share
}

// News is what a daemon tells all others several times a second.
type News struct {
	From       Member          `cbor:"1,keyasint"`
	Sequence   uint32          `cbor:"2,keyasint"`
	Leaving    bool            `cbor:"3,keyasint,omitempty"`
	Serving    bool            `cbor:"4,keyasint,omitempty"`
	Version    uint64          `cbor:"5,keyasint"`
	LeaseEpoch uint64          `cbor:"6,keyasint,omitempty"` // only from the holder
	Loads      []placement.Sum `cbor:"7,keyasint,omitempty"`
	Quota      []quota.Use     `cbor:"8,keyasint,omitempty"`
	Usage      []usage.Count   `cbor:"9,keyasint,omitempty"`
	Placed     []Placed        `cbor:"10,keyasint,omitempty"`
	Demand     []ServiceDemand `cbor:"11,keyasint,omitempty"`
	// Age is how long before this message the sender's configuration was confirmed
	// to be the newest; negative: too long ago to act on it.
	Age     time.Duration   `cbor:"12,keyasint"`
	Levels  []ServiceLevel  `cbor:"13,keyasint,omitempty"` // only from the lease's holder
	Leavers []LeavingServer `cbor:"14,keyasint,omitempty"`
	Deaths  []ContentDeath  `cbor:"15,keyasint,omitempty"`
	// Window is the present window of usage: what the sender counted in earlier
	// ones is told by now.
	Window int64 `cbor:"16,keyasint,omitempty"`
}

// LeavingServer is a backend server that has said that it drains.
type LeavingServer struct {
	ID       entity.BackendServerID `cbor:"1,keyasint"`
	Born     int64                  `cbor:"2,keyasint,omitempty"`
	Sequence uint64                 `cbor:"3,keyasint,omitempty"` // of the entry that said so
}

// ServiceLevel is the work that the lease's holder plans for.
type ServiceLevel struct {
	Service entity.ServiceName `cbor:"1,keyasint" json:"service"`
	Work    float64            `cbor:"2,keyasint" json:"work"` // servers kept busy
}

// News returns what to tell the other daemons now.
func (c *Core) News(now time.Time) News {
	c.seq++
	n := News{
		From: c.cfg.Self, Sequence: c.seq, Leaving: c.leaving, Serving: c.Serving(now),
		Loads: c.placer.Sums(), Quota: c.quota.Uses(now, c.seq%fullEvery == 0), Placed: c.placed, Demand: c.demand.rates(now),
		Age: c.age(now), Leavers: c.leavers(now), Deaths: c.crash.news(now),
	}
	c.placed = nil
	c.sent.note(c.seq, now)
	if c.routes != nil {
		n.Version = c.routes.doc.Version
	}
	if c.timeKnown {
		n.Window = c.usage.Window(c.sinceEpoch(now))
		n.Usage = c.usage.LocalCounts(n.Window, c.seq, c.heardByAll(now))
	}
	if epoch, held := c.lease.Epoch(); held {
		n.LeaseEpoch = epoch
		n.Levels = c.Levels()
	}
	return n
}

// fullEvery is the number of messages of which one tells all quotas, also those
// that have not changed lately.
const fullEvery = 16

// maxPlaced bounds the placed prompts told in one message.
const maxPlaced = 12

func (c *Core) notePlaced(id entity.BackendServerID, t *Ticket) {
	keys := placement.Shared(t.Request.Work.Parts)
	if len(keys) > 0 && len(c.placed) < maxPlaced {
		c.placed = append(c.placed, Placed{Server: id, Part: keys[len(keys)-1]})
	}
}
