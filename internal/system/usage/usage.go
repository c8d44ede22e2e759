// Package usage counts the requests of each organisation that started to run, by
// windows of true time, over all daemons together. Each daemon also keeps the other
// daemons' counts of the newest windows, so that a count survives the daemon that
// made it.
package usage

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// reportedWindows is the number of newest windows whose counts are reported to the
// other daemons. Counts of twice as many windows are kept.
const reportedWindows = 4

// Count is the number of requests of one organisation that one daemon counted in
// one window.
type Count struct {
	Window       int64                 `cbor:"1,keyasint"`
	Organisation entity.OrganisationID `cbor:"2,keyasint"`
	Requests     uint32                `cbor:"3,keyasint"`
}

// Counter holds the counts of all daemons. It is not safe for concurrent use.
type Counter struct {
	windowLength time.Duration     // length of a window
	self         entity.InstanceID // identifies this process
	counts       *entity.Table[countKey, uint32]
	reported     *entity.Table[countKey, reportState] // of this process's counts
}

// reportState is what has been reported of a count to the other daemons.
type reportState struct {
	requests uint32 // the last reported value
	sequence uint32 // of the first message that reported it
}

type countKey struct {
	daemon       entity.InstanceID
	window       int64
	organisation entity.OrganisationID
}

// New returns a counter for the daemon process self. That name must change when the
// daemon restarts, as its counts then start again at 0.
func New(self entity.InstanceID, window time.Duration) *Counter {
	return &Counter{windowLength: window, self: self, counts: entity.NewTable[countKey, uint32](), reported: entity.NewTable[countKey, reportState]()}
}

// Window returns the number of the window that contains a true time, given since
// 1970.
func (c *Counter) Window(trueTime time.Duration) int64 { return int64(trueTime / c.windowLength) }

// End returns the true time, since 1970, at which a window ends.
func (c *Counter) End(window int64) time.Duration { return time.Duration(window+1) * c.windowLength }

// CountStarted counts a request that started to run.
func (c *Counter) CountStarted(window int64, id entity.OrganisationID) {
	k := countKey{c.self, window, id}
	n := c.counts.Get(k)
	if n == nil {
		n = new(uint32)
		c.counts.Put(k, n)
	}
	*n++
}

// LocalCounts returns the counts to report in the message with the given sequence
// number: this daemon's counts in the newest windows that some other daemon may
// lack. All other daemons have received the messages up to acked.
func (c *Counter) LocalCounts(current int64, sequence, acked uint32) []Count {
	var out []Count
	for _, k := range c.counts.Keys() {
		if k.window < current-2*reportedWindows {
			c.counts.Delete(k)
			c.reported.Delete(k)
			continue
		}
		if k.daemon == c.self && k.window > current-reportedWindows && c.mustReport(k, sequence, acked) {
			out = append(out, Count{Window: k.window, Organisation: k.organisation, Requests: *c.counts.Get(k)})
		}
	}
	return out
}

// mustReport reports whether a count must be included in the message with the given
// sequence number.
func (c *Counter) mustReport(k countKey, sequence, acked uint32) bool {
	state := c.reported.Get(k)
	if state == nil {
		state = &reportState{}
		c.reported.Put(k, state)
	}
	if n := *c.counts.Get(k); n != state.requests {
		state.requests, state.sequence = n, sequence
	}
	return state.sequence > acked
}

// RecentCounts returns the counts of all daemons in the newest windows, by daemon.
func (c *Counter) RecentCounts(current int64) map[entity.InstanceID][]Count {
	out := make(map[entity.InstanceID][]Count)
	c.counts.All(func(k countKey, n *uint32) bool {
		if k.window > current-checkpointWindows {
			out[k.daemon] = append(out[k.daemon], Count{Window: k.window, Organisation: k.organisation, Requests: *n})
		}
		return true
	})
	return out
}

// checkpointWindows is the number of windows in RecentCounts.
const checkpointWindows = 2

// Restore adds the counts of daemons that may have died. Higher known counts stay.
func (c *Counter) Restore(all map[entity.InstanceID][]Count) {
	for daemon, counts := range all {
		for _, n := range counts {
			k := countKey{daemon, n.Window, n.Organisation}
			if known := c.counts.Get(k); known == nil || *known < n.Requests {
				requests := n.Requests
				c.counts.Put(k, &requests)
			}
		}
	}
}

// ReceiveCounts applies the counts that another daemon reported.
func (c *Counter) ReceiveCounts(daemon entity.InstanceID, counts []Count) {
	for _, n := range counts {
		requests := n.Requests
		c.counts.Put(countKey{daemon, n.Window, n.Organisation}, &requests)
	}
}

// Sum returns the number of requests in a window, over all daemons, by
// organisation.
func (c *Counter) Sum(window int64) map[entity.OrganisationID]uint32 {
	out := make(map[entity.OrganisationID]uint32)
	c.counts.All(func(k countKey, n *uint32) bool {
		if k.window == window {
			out[k.organisation] += *n
		}
		return true
	})
	return out
}
