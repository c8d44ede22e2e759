package core

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/system/configuration"
	"github.com/gooseberryslip/gooseberryslip/internal/system/fleet"
)

// Outbox is everything that the caller of Tick has to perform. Each list must
// be performed in its order.
type Outbox struct {
	Replies         []Reply
	Dispatches      []Dispatch
	Stops           []StopAttempt
	Exports         []Export
	Sends           []Envelope
	Operations      []Operation
	CloudOperations []fleet.CloudOperation // each to be performed once
	ReadList        bool                   // the platform's instance list is to be read
	ReadPrices      bool                   // the cloud's prices are to be read
	ApplyOutcomes   []configuration.ApplyOutcome
	Histories       []configuration.HistoryOutcome
	Events          []event.Event
	View            *View // nil: unchanged
	// Observations are values for metrics.
	Observations []Observation
	// Finished: the daemon has nothing left to do and may exit.
	Finished bool
}

// Reply is one message to one caller. Exactly one of the pointers, Failed or
// Tokens is set.
type Reply struct {
	Caller   CallerID
	Accepted *Accepted
	First    int // index of the first token, from 1
	Tokens   []string
	Sums     []uint32 // for each token: checksum of all tokens up to and including it
	Done     *Answer  // final outcome
	Failed   error    // final outcome; carries a verdict
	Moved    *Moved   // final: the caller has to continue elsewhere
}

// Accepted tells the caller the ID of its request.
type Accepted struct{ Request entity.RequestID }

// Moved tells the caller which daemon to fetch the answer from.
type Moved struct {
	Request entity.RequestID
	Address string // host:port of that daemon's API for callers
}

// Dispatch asks to send one attempt to a backend server, once.
type Dispatch struct {
	Request  entity.RequestID
	Attempt  entity.AttemptNumber
	Backend  entity.BackendServer
	Work     *Work
	Prefix   []string // output tokens of earlier attempts
	KVHandle string
	// Resume: the stream of Attempt already runs on the backend server and is
	// to be read from after Prefix on.
	Resume bool
	// Stream is the request under which the stream was started; empty: Request.
	Stream  entity.RequestID
	Timeout time.Duration // for the whole attempt
}

// StopAttempt asks to stop reading the reply of an attempt.
type StopAttempt struct {
	Request entity.RequestID
	Attempt entity.AttemptNumber
	Backend entity.BackendServer
	Stream  entity.RequestID // see Dispatch.Stream
	// Cancel: the model engine is to be asked to stop the run, too.
	Cancel bool
}

// Export asks to have a model engine export the KV cache of an attempt.
type Export struct {
	Request entity.RequestID
	Attempt entity.AttemptNumber
	Backend entity.BackendServer
	Stream  entity.RequestID // see Dispatch.Stream
}

// Envelope is a message to another daemon.
type Envelope struct {
	To   entity.InstanceID
	Addr string // address of the peer transport
	// Datagram: sent at best effort; otherwise reliable while the connection
	// lasts.
	Datagram bool
	Message  Message
}

// Operation is a platform operation together with the system that gets its
// result.
type Operation struct {
	System    SystemID
	Operation provider.Operation
}
