// Package ratelimit shares a limit of requests per second, which a backend server states
// for all daemons together, between the daemons.
//
// It is made for limits of a few requests per second before any number of daemons, which
// learn of each other's requests too late to count them together. So each server with a
// limit gets its requests from few daemons, each of which has a fixed part of the limit.
// All daemons choose the same ones by hashes of their names. A daemon that has just become
// one of them begins with nothing, and one that is silent keeps its part, so that daemons
// that disagree for a while on who is there hardly exceed the limit.
package ratelimit

import (
	"math"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/rendezvous"
)

const (
	// maxPart is the largest part of a limit that one daemon has, in requests per second,
	// while there are other daemons without a part. With parts this small, a daemon too
	// many, or one in its place, adds no more than half of the limit.
	maxPart = 1.0
	// minRate is the least number of requests per second that a server is sent, even if its
	// limit is lower: only its answers tell that the limit has ended.
	minRate = 0.1
	// burstDuration is the time over which an unused part accumulates, but at least FullBucket
	// requests do.
	burstDuration = 250 * time.Millisecond
	// FullBucket is the number of requests that accumulate at any rate.
	FullBucket = 1.5
)

// rankOf returns how many daemons come before this one for a server, by hashes of their names, and
// whether this one is among them.
func rankOf(self entity.InstanceID, daemons []entity.InstanceID, server entity.BackendServerID) (rank int, found bool) {
	for _, d := range daemons {
		found = found || d == self
		if rendezvous.Compare(string(d), string(self), string(server)) < 0 {
			rank++
		}
	}
	return rank, found
}

// Part returns this daemon's part of a server's limit, in requests per second, 0 if it has
// none. Daemons are all that may send requests, this one included unless it may not.
func Part(self entity.InstanceID, daemons []entity.InstanceID, server entity.BackendServerID, perSecond float64) float64 {
	perSecond = max(perSecond, minRate)
	parts := min(int(math.Ceil(perSecond/maxPart)), len(daemons))
	rank, found := rankOf(self, daemons, server)
	if !found || rank >= parts {
		return 0
	}
	return perSecond / float64(parts)
}

// Slots returns how many of a server's slots are this daemon's, 0 if it has none. They are shared out
// as evenly as can be. If one of the daemons is not known to some of the others, they share out its
// slots a second time.
func Slots(self entity.InstanceID, daemons []entity.InstanceID, server entity.BackendServerID, slots int) int {
	rank, found := rankOf(self, daemons, server)
	if !found {
		return 0
	}
	own := slots / len(daemons)
	if rank < slots%len(daemons) {
		own++
	}
	return own
}

// Bucket is this daemon's token bucket for one server. Its zero value is empty and has no
// part of the limit.
type Bucket struct {
	rate      float64 // this daemon's part, in requests per second
	tokens    float64
	updatedAt time.Time // of tokens
}

// SetRate sets this daemon's part of the limit.
func (b *Bucket) SetRate(now time.Time, rate float64) {
	b.refill(now)
	if rate == 0 {
		b.tokens = 0
	}
	b.rate = rate
}

// Rate returns this daemon's part of the limit.
func (b *Bucket) Rate() float64 { return b.rate }

func (b *Bucket) refill(now time.Time) {
	capacity := max(FullBucket, b.rate*burstDuration.Seconds())
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 && b.rate > 0 {
		b.tokens = min(b.tokens+b.rate*elapsed.Seconds(), capacity)
	}
	b.updatedAt = now
}

// Wait returns the time until that many requests have accumulated, at most FullBucket, 0 if
// they have. Without a part of the limit it returns false.
func (b *Bucket) Wait(now time.Time, requests float64) (time.Duration, bool) {
	if b.rate == 0 {
		return 0, false
	}
	b.refill(now)
	missing := requests - b.tokens
	if missing <= roundingError {
		return 0, true
	}
	return time.Duration(math.Ceil(missing / b.rate * float64(time.Second))), true
}

// roundingError is the largest part of a token that sums of small times may lack.
const roundingError = 1e-6

// Take records that a request is sent.
func (b *Bucket) Take(now time.Time) {
	b.refill(now)
	b.tokens--
}
