// Package usage counts the requests of each organisation that began to run, by
// windows of true time, over all daemons together. Each daemon keeps the others'
// counts of the last windows as well, so that they outlive it.
package usage

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// keptWindows is how many windows are kept and told to the others.
const keptWindows = 4

// Count is what one daemon counted for one organisation in one window.
type Count struct {
	Window       int64                 `cbor:"1,keyasint"`
	Organisation entity.OrganisationID `cbor:"2,keyasint"`
	Requests     uint32                `cbor:"3,keyasint"`
}

// Counter holds the counts of all daemons. It is not safe for concurrent use.
type Counter struct {
	window time.Duration
	self   entity.InstanceID
	counts *entity.Table[key, uint32]
	told   *entity.Table[key, telling]
}

// telling is what the other daemons have been told of a count.
type telling struct {
	requests uint32
	message  uint32 // the first one that told it
}

type key struct {
	daemon       entity.InstanceID
	window       int64
	organisation entity.OrganisationID
}

// New returns a counter of a daemon. Self must change when the daemon starts
// anew.
func New(self entity.InstanceID, window time.Duration) *Counter {
	return &Counter{window: window, self: self, counts: entity.NewTable[key, uint32](), told: entity.NewTable[key, telling]()}
}

// Window returns the number of the window of a true time, given since 1970.
func (c *Counter) Window(trueTime time.Duration) int64 { return int64(trueTime / c.window) }

// End returns the true time at which a window ends.
func (c *Counter) End(window int64) time.Duration { return time.Duration(window+1) * c.window }

// Began counts a request that began to run.
func (c *Counter) Began(window int64, id entity.OrganisationID) {
	k := key{c.self, window, id}
	n := c.counts.Get(k)
	if n == nil {
		n = new(uint32)
		c.counts.Put(k, n)
	}
	*n++
}

// Own returns what message number message has to tell: this daemon's counts in
// the newest windows that not all others have in messages up to heard.
func (c *Counter) Own(current int64, message, heard uint32) []Count {
	var out []Count
	for _, k := range c.counts.Keys() {
		if k.window < current-2*keptWindows {
			c.counts.Delete(k)
			c.told.Delete(k)
			continue
		}
		if k.daemon == c.self && k.window > current-keptWindows && c.tell(k, message, heard) {
			out = append(out, Count{Window: k.window, Organisation: k.organisation, Requests: *c.counts.Get(k)})
		}
	}
	return out
}

// tell reports whether a count is to be told in a message.
func (c *Counter) tell(k key, message, heard uint32) bool {
	t := c.told.Get(k)
	if t == nil {
		t = &telling{}
		c.told.Put(k, t)
	}
	if n := *c.counts.Get(k); n != t.requests {
		t.requests, t.message = n, message
	}
	return t.message > heard
}

// All returns the counts of all daemons in the newest windows, by daemon.
func (c *Counter) All(current int64) map[entity.InstanceID][]Count {
	out := make(map[entity.InstanceID][]Count)
	c.counts.All(func(k key, n *uint32) bool {
		if k.window > current-checkpointWindows {
			out[k.daemon] = append(out[k.daemon], Count{Window: k.window, Organisation: k.organisation, Requests: *n})
		}
		return true
	})
	return out
}

// checkpointWindows is how many windows a checkpoint holds.
const checkpointWindows = 2

// Restore takes the counts of daemons that may have died. Newer ones stay.
func (c *Counter) Restore(all map[entity.InstanceID][]Count) {
	for daemon, counts := range all {
		for _, n := range counts {
			k := key{daemon, n.Window, n.Organisation}
			if known := c.counts.Get(k); known == nil || *known < n.Requests {
				requests := n.Requests
				c.counts.Put(k, &requests)
			}
		}
	}
}

// Heard takes another daemon's counts.
func (c *Counter) Heard(daemon entity.InstanceID, counts []Count) {
	for _, n := range counts {
		requests := n.Requests
		c.counts.Put(key{daemon, n.Window, n.Organisation}, &requests)
	}
}

// Sum returns the counts of all daemons in a window.
func (c *Counter) Sum(window int64) map[entity.OrganisationID]uint32 {
	out := make(map[entity.OrganisationID]uint32)
	c.counts.All(func(k key, n *uint32) bool {
		if k.window == window {
			out[k.organisation] += *n
		}
		return true
	})
	return out
}
