// Package configuration keeps the service documents of a daemon up to date and
// carries out operators' changes. Documents are rows of the table service and
// are changed by compare-and-set. Each accepted change of any document has the
// next revision; what is in force on a daemon only ever moves to a higher one.
//
// It is a pure system: it performs no I/O and reads no clock. Tick must be
// called once to start it, and then when Deadline says.
package configuration

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

const (
	// DefaultPollInterval is the time between two reads of the head row in a
	// small fleet.
	DefaultPollInterval = 5 * time.Second
	// MaxPollInterval is the time between two reads of the head row in a large
	// fleet. It bounds how late a daemon is that hears no news from peers.
	MaxPollInterval = 8 * time.Second
	// DefaultStaleAfter is the time without confirmation after which a daemon
	// takes no new callers.
	DefaultStaleAfter = 14 * time.Second
	// ApplyTimeout is the time after which a change is given up on.
	ApplyTimeout = 10 * time.Second

	fleetPollsPerSecond = 50 // of all daemons, while MaxPollInterval allows
	startSpread         = 250 * time.Millisecond
	newsSpread          = 500 * time.Millisecond // from news of a change to reading it
	firstRetry          = 500 * time.Millisecond
	jitterShare         = 0.1
)

// Config holds what a Configuration needs.
type Config struct {
	Self         entity.InstanceID
	Rand         *rand.Rand
	PollInterval time.Duration // 0: DefaultPollInterval
	StaleAfter   time.Duration // 0: DefaultStaleAfter
}

// held is a document that this daemon has.
type held struct {
	Document
	service *entity.Service // nil when deleted or not readable
}

// Configuration is the system. It is not safe for concurrent use.
type Configuration struct {
	cfg     Config
	daemons int

	documents *entity.Table[entity.ServiceName, held]
	loaded    bool   // a whole set of documents has been read
	revision  uint64 // every change up to this one is in force
	head      uint64 // the highest revision known to exist, at least revision

	confirmedAt time.Time // what is in force was last known to be the newest
	newsAt      time.Time // the head was last raised by a peer's news
	wentBack    bool      // the table's head is below revision
	disproved   uint64    // lowest revision heard that the table did not have; 0: none

	refresh   refresh
	changes   []*change
	histories []entity.ServiceName // asked for, in order

	nextID  provider.OperationID
	pending map[provider.OperationID]func(now time.Time, r provider.Result)
	ready   Ready
}

// New returns a system without documents.
func New(cfg Config) *Configuration {
	if cfg.PollInterval <= 0 {
		cfg.PollInterval = DefaultPollInterval
	}
	if cfg.StaleAfter <= 0 {
		cfg.StaleAfter = DefaultStaleAfter
	}
	return &Configuration{
		cfg:       cfg,
		daemons:   1,
		documents: entity.NewTable[entity.ServiceName, held](),
		pending:   map[provider.OperationID]func(time.Time, provider.Result){},
	}
}

// SetDaemons tells the number of live daemons. The more there are, the less
// often each reads the head row.
func (c *Configuration) SetDaemons(n int) { c.daemons = max(1, n) }

// Ready holds what the caller must perform and pass on.
type Ready struct {
	Operations []provider.Operation
	Changed    []entity.Service     // now in force
	Removed    []entity.ServiceName // no longer there
	Head       uint64               // risen to this, to be gossiped; 0: has not risen
	Outcomes   []ApplyOutcome
	Histories  []HistoryOutcome
	Events     []event.Event
}

// Ready drains what is to be done.
func (c *Configuration) Ready() Ready {
	r := c.ready
	c.ready = Ready{}
	return r
}

// Tick does what is due.
func (c *Configuration) Tick(now time.Time) {
	c.tickRefresh(now)
	c.tickChanges(now)
}

// Deadline returns when Tick is due next, or zero before the first Tick.
func (c *Configuration) Deadline() time.Time {
	at := c.refresh.deadline()
	for _, ch := range c.changes {
		at = earlier(at, ch.wake())
	}
	return at
}

// earlier returns the earlier of two times, where zero stands for never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// TableResult takes the result of an operation. Results of unknown operations
// are ignored.
func (c *Configuration) TableResult(now time.Time, r provider.Result) {
	done, ok := c.pending[r.ID]
	if !ok {
		return
	}
	delete(c.pending, r.ID)
	done(now, r)
}

// issue asks the caller to perform an operation and remembers what to do next.
func (c *Configuration) issue(op provider.Operation, done func(time.Time, provider.Result)) {
	c.nextID++
	op.ID = c.nextID
	c.pending[op.ID] = done
	c.ready.Operations = append(c.ready.Operations, op)
}

// Current reports whether this daemon may take new callers: it has a whole set
// of documents, and within StaleAfter the table or a peer has confirmed that
// there was no newer one. A daemon that comes back from being cut off is not
// current before it has caught up.
func (c *Configuration) Current(now time.Time) bool {
	return c.loaded && now.Sub(c.confirmedAt) <= c.cfg.StaleAfter
}

// Revision returns the revision up to which every change is in force.
func (c *Configuration) Revision() uint64 { return c.revision }

// HeadRevision returns the highest revision known to exist.
func (c *Configuration) HeadRevision() uint64 { return c.head }

// Service returns the service of a name as it is in force.
func (c *Configuration) Service(name entity.ServiceName) (*entity.Service, bool) {
	h := c.documents.Get(name)
	if h == nil || h.service == nil {
		return nil, false
	}
	return h.service, true
}

// Services returns all services in force, by name.
func (c *Configuration) Services() []entity.Service {
	var out []entity.Service
	c.documents.All(func(_ entity.ServiceName, h *held) bool {
		if h.service != nil {
			out = append(out, *h.service)
		}
		return true
	})
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Document returns the newest document of a service that this daemon holds,
// also when it says that the service is deleted.
func (c *Configuration) Document(service entity.ServiceName) (Document, bool) {
	h := c.documents.Get(service)
	if h == nil {
		return Document{}, false
	}
	return h.Document, true
}

// Documents returns the documents of all services that are not deleted, by name.
func (c *Configuration) Documents() []Document {
	var out []Document
	c.documents.All(func(_ entity.ServiceName, h *held) bool {
		if !h.Deleted {
			out = append(out, h.Document)
		}
		return true
	})
	sort.Slice(out, func(i, j int) bool { return out[i].Service < out[j].Service })
	return out
}

func (c *Configuration) emit(now time.Time, n event.Number, service entity.ServiceName, detail string) {
	c.ready.Events = append(c.ready.Events, event.Event{Number: n, At: now, Service: service, Detail: detail})
}

// jitter returns d, give or take a tenth.
func (c *Configuration) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitterShare + 2*jitterShare*c.cfg.Rand.Float64()))
}

// spread returns a duration below d.
func (c *Configuration) spread(d time.Duration) time.Duration {
	return time.Duration(c.cfg.Rand.Int64N(int64(d)))
}
