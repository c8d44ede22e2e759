// Package rollout decides how a service's traffic moves to backend servers of another
// software version that an operator has ordered: which requests the new version gets, whether
// it answers as well as the old one at the same time, and when the stage changes. The stage is
// a row of the table service that the leader writes; see docs/design/rollouts.md.
package rollout

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// Order is an operator's order to move a service's traffic to a version.
type Order struct {
	Service  entity.ServiceName
	To       string        // version of the backend servers' software
	Duration time.Duration // from the order to its deadline
	// Version is the version of the order's row in the table service. It identifies the
	// order: a row that is written again is another order. Newer orders have higher ones.
	Version uint64
}

// Errors of orders that cannot be used.
var (
	ErrNoService  = errors.New("the order names no service")
	ErrNoVersion  = errors.New("the order names no version")
	ErrNoDuration = errors.New("the order has no duration")
	ErrNoIdentity = errors.New("the version of the order's row is not known")
)

// Check returns why an order cannot be used, or nil.
func (o *Order) Check() error {
	switch {
	case o.Service == "":
		return ErrNoService
	case o.To == "":
		return ErrNoVersion
	case o.Duration <= 0:
		return ErrNoDuration
	case o.Version == 0:
		return ErrNoIdentity
	default:
		return nil
	}
}

// Stage is how far a roll-out has come. Stages only go forward, in the order of their values.
type Stage uint8

const (
	// Unknown: nothing has been decided or heard of the order.
	Unknown Stage = iota
	// Canary: the new version gets a small share of the requests.
	Canary
	// Promoting: the new version's share rises to all.
	Promoting
	// Completed: the new version serves; the old servers are stopped.
	Completed
	// RolledBack: the new version is bad and gets nothing.
	RolledBack
)

var stageNames = [...]string{"unknown", "canary", "promoting", "completed", "rolled-back"}

// String returns the stage's name for rows, logs and metrics.
func (s Stage) String() string {
	if int(s) >= len(stageNames) {
		return "invalid"
	}
	return stageNames[s]
}

// MarshalText returns the stage's name.
func (s Stage) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText sets the stage by its name.
func (s *Stage) UnmarshalText(text []byte) error {
	for i, name := range stageNames {
		if name == string(text) {
			*s = Stage(i)
			return nil
		}
	}
	return fmt.Errorf("%q is no stage of a roll-out", text)
}

// Ended reports whether no other stage follows.
func (s Stage) Ended() bool { return s == Completed || s == RolledBack }

// MayFollow reports whether a roll-out in stage s may go to the next stage.
func (s Stage) MayFollow(next Stage) bool {
	switch s {
	case Unknown:
		return next == Canary || next == Completed // an order for the version that already serves
	case Canary:
		return next == Promoting || next == RolledBack
	case Promoting:
		return next == Completed || next == RolledBack
	default:
		return false
	}
}

// State is the state of a roll-out, as it stands in its row of the table service.
type State struct {
	Service  entity.ServiceName `cbor:"1,keyasint" json:"service"`
	Order    uint64             `cbor:"2,keyasint" json:"order"` // see Order.Version
	To       string             `cbor:"3,keyasint,omitempty" json:"to"`
	Stage    Stage              `cbor:"4,keyasint,omitempty" json:"stage"`
	Duration time.Duration      `cbor:"5,keyasint,omitempty" json:"duration_ns"`
	// OrderedAt is the true time since 1970 when the order was first seen.
	OrderedAt time.Duration `cbor:"6,keyasint,omitempty" json:"ordered_at_ns"`
	Sequence  uint64        `cbor:"7,keyasint,omitempty" json:"sequence"` // rises with each change
	// From are the versions that served when the order was first seen. Any other version but
	// the ordered one belongs to an order that was replaced or withdrawn.
	From []string `cbor:"8,keyasint,omitempty" json:"from,omitempty"`
}

// Deadline returns the true time since 1970 by which the roll-out must have ended.
func (s *State) Deadline() time.Duration { return s.OrderedAt + s.Duration }

// Encode returns the content of the state's row.
func (s *State) Encode() ([]byte, error) { return json.Marshal(s) }

// DecodeState returns the state that a row holds.
func DecodeState(row []byte) (State, error) {
	var s State
	if err := json.Unmarshal(row, &s); err != nil {
		return State{}, fmt.Errorf("state of a roll-out: %w", err)
	}
	if s.Service == "" || s.Order == 0 || s.Stage == Unknown {
		return State{}, fmt.Errorf("state of a roll-out is incomplete: service %q, order %d, stage %s", s.Service, s.Order, s.Stage)
	}
	return s, nil
}

// Group tells the answers of the ordered version from those of the others.
type Group uint8

const (
	// Old are the backend servers of all other versions.
	Old Group = iota
	// New are the backend servers of the ordered version.
	New
)

// Samples are the answers of one group on one route, as counted by one process. All fields
// only rise, so that a later report replaces an earlier one.
type Samples struct {
	Answers  uint32 `cbor:"1,keyasint,omitempty" json:"answers"` // complete answers and failures
	Failures uint32 `cbor:"2,keyasint,omitempty" json:"failures"`
	First    Times  `cbor:"3,keyasint,omitempty" json:"first_event"` // to the first event
	Rest     Times  `cbor:"4,keyasint,omitempty" json:"rest"`        // between events, or of a plain answer as a whole
}

// Times sums up times as the logarithm of their ratio to the expected ones.
type Times struct {
	Count   uint32 `cbor:"1,keyasint,omitempty" json:"count"`
	Slow    uint32 `cbor:"2,keyasint,omitempty" json:"slow"`               // several times slower than expected
	Sum     int32  `cbor:"3,keyasint,omitempty" json:"sum_hundredths"`     // of the natural logarithms, in hundredths
	Squares uint32 `cbor:"4,keyasint,omitempty" json:"squares_hundredths"` // of the logarithms' squares, in hundredths
}
