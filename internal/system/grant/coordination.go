package grant

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/fairshare"
)

const (
	loadSamples     = 3                // the least of so many load reports counts
	urgentMemory    = 60 * time.Second // slots are kept free that long after an urgent ask
	urgentMinSlots  = 4                // smaller servers keep none free
	urgentPart      = 16               // one slot in so many is kept free, and at least one
	trialPause      = time.Second      // after the first death; doubled with each
	maxTrialPause   = 30 * time.Second
	maxRefusals     = 5 // doublings of the pause
	refusalPause    = 100 * time.Millisecond
	cacheWait       = 100 * time.Millisecond // an ask waits that long for its cached prefix
	smoothingPart   = 8                      // weight of a new sample in a mean
	cachedPrefixes  = 1024                   // remembered for each backend server
	paceEvery       = 4                      // one reply in so many tells the time between tokens
	probablyFirst   = time.Millisecond       // lowest estimate of a run
	queryInterval   = time.Second            // between questions to the holder of an old grant
	queryRuns       = 2                      // a grant is old when held for so many mean runs
	silenceInterval = 5 * time.Second        // between looks for silent askers
)

// holder names an attempt at its coordinator. Two daemons may ask for one
// attempt, when one has taken a request over from another.
type holder struct {
	asker   entity.InstanceID
	request entity.RequestID
	attempt entity.AttemptNumber
}

func holderOf(from entity.InstanceID, r Reference) holder {
	return holder{from, r.Request, r.Attempt}
}

// coordination is the state that a coordinator keeps of a backend server.
type coordination struct {
	slots   int
	held    *entity.Table[holder, grant]
	waiting *entity.Table[holder, waiter]
	queue   *fairshare.Queue[holder]
	alone   []holder // waiting to run alone, in order
	opens   time.Time
	due     time.Time

	aloneRuns bool // one runs alone now
	aloneTurn bool // the next turn belongs to one that waits to run alone

	external [loadSamples]int // running there for others, by the latest reports
	reports  int

	deaths    int
	deadUntil time.Time
	trial     bool
	pause     time.Time
	refusals  int       // in a row
	urgent    time.Time // last ask of the most urgent class

	run      time.Duration // mean time that a grant is held
	perToken float64       // mean seconds that a grant is held, per token of its estimate
	between  time.Duration // mean time between tokens
	checked  time.Time     // last look for silent askers
	prefixes prefixCache
}

// grant is a slot in use.
type grant struct {
	ask     Ask
	since   time.Time
	heard   time.Time // when the asker last confirmed it
	queried time.Time // when the asker was last asked
}

// waiter is an ask in the queue.
type waiter struct {
	ask      Ask
	arrived  time.Time
	deadline time.Time
}

func newCoordination(s *server) *coordination {
	l := &coordination{
		slots:    s.backend.Slots,
		held:     entity.NewTable[holder, grant](),
		waiting:  entity.NewTable[holder, waiter](),
		queue:    fairshare.New[holder](),
		prefixes: newPrefixCache(cachedPrefixes),
	}
	l.queue.SetShares(s.service.document.Organisations)
	return l
}

// free returns the number of slots that may be granted.
func (l *coordination) free() int {
	if l.trial {
		return 1 - l.held.Len()
	}
	return l.slots - l.held.Len() - l.others()
}

// others returns how many requests of other systems run there. Reports lag
// behind the grants, so that the least of the latest counts.
func (l *coordination) others() int {
	if l.reports < loadSamples {
		return 0
	}
	least := l.external[0]
	for _, n := range l.external[1:] {
		least = min(least, n)
	}
	return least
}

// reserve returns how many slots stay free for the most urgent class.
func (l *coordination) reserve(now time.Time) int {
	if l.slots < urgentMinSlots || l.urgent.IsZero() || now.Sub(l.urgent) > urgentMemory {
		return 0
	}
	return max(1, l.slots/urgentPart)
}

// wait estimates how long a new ask would wait in the queue.
func (l *coordination) wait(a *Ask) time.Duration {
	ahead := float64(l.queue.Ahead(a.Organisation, a.Priority, a.Cost))
	seconds := ahead * l.perToken / float64(max(l.slots, 1))
	return time.Duration(seconds*float64(time.Second)) + l.run/time.Duration(max(l.slots, 1))
}

// estimate returns the time that the ask would hold a slot; 0: unknown.
func (l *coordination) estimate(a *Ask) time.Duration {
	return time.Duration(float64(a.Cost) * l.perToken * float64(time.Second))
}

// learnRun takes the time for which a grant was held.
func (l *coordination) learnRun(a *Ask, held time.Duration) {
	held = max(held, probablyFirst)
	l.run = smooth(l.run, held)
	perToken := held.Seconds() / float64(max(a.Cost, 1))
	if l.perToken == 0 {
		l.perToken = perToken
		return
	}
	l.perToken += (perToken - l.perToken) / smoothingPart
}

func smooth(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + (sample-mean)/smoothingPart
}

// hint tells an asker the state of the server. The wait matters only to an ask
// without a grant; the pace changes slowly and is told now and then.
func (l *coordination) hint(a *Ask, kind ReplyKind) Hint {
	h := Hint{Busy: l.slots - max(0, l.free()), Queued: l.waiting.Len(), Slots: l.slots}
	if kind != Granted {
		h.Wait = l.wait(a).Microseconds()
	}
	if a.Sequence%paceEvery == 0 {
		h.Between = l.between.Microseconds()
	}
	return h
}
