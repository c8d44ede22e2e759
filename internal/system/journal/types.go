package journal

import (
	"math/rand/v2"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// Codes of the refusals that the journal gives.
const (
	// CodeKeyReused: the key was used with other content.
	CodeKeyReused verdict.Code = "key-reused"
	// CodeNotOwner: another daemon owns the key's shard.
	CodeNotOwner verdict.Code = "not-owner"
	// CodeStoreUnavailable: the journal could not be written or read in time.
	CodeStoreUnavailable verdict.Code = "store-unavailable"
	// CodeOutcomeUnknown: an earlier claim of the key has no answer.
	CodeOutcomeUnknown verdict.Code = "outcome-unknown"
)

// Config sets up a Journal. A zero field takes the default named beside it.
type Config struct {
	Self   entity.InstanceID
	Shards int        // 16; the same on all daemons, for ever
	Rand   *rand.Rand // required

	WriteBudget float64       // table writes per second of this daemon; 300
	GroupDelay  time.Duration // least time between two appends of a shard; 60 ms
	RetryAfter  time.Duration // told to callers while the store is down; 2 s
	TryFor      time.Duration // longest wait for the store; 2 s
	Retention   time.Duration // an answer is kept at least this long; 24 h

	RefreshEvery   time.Duration // between reads of all shard rows; 5 s
	RetryDelay     time.Duration // first wait before a failed call is made again; 100 ms
	TakeoverDelay  time.Duration // wait before a vanished owner's shard is taken; 1 s
	TakeoverMax    time.Duration // longest back-off between takeovers of one shard; 1 min
	RebalanceAfter time.Duration // members unchanged so long: a misplaced idle shard is released; 30 s
	UnseenGrace    time.Duration // wait for an owner that was never seen alive; 5 s
	ReleaseGrace   time.Duration // time that Disown leaves to running requests; 500 ms

	InlineLimit int // largest body in bytes kept in a table row; 8 KiB
	BatchBytes  int // largest batch row in bytes; 192 KiB
	HotKeys     int // committed records of a shard kept in memory, at most twice as many; 16384
	HotBytes    int // their size in bytes, at most twice as much; 4 MiB
	PartBytes   int // aimed size of a segment's part in bytes; 32 KiB
	MergeCount  int // segments of a level that are merged into one; 16
	MergeKeys   int // most keys of a merged segment; 262144
}

// Key names a keyed request of one organisation and service.
type Key struct {
	Organisation entity.OrganisationID
	Service      entity.ServiceName
	Value        string
}

// Failure is a final failure that is recorded as the outcome of a key.
type Failure struct {
	Verdict verdict.Verdict `cbor:"1,keyasint,omitempty"`
	Code    verdict.Code    `cbor:"2,keyasint,omitempty"`
	Message string          `cbor:"3,keyasint,omitempty"`
}

// Err returns the failure as an error with its verdict and code.
func (f *Failure) Err() error { return verdict.New(f.Verdict, f.Code, f.Message) }

// Answer is the final outcome of a key.
type Answer struct {
	Status      int              `cbor:"1,keyasint,omitempty"`
	ContentType string           `cbor:"2,keyasint,omitempty"`
	Body        []byte           `cbor:"3,keyasint,omitempty"`
	Object      string           `cbor:"4,keyasint,omitempty"` // object that holds a large body
	Failure     *Failure         `cbor:"5,keyasint,omitempty"`
	Request     entity.RequestID `cbor:"6,keyasint,omitempty"` // request that produced it; set by the journal
}

// Claim says who is about to run a request.
type Claim struct {
	Attempt entity.AttemptNumber   `cbor:"1,keyasint,omitempty"`
	Backend entity.BackendServerID `cbor:"2,keyasint,omitempty"`
	Owner   entity.InstanceID      `cbor:"3,keyasint,omitempty"` // set by the journal
	Epoch   uint64                 `cbor:"4,keyasint,omitempty"` // set by the journal
	Request entity.RequestID       `cbor:"5,keyasint,omitempty"` // with Attempt the stream's id; set by the journal
}

// Begin asks the owner of a key's shard whether a request is to be run.
type Begin struct {
	Request    entity.RequestID
	Key        Key
	Digest     entity.Digest
	Repeatable bool
	// Resumable: reading on from a claimed stream is no second run, so that
	// work that is not repeatable may be resumed, too.
	Resumable bool
	Deadline  time.Time // zero: none
}

// OutcomeKind says what an Outcome tells.
type OutcomeKind uint8

const (
	// Started: the executor runs the request.
	Started OutcomeKind = iota + 1
	// Joined: Leader runs with the same key and content; its outcome will
	// come to this request too.
	Joined
	// Resume: Claim names a stream to be resumed rather than run anew.
	Resume
	// Claimed: the claim is durable, the executor may dispatch.
	Claimed
	// Committed: Answer is what every caller of the key gets. Final.
	Committed
	// Refused: Err says why and carries the verdict. Final.
	Refused
)

// String returns the kind's name.
func (k OutcomeKind) String() string {
	switch k {
	case Started:
		return "started"
	case Joined:
		return "joined"
	case Resume:
		return "resume"
	case Claimed:
		return "claimed"
	case Committed:
		return "committed"
	case Refused:
		return "refused"
	default:
		return "unknown"
	}
}

// Outcome is news of one request. After Committed or Refused the journal
// knows the request no more and ignores calls that name it. Answer and Claim
// are shared and must not be changed.
type Outcome struct {
	Request entity.RequestID
	Kind    OutcomeKind
	Leader  entity.RequestID
	Answer  *Answer
	Claim   *Claim
	Owner   entity.InstanceID // Refused with CodeNotOwner: whom to ask instead
	Err     error
}

// Ready is what the caller must carry out. Each operation must be followed by
// exactly one TableResult, however late.
type Ready struct {
	Operations []provider.Operation
	Outcomes   []Outcome
	Events     []event.Event
}
