package exchange

import (
	"testing"
	"time"
)

// TestCrashPart_OfOneOrganisationIsServedToAnother: a part crashes servers in the requests of one
// organisation only. Another one begins to send it when it is refused. Fails if deaths under the
// requests of one organisation are held against those of another.
func TestCrashPart_OfOneOrganisationIsServedToAnother(t *testing.T) {
	eachFleet(t, []int{1, 3, 9}, 2, func(r *partRun) {
		r.isCrashing = func(req Request) bool { return hasPart(req, crashingPart) && req.Key == "k3" }
		sent := 0
		var first time.Time
		r.after(10*time.Second, func() {
			first = r.now
			r.every(250*time.Millisecond, func() {
				sent++
				r.sendSound("k1", commonPart, crashingPart)
			})
		})
		r.run(2 * time.Second)
		r.crashServers("/talk/x", crashInterval, 16*time.Second)
		refused, late := 0, 0
		for _, w := range r.wrongly {
			if hasPart(w.request, crashingPart) {
				refused++
			}
			if hasPart(w.request, crashingPart) && w.at.Sub(first) > refusalLimit {
				late++
			}
		}
		if sent < minSoundRequests || r.refused == 0 {
			t.Fatalf("%d requests of the other organisation, %d refused ones of the first", sent, r.refused)
		}
		if late > 0 || refused > sent/2 {
			t.Errorf("%d of %d requests of the other organisation were refused, %d of them later than %v after its first", refused, sent, late, refusalLimit)
		}
	})
}
