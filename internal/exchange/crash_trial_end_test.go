package exchange

import (
	"fmt"
	"testing"
	"time"
)

// trials that crash a server delay the next one: each of them reaches a server.
func TestCrashTrial_TrialWithoutAnEndIsNotRepeatedSoon(t *testing.T) {
	for _, c := range []struct {
		name  string
		setUp func(r *partRun, known func() bool)
	}{
		{"caller leaves", func(r *partRun, known func() bool) {
			r.leaveAfter = func(req Request) time.Duration {
				if r.isCrashing(req) && known() {
					return 40 * time.Millisecond
				}
				return 0
			}
		}},
		{"silent for long", func(r *partRun, known func() bool) {
			soon := r.crashAfter
			r.crashAfter = func(req Request) time.Duration {
				if r.isCrashing(req) && known() {
					return 4500 * time.Millisecond
				}
				return soon(req)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			eachFleet(t, []int{1, 9}, 2, func(r *partRun) {
				c.setUp(r, func() bool { return len(r.crashes) >= crashesUntilKnown })
				r.run(2 * time.Second)
				r.crashServers("/talk/x", 300*time.Millisecond, 30*time.Second)
				if n := r.lateArrivals(crashesUntilKnown, refusalLimit); n > maxLateArrivals {
					t.Errorf("requests with the part reached servers %d times later than %v after its fifth crash, at most %d allowed; %d servers crashed, %d requests refused",
						n, refusalLimit, maxLateArrivals, len(r.crashes), r.refused)
				}
			})
		})
	}
}

// nothing is sent to it.
func TestCrashTrial_PoolThatDiesAgainIsServedSoonAfter(t *testing.T) {
	for _, times := range []int{2, 3} {
		for _, daemons := range []int{1, 9} {
			t.Run(fmt.Sprintf("times=%d/daemons=%d", times, daemons), func(t *testing.T) {
				t.Parallel()
				r := newPartRun(t, 1, daemons, 3)
				r.runDuration = func(Request) (time.Duration, time.Duration) { return time.Second, 1500 * time.Millisecond }
				r.run(3 * time.Second)
				for range times {
					r.loseAllServers(120 * time.Millisecond)
					r.run(4 * time.Second)
					for range 60 { // each engine dies within 0.8 s of the first request that it runs
						for _, s := range append([]*fleetServer(nil), r.servers...) {
							if s.Service == "engine" && s.up && len(s.runs) > 0 {
								r.run(100 * time.Millisecond)
								r.crash(s)
								r.after(time.Second, func() { r.replace(s, s.ID+"-again", 1) })
								r.crashes = append(r.crashes, r.now)
							}
						}
						r.run(100 * time.Millisecond)
					}
				}
				last := r.now
				r.run(50 * time.Second)
				r.checkSound(last.Add(30*time.Second + time.Duration(daemons)*trialStagger))
			})
		}
	}
}
