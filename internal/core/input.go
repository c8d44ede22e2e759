package core

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/system/configuration"
	"github.com/gooseberryslip/gooseberryslip/internal/system/fleet"
	"github.com/gooseberryslip/gooseberryslip/internal/system/grant"
)

// CallerID names one waiting caller of this daemon, unique for its lifetime.
type CallerID uint64

// Input is one thing that happened outside the core.
type Input interface{ isInput() }

// Submit is a new request of a caller.
type Submit struct {
	Caller  CallerID
	Request entity.RequestID // made by the shell, not guessable
	Work    Work
	Timeout time.Duration // from now until the deadline
}

// Fetch asks for the answer of an accepted request.
type Fetch struct {
	Caller       CallerID
	Request      entity.RequestID
	Organisation entity.OrganisationID
	Stream       bool
	After        int    // tokens that the caller has already seen
	Sum          uint32 // checksum of those tokens, as it was told with the last
}

// Cancel withdraws a request.
type Cancel struct {
	Caller       CallerID
	Request      entity.RequestID
	Organisation entity.OrganisationID
}

// CallerGone says that a caller's connection has closed.
type CallerGone struct{ Caller CallerID }

// AttemptTokens carries new tokens of an attempt.
type AttemptTokens struct {
	Request entity.RequestID
	Attempt entity.AttemptNumber
	First   int // index of the first token, from 1, the prefix included
	Tokens  []string
}

// AttemptDone says that an attempt's reply is whole. Tokens of model engines
// have arrived before.
type AttemptDone struct {
	Request entity.RequestID
	Attempt entity.AttemptNumber
	Answer  Answer // Tokens is empty
}

// AttemptFailed says that an attempt has ended without a whole reply. Err
// carries the verdict.
type AttemptFailed struct {
	Request entity.RequestID
	Attempt entity.AttemptNumber
	Err     error
	// BackendDied: the connection broke in the way of a crashed process.
	BackendDied bool
	// Refused: the backend server refused before any work.
	Refused bool
	// Unresumable: the attempt was a resume of a stream that is not there.
	Unresumable bool
}

// Exported is the outcome of an export of KV cache.
type Exported struct {
	Request entity.RequestID
	Attempt entity.AttemptNumber
	Handle  string // empty: no export
}

// PeerMessage is a decoded message of another daemon.
type PeerMessage struct {
	From    entity.InstanceID
	Addr    string
	Message Message
}

// SystemID names the system that issued a platform operation.
type SystemID uint8

const (
	// SystemJournal is the journal of keyed requests.
	SystemJournal SystemID = iota + 1
	// SystemConfiguration keeps the service documents.
	SystemConfiguration
	// SystemFleet is the planner.
	SystemFleet
)

// PlatformResult is the outcome of a platform operation.
type PlatformResult struct {
	System SystemID
	Result provider.Result
}

// InstanceList is a reading of the platform's lagging list.
type InstanceList struct{ Instances []provider.Instance }

// CloudOutcome is the outcome of an order to the cloud.
type CloudOutcome struct{ Result fleet.CloudResult }

// PriceList is a reading of the cloud's prices.
type PriceList struct{ Prices []provider.Price }

// ReclaimNotice announces the reclaim of this daemon's instance.
type ReclaimNotice struct{ Notice provider.Notice }

// Drain asks the daemon to stop gracefully.
type Drain struct{}

// BackendLeaving says that a backend server is about to leave, or no longer.
type BackendLeaving struct {
	Backend entity.BackendServerID
	Reason  string
	Leaving bool
}

// EngineLoad is a lagging load report of a backend server.
type EngineLoad struct {
	Backend entity.BackendServerID
	Load    grant.Load
}

// EngineCache is a cache event of a model engine.
type EngineCache struct {
	Backend entity.BackendServerID
	Event   grant.CacheEvent
}

// ApplyChange is an operator's change of a service document.
type ApplyChange struct{ Change configuration.Change }

// ReadHistory asks for the past documents of a service.
type ReadHistory struct{ Service entity.ServiceName }

func (ReadHistory) isInput()    {}
func (Submit) isInput()         {}
func (Fetch) isInput()          {}
func (Cancel) isInput()         {}
func (CallerGone) isInput()     {}
func (AttemptTokens) isInput()  {}
func (AttemptDone) isInput()    {}
func (AttemptFailed) isInput()  {}
func (Exported) isInput()       {}
func (PeerMessage) isInput()    {}
func (PlatformResult) isInput() {}
func (InstanceList) isInput()   {}
func (CloudOutcome) isInput()   {}
func (PriceList) isInput()      {}
func (ReclaimNotice) isInput()  {}
func (Drain) isInput()          {}
func (BackendLeaving) isInput() {}
func (EngineLoad) isInput()     {}
func (EngineCache) isInput()    {}
func (ApplyChange) isInput()    {}
