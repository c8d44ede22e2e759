package grant

import (
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// acquisitionKey identifies one attempt.
type acquisitionKey struct {
	request entity.RequestID
	attempt entity.AttemptNumber
}

// acquisition is an attempt of this daemon, from the call that asks for its
// grant until the grant is released.
//
// It is undecided until backend is set. An undecided acquisition has at most one
// request that may wait in a coordinator's queue and one probe. Without any, due
// is set.
type acquisition struct {
	Acquisition
	since      time.Time
	due        time.Time // when to check it again; zero: at the next message or change
	candidates []entity.BackendServerID
	requests   []pendingRequest
	bestFull   entity.BackendServerID // the server without a free slot that has the shortest known wait; empty: none
	bestWait   time.Duration          // the wait there, from a Busy reply
	rounds     int                    // candidates chosen, plus pauses in between
	reprobes   int                    // probes while a request waits in a queue
	deferred   bool                   // no backend server takes work
	isolated   bool                   // the content is suspect
	watched    bool                   // the content is watched

	backend     *entity.BackendServer // granted; nil: undecided
	coordinator entity.InstanceID     // the daemon that granted it
	sequence    uint32                // of the granted request
}

// pendingRequest is a grant request without a final reply.
type pendingRequest struct {
	backend     entity.BackendServerID
	coordinator entity.InstanceID
	sequence    uint32
	sent        time.Time
	queued      bool      // the coordinator has put it into its queue
	wait        bool      // the coordinator may put it into its queue
	waitEnd     time.Time // estimated, once queued
}

func (acq *acquisition) key() acquisitionKey { return acquisitionKey{acq.Request, acq.Attempt} }

func (acq *acquisition) request(sequence uint32) *pendingRequest {
	for i := range acq.requests {
		if acq.requests[i].sequence == sequence {
			return &acq.requests[i]
		}
	}
	return nil
}

func (acq *acquisition) requestsAt(id entity.BackendServerID) []pendingRequest {
	var out []pendingRequest
	for _, p := range acq.requests {
		if p.backend == id {
			out = append(out, p)
		}
	}
	return out
}

func (acq *acquisition) dropRequest(sequence uint32) {
	acq.requests = slices.DeleteFunc(acq.requests, func(p pendingRequest) bool { return p.sequence == sequence })
}

// dropRequestsAt drops the requests for a backend server and reports whether
// there were any.
func (acq *acquisition) dropRequestsAt(id entity.BackendServerID) bool {
	before := len(acq.requests)
	acq.requests = slices.DeleteFunc(acq.requests, func(p pendingRequest) bool { return p.backend == id })
	return len(acq.requests) < before
}

// queueRequest returns the request that waits in a queue or may do so, or nil.
func (acq *acquisition) queueRequest() *pendingRequest {
	for i := range acq.requests {
		if acq.requests[i].wait {
			return &acq.requests[i]
		}
	}
	return nil
}

// probe returns the request that asks for a free slot only, or nil.
func (acq *acquisition) probe() *pendingRequest {
	for i := range acq.requests {
		if !acq.requests[i].wait {
			return &acq.requests[i]
		}
	}
	return nil
}
