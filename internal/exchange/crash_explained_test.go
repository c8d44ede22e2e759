package exchange

import (
	"slices"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/system/placement"
)

// answer begins, so that they never complete.
const waitingPart uint64 = 0xaa00

// hasPart reports whether a request has a part.
func hasPart(req Request, id uint64) bool {
	return slices.ContainsFunc(req.Work.Parts, func(p placement.Part) bool { return p.ID == id })
}

// explains the deaths of the other, so that neither is ever refused.
func TestCrashPart_PartThatNeverCompletesExplainsNothing(t *testing.T) {
	eachFleet(t, []int{3, 9}, 2, func(r *partRun) {
		inTime := r.runDuration
		r.runDuration = func(req Request) (time.Duration, time.Duration) {
			if hasPart(req, waitingPart) {
				return 20 * time.Second, 21 * time.Second
			}
			return inTime(req)
		}
		r.every(20*time.Millisecond, func() {
			r.send(r.anyDaemon(), r.request("k3", firstSession+r.rng.Uint64N(soundSessions), []uint64{commonPart, waitingPart}))
		})
		r.run(4 * time.Second)
		r.crashServers("/talk/x", crashInterval, 16*time.Second)
		if n := r.lateArrivals(crashesUntilKnown, refusalLimit); n > maxLateArrivals {
			t.Errorf("requests with the part reached servers %d times later than %v after its fifth crash, at most %d allowed; %d servers crashed, %d requests refused",
				n, refusalLimit, maxLateArrivals, len(r.crashes), r.refused)
		}
	})
}

// all of these run until the first of them is known to have crashed its server.
func TestCrashPart_OfAnotherOrganisationAfterTheFifthCrash(t *testing.T) {
	eachFleet(t, []int{3, 9}, 3, func(r *partRun) {
		switchAt := time.Time{}
		r.badKey = func() string {
			if len(r.crashes) < crashesUntilKnown {
				return "k3"
			}
			if switchAt.IsZero() {
				switchAt = r.crashes[crashesUntilKnown-1].Add(refusalLimit + 100*time.Millisecond)
			}
			if r.now.Before(switchAt) {
				return "k3"
			}
			return "k1"
		}
		r.run(2 * time.Second)
		r.crashServers("/talk/x", 100*time.Millisecond, 16*time.Second)
		if n := r.lateArrivals(crashesUntilKnown, refusalLimit); n > maxLateArrivals {
			t.Errorf("requests with the part reached servers %d times later than %v after its fifth crash, at most %d allowed; %d servers crashed, %d requests refused",
				n, refusalLimit, maxLateArrivals, len(r.crashes), r.refused)
		}
	})
}
