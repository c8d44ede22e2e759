// Package timeline records the events of a process in a ring buffer, with
// timestamps of a hybrid logical clock. It merges the events of several processes
// into one order in which every event comes after the events that caused it.
package timeline

import (
	"cmp"
	"fmt"
	"time"
)

// MaxSkew is how far ahead of the local clock a timestamp from another process may
// be. One that is further ahead is ignored, so that one wrong clock does not
// advance the clocks of all other processes.
const MaxSkew = time.Minute

// Stamp is a timestamp of a hybrid logical clock (Kulkarni et al., "Logical
// Physical Clocks", 2014). If an event may have caused another one, the cause has
// the lower timestamp.
type Stamp struct {
	Micros  int64  `cbor:"1,keyasint" json:"micros"`                      // Unix microseconds
	Logical uint32 `cbor:"2,keyasint,omitempty" json:"logical,omitempty"` // orders timestamps with equal Micros
}

// Compare returns -1, 0 or 1 as s is before, equal to or after o.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Micros, o.Micros), cmp.Compare(s.Logical, o.Logical))
}

// Time returns the physical part of the timestamp, in UTC.
func (s Stamp) Time() time.Time { return time.UnixMicro(s.Micros).UTC() }

// String returns the time of day and the logical part.
func (s Stamp) String() string {
	return fmt.Sprintf("%s+%d", s.Time().Format("15:04:05.000000"), s.Logical)
}

// hybridClock is a hybrid logical clock.
type hybridClock struct{ last Stamp }

// next returns a timestamp that is higher than all that the clock has returned or
// observed.
func (c *hybridClock) next(now time.Time) Stamp {
	if micros := now.UnixMicro(); micros > c.last.Micros {
		c.last = Stamp{Micros: micros}
	} else {
		c.last.Logical++
	}
	return c.last
}

// observe makes all further timestamps higher than one from another process. It
// reports false, and ignores the timestamp, if it is more than MaxSkew ahead.
func (c *hybridClock) observe(now time.Time, remote Stamp) bool {
	if remote.Micros > now.Add(MaxSkew).UnixMicro() {
		return false
	}
	if remote.Compare(c.last) > 0 {
		c.last = remote
	}
	return true
}
