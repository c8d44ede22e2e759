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
