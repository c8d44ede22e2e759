// Package routing chooses the backend servers from which a slot is requested,
// and in what order. Policies are deterministic: randomness and time are
// parameters.
package routing

import (
	"math/rand/v2"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// Candidate is a backend server that may be chosen, with its known state.
type Candidate struct {
	Backend       entity.BackendServerID
	Location      entity.Location
	Slots         int
	Busy          int           // requests that hold a slot, as last reported
	Queued        int           // requests that wait for a slot, as last reported
	ReportedAt    time.Time     // when Busy and Queued were received; zero: never
	Outstanding   int           // requests of this daemon that run or wait there; exact
	Chance        float64       // 0 to 1: probability of not being ranked as slow; 1 unless slow
	BetweenTokens time.Duration // smoothed; 0: unknown
}

// Query describes the request to place.
type Query struct {
	Location entity.Location // of this daemon
	Service  entity.ServiceName
	Prefix   []uint64 // hashes of growing prefixes of the prompt, shortest first
	Priority entity.Priority
}

// Policy chooses backend servers for requests.
type Policy interface {
	// Choose returns at most limit of the candidates, the best first. It must
	// not retain or change pool.
	Choose(now time.Time, rng *rand.Rand, q Query, pool []Candidate, limit int) []entity.BackendServerID
	// Record notes that the request was granted a slot of the backend server,
	// where the given number of its prefixes are cached.
	Record(now time.Time, q Query, backend entity.BackendServerID, cached int)
}
