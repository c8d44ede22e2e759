package gateway

import (
	"errors"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/clock"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/system/feedlog"
)

// maxHeldQuestions bounds the questions of others that wait for a change.
const maxHeldQuestions = 512

// serverQuestion asks for the changes of the list of backend servers after a version.
type serverQuestion struct {
	Number uint64 `cbor:"1,keyasint"` // distinguishes the questions of one daemon
	After  uint64 `cbor:"2,keyasint"`
}

// serverAnswer answers a serverQuestion.
type serverAnswer struct {
	Number   uint64         `cbor:"1,keyasint"`
	Answer   feedlog.Answer `cbor:"2,keyasint"`
	Position uint64         `cbor:"3,keyasint,omitempty"` // up to which the changes reach
	Age      time.Duration  `cbor:"4,keyasint,omitempty"` // since the list at that position was the newest one
	Changes  []serverChange `cbor:"5,keyasint,omitempty"`
}

// serverChange is a change of one backend server's entry.
type serverChange struct {
	ID      string                  `cbor:"1,keyasint"`
	Version uint64                  `cbor:"2,keyasint"`
	Server  *exchange.BackendServer `cbor:"3,keyasint,omitempty"` // nil: the entry was removed or cannot be decoded
	Err     string                  `cbor:"4,keyasint,omitempty"` // why it cannot be decoded
}

func (c *serverChange) decode() provider.Change[exchange.BackendServer] {
	out := provider.Change[exchange.BackendServer]{ID: c.ID, Version: c.Version}
	switch {
	case c.Err != "":
		out.Err = errors.New(c.Err)
	case c.Server == nil:
		out.Removed = true
	default:
		out.Value = *c.Server
	}
	return out
}

func encodeServerChange(change *provider.Change[exchange.BackendServer]) serverChange {
	out := serverChange{ID: change.ID, Version: change.Version}
	switch {
	case change.Err != nil:
		out.Err = change.Err.Error()
	case !change.Removed:
		out.Server = &change.Value
	}
	return out
}

// answer answers another daemon's question: at once if there are changes, or none can be told,
// otherwise when there are or the time for the answer has come.
func (f *serverFeed) answer(q *serverQuestion, reply func(message)) {
	if !f.hold() {
		reply(message{ServerAnswer: &serverAnswer{Number: q.Number, Answer: feedlog.Stale}})
		return
	}
	defer f.release()
	timeout := time.After(f.g.drainLimitRatio(feedWaitRatio))
	for last := false; ; {
		a, changed := f.lookUp(q)
		if last || a.Answer != feedlog.Unchanged {
			reply(message{ServerAnswer: a})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			last = true
		}
	}
}

// hold counts a question that waits, and reports whether there was room for it.
func (f *serverFeed) hold() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.held >= maxHeldQuestions {
		return false
	}
	f.held++
	return true
}

func (f *serverFeed) release() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held--
}

// lookUp returns the present answer to a question, and a channel that is closed when that may
// have changed.
func (f *serverFeed) lookUp(q *serverQuestion) (*serverAnswer, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := clock.Now()
	changes, position, answer := f.log.Since(now, q.After, f.g.drainLimitRatio(maxFeedAgeRatio))
	a := &serverAnswer{Number: q.Number, Answer: answer, Position: position, Age: f.log.Age(now)}
	for i := range changes {
		a.Changes = append(a.Changes, encodeServerChange(&changes[i]))
	}
	return a, f.changed
}
