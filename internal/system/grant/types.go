package grant

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

// Member is a live daemon.
type Member struct {
	ID      entity.InstanceID
	Place   entity.Place
	Leaving bool // still answers, but coordinates nothing new
}

// Want asks for one attempt of a request to be run.
type Want struct {
	Request      entity.RequestID
	Attempt      entity.AttemptNumber
	Service      entity.ServiceName
	Organisation entity.OrganisationID
	Priority     entity.Priority
	Cost         entity.Tokens // estimate; corrected on release
	Deadline     time.Time     // zero: none
	Digest       entity.Digest
	Prefix       []uint64 // hashes of growing prefixes of the prompt, shortest first
	Exclude      []entity.BackendServerID
	Only         entity.BackendServerID // empty: any
	Repeatable   bool
	// Resume takes a running attempt over from another daemon: it goes on on
	// the backend server Only and needs no slot of its own, even if the backend
	// server is leaving.
	Resume bool
}

// OutcomeKind says how an attempt that had a grant ended.
type OutcomeKind uint8

const (
	// Completed attempts gave their whole answer.
	Completed OutcomeKind = iota + 1
	// Failed attempts broke without the death of the backend server, or were
	// cancelled.
	Failed
	// BackendDied attempts ended with the death of their backend server while
	// it ran them. What it ran becomes suspect.
	BackendDied
	// Refused attempts were turned away by the backend server before any work,
	// or no connection to it could be made.
	Refused
)

// Outcome is what the asker saw of an attempt. Durations are zero if unknown.
type Outcome struct {
	Kind          OutcomeKind
	Tokens        entity.Tokens // actual cost, prompt and output; 0: unknown
	FirstToken    time.Duration
	BetweenTokens time.Duration
}

// Load is a backend server's own, lagging load report.
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

// CacheEvent is news of a backend server's prefix cache. Sequence numbers
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

// Decision answers a Want. Exactly one of Backend and Err is set.
type Decision struct {
	Request entity.RequestID
	Attempt entity.AttemptNumber
	Backend *entity.BackendServer
	Alone   bool  // nothing else runs there: the content is suspect
	Err     error // verdict not-run, with a code and a time to try again
}

// Ready holds all that the caller must perform.
type Ready struct {
	Send        []Envelope
	Decisions   []Decision
	Convictions []entity.Digest // to be spread to every daemon
	Events      []event.Event
}

// Status describes one backend server as this daemon knows it.
type Status struct {
	Backend     entity.BackendServerID
	Service     entity.ServiceName
	Coordinator entity.InstanceID
	Exact       bool // this daemon coordinates it; otherwise the rest is lagging
	Slots       int
	Busy        int
	Queued      int
	Leaving     bool
	At          time.Time // when the figures were last known; zero: never
}

// ServiceStatus sums the backend servers of a service that this daemon
// coordinates.
type ServiceStatus struct {
	Service entity.ServiceName
	Slots   int
	Busy    int
	Queued  int
}

// Snapshot is the state for status pages and the planner. The sums of all
// daemons' Services are the whole fleet's.
type Snapshot struct {
	Backends []Status
	Services []ServiceStatus
}
