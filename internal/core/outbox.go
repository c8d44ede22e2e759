package core

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/system/configuration"
	"github.com/gooseberryslip/gooseberryslip/internal/system/fleet"
)

// Outbox is all that the caller of Tick has to perform. The order within each
// list is the order in which it must be performed.
type Outbox struct {
	Replies    []Reply
	Dispatches []Dispatch
	Stops      []StopAttempt
	Exports    []Export
	Sends      []Envelope
	Operations []Operation
	Orders     []fleet.CloudOrder // to the cloud, once each
	ReadList   bool               // read the platform's list of instances
	ReadPrices bool               // read the cloud's prices
	Applied    []configuration.ApplyOutcome
	Histories  []configuration.HistoryOutcome
	Events     []event.Event
	View       *View // set when it has changed
	// Observations are for metrics.
	Observations []Observation
	// Finished: the daemon has nothing left to do and may exit.
	Finished bool
}

// Reply goes to one caller. Exactly one of the pointers, or Tokens, is set.
type Reply struct {
	Caller   CallerID
	Accepted *Accepted
	First    int // index of the first token, from 1
	Tokens   []string
	Sums     []uint32 // of each token: checksum of all tokens up to it
	Done     *Answer  // final
	Failed   error    // final; carries a verdict
	Moved    *Moved   // final
}

// Accepted tells the caller the request's id.
type Accepted struct{ Request entity.RequestID }

// Moved tells the caller where to go on.
type Moved struct {
	Request entity.RequestID
	Address string // host:port of a daemon's callers' API
}

// Dispatch sends one attempt to a backend server, once.
type Dispatch struct {
	Request  entity.RequestID
	Attempt  entity.AttemptNumber
	Backend  entity.BackendServer
	Work     *Work
	Prefix   []string // tokens that earlier attempts have produced
	KVHandle string
	// Resume: the stream of Attempt already runs there; read it from after
	// Prefix on.
	Resume bool
	// Stream is the request that started the stream; empty: Request.
	Stream  entity.RequestID
	Timeout time.Duration // bounds the whole attempt
}

// StopAttempt ends the reading of an attempt.
type StopAttempt struct {
	Request entity.RequestID
	Attempt entity.AttemptNumber
	Backend entity.BackendServer
	Stream  entity.RequestID // as in Dispatch
	// Cancel: the model engine is told to stop, too.
	Cancel bool
}

// Export asks a model engine to export the KV cache of an attempt.
type Export struct {
	Request entity.RequestID
	Attempt entity.AttemptNumber
	Backend entity.BackendServer
	Stream  entity.RequestID // as in Dispatch
}

// Envelope is a message to another daemon.
type Envelope struct {
	To   entity.InstanceID
	Addr string // peer transport
	// Datagram: best effort; else reliable while the connection lasts.
	Datagram bool
	Message  Message
}

// Operation is a platform operation and the system that gets its result.
type Operation struct {
	System    SystemID
	Operation provider.Operation
}
