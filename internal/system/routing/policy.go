// Package routing chooses which backend servers to ask for a slot, and in
// what order. Policies are pure: randomness and time are parameters.
package routing

import (
	"math/rand/v2"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// Candidate is a backend server that may be chosen, with what is known of it.
type Candidate struct {
	Backend entity.BackendServerID
	Place   entity.Place
	Slots   int
	Busy    int           // lagging
	Queued  int           // lagging
	At      time.Time     // when Busy and Queued were true; zero: never known
	Own     int           // requests of this daemon that run or wait there, exact
	Chance  float64       // 0 to 1: the chance to be considered first; 1 unless slow
	Between time.Duration // time between tokens, smoothed; 0: unknown
}

// Query describes the request to be placed.
type Query struct {
	Place    entity.Place // of the asking daemon
	Service  entity.ServiceName
	Prefix   []uint64 // hashes of growing prefixes of the prompt, shortest first
	Priority entity.Priority
}

// Policy orders candidates, the best first, into out and returns at most
// limit of them. It must not keep or change pool.
type Policy interface {
	Choose(now time.Time, rng *rand.Rand, q Query, pool []Candidate, limit int) []entity.BackendServerID
	// Placed tells the policy that the request was granted a slot of the
	// backend server, with the number of its prefixes that are cached there.
	Placed(now time.Time, q Query, backend entity.BackendServerID, cached int)
}
