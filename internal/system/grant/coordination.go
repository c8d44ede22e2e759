package grant

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/fairshare"
)

const (
	loadSamples                = 3                // number of latest load reports, of which the lowest counts
	urgentRetention            = 60 * time.Second // how long after an urgent request slots are kept free
	minSlotsForReserve         = 4                // servers with fewer slots keep none free
	reserveDivisor             = 16               // one slot in this many is kept free, at least one
	minTrialDelay              = time.Second      // between a death and the trial; doubled with each further death
	maxTrialDelay              = 30 * time.Second
	maxRefusalDoublings        = 5                      // of refusalPause
	refusalPause               = 100 * time.Millisecond // without grants after a refusal; doubled with each in a row
	maxCacheWait               = 100 * time.Millisecond // longest wait for which a request with a cached prefix is queued
	smoothingDivisor           = 8                      // a new sample has the weight 1/8 in a mean
	maxCachedPrefixes          = 1024                   // for each backend server
	betweenTokensReplyInterval = 4                      // one reply in this many carries the time between tokens
	minRunEstimate             = time.Millisecond       // lower limit of a sample of the time that a grant is held
	queryInterval              = time.Second            // between two queries to the holder of an old grant
	queryAgeRuns               = 2                      // a grant is old when held for this many times meanRun
	silenceCheckInterval       = 5 * time.Second        // between two checks for silent requesters
)

// holder identifies an attempt at its coordinator. Two daemons may request a
// grant for one attempt, when one has taken over a request from the other.
type holder struct {
	requester entity.InstanceID
	request   entity.RequestID
	attempt   entity.AttemptNumber
}

func holderOf(from entity.InstanceID, r Reference) holder {
	return holder{from, r.Request, r.Attempt}
}

// coordination is the state that a coordinator keeps of a backend server.
type coordination struct {
	slots         int
	held          *entity.Table[holder, grant]
	waiting       *entity.Table[holder, waiter]
	queue         *fairshare.Queue[holder]
	isolatedQueue []holder  // waiting to run in isolation, in order
	opensAt       time.Time // nothing is granted before
	due           time.Time // of the next maintenance; zero: none

	isolatedRunning bool // an attempt runs in isolation now
	isolatedTurn    bool // the next grant goes to an attempt that waits to run in isolation

	external [loadSamples]int // requests without a grant of this coordinator, by the latest reports
	reports  int              // load reports received

	deaths      int       // since the last completed attempt
	deadUntil   time.Time // nothing is granted before, after a death; zero: not dead
	trial       bool      // after a death only one attempt runs at a time
	pausedUntil time.Time // nothing is granted before, after a refusal
	refusals    int       // since the last completed attempt
	lastUrgent  time.Time // last request of the most urgent class

	meanRun           time.Duration // smoothed time that a grant is held
	secondsPerToken   float64       // smoothed time that a grant is held, per token of its estimated cost
	meanBetweenTokens time.Duration // smoothed
	lastSilenceCheck  time.Time     // last check for silent requesters
	prefixes          prefixCache
}

// grant is a slot in use.
type grant struct {
	request       Request
	since         time.Time // when it was granted, or restored from a report
	lastConfirmed time.Time // when the requester last confirmed it
	lastQueried   time.Time // when the requester was last queried
}

// waiter is a request in the queue.
type waiter struct {
	request  Request
	arrived  time.Time
	deadline time.Time // zero: none
}

func newCoordination(s *server) *coordination {
	coord := &coordination{
		slots:    s.backend.Slots,
		held:     entity.NewTable[holder, grant](),
		waiting:  entity.NewTable[holder, waiter](),
		queue:    fairshare.New[holder](),
		prefixes: newPrefixCache(maxCachedPrefixes),
	}
	coord.queue.SetWeights(s.service.document.Organisations)
	return coord
}

// freeSlots returns the number of slots that may be granted. It is negative if
// more are in use than there are.
func (coord *coordination) freeSlots() int {
	if coord.trial {
		return 1 - coord.held.Len()
	}
	return coord.slots - coord.held.Len() - coord.externalLoad()
}

// externalLoad returns how many requests of other systems run on the backend
// server. Load reports lag behind the grants, so the lowest of the latest counts.
func (coord *coordination) externalLoad() int {
	if coord.reports < loadSamples {
		return 0
	}
	minLoad := coord.external[0]
	for _, n := range coord.external[1:] {
		minLoad = min(minLoad, n)
	}
	return minLoad
}

// reservedSlots returns how many slots stay free for the most urgent class.
func (coord *coordination) reservedSlots(now time.Time) int {
	if coord.slots < minSlotsForReserve || coord.lastUrgent.IsZero() || now.Sub(coord.lastUrgent) > urgentRetention {
		return 0
	}
	return max(1, coord.slots/reserveDivisor)
}

// estimateWait estimates how long a new request would wait in the queue.
func (coord *coordination) estimateWait(req *Request) time.Duration {
	ahead := float64(coord.queue.CostAhead(req.Organisation, req.Priority, req.Cost))
	seconds := ahead * coord.secondsPerToken / float64(max(coord.slots, 1))
	return time.Duration(seconds*float64(time.Second)) + coord.meanRun/time.Duration(max(coord.slots, 1))
}

// estimateRun estimates how long the request would hold a slot; 0: unknown.
func (coord *coordination) estimateRun(req *Request) time.Duration {
	return time.Duration(float64(req.Cost) * coord.secondsPerToken * float64(time.Second))
}

// recordRun adds the time for which a grant was held to the smoothed times.
func (coord *coordination) recordRun(req *Request, held time.Duration) {
	held = max(held, minRunEstimate)
	coord.meanRun = smooth(coord.meanRun, held)
	perToken := held.Seconds() / float64(max(req.Cost, 1))
	if coord.secondsPerToken == 0 {
		coord.secondsPerToken = perToken
		return
	}
	coord.secondsPerToken += (perToken - coord.secondsPerToken) / smoothingDivisor
}

func smooth(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + (sample-mean)/smoothingDivisor
}

// hint returns the state of the server for a reply. The wait is of use only to a
// request without a grant. The time between tokens changes slowly, so that only
// some replies carry it.
func (coord *coordination) hint(req *Request, kind ReplyKind) Hint {
	h := Hint{Busy: coord.slots - max(0, coord.freeSlots()), Queued: coord.waiting.Len(), Slots: coord.slots}
	if kind != Granted {
		h.Wait = coord.estimateWait(req).Microseconds()
	}
	if req.Sequence%betweenTokensReplyInterval == 0 {
		h.BetweenTokens = coord.meanBetweenTokens.Microseconds()
	}
	return h
}
