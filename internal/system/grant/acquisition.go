package grant

import (
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// wantKey names one attempt.
type wantKey struct {
	request entity.RequestID
	attempt entity.AttemptNumber
}

// want is an attempt of this daemon, from the wish to its end.
//
// It is undecided until backend is set. Undecided, it has at most one queued
// ask and one other ask out; with neither, due is set or it is parked.
type want struct {
	Want
	since      time.Time
	due        time.Time // when to look at it again; zero: on news
	candidates []entity.BackendServerID
	asks       []outstanding
	best       entity.BackendServerID // the least wait among those asked
	bestWait   time.Duration
	rounds     int // times that candidates were chosen
	reprobes   int
	parked     bool
	alone      bool
	watched    bool

	backend     *entity.BackendServer // granted; nil: undecided
	coordinator entity.InstanceID     // that granted it
	sequence    uint32                // of the ask that was granted
}

// outstanding is an ask without a final reply.
type outstanding struct {
	backend     entity.BackendServerID
	coordinator entity.InstanceID
	sequence    uint32
	sent        time.Time
	queued      bool      // it waits in the coordinator's queue
	wait        bool      // it is to wait there
	until       time.Time // estimated end of the wait, once queued
}

func (w *want) key() wantKey { return wantKey{w.Request, w.Attempt} }

func (w *want) ask(sequence uint32) *outstanding {
	for i := range w.asks {
		if w.asks[i].sequence == sequence {
			return &w.asks[i]
		}
	}
	return nil
}

func (w *want) asksAt(id entity.BackendServerID) []outstanding {
	var out []outstanding
	for _, a := range w.asks {
		if a.backend == id {
			out = append(out, a)
		}
	}
	return out
}

func (w *want) dropAsk(sequence uint32) {
	w.asks = slices.DeleteFunc(w.asks, func(a outstanding) bool { return a.sequence == sequence })
}

// dropAsks forgets the asks at a backend server and reports whether there
// were any.
func (w *want) dropAsks(id entity.BackendServerID) bool {
	before := len(w.asks)
	w.asks = slices.DeleteFunc(w.asks, func(a outstanding) bool { return a.backend == id })
	return len(w.asks) < before
}

// waiting returns the ask that waits in a queue or is to wait there, or nil.
func (w *want) waiting() *outstanding {
	for i := range w.asks {
		if w.asks[i].wait {
			return &w.asks[i]
		}
	}
	return nil
}

// probing returns the ask that is not to wait, or nil.
func (w *want) probing() *outstanding {
	for i := range w.asks {
		if !w.asks[i].wait {
			return &w.asks[i]
		}
	}
	return nil
}
