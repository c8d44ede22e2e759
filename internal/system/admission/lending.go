package admission

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

const (
	exchangeInterval = time.Second     // between exchanges with the coordinators
	lendingLife      = 3 * time.Second // a part that is not renewed becomes even again
	needPart         = 0.5             // a daemon asks for more above this use of its part
	headroom         = 1.25            // over what a daemon wanted, so that it can grow
	quietPart        = 0.05            // use of an even part below which nothing is said
	quietEvery       = 5               // exchanges between two demands of a daemon with no need
)

// Message is what one daemon has to tell another. Demands go to a coordinator,
// parts come back.
type Message struct {
	Demands []Demand `cbor:"1,keyasint,omitempty"`
	Parts   []Part   `cbor:"2,keyasint,omitempty"`
}

// Demand says what part of a whole limit a daemon would have used.
type Demand struct {
	Limit  Limit   `cbor:"1,keyasint"`
	Wanted float64 `cbor:"2,keyasint"`
	Short  bool    `cbor:"3,keyasint,omitempty"` // it needs more than its even part
}

// Part is what a daemon may use of a limit for the next seconds.
type Part struct {
	Limit Limit   `cbor:"1,keyasint"`
	Part  float64 `cbor:"2,keyasint"`
}

// Envelope is a message and the daemon to send it to.
type Envelope struct {
	To      entity.InstanceID
	Message Message
}

// book is a coordinator's knowledge of one limit.
type book struct {
	rows *entity.Table[entity.InstanceID, bookRow]
}

type bookRow struct {
	wanted float64
	short  bool
	at     time.Time
}

// SetMembers replaces the list of live daemons, for the exchange of parts.
func (l *Limiter) SetMembers(members []entity.InstanceID) {
	l.members = slices.Clone(members)
	slices.Sort(l.members)
	l.SetDaemons(len(l.members))
}

// Tick exchanges demands and parts when they are due.
func (l *Limiter) Tick(now time.Time) {
	if l.cfg.Self == "" || len(l.members) < 2 || now.Sub(l.exchanged) < exchangeInterval {
		return
	}
	elapsed := min(now.Sub(l.exchanged), lendingLife)
	l.exchanged = now
	quiet := now.Unix()/int64(exchangeInterval/time.Second)%quietEvery == 0
	l.limits.All(func(key Limit, a *account) bool {
		l.expire(now, a)
		l.demand(now, key, a, elapsed, quiet)
		a.wanted, a.cost = 0, 0
		return true
	})
	l.settle(now)
}

// Deadline returns when Tick is due; zero: never.
func (l *Limiter) Deadline() time.Time {
	if l.cfg.Self == "" || len(l.members) < 2 {
		return time.Time{}
	}
	return l.exchanged.Add(exchangeInterval)
}

// Step takes a message of another daemon.
func (l *Limiter) Step(now time.Time, from entity.InstanceID, m Message) {
	for _, d := range m.Demands {
		l.record(now, from, d)
	}
	for _, p := range m.Parts {
		l.accept(now, p)
	}
	l.settle(now)
}

// Ready drains the messages to be sent.
func (l *Limiter) Ready() []Envelope {
	var out []Envelope
	for _, id := range l.out.Keys() {
		if id != l.cfg.Self {
			out = append(out, Envelope{To: id, Message: *l.out.Get(id)})
			l.out.Delete(id)
		}
	}
	return out
}

// expire makes a part even again that the coordinator no longer renews.
func (l *Limiter) expire(now time.Time, a *account) {
	if a.lent.IsZero() || now.Sub(a.lent) < lendingLife {
		return
	}
	a.lent = time.Time{}
	a.part = 1 / float64(l.daemons)
	a.apply(now)
}

// demand tells the coordinator what this daemon wanted since the last exchange.
func (l *Limiter) demand(now time.Time, key Limit, a *account, elapsed time.Duration, quiet bool) {
	wanted := 0.0
	if a.share.RequestsPerSecond > 0 {
		wanted = a.wanted / elapsed.Seconds() / a.share.RequestsPerSecond
	}
	if a.share.TokensPerSecond > 0 {
		wanted = max(wanted, a.cost/elapsed.Seconds()/a.share.TokensPerSecond)
	}
	even := 1 / float64(l.daemons)
	short := wanted > needPart*even
	if !short && (!quiet || wanted < quietPart*even) {
		return
	}
	m := l.message(l.coordinator(key))
	m.Demands = append(m.Demands, Demand{Limit: key, Wanted: wanted, Short: short})
}

// coordinator returns the daemon that keeps the account of a limit.
func (l *Limiter) coordinator(key Limit) entity.InstanceID {
	var best entity.InstanceID
	var top uint64
	for _, id := range l.members {
		score := xxhash.Sum64String(string(id) + "\x00" + string(key.Service) + "\x00" + string(key.Organisation))
		if best == "" || score > top {
			best, top = id, score
		}
	}
	return best
}

func (l *Limiter) message(to entity.InstanceID) *Message {
	m := l.out.Get(to)
	if m == nil {
		m = &Message{}
		l.out.Put(to, m)
	}
	return m
}

// settle delivers what this daemon has to tell itself.
func (l *Limiter) settle(now time.Time) {
	for {
		m := l.out.Get(l.cfg.Self)
		if m == nil {
			return
		}
		l.out.Delete(l.cfg.Self)
		for _, d := range m.Demands {
			l.record(now, l.cfg.Self, d)
		}
		for _, p := range m.Parts {
			l.accept(now, p)
		}
	}
}

// record takes a demand as a coordinator and answers it if the daemon needs
// more than its even part.
func (l *Limiter) record(now time.Time, from entity.InstanceID, d Demand) {
	b := l.books.Get(d.Limit)
	if b == nil {
		b = &book{rows: entity.NewTable[entity.InstanceID, bookRow]()}
		l.books.Put(d.Limit, b)
	}
	b.rows.Put(from, &bookRow{wanted: d.Wanted, short: d.Short, at: now})
	b.forget(now)
	if !d.Short {
		return
	}
	m := l.message(from)
	m.Parts = append(m.Parts, Part{Limit: d.Limit, Part: b.part(from, l.daemons)})
}

func (b *book) forget(now time.Time) {
	for _, id := range b.rows.Keys() {
		row := b.rows.Get(id)
		life := lendingLife
		if !row.short {
			life = 2 * quietEvery * exchangeInterval
		}
		if now.Sub(row.at) > life {
			b.rows.Delete(id)
		}
	}
}

// part returns the max-min fair part of a daemon among those that need more,
// of what the others leave.
func (b *book) part(id entity.InstanceID, daemons int) float64 {
	left := 1.0
	var wants []float64
	b.rows.All(func(_ entity.InstanceID, r *bookRow) bool {
		if r.short {
			wants = append(wants, r.wanted)
		} else {
			left -= r.wanted
		}
		return true
	})
	slices.Sort(wants)
	left = max(left, float64(len(wants))/float64(daemons))
	own := b.rows.Get(id).wanted
	for i, w := range wants {
		level := left / float64(len(wants)-i)
		if w >= level {
			return min(own*headroom, level)
		}
		if w >= own {
			return own * headroom
		}
		left -= w
	}
	return own * headroom
}

// accept takes the part that the coordinator has set.
func (l *Limiter) accept(now time.Time, p Part) {
	a := l.limits.Get(p.Limit)
	if a == nil {
		return
	}
	a.part, a.lent = min(max(p.Part, quietPart/float64(l.daemons)), 1), now
	a.apply(now)
}
