package placement

import (
	"math"
	"strconv"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/rendezvous"
	"github.com/gooseberryslip/gooseberryslip/internal/system/pace"
)

// An empty server is the cheapest to all daemons at once. While a server that starts or
// recovers has a limit (package pace), a daemon that has a part of it left prefers the server,
// so that the limit is used and rises, and the others avoid it. The limit is a cost: a server
// without any part left is taken if there is no better one, and expected times do not change.

const (
	// paceCostFactor is the cost of a server with a limit of which this daemon has no part
	// left, as a multiple of the time to the first event of a prompt.
	paceCostFactor = 10.0
	// paceNoiseFactor is the cost in addition, as a multiple of the mean of the least random
	// cost among all servers.
	paceNoiseFactor = 6.0
	// downFailureRate is the failure rate from which a server that answers again counts as
	// recovered: it was frozen, cut off or crashed.
	downFailureRate = 0.5
	// slowPeriodRatio is the ratio of its times from which a server is in a slow period, and
	// slowPeriodEndRatio the one below which the period has ended.
	slowPeriodRatio    = 2.5
	slowPeriodEndRatio = 1.5
	// paceIgnoreTime is how long after the end of a limit another daemon's changes of it are ignored.
	paceIgnoreTime = 5 * time.Second
	// maxPaceChanges limits the changes in one message.
	maxPaceChanges = 8
	// maxPaceEvents limits the events that are kept for the log.
	maxPaceEvents = 64
)

// serverPace is the limit of a server that starts or recovers.
type serverPace struct {
	limit        *pace.Limit // nil: none
	part         int         // this daemon's part of it, in requests in progress
	rank         int         // of this daemon among all for this process
	endedAt      time.Time   // when the last limit ended
	inSlowPeriod bool        // the speed ratio has reached slowPeriodRatio
	failed       bool        // it has failed requests and not answered since
	endUnsent    bool        // the limit has ended and the other daemons have not been sent its last change
}

// PaceChange tells the other daemons how a daemon has changed a limit.
type PaceChange struct {
	_       struct{} `cbor:",toarray"`
	Server  entity.BackendServerID
	Process uint16 // see processTag
	Value   uint16 // the limit that the sender knows, in requests
	Change  int16  // by the sender's answers since the last message, in tenths of requests
}

// PaceReason says why a limit has begun, or been lowered or removed.
type PaceReason string

const (
	// PaceStarted: a process has started, or is listed again.
	PaceStarted PaceReason = "started"
	// PaceRecovered: a server answers again after failures.
	PaceRecovered PaceReason = "recovered"
	// PaceSlowPeriodEnded: a server that was slow is not any more.
	PaceSlowPeriodEnded PaceReason = "slow spell ended"
	// PaceFromPeer: another daemon has a limit for the server.
	PaceFromPeer PaceReason = "told"
	// PaceLate: answers come late.
	PaceLate PaceReason = "late answers"
	// PaceRejected: the server rejects requests.
	PaceRejected PaceReason = "rejected"
	// PaceOpen: the server takes as many requests as it has slots, or the limit has lasted for long.
	PaceOpen PaceReason = "open"
)

// PaceEvent is a change of a limit, for the log.
type PaceEvent struct {
	Server entity.BackendServerID
	Reason PaceReason
	Value  float64 // requests in progress, of all daemons
	Part   int     // of this daemon
	Speed  float64 // ratio of the server's times to the usual ones
}

// BeginPace limits the requests at a server that has started or is listed again.
func (p *Placer) BeginPace(now time.Time, id entity.BackendServerID) {
	if r := p.servers.Get(id); r != nil {
		p.beginPace(now, r, PaceStarted)
	}
}

func (p *Placer) beginPace(now time.Time, r *serverRow, reason PaceReason) {
	if p.serverSpeeds && r.pace.limit == nil {
		p.setPace(r, pace.New(now, r.Slots), reason)
	}
}

func (p *Placer) setPace(r *serverRow, l *pace.Limit, reason PaceReason) {
	r.pace.limit, r.pace.endUnsent = l, false
	p.rankPace(r)
	p.paceEvent(r, reason)
}

// rankPace sets this daemon's rank among the daemons for a process.
func (p *Placer) rankPace(r *serverRow) {
	key := string(r.ID) + "#" + strconv.Itoa(int(processTag(r.Born)))
	r.pace.rank = 0
	for _, peer := range p.peers.Keys() {
		if rendezvous.Compare(string(peer), string(p.self), key) < 0 {
			r.pace.rank++
		}
	}
	p.sharePace(r)
}

// sharePace sets this daemon's part of a limit.
func (p *Placer) sharePace(r *serverRow) {
	r.pace.part = r.pace.limit.Part(r.pace.rank, p.peers.Len()+1)
}

func (p *Placer) paceEvent(r *serverRow, reason PaceReason) {
	if len(p.paceEvents) < maxPaceEvents {
		p.paceEvents = append(p.paceEvents, PaceEvent{r.ID, reason, r.pace.limit.Value(), r.pace.part, r.speed.factor})
	}
}

// TakePaceEvents returns the changes of limits since the last call.
func (p *Placer) TakePaceEvents() []PaceEvent {
	out := p.paceEvents
	p.paceEvents = nil
	return out
}

