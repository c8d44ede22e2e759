// Package fleet plans which cloud instances run for each service in manage
// mode.
//
// One daemon plans a service at a time: the one that holds the service's lease,
// a row of the platform's table. The version of the lease row is the fencing
// token. Every write of the planner is a transaction that checks and raises
// this version, so that a daemon that was paused while another one took the
// lease over can record nothing, whatever its clock says. The planner records
// an intent for each instance before it sends the request to the cloud.
// Requests carry tokens, so that sending one twice starts one instance. A stop
// is recorded only after the backend server has been drained, and is never
// cancelled.
//
// MakePlan is a pure function of a State. System does no I/O: table operations
// and cloud operations leave through Ready, and their results come back through
// TableResult and CloudResult.
package fleet

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

// Tags of the instances that the planner starts. The planner counts, drains and
// stops only instances whose ServiceTag names the service.
const (
	ServiceTag = "gooseberryslip-service"
	TokenTag   = "gooseberryslip-token"
	// AddressTag, where an instance has it, holds host:port of its backend
	// server. It replaces the instance's address and the service's port.
	AddressTag = "gooseberryslip-address"
)

// Config configures a System.
type Config struct {
	Self entity.InstanceID
	Rand *rand.Rand
	// LeaseDuration is how long the lease row must stay unchanged before
	// another daemon takes the lease over.
	LeaseDuration time.Duration
	// TakeoverWait is longer than any cloud operation of a previous lease
	// holder can stay in flight. For this time after a takeover, the new holder
	// stops no backend server that ignores fencing tokens.
	TakeoverWait time.Duration
	// ScaleInDelay is how long a lower load must last before servers are drained.
	ScaleInDelay time.Duration
	// WarmUp is the time from a launch request until the server serves
	// requests.
	WarmUp time.Duration
	// MaxPendingStarts is the largest number of launch requests that one service
	// may have in progress.
	MaxPendingStarts int
}

const (
	defaultLeaseDuration    = 15 * time.Second
	defaultTakeoverWait     = 45 * time.Second
	defaultScaleInDelay     = 10 * time.Minute
	defaultWarmUp           = 2 * time.Minute
	defaultMaxPendingStarts = 8
)

func (c Config) withDefaults() Config {
	c.LeaseDuration = cmp.Or(c.LeaseDuration, defaultLeaseDuration)
	c.TakeoverWait = cmp.Or(c.TakeoverWait, defaultTakeoverWait)
	c.ScaleInDelay = cmp.Or(c.ScaleInDelay, defaultScaleInDelay)
	c.WarmUp = cmp.Or(c.WarmUp, defaultWarmUp)
	c.MaxPendingStarts = cmp.Or(c.MaxPendingStarts, defaultMaxPendingStarts)
	return c
}

// Load is the current load of a service, summed over all its backend servers.
type Load struct {
	Busy   int // requests that are running
	Slots  int // requests that can run at once
	Queued int // requests that are waiting
}

// CloudOperationKind is the kind of a cloud operation.
type CloudOperationKind uint8

const (
	// StartInstance starts an instance.
	StartInstance CloudOperationKind = iota + 1
	// StopInstance stops an instance.
	StopInstance
)

// CloudOperation is an operation that the caller must send to the cloud once,
// without retries.
type CloudOperation struct {
	Service  entity.ServiceName
	Kind     CloudOperationKind
	Token    string
	Fence    uint64                 // fencing token that was current when the operation was issued
	Launch   provider.LaunchRequest // set for StartInstance
	Instance entity.InstanceID      // set for StopInstance
}

// CloudResult is the outcome of a cloud operation. Err wraps a sentinel error of
// package provider.
type CloudResult struct {
	Service  entity.ServiceName
	Kind     CloudOperationKind
	Token    string
	Instance provider.Instance // set for StartInstance
	Err      error
}

// Ready holds the work that the caller must carry out.
type Ready struct {
	Table []provider.Operation
	Cloud []CloudOperation
	// Drain lists backend servers that must get no new requests from now on.
	// When nothing runs on one any more, the caller reports it to the System.
	Drain  []entity.BackendServerID
	Events []event.Event
}
