// Package timeline keeps the events of a process in a bounded ring, stamped
// with a hybrid logical clock, and merges those of several processes into one
// order that agrees with cause and effect.
package timeline

import (
	"cmp"
	"fmt"
	"time"
)

// MaxSkew is how far ahead of the local clock a stamp from another process may
// be. A stamp further ahead is not followed, so that one wrong clock does not
// move all others.
const MaxSkew = time.Minute

// Stamp is a reading of a hybrid logical clock (Kulkarni et al., "Logical
// Physical Clocks", 2014). If one event can have caused another, its stamp is
// the lower one.
type Stamp struct {
	Micros  int64  `cbor:"1,keyasint" json:"micros"` // Unix microseconds
	Logical uint32 `cbor:"2,keyasint,omitempty" json:"logical,omitempty"`
}

// Compare returns -1, 0 or 1 as s is before, equal to or after o.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Micros, o.Micros), cmp.Compare(s.Logical, o.Logical))
}

// Time returns the physical part of the stamp.
func (s Stamp) Time() time.Time { return time.UnixMicro(s.Micros).UTC() }

// String returns the time of day and the logical part.
func (s Stamp) String() string {
	return fmt.Sprintf("%s+%d", s.Time().Format("15:04:05.000000"), s.Logical)
}

// clock is a hybrid logical clock.
type clock struct{ last Stamp }

// next returns a stamp above all earlier ones.
func (c *clock) next(now time.Time) Stamp {
	if micros := now.UnixMicro(); micros > c.last.Micros {
		c.last = Stamp{Micros: micros}
	} else {
		c.last.Logical++
	}
	return c.last
}

// observe makes later stamps higher than one from another process. It reports
// false for a stamp that is too far ahead.
func (c *clock) observe(now time.Time, remote Stamp) bool {
	if remote.Micros > now.Add(MaxSkew).UnixMicro() {
		return false
	}
	if remote.Compare(c.last) > 0 {
		c.last = remote
	}
	return true
}
