// Package event defines the numbered events that daemons and gateways emit. The
// catalogue docs/EVENTS.md lists all numbers. A number never changes its
// meaning.
package event

import (
	"fmt"
	"sort"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// Number identifies a kind of event. Its thousands digit identifies the
// subsystem.
type Number uint16

// Level is the severity of a kind of event. A higher level is more severe.
type Level uint8

const (
	// Debug events are frequent and not logged by default.
	Debug Level = iota
	// Info events are part of normal work.
	Info
	// Warn events may need an operator's attention.
	Warn
	// Error events need an operator's action.
	Error
)

// String returns the level's name as settings and logs write it.
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

// ParseLevel returns the level whose name, as Level.String writes it, is s.
func ParseLevel(s string) (Level, error) {
	for _, l := range []Level{Debug, Info, Warn, Error} {
		if l.String() == s {
			return l, nil
		}
	}
	return Info, fmt.Errorf("%q is not one of debug, info, warn, error", s)
}

// Kind is a kind of event: an entry of the catalogue.
type Kind struct {
	Number Number
	Level  Level
	Text   string // one line that says what happened
}

// Event is one event of the kind that Number identifies. A field that does not
// apply is empty.
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

// Attr is a named value of an event, such as an input or a result of the
// decision that it records.
type Attr struct {
	Name  string `cbor:"1,keyasint" json:"name"`
	Value any    `cbor:"2,keyasint" json:"value"`
}

// A returns an attribute with the name and value.
func A(name string, value any) Attr { return Attr{Name: name, Value: value} }

var kinds = map[Number]Kind{}

// define adds a kind of event to the catalogue. It panics on a number that is
// already defined. All calls initialise package variables, so such a panic stops
// the program at its start.
func define(n Number, l Level, text string) Number {
	if _, defined := kinds[n]; defined {
		panic(fmt.Sprintf("event number %d is defined twice", n))
	}
	kinds[n] = Kind{Number: n, Level: l, Text: text}
	return n
}

// KindOf returns the kind of event with the number, and whether there is one.
func KindOf(n Number) (Kind, bool) {
	k, ok := kinds[n]
	return k, ok
}

// Kinds returns the whole catalogue in the order of the numbers.
func Kinds() []Kind {
	out := make([]Kind, 0, len(kinds))
	for _, k := range kinds {
		out = append(out, k)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Number < out[j].Number })
	return out
}
