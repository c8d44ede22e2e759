package core

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/system/configuration"
	"github.com/gooseberryslip/gooseberryslip/internal/system/fleet"
	"github.com/gooseberryslip/gooseberryslip/internal/system/grant"
)

// CallerID identifies one waiting caller of this daemon; it is unique within
// the process.
type CallerID uint64

// Input is an event from outside the core, passed to Tick.
type Input interface{ isInput() }

// Submit is a new request of a caller.
type Submit struct {
	Caller  CallerID
	Request entity.RequestID // made by the daemon around the core, not guessable
	Work    Work
	Timeout time.Duration // from now until the deadline
}

// Fetch asks for the answer to a request that was accepted earlier.
type Fetch struct {
	Caller       CallerID
	Request      entity.RequestID
	Organisation entity.OrganisationID
	Stream       bool
	After        int    // number of tokens that the caller already has
	Sum          uint32 // checksum of those tokens, as received with the last of them
}

// Cancel asks to cancel a request.
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
	First   int // index of the first token, from 1; the tokens in Dispatch.Prefix count
	Tokens  []string
}

// AttemptDone says that an attempt's reply is complete. The tokens of a model
// engine have arrived in AttemptTokens before.
type AttemptDone struct {
	Request entity.RequestID
	Attempt entity.AttemptNumber
	Answer  Answer // without Tokens
}

// AttemptFailed says that an attempt has ended without a complete reply. Err
// carries the verdict.
type AttemptFailed struct {
	Request entity.RequestID
	Attempt entity.AttemptNumber
	Err     error
	// BackendDied: the connection broke in the way that the crash of a process
	// causes.
	BackendDied bool
	// Refused: the backend server refused the request before doing any work.
	Refused bool
	// Unresumable: the attempt was to resume a stream that the backend server
	// does not have.
	Unresumable bool
}

// ExportResult is the outcome of an export of a KV cache.
type ExportResult struct {
	Request entity.RequestID
	Attempt entity.AttemptNumber
	Handle  string // name of the exported KV cache; empty: the export failed
}

// PeerMessage is a decoded message from another daemon.
type PeerMessage struct {
	From    entity.InstanceID
	Addr    string
	Message Message
}

// SystemID identifies the system that issued a platform operation.
type SystemID uint8

const (
	// SystemJournal is the journal of keyed requests.
	SystemJournal SystemID = iota + 1
	// SystemConfiguration stores the service documents.
	SystemConfiguration
	// SystemFleet is the planner of managed services.
	SystemFleet
)

// PlatformResult is the result of a platform operation.
type PlatformResult struct {
	System SystemID
	Result provider.Result
}

// InstanceList is the result of a read of the platform's instance list, which
// may lag behind the real state.
type InstanceList struct{ Instances []provider.Instance }

// CloudOutcome is the outcome of a cloud operation: the start or the stop of an
// instance.
type CloudOutcome struct{ Result fleet.CloudResult }

// PriceList is the result of a read of the cloud's prices.
type PriceList struct{ Prices []provider.Price }

// ReclaimNotice announces the reclaim of this daemon's instance.
type ReclaimNotice struct{ Notice provider.ReclaimNotice }

// Drain asks the daemon to hand over its requests and stop.
type Drain struct{}

// BackendDraining says that a backend server is about to be removed and has to
// be drained, or that it stays after all.
type BackendDraining struct {
	Backend  entity.BackendServerID
	Reason   string
	Draining bool
}

// EngineLoad is a load report of a backend server, which may lag behind the
// real load.
type EngineLoad struct {
	Backend entity.BackendServerID
	Load    grant.Load
}

// EngineCache reports a change of a model engine's prefix cache.
type EngineCache struct {
	Backend entity.BackendServerID
	Event   grant.CacheEvent
}

// ApplyChange is an operator's change of a service document.
type ApplyChange struct{ Change configuration.Change }

// ReadHistory asks for the earlier documents of a service.
type ReadHistory struct{ Service entity.ServiceName }

func (ReadHistory) isInput()     {}
func (Submit) isInput()          {}
func (Fetch) isInput()           {}
func (Cancel) isInput()          {}
func (CallerGone) isInput()      {}
func (AttemptTokens) isInput()   {}
func (AttemptDone) isInput()     {}
func (AttemptFailed) isInput()   {}
func (ExportResult) isInput()    {}
func (PeerMessage) isInput()     {}
func (PlatformResult) isInput()  {}
func (InstanceList) isInput()    {}
func (CloudOutcome) isInput()    {}
func (PriceList) isInput()       {}
func (ReclaimNotice) isInput()   {}
func (Drain) isInput()           {}
func (BackendDraining) isInput() {}
func (EngineLoad) isInput()      {}
func (EngineCache) isInput()     {}
func (ApplyChange) isInput()     {}
