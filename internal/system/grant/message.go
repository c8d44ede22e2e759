package grant

import "github.com/gooseberryslip/gooseberryslip/internal/entity"

// Message is all that one daemon has to tell another in one tick. Durations
// are microseconds; they are relative, so that clocks need not agree.
type Message struct {
	Asks       []Ask       `cbor:"1,keyasint,omitempty"`
	Withdrawn  []Reference `cbor:"2,keyasint,omitempty"`
	Releases   []Release   `cbor:"3,keyasint,omitempty"`
	Replies    []Reply     `cbor:"4,keyasint,omitempty"`
	Report     *Report     `cbor:"5,keyasint,omitempty"`
	Leaving    []Leaving   `cbor:"6,keyasint,omitempty"`
	Suspicions []Suspicion `cbor:"7,keyasint,omitempty"`
	Queries    []Reference `cbor:"8,keyasint,omitempty"` // coordinator to asker: do you still hold these grants?
	Confirmed  []Reference `cbor:"9,keyasint,omitempty"` // asker to coordinator: these are still held
}

// Reference names one attempt at a backend server.
type Reference struct {
	Backend entity.BackendServerID `cbor:"1,keyasint"`
	Request entity.RequestID       `cbor:"2,keyasint"`
	Attempt entity.AttemptNumber   `cbor:"3,keyasint"`
}

// Ask asks a coordinator for a slot of a backend server.
type Ask struct {
	Reference    Reference             `cbor:"1,keyasint"`
	Sequence     uint32                `cbor:"2,keyasint"` // asker's count, echoed in the reply
	Organisation entity.OrganisationID `cbor:"3,keyasint"`
	Priority     entity.Priority       `cbor:"4,keyasint,omitempty"`
	Cost         entity.Tokens         `cbor:"5,keyasint"`
	Left         int64                 `cbor:"6,keyasint,omitempty"` // µs to the deadline; 0: none
	Prefix       []uint64              `cbor:"7,keyasint,omitempty"`
	Wait         bool                  `cbor:"8,keyasint,omitempty"` // queue it if there is no free slot
	Alone        bool                  `cbor:"9,keyasint,omitempty"`
	Insist       bool                  `cbor:"10,keyasint,omitempty"` // serve it although another daemon coordinates
	Resume       bool                  `cbor:"11,keyasint,omitempty"` // it runs there already, for another daemon
}

// Release gives a slot back.
type Release struct {
	Reference     Reference     `cbor:"1,keyasint"`
	Kind          OutcomeKind   `cbor:"2,keyasint"`
	Tokens        entity.Tokens `cbor:"3,keyasint,omitempty"`
	BetweenTokens int64         `cbor:"4,keyasint,omitempty"` // µs
}

// ReplyKind says what a coordinator answers to an ask.
type ReplyKind uint8

const (
	// Granted: the attempt may be sent now.
	Granted ReplyKind = iota + 1
	// Queued: the ask waits in the coordinator's queue.
	Queued
	// Busy: no free slot; ask elsewhere.
	Busy
	// Elsewhere: the backend server takes no work from this coordinator.
	Elsewhere
	// Late: the deadline cannot be met there.
	Late
)

// Reply answers an ask and tells the backend server's load.
type Reply struct {
	Reference Reference `cbor:"1,keyasint"`
	Sequence  uint32    `cbor:"2,keyasint"`
	Kind      ReplyKind `cbor:"3,keyasint"`
	Hint      Hint      `cbor:"4,keyasint"`
	Cached    int       `cbor:"5,keyasint,omitempty"` // how many of the ask's prefixes are cached
	Reason    Reason    `cbor:"6,keyasint,omitempty"` // with Elsewhere
}

// Reason says why a coordinator sends an ask elsewhere.
type Reason uint8

const (
	// ReasonUnknown: the coordinator does not know the backend server.
	ReasonUnknown Reason = iota + 1
	// ReasonLeaving: the backend server takes no new work.
	ReasonLeaving
	// ReasonDead: the backend server has just died.
	ReasonDead
	// ReasonCoordinator: another daemon coordinates the backend server.
	ReasonCoordinator
)

// Hint is a coordinator's exact knowledge of a backend server when it was sent.
type Hint struct {
	Busy    int   `cbor:"1,keyasint,omitempty"`
	Queued  int   `cbor:"2,keyasint,omitempty"`
	Slots   int   `cbor:"3,keyasint,omitempty"`
	Wait    int64 `cbor:"4,keyasint,omitempty"` // µs that the ask would wait in the queue
	Between int64 `cbor:"5,keyasint,omitempty"` // µs between tokens, smoothed
}

// Report lists the grants that the sender holds from the receiver and the asks
// that wait there. What the receiver holds for the sender besides, up to the
// sequence number, has ended.
type Report struct {
	Held     []Ask  `cbor:"1,keyasint,omitempty"`
	Waiting  []Ask  `cbor:"2,keyasint,omitempty"`
	Sequence uint32 `cbor:"3,keyasint"`
}

// Leaving is news of a backend server that takes, or takes again, no new work.
type Leaving struct {
	Backend entity.BackendServerID `cbor:"1,keyasint"`
	Leaving bool                   `cbor:"2,keyasint"`
	Version int64                  `cbor:"3,keyasint"` // Unix µs of the news; the higher one counts
	Reason  string                 `cbor:"4,keyasint,omitempty"`
}

// Suspicion says that content was running on a backend server when it died;
// with Cleared, that it has completed; with Convicted, that it is refused.
// Without a digest only the death is told.
type Suspicion struct {
	Digest     entity.Digest          `cbor:"1,keyasint"`
	Backend    entity.BackendServerID `cbor:"2,keyasint,omitempty"`
	DataCentre entity.DataCentreID    `cbor:"3,keyasint,omitempty"`
	Alone      bool                   `cbor:"4,keyasint,omitempty"`
	Cleared    bool                   `cbor:"5,keyasint,omitempty"`
	Convicted  int64                  `cbor:"6,keyasint,omitempty"` // version of the conviction
}
