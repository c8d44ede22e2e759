package grant

import "github.com/gooseberryslip/gooseberryslip/internal/entity"

// Message carries all parts that one daemon sends another at one time. Durations
// are in microseconds; they are relative, so that clocks need not agree.
type Message struct {
	Requests     []Request     `cbor:"1,keyasint,omitempty"`
	Withdrawn    []Reference   `cbor:"2,keyasint,omitempty"`
	Releases     []Release     `cbor:"3,keyasint,omitempty"`
	Replies      []Reply       `cbor:"4,keyasint,omitempty"`
	Report       *Report       `cbor:"5,keyasint,omitempty"`
	DrainNotices []DrainNotice `cbor:"6,keyasint,omitempty"`
	Suspicions   []Suspicion   `cbor:"7,keyasint,omitempty"`
	Queries      []Reference   `cbor:"8,keyasint,omitempty"` // coordinator to requester: are these grants still held?
	Confirmed    []Reference   `cbor:"9,keyasint,omitempty"` // requester to coordinator: these grants are still held
}

// Reference identifies one attempt at a backend server.
type Reference struct {
	Backend entity.BackendServerID `cbor:"1,keyasint"`
	Request entity.RequestID       `cbor:"2,keyasint"`
	Attempt entity.AttemptNumber   `cbor:"3,keyasint"`
}

// Request asks a coordinator for a slot of a backend server.
type Request struct {
	Reference    Reference             `cbor:"1,keyasint"`
	Sequence     uint32                `cbor:"2,keyasint"` // counts the requester's requests; returned in the reply
	Organisation entity.OrganisationID `cbor:"3,keyasint"`
	Priority     entity.Priority       `cbor:"4,keyasint,omitempty"`
	Cost         entity.Tokens         `cbor:"5,keyasint"`
	TimeLeft     int64                 `cbor:"6,keyasint,omitempty"` // µs to the deadline; 0: none
	Prefix       []uint64              `cbor:"7,keyasint,omitempty"`
	Wait         bool                  `cbor:"8,keyasint,omitempty"`  // queue it if no slot is free
	Isolated     bool                  `cbor:"9,keyasint,omitempty"`  // run it only while nothing else runs there
	Insist       bool                  `cbor:"10,keyasint,omitempty"` // serve it even if the receiver is not the coordinator
	Resume       bool                  `cbor:"11,keyasint,omitempty"` // it is already running there, for another daemon
}

// Release returns a slot.
type Release struct {
	Reference     Reference     `cbor:"1,keyasint"`
	Kind          OutcomeKind   `cbor:"2,keyasint"`
	Tokens        entity.Tokens `cbor:"3,keyasint,omitempty"`
	BetweenTokens int64         `cbor:"4,keyasint,omitempty"` // µs
}

// ReplyKind says what a coordinator replies to a request.
type ReplyKind uint8

const (
	// Granted: the attempt may be sent now.
	Granted ReplyKind = iota + 1
	// Queued: the request waits in the coordinator's queue.
	Queued
	// Busy: no slot is free and the request was not queued.
	Busy
	// Rejected: this coordinator cannot grant the backend server; see Reason.
	Rejected
	// DeadlineUnreachable: the deadline cannot be met there.
	DeadlineUnreachable
)

// Reply answers a request and reports the backend server's load.
type Reply struct {
	Reference Reference `cbor:"1,keyasint"`
	Sequence  uint32    `cbor:"2,keyasint"`
	Kind      ReplyKind `cbor:"3,keyasint"`
	Hint      Hint      `cbor:"4,keyasint"`
	Cached    int       `cbor:"5,keyasint,omitempty"` // how many of the request's prefixes are cached
	Reason    Reason    `cbor:"6,keyasint,omitempty"` // with Rejected
}

// Reason says why a coordinator rejects a request.
type Reason uint8

const (
	// ReasonUnknown: the coordinator does not know the backend server.
	ReasonUnknown Reason = iota + 1
	// ReasonDraining: the backend server takes no new work.
	ReasonDraining
	// ReasonDead: the backend server has died recently.
	ReasonDead
	// ReasonCoordinator: another daemon coordinates the backend server.
	ReasonCoordinator
)

// Hint is the state of a backend server at its coordinator when it was sent.
type Hint struct {
	Busy          int   `cbor:"1,keyasint,omitempty"`
	Queued        int   `cbor:"2,keyasint,omitempty"`
	Slots         int   `cbor:"3,keyasint,omitempty"`
	Wait          int64 `cbor:"4,keyasint,omitempty"` // µs that the request would wait in the queue
	BetweenTokens int64 `cbor:"5,keyasint,omitempty"` // µs between tokens, smoothed
}

// Report lists the grants that the sender holds from the receiver and the
// requests that wait there. All other grants and requests of the sender up to
// the sequence number have ended.
type Report struct {
	Held     []Request `cbor:"1,keyasint,omitempty"`
	Waiting  []Request `cbor:"2,keyasint,omitempty"`
	Sequence uint32    `cbor:"3,keyasint"`
}

// DrainNotice says that a backend server is draining, or no longer is.
type DrainNotice struct {
	Backend  entity.BackendServerID `cbor:"1,keyasint"`
	Draining bool                   `cbor:"2,keyasint"`
	Version  int64                  `cbor:"3,keyasint"` // Unix µs of the change; the highest counts
	Reason   string                 `cbor:"4,keyasint,omitempty"`
}

// Suspicion says that content was running on a backend server when it died;
// with Cleared, that it has completed; with EntryVersion, that it is quarantined.
// Without a digest it reports only the death.
type Suspicion struct {
	Digest       entity.Digest          `cbor:"1,keyasint"`
	Backend      entity.BackendServerID `cbor:"2,keyasint,omitempty"`
	DataCentre   entity.DataCentreID    `cbor:"3,keyasint,omitempty"`
	Isolated     bool                   `cbor:"4,keyasint,omitempty"`
	Cleared      bool                   `cbor:"5,keyasint,omitempty"`
	EntryVersion int64                  `cbor:"6,keyasint,omitempty"` // version of the quarantine entry
}
