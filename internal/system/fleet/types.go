// Package fleet plans which instances run for each service in manage mode.
//
// One daemon plans a service at a time: the one that holds the service's lease
// row. The row's version is the fencing number. Every write of the planner is
// a transaction that checks and raises this version, so that a holder that was
// paused over a takeover can record nothing, whatever its clock says. An
// intent is recorded before its order leaves; orders carry tokens that make a
// resend harmless; a stop is recorded only after the backend server has been
// drained and is never taken back.
//
// Plan is a pure function of a State. System does no I/O: table operations and
// cloud orders leave through Ready and come back through TableResult and
// CloudResult.
package fleet

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

// Tags of the instances that the planner starts. Instances without ServiceTag
// for the service are never counted, drained or stopped.
const (
	ServiceTag = "gooseberryslip-service"
	TokenTag   = "gooseberryslip-token"
	// AddressTag, where an instance has it, holds host:port of its backend
	// server in place of the instance's address and the service's port.
	AddressTag = "gooseberryslip-address"
)

// Config configures a System.
type Config struct {
	Self entity.InstanceID
	Rand *rand.Rand
	// LeaseTerm is how long the lease row must stay unchanged before another
	// daemon takes it.
	LeaseTerm time.Duration
	// TakeoverWait outlasts every order that an earlier holder may have under
	// way. Until then a new holder stops no backend server that ignores fencing
	// numbers.
	TakeoverWait time.Duration
	// Window is how long a lower load must last before servers are taken away.
	Window time.Duration
	// WarmUp is the time from an order until the server serves.
	WarmUp time.Duration
	// MaxOutstanding bounds the start orders of a service that are under way.
	MaxOutstanding int
}

const (
	defaultLeaseTerm      = 15 * time.Second
	defaultTakeoverWait   = 45 * time.Second
	defaultWindow         = 10 * time.Minute
	defaultWarmUp         = 2 * time.Minute
	defaultMaxOutstanding = 8
)

func (c Config) withDefaults() Config {
	c.LeaseTerm = cmp.Or(c.LeaseTerm, defaultLeaseTerm)
	c.TakeoverWait = cmp.Or(c.TakeoverWait, defaultTakeoverWait)
	c.Window = cmp.Or(c.Window, defaultWindow)
	c.WarmUp = cmp.Or(c.WarmUp, defaultWarmUp)
	c.MaxOutstanding = cmp.Or(c.MaxOutstanding, defaultMaxOutstanding)
	return c
}

// Load is the present load of a service over all its backend servers.
type Load struct {
	Busy   int // requests that run
	Slots  int // requests that can run at once
	Queued int // requests that wait
}

// OrderKind says what an order asks of the cloud.
type OrderKind uint8

const (
	// StartInstance starts an instance.
	StartInstance OrderKind = iota + 1
	// StopInstance stops an instance.
	StopInstance
)

// CloudOrder is an order that the caller must send to the cloud, once.
type CloudOrder struct {
	Service  entity.ServiceName
	Kind     OrderKind
	Token    string
	Fence    uint64            // the fencing number under which it was recorded
	Order    provider.Order    // StartInstance
	Instance entity.InstanceID // StopInstance
}

// CloudResult is the outcome of a CloudOrder. Err wraps a sentinel of package
// platform.
type CloudResult struct {
	Service  entity.ServiceName
	Kind     OrderKind
	Token    string
	Instance provider.Instance // StartInstance
	Err      error
}

// Ready is what the caller must carry out.
type Ready struct {
	Table []provider.Operation
	Cloud []CloudOrder
	// Drain names backend servers that shall get no new work, for good. The
	// caller tells System.Drained when nothing runs on one any more.
	Drain  []entity.BackendServerID
	Events []event.Event
}
