package exchange

import (
	"fmt"
	"testing"
	"time"
)

// crashing part are dropped.
func TestCrashPart_AmongPromptsOfADozenParts(t *testing.T) {
	for _, servers := range []int{4, 10} {
		t.Run(fmt.Sprint("servers=", servers), func(t *testing.T) {
			for _, daemons := range []int{2, 3, 9} {
				for seed := uint64(1); seed <= 3; seed++ {
					t.Run(fmt.Sprintf("daemons=%d/seed=%d", daemons, seed), func(t *testing.T) {
						t.Parallel()
						r := newPartRun(t, seed, daemons, servers)
						r.runDuration = func(Request) (time.Duration, time.Duration) {
							start := 800*time.Millisecond + r.random(500*time.Millisecond)
							return start, start + 200*time.Millisecond + r.random(500*time.Millisecond)
						}
						next := uint64(1 << 20)
						dozen := func() []uint64 {
							shared := []uint64{commonPart}
							for range 10 {
								next++
								shared = append(shared, next)
							}
							return shared
						}
						r.badShared = func() []uint64 { return append(dozen()[:10], crashingPart) }
						r.every(time.Second/time.Duration(20*servers), func() { r.sendSound("k3", dozen()...) })
						r.incident()
						r.run(3 * time.Second) // until all that died is known
						if n := r.lateArrivals(crashesUntilKnown, refusalLimit); n > maxLateArrivals {
							t.Errorf("requests with the part reached servers %d times later than %v after its fifth crash, at most %d allowed; %d servers crashed, %d requests refused",
								n, refusalLimit, maxLateArrivals, len(r.crashes), r.refused)
						}
						for _, d := range r.daemons[1:] {
							for _, content := range contentsOf(requestWithParts(crashingPart, 1), nil)[1:] {
								if a, b := r.daemons[0].core.crash.registry.Deaths(r.now, content), d.core.crash.registry.Deaths(r.now, content); a != b {
									t.Errorf("daemons %s and %s know of %d and %d deaths under the part", r.daemons[0].name, d.name, a, b)
								}
							}
						}
						t.Logf("%d crashes, %d of %d refused, sound refused %d", len(r.crashes), r.refused, r.bad, len(r.wrongly))
					})
				}
			}
		})
	}
}
