// Package event defines the numbered events that systems emit. Each number
// stands in the catalogue docs/EVENTS.md and never changes its meaning.
package event

import (
	"fmt"
	"sort"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// Number identifies a kind of event. The thousands name the subsystem.
type Number uint16

// Level is the severity of a kind of event.
type Level uint8

const (
	// Debug events are frequent and stay out of the log by default.
	Debug Level = iota
	// Info events are part of normal work.
	Info
	// Warn events may need an operator's eye.
	Warn
	// Error events need an operator.
	Error
)

// String returns the name that settings and logs use.
func (l Level) String() string {
	switch l {
	case Debug:
		return "debug"
	case Warn:
		return "warn"
	case Error:
		return "error"
	default:
		return "info"
	}
}

// ParseLevel is the inverse of String.
func ParseLevel(s string) (Level, error) {
	for _, l := range []Level{Debug, Info, Warn, Error} {
		if l.String() == s {
			return l, nil
		}
	}
	return Info, fmt.Errorf("%q is not one of debug, info, warn, error", s)
}

// Kind describes a number.
type Kind struct {
	Number Number
	Level  Level
	Text   string // what happened, one line
}

// Event is one occurrence. Empty fields do not apply.
type Event struct {
	Number  Number                 `cbor:"1,keyasint" json:"number"`
	At      time.Time              `cbor:"2,keyasint" json:"at"`
	Service entity.ServiceName     `cbor:"3,keyasint,omitempty" json:"service,omitempty"`
	Request entity.RequestID       `cbor:"4,keyasint,omitempty" json:"request,omitempty"`
	Attempt entity.AttemptNumber   `cbor:"5,keyasint,omitempty" json:"attempt,omitempty"`
	Backend entity.BackendServerID `cbor:"6,keyasint,omitempty" json:"backend_server,omitempty"`
	Peer    entity.InstanceID      `cbor:"7,keyasint,omitempty" json:"peer,omitempty"`
	Detail  string                 `cbor:"8,keyasint,omitempty" json:"detail,omitempty"`
	Attrs   []Attr                 `cbor:"9,keyasint,omitempty" json:"attrs,omitempty"`
}

// Attr is an input or a result of the decision that an event tells of.
type Attr struct {
	Name  string `cbor:"1,keyasint" json:"name"`
	Value any    `cbor:"2,keyasint" json:"value"`
}

// A returns an attribute.
func A(name string, value any) Attr { return Attr{Name: name, Value: value} }

var kinds = map[Number]Kind{}

// define adds a kind to the catalogue. It panics on a number that is taken,
// which can only happen while the program starts.
func define(n Number, l Level, text string) Number {
	if _, taken := kinds[n]; taken {
		panic(fmt.Sprintf("event %d is defined twice", n))
	}
	kinds[n] = Kind{Number: n, Level: l, Text: text}
	return n
}

// KindOf returns the description of a number.
func KindOf(n Number) (Kind, bool) {
	k, ok := kinds[n]
	return k, ok
}

// Kinds returns the whole catalogue, by number.
func Kinds() []Kind {
	out := make([]Kind, 0, len(kinds))
	for _, k := range kinds {
		out = append(out, k)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Number < out[j].Number })
	return out
}
