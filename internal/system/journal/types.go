package journal

import (
	"math/rand/v2"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// Codes of the errors with which the journal refuses requests.
const (
	// CodeKeyReused: the key was used with other content.
	CodeKeyReused verdict.Code = "key-reused"
	// CodeNotOwner: another daemon owns the key's shard.
	CodeNotOwner verdict.Code = "not-owner"
	// CodeStoreUnavailable: the journal could not be written or read in time.
	CodeStoreUnavailable verdict.Code = "store-unavailable"
	// CodeOutcomeUnknown: an earlier claim of the key has no answer, so that
	// the work may have run.
	CodeOutcomeUnknown verdict.Code = "outcome-unknown"
)

// Config configures a Journal. A zero field gets the default at the end of its
// comment.
type Config struct {
	Self   entity.InstanceID
	Shards int        // the same on all daemons, and never changed; 16
	Rand   *rand.Rand // required

	WriteBudget       float64       // this daemon's table writes per second; 300
	MinAppendInterval time.Duration // minimum time between two appends of a shard; 60 ms
	RetryAfter        time.Duration // retry delay sent to callers while the store does not answer; 2 s
	StoreTimeout      time.Duration // longest wait of a request for the store; 2 s
	Retention         time.Duration // an answer is kept at least this long; 24 h

	RefreshInterval  time.Duration // time between reads of all shard rows; 5 s
	RetryDelay       time.Duration // delay before the first retry of a failed operation; 100 ms
	TakeoverDelay    time.Duration // delay before the shard of an owner that has disappeared is taken over; 1 s
	MaxTakeoverDelay time.Duration // maximum delay between takeovers of one shard; 1 min
	RebalanceDelay   time.Duration // time without a change of members before a misplaced idle shard is released; 30 s
	UnseenOwnerDelay time.Duration // delay before a shard is taken over from an owner that was never seen alive; 5 s
	ReleaseTimeout   time.Duration // time that running requests have to finish when all shards are released; 500 ms

	MaxInlineBytes  int // largest body stored in a table row; larger ones go to the object store; 8 KiB
	MaxBatchBytes   int // largest batch row; 192 KiB
	HotKeys         int // committed records of a shard kept in memory when older ones are sealed, which happens at twice as many; 16384
	HotBytes        int // bytes of committed records kept likewise; 4 MiB
	TargetPartBytes int // target size of a segment's part; 32 KiB
	MergeCount      int // number of segments of one level that are merged into one; 16
	MaxMergeKeys    int // maximum number of keys in a merged segment; 262144
}

// Key identifies a keyed request of one organisation and service.
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
	Object      string           `cbor:"4,keyasint,omitempty"` // name of the object with a large body
	Failure     *Failure         `cbor:"5,keyasint,omitempty"`
	Request     entity.RequestID `cbor:"6,keyasint,omitempty"` // request that produced it; set by the journal
}

// Claim states who is about to run a request.
type Claim struct {
	Attempt entity.AttemptNumber   `cbor:"1,keyasint,omitempty"`
	Backend entity.BackendServerID `cbor:"2,keyasint,omitempty"`
	Owner   entity.InstanceID      `cbor:"3,keyasint,omitempty"` // set by the journal
	Epoch   uint64                 `cbor:"4,keyasint,omitempty"` // set by the journal
	Request entity.RequestID       `cbor:"5,keyasint,omitempty"` // request that claims; with Attempt the stream's ID; set by the journal
}

// KeyedRequest is a keyed request that the owner of its key's shard is asked to admit.
type KeyedRequest struct {
	Request    entity.RequestID
	Key        Key
	Digest     entity.Digest
	Repeatable bool
	// Resumable: resuming a claimed stream does not run the work a second time,
	// so work that is not repeatable may be resumed, too.
	Resumable bool
	Deadline  time.Time // zero: none
}

// OutcomeKind is what an Outcome reports.
type OutcomeKind uint8

const (
	// Started: the executor is to run the request.
	Started OutcomeKind = iota + 1
	// Joined: Leader runs with the same key and content; its outcome will be
	// that of this request too.
	Joined
	// Resume: Claim names a stream to be resumed instead of running the request
	// again.
	Resume
	// Claimed: the claim is durable; the executor may dispatch.
	Claimed
	// Committed: Answer is the answer for every caller with the key. Final.
	Committed
	// Refused: Err gives the reason and the verdict. Final.
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

// Outcome reports the progress or the end of one request. After Committed or
// Refused the journal no longer knows the request and ignores calls that name
// it. Answer and Claim are shared and must not be changed.
type Outcome struct {
	Request entity.RequestID
	Kind    OutcomeKind
	Leader  entity.RequestID
	Answer  *Answer
	Claim   *Claim
	Owner   entity.InstanceID // with Refused and CodeNotOwner: the daemon to ask instead
	Err     error
}

// Ready is what the caller must carry out. Each operation must be followed by
// exactly one call of TableResult, however late.
type Ready struct {
	Operations []provider.Operation
	Outcomes   []Outcome
	Events     []event.Event
}
