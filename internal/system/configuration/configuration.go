// Package configuration keeps the service documents of a daemon up to date and
// performs operators' changes. Documents are rows of the table service and are
// changed by compare-and-set. Every accepted change of any document has the
// next revision; the revision in force on a daemon never decreases.
//
// The package performs no I/O and reads no clock. Tick must be called once to
// start a Configuration, and then whenever Deadline says.
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
	// fleet. It limits how late a daemon learns of a change that no peer
	// reports to it.
	MaxPollInterval = 8 * time.Second
	// DefaultStaleAfter is the time without confirmation that the documents in
	// force are the newest after which a daemon accepts no new callers.
	DefaultStaleAfter = 14 * time.Second
	// ApplyTimeout is the time after which a change ends as Unavailable.
	ApplyTimeout = 10 * time.Second

	fleetPollsPerSecond = 50                     // of all daemons together, unless that needs an interval above MaxPollInterval
	startReadSpread     = 250 * time.Millisecond // maximum random delay of the first read after the first Tick
	changeReadSpread    = 500 * time.Millisecond // maximum random delay from the report of a change to reading it
	retryBaseDelay      = 500 * time.Millisecond // doubled for each consecutive failure, the first included
	jitterRatio         = 0.1
)

// Config holds what a Configuration needs.
type Config struct {
	Self         entity.InstanceID
	Rand         *rand.Rand
	PollInterval time.Duration // 0: DefaultPollInterval
	StaleAfter   time.Duration // 0: DefaultStaleAfter
}

// heldDocument is a document that this daemon has.
type heldDocument struct {
	Document
	service *entity.Service // as in force; nil if deleted or if no version could be parsed
}

// Configuration holds the service documents of a daemon. It is not safe for
// concurrent use.
type Configuration struct {
	cfg         Config
	daemonCount int

	documents    *entity.Table[entity.ServiceName, heldDocument]
	loaded       bool   // a complete set of documents has been read
	revision     uint64 // every change up to this one is in force
	headRevision uint64 // the highest revision known to exist, at least revision

	confirmedAt       time.Time // when the documents in force were last known to be the newest
	headReportedAt    time.Time // when a peer's report last raised headRevision
	tableBehind       bool      // the last head row read had a lower revision than the one in force
	disprovedRevision uint64    // lowest reported revision that the table did not have; 0: none

	refresh          refresh
	changes          []*pendingChange
	pendingHistories []entity.ServiceName // services whose history has been requested, in order

	nextID            provider.OperationID
	pendingOperations map[provider.OperationID]func(now time.Time, r provider.Result)
	ready             Ready
}

// New returns a Configuration without documents.
func New(cfg Config) *Configuration {
	if cfg.PollInterval <= 0 {
		cfg.PollInterval = DefaultPollInterval
	}
	if cfg.StaleAfter <= 0 {
		cfg.StaleAfter = DefaultStaleAfter
	}
	return &Configuration{
		cfg:               cfg,
		daemonCount:       1,
		documents:         entity.NewTable[entity.ServiceName, heldDocument](),
		pendingOperations: map[provider.OperationID]func(time.Time, provider.Result){},
	}
}

// SetDaemons sets the number of live daemons. The more there are, the less
// often each daemon reads the head row.
func (c *Configuration) SetDaemons(n int) { c.daemonCount = max(1, n) }

// Ready is the output that the caller has to perform and pass on.
type Ready struct {
	Operations []provider.Operation
	Changed    []entity.Service     // services that came into force in a new version
	Removed    []entity.ServiceName // services that were deleted
	Head       uint64               // new highest known revision, to be gossiped to peers; 0: unchanged
	Outcomes   []ApplyOutcome
	Histories  []HistoryOutcome
	Events     []event.Event
}

// Ready returns the output since the last call.
func (c *Configuration) Ready() Ready {
	r := c.ready
	c.ready = Ready{}
	return r
}

// Tick performs all work that is due.
func (c *Configuration) Tick(now time.Time) {
	c.tickRefresh(now)
	c.tickChanges(now)
}

// Deadline returns when Tick is due next. While no change is pending, it is zero
// before the first Tick and while the documents are being read.
func (c *Configuration) Deadline() time.Time {
	at := c.refresh.nextReadAt()
	for _, ch := range c.changes {
		at = earliestNonZero(at, ch.nextDueAt())
	}
	return at
}

// earliestNonZero returns the earlier of two times, where zero stands for never.
func earliestNonZero(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// TableResult handles the result of a table operation. Results of unknown
// operations are ignored.
func (c *Configuration) TableResult(now time.Time, r provider.Result) {
	onResult, ok := c.pendingOperations[r.ID]
	if !ok {
		return
	}
	delete(c.pendingOperations, r.ID)
	onResult(now, r)
}

// issueOperation requests a table operation and calls onResult with its result.
func (c *Configuration) issueOperation(op provider.Operation, onResult func(time.Time, provider.Result)) {
	c.nextID++
	op.ID = c.nextID
	c.pendingOperations[op.ID] = onResult
	c.ready.Operations = append(c.ready.Operations, op)
}

// Current reports whether this daemon may accept new callers: it has a complete
// set of documents, and the table or a peer has confirmed within StaleAfter
// that there was no newer one. A daemon that was cut off becomes current only
// when it has read the changes that it missed.
func (c *Configuration) Current(now time.Time) bool {
	return c.loaded && now.Sub(c.confirmedAt) <= c.cfg.StaleAfter
}

// Revision returns the revision up to which every change is in force.
func (c *Configuration) Revision() uint64 { return c.revision }

// HeadRevision returns the highest revision known to exist.
func (c *Configuration) HeadRevision() uint64 { return c.headRevision }

// Service returns the named service as it is in force.
func (c *Configuration) Service(name entity.ServiceName) (*entity.Service, bool) {
	h := c.documents.Get(name)
	if h == nil || h.service == nil {
		return nil, false
	}
	return h.service, true
}

// Services returns all services in force, sorted by name.
func (c *Configuration) Services() []entity.Service {
	var out []entity.Service
	c.documents.All(func(_ entity.ServiceName, h *heldDocument) bool {
		if h.service != nil {
			out = append(out, *h.service)
		}
		return true
	})
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Document returns the newest document of a service that this daemon has, also
// if it records that the service is deleted.
func (c *Configuration) Document(service entity.ServiceName) (Document, bool) {
	h := c.documents.Get(service)
	if h == nil {
		return Document{}, false
	}
	return h.Document, true
}

// Documents returns the documents of all services that are not deleted, sorted
// by name.
func (c *Configuration) Documents() []Document {
	var out []Document
	c.documents.All(func(_ entity.ServiceName, h *heldDocument) bool {
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

// jitter returns d, varied at random by up to a tenth.
func (c *Configuration) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitterRatio + 2*jitterRatio*c.cfg.Rand.Float64()))
}

// randomBelow returns a random duration below d.
func (c *Configuration) randomBelow(d time.Duration) time.Duration {
	return time.Duration(c.cfg.Rand.Int64N(int64(d)))
}