// paceAnswer records the time to the first event of an answer.
func (p *Placer) paceAnswer(now time.Time, r *serverRow, reservation *Reservation, millis float64) {
	if !p.serverSpeeds {
		return
	}
	p.observeSlowPeriod(now, r)
	switch {
	case r.pace.limit != nil && reservation.expectedMillis > 0:
		cut := r.pace.limit.Answered(now, millis/reservation.expectedMillis)
		p.paceChanged(now, r, cut, PaceLate)
	case r.pace.failed:
		p.beginPace(now, r, PaceRecovered)
	}
	r.pace.failed = false
}

// observeSlowPeriod begins a limit at the end of a slow period.
func (p *Placer) observeSlowPeriod(now time.Time, r *serverRow) {
	switch {
	case r.speed.factor >= slowPeriodRatio:
		r.pace.inSlowPeriod = true
	case r.speed.factor < slowPeriodEndRatio && r.pace.inSlowPeriod:
		r.pace.inSlowPeriod = false
		p.beginPace(now, r, PaceSlowPeriodEnded)
	}
}

// RecordRejection records that a server has rejected a request for want of room.
func (p *Placer) RecordRejection(now time.Time, id entity.BackendServerID) {
	r := p.servers.Get(id)
	if r == nil || !p.serverSpeeds {
		return
	}
	if r.pace.limit == nil {
		p.setPace(r, pace.Adopt(now, r.Slots, float64(min(r.requestCount(), r.Slots-1))), PaceRejected)
	}
	p.paceChanged(now, r, r.pace.limit.Rejected(now), PaceRejected)
}

// paceChanged handles a change of a limit by an answer or a rejection. Cut says that the limit
// was lowered.
func (p *Placer) paceChanged(now time.Time, r *serverRow, cut bool, reason PaceReason) {
	p.paceUnsent = p.paceUnsent || r.pace.limit.Unsent() != 0
	p.sharePace(r)
	if cut {
		p.paceEvent(r, reason)
	}
	p.endPace(now, r)
}

// endPace removes a limit that has ended, after its last change has been sent.
func (p *Placer) endPace(now time.Time, r *serverRow) {
	if !r.pace.limit.Ended(now) {
		return
	}
	if !r.pace.endUnsent && r.pace.limit.Unsent() != 0 {
		r.pace.endUnsent = true
		return
	}
	p.paceEvent(r, PaceOpen)
	r.pace.limit, r.pace.endUnsent, r.pace.endedAt = nil, false, now
}

// RefreshPaces adapts the parts of limits to the daemons that there are, and removes limits
// that have lasted for long.
func (p *Placer) RefreshPaces(now time.Time) {
	p.servers.All(func(_ entity.BackendServerID, r *serverRow) bool {
		if r.pace.limit != nil {
			p.rankPace(r)
			p.endPace(now, r)
		}
		return true
	})
}

// PaceChangesPending reports whether this daemon has changed a limit and not sent the change.
func (p *Placer) PaceChangesPending() bool { return p.paceUnsent }

// PaceChanges returns how this daemon has changed limits since the last call, and
// counts the changes as sent.
func (p *Placer) PaceChanges(now time.Time) []PaceChange {
	if !p.paceUnsent {
		return nil
	}
	var out []PaceChange
	p.servers.All(func(_ entity.BackendServerID, r *serverRow) bool {
		l := r.pace.limit
		if l == nil || l.Unsent() == 0 {
			return true
		}
		out = append(out, PaceChange{
			Server: r.ID, Process: processTag(r.Born), Value: uint16(min(l.Value(), math.MaxUint16)), Change: int16(math.Round(10 * l.Unsent())),
		})
		l.MarkSent()
		p.endPace(now, r)
		return len(out) < maxPaceChanges
	})
	p.paceUnsent = len(out) == maxPaceChanges
	return out
}

// ReceivePaceChanges applies another daemon's changes of limits.
func (p *Placer) ReceivePaceChanges(now time.Time, changes []PaceChange) {
	if !p.serverSpeeds {
		return
	}
	for _, c := range changes {
		r := p.servers.Get(c.Server)
		if r == nil || processTag(r.Born) != c.Process {
			continue
		}
		value, change := float64(c.Value), float64(c.Change)/10
		switch {
		case r.pace.limit != nil:
			r.pace.limit.Receive(now, value, change)
			p.sharePace(r)
			p.endPace(now, r)
		case int(c.Value) < r.Slots && now.Sub(r.pace.endedAt) > paceIgnoreTime:
			p.setPace(r, pace.Adopt(now, r.Slots, value), PaceFromPeer)
		}
	}
}

// paceCost returns what the limit of a server adds to its cost, in ms: less than nothing if
// this daemon has a part of it left.
func (r *serverRow) paceCost(s *spreadQuery) float64 {
	if r.localSum.Waiting.total()+r.localSum.Running < r.pace.part {
		return -s.paceMillis - s.noise*r.speed.factor // whatever its random cost
	}
	return s.paceMillis
}

// Speed returns the ratio of a server's times to the usual ones of its service, and the
// limit of the requests in progress there, 0 if it has none.
func (p *Placer) Speed(id entity.BackendServerID) (ratio, limit float64) {
	r := p.servers.Get(id)
	if r == nil {
		return 1, 0
	}
	if r.pace.limit != nil {
		limit = r.pace.limit.Value()
	}
	return r.speed.factor, limit
}
