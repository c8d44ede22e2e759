package grant

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

// Member is a live daemon.
type Member struct {
	ID       entity.InstanceID
	Location entity.Location
	Leaving  bool // still answers, but starts to coordinate no further backend servers
}

// Acquisition describes one attempt of a request that needs a grant to run.
type Acquisition struct {
	Request      entity.RequestID
	Attempt      entity.AttemptNumber
	Service      entity.ServiceName
	Organisation entity.OrganisationID
	Priority     entity.Priority
	Cost         entity.Tokens // estimate; replaced by the actual cost on release
	Deadline     time.Time     // zero: none
	Digest       entity.Digest
	Prefix       []uint64 // hashes of growing prefixes of the prompt, shortest first
	Exclude      []entity.BackendServerID
	Only         entity.BackendServerID // the only backend server that may run it; empty: any
	Repeatable   bool
	// Resume says that the attempt is already running on the backend server Only
	// and is taken over from another daemon. It keeps its slot, even if the
	// backend server is draining.
	Resume bool
}

// OutcomeKind says how an attempt that had a grant ended.
type OutcomeKind uint8

const (
	// Completed attempts returned their complete answer.
	Completed OutcomeKind = iota + 1
	// Failed attempts ended early without the death of the backend server, or
	// were cancelled.
	Failed
	// BackendDied attempts ended with the death of their backend server while
	// it ran them. The content that it ran is recorded as possible cause.
	BackendDied
	// Refused attempts were rejected by the backend server before any work, or
	// no connection to it could be made.
	Refused
)

// Outcome is the result of an attempt as seen by the daemon that ran it.
// Durations are zero if unknown.
type Outcome struct {
	Kind          OutcomeKind
	Tokens        entity.Tokens // actual cost, prompt and output; 0: unknown
	FirstToken    time.Duration
	BetweenTokens time.Duration
}

// Load is a load report made by a backend server itself. It lags behind.
type Load struct {
	Running int
	Queued  int
	Slots   int // 0: unknown
}

// CacheEventKind says what happened to a cached prefix.
type CacheEventKind uint8

const (
	// PrefixStored: the prefix is now cached.
	PrefixStored CacheEventKind = iota + 1
	// PrefixRemoved: the prefix is no longer cached.
	PrefixRemoved
)

// CacheEvent is a change of a backend server's prefix cache. Sequence numbers
// rise by one; a gap means that events were lost.
type CacheEvent struct {
	Seq    uint64
	Kind   CacheEventKind
	Prefix uint64
}

// Envelope is a message and the daemon to send it to.
type Envelope struct {
	To      entity.InstanceID
	Message Message
}

// Decision is the result for one attempt. Exactly one of Backend and Err is set.
type Decision struct {
	Request  entity.RequestID
	Attempt  entity.AttemptNumber
	Backend  *entity.BackendServer
	Isolated bool  // the content is suspect, so nothing else runs there
	Err      error // verdict not-run, with a code and, for some codes, a time to retry after
}

// Ready holds all that the caller must perform.
type Ready struct {
	Send        []Envelope
	Decisions   []Decision
	Quarantined []entity.Digest // newly quarantined content, to announce to every daemon
	Events      []event.Event
}

// Status describes one backend server as this daemon knows it.
type Status struct {
	Backend     entity.BackendServerID
	Service     entity.ServiceName
	Coordinator entity.InstanceID
	Exact       bool // this daemon coordinates it; otherwise the figures lag behind
	Slots       int
	Busy        int
	Queued      int
	Draining    bool
	UpdatedAt   time.Time // when the figures were received; zero: never, or they are exact
}

// ServiceStatus sums the backend servers of a service that this daemon
// coordinates.
type ServiceStatus struct {
	Service entity.ServiceName
	Slots   int
	Busy    int
	Queued  int
}

// Snapshot is the state for status pages and the planner. Services summed over
// all daemons cover the whole fleet.
type Snapshot struct {
	Backends []Status
	Services []ServiceStatus
}
