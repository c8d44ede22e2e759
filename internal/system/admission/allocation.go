package admission

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

const (
	// exchangeInterval is the time between two exchanges with the coordinators.
	exchangeInterval = time.Second
	// allocationTTL is the time after which a fraction that is not renewed becomes even
	// again.
	allocationTTL = 3 * time.Second
	// needRatio is the ratio of its even fraction above whose use a daemon requests an
	// allocation.
	needRatio = 0.5
	// demandHeadroomRatio is the ratio of an allocation to the demand, so that the demand
	// can grow.
	demandHeadroomRatio = 1.25
	// lowDemandRatio is the ratio of its even fraction below whose use a daemon reports no
	// demand. It is also the smallest allocation, as a ratio of an even fraction.
	lowDemandRatio = 0.05
	// lowDemandReportEvery is how many exchanges there are between two reports of a
	// daemon that needs no allocation.
	lowDemandReportEvery = 5
)

// Message is sent from one daemon to another. It carries demands to a coordinator and
// allocations back.
type Message struct {
	Demands     []Demand     `cbor:"1,keyasint,omitempty"`
	Allocations []Allocation `cbor:"2,keyasint,omitempty"`
}

// Demand reports how much of a limit a daemon would have used since its last report.
type Demand struct {
	Limit   LimitKey `cbor:"1,keyasint"`
	Ratio   float64  `cbor:"2,keyasint"`           // of the whole limit
	Request bool     `cbor:"3,keyasint,omitempty"` // an allocation is requested
}

// Allocation is the fraction of a limit that a daemon may use until allocationTTL has
// passed.
type Allocation struct {
	Limit    LimitKey `cbor:"1,keyasint"`
	Fraction float64  `cbor:"2,keyasint"` // of the whole limit
}

// Envelope is a message and the daemon to send it to.
type Envelope struct {
	To      entity.InstanceID
	Message Message
}

// demandTable holds the demand of all daemons for one limit, at its coordinator.
type demandTable struct {
	rows *entity.Table[entity.InstanceID, demandRow]
}

type demandRow struct {
	ratio      float64 // of the whole limit
	requested  bool    // the daemon requested an allocation
	receivedAt time.Time
}

// SetMembers replaces the list of live daemons, for the exchange of demands and
// allocations.
func (l *Limiter) SetMembers(members []entity.InstanceID) {
	l.members = slices.Clone(members)
	slices.Sort(l.members)
	l.SetDaemons(len(l.members))
}

// Tick reports this daemon's demand to the coordinators when the next exchange is due.
func (l *Limiter) Tick(now time.Time) {
	if l.cfg.Self == "" || len(l.members) < 2 || now.Sub(l.lastExchange) < exchangeInterval {
		return
	}
	elapsed := min(now.Sub(l.lastExchange), allocationTTL)
	l.lastExchange = now
	reportLow := now.Unix()/int64(exchangeInterval/time.Second)%lowDemandReportEvery == 0
	l.accounts.All(func(key LimitKey, a *account) bool {
		l.expire(now, a)
		l.reportDemand(now, key, a, elapsed, reportLow)
		a.requestCount, a.tokenCount = 0, 0
		return true
	})
	l.deliverLocal(now)
}

// Deadline returns when Tick is due; zero: never.
func (l *Limiter) Deadline() time.Time {
	if l.cfg.Self == "" || len(l.members) < 2 {
		return time.Time{}
	}
	return l.lastExchange.Add(exchangeInterval)
}

// Step handles a message of another daemon.
func (l *Limiter) Step(now time.Time, from entity.InstanceID, m Message) {
	for _, d := range m.Demands {
		l.recordDemand(now, from, d)
	}
	for _, allocation := range m.Allocations {
		l.applyAllocation(now, allocation)
	}
	l.deliverLocal(now)
}

// Ready returns the messages to be sent to other daemons and removes them.
func (l *Limiter) Ready() []Envelope {
	var out []Envelope
	for _, id := range l.outgoing.Keys() {
		if id != l.cfg.Self {
			out = append(out, Envelope{To: id, Message: *l.outgoing.Get(id)})
			l.outgoing.Delete(id)
		}
	}
	return out
}

// expire makes the fraction even again if the coordinator no longer renews it.
func (l *Limiter) expire(now time.Time, a *account) {
	if a.allocatedAt.IsZero() || now.Sub(a.allocatedAt) < allocationTTL {
		return
	}
	a.allocatedAt = time.Time{}
	a.fraction = 1 / float64(l.daemons)
	a.setRates(now)
}

