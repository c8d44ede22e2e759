// Package grant decides on which backend server and when an attempt runs.
//
// Each backend server has one coordinator among the live daemons. It keeps
// the backend server's only queue, its slots and its drain state. A daemon
// that wants to run an attempt asks the coordinator for a grant, then talks to
// the backend server directly and reports completion. No property of
// correctness depends on there being one coordinator: two cost some overload.
package grant

import (
	"math/rand/v2"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/routing"
)

// Config holds a daemon's identity and the durations. Zero durations and
// counts stand for the defaults.
type Config struct {
	Self   entity.InstanceID
	Place  entity.Place
	Rand   *rand.Rand
	Policy routing.Policy // nil: prefix affinity with bounded load

	AskTimeout     time.Duration // without a reply an ask is sent elsewhere
	ReportInterval time.Duration // between two reports to a coordinator
	SilenceLimit   time.Duration // a silent asker's grants are taken back
	RebuildWindow  time.Duration // a new coordinator waits for reports
	MaxProbes      int           // backend servers asked before an ask queues
}

// Grants is the system; see the package. It is not safe for concurrent use.
type Grants struct {
	cfg Config
}

// New returns a system that knows no members but itself and no services.
func New(cfg Config) *Grants { return &Grants{cfg: cfg} }

// SetMembers replaces the list of live daemons. Self may be among them.
func (g *Grants) SetMembers(now time.Time, members []Member) {}

// SetServices replaces the services and their backend servers.
func (g *Grants) SetServices(now time.Time, services []entity.Service) {}

// SetLeaving says that a backend server leaves, or no longer does. It gets no
// new work at once; asks that wait for it are sent elsewhere.
func (g *Grants) SetLeaving(now time.Time, id entity.BackendServerID, reason string, leaving bool) {}

// Want asks for a grant. A Decision answers it. A repeated Want with the same
// request and attempt is ignored.
func (g *Grants) Want(now time.Time, w Want) {}

// Withdraw gives up a want that has no decision yet, or gives back its grant
// unused.
func (g *Grants) Withdraw(now time.Time, request entity.RequestID, attempt entity.AttemptNumber) {}

// Release gives back a grant whose attempt has ended.
func (g *Grants) Release(now time.Time, request entity.RequestID, attempt entity.AttemptNumber, o Outcome) {
}

// Step takes a message of another daemon.
func (g *Grants) Step(now time.Time, from entity.InstanceID, m Message) {}

// LoadReport takes a backend server's own load report.
func (g *Grants) LoadReport(now time.Time, id entity.BackendServerID, l Load) {}

// CacheEvent takes news of a backend server's prefix cache.
func (g *Grants) CacheEvent(now time.Time, id entity.BackendServerID, e CacheEvent) {}

// Convicted takes a conviction that another daemon has spread.
func (g *Grants) Convicted(now time.Time, d entity.Digest) {}

// Tick does what is due. It may be called at any time.
func (g *Grants) Tick(now time.Time) {}

// Deadline returns when Tick is due next; zero: not before the next input.
func (g *Grants) Deadline() time.Time { return time.Time{} }

// Ready drains what the caller must perform.
func (g *Grants) Ready() Ready { return Ready{} }

// Drained reports whether a backend server holds no grants and no waiting
// asks, as far as this daemon knows.
func (g *Grants) Drained(id entity.BackendServerID) bool { return true }

// Snapshot returns the state for status pages and the planner.
func (g *Grants) Snapshot() Snapshot { return Snapshot{} }