// reportDemand reports to the limit's coordinator what this daemon would have used since
// the last exchange. A demand that needs no allocation is reported only if reportLow is
// set and it is not negligible.
func (l *Limiter) reportDemand(now time.Time, key LimitKey, a *account, elapsed time.Duration, reportLow bool) {
	ratio := 0.0
	if a.limits.RequestsPerSecond > 0 {
		ratio = a.requestCount / elapsed.Seconds() / a.limits.RequestsPerSecond
	}
	if a.limits.TokensPerSecond > 0 {
		ratio = max(ratio, a.tokenCount/elapsed.Seconds()/a.limits.TokensPerSecond)
	}
	even := 1 / float64(l.daemons)
	request := ratio > needRatio*even
	if !request && (!reportLow || ratio < lowDemandRatio*even) {
		return
	}
	m := l.messageTo(l.coordinator(key))
	m.Demands = append(m.Demands, Demand{Limit: key, Ratio: ratio, Request: request})
}

// coordinator returns the daemon that allocates a limit.
func (l *Limiter) coordinator(key LimitKey) entity.InstanceID {
	var best entity.InstanceID
	var bestScore uint64
	for _, id := range l.members {
		score := xxhash.Sum64String(string(id) + "\x00" + string(key.Service) + "\x00" + string(key.Organisation))
		if best == "" || score > bestScore {
			best, bestScore = id, score
		}
	}
	return best
}

// messageTo returns the message that is to be sent to a daemon.
func (l *Limiter) messageTo(to entity.InstanceID) *Message {
	m := l.outgoing.Get(to)
	if m == nil {
		m = &Message{}
		l.outgoing.Put(to, m)
	}
	return m
}

// deliverLocal handles the messages of this daemon to itself.
func (l *Limiter) deliverLocal(now time.Time) {
	for {
		m := l.outgoing.Get(l.cfg.Self)
		if m == nil {
			return
		}
		l.outgoing.Delete(l.cfg.Self)
		for _, d := range m.Demands {
			l.recordDemand(now, l.cfg.Self, d)
		}
		for _, allocation := range m.Allocations {
			l.applyAllocation(now, allocation)
		}
	}
}

// recordDemand records a demand at the coordinator and, if an allocation is requested,
// adds one to the message to the daemon.
func (l *Limiter) recordDemand(now time.Time, from entity.InstanceID, d Demand) {
	t := l.demandTables.Get(d.Limit)
	if t == nil {
		t = &demandTable{rows: entity.NewTable[entity.InstanceID, demandRow]()}
		l.demandTables.Put(d.Limit, t)
	}
	t.rows.Put(from, &demandRow{ratio: d.Ratio, requested: d.Request, receivedAt: now})
	t.expire(now)
	if !d.Request {
		return
	}
	m := l.messageTo(from)
	m.Allocations = append(m.Allocations, Allocation{Limit: d.Limit, Fraction: t.fairFraction(from, l.daemons)})
}

// expire removes the demands that have not been renewed.
func (t *demandTable) expire(now time.Time) {
	for _, id := range t.rows.Keys() {
		row := t.rows.Get(id)
		ttl := allocationTTL
		if !row.requested {
			ttl = 2 * lowDemandReportEvery * exchangeInterval
		}
		if now.Sub(row.receivedAt) > ttl {
			t.rows.Delete(id)
		}
	}
}

// fairFraction returns the max-min fair fraction for a daemon among those that requested an
// allocation, of what the others do not use.
func (t *demandTable) fairFraction(id entity.InstanceID, daemons int) float64 {
	remaining := 1.0
	var demands []float64
	t.rows.All(func(_ entity.InstanceID, r *demandRow) bool {
		if r.requested {
			demands = append(demands, r.ratio)
		} else {
			remaining -= r.ratio
		}
		return true
	})
	slices.Sort(demands)
	remaining = max(remaining, float64(len(demands))/float64(daemons))
	demand := t.rows.Get(id).ratio
	for i, d := range demands {
		level := remaining / float64(len(demands)-i)
		if d >= level {
			return min(demand*demandHeadroomRatio, level)
		}
		if d >= demand {
			return demand * demandHeadroomRatio
		}
		remaining -= d
	}
	return demand * demandHeadroomRatio
}

// applyAllocation sets the fraction that the coordinator has allocated.
func (l *Limiter) applyAllocation(now time.Time, allocation Allocation) {
	a := l.accounts.Get(allocation.Limit)
	if a == nil {
		return
	}
	a.fraction, a.allocatedAt = min(max(allocation.Fraction, lowDemandRatio/float64(l.daemons)), 1), now
	a.setRates(now)
}
